package sidecar

import (
	"net/http"
	"time"

	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// attemptNote is what the log says of one attempt of a call.
type attemptNote struct {
	Node    mesh.NodeID `json:"node"`
	Target  string      `json:"target"`
	Version string      `json:"version,omitempty"`
	Outcome string      `json:"outcome"`
	Reason  string      `json:"reason,omitempty"`
	Status  int         `json:"status,omitempty"`
	// AtMS is when the attempt began, since the request came; TookMS is how long
	// it lasted, and TargetMS how long the target took of it.
	AtMS     int64 `json:"at_ms"`
	TookMS   int64 `json:"took_ms"`
	TargetMS int64 `json:"target_ms,omitempty"`
	// WaitMS is the wait that the target's node expected.
	WaitMS  int64 `json:"wait_ms,omitempty"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
}

// note keeps an attempt for the log line of the call.
func (c *call) note(e balance.Endpoint, res result, began, ended time.Duration) {
	a := attemptNote{
		Node: e.Node, Target: e.Target, Version: e.Version, Outcome: res.outcome.String(), Reason: res.reason,
		AtMS: (began - c.arrived).Milliseconds(), TookMS: (ended - began).Milliseconds(),
		TargetMS: res.took.Milliseconds(), WaitMS: res.wait.Milliseconds(),
		Running: res.report.Running, Waiting: res.report.Waiting,
	}
	if res.reply != nil {
		a.Status = res.reply.status
	}
	c.notes = append(c.notes, a)
}

// ended writes the log line of a call. Answers in time are sampled.
func (n *Node) ended(c *call, outcome, reason string, status int) {
	held := n.clock.now() - c.arrived
	if outcome == outcomeAnswered && status < http.StatusInternalServerError && n.clock.now() <= c.useful &&
		n.sampled.Add(1)%successSample != 0 {
		return
	}
	n.logger.Info("call_ended", "request", c.id, "route", c.route.Name, "service", c.service, "outcome", outcome,
		"reason", reason, "status", status, "held_ms", held.Milliseconds(), "useful_ms", (c.useful - c.arrived).Milliseconds(),
		"deadline_ms", (c.deadline - c.arrived).Milliseconds(), "config_version", uint64(c.config), "standing", int(c.standing),
		"inner", c.inner, "repeat", c.repeat, "attempts", c.notes)
}

// Outcomes of calls in the log.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeFailed   = "failed"
	outcomeLeft     = "caller-left"
)

// successSample is how many answers in time share one log line, so that the log
// stays small while nothing is wrong.
const successSample = 64

// rejected writes the log line of a request that no route took.
func (n *Node) rejected(r *http.Request, id string, status int, reason string) {
	n.logger.Info("call_rejected", "request", id, "host", r.Host, "path", r.URL.Path, "status", status, "reason", reason)
}
