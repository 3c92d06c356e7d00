package rollout

import (
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/state"
)

// CutNotifyInterval is how often a cut is announced until the rollback is visible: a
// message may be lost, and the holder may change.
const CutNotifyInterval = 2 * time.Second

// BreakerConfig configures a Breaker.
type BreakerConfig struct {
	Self mesh.NodeID
	Zone mesh.AvailabilityZone
	// NewAnalyzer creates the comparison of a rollout; nil means
	// NewSequentialAnalyzer.
	NewAnalyzer func(AnalyzerConfig) Analyzer
}

// Breaker cuts this node's share of a bad version as soon as the calls observed by this
// node show that it is worse. A cut stays until a later rollout of the service starts;
// no other event lifts it. A Breaker is not safe for concurrent use.
type Breaker struct {
	config   BreakerConfig
	nodes    int
	services map[string]*serviceState
	// hasOwnCut is set once this node has made a cut, which may have to be announced
	// again.
	hasOwnCut bool
}

// serviceState is the breaker's state for one service.
type serviceState struct {
	rollout      state.Rollout
	analyzer     Analyzer
	lastObserved time.Duration
	cut          *Cut
	lastNotified time.Duration
}

// NewBreaker returns a Breaker without cuts.
func NewBreaker(config BreakerConfig) *Breaker {
	if config.NewAnalyzer == nil {
		config.NewAnalyzer = NewSequentialAnalyzer
	}
	return &Breaker{config: config, nodes: 1, services: map[string]*serviceState{}}
}

// Cuts returns the cuts in force on this node, sorted by service.
func (b *Breaker) Cuts() []Cut {
	var cuts []Cut
	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		if cut := b.services[service].cut; cut != nil {
			cuts = append(cuts, *cut)
		}
	}
	return cuts
}

// Step handles one event.
func (b *Breaker) Step(e Event) []Effect {
	switch e := e.(type) {
	case CandidatesChanged:
		b.nodes = max(len(e.Live), 1)
	case RolloutChanged:
		return b.handleRolloutChanged(e)
	case LocalEvidence:
		return b.handleLocalEvidence(e)
	case CutReceived:
		return b.handleCut(e)
	case Tick:
		return b.repeatNotices(e.Now)
	}
	return nil
}

func (b *Breaker) handleRolloutChanged(e RolloutChanged) []Effect {
	r := e.Rollout
	w := b.services[r.Service]
	if w != nil && w.rollout.ID == r.ID {
		if r.Weight > w.rollout.Weight {
			w.analyzer.WeightRaised()
		}
		w.rollout = r
		return nil
	}
	if w != nil && w.rollout.ID > r.ID {
		return nil
	}
	b.services[r.Service] = &serviceState{rollout: r, analyzer: b.newAnalyzer(r), lastObserved: e.Now}
	if w != nil && w.cut != nil {
		return []Effect{LiftCut{Service: w.cut.Service, Version: w.cut.Version}}
	}
	return nil
}

// newAnalyzer divides the false positive rate by the number of nodes, since any one of
// them may cut.
func (b *Breaker) newAnalyzer(r state.Rollout) Analyzer {
	return b.config.NewAnalyzer(AnalyzerConfig{
		FalsePositiveRate: falsePositiveRate / float64(b.nodes),
		PlannedDuration:   plannedDuration(r),
	})
}

func (b *Breaker) handleLocalEvidence(e LocalEvidence) []Effect {
	var effects []Effect
	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		w := b.services[service]
		if !w.rollout.Open() || w.cut != nil {
			continue
		}
		w.analyzer.Observe(newObservation(e.Delta, w.rollout, e.Now-w.lastObserved))
		w.lastObserved = e.Now
		if result := w.analyzer.Analysis(); result.Verdict == VerdictFailed {
			effects = append(effects, b.applyCut(w, e.Now, b.newCut(w, result.Reason))...)
		}
	}
	return effects
}

func (b *Breaker) newCut(w *serviceState, reason string) Cut {
	return Cut{
		Rollout: w.rollout.ID, Service: w.rollout.Service, Version: w.rollout.To,
		Node: b.config.Self, Zone: b.config.Zone, Reason: reason,
	}
}

func (b *Breaker) applyCut(w *serviceState, now time.Duration, cut Cut) []Effect {
	w.cut = &cut
	w.lastNotified = now
	effects := []Effect{CutVersion{Service: cut.Service, Version: cut.Version, Reason: cut.Reason}}
	if cut.Node == b.config.Self {
		b.hasOwnCut = true
		effects = append(effects, NotifyCut{Cut: cut})
	}
	return effects
}

// handleCut follows a cut made in this node's own zone, because nodes of one zone call
// the same targets. Cuts in other zones are left to the holder.
func (b *Breaker) handleCut(e CutReceived) []Effect {
	w := b.services[e.Cut.Service]
	if w == nil || w.rollout.ID != e.Cut.Rollout || !w.rollout.Open() || w.cut != nil || e.Cut.Zone != b.config.Zone {
		return nil
	}
	return b.applyCut(w, e.Now, e.Cut)
}

func (b *Breaker) repeatNotices(now time.Duration) []Effect {
	if !b.hasOwnCut {
		return nil
	}
	var effects []Effect
	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		w := b.services[service]
		own := w.cut != nil && w.cut.Node == b.config.Self
		if own && w.rollout.Open() && now-w.lastNotified >= CutNotifyInterval {
			w.lastNotified = now
			effects = append(effects, NotifyCut{Cut: *w.cut})
		}
	}
	return effects
}

// plannedDuration is the time from the start of a rollout to its deadline.
func plannedDuration(r state.Rollout) time.Duration {
	return time.Duration(r.DeadlineUnixMS-r.StartUnixMS) * time.Millisecond
}

// newObservation groups the evidence on a rollout's two versions by route and zone.
func newObservation(e Evidence, r state.Rollout, elapsed time.Duration) Observation {
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
	o := Observation{Elapsed: elapsed, Weight: r.Weight}
	for _, key := range slices.SortedFunc(maps.Keys(strata), compareStrata) {
		o.Strata = append(o.Strata, *strata[key])
	}
	return o
}
