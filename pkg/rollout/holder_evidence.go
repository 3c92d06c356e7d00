package rollout

import "time"

// handleEvidence adds the totals of a source. The first message of a session only sets
// the starting point: earlier counts can't be assigned to a weight.
func (c *Controller) handleEvidence(e EvidenceReceived) {
	if e.Aggregate && !c.acceptsAggregate(e) {
		return
	}
	c.lastEvidence[e.Zone] = max(c.lastEvidence[e.Zone], e.Now)
	src := c.sources[e.Source]
	if src == nil || src.session != e.Session {
		c.sources[e.Source] = &evidenceSource{e.Session, e.Sequence, e.Totals}
		return
	}
	if e.Sequence <= src.sequence {
		return
	}
	delta, ok := e.Totals.Subtract(src.totals)
	src.sequence, src.totals = e.Sequence, e.Totals
	if ok {
		c.pending.Merge(delta)
	}
}

// acceptsAggregate reports whether the source is the one that aggregates its zone.
func (c *Controller) acceptsAggregate(e EvidenceReceived) bool {
	current, known := c.aggregators[e.Zone]
	if known && current != e.Source && e.Now-c.lastEvidence[e.Zone] <= EvidenceTimeout {
		return false
	}
	if current != e.Source {
		delete(c.sources, e.Source)
		c.aggregators[e.Zone] = e.Source
	}
	return true
}

// evaluate compares the versions on the evidence since the last evaluation.
func (c *Controller) evaluate() {
	elapsed := c.now - c.lastEvaluation
	if elapsed < evaluationInterval {
		return
	}
	c.lastEvaluation = c.now
	o := newObservation(c.pending, c.rollout, elapsed)
	c.pending = Evidence{}
	c.callRate.observe(o)
	c.analyzer.Observe(o)
}

// callRateTimeConstant is the time constant of the call rate, long enough to include a
// few calls at night.
const callRateTimeConstant = 10 * time.Minute

// callRate estimates the calls per second to both versions.
type callRate struct {
	calls, seconds float64
}

func (r *callRate) observe(o Observation) {
	seconds := o.Elapsed.Seconds()
	decay := 1 - min(seconds/callRateTimeConstant.Seconds(), 1)
	r.calls *= decay
	r.seconds = r.seconds*decay + seconds
	for _, s := range o.Strata {
		r.calls += float64(s.Old.Calls + s.New.Calls)
	}
}

// minRateCalls and minRateSeconds are required before a rate is reported: the error of
// a rate from a single call at night is as large as the rate.
const (
	minRateCalls   = 8
	minRateSeconds = 10
)

// perSecond returns the rate, or 0 while it is unknown.
func (r *callRate) perSecond() float64 {
	if r.seconds < minRateSeconds || r.calls < minRateCalls {
		return 0
	}
	return r.calls / r.seconds
}
