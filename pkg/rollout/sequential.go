package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// The rate ratios of the comparison. Up to the null ratio the new version counts as no
// worse; the grids of alternatives cover the usual effects of faults.
const failureNullRatio = 1.2

var (
	failureRatios = []float64{3, 10, 50, 500}
	// latencyQuantiles of the old version are the bounds above which calls count as
	// slow: the lower one detects a general slowdown, the upper one a partial
	// slowdown.
	latencyQuantiles = []float64{0.75, 0.95}
	// latencyOddsRatios and latencyNullOddsRatios are odds ratios, one entry per
	// quantile.
	latencyOddsRatios     = [][]float64{{2, 5, 15}, {3, 8, 25}}
	latencyNullOddsRatios = []float64{1.2, 1.4}
)

// fullWeightQuantile is the quantile of the old version's latency above which calls
// count as slow at full weight.
const fullWeightQuantile = 0.95

// minZonesToExclude is the number of zones with calls from which one may be excluded.
const minZonesToExclude = 3

// minBaselineCalls is how many calls of the old version a latency bound needs.
const minBaselineCalls = 20

// minRouteBaselineCalls is the same for the calls of a route in all zones. Any bound is
// valid; an imprecise one only reduces the power of the test.
const minRouteBaselineCalls = 8

// scopeTests accumulates the evidence of one scope: one route, or all routes.
type scopeTests struct {
	failures *eProcess
	latency  []*eProcess
	// baseline holds the old version's latency in all zones.
	baseline Histogram
	// tables holds the calls of zones that have too few for a table of their own.
	tables latencyTables
}

func newScopeTests() *scopeTests {
	t := &scopeTests{failures: newEProcess(len(failureRatios))}
	for i := range latencyQuantiles {
		t.latency = append(t.latency, newEProcess(len(latencyOddsRatios[i])))
	}
	return t
}

func (t *scopeTests) addPrior(fraction float64) {
	t.failures.addPrior(fraction)
	for _, p := range t.latency {
		p.addPrior(fraction)
	}
}

func (t *scopeTests) latencyEvidence() float64 {
	sum := 0.0
	for _, p := range t.latency {
		sum += p.value()
	}
	return sum / float64(len(t.latency))
}

// SequentialAnalyzer compares versions by mixture likelihood ratios that are valid at
// any evaluation. It uses rate ratios of failures, and odds ratios of calls slower than
// quantiles of the old version's earlier latency, for concurrent calls of the same zone
// and route.
type SequentialAnalyzer struct {
	config AnalyzerConfig
	all    *scopeTests
	routes map[string]*scopeTests
	// routeNames holds the keys of routes in order.
	routeNames []string
	strata     map[stratumKey]*stratumState
	fullWeight *fullWeightTest
	// newSinceRaise and oldSinceRaise count the calls of both versions since the last
	// raise of the weight.
	newSinceRaise Counts
	oldSinceRaise Counts
	// newSinceRaiseByZone holds newSinceRaise by zone.
	newSinceRaiseByZone map[mesh.AvailabilityZone]Counts
	weight              record.BasisPoints
	failed              *Analysis
	// strongestEvidence is the strongest evidence at the last evaluation.
	strongestEvidence float64
	weightsBuffer     []float64
}

// NewSequentialAnalyzer returns the Analyzer that the nodes use.
func NewSequentialAnalyzer(config AnalyzerConfig) Analyzer {
	return &SequentialAnalyzer{
		config: config, all: newScopeTests(),
		routes: map[string]*scopeTests{}, strata: map[stratumKey]*stratumState{},
		newSinceRaiseByZone: map[mesh.AvailabilityZone]Counts{},
		fullWeight:          newFullWeightTest(),
	}
}

// WeightRaised implements Analyzer.
func (s *SequentialAnalyzer) WeightRaised() {
	s.newSinceRaise, s.oldSinceRaise = Counts{}, Counts{}
	s.newSinceRaiseByZone = map[mesh.AvailabilityZone]Counts{}
}

// setWeight drops the incomplete tables: calls at different weights are not concurrent.
func (s *SequentialAnalyzer) setWeight(weight record.BasisPoints) {
	s.weight = weight
	for _, r := range s.routes {
		r.tables = latencyTables{}
	}
	for _, st := range s.strata {
		st.tables = latencyTables{}
	}
}

