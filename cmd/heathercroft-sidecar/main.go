// Command heathercroft-sidecar runs the node beside a target on the users' machines. It
// reads complete configurations from their store.
package main

import (
	"context"
	"expvar"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/app"
	"heathercroft.example/heathercroft/internal/build"
	"heathercroft.example/heathercroft/internal/descriptors"
	"heathercroft.example/heathercroft/internal/settings"
	"heathercroft.example/heathercroft/internal/sidecar"
	"heathercroft.example/heathercroft/platform"
)

/*
#include <signal.h>

// Ignores SIGHUP until the Go runtime handles it. It would end a process that has just started.
__attribute__((constructor)) static void ignore_reload(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"

// heapGrowthPercent is the heap growth that triggers a garbage collection. Memory is paid
// for, and the live heap is a few megabytes.
const heapGrowthPercent = 15

func main() {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	cli := kingpin.New("heathercroft-sidecar", "Carries requests and applies published configurations beside one target instance.")
	path := cli.Flag("settings", "Settings file of the platform.").Default(platform.Path()).String()
	advertise := cli.Flag("advertise", "IP address at which other nodes reach this one, if it is not the one at which it listens.").String()
	policyPath := cli.Flag("policy", "File of the operator's own settings, such as the limits of hedged requests. Without it, these are off.").String()
	check := cli.Flag("check-settings", "Check the settings file and the policy file and exit.").Bool()
	cli.Version(build.Current().String())
	kingpin.MustParse(cli.Parse(os.Args[1:]))

	s, err := platform.Load(*path)
	if err != nil {
		app.Fail(app.ExitBadSettings, err)
	}
	if *advertise != "" {
		if s.Node.Advertise, err = netip.ParseAddr(*advertise); err != nil {
			app.Fail(app.ExitBadSettings, errors.Wrap(err, "--advertise"))
		}
	}
	var policy settings.Policy
	if *policyPath != "" {
		if policy, err = settings.LoadPolicy(*policyPath); err != nil {
			app.Fail(app.ExitBadSettings, err)
		}
	}
	if *check {
		return
	}
	debug.SetGCPercent(heapGrowthPercent)
	debug.SetMemoryLimit(s.Node.MemoryBytes * 3 / 4)
	logBuffer := app.NewLogBuffer(os.Stdout)
	logger := slog.New(logBuffer.Handler(slog.LevelInfo)).With("process", "heathercroft-sidecar", "node", string(s.Node.Node))
	expvar.Publish("log_lines_dropped", expvar.Func(func() any { return logBuffer.Dropped() }))
	s.Node.Descriptors = descriptorLimit(s.Node.Descriptors, logger)
	store := platform.NewStore(s.Store, s.Node.Inbound.Addr(), logger)
	n := sidecar.New(s.Node, platform.Headers(), store, logger)
	n.SetHedging(policy.Hedging)
	files := []reloadedFile{{path: *path, load: func() error { return reloadSettings(*path, store, logger) }}}
	if *policyPath != "" {
		files = append(files, reloadedFile{path: *policyPath, load: func() error { return reloadPolicy(*policyPath, n, logger) }})
	}
	go reload(reloads, files, logger)
	err = n.Run(context.Background(), platform.Registry(n.Report, logger))
	logBuffer.Flush(logFlushTimeout)
	if err != nil {
		app.Fail(app.ExitFailure, err)
	}
}

// logFlushTimeout limits the wait for the output of the last log lines.
const logFlushTimeout = 50 * time.Millisecond

// descriptorLimit returns the lower one of the limits of the platform and of the operating
// system. A limit of 0 is unknown.
func descriptorLimit(configured int, logger *slog.Logger) int {
	limit, err := descriptors.SystemLimit()
	switch {
	case err != nil:
		logger.Warn("descriptor_limit_unknown", "error", err.Error())
		return configured
	case configured == 0:
		return limit
	default:
		return min(configured, limit)
	}
}

// settingsPollInterval is the time between two checks of the settings files, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// reloadedFile is a file that is loaded again while the node runs.
type reloadedFile struct {
	path string
	load func() error
	// modified is when the file was modified before it was loaded last.
	modified time.Time
}

// reload loads all files after a signal, and each one after a change. A file that cannot be loaded
// changes nothing.
func reload(signals <-chan os.Signal, files []reloadedFile, logger *slog.Logger) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for i := range files {
		files[i].modified = modificationTime(files[i].path)
	}
	for {
		signaled := false
		select {
		case <-signals:
			signaled = true
		case <-poll.C:
		}
		for i := range files {
			f := &files[i]
			modified := modificationTime(f.path)
			if !signaled && modified.Equal(f.modified) {
				continue
			}
			f.modified = modified
			if err := f.load(); err != nil {
				logger.Error("reload_failed", "file", f.path, "error", err.Error())
			}
		}
	}
}

// reloadSettings applies the address of the store, which may change while the node runs.
func reloadSettings(path string, store *platform.Store, logger *slog.Logger) error {
	s, err := platform.Load(path)
	if err != nil {
		return err
	}
	store.SetAddress(s.Store)
	logger.Info("reloaded", "store", s.Store.String())
	return nil
}

func reloadPolicy(path string, n *sidecar.Node, logger *slog.Logger) error {
	p, err := settings.LoadPolicy(path)
	if err != nil {
		return err
	}
	n.SetHedging(p.Hedging)
	logger.Info("policy_reloaded", "hedging", p.Hedging.Enabled(), "share", p.Hedging.Share, "burst", p.Hedging.Burst,
		"routes", len(p.Hedging.Routes), "services", len(p.Hedging.Services))
	return nil
}

// modificationTime returns when the file was last modified, or the zero time if that is
// unknown.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
