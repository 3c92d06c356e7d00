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

// The rate ratios of the comparison. Up to the null ratio the new version counts
// as no worse; the grids span what faults look like.
const failureNullRatio = 1.2

var (
	failureRatios = []float64{3, 10, 50, 500}
	// latencyQuantiles of the old version set the bounds above which calls
	// count as slow: the lower one shows a general slowdown, the tail a partial
	// one.
	latencyQuantiles = []float64{0.75, 0.95}
	// latencyOddsRatios and latencyNulls are odds ratios.
	latencyOddsRatios     = [][]float64{{2, 5, 15}, {3, 8, 25}}
	latencyNullOddsRatios = []float64{1.2, 1.4}
)

// fullWeightQuantile is the latency bound at full weight.
const fullWeightQuantile = 0.95

// minZonesToExclude is the number of zones with calls from which one may be left out.
const minZonesToExclude = 3

// minBaselineCalls is how many calls of the old version a latency bound needs.
const minBaselineCalls = 20

// minRouteBaselineCalls is the same for the calls of a route in all zones. Any bound
// is valid; a poor one only costs power.
const minRouteBaselineCalls = 8

// scopeTests gathers the evidence of one scope: one route, or all.
type scopeTests struct {
	failures *eProcess
	latency  []*eProcess
	// baseline holds the old version's latency in all zones.
	baseline Histogram
	// tables holds calls of zones with too few of them for a table of their own.
	tables latencyTables
}

func newScopeTests() *scopeTests {
	r := &scopeTests{failures: newEProcess(len(failureRatios))}
	for i := range latencyQuantiles {
		r.latency = append(r.latency, newEProcess(len(latencyOddsRatios[i])))
	}
	return r
}

func (r *scopeTests) addPrior(fraction float64) {
	r.failures.addPrior(fraction)
	for _, p := range r.latency {
		p.addPrior(fraction)
	}
}

func (r *scopeTests) latencyEvidence() float64 {
	sum := 0.0
	for _, p := range r.latency {
		sum += p.value()
	}
	return sum / float64(len(r.latency))
}

// SequentialAnalyzer compares by mixture likelihood ratios that are valid at any look:
// rate ratios of failures, and odds ratios of calls slower than quantiles of the
// old version's earlier latency, at the same time, zone and route.
type SequentialAnalyzer struct {
	config AnalyzerConfig
	all    *scopeTests
	routes map[string]*scopeTests
	// routeNames holds the keys of routes in order.
	routeNames []string
	strata     map[stratumKey]*stratumState
	fullWeight *fullWeightTest
	// newSinceRaise and oldRaised count since the last raise of the share.
	newSinceRaise Counts
	oldSinceRaise Counts
	// newSinceRaiseByZone holds raised by zone.
	newSinceRaiseByZone map[mesh.AvailabilityZone]Counts
	weight              record.BasisPoints
	failed              *Analysis
	// strongestEvidence is the strongest evidence at the last look.
	strongestEvidence float64
	weightsBuffer     []float64
}

// NewSequentialAnalyzer returns the product's judge.
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

// setWeight drops the incomplete tables: calls under different shares are not
// of the same time.
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
func (s *SequentialAnalyzer) Observe(b Observation) {
	fraction := float64(b.Elapsed) / float64(max(s.config.PlannedDuration, time.Second))
	for _, st := range b.Strata {
		if s.routes[st.Route] == nil {
			s.routes[st.Route] = newScopeTests()
			s.routeNames = slices.Sorted(maps.Keys(s.routes))
		}
	}
	s.all.addPrior(fraction)
	for _, r := range s.routes {
		r.addPrior(fraction)
	}
	s.ageTables(b.Elapsed)
	if b.Weight != s.weight {
		s.setWeight(b.Weight)
	}
	if b.Weight == record.FullWeight {
		s.fullWeight.addPrior(fraction)
	}
	for _, st := range b.Strata {
		s.observeStratum(st, b)
	}
	s.decide()
}

// combinedEvidence returns the mean of the processes, which is again an e-process: half
// on the whole service, half spread over its routes.
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
	return s.combinedEvidence(func(r *scopeTests) float64 { return r.failures.value() })
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
	j := Analysis{Verdict: VerdictFailed, Calls: s.newSinceRaise.Calls, Failures: s.newSinceRaise.Failures}
	switch max(failures, latency, fullWeightFailures, fullWeightLatency) {
	case failures:
		j.Reason = fmt.Sprintf("the new version fails more calls than the old one, most clearly on route %q (%d of %d calls at this share)", failureRoute, j.Failures, j.Calls)
	case latency:
		j.Reason = fmt.Sprintf("the new version is slower than the old one, most clearly on route %q", latencyRoute)
	case fullWeightFailures:
		j.Reason = fmt.Sprintf("at full weight %d of %d calls failed, more than before in all zones but one", j.Failures, j.Calls)
	default:
		j.Reason = "at full weight calls are slower than before in all zones but one"
	}
	s.failed = &j
}

// Analysis implements Analyzer.
func (s *SequentialAnalyzer) Analysis() Analysis {
	if s.failed != nil {
		return *s.failed
	}
	return EvaluatePassRule(s.countsForPass(), s.oldSinceRaise, s.strongestEvidence)
}

// countsForPass returns the calls that the pass rule rests on. At full weight the
// zone with the highest failure rate is left out if there are others enough:
// without old calls beside it, its trouble can't be told from a fault.
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
