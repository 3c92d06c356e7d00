// Command heathercroft-evaluate replays seeded rollouts of good and bad versions
// and writes the measured figures.
package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/pprof"

	"github.com/alecthomas/kingpin/v2"

	"heathercroft.example/heathercroft/internal/build"
	"heathercroft.example/heathercroft/internal/evaluation"
)

func main() {
	app := kingpin.New("heathercroft-evaluate", "Replays seeded rollouts and measures the comparison of versions.")
	seed := app.Flag("seed", "Seed of all scenarios.").Default("1").Uint64()
	good := app.Flag("good", "Good versions per profile.").Default("200").Int()
	bad := app.Flag("bad", "Bad versions per profile.").Default("200").Int()
	workers := app.Flag("workers", "Replays at once.").Default("4").Int()
	atCaller := app.Flag("filter-at-caller", "Place the cold-start filter at the caller's node.").Bool()
	mesh := app.Flag("mesh", "Run only the profile with this name.").String()
	cpu := app.Flag("cpuprofile", "File for a CPU profile.").String()
	only := app.Flag("only", "Run only the method with this name.").String()
	replays := app.Flag("replays", "File for one CSV line per replay.").String()
	waits := app.Flag("waits", "Run the bench of waits of configuration changes instead.").Bool()
	out := app.Flag("out", "Directory of the CSV files and figures.").Default("docs/figures").String()
	app.Version(build.Current().String())
	kingpin.MustParse(app.Parse(os.Args[1:]))

	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if *waits {
		app.FatalIfError(evaluation.ReportWaits(*seed, *out, os.Stdout), "bench of waits")
		return
	}
	if *cpu != "" {
		file, err := os.Create(*cpu)
		app.FatalIfError(err, "create CPU profile")
		app.FatalIfError(pprof.StartCPUProfile(file), "start CPU profile")
		defer pprof.StopCPUProfile()
	}
	var lines io.Writer
	if *replays != "" {
		file, err := os.Create(*replays)
		app.FatalIfError(err, "create file of replays")
		defer file.Close()
		lines = file
	}
	err := evaluation.Report(ctx, evaluation.Config{
		Seed: *seed, Good: *good, Bad: *bad, Workers: *workers, FilterAtCaller: *atCaller,
		Profiles: evaluation.Profiles(*mesh),
		Methods:  evaluation.Methods(*only),
	}, *out, os.Stdout, lines)
	if err != nil {
		log.Error("evaluation failed", "error", err.Error())
		os.Exit(1)
	}
}
