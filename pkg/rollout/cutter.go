package rollout

import (
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/state"
)

// CutNotifyInterval is how often a cut is notified until the rollback is seen: a notice
// may be lost, and the holder may change.
const CutNotifyInterval = 2 * time.Second

// BreakerConfig sets up a Breaker.
type BreakerConfig struct {
	Self mesh.NodeID
	Zone mesh.AvailabilityZone
	// NewAnalyzer makes the comparison; nil means NewSequential.
	NewAnalyzer func(AnalyzerConfig) Analyzer
}

// Breaker cuts this node's own share of a bad version as soon as its own evidence
// condemns it. A cut holds until a later rollout of the service starts; no other
// event lifts it. The caller owns a Breaker from one goroutine.
type Breaker struct {
	config  BreakerConfig
	nodes   int
	watched map[string]*watch
	// notifying is set while a cut of this node may have to be notified again.
	notifying bool
}

// watch is the state of one service.
type watch struct {
	rollout state.Rollout
	judge   Analyzer
	last    time.Duration
	cut     *Cut
	told    time.Duration
}

// NewBreaker returns a machine without cuts.
func NewBreaker(config BreakerConfig) *Breaker {
	if config.NewAnalyzer == nil {
		config.NewAnalyzer = NewSequentialAnalyzer
	}
	return &Breaker{config: config, nodes: 1, watched: map[string]*watch{}}
}

// Cuts returns the cuts in force at this node, by service.
func (c *Breaker) Cuts() []Cut {
	var cuts []Cut
	for _, service := range slices.Sorted(maps.Keys(c.watched)) {
		if cut := c.watched[service].cut; cut != nil {
			cuts = append(cuts, *cut)
		}
	}
	return cuts
}

// Step handles one event.
func (c *Breaker) Step(e Event) []Effect {
	switch e := e.(type) {
	case CandidatesChanged:
		c.nodes = max(len(e.Live), 1)
	case RolloutChanged:
		return c.rolloutChanged(e)
	case LocalEvidence:
		return c.localEvidence(e)
	case CutReceived:
		return c.cutNoticed(e)
	case Tick:
		return c.repeat(e.Now)
	}
	return nil
}

func (c *Breaker) rolloutChanged(e RolloutChanged) []Effect {
	r := e.Rollout
	w := c.watched[r.Service]
	if w != nil && w.rollout.ID == r.ID {
		if r.Weight > w.rollout.Weight {
			w.judge.WeightRaised()
		}
		w.rollout = r
		return nil
	}
	if w != nil && w.rollout.ID > r.ID {
		return nil
	}
	c.watched[r.Service] = &watch{rollout: r, judge: c.newJudge(r), last: e.Now}
	if w != nil && w.cut != nil {
		return []Effect{LiftCut{Service: w.cut.Service, Version: w.cut.Version}}
	}
	return nil
}

// newJudge divides the probability of a false alarm by the number of nodes,
// since any one of them may cut.
func (c *Breaker) newJudge(r state.Rollout) Analyzer {
	return c.config.NewAnalyzer(AnalyzerConfig{
		FalsePositiveRate: falseAlarm / float64(c.nodes),
		PlannedDuration:   plannedTime(r),
	})
}

func (c *Breaker) localEvidence(e LocalEvidence) []Effect {
	var effects []Effect
	for _, service := range slices.Sorted(maps.Keys(c.watched)) {
		w := c.watched[service]
		if !w.rollout.Open() || w.cut != nil {
			continue
		}
		w.judge.Observe(blockOf(e.Delta, w.rollout, e.Now-w.last))
		w.last = e.Now
		if j := w.judge.Analysis(); j.Verdict == VerdictFailed {
			effects = append(effects, c.cut(w, e.Now, c.ownCut(w, j.Reason))...)
		}
	}
	return effects
}

func (c *Breaker) ownCut(w *watch, reason string) Cut {
	return Cut{
		Rollout: w.rollout.ID, Service: w.rollout.Service, Version: w.rollout.To,
		Node: c.config.Self, Zone: c.config.Zone, Reason: reason,
	}
}

func (c *Breaker) cut(w *watch, now time.Duration, cut Cut) []Effect {
	w.cut = &cut
	w.told = now
	effects := []Effect{CutVersion{Service: cut.Service, Version: cut.Version, Reason: cut.Reason}}
	if cut.Node == c.config.Self {
		c.notifying = true
		effects = append(effects, NotifyCut{Cut: cut})
	}
	return effects
}

// cutNoticed follows a cut of the own zone: its members see the same targets.
// Cuts of other zones are left to the holder.
func (c *Breaker) cutNoticed(e CutReceived) []Effect {
	w := c.watched[e.Cut.Service]
	if w == nil || w.rollout.ID != e.Cut.Rollout || !w.rollout.Open() || w.cut != nil || e.Cut.Zone != c.config.Zone {
		return nil
	}
	return c.cut(w, e.Now, e.Cut)
}

func (c *Breaker) repeat(now time.Duration) []Effect {
	if !c.notifying {
		return nil
	}
	var effects []Effect
	for _, service := range slices.Sorted(maps.Keys(c.watched)) {
		w := c.watched[service]
		own := w.cut != nil && w.cut.Node == c.config.Self
		if own && w.rollout.Open() && now-w.told >= CutNotifyInterval {
			w.told = now
			effects = append(effects, NotifyCut{Cut: *w.cut})
		}
	}
	return effects
}

// plannedTime is the time from start to deadline.
func plannedTime(r state.Rollout) time.Duration {
	return time.Duration(r.DeadlineUnixMS-r.StartUnixMS) * time.Millisecond
}

// blockOf arranges evidence of a rollout's two versions by route and zone.
func blockOf(e Evidence, r state.Rollout, elapsed time.Duration) Observation {
	strata := map[stratumKey]*Stratum{}
	for k, c := range e {
		if k.Service != r.Service || (k.Version != r.From && k.Version != r.To) {
			continue
		}
		key := stratumKey{k.Route, string(k.Zone)}
		s := strata[key]
		if s == nil {
			s = &Stratum{Route: k.Route, Zone: k.Zone}
			strata[key] = s
		}
		if k.Version == r.To {
			s.New.Merge(c)
		} else {
			s.Old.Merge(c)
		}
	}
	b := Observation{Elapsed: elapsed, Weight: r.Weight}
	for _, key := range slices.SortedFunc(maps.Keys(strata), compareStrata) {
		b.Strata = append(b.Strata, *strata[key])
	}
	return b
}
