package rollout

import (
	"cmp"

	"heathercroft.example/heathercroft/pkg/record"
)

// stratumState is what earlier blocks tell about one route and zone.
type stratumState struct {
	exposure exposure
	// reference holds the old version's latency.
	reference Histogram
	tables    tables
}

type stratumKey struct{ route, zone string }

func compareStrata(a, b stratumKey) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.zone, b.zone))
}

// observeStratum weighs the calls of one route and zone.
func (s *SequentialAnalyzer) observeStratum(st Stratum, b Observation) {
	key := stratumKey{st.Route, string(st.Zone)}
	state := s.strata[key]
	if state == nil {
		state = &stratumState{}
		s.strata[key] = state
	}
	state.exposure.observe(b.Weight, st.New.Calls, st.Old.Calls)
	part := state.exposure.part()
	scopes := []*routeProcesses{s.all, s.routes[st.Route]}
	ratios := logRatios(st.New.Failures, st.Old.Failures, part, failureOmegas, failureNull)
	for _, r := range scopes {
		r.failures.observe(ratios)
	}
	// The bounds come from earlier blocks only: a bound that depends on the
	// calls it sorts would bias the test.
	route := s.routes[st.Route]
	if reference, ok := state.bounds(route); ok && b.Weight < record.FullWeight {
		s.observeLatency(st, state, reference, b.Elapsed)
	}
	s.observePast(st, state, b)
	state.reference.merge(&st.Old.Latency)
	route.reference.merge(&st.Old.Latency)
	s.raised.Merge(st.New)
	s.oldRaised.Merge(st.Old)
	zone := s.raisedZones[st.Zone]
	zone.Merge(st.New)
	s.raisedZones[st.Zone] = zone
}

// bounds returns the latencies that the bounds of a stratum come from: its own,
// or those of its route while it has few, as at night.
func (st *stratumState) bounds(route *routeProcesses) (*Histogram, bool) {
	if st.reference.Total() >= minReference {
		return &st.reference, true
	}
	return &route.reference, route.reference.Total() >= minRouteReference
}

// observePast compares with the old version's earlier calls at full weight, and
// learns from them before.
func (s *SequentialAnalyzer) observePast(st Stratum, state *stratumState, b Observation) {
	slowOld, slowNew, base := uint64(0), uint64(0), 0.0
	if total := state.reference.Total(); total >= minReference {
		bucket, _ := state.reference.Quantile(pastQuantile)
		base = float64(state.reference.Above(bucket)+1) / float64(total+2)
		slowOld, slowNew = st.Old.Latency.Above(bucket), st.New.Latency.Above(bucket)
	}
	if b.Weight < record.FullWeight {
		s.past.learn(st, float64(slowOld), base, b.Elapsed)
		return
	}
	s.past.compare(st, slowNew, base)
}

func logRatios(newMarked, oldMarked uint64, part float64, omegas []float64, null float64) []float64 {
	ratios := make([]float64, len(omegas))
	if newMarked+oldMarked == 0 {
		return ratios
	}
	for i, omega := range omegas {
		ratios[i] = logRatio(newMarked, oldMarked, part, omega, null)
	}
	return ratios
}
