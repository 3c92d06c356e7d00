package balance

import "time"

// healthEWMAWeight is the weight of one request in the share of failures of a target: about
// the last 20 count, a second of a busy target.
const healthEWMAWeight = 0.05

// Health is the share of the newest requests that a target failed or turned away, as
// the node beside it counts it. One node sends a target a request a second or fewer, and
// so finds out late by itself.
type Health struct {
	failureRate float64
	at          time.Duration
}

// Record counts a request.
func (h *Health) Record(failed bool, now time.Duration) {
	f := h.FailureRate(now)
	if failed {
		f += healthEWMAWeight * (1 - f)
	} else {
		f -= healthEWMAWeight * f
	}
	h.failureRate, h.at = f, now
}

// FailureRate returns the share. It fades, so that a target without requests is tried again.
func (h *Health) FailureRate(now time.Duration) float64 {
	return h.failureRate * failureDecay(now-h.at)
}
