// Package retry decides whether a failed attempt may be sent again and what the
// caller is told otherwise. It reads no clock and does no I/O.
package retry

import (
	"time"
)

// Limits of retries.
const (
	// MaxRetries bounds the retries of one call, and of a chain of nested calls.
	MaxRetries = 2
	// MinTimeLeft is the least time before the deadline that a retry needs.
	MinTimeLeft = 5 * time.Millisecond
	// MaxDepth is the deepest nesting of calls.
	MaxDepth = 24
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// ResponseReceived: a complete answer of the target.
	ResponseReceived Outcome = iota
	// NotSent: no byte left this node (no endpoint, no connection, canceled before).
	NotSent
	// ConnectionRefused: the connection was not established.
	ConnectionRefused
	// RefusedByNode: the target's node refused before it reached the target.
	RefusedByNode
	// RefusedByTarget: the target said not-run in its own header on a 503.
	RefusedByTarget
	// ResetBeforeWrite: the connection broke before a byte was written.
	ResetBeforeWrite
	// ResetAfterWrite: the connection broke after bytes were written.
	ResetAfterWrite
	// TimedOut: no answer in time, or a silent connection.
	TimedOut
	// ShortBody: the answer's body ended early, after the caller got a part of it.
	ShortBody
	// MayHaveRun: the target's node said that the request may have run.
	MayHaveRun
)

// NotRun reports whether the outcome proves that the target did not run the request.
func (o Outcome) NotRun() bool {
	switch o {
	case NotSent, ConnectionRefused, RefusedByNode, RefusedByTarget, ResetBeforeWrite:
		return true
	default:
		return false
	}
}

// Action is what to do after an attempt.
type Action int

// The actions.
const (
	// Deliver the answer.
	Deliver Action = iota
	// Retry on another endpoint.
	Retry
	// RefuseNotRun: tell the caller that the request did not run.
	RefuseNotRun
	// RefuseMayHaveRun: tell the caller that the request may have run.
	RefuseMayHaveRun
	// Abort the caller's connection, since the answer has begun.
	Abort
)

// Attempt describes a finished attempt.
type Attempt struct {
	Outcome Outcome
	Method  string
	// BodyConsumed is set if a byte of the caller's body was read, so that it
	// cannot be sent again.
	BodyConsumed bool
	// Keyed is set for requests with an Idempotency-Key.
	Keyed bool
	// Retries is how many retries the call has had.
	Retries int
	// InheritedRetries is the Heathercroft-Attempt of the call that this one is nested in.
	InheritedRetries int
	// TimeLeft is the time before the deadline; negative if it has passed.
	TimeLeft time.Duration
}

// Decide applies the rules of retries. allow is asked last and spends a unit of
// the budget.
func Decide(a Attempt, allow func() bool) Action {
	switch a.Outcome {
	case ResponseReceived:
		return Deliver
	case ShortBody:
		return Abort
	}
	if a.mayRetry() && a.withinLimits() && allow() {
		return Retry
	}
	if a.Outcome.NotRun() {
		return RefuseNotRun
	}
	return RefuseMayHaveRun
}

func (a Attempt) mayRetry() bool {
	if a.BodyConsumed {
		return false
	}
	if a.Keyed {
		// A byte of the request reached the target, even if it says that it did not run it.
		return a.Outcome.NotRun() && a.Outcome != RefusedByTarget
	}
	if a.Outcome.NotRun() {
		return true
	}
	// Retries of a call nested in a retried call would multiply over the levels.
	return Idempotent(a.Method) && a.InheritedRetries == 0
}

func (a Attempt) withinLimits() bool {
	return a.Retries+a.InheritedRetries < MaxRetries && a.TimeLeft >= MinTimeLeft
}

// Idempotent reports whether a method is idempotent by HTTP.
func Idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// String returns the outcome's name for logs and metrics.
func (o Outcome) String() string {
	names := [...]string{
		"answered", "not-sent", "connection-refused", "refused-by-node", "refused-by-target",
		"reset-before-write", "reset-after-write", "timed-out", "short-body", "may-have-run",
	}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}