// Observe implements Analyzer.
func (s *SequentialAnalyzer) Observe(o Observation) {
	fraction := float64(o.Elapsed) / float64(max(s.config.PlannedDuration, time.Second))
	for _, st := range o.Strata {
		if s.routes[st.Route] == nil {
			s.routes[st.Route] = newScopeTests()
			s.routeNames = slices.Sorted(maps.Keys(s.routes))
		}
	}
	s.all.addPrior(fraction)
	for _, r := range s.routes {
		r.addPrior(fraction)
	}
	s.ageTables(o.Elapsed)
	if o.Weight != s.weight {
		s.setWeight(o.Weight)
	}
	if o.Weight == record.FullWeight {
		s.fullWeight.addPrior(fraction)
	}
	for _, st := range o.Strata {
		s.observeStratum(st, o)
	}
	s.decide()
}

// combinedEvidence returns the mean of the e-processes, which is again an e-process:
// half of the weight is on the whole service and half is spread over its routes.
func (s *SequentialAnalyzer) combinedEvidence(value func(*scopeTests) float64) (total float64, worstRoute string) {
	worst, sum := 0.0, 0.0
	for _, route := range s.routeNames {
		v := value(s.routes[route])
		sum += v
		if v > worst {
			worst, worstRoute = v, route
		}
	}
	if len(s.routes) == 0 {
		return 1, ""
	}
	return (value(s.all) + sum/float64(len(s.routes))) / 2, worstRoute
}

func (s *SequentialAnalyzer) failureEvidence() (float64, string) {
	return s.combinedEvidence(func(t *scopeTests) float64 { return t.failures.value() })
}

func (s *SequentialAnalyzer) latencyEvidence() (float64, string) {
	return s.combinedEvidence((*scopeTests).latencyEvidence)
}

func (s *SequentialAnalyzer) decide() {
	if s.failed != nil {
		return
	}
	failures, failureRoute := s.failureEvidence()
	latency, latencyRoute := s.latencyEvidence()
	fullWeightFailures, fullWeightLatency := 1.0, 1.0
	if s.weight == record.FullWeight {
		fullWeightFailures, fullWeightLatency = s.fullWeight.failureEvidence(), s.fullWeight.latencyEvidence()
	}
	s.strongestEvidence = max(failures, latency, fullWeightFailures, fullWeightLatency)
	if (failures+latency+fullWeightFailures+fullWeightLatency)/4 < 1/s.config.FalsePositiveRate {
		return
	}
	result := Analysis{Verdict: VerdictFailed, Calls: s.newSinceRaise.Calls, Failures: s.newSinceRaise.Failures}
	switch max(failures, latency, fullWeightFailures, fullWeightLatency) {
	case failures:
		result.Reason = fmt.Sprintf("the new version fails more calls than the old one, most clearly on route %q (%d of %d calls at this share)", failureRoute, result.Failures, result.Calls)
	case latency:
		result.Reason = fmt.Sprintf("the new version is slower than the old one, most clearly on route %q", latencyRoute)
	case fullWeightFailures:
		result.Reason = fmt.Sprintf("at full weight %d of %d calls failed, more than before in all zones but one", result.Failures, result.Calls)
	default:
		result.Reason = "at full weight calls are slower than before in all zones but one"
	}
	s.failed = &result
}

// Analysis implements Analyzer.
func (s *SequentialAnalyzer) Analysis() Analysis {
	if s.failed != nil {
		return *s.failed
	}
	return EvaluatePassRule(s.countsForPass(), s.oldSinceRaise, s.strongestEvidence)
}

// countsForPass returns the calls that the pass rule uses. At full weight the zone with
// the highest failure rate is excluded if there are enough others: without concurrent
// calls of the old version, a fault of the zone can't be told from a fault of the
// version.
func (s *SequentialAnalyzer) countsForPass() Counts {
	if s.weight < record.FullWeight || len(s.newSinceRaiseByZone) < minZonesToExclude {
		return s.newSinceRaise
	}
	zones := slices.Sorted(maps.Keys(s.newSinceRaiseByZone))
	worst := slices.MaxFunc(zones, func(a, b mesh.AvailabilityZone) int {
		return cmp.Compare(failureRate(s.newSinceRaiseByZone[a]), failureRate(s.newSinceRaiseByZone[b]))
	})
	sum := Counts{}
	for _, z := range zones {
		if z != worst {
			sum.Merge(s.newSinceRaiseByZone[z])
		}
	}
	return sum
}
