package rollout

import "time"

// Slow calls are compared in contingency tables that hold calls of both versions.
// Whether a table is complete depends only on the number of calls and never on which
// were slow, so that under equal latencies the slow calls are distributed over both
// versions by chance.
const (
	// minTableCalls is the number of calls of a complete table. Fewer calls give
	// little information.
	minTableCalls = 6
	// zoneTableMaxAge is how long the calls of one route and zone wait for a complete
	// table; then they are added to those of the other zones.
	zoneTableMaxAge = time.Minute
	// routeTableMaxAge is how long a route's calls are treated as concurrent.
	routeTableMaxAge = 30 * time.Minute
)

// latencyTables holds one table for each of latencyQuantiles.
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

// observeLatency adds the calls of a stratum to its tables, and evaluates the tables
// once they are complete.
func (s *SequentialAnalyzer) observeLatency(st Stratum, state *stratumState, baseline *Histogram, elapsed time.Duration) {
	for i, q := range latencyQuantiles {
		bucket, _ := baseline.Quantile(q)
		state.tables.byQuantile[i].add(contingencyTable{
			newCalls: st.New.Latency.Total(), newSlow: st.New.Latency.CountAbove(bucket),
			oldCalls: st.Old.Latency.Total(), oldSlow: st.Old.Latency.CountAbove(bucket),
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

// ageTables advances the age of all routes' tables, and drops those that are too old.
func (s *SequentialAnalyzer) ageTables(elapsed time.Duration) {
	for _, r := range s.routes {
		r.tables.age += elapsed
		if r.tables.age >= routeTableMaxAge {
			r.tables = latencyTables{}
		}
	}
}

// observeTables adds complete tables to the evidence and empties them.
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
