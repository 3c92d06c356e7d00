package balance

import "time"

// Estimate is what this node expects of a request at an endpoint.
type Estimate struct {
	// Wait is the expected queueing time, Response the expected response time including the
	// margins that admission applies.
	Wait, Response time.Duration
	// Load is the number of requests at the target, as far as this node knows.
	Load float64
	// FailureRate is the share of recent requests that the target failed or refused.
	FailureRate float64
	// LastResort is set if the endpoint is to be chosen only if there is no other.
	LastResort bool
}

// Estimate returns what this node expects of a request at an endpoint.
func (b *Balancer) Estimate(e Endpoint, r Request, now time.Duration) Estimate {
	s := b.stateOf(e)
	wait, response := s.estimate(e, r, now)
	age := float64(now-s.reportedAt) / float64(loadReportMaxAge)
	return Estimate{
		Wait: wait, Response: response, Load: float64(s.ownInFlight) + s.otherInFlight*max(0, 1-age),
		FailureRate: s.failureRate(now), LastResort: b.lastResort(e, now),
	}
}
