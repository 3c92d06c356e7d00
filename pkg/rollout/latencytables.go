package rollout

import "time"

// Slow calls are compared within tables that hold calls of both versions. When a
// table is complete depends on the number of calls alone and never on which were
// slow, so that under equal latencies the slow ones fall on both versions by chance.
const (
	// minTable is the number of calls of a complete table. Fewer tell little.
	minTable = 6
	// zoneTableAge is how long the calls of one route and zone wait for a complete
	// table; then they join those of the other zones.
	zoneTableAge = time.Minute
	// routeTableAge is how long a route's calls are taken as of the same time.
	routeTableAge = 30 * time.Minute
)

// tables gathers one table for each latency bound.
type tables struct {
	list [2]table
	age  time.Duration
}

func (t *tables) add(list [2]table) {
	for i := range t.list {
		t.list[i].add(list[i])
	}
}

func (t *tables) complete() bool {
	calls := t.list[0]
	return calls.newCalls > 0 && calls.oldCalls > 0 && calls.newCalls+calls.oldCalls >= minTable
}

// observeLatency adds the calls of a stratum to its tables and weighs them once
// they are complete.
func (s *SequentialAnalyzer) observeLatency(st Stratum, state *stratumState, reference *Histogram, elapsed time.Duration) {
	for i, q := range latencyQuantiles {
		bucket, _ := reference.Quantile(q)
		state.tables.list[i].add(table{
			newCalls: st.New.Latency.Total(), newMarked: st.New.Latency.Above(bucket),
			oldCalls: st.Old.Latency.Total(), oldMarked: st.Old.Latency.Above(bucket),
		})
	}
	state.tables.age += elapsed
	if state.tables.complete() {
		s.weigh(st.Route, &state.tables)
		return
	}
	if state.tables.age < zoneTableAge {
		return
	}
	route := s.routes[st.Route]
	route.tables.add(state.tables.list)
	state.tables = tables{}
	if route.tables.complete() {
		s.weigh(st.Route, &route.tables)
	}
}

// age lets time pass for the tables of all routes.
func (s *SequentialAnalyzer) age(elapsed time.Duration) {
	for _, r := range s.routes {
		r.tables.age += elapsed
		if r.tables.age >= routeTableAge {
			r.tables = tables{}
		}
	}
}

// weigh turns complete tables into evidence and empties them.
func (s *SequentialAnalyzer) weigh(route string, t *tables) {
	for i, tab := range t.list {
		if tab.degenerate() {
			continue
		}
		weights, lowest := tab.logWeights(s.buffer)
		s.buffer = weights
		ratios := make([]float64, len(latencyOmegas[i]))
		for k, omega := range latencyOmegas[i] {
			ratios[k] = tab.oddsRatio(weights, lowest, omega, latencyNulls[i])
		}
		s.all.latency[i].observe(ratios)
		s.routes[route].latency[i].observe(ratios)
	}
	*t = tables{}
}
