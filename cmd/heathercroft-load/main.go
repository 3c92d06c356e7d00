// Command heathercroft-load is an open-loop load generator. Its exit code is 0 only
// if no call was lost, mixed up, truncated or duplicated.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"heathercroft.example/heathercroft/internal/app"
	"heathercroft.example/heathercroft/internal/build"
	"heathercroft.example/heathercroft/internal/load"
)

func main() {
	cli := kingpin.New("heathercroft-load", "Open-loop load generator. Flags override the settings file.")
	path := cli.Flag("settings", "TOML settings file.").String()
	check := cli.Flag("check-settings", "Check the settings and exit.").Bool()
	jsonPath := cli.Flag("json", "File for the report in JSON.").String()
	overrides := load.Overrides{}
	cli.Flag("rate", "Calls per second, direct ones included.").Float64Var(&overrides.Rate)
	cli.Flag("duration", "Length of the run.").DurationVar(&overrides.Duration)
	cli.Flag("node", "Base URL of a node; may be repeated.").StringsVar(&overrides.Nodes)
	cli.Flag("direct", "Base URL of a target to call directly; may be repeated.").StringsVar(&overrides.Direct)
	cli.Flag("target", "Base URL of a target to ask for executions; may be repeated.").StringsVar(&overrides.Targets)
	cli.Flag("path", "Path of the calls; may be repeated.").StringsVar(&overrides.Paths)
	cli.Version(build.Current().String())
	kingpin.MustParse(cli.Parse(os.Args[1:]))

	s, err := load.LoadSettings(*path, overrides)
	if err != nil {
		app.Fail(app.ExitBadSettings, err)
	}
	if *check {
		fmt.Println("settings are valid")
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report := load.Run(ctx, s, app.NewLogger(os.Stderr, "heathercroft-load", slog.LevelInfo))
	if err := report.Write(os.Stdout, *jsonPath); err != nil {
		app.Fail(app.ExitFailure, err)
	}
	if !report.Passed() {
		os.Exit(app.ExitFailure)
	}
}
