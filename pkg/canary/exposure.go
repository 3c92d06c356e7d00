package canary

import "time"

// Limits are what all targets of a version on trial together may get between the order and the
// deadline of its move.
type Limits struct {
	// Share is the part of the service's requests, and Slack the number of requests in addition.
	Share, Slack float64
}

// DefaultLimits hold if the platform sets none.
var DefaultLimits = Limits{Share: 0.1, Slack: 50}

const (
	// shareMargin is the part of the share that is used. The rest covers requests that reach a target
	// and are not counted as reached.
	shareMargin = 0.95
	// slackMargin is the part of the slack that is used. The rest covers the rounding of the parts
	// of many targets, and targets that join while the others have used theirs.
	slackMargin = 0.85
)

// PerTarget returns how many requests each of a number of targets of the version on trial may have
// got once reached requests have reached targets of any version. watched is the part of the move, from
// 0 to 1, for which the process that counts them has run: it has not counted what the target got
// before.
//
// The node beside the target enforces it, since nothing reaches the target in another way. The sum
// over the targets therefore holds whatever the senders know, and whatever the load, the retries and
// the restarts are.
func (l Limits) PerTarget(reached, targets int, watched float64) float64 {
	return (l.Share*shareMargin*float64(reached) + l.Slack*slackMargin*min(max(watched, 0), 1)) / float64(max(targets, 1))
}

// Trial limits what the local target gets while its version is on trial.
type Trial struct {
	// Number and Version are those of the order.
	Number  uint64
	Version string
	// Allowed is the number of requests that the target may have got so far.
	Allowed float64
	// Deadline is the end of the trial on the clock of the node.
	Deadline time.Duration
}

// Exposure counts what a target got while its version is on trial. The zero value has counted
// nothing.
type Exposure struct {
	// Rounding is the part of one request, from 0 to 1, that is added to what is allowed. Chosen at
	// random for each target, it makes the sum over many targets right on average.
	Rounding float64

	taken int
}

// Take counts a request for the target. It reports whether the trial allows it.
func (e *Exposure) Take(t Trial, now time.Duration) bool {
	if now < t.Deadline && float64(e.taken+1) > t.Allowed+e.Rounding {
		return false
	}
	e.taken++
	return true
}

// Return takes back a request that did not reach the target.
func (e *Exposure) Return() { e.taken-- }

// Taken returns the number of requests that the target got.
func (e *Exposure) Taken() int { return e.taken }
