// Command heathercroft-target is a stand-in for a target of the mesh.
package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"heathercroft.example/heathercroft/internal/app"
	"heathercroft.example/heathercroft/internal/build"
	"heathercroft.example/heathercroft/internal/settings"
	"heathercroft.example/heathercroft/internal/target"
)

func main() {
	cli := kingpin.New("heathercroft-target", "Stand-in for a target of the mesh.")
	path := cli.Flag("settings", "TOML settings file.").Required().String()
	check := cli.Flag("check-settings", "Check the settings and exit.").Bool()
	cli.Version(build.Current().String())
	kingpin.MustParse(cli.Parse(os.Args[1:]))

	s := target.DefaultSettings()
	if *check {
		os.Exit(settings.Check(os.Stdout, os.Stderr, *path, s))
	}
	if err := settings.Load(*path, s); err != nil {
		app.Fail(app.ExitBadSettings, err)
	}
	logger := app.NewLogger(os.Stdout, "heathercroft-target", slog.LevelInfo)
	if err := target.Run(context.Background(), s, logger); err != nil {
		app.Fail(app.ExitFailure, err)
	}
}
