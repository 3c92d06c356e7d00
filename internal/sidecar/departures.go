package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/control"
)

// departureTimeout limits how long a target waits for the confirmation that it leaves. Targets wait
// for a second.
const departureTimeout = 800 * time.Millisecond

// ErrDepartureNotKept is returned by Report if neither the store nor another node has taken the
// departure of a target in time. This process does not use the target anymore, but the next one may.
var ErrDepartureNotKept = errors.New("neither the store nor another node has taken the departure yet; report it again")

// Report processes an event of the target beside this node, such as a heartbeat. The request path
// uses the changed state at once. If the event reports that the target leaves, Report returns when
// that is kept outside this process, or with ErrDepartureNotKept after departureTimeout, or with the
// error of ctx.
func (n *Node) Report(ctx context.Context, e control.Event) error {
	n.step(e)
	timeout := time.NewTimer(departureTimeout)
	defer timeout.Stop()
	for {
		kept := n.departureKept.wait()
		if n.isDepartureKept(e) {
			return nil
		}
		select {
		case <-kept:
		case <-timeout.C:
			return ErrDepartureNotKept
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "report of a departure")
		}
	}
}

func (n *Node) isDepartureKept(e control.Event) bool {
	n.controlMu.Lock()
	defer n.controlMu.Unlock()
	return n.control.DepartureKept(e)
}

// broadcast wakes any number of waiters.
type broadcast struct {
	mu      sync.Mutex
	waiting chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{waiting: make(chan struct{})} }

// wait returns a channel that is closed by the next notify.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.waiting)
	b.waiting = make(chan struct{})
}
