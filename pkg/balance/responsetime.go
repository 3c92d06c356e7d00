package balance

import (
	"math"
	"time"

	"heathercroft.example/heathercroft/pkg/admission"
)

// estimate returns the expected queueing time, and the expected response time including
// the margins that admission applies.
func (s *endpointState) estimate(e Endpoint, r Request, now time.Duration) (wait, total time.Duration) {
	slowdown := s.slowdown
	if e.Cold {
		slowdown = max(slowdown, coldSlowdown)
	}
	disturbance := s.disturbance.Factor(now)
	serviceTime := time.Duration(float64(r.ExpectedServiceTime) * slowdown * disturbance)
	meanServiceTime := time.Duration(float64(s.meanServiceTime) * disturbance)
	if meanServiceTime == 0 {
		meanServiceTime = serviceTime
	}
	age := float64(now-s.reportedAt) / float64(loadReportMaxAge)
	load := float64(s.ownInFlight) + s.otherInFlight*max(0, 1-age)
	slots := float64(max(e.Slots, 1))
	if s.room > 0 && now-s.reportedAt < roomMaxAge {
		slots = min(slots, float64(s.room))
	}
	if over := load + 1 - slots; over > 0 {
		wait = time.Duration(over * float64(meanServiceTime) / slots)
	}
	wait = max(wait, s.rateLimitWait(r, now), s.overdue(now))
	use := s.linkUtilization * max(0, 1-age)
	return wait, admission.WithMargins(wait, serviceTime) + e.transferTime(s.ownBytesInFlight+r.Bytes, use)
}

// overdue returns how long the endpoint's node has sent nothing although a response is due. A
// request that is sent now has to expect at least as much. Otherwise a node that has lost power,
// or has no processor time left, would look idle once its last load report is old, and would get
// one request after the other until each has reached its deadline.
func (s *endpointState) overdue(now time.Duration) time.Duration {
	if s.ownInFlight == 0 || s.responseTime == 0 {
		return 0
	}
	return max(0, now-s.awaitedSince-s.responseTime)
}

// availableRate estimates how many requests the rate limit of the target allows now. Between
// reports this node counts on its share of the limit only. Once the report is too old, one
// request finds out whether the limit has ended.
func (s *endpointState) availableRate(r Request, now time.Duration) float64 {
	age := now - s.rateSince
	if age >= loadReportMaxAge && s.sentSinceReport == 0 && s.coldSince == never {
		return 1
	}
	share := s.rateLimit / float64(max(r.Senders, 1))
	burst := s.rateBurst
	if burst == 0 {
		burst = max(s.rateLimit, 1)
	}
	return min(s.rateAvailable+share*age.Seconds(), burst) - float64(s.sentSinceReport)
}

// assumeCold assumes the limit of a cold target of which there is no report since it became cold.
// Each node begins with a random part of a request to spare, so that the first requests of all
// nodes together come at the rate of the limit.
func (s *endpointState) assumeCold(e Endpoint, now time.Duration, random func() float64) {
	switch {
	case e.ColdRate <= 0:
		if s.assumesCold {
			s.rateLimited = false
		}
		s.coldSince, s.assumesCold = never, false
	case s.assumesCold:
		s.rateLimit = e.ColdRate
	case s.coldSince == never && s.rateLimited && s.rateLimit <= e.ColdRate && now-s.rateSince < loadReportMaxAge:
		s.coldSince = now
	case s.coldSince == never:
		s.coldSince, s.assumesCold = now, true
		s.rateLimited, s.rateLimit, s.rateBurst = true, e.ColdRate, 1
		s.rateAvailable, s.rateSince, s.sentSinceReport = random(), now, 0
	}
}

// coldUsedUp reports whether the node beside a cold target is expected to refuse the request.
func (s *endpointState) coldUsedUp(e Endpoint, r Request, now time.Duration) bool {
	return e.ColdRate > 0 && s.rateLimited && s.availableRate(r, now) < 1
}

// rateLimitWait returns how long the rate limit of the target delays a request.
func (s *endpointState) rateLimitWait(r Request, now time.Duration) time.Duration {
	if !s.rateLimited {
		return 0
	}
	missing := max(0, 1-s.availableRate(r, now))
	return time.Duration(missing / max(s.rateLimit, minRateLimit) * float64(time.Second))
}

// rateLimitCost grows as the rate limit of the target is used up, so that requests go to
// other targets before it has to refuse some.
func (s *endpointState) rateLimitCost(r Request, now time.Duration) float64 {
	if !s.rateLimited {
		return 0
	}
	free := s.availableRate(r, now)
	if s.rateBurst == 0 {
		free /= max(s.rateLimit, 1)
	}
	return usedRateLimitCost * min(1, max(0, 1-free))
}

// minFreeLinkShare is the minimum share of a link's bandwidth that is assumed to be free.
const minFreeLinkShare = 0.05

// transferTime returns how long a transfer takes on the node's link at a utilization.
func (e Endpoint) transferTime(bytes int64, use float64) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	free := e.LinkMbps * max(1-use, minFreeLinkShare)
	return time.Duration(float64(bytes*bitsPerByte) / (free * bitsPerMbit) * float64(time.Second))
}

// failureRate combines the failure rates observed by this node and reported by the
// target's node. Both decay with age.
func (s *endpointState) failureRate(now time.Duration) float64 {
	reported := max(0, s.reportedFailureRate-toleratedFailureRate) * decay(now-s.reportedAt)
	return max(s.currentRate(now), reported)
}

// currentRate returns rate, decayed to now.
func (s *endpointState) currentRate(now time.Duration) float64 { return s.rate * decay(now-s.rateAt) }

// decay returns the weight of failures of the given age.
func decay(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(failureHalfLife)) }
