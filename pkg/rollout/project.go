package rollout

import (
	"time"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// projection simulates the rest of a rollout at the present call rate.
type projection struct {
	unixMS int64
	weight record.BasisPoints
	// newCalls is the expected number of calls of the new version so far.
	newCalls float64
	// callsPerMS is the rate of calls to both versions.
	callsPerMS float64
}

// timeOfCalls returns when the given number of further calls of the new version is
// expected at the current weight.
func (p *projection) timeOfCalls(calls float64) int64 {
	share := float64(p.weight) / float64(record.FullWeight)
	if calls <= 0 || share == 0 {
		return p.unixMS
	}
	return p.unixMS + int64(calls/(p.callsPerMS*share))
}

// advanceTo advances the projection to the given time.
func (p *projection) advanceTo(atMS int64) {
	share := float64(p.weight) / float64(record.FullWeight)
	p.newCalls += float64(atMS-p.unixMS) * p.callsPerMS * share
	p.unixMS = atMS
}

// project returns when the rollout is expected to complete, and false if no calls
// arrive. While the call rate is unknown only the soaks count.
func (c *Controller) project(result Analysis) (unixMS int64, known bool) {
	perSecond := c.callRate.perSecond()
	if perSecond == 0 && c.now-c.claimedAt >= callRateTimeConstant {
		return 0, false
	}
	p := projection{unixMS: c.unixMS, weight: c.rollout.Weight, newCalls: float64(c.earlierCalls + result.Calls), callsPerMS: perSecond / 1000}
	due := c.soakEndUnixMS()
	first := c.callsNeeded(result)
	for {
		next, more := c.plan.Next(p.weight)
		p.advanceTo(max(p.unixMS, due, c.callsReachedUnixMS(&p, next.Weight, first)))
		if !more {
			return p.unixMS, true
		}
		p.weight, first = next.Weight, 0
		due = c.plannedSoakEndUnixMS(p.weight, p.unixMS)
	}
}

// callsReachedUnixMS returns when the projection has enough calls to leave its present
// weight. needed is the number of calls missing at present, if known.
func (c *Controller) callsReachedUnixMS(p *projection, next record.BasisPoints, needed uint64) int64 {
	if p.callsPerMS == 0 || (next != 0 && next <= state.UnverifiedWeightLimit) {
		return p.unixMS
	}
	enough := p.timeOfCalls(max(minFailureFreeCalls-p.newCalls, float64(needed)))
	if next != 0 && next <= lowTrafficMaxWeight {
		return min(enough, c.lowTrafficStartUnixMS())
	}
	return max(enough, p.timeOfCalls(minFailureFreeCallsAtWeight))
}

// lowTrafficStartUnixMS is the start of the last quarter of the rollout's time.
func (c *Controller) lowTrafficStartUnixMS() int64 {
	total := float64(c.rollout.DeadlineUnixMS - c.rollout.StartUnixMS)
	return c.rollout.StartUnixMS + int64(lowTrafficStart*total)
}

// plannedSoakEndUnixMS returns when a weight that is reached at the given time may be
// left.
func (c *Controller) plannedSoakEndUnixMS(weight record.BasisPoints, raisedMS int64) int64 {
	planned, soakFraction := c.plan.CompleteUnixMS, minFinalSoakFraction
	if next, ok := c.plan.Next(weight); ok {
		planned, soakFraction = next.AtUnixMS, minSoakFraction
	}
	soak := time.Duration(float64(c.plan.Soak(weight)) * soakFraction)
	return max(planned, raisedMS+soak.Milliseconds())
}
