package sidecar

import (
	"time"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/internal/signals"
	"heathercroft.example/heathercroft/pkg/directory"
)

// lastSignals holds the signals in the last response of the local target.
type lastSignals struct {
	target  directory.Process
	signals directory.Signals
	// malformed and loadMalformed are set after a response with malformed signals or a
	// malformed load was logged.
	malformed, loadMalformed bool
	// load is the load in the last response that told it.
	load signals.Load
}

// recordSignals applies the signals in a response of the local target to a request that was
// sent at a time, and logs changes.
func (n *Node) recordSignals(request string, target directory.Process, r *response, sentAt time.Duration) *directory.Signals {
	s, err := signals.Headers{RateLimit: n.headers.RateLimit, Leaving: n.headers.Leaving}.Read(r.header)
	n.signalsMu.Lock()
	last := n.lastSignals
	if last.target != target {
		last = lastSignals{target: target}
	}
	before := last.signals
	if err != nil && !s.Limited {
		s.Limited, s.RateLimit = before.Limited, before.RateLimit
	}
	logMalformed := err != nil && !last.malformed
	last.signals, last.malformed = s, last.malformed || err != nil
	n.lastSignals = last
	n.signalsMu.Unlock()
	if logMalformed {
		n.logger.Warn("target_signal_malformed", "request", request, "target", target.ID, "error", err.Error())
	}
	if err != nil {
		n.metrics.malformedSignals.Add(1)
	}
	if s.Limit() != before.Limit() {
		n.logger.Info("target_limit", "request", request, "target", target.ID, "limit_per_s", s.Limit(), "before_per_s", before.Limit(),
			"sent_per_s", n.sent.perSecond(n.clock.now())[target.ID])
	}
	if s.Leaving && !before.Leaving {
		n.logger.Info("target_leaving_signal", "request", request, "target", target.ID)
	}
	n.gate.signal(target, s, sentAt)
	n.stepSignals(target, &s)
	return &s
}

// recordLoad applies the load in a response of the local target. It is not part of the signals
// that nodes pass on to each other, since it changes with almost every response.
func (n *Node) recordLoad(request string, target directory.Process, r *response) {
	load, ok, err := signals.Headers{Load: n.headers.Load}.ReadLoad(r.header)
	if err != nil {
		n.metrics.malformedSignals.Add(1)
	}
	n.signalsMu.Lock()
	if n.lastSignals.target != target {
		n.lastSignals = lastSignals{target: target}
	}
	logMalformed := err != nil && !n.lastSignals.loadMalformed
	n.lastSignals.loadMalformed = n.lastSignals.loadMalformed || err != nil
	if ok {
		n.lastSignals.load = load
	}
	n.signalsMu.Unlock()
	if logMalformed {
		n.logger.Warn("target_signal_malformed", "request", request, "target", target.ID, "error", err.Error())
	}
	if ok && load.Disturbance > 0 {
		n.gate.setDisturbance(target, load.Disturbance)
	}
}

// targetLoad returns the load in the last response of the local target that told it.
func (n *Node) targetLoad() signals.Load {
	n.signalsMu.Lock()
	defer n.signalsMu.Unlock()
	return n.lastSignals.load
}

// disturbedTargets returns the number of targets whose machines are disturbed, as far as this node
// knows.
func (n *Node) disturbedTargets() int {
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	return n.balancer.Disturbed(n.clock.now())
}

// stepSignals passes the signals in a response of a target on to the state machine if they
// changed. received is nil if there was no response.
func (n *Node) stepSignals(target directory.Process, received *directory.Signals) {
	if received == nil {
		return
	}
	if *received != n.view.Load().Signals[target] {
		n.step(control.TargetSignaled{Target: target, Signals: *received})
	}
}

// targetLimit returns the limit in the last response of the local target, or -1.
func (n *Node) targetLimit() float64 {
	n.signalsMu.Lock()
	defer n.signalsMu.Unlock()
	return n.lastSignals.signals.Limit()
}
