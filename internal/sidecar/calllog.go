package sidecar

import (
	"net/http"
	"time"

	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// attemptNote is what the log says of one attempt of a call.
type attemptRecord struct {
	Node    mesh.NodeID `json:"node"`
	Target  string      `json:"target"`
	Version string      `json:"version,omitempty"`
	Outcome string      `json:"outcome"`
	Reason  string      `json:"reason,omitempty"`
	Status  int         `json:"status,omitempty"`
	// AtMS is when the attempt began, since the request came; TookMS is how long
	// it lasted, and TargetMS how long the target took of it.
	StartMS          int64 `json:"at_ms"`
	DurationMS       int64 `json:"took_ms"`
	TargetDurationMS int64 `json:"target_ms,omitempty"`
	// WaitMS is the wait that the target's node expected.
	ExpectedWaitMS int64 `json:"wait_ms,omitempty"`
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
}

// note keeps an attempt for the log line of the call.
func (c *call) recordAttempt(e balance.Endpoint, res result, began, ended time.Duration) {
	a := attemptRecord{
		Node: e.Node, Target: e.Target, Version: e.Version, Outcome: res.outcome.String(), Reason: res.reason,
		StartMS: (began - c.arrived).Milliseconds(), DurationMS: (ended - began).Milliseconds(),
		TargetDurationMS: res.targetTime.Milliseconds(), ExpectedWaitMS: res.expectedWait.Milliseconds(),
		Running: res.load.Running, Waiting: res.load.Waiting,
	}
	if res.response != nil {
		a.Status = res.response.status
	}
	c.attempts = append(c.attempts, a)
}

// ended writes the log line of a call. Answers in time are sampled.
func (n *Node) logEnded(c *call, outcome, reason string, status int) {
	elapsed := n.clock.now() - c.arrived
	if outcome == outcomeResponded && status < http.StatusInternalServerError && n.clock.now() <= c.softDeadline &&
		n.timelyResponses.Add(1)%successLogInterval != 0 {
		return
	}
	n.logger.Info("call_ended", "request", c.id, "route", c.route.Name, "service", c.service, "outcome", outcome,
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

// successSample is how many answers in time share one log line, so that the log
// stays small while nothing is wrong.
const successLogInterval = 64

// rejected writes the log line of a request that no route took.
func (n *Node) logRejected(r *http.Request, id string, status int, reason string) {
	n.logger.Info("call_rejected", "request", id, "host", r.Host, "path", r.URL.Path, "status", status, "reason", reason)
}
