// Package testbed starts the binaries as separate processes on loopback
// addresses for the demo and for process-level tests. It can kill, pause and
// cut them off. No product binary uses it.
package testbed

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is one running binary.
type Process struct {
	Name    string
	LogPath string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Start runs a binary with its output in a log file. A second start of the same
// name appends to the log.
func Start(dir, binary, name string, args ...string) (*Process, error) {
	logPath := filepath.Join(dir, name+".log")
	file, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, LogPath: logPath, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process if it still runs.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return nil
	default:
		return errors.Wrapf(p.cmd.Process.Signal(sig), "signal %s", p.Name)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Pause stops the process from running until Continue.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Continue lets a paused process run again.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Terminate asks for a graceful stop and waits for it; after limit it kills.
func (p *Process) Terminate(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		p.Kill()
		return errors.Newf("%s did not stop within %s", p.Name, limit)
	}
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }
