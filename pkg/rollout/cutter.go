package rollout

import (
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/state"
)

// CutNotifyInterval is how often a NotifyCut is repeated until the rollback is visible:
// a message may be lost, and the holder may change.
const CutNotifyInterval = 2 * time.Second

// BreakerConfig configures a Breaker.
type BreakerConfig struct {
	Self mesh.NodeID
	Zone mesh.AvailabilityZone
	// NewAnalyzer creates the comparison of a rollout; nil means
	// NewSequentialAnalyzer.
	NewAnalyzer func(AnalyzerConfig) Analyzer
}

// Breaker sets the weight of a faulty version to 0 on this node as soon as the calls
// observed by this node show that it is worse. Such a cut stays until a later rollout of
// the service starts; no other event lifts it. A Breaker is not safe for concurrent use.
type Breaker struct {
	config   BreakerConfig
	nodes    int
	services map[string]*serviceState
	// hasOwnCut is set once this node has made a cut, for which NotifyCut may have
	// to be repeated.
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
		return b.repeatNotifications(e.Now)
	}
	return nil
}

func (b *Breaker) handleRolloutChanged(e RolloutChanged) []Effect {
	r := e.Rollout
	s := b.services[r.Service]
	if s != nil && s.rollout.ID == r.ID {
		if r.Weight > s.rollout.Weight {
			s.analyzer.WeightRaised()
		}
		s.rollout = r
		return nil
	}
	if s != nil && s.rollout.ID > r.ID {
		return nil
	}
	b.services[r.Service] = &serviceState{rollout: r, analyzer: b.newAnalyzer(r), lastObserved: e.Now}
	if s != nil && s.cut != nil {
		return []Effect{LiftCut{Service: s.cut.Service, Version: s.cut.Version}}
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
		s := b.services[service]
		if !s.rollout.Open() || s.cut != nil {
			continue
		}
		s.analyzer.Observe(newObservation(e.Delta, s.rollout, e.Now-s.lastObserved))
		s.lastObserved = e.Now
		if result := s.analyzer.Analysis(); result.Verdict == VerdictFailed {
			effects = append(effects, b.applyCut(s, e.Now, b.newCut(s, result.Reason))...)
		}
	}
	return effects
}

func (b *Breaker) newCut(s *serviceState, reason string) Cut {
	return Cut{
		Rollout: s.rollout.ID, Service: s.rollout.Service, Version: s.rollout.To,
		Node: b.config.Self, Zone: b.config.Zone, Reason: reason,
	}
}

func (b *Breaker) applyCut(s *serviceState, now time.Duration, cut Cut) []Effect {
	s.cut = &cut
	s.lastNotified = now
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
	s := b.services[e.Cut.Service]
	if s == nil || s.rollout.ID != e.Cut.Rollout || !s.rollout.Open() || s.cut != nil || e.Cut.Zone != b.config.Zone {
		return nil
	}
	return b.applyCut(s, e.Now, e.Cut)
}

func (b *Breaker) repeatNotifications(now time.Duration) []Effect {
	if !b.hasOwnCut {
		return nil
	}
	var effects []Effect
	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		s := b.services[service]
		own := s.cut != nil && s.cut.Node == b.config.Self
		if own && s.rollout.Open() && now-s.lastNotified >= CutNotifyInterval {
			s.lastNotified = now
			effects = append(effects, NotifyCut{Cut: *s.cut})
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
