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
const failureNull = 1.2

var (
	failureOmegas = []float64{3, 10, 50, 500}
	// latencyQuantiles of the old version set the bounds above which calls
	// count as slow: the lower one shows a general slowdown, the tail a partial
	// one.
	latencyQuantiles = []float64{0.75, 0.95}
	// latencyOmegas and latencyNulls are odds ratios.
	latencyOmegas = [][]float64{{2, 5, 15}, {3, 8, 25}}
	latencyNulls  = []float64{1.2, 1.4}
)

// pastQuantile is the latency bound at full weight.
const pastQuantile = 0.95

// minZones is the number of zones with calls from which one may be left out.
const minZones = 3

// minReference is how many calls of the old version a latency bound needs.
const minReference = 20

// minRouteReference is the same for the calls of a route in all zones. Any bound
// is valid; a poor one only costs power.
const minRouteReference = 8

// routeProcesses gathers the evidence of one scope: one route, or all.
type routeProcesses struct {
	failures *eProcess
	latency  []*eProcess
	// reference holds the old version's latency in all zones.
	reference Histogram
	// tables holds calls of zones with too few of them for a table of their own.
	tables tables
}

func newRouteProcesses() *routeProcesses {
	r := &routeProcesses{failures: newEProcess(len(failureOmegas))}
	for i := range latencyQuantiles {
		r.latency = append(r.latency, newEProcess(len(latencyOmegas[i])))
	}
	return r
}

func (r *routeProcesses) open(part float64) {
	r.failures.open(part)
	for _, p := range r.latency {
		p.open(part)
	}
}

func (r *routeProcesses) latencyValue() float64 {
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
	all    *routeProcesses
	routes map[string]*routeProcesses
	// names holds the keys of routes in order.
	names  []string
	strata map[stratumKey]*stratumState
	past   *referenceTest
	// raised and oldRaised count since the last raise of the share.
	raised    Counts
	oldRaised Counts
	// raisedZones holds raised by zone.
	raisedZones map[mesh.AvailabilityZone]Counts
	weight      record.BasisPoints
	condemned   *Analysis
	// suspicion is the strongest evidence at the last look.
	suspicion float64
	buffer    []float64
}

// NewSequentialAnalyzer returns the product's judge.
func NewSequentialAnalyzer(config AnalyzerConfig) Analyzer {
	return &SequentialAnalyzer{
		config: config, all: newRouteProcesses(),
		routes: map[string]*routeProcesses{}, strata: map[stratumKey]*stratumState{},
		raisedZones: map[mesh.AvailabilityZone]Counts{},
		past:        newReferenceTest(),
	}
}

// WeightRaised implements Analyzer.
func (s *SequentialAnalyzer) WeightRaised() {
	s.raised, s.oldRaised = Counts{}, Counts{}
	s.raisedZones = map[mesh.AvailabilityZone]Counts{}
}

// changeWeight drops the incomplete tables: calls under different shares are not
// of the same time.
func (s *SequentialAnalyzer) changeWeight(weight record.BasisPoints) {
	s.weight = weight
	for _, r := range s.routes {
		r.tables = tables{}
	}
	for _, st := range s.strata {
		st.tables = tables{}
	}
}

// Observe implements Analyzer.
func (s *SequentialAnalyzer) Observe(b Observation) {
	part := float64(b.Elapsed) / float64(max(s.config.PlannedDuration, time.Second))
	for _, st := range b.Strata {
		if s.routes[st.Route] == nil {
			s.routes[st.Route] = newRouteProcesses()
			s.names = slices.Sorted(maps.Keys(s.routes))
		}
	}
	s.all.open(part)
	for _, r := range s.routes {
		r.open(part)
	}
	s.age(b.Elapsed)
	if b.Weight != s.weight {
		s.changeWeight(b.Weight)
	}
	if b.Weight == record.FullWeight {
		s.past.open(part)
	}
	for _, st := range b.Strata {
		s.observeStratum(st, b)
	}
	s.decide()
}

// evidence returns the mean of the processes, which is again an e-process: half
// on the whole service, half spread over its routes.
func (s *SequentialAnalyzer) evidence(value func(*routeProcesses) float64) (total float64, worstRoute string) {
	worst, sum := 0.0, 0.0
	for _, route := range s.names {
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
	return s.evidence(func(r *routeProcesses) float64 { return r.failures.value() })
}

func (s *SequentialAnalyzer) latencyEvidence() (float64, string) {
	return s.evidence((*routeProcesses).latencyValue)
}

func (s *SequentialAnalyzer) decide() {
	if s.condemned != nil {
		return
	}
	failures, failureRoute := s.failureEvidence()
	latency, latencyRoute := s.latencyEvidence()
	pastFailures, pastLatency := 1.0, 1.0
	if s.weight == record.FullWeight {
		pastFailures, pastLatency = s.past.failureEvidence(), s.past.latencyEvidence()
	}
	s.suspicion = max(failures, latency, pastFailures, pastLatency)
	if (failures+latency+pastFailures+pastLatency)/4 < 1/s.config.FalsePositiveRate {
		return
	}
	j := Analysis{Verdict: VerdictFailed, Calls: s.raised.Calls, Failures: s.raised.Failures}
	switch max(failures, latency, pastFailures, pastLatency) {
	case failures:
		j.Reason = fmt.Sprintf("the new version fails more calls than the old one, most clearly on route %q (%d of %d calls at this share)", failureRoute, j.Failures, j.Calls)
	case latency:
		j.Reason = fmt.Sprintf("the new version is slower than the old one, most clearly on route %q", latencyRoute)
	case pastFailures:
		j.Reason = fmt.Sprintf("at full weight %d of %d calls failed, more than before in all zones but one", j.Failures, j.Calls)
	default:
		j.Reason = "at full weight calls are slower than before in all zones but one"
	}
	s.condemned = &j
}

// Analysis implements Analyzer.
func (s *SequentialAnalyzer) Analysis() Analysis {
	if s.condemned != nil {
		return *s.condemned
	}
	return EvaluatePassRule(s.comparable(), s.oldRaised, s.suspicion)
}

// comparable returns the calls that the pass rule rests on. At full weight the
// zone with the highest failure rate is left out if there are others enough:
// without old calls beside it, its trouble can't be told from a fault.
func (s *SequentialAnalyzer) comparable() Counts {
	if s.weight < record.FullWeight || len(s.raisedZones) < minZones {
		return s.raised
	}
	zones := slices.Sorted(maps.Keys(s.raisedZones))
	worst := slices.MaxFunc(zones, func(a, b mesh.AvailabilityZone) int {
		return cmp.Compare(rate(s.raisedZones[a]), rate(s.raisedZones[b]))
	})
	sum := Counts{}
	for _, z := range zones {
		if z != worst {
			sum.Merge(s.raisedZones[z])
		}
	}
	return sum
}
