package main

import (
	"context"
	"time"

	"heathercroft.example/heathercroft/internal/bench"
)

var parts = []part{
	{"calls", "added time, CPU and bytes per call", calls},
}

func calls(ctx context.Context, o options, out *bench.Output) error {
	return withDir(func(dir string) error {
		return bench.Calls(ctx, bench.CallsConfig{
			Bin: o.bin, Dir: dir, Rates: []float64{100, 200, 400, 800, 1600}, Duration: 8 * time.Second, Repeats: 2, Seed: o.seed,
		}, out)
	})
}
