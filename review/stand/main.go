// Command stand holds the stand-ins of the review: a worker, and for each case the clients, the operator and
// the platform's store, which is the project's own stand-in.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. They report whether the rule was broken.
var cases = map[string]func(c *cluster, trouble bool) (broken bool, err error){
	"uploads":     runUploads,
	"descriptors": runDescriptors,
	"crashing":    runCrashing,
	"leaving":     runLeaving,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2:]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	code, err := runCase(os.Args[1], os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

func runCase(name, root, recordPath string) (int, error) {
	run, ok := cases[name]
	if !ok {
		return exitNotRun, fmt.Errorf("unknown case %q", name)
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return exitNotRun, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitNotRun, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	c, err := newCluster(root, dir, r)
	if err != nil {
		return exitNotRun, err
	}
	defer c.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		c.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.write("case %s, disruption: %t", name, trouble)
	broken, err := run(c, trouble)
	switch {
	case err != nil:
		r.write("not run: %v", err)
		return exitNotRun, err
	case broken:
		r.write("result: the rule was broken")
		return exitBroken, nil
	default:
		r.write("result: the rule held")
		return exitHeld, nil
	}
}
