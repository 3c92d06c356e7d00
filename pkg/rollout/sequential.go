package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// The odds ratios of the comparison. Up to the null ratio the new version counts
// as no worse; the grids span what faults look like.
const (
	failureNull = 1.2
	latencyNull = 1.5
)

var (
	failureOmegas = []float64{3, 10, 50, 500}
	latencyOmegas = []float64{3, 8, 30}
	// latencyQuantiles of the old version set the bounds above which calls
	// count as slow: the median shows a general slowdown, the tail a partial one.
	latencyQuantiles = []float64{0.5, 0.95}
)

// minReference is how many calls of the old version a latency bound needs.
const minReference = 20

// The pass rule: the new version must have served enough calls under its present
// share that a failure rate passMargin above the old version's would have shown,
// and the evidence against it must be low.
const (
	passCalls  = 60
	passMargin = 0.05
	passLevel  = 0.05
	// passEvidence is the evidence above which a version is too suspicious to
	// pass, though it is far from being condemned.
	passEvidence = 20
)

// routeProcesses gathers the evidence of one scope: one route, or all.
type routeProcesses struct {
	failures *eProcess
	latency  []*eProcess
}

func newRouteProcesses() *routeProcesses {
	r := &routeProcesses{failures: newEProcess(failureNull, failureOmegas)}
	for range latencyQuantiles {
		r.latency = append(r.latency, newEProcess(latencyNull, latencyOmegas))
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

// Sequential compares by mixture likelihood ratios that are valid at any look:
// conditional odds ratios of failures, and of calls slower than quantiles of the
// old version's earlier latency, at the same time, zone and route.
type Sequential struct {
	config JudgeConfig
	all    *routeProcesses
	routes map[string]*routeProcesses
	// reference holds the old version's latency so far by route and zone.
	reference map[stratumKey]*Histogram
	old       Counts
	raised    Counts
	oldRaised Counts
	condemned *Judgement
	buf       []float64
}

type stratumKey struct{ route, zone string }

func compareStrata(a, b stratumKey) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.zone, b.zone))
}

// NewSequential returns the product's judge.
func NewSequential(config JudgeConfig) Judge {
	return &Sequential{
		config: config, all: newRouteProcesses(),
		routes: map[string]*routeProcesses{}, reference: map[stratumKey]*Histogram{},
	}
}

// Raised implements Judge.
func (s *Sequential) Raised() { s.raised, s.oldRaised = Counts{}, Counts{} }

// Observe implements Judge.
func (s *Sequential) Observe(b Block) {
	part := float64(b.Elapsed) / float64(max(s.config.Planned, time.Second))
	for _, st := range b.Strata {
		if s.routes[st.Route] == nil {
			s.routes[st.Route] = newRouteProcesses()
		}
	}
	s.all.open(part)
	for _, r := range s.routes {
		r.open(part)
	}
	for _, st := range b.Strata {
		s.observeStratum(st)
	}
	s.decide()
}

func (s *Sequential) observeStratum(st Stratum) {
	scopes := []*routeProcesses{s.all, s.routes[st.Route]}
	s.observeFailures(st, scopes)
	key := stratumKey{st.Route, string(st.Zone)}
	ref := s.reference[key]
	if ref == nil {
		ref = &Histogram{}
		s.reference[key] = ref
	}
	// The bounds come from earlier blocks only: a bound that depends on the
	// calls it sorts would bias the test.
	if ref.Total() >= minReference {
		s.observeLatency(st, ref, scopes)
	}
	ref.merge(&st.Old.Latency)
	s.old.Merge(st.Old)
	s.raised.Merge(st.New)
	s.oldRaised.Merge(st.Old)
}

func (s *Sequential) observeFailures(st Stratum, scopes []*routeProcesses) {
	t := table{
		newCalls: st.New.Calls, newMarked: st.New.Failures,
		oldCalls: st.Old.Calls, oldMarked: st.Old.Failures,
	}
	ratios, ok := s.ratios(t, failureOmegas, failureNull)
	if !ok {
		return
	}
	for _, r := range scopes {
		r.failures.observe(ratios)
	}
}

func (s *Sequential) observeLatency(st Stratum, ref *Histogram, scopes []*routeProcesses) {
	for i, q := range latencyQuantiles {
		bucket, _ := ref.Quantile(q)
		t := table{
			newCalls: st.New.Latency.Total(), newMarked: st.New.Latency.Above(bucket),
			oldCalls: st.Old.Latency.Total(), oldMarked: st.Old.Latency.Above(bucket),
		}
		ratios, ok := s.ratios(t, latencyOmegas, latencyNull)
		if !ok {
			continue
		}
		for _, r := range scopes {
			r.latency[i].observe(ratios)
		}
	}
}

func (s *Sequential) ratios(t table, omegas []float64, null float64) ([]float64, bool) {
	if t.degenerate() {
		return nil, false
	}
	weights, lowest := t.logWeights(s.buf)
	s.buf = weights
	ratios := make([]float64, len(omegas))
	for i, omega := range omegas {
		ratios[i] = t.logRatio(weights, lowest, omega, null)
	}
	return ratios, true
}

// evidence returns the mean of the processes, which is again an e-process: half
// on the whole service, half spread over its routes.
func (s *Sequential) evidence(value func(*routeProcesses) float64) (total float64, worstRoute string) {
	worst, sum := 0.0, 0.0
	for _, route := range slices.Sorted(maps.Keys(s.routes)) {
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

func (s *Sequential) failureEvidence() (float64, string) {
	return s.evidence(func(r *routeProcesses) float64 { return r.failures.value() })
}

func (s *Sequential) latencyEvidence() (float64, string) {
	return s.evidence((*routeProcesses).latencyValue)
}

func (s *Sequential) decide() {
	if s.condemned != nil {
		return
	}
	failures, failureRoute := s.failureEvidence()
	latency, latencyRoute := s.latencyEvidence()
	if (failures+latency)/2 < 1/s.config.FalseAlarm {
		return
	}
	j := Judgement{Verdict: Condemned, Calls: s.raised.Calls, Failures: s.raised.Failures}
	if failures >= latency {
		j.Reason = fmt.Sprintf("the new version fails more calls than the old one, most clearly on route %q (%d of %d calls at this share)", failureRoute, j.Failures, j.Calls)
	} else {
		j.Reason = fmt.Sprintf("the new version is slower than the old one, most clearly on route %q", latencyRoute)
	}
	s.condemned = &j
}

// Judgement implements Judge.
func (s *Sequential) Judgement() Judgement {
	if s.condemned != nil {
		return *s.condemned
	}
	return PassRule(s.raised, s.oldRaised, s.suspicion())
}

func (s *Sequential) suspicion() float64 {
	failures, _ := s.failureEvidence()
	latency, _ := s.latencyEvidence()
	return max(failures, latency)
}
