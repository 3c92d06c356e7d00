// Command heathercroft-platform is a stand-in for the platform's log service.
package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"heathercroft.example/heathercroft/internal/app"
	"heathercroft.example/heathercroft/internal/build"
	"heathercroft.example/heathercroft/internal/logservice"
	"heathercroft.example/heathercroft/internal/settings"
)

func main() {
	cli := kingpin.New("heathercroft-platform", "Stand-in for the platform's append-only log service.")
	path := cli.Flag("settings", "TOML settings file; defaults hold without it.").String()
	check := cli.Flag("check-settings", "Check the settings and exit.").Bool()
	cli.Version(build.Current().String())
	kingpin.MustParse(cli.Parse(os.Args[1:]))

	s := logservice.DefaultSettings()
	if *check {
		os.Exit(settings.Check(os.Stdout, os.Stderr, *path, s))
	}
	if *path != "" {
		if err := settings.Load(*path, s); err != nil {
			app.Fail(app.ExitBadSettings, err)
		}
	}
	logger := app.NewLogger(os.Stdout, "heathercroft-platform", slog.LevelInfo)
	if err := logservice.Run(context.Background(), s, logger); err != nil {
		app.Fail(app.ExitFailure, err)
	}
}
