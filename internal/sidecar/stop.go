package sidecar

import (
	"context"
	"time"

	"heathercroft.example/heathercroft/internal/control"
)

const (
	// readinessNotice is how long a stopping node goes on as before: callers stay
	// away after two failed readiness checks, which come once a second.
	readinessNoticeTime = 2300 * time.Millisecond
	// drainPoll is the time between two looks at the requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// acceptTime is how long a stopping node takes new requests of callers: what it
	// takes must end before the grace period does, and requests last for seconds.
	acceptPeriod = 3 * time.Second
	// quietTime without a request ends the drain early.
	drainQuietPeriod = 500 * time.Millisecond
	// closeTime is left for the requests in flight after the last one was taken.
	closeReserve = 1200 * time.Millisecond
	// stopMargin of the grace period is left for the end of the process.
	stopMargin = 500 * time.Millisecond
	// stopTimeout bounds the closing of the listeners after the drain.
	stopTimeout = 300 * time.Millisecond
)

// drain tells the others and the callers to go elsewhere and finishes the
// requests in flight.
func (n *Node) drain(context.Context) error {
	started := n.clock.now()
	n.stopping.Store(true)
	n.step(control.Stopping{})
	n.logger.Info("stopping", "in_flight", n.inFlight.Load())
	time.Sleep(min(readinessNoticeTime, n.settings.GracePeriod/2))
	// From here on each answer ends its connection. Idle connections stay open: a
	// request may be on its way on each of them.
	n.closing.Store(true)
	end := started + n.settings.GracePeriod - stopMargin
	n.waitIdle(drainQuietPeriod, started+min(acceptPeriod, n.settings.GracePeriod/2))
	n.refusing.Store(true)
	n.waitIdle(drainQuietPeriod, end-closeReserve)
	n.step(control.Closing{})
	go n.withdraw()
	n.waitIdle(0, end)
	n.closed.Store(true)
	n.logger.Info("stopped", "in_flight", n.inFlight.Load())
	return nil
}

// withdraw drops this node's record from the store: nodes that start later would
// otherwise ask a machine that is gone, and each attempt costs a caller the wait for it.
func (n *Node) withdraw() {
	_ = n.writeStore("withdrawal", func(ctx context.Context) error { return n.store.Withdraw(ctx, n.settings.Node) })
}

// waitQuiet waits until nothing was in flight for a time, at most until the end.
func (n *Node) waitIdle(quiet, end time.Duration) {
	since := n.clock.now()
	for now := since; now < end; now = n.clock.now() {
		if n.inFlight.Load() > 0 {
			since = now
		} else if now-since >= quiet {
			return
		}
		time.Sleep(drainPollInterval)
	}
}
