// Package process_test checks the guarantees of the design with real processes
// under failure: nodes, targets and the platform's stand-in are started by
// internal/testbed, and are killed, paused and cut off while they serve.
package process_test

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// binaries is the directory of the binaries under test.
var binaries string

// running bounds the meshes that run at once, since timing bounds hold only
// while the machine has time for the processes.
var running = make(chan struct{}, 3)

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "heathercroft-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+"/", "heathercroft.example/heathercroft/cmd/...")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	binaries = dir
	return m.Run()
}
