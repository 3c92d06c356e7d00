package main

import (
	"context"
	"os"
	"time"

	"heathercroft.example/heathercroft/internal/bench"
	"heathercroft.example/heathercroft/internal/evaluation"
)

var parts = []part{
	{"calls", "added time, CPU and bytes per call", calls},
	{"bytes", "control bytes, CPU, memory and convergence of node processes", bytesPart},
	{"convergence", "convergence and control bytes of reducers as the mesh grows", convergence},
	{"memory", "memory and CPU of a reducer as members, endpoints, services and routes grow", memory},
	{"recovery", "time and cost of recovery from a herd, an outage and a cut", recovery},
	{"pricing", "what waiting changes save", pricingPart},
	{"rollouts", "good versions done in time and bad versions taken back", rollouts},
}

func calls(ctx context.Context, o options, out *bench.Output) error {
	return withDir(func(dir string) error {
		return bench.Calls(ctx, bench.CallsConfig{
			Bin: o.bin, Dir: dir, Rates: []float64{100, 200, 400, 800, 1600}, Duration: 8 * time.Second, Repeats: 2, Seed: o.seed,
		}, out)
	})
}

func convergence(ctx context.Context, o options, out *bench.Output) error {
	return bench.Growth(ctx, "growth-zone", bench.GrowthConfig{
		Zones: []int{2, 2, 2, 2, 2}, PerZone: []int{5, 10, 20, 40, 80}, Window: 30 * time.Second, Seed: o.seed,
	}, out)
}

func bytesPart(ctx context.Context, o options, out *bench.Output) error {
	return withDir(func(dir string) error {
		return bench.Processes(ctx, bench.ProcessConfig{
			Bin: o.bin, Dir: dir, Sizes: []int{4, 8, 16, 32, 64}, Window: 8 * time.Second, Settle: 5 * time.Second,
		}, out)
	})
}

func memory(ctx context.Context, o options, out *bench.Output) error {
	return bench.Memory(ctx, bench.MemoryConfig{Members: []int{160, 320, 640, 1280, 2500}, Copies: 2, Seed: o.seed}, out)
}

func recovery(ctx context.Context, o options, out *bench.Output) error {
	return bench.Recovery(ctx, bench.RecoveryConfig{
		Zones: 4, PerZone: 10, Outage: 3 * time.Minute, Cut: 5 * time.Minute, Seed: o.seed,
	}, out)
}

func pricingPart(ctx context.Context, o options, out *bench.Output) error {
	return bench.Pricing(ctx, bench.PricingConfig{
		Zones: 2, PerZone: 5, Waits: []time.Duration{0, time.Second, 10 * time.Second, 5 * time.Minute},
		Window: 20 * time.Minute, Seed: o.seed,
	}, out)
}

func rollouts(ctx context.Context, o options, out *bench.Output) error {
	return evaluation.Report(ctx, evaluation.Config{
		Seed: o.seed, Good: 10, Bad: 10, Workers: 2, Profiles: evaluation.Profiles(""), Methods: evaluation.Methods(""),
	}, out.Dir, os.Stdout, nil)
}
