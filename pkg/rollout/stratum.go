package rollout

import (
	"cmp"

	"heathercroft.example/heathercroft/pkg/record"
)

// stratumState holds what earlier observations showed of one route and zone.
type stratumState struct {
	exposure exposure
	// baseline holds the old version's latency.
	baseline Histogram
	tables   latencyTables
}

type stratumKey struct{ route, zone string }

func compareStrata(a, b stratumKey) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.zone, b.zone))
}

// observeStratum adds the calls of one route and zone to the evidence.
func (s *SequentialAnalyzer) observeStratum(st Stratum, o Observation) {
	key := stratumKey{st.Route, string(st.Zone)}
	state := s.strata[key]
	if state == nil {
		state = &stratumState{}
		s.strata[key] = state
	}
	state.exposure.observe(o.Weight, st.New.Calls, st.Old.Calls)
	newFraction := state.exposure.fraction()
	scopes := []*scopeTests{s.all, s.routes[st.Route]}
	ratios := conditionalLogRatios(st.New.Failures, st.Old.Failures, newFraction, failureRatios, failureNullRatio)
	for _, scope := range scopes {
		scope.failures.observe(ratios)
	}
	// The bounds come from earlier observations only: a bound that depends on the
	// calls it classifies would bias the test.
	route := s.routes[st.Route]
	if baseline, ok := state.latencyBaseline(route); ok && o.Weight < record.FullWeight {
		s.observeLatency(st, state, baseline, o.Elapsed)
	}
	s.observeFullWeight(st, state, o)
	state.baseline.merge(&st.Old.Latency)
	route.baseline.merge(&st.Old.Latency)
	s.newSinceRaise.Merge(st.New)
	s.oldSinceRaise.Merge(st.Old)
	zone := s.newSinceRaiseByZone[st.Zone]
	zone.Merge(st.New)
	s.newSinceRaiseByZone[st.Zone] = zone
}

// latencyBaseline returns the latencies that the bounds of a stratum are taken from:
// its own, or those of its route while it has few, as at night.
func (st *stratumState) latencyBaseline(route *scopeTests) (*Histogram, bool) {
	if st.baseline.Total() >= minBaselineCalls {
		return &st.baseline, true
	}
	return &route.baseline, route.baseline.Total() >= minRouteBaselineCalls
}

// observeFullWeight adds the calls to the test at full weight: as its baseline before
// full weight is reached, and as the calls under test afterwards.
func (s *SequentialAnalyzer) observeFullWeight(st Stratum, state *stratumState, o Observation) {
	slowOld, slowNew, baseRate := uint64(0), uint64(0), 0.0
	if total := state.baseline.Total(); total >= minBaselineCalls {
		bucket, _ := state.baseline.Quantile(fullWeightQuantile)
		baseRate = float64(state.baseline.CountAbove(bucket)+1) / float64(total+2)
		slowOld, slowNew = st.Old.Latency.CountAbove(bucket), st.New.Latency.CountAbove(bucket)
	}
	if o.Weight < record.FullWeight {
		s.fullWeight.addBaseline(st, float64(slowOld), baseRate, o.Elapsed)
		return
	}
	s.fullWeight.observe(st, slowNew, baseRate)
}

func conditionalLogRatios(newMarked, oldMarked uint64, newFraction float64, omegas []float64, null float64) []float64 {
	ratios := make([]float64, len(omegas))
	if newMarked+oldMarked == 0 {
		return ratios
	}
	for i, omega := range omegas {
		ratios[i] = conditionalLogRatio(newMarked, oldMarked, newFraction, omega, null)
	}
	return ratios
}
