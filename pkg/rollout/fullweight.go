package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// At full weight no calls of the old version are left to compare with at the same
// time. The new version is then compared with the old one's earlier rates, with
// margins for the time of day.
const (
	// referenceFailureMargin multiplies the upper limit of the old failure rate.
	referenceFailureMargin = 1.5
	// referenceLatencyMargin multiplies the old rate of slow calls.
	referenceLatencyMargin = 2
	// referenceCeiling bounds the reference rates: with few old calls their upper
	// limit would excuse anything.
	referenceCeiling = 0.1
)

var (
	referenceFailureOmegas = []float64{3, 10, 40}
	referenceLatencyOmegas = []float64{1.5, 2.5, 5}
)

// referenceTest compares with the past. Trouble of one zone looks like a fault
// of the version there, so that a verdict needs all zones but one to agree.
type referenceTest struct {
	zones map[mesh.AvailabilityZone]*zoneReference
	// old counts the old version's calls by route.
	old map[string]*rateReference
}

type rateReference struct{ calls, failures uint64 }

// upper returns an upper limit of the failure rate, about two standard deviations.
func (r rateReference) upper() float64 {
	f := float64(r.failures)
	limit := (f + 2*math.Sqrt(f+1) + 1) / float64(r.calls+1)
	return min(limit*referenceFailureMargin, referenceCeiling)
}

type zoneReference struct {
	failures, latency *eProcess
	dispersion        dispersion
	seen              bool
}

func newReferenceTest() *referenceTest {
	return &referenceTest{zones: map[mesh.AvailabilityZone]*zoneReference{}, old: map[string]*rateReference{}}
}

func (t *referenceTest) zone(z mesh.AvailabilityZone) *zoneReference {
	zone := t.zones[z]
	if zone == nil {
		zone = &zoneReference{
			failures: newEProcess(len(referenceFailureOmegas)),
			latency:  newEProcess(len(referenceLatencyOmegas)),
		}
		t.zones[z] = zone
	}
	return zone
}

// learn takes in the old version's calls beside the new one's.
func (t *referenceTest) learn(st Stratum, slow, base float64, elapsed time.Duration) {
	if t.old[st.Route] == nil {
		t.old[st.Route] = &rateReference{}
	}
	t.old[st.Route].calls += st.Old.Calls
	t.old[st.Route].failures += st.Old.Failures
	t.zone(st.Zone).dispersion.add(float64(st.Old.Latency.Total()), slow, base, elapsed)
}

// open adds the prior weight of faults that start now, once full weight is reached.
func (t *referenceTest) open(part float64) {
	for _, z := range t.zones {
		z.failures.open(part)
		z.latency.open(part)
	}
}

// compare weighs the new version's calls of a stratum at full weight.
func (t *referenceTest) compare(st Stratum, slow uint64, base float64) {
	zone := t.zone(st.Zone)
	zone.seen = zone.seen || st.New.Calls > 0
	reference := rateReference{}
	if r := t.old[st.Route]; r != nil {
		reference = *r
	}
	null := reference.upper()
	ratios := make([]float64, len(referenceFailureOmegas))
	for i, omega := range referenceFailureOmegas {
		ratios[i] = binomialRatio(st.New.Calls, st.New.Failures, omega*null, null)
	}
	zone.failures.observe(ratios)
	if base == 0 {
		return
	}
	null = min(base*referenceLatencyMargin, 0.5)
	ratios = make([]float64, len(referenceLatencyOmegas))
	for i, omega := range referenceLatencyOmegas {
		ratios[i] = binomialRatio(st.New.Latency.Total(), slow, omega*null, null) / zone.dispersion.factor()
	}
	zone.latency.observe(ratios)
}

// binomialRatio is the logarithm of the likelihood ratio of marked calls.
func binomialRatio(calls, marked uint64, rate, null float64) float64 {
	rate = min(rate, highestRate)
	return float64(marked)*math.Log(rate/null) + float64(calls-marked)*math.Log((1-rate)/(1-null))
}

// failureEvidence multiplies the zones' evidence without the strongest zone.
func (t *referenceTest) failureEvidence() float64 {
	values := t.values(func(z *zoneReference) float64 { return z.failures.value() })
	if len(values) < 2 {
		return 1
	}
	product := 1.0
	for _, v := range values[:len(values)-1] {
		product = min(product*v, evidenceCeiling)
	}
	return product
}

// latencyEvidence returns the evidence that all zones but one reach. It is not
// multiplied over zones, since latency varies in common more than failures do.
func (t *referenceTest) latencyEvidence() float64 {
	values := t.values(func(z *zoneReference) float64 { return z.latency.value() })
	switch {
	case len(values) < 2:
		return 1
	case len(values) == 2:
		return values[0]
	default:
		return values[1]
	}
}

// values returns the evidence of the zones with calls, in ascending order.
func (t *referenceTest) values(value func(*zoneReference) float64) []float64 {
	var values []float64
	for _, z := range slices.Sorted(maps.Keys(t.zones)) {
		if t.zones[z].seen {
			values = append(values, value(t.zones[z]))
		}
	}
	slices.Sort(values)
	return values
}

// dispersionSlice is the time over which slow calls are taken together.
const dispersionSlice = 30 * time.Second

// dispersion measures how much more the rate of slow calls varies between slices
// of time than independent calls would (Pearson's statistic by its degrees of
// freedom). Evidence is divided by it.
type dispersion struct {
	calls, slow, expected, variance float64
	elapsed                         time.Duration
	sum                             float64
	slices                          int
}

// add takes in calls, how many of them were slow, and the expected rate.
func (d *dispersion) add(calls, slow, base float64, elapsed time.Duration) {
	d.calls += calls
	d.slow += slow
	d.expected += calls * base
	d.variance += calls * base * (1 - base)
	d.elapsed += elapsed
	if d.elapsed < dispersionSlice {
		return
	}
	if d.variance > 0.5 {
		d.sum += (d.slow - d.expected) * (d.slow - d.expected) / d.variance
		d.slices++
	}
	d.calls, d.slow, d.expected, d.variance, d.elapsed = 0, 0, 0, 0, 0
}

// factor is at least 1.
func (d *dispersion) factor() float64 {
	if d.slices == 0 {
		return 1
	}
	return max(1, d.sum/float64(d.slices))
}
