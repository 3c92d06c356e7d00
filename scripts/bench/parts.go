package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"heathercroft.example/heathercroft/internal/bench"
	"heathercroft.example/heathercroft/internal/evaluation"
)

var parts = []part{
	{"calls", "added time, CPU and bytes per call", calls},
	{"bytes", "control bytes, CPU, memory and convergence of node processes", bytesPart},
	{"convergence", "convergence and control bytes of reducers as the mesh grows", convergence},
	{"traffic", "control bytes of reducers by message and role", traffic},
	{"memory", "memory and CPU of a reducer as members, endpoints, services and routes grow", memory},
	{"plansize", "memory and CPU of one process that knows the plan's members", planSize},
	{"recovery", "time and cost of recovery from a herd, an outage and a cut", recovery},
	{"pricing", "what waiting changes save", pricingPart},
	{"rollouts", "good versions done in time and bad versions taken back", rollouts},
}

func calls(ctx context.Context, o options, out *bench.Output) error {
	return withDir(func(dir string) error {
		return bench.Calls(ctx, bench.CallsConfig{
			Bin: o.bin, Dir: dir, Rates: []float64{100, 200, 400, 800}, Duration: 5 * time.Second, Repeats: 2, Seed: o.seed,
		}, out)
	})
}

// convergence leaves the largest size out when all parts run: its 160 reducers
// take about 4 minutes.
func convergence(ctx context.Context, o options, out *bench.Output) error {
	c := bench.GrowthConfig{
		Zones: []int{2, 2, 2, 2, 2}, PerZone: []int{5, 10, 20, 40, 80}, Window: 20 * time.Second, Seed: o.seed,
	}
	if !o.alone {
		c.Zones, c.PerZone = []int{2, 2, 2, 2, 2}, []int{3, 5, 10, 20, 40}
	}
	return bench.Growth(ctx, "growth-zone", c, out)
}

func bytesPart(ctx context.Context, o options, out *bench.Output) error {
	return withDir(func(dir string) error {
		return bench.Processes(ctx, bench.ProcessConfig{
			Bin: o.bin, Dir: dir, Sizes: o.sizes, Window: 5 * time.Second, Settle: o.settle,
		}, out)
	})
}

func memory(ctx context.Context, o options, out *bench.Output) error {
	return bench.Memory(ctx, bench.MemoryConfig{Members: []int{160, 320, 640, 1280, 2500}, Copies: 1, Seed: o.seed}, out)
}

func recovery(ctx context.Context, o options, out *bench.Output) error {
	return bench.Recovery(ctx, bench.RecoveryConfig{
		Zones: 4, PerZone: 10, Outage: 3 * time.Minute, Cut: 5 * time.Minute, Seed: o.seed,
	}, out)
}

func pricingPart(ctx context.Context, o options, out *bench.Output) error {
	return bench.Pricing(ctx, bench.PricingConfig{
		Zones: 2, PerZone: 5, Waits: []time.Duration{0, time.Second, 10 * time.Second, 5 * time.Minute},
		Window: 10 * time.Minute, Seed: o.seed,
	}, out)
}

// rollouts writes into a directory of its own, since longer runs of the
// evaluation use the same file names.
func rollouts(ctx context.Context, o options, out *bench.Output) error {
	dir := filepath.Join(out.Dir, "rollouts")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	versions := 5
	if o.alone {
		versions = 10
	}
	err := evaluation.Report(ctx, evaluation.Config{
		Seed: o.seed, Good: versions, Bad: versions, Workers: 2,
		Profiles: evaluation.Profiles(""), Methods: evaluation.Methods(""),
	}, dir, os.Stdout, nil)
	if err != nil {
		return err
	}
	return out.Conditions(&bench.Table{
		Name: "rollouts", Subject: "internal/evaluation: rollout reducers with generated calls, virtual time", Seed: o.seed,
		Notes: []string{fmt.Sprintf("%d good and %d bad versions for each profile and method", versions, versions)},
	})
}

func traffic(ctx context.Context, o options, out *bench.Output) error {
	return bench.Traffic(ctx, bench.TrafficConfig{
		Zones: []int{2, 15}, PerZone: []int{40, 6}, Settle: 4 * time.Minute, Window: 30 * time.Second, Seed: o.seed,
	}, out)
}

func planSize(ctx context.Context, o options, out *bench.Output) error {
	return withDir(func(dir string) error {
		return bench.PlanSize(ctx, bench.PlanSizeConfig{
			Bin: o.bin, Dir: dir, Members: []int{156, 312, 625, 1250, 2500}, Settle: 6 * time.Second, Window: 4 * time.Second,
		}, out)
	})
}
