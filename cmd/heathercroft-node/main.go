// Command heathercroft-node is the process beside a target instance: it carries
// calls, applies configuration and moves traffic.
package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"heathercroft.example/heathercroft/internal/app"
	"heathercroft.example/heathercroft/internal/build"
	"heathercroft.example/heathercroft/internal/node"
	"heathercroft.example/heathercroft/internal/settings"
)

func main() {
	cli := kingpin.New("heathercroft-node", "Carries calls, applies configuration and moves traffic beside one target instance.")
	path := cli.Flag("settings", "TOML settings file.").Required().String()
	check := cli.Flag("check-settings", "Check the settings file and exit.").Bool()
	cli.Version(build.Current().String())
	kingpin.MustParse(cli.Parse(os.Args[1:]))

	s := settings.DefaultNode()
	if *check {
		os.Exit(settings.Check(os.Stdout, os.Stderr, *path, &s))
	}
	if err := settings.Load(*path, &s); err != nil {
		app.Fail(app.ExitBadSettings, err)
	}
	// A node has 32 MB for control. Its live heap at 2,500 members is about 8 MiB, of
	// which the default of 100 % would let the process grow to twice that.
	debug.SetGCPercent(50)
	logger := app.NewLogger(os.Stdout, "heathercroft-node", s.Log.Level).With("node", string(s.Node.ID), "zone", string(s.Node.Zone))
	n, err := node.New(s, logger)
	if err != nil {
		app.Fail(app.ExitFailure, err)
	}
	if err := n.Run(context.Background()); err != nil {
		app.Fail(app.ExitFailure, err)
	}
}
