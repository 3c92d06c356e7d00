package sidecar

import (
	"net/http"
	"time"

	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// attemptRecord describes one attempt of a call in the log.
type attemptRecord struct {
	Node    mesh.NodeID `json:"node"`
	Target  string      `json:"target"`
	Version string      `json:"version,omitempty"`
	Outcome string      `json:"outcome"`
	Reason  string      `json:"reason,omitempty"`
	Status  int         `json:"status,omitempty"`
	// StartMS is the time from the arrival of the request to the start of the attempt,
	// DurationMS the duration of the attempt, and TargetDurationMS the part of it at the
	// target.
	StartMS          int64 `json:"at_ms"`
	DurationMS       int64 `json:"took_ms"`
	TargetDurationMS int64 `json:"target_ms,omitempty"`
	// ExpectedWaitMS is the queueing time that the node of the target estimated.
	ExpectedWaitMS int64 `json:"wait_ms,omitempty"`
	// Signals are those in the response of the target.
	Signals *directory.Signals `json:"signals,omitempty"`
	Running int                `json:"running"`
	Waiting int                `json:"waiting"`
	// Room and DisturbancePercent are those of the load report, if they are not usual.
	Room               int `json:"room,omitempty"`
	DisturbancePercent int `json:"disturbed,omitempty"`
	// Copy is set if the attempt ran beside an earlier one.
	Copy bool `json:"copy,omitempty"`
}

// recordAttempt adds an attempt to the log line of the call.
func (c *call) recordAttempt(from *callAttempt, res result, ended time.Duration) {
	e, began := from.endpoint, from.began
	a := attemptRecord{
		Node: e.Node, Target: e.Target, Version: e.Version, Outcome: res.outcome.String(), Reason: res.reason, Copy: from.isCopy,
		StartMS: (began - c.arrived).Milliseconds(), DurationMS: (ended - began).Milliseconds(),
		TargetDurationMS: res.targetTime.Milliseconds(), ExpectedWaitMS: res.expectedWait.Milliseconds(),
		Running: res.load.Running, Waiting: res.load.Waiting, Signals: res.signals,
		Room: res.load.Room, DisturbancePercent: int(100 * res.load.Disturbance),
	}
	if res.response != nil {
		a.Status = res.response.status
	}
	if a.Signals != nil && *a.Signals == (directory.Signals{}) {
		a.Signals = nil
	}
	c.attempts = append(c.attempts, a)
}

// logEnded writes the log line of a call. Successful responses in time are sampled.
func (n *Node) logEnded(c *call, outcome, reason string, status int) {
	elapsed := n.clock.now() - c.arrived
	if outcome == outcomeResponded && status < http.StatusInternalServerError && n.clock.now() <= c.softDeadline &&
		n.timelyResponses.Add(1)%successLogInterval != 0 {
		return
	}
	logger := n.logger
	if c.organisation != nil {
		logger = logger.With("organisation", c.organisation.Name)
	}
	if fields, skip := n.caps.logFields(&c.charge, reason); skip {
		return
	} else if len(fields) > 0 {
		logger = logger.With(fields...)
	}
	logger.Info("call_ended", "request", c.id, "route", c.route.Name, "service", c.service, "outcome", outcome,
		"reason", reason, "status", status, "held_ms", elapsed.Milliseconds(), "useful_ms", (c.softDeadline - c.arrived).Milliseconds(),
		"deadline_ms", (c.deadline - c.arrived).Milliseconds(), "config_version", uint64(c.config), "standing", int(c.attemptKind),
		"inner", c.nested, "repeat", c.isRetry, "attempts", c.attempts)
}

// Outcomes of calls in the log.
const (
	outcomeResponded  = "answered"
	outcomeRefused    = "refused"
	outcomeFailed     = "failed"
	outcomeCallerLeft = "caller-left"
)

// successLogInterval is the number of successful responses in time per log line. It keeps
// the log small in normal operation.
const successLogInterval = 64

// logRejected writes the log line of a request that was rejected before it was assigned to
// a target.
func (n *Node) logRejected(r *http.Request, id string, status int, reason string) {
	n.logger.Info("call_rejected", "request", id, "host", r.Host, "path", r.URL.Path, "status", status, "reason", reason)
}
