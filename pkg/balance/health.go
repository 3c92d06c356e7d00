package balance

import "time"

// healthEWMAWeight is the weight of one request in the moving average of a target's
// failure rate. It covers about the last 20 requests, which is a second of a busy target.
const healthEWMAWeight = 0.05

// Health tracks the share of recent requests that a target failed or refused, as counted
// by the node beside it. A single sending node has at most about one request a second per
// target, too few to detect failures quickly.
type Health struct {
	failureRate float64
	at          time.Duration
}

// Record counts a completed request.
func (h *Health) Record(failed bool, now time.Duration) {
	f := h.FailureRate(now)
	if failed {
		f += healthEWMAWeight * (1 - f)
	} else {
		f -= healthEWMAWeight * f
	}
	h.failureRate, h.at = f, now
}

// FailureRate returns the failure rate. It decays over time, so that a target without
// requests gets some again.
func (h *Health) FailureRate(now time.Duration) float64 { return h.failureRate * decay(now-h.at) }
