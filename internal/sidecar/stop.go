package sidecar

import (
	"context"
	"time"

	"heathercroft.example/heathercroft/internal/control"
)

const (
	// readinessNoticeTime is how long a stopping node continues as before: callers stay
	// away after two failed readiness checks, which run once a second.
	readinessNoticeTime = 2300 * time.Millisecond
	// drainPollInterval is the time between two checks of the requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// acceptPeriod is how long a stopping node accepts new requests of callers: they must
	// end before the grace period does, and requests take up to several seconds.
	acceptPeriod = 3 * time.Second
	// drainQuietPeriod without a request ends the drain early.
	drainQuietPeriod = 500 * time.Millisecond
	// closeReserve is the time reserved for the requests in flight after the last one was
	// accepted.
	closeReserve = 1200 * time.Millisecond
	// closeNoticeTime is how long requests of other nodes are refused as not run before their
	// connections close: one that crosses the close may have run, as far as its sender knows.
	closeNoticeTime = 200 * time.Millisecond
	// answerPeriod is the time in which the requests that are given up at the end of a stop get
	// their responses.
	answerPeriod = 150 * time.Millisecond
	// stopMargin is the part of the grace period reserved for the delivery of the last responses
	// and the exit of the process.
	stopMargin = 500 * time.Millisecond
)

// drain announces the stop to the other nodes and the callers, and finishes the requests
// in flight. Responses that the callers and the other nodes have not received then are
// delivered by the servers.
func (n *Node) drain(context.Context) error {
	started := n.clock.now()
	end := started + n.settings.GracePeriod - stopMargin
	n.stopEnd.Store(int64(end))
	n.stopping.Store(true)
	n.step(control.Stopping{})
	n.logger.Info("stopping", "in_flight", n.inFlight.Load())
	time.Sleep(min(readinessNoticeTime, n.settings.GracePeriod/2))
	// From here on each response closes its connection. Idle connections stay open: a
	// request may be in transit on each of them.
	n.closing.Store(true)
	n.waitIdle(drainQuietPeriod, started+min(acceptPeriod, n.settings.GracePeriod/2))
	n.refusing.Store(true)
	n.waitIdle(drainQuietPeriod, end-closeReserve)
	n.step(control.Closing{})
	n.waitIdle(closeNoticeTime, end)
	// A caller whose request is given up is told so, since it may have run. Later requests are
	// refused as not run.
	n.endCalls()
	n.waitIdle(0, n.clock.now()+answerPeriod)
	n.logger.Info("stopped", "in_flight", n.inFlight.Load())
	return nil
}

// mayOutlastStop reports whether a request with the deadline may still be running when this
// node stops. It is then refused as not run, rather than forwarded and given up.
func (n *Node) mayOutlastStop(deadline time.Duration) bool {
	return n.closing.Load() && int64(deadline) > n.stopEnd.Load()
}

// waitIdle waits until nothing has been in flight for the quiet time, but at most until
// end.
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
