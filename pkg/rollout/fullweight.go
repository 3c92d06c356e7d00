package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// At full weight there are no concurrent calls of the old version to compare with. The
// new version is then compared with the old version's earlier rates, with margins for
// variation over the day.
const (
	// baselineFailureMargin multiplies the upper limit of the old failure rate.
	baselineFailureMargin = 1.5
	// baselineLatencyMargin multiplies the old rate of slow calls.
	baselineLatencyMargin = 2
	// maxBaselineFailureRate bounds the baseline failure rate: with few old calls its
	// upper limit would excuse any failure rate.
	maxBaselineFailureRate = 0.1
)

var (
	fullWeightFailureRatios = []float64{3, 10, 40}
	fullWeightLatencyRatios = []float64{1.5, 2.5, 5}
)

// fullWeightTest compares the new version at full weight with the old version's earlier
// calls. A fault of one zone looks like a fault of the version in that zone, so a
// verdict requires that all zones but one agree.
type fullWeightTest struct {
	zones map[mesh.AvailabilityZone]*zoneFullWeightTest
	// baseline counts the old version's calls by route.
	baseline map[string]*baselineCounts
}

type baselineCounts struct{ calls, failures uint64 }

// upperFailureRate returns an upper limit of the failure rate, about two standard
// deviations above the observed rate, times baselineFailureMargin.
func (c baselineCounts) upperFailureRate() float64 {
	f := float64(c.failures)
	limit := (f + 2*math.Sqrt(f+1) + 1) / float64(c.calls+1)
	return min(limit*baselineFailureMargin, maxBaselineFailureRate)
}

type zoneFullWeightTest struct {
	failures, latency *eProcess
	dispersion        dispersion
	hasCalls          bool
}

func newFullWeightTest() *fullWeightTest {
	return &fullWeightTest{zones: map[mesh.AvailabilityZone]*zoneFullWeightTest{}, baseline: map[string]*baselineCounts{}}
}

func (t *fullWeightTest) zone(z mesh.AvailabilityZone) *zoneFullWeightTest {
	zone := t.zones[z]
	if zone == nil {
		zone = &zoneFullWeightTest{
			failures: newEProcess(len(fullWeightFailureRatios)),
			latency:  newEProcess(len(fullWeightLatencyRatios)),
		}
		t.zones[z] = zone
	}
	return zone
}

// addBaseline adds calls of the old version that ran beside the new one.
func (t *fullWeightTest) addBaseline(st Stratum, slow, baseRate float64, elapsed time.Duration) {
	if t.baseline[st.Route] == nil {
		t.baseline[st.Route] = &baselineCounts{}
	}
	t.baseline[st.Route].calls += st.Old.Calls
	t.baseline[st.Route].failures += st.Old.Failures
	t.zone(st.Zone).dispersion.add(float64(st.Old.Latency.Total()), slow, baseRate, elapsed)
}

// addPrior adds the prior weight of faults that start now, once full weight is reached.
func (t *fullWeightTest) addPrior(fraction float64) {
	for _, z := range t.zones {
		z.failures.addPrior(fraction)
		z.latency.addPrior(fraction)
	}
}

// observe adds the new version's calls of a stratum at full weight.
func (t *fullWeightTest) observe(st Stratum, slow uint64, baseRate float64) {
	zone := t.zone(st.Zone)
	zone.hasCalls = zone.hasCalls || st.New.Calls > 0
	counts := baselineCounts{}
	if r := t.baseline[st.Route]; r != nil {
		counts = *r
	}
	null := counts.upperFailureRate()
	ratios := make([]float64, len(fullWeightFailureRatios))
	for i, omega := range fullWeightFailureRatios {
		ratios[i] = binomialLogRatio(st.New.Calls, st.New.Failures, omega*null, null)
	}
	zone.failures.observe(ratios)
	if baseRate == 0 {
		return
	}
	null = min(baseRate*baselineLatencyMargin, 0.5)
	ratios = make([]float64, len(fullWeightLatencyRatios))
	for i, omega := range fullWeightLatencyRatios {
		ratios[i] = binomialLogRatio(st.New.Latency.Total(), slow, omega*null, null) / zone.dispersion.factor()
	}
	zone.latency.observe(ratios)
}

// binomialLogRatio returns the logarithm of the likelihood ratio of the marked calls
// under rate against null.
func binomialLogRatio(calls, marked uint64, rate, null float64) float64 {
	rate = min(rate, maxMarkedRate)
	return float64(marked)*math.Log(rate/null) + float64(calls-marked)*math.Log((1-rate)/(1-null))
}

// failureEvidence multiplies the evidence of all zones except the strongest one.
func (t *fullWeightTest) failureEvidence() float64 {
	values := t.sortedValues(func(z *zoneFullWeightTest) float64 { return z.failures.value() })
	if len(values) < 2 {
		return 1
	}
	product := 1.0
	for _, v := range values[:len(values)-1] {
		product = min(product*v, maxEvidence)
	}
	return product
}

// latencyEvidence returns the evidence that all zones but one reach. It is not
// multiplied over zones, since latencies of zones are more correlated than failures.
func (t *fullWeightTest) latencyEvidence() float64 {
	values := t.sortedValues(func(z *zoneFullWeightTest) float64 { return z.latency.value() })
	switch {
	case len(values) < 2:
		return 1
	case len(values) == 2:
		return values[0]
	default:
		return values[1]
	}
}

// sortedValues returns the evidence of the zones with calls, in ascending order.
func (t *fullWeightTest) sortedValues(value func(*zoneFullWeightTest) float64) []float64 {
	var values []float64
	for _, z := range slices.Sorted(maps.Keys(t.zones)) {
		if t.zones[z].hasCalls {
			values = append(values, value(t.zones[z]))
		}
	}
	slices.Sort(values)
	return values
}

// dispersionInterval is the time over which slow calls are counted together.
const dispersionInterval = 30 * time.Second

// dispersion measures how much more the rate of slow calls varies between intervals
// than that of independent calls would (Pearson's chi-squared statistic divided by its
// degrees of freedom). Evidence is divided by it.
type dispersion struct {
	calls, slow, expected, variance float64
	elapsed                         time.Duration
	chiSquareSum                    float64
	intervals                       int
}

// add adds a number of calls, how many of them were slow, and the expected rate of slow
// calls.
func (d *dispersion) add(calls, slow, baseRate float64, elapsed time.Duration) {
	d.calls += calls
	d.slow += slow
	d.expected += calls * baseRate
	d.variance += calls * baseRate * (1 - baseRate)
	d.elapsed += elapsed
	if d.elapsed < dispersionInterval {
		return
	}
	if d.variance > 0.5 {
		d.chiSquareSum += (d.slow - d.expected) * (d.slow - d.expected) / d.variance
		d.intervals++
	}
	d.calls, d.slow, d.expected, d.variance, d.elapsed = 0, 0, 0, 0, 0
}

// factor returns the dispersion, at least 1.
func (d *dispersion) factor() float64 {
	if d.intervals == 0 {
		return 1
	}
	return max(1, d.chiSquareSum/float64(d.intervals))
}
