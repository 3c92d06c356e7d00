// Package retry decides whether a failed attempt may be retried, and what the caller is
// told if it is not. It reads no clock and does no I/O.
package retry

import (
	"time"
)

// Limits of retries.
const (
	// MaxRetries limits the retries of one call, or of a chain of nested calls.
	MaxRetries = 2
	// MinTimeLeft is the minimum time before the deadline for a retry.
	MinTimeLeft = 5 * time.Millisecond
	// MaxDepth is the maximum nesting depth of calls.
	MaxDepth = 24
)

// Outcome is the result of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	// ResponseReceived: the target sent a complete response.
	ResponseReceived Outcome = iota
	// NotSent: no byte was sent by this node (no endpoint, no connection, or canceled).
	NotSent
	// ConnectionRefused: the connection was not established.
	ConnectionRefused
	// RefusedByNode: the target's node refused the request before it reached the target.
	RefusedByNode
	// RefusedByTarget: the target sent a 503 with a header that states that the request
	// was not executed.
	RefusedByTarget
	// ResetBeforeWrite: the connection broke before a byte was written.
	ResetBeforeWrite
	// ResetAfterWrite: the connection broke after bytes were written.
	ResetAfterWrite
	// TimedOut: no response in time, or an unresponsive connection.
	TimedOut
	// ShortBody: the response body was truncated after a part of it was sent to the caller.
	ShortBody
	// MayHaveRun: the target's node reported that the request may have run.
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

// Action is how to proceed after an attempt.
type Action int

// Actions.
const (
	// Deliver the response.
	Deliver Action = iota
	// Retry on another endpoint.
	Retry
	// RefuseNotRun: tell the caller that the request did not run.
	RefuseNotRun
	// RefuseMayHaveRun: tell the caller that the request may have run.
	RefuseMayHaveRun
	// Abort the caller's connection, since a part of the response was sent already.
	Abort
)

// Attempt describes a completed attempt.
type Attempt struct {
	Outcome Outcome
	Method  string
	// BodyConsumed is set if any of the caller's body was read. It can't be sent again.
	BodyConsumed bool
	// Keyed is set for requests with an Idempotency-Key.
	Keyed bool
	// Retries is the number of earlier retries of the call.
	Retries int
	// InheritedRetries is the retry count of the enclosing call, from its
	// Heathercroft-Attempt header.
	InheritedRetries int
	// TimeLeft is the time until the deadline; negative if it has passed.
	TimeLeft time.Duration
}

// Decide applies the retry policy. allow takes a retry from the budget; it is called last,
// so that only a permitted retry is taken.
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
		// A request refused by the target did reach it, even if the target states that it
		// did not run.
		return a.Outcome.NotRun() && a.Outcome != RefusedByTarget
	}
	if a.Outcome.NotRun() {
		return true
	}
	// Retries within a retried call would multiply with each level of nesting.
	return Idempotent(a.Method) && a.InheritedRetries == 0
}

func (a Attempt) withinLimits() bool {
	return a.Retries+a.InheritedRetries < MaxRetries && a.TimeLeft >= MinTimeLeft
}

// Idempotent reports whether HTTP defines a method as idempotent.
func Idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// String returns the name of the outcome in logs and metrics.
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
