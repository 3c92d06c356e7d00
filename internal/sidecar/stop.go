package sidecar

import (
	"context"
	"time"

	"heathercroft.example/heathercroft/internal/control"
)

const (
	// readinessNotice is how long a stopping node goes on as before: callers stay
	// away after two failed readiness checks, which come once a second.
	readinessNotice = 2300 * time.Millisecond
	// drainPoll is the time between two looks at the requests in flight.
	drainPoll = 20 * time.Millisecond
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
	time.Sleep(min(readinessNotice, n.settings.Grace/2))
	for _, s := range n.servers {
		s.SetKeepAlivesEnabled(false)
	}
	end := started + n.settings.Grace - stopMargin
	for n.inFlight.Load() > 0 && n.clock.now() < end {
		time.Sleep(drainPoll)
	}
	n.logger.Info("stopped", "in_flight", n.inFlight.Load())
	return nil
}
