// Command stand-2 plays the cases of the second review: it starts nodes as separate processes on
// loopback addresses, beside stand-ins of the platform's store, of workers and of requesters.
//
// It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// scenario is a case. trouble is false for a run without the disruption.
type scenario func(c *cluster, trouble bool) error

func main() {
	if len(os.Args) != 4 {
		fail(errors.New("usage: stand-2 CASE RECORD TROUBLE"))
	}
	cases := map[string]struct {
		services []string
		play     scenario
	}{
		"crashing":   {[]string{"desk", "desk", "desk", "desk", "catalog", "catalog", "catalog", "catalog"}, playCrashing},
		"forgetting": {[]string{"desk", "desk", "desk", "desk", "desk", "desk"}, playForgetting},
		"one-route":  {[]string{"desk", "desk", "desk", "desk", "desk", "desk", "desk", "desk"}, playOneRoute},
		"departing":  {[]string{"desk", "desk", "desk"}, playDeparting},
	}
	chosen, ok := cases[os.Args[1]]
	if !ok {
		fail(fmt.Errorf("unknown case %s", os.Args[1]))
	}
	err := play(chosen.services, chosen.play, os.Args[2], os.Args[3] != "0")
	switch {
	case errors.Is(err, errBroken):
		os.Exit(1)
	case err != nil:
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

// maxPlayTime limits a case, whose nodes must not outlive it.
const maxPlayTime = 110 * time.Second

func play(services []string, s scenario, recordPath string, trouble bool) error {
	rec, err := newRecord(recordPath)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return err
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}()
	c, err := newCluster(dir, "target/heathercroft-sidecar", rec, services)
	if err != nil {
		return err
	}
	defer c.close()
	rec.add("trouble: %v", trouble)
	played := make(chan error, 1)
	go func() { played <- s(c, trouble) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-played:
	case <-stop:
		return errors.New("stopped")
	case <-time.After(maxPlayTime):
		return fmt.Errorf("not ended after %s", maxPlayTime)
	}
	if names := c.endedEarly(); len(names) > 0 {
		rec.report("nodes that ended by themselves: %s", strings.Join(names, ", "))
	}
	switch {
	case errors.Is(err, errBroken):
		rec.report("BROKEN")
	case err != nil:
		rec.report("could not run: %v", err)
	default:
		rec.report("held")
	}
	return err
}
