package sidecar

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/control"
)

// crashWindow is how long before the target refuses connections a request may
// have lost its answer to count as running at the crash.
const crashWindow = 2 * time.Second

const (
	// probeAfter is how long after a lost answer the target is asked whether it
	// still listens.
	probeAfter = 20 * time.Millisecond
	// probeInterval bounds these questions: a new connection holds a slot briefly.
	probeInterval = 500 * time.Millisecond
)

// maxBroken bounds the memory; a target runs a few dozen requests at once.
const maxBroken = 256

// crashWatch finds the requests that ran when the local target crashed: they
// lost their answers, and then nothing listened any more.
type crashWatch struct {
	mu     sync.Mutex
	broken map[uint64]time.Duration
	probed time.Duration
}

func newCrashWatch() *crashWatch { return &crashWatch{broken: map[uint64]time.Duration{}} }

// lost notes a request whose connection to the target broke.
func (w *crashWatch) lost(fingerprint uint64, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) >= maxBroken {
		clear(w.broken)
	}
	w.broken[fingerprint] = now
}

// probeDue reports whether the target should be asked now, at most once an interval.
func (w *crashWatch) probeDue(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.probed > 0 && now-w.probed < probeInterval {
		return false
	}
	w.probed = now
	return true
}

// refused returns the requests that the target's crash cut off, once.
func (w *crashWatch) refused(now time.Duration) []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []uint64
	for f, at := range w.broken {
		if now-at <= crashWindow {
			out = append(out, f)
		}
	}
	clear(w.broken)
	return out
}

// answerLost notes a request that lost its answer and finds out whether the
// target crashed: no later request may go there and tell.
func (n *Node) answerLost(fingerprint uint64) {
	now := n.clock.now()
	n.crash.lost(fingerprint, now)
	if !n.crash.probeDue(now) {
		return
	}
	time.AfterFunc(probeAfter, func() {
		conn, err := net.DialTimeout("tcp", n.target.address, targetDialTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
		n.targetRefused(err)
	})
}

// targetRefused takes a failed connection to the target. Only a refused one says
// that nothing listens any more; a reset says that there are too many connections.
func (n *Node) targetRefused(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	n.step(control.TargetUnreachable{})
	if requests := n.crash.refused(n.clock.now()); len(requests) > 0 {
		n.step(control.TargetCrashed{Requests: requests})
	}
}
