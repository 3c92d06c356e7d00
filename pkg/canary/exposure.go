package canary

import "time"

// Limits are what all nodes together may send to a version on trial between the order and the
// deadline of its move.
type Limits struct {
	// Share is the part of the service's requests, and Slack the number of requests in addition.
	Share, Slack float64
}

// DefaultLimits hold if the platform sets none.
var DefaultLimits = Limits{Share: 0.1, Slack: 50}

const (
	// shareMargin is the part of the share that nodes use. The rest covers requests that a node
	// counts and the target does not.
	shareMargin = 0.95
	// slackMargin is the part of the slack that nodes use. The rest covers the rounding of many
	// nodes and rates that differ from the measured ones.
	slackMargin = 0.8
)

// Trial is a move whose new version is not accepted yet.
type Trial struct {
	// Number and Version are those of the order.
	Number  uint64
	Version string
	// Deadline is the end of the move on the clock of the node, and Duration its length.
	Deadline, Duration time.Duration
	// OwnPerSecond is the rate of the requests of this node for the service, PerSecond that of all
	// nodes, 0 if it is not known.
	OwnPerSecond, PerSecond float64
}

// Exposure limits what one node sends to a version on trial. Each node keeps to its part of the
// limits by what it has counted itself, so that their sum holds without agreement and whatever
// the load, the retries and the restarts of nodes are:
//
//   - of the share, a node uses the part of the requests that it carried itself;
//   - of the slack, it uses at most the part that its rate has in the highest rate of all nodes so
//     far, and that only as the requests of the move arrive.
//
// A node that restarts begins with nothing. The zero value has counted nothing.
type Exposure struct {
	// Rounding is the part of one request, from 0 to 1, that is added to what is allowed. Chosen at
	// random on each node, it makes the sum over nodes with few requests right on average.
	Rounding float64

	requests, sent int
	// highest is the highest rate of all nodes so far.
	highest float64
}

// Room reports whether a request may be sent to the version on trial. counted is set if Count was
// called for it.
func (e *Exposure) Room(t Trial, l Limits, now time.Duration, counted bool) bool {
	requests := e.requests
	if !counted {
		requests++
	}
	return now >= t.Deadline || float64(e.sent+1) <= e.allowed(t, l, requests)+e.Rounding
}

// allowed returns how many of a number of requests may be sent to the version on trial.
func (e *Exposure) allowed(t Trial, l Limits, requests int) float64 {
	e.highest = max(e.highest, t.PerSecond)
	allowed := l.Share * shareMargin * float64(requests)
	if e.highest > 0 && t.Duration > 0 {
		own := min(float64(requests)/t.Duration.Seconds(), t.OwnPerSecond)
		allowed += l.Slack * slackMargin * min(own/e.highest, 1)
	}
	return allowed
}

// Take counts a request that is sent to the version on trial. It reports whether there is room for it.
func (e *Exposure) Take(t Trial, l Limits, now time.Duration, counted bool) bool {
	if !e.Room(t, l, now, counted) {
		return false
	}
	e.sent++
	return true
}

// Return takes back a request that was counted by Take and did not reach a target.
func (e *Exposure) Return() { e.sent-- }

// Count counts a request for the service that has reached a target of any version.
func (e *Exposure) Count() { e.requests++ }

// Sent returns how many requests were sent to the version on trial.
func (e *Exposure) Sent() int { return e.sent }

// Requests returns how many requests for the service have reached a target.
func (e *Exposure) Requests() int { return e.requests }
