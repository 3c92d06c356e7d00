package sidecar

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/control"
)

// crashWindow is the longest time from a lost response to a refused connection for which
// the request counts as running when the target crashed.
const crashWindow = 2 * time.Second

const (
	// crashProbeDelay is the time from a lost response to the check whether the target
	// still listens.
	crashProbeDelay = 20 * time.Millisecond
	// crashProbeInterval limits the rate of these checks, since each new connection
	// occupies a slot briefly.
	crashProbeInterval = 500 * time.Millisecond
)

// maxInterrupted limits the memory; a target runs a few dozen requests at once.
const maxInterrupted = 256

// crashDetector finds the requests that were running when the local target crashed: their
// responses were lost, and the target refused connections afterwards.
type crashDetector struct {
	mu        sync.Mutex
	lost      map[uint64]time.Duration
	lastProbe time.Duration
}

func newCrashDetector() *crashDetector { return &crashDetector{lost: map[uint64]time.Duration{}} }

// recordInterrupted records a request whose connection to the target broke.
func (d *crashDetector) recordInterrupted(fingerprint uint64, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.lost) >= maxInterrupted {
		clear(d.lost)
	}
	d.lost[fingerprint] = now
}

// probeDue reports whether to check the target now, at most once per crashProbeInterval.
func (d *crashDetector) probeDue(now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastProbe > 0 && now-d.lastProbe < crashProbeInterval {
		return false
	}
	d.lastProbe = now
	return true
}

// takeInterrupted returns and forgets the requests that the crash of the target
// interrupted.
func (d *crashDetector) takeInterrupted(now time.Duration) []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []uint64
	for f, at := range d.lost {
		if now-at <= crashWindow {
			out = append(out, f)
		}
	}
	clear(d.lost)
	return out
}

// handleLostResponse records a request whose response was lost and checks whether the
// target crashed, because there may be no later request that finds out.
func (n *Node) handleLostResponse(fingerprint uint64) {
	now := n.clock.now()
	n.crashDetector.recordInterrupted(fingerprint, now)
	if !n.crashDetector.probeDue(now) {
		return
	}
	time.AfterFunc(crashProbeDelay, func() {
		conn, err := net.DialTimeout("tcp", n.target.address, targetDialTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
		n.handleTargetDialError(err)
	})
}

// handleTargetDialError handles a failed connection to the target. Only a refused
// connection shows that the target no longer listens; a reset means that it has too many
// connections.
func (n *Node) handleTargetDialError(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	n.step(control.TargetUnreachable{})
	if requests := n.crashDetector.takeInterrupted(n.clock.now()); len(requests) > 0 {
		n.step(control.TargetCrashed{Requests: requests})
	}
}
