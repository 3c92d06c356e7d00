package rollout

import "time"

// Slow calls are compared within tables that hold calls of both versions. When a
// table is complete depends on the number of calls alone and never on which were
// slow, so that under equal latencies the slow ones fall on both versions by chance.
const (
	// minTableCalls is the number of calls of a complete table. Fewer tell little.
	minTableCalls = 6
	// zoneTableMaxAge is how long the calls of one route and zone wait for a complete
	// table; then they join those of the other zones.
	zoneTableMaxAge = time.Minute
	// routeTableMaxAge is how long a route's calls are taken as of the same time.
	routeTableMaxAge = 30 * time.Minute
)

// latencyTables gathers one table for each latency bound.
type latencyTables struct {
	byQuantile [2]contingencyTable
	age        time.Duration
}

func (t *latencyTables) add(list [2]contingencyTable) {
	for i := range t.byQuantile {
		t.byQuantile[i].add(list[i])
	}
}

func (t *latencyTables) complete() bool {
	calls := t.byQuantile[0]
	return calls.newCalls > 0 && calls.oldCalls > 0 && calls.newCalls+calls.oldCalls >= minTableCalls
}

// observeLatency adds the calls of a stratum to its tables and weighs them once
// they are complete.
func (s *SequentialAnalyzer) observeLatency(st Stratum, state *stratumState, baseline *Histogram, elapsed time.Duration) {
	for i, q := range latencyQuantiles {
		bucket, _ := baseline.Quantile(q)
		state.tables.byQuantile[i].add(contingencyTable{
			newCalls: st.New.Latency.Total(), newSlow: st.New.Latency.Above(bucket),
			oldCalls: st.Old.Latency.Total(), oldSlow: st.Old.Latency.Above(bucket),
		})
	}
	state.tables.age += elapsed
	if state.tables.complete() {
		s.observeTables(st.Route, &state.tables)
		return
	}
	if state.tables.age < zoneTableMaxAge {
		return
	}
	route := s.routes[st.Route]
	route.tables.add(state.tables.byQuantile)
	state.tables = latencyTables{}
	if route.tables.complete() {
		s.observeTables(st.Route, &route.tables)
	}
}

// ageTables lets time pass for the tables of all routes.
func (s *SequentialAnalyzer) ageTables(elapsed time.Duration) {
	for _, r := range s.routes {
		r.tables.age += elapsed
		if r.tables.age >= routeTableMaxAge {
			r.tables = latencyTables{}
		}
	}
}

// observeTables turns complete tables into evidence and empties them.
func (s *SequentialAnalyzer) observeTables(route string, t *latencyTables) {
	for i, tab := range t.byQuantile {
		if tab.degenerate() {
			continue
		}
		weights, lowest := tab.logWeights(s.weightsBuffer)
		s.weightsBuffer = weights
		ratios := make([]float64, len(latencyOddsRatios[i]))
		for k, omega := range latencyOddsRatios[i] {
			ratios[k] = tab.logLikelihoodRatio(weights, lowest, omega, latencyNullOddsRatios[i])
		}
		s.all.latency[i].observe(ratios)
		s.routes[route].latency[i].observe(ratios)
	}
	*t = latencyTables{}
}
