package rollout

import "time"

// evidence takes in the totals of a source. The first message of a session
// only sets the mark: what it counted before can't be split by time.
func (h *Controller) evidence(e EvidenceReceived) {
	if e.Aggregate && !h.aggregates(e) {
		return
	}
	h.zoneHeard[e.Zone] = max(h.zoneHeard[e.Zone], e.Now)
	src := h.sources[e.Source]
	if src == nil || src.session != e.Session {
		h.sources[e.Source] = &source{e.Session, e.Sequence, e.Totals}
		return
	}
	if e.Sequence <= src.sequence {
		return
	}
	delta, ok := e.Totals.Subtract(src.totals)
	src.sequence, src.totals = e.Sequence, e.Totals
	if ok {
		h.pending.Merge(delta)
	}
}

// aggregates reports whether the source is the one that sums up its zone.
func (h *Controller) aggregates(e EvidenceReceived) bool {
	current, known := h.aggregators[e.Zone]
	if known && current != e.Source && e.Now-h.zoneHeard[e.Zone] <= EvidenceTimeout {
		return false
	}
	if current != e.Source {
		delete(h.sources, e.Source)
		h.aggregators[e.Zone] = e.Source
	}
	return true
}

// look compares what came in since the last look.
func (h *Controller) look() {
	elapsed := h.now - h.looked
	if elapsed < lookInterval {
		return
	}
	h.looked = h.now
	b := blockOf(h.pending, h.rollout, elapsed)
	h.pending = Evidence{}
	h.rate.observe(b)
	h.judge.Observe(b)
}

// rateMemory is the time constant of the rate of evidence: long enough to see a
// few calls at night.
const rateMemory = 10 * time.Minute

// evidenceRate follows the calls per second to both versions.
type evidenceRate struct {
	calls, seconds float64
}

func (r *evidenceRate) observe(b Observation) {
	seconds := b.Elapsed.Seconds()
	keep := 1 - min(seconds/rateMemory.Seconds(), 1)
	r.calls *= keep
	r.seconds = r.seconds*keep + seconds
	for _, s := range b.Strata {
		r.calls += float64(s.Old.Calls + s.New.Calls)
	}
}

// rateCalls and rateSeconds are what a rate needs to be known: a rate from a
// single call at night is off by its own size.
const (
	rateCalls   = 8
	rateSeconds = 10
)

// perSecond returns the rate, or 0 if it is not known yet.
func (r *evidenceRate) perSecond() float64 {
	if r.seconds < rateSeconds || r.calls < rateCalls {
		return 0
	}
	return r.calls / r.seconds
}
