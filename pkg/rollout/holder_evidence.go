package rollout

import "time"

// handleEvidence takes in the totals of a source. The first message of a session
// only sets the mark: what it counted before can't be split by time.
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

// acceptsAggregate reports whether the source is the one that sums up its zone.
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

// evaluate compares what came in since the last evaluate.
func (c *Controller) evaluate() {
	elapsed := c.now - c.lastEvaluation
	if elapsed < evaluationInterval {
		return
	}
	c.lastEvaluation = c.now
	b := newObservation(c.pending, c.rollout, elapsed)
	c.pending = Evidence{}
	c.callRate.observe(b)
	c.analyzer.Observe(b)
}

// callRateTimeConstant is the time constant of the rate of evidence: long enough to see a
// few calls at night.
const callRateTimeConstant = 10 * time.Minute

// callRate follows the calls per second to both versions.
type callRate struct {
	calls, seconds float64
}

func (r *callRate) observe(b Observation) {
	seconds := b.Elapsed.Seconds()
	decay := 1 - min(seconds/callRateTimeConstant.Seconds(), 1)
	r.calls *= decay
	r.seconds = r.seconds*decay + seconds
	for _, s := range b.Strata {
		r.calls += float64(s.Old.Calls + s.New.Calls)
	}
}

// minRateCalls and minRateSeconds are what a rate needs to be known: a rate from a
// single call at night is off by its own size.
const (
	minRateCalls   = 8
	minRateSeconds = 10
)

// perSecond returns the rate, or 0 if it is not known yet.
func (r *callRate) perSecond() float64 {
	if r.seconds < minRateSeconds || r.calls < minRateCalls {
		return 0
	}
	return r.calls / r.seconds
}
