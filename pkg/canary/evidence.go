package canary

import (
	"math"
	"time"
)

// Counts holds the responses of targets on one route. The counts only grow while the
// process that counts them lives.
type Counts struct {
	Responses int `json:"n"`
	Failed    int `json:"f"`
	// LatencySumMS is the sum of the response times at the target, cold targets
	// excluded, and LatencyCount is the number of responses in it.
	LatencySumMS float64 `json:"ms"`
	LatencyCount int     `json:"t"`
	// LogSum and LogSquares are the sums of the logarithms of these times in steps of 1/1000 and of
	// their squares, and LogCount is the number of times of at least 5 ms, which alone are in them.
	LogSum     int64 `json:"l,omitempty"`
	LogSquares int64 `json:"q,omitempty"`
	LogCount   int   `json:"k,omitempty"`
}

// minIncomparable is the number of failures from which the old version's responses on a route can tell
// that nothing can be compared there.
const minIncomparable = 3

// Comparable reports whether a new version can be compared with the old one, whose responses these are:
// a route on which the old version fails half of the requests or more, such as one whose requests are
// longer than their deadline, says nothing.
func (c Counts) Comparable() bool { return c.Failed < minIncomparable || 2*c.Failed < c.Responses }

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{
		c.Responses + o.Responses, c.Failed + o.Failed, c.LatencySumMS + o.LatencySumMS, c.LatencyCount + o.LatencyCount,
		c.LogSum + o.LogSum, c.LogSquares + o.LogSquares, c.LogCount + o.LogCount,
	}
}

// Sub returns the counts added since o, or zero counts if a counting process restarted.
func (c Counts) Sub(o Counts) Counts {
	if c.Responses < o.Responses || c.Failed < o.Failed || c.LatencyCount < o.LatencyCount || c.LogCount < o.LogCount {
		return Counts{}
	}
	return Counts{
		c.Responses - o.Responses, c.Failed - o.Failed, c.LatencySumMS - o.LatencySumMS, c.LatencyCount - o.LatencyCount,
		c.LogSum - o.LogSum, c.LogSquares - o.LogSquares, c.LogCount - o.LogCount,
	}
}

// Evidence holds the counts by route.
type Evidence map[string]Counts

// Total returns the sum over all routes.
func (e Evidence) Total() Counts {
	var t Counts
	for _, c := range e {
		t = t.Add(c)
	}
	return t
}

const (
	// faultyFailureRate is the failure rate of a faulty version that the test of a route looks
	// for.
	faultyFailureRate = 0.3
	// underLoadFailureRate is the one that the test of all routes together looks for. A version
	// that fails only at loaded targets fails on all routes, and less often.
	underLoadFailureRate = 0.15
	// allRoutes is the key of that test. No route has this name.
	allRoutes = ""
	// doubtFailureRate and doubtToleratedRate are those of a more sensitive test of all routes, which
	// only holds back the release of the old version, and doubtLogRatio is its threshold: two
	// failures within some 20 responses.
	doubtFailureRate   = 0.08
	doubtToleratedRate = 0.015
	doubtLogRatio      = 2.0
	// minToleratedFailureRate is the lowest failure rate that a healthy version is
	// allowed, so that a few lost responses do not mark it as faulty.
	minToleratedFailureRate = 0.04
	// recentDecay is the factor by which recent responses are discounted at each
	// observation. With EvidenceInterval they reach back over half a second, so that a
	// disturbance of both versions raises the tolerated rate within a few responses.
	recentDecay = 0.6
	// faultyLogRatio is the logarithm of the likelihood ratio from which a version is
	// faulty: about four failures in a row.
	faultyLogRatio = 6.0
	// maxLatencyRatio is how many times longer than the old version a new one may
	// take. Targets of one version differ in speed by up to 2.3 times.
	maxLatencyRatio = 2.6
	// minLatencySamples is how many response times a route needs to be compared.
	minLatencySamples = 10
)

// Verdict is the assessment of a new version.
type Verdict int

// The verdicts.
const (
	// VerdictHealthy: there is no evidence against the new version.
	VerdictHealthy Verdict = iota
	// VerdictSuspected: the new version fails more often than the old one did. It gets
	// no more requests until the old version, which then gets all of them, has shown
	// whether it fails as well.
	VerdictSuspected
	// VerdictFaulty: the new version failed and the old one does not, or the new
	// version is too slow.
	VerdictFaulty
)

// Time until a suspicion is confirmed.
const (
	// A suspicion is confirmed after minConfirmTime, in which nodes hear from each
	// other during a move, if minControlResponses of the old version arrived in that
	// time; otherwise after maxConfirmTime. A faulty version must get no more traffic
	// 5 s after its fiftieth bad response.
	minConfirmTime      = time.Second
	maxConfirmTime      = 2500 * time.Millisecond
	minControlResponses = 40
)

// sharedFaultRatio is the fraction of the new version's failure rate from which the old
// version is considered to suffer from the same fault.
const sharedFaultRatio = 0.3

// VersionStats holds the responses of the targets of a version: all of them, and the
// recent ones.
type VersionStats struct {
	Evidence Evidence     `json:"evidence,omitempty"`
	Recent   RecentCounts `json:"recent,omitzero"`
	// Spreads holds how the response times at single targets vary, by route and group of targets.
	Spreads map[string]Spreads `json:"spreads,omitempty"`
}

// Add adds the responses of another target.
func (v *VersionStats) Add(target string, e Evidence, r RecentCounts) {
	if v.Evidence == nil {
		v.Evidence = Evidence{}
	}
	for route, counts := range e {
		sum := v.Evidence[route].Add(counts)
		// The logarithms of several targets together say nothing.
		sum.LogSum, sum.LogSquares, sum.LogCount = 0, 0, 0
		v.Evidence[route] = sum
		if s := counts.spread(); s.Freedom > 0 {
			if v.Spreads == nil {
				v.Spreads = map[string]Spreads{}
			}
			groups := v.Spreads[route]
			group := &groups[groupOf(target)]
			*group = group.add(s)
			v.Spreads[route] = groups
		}
	}
	v.Recent = RecentCounts{v.Recent.Responses + r.Responses, v.Recent.Failed + r.Failed}
}

// Analyzer compares a new version with the old one by route. It keeps a cumulative sum
// (CUSUM) for each route, so that the good responses before a late fault do not
// outweigh it.
type Analyzer struct {
	last map[string]Counts
	sums map[string]float64
	// doubt is the sum of the test that holds back the release of the old version.
	doubt float64
	// trusted is the evidence that a route works, and spreadDoubt is set while response times vary more
	// than those of the old version.
	trusted map[string]float64
	uneven  bool
	// firstOldSpread holds the spreads of the old version at the first observation.
	firstOldSpread map[string]Spread
	// window holds the recent response times of a route.
	window  map[string]Counts
	verdict Verdict
	reason  string
	// suspectedAt is when the suspicion began, oldResponsesThen the number of
	// responses of the old version up to then.
	suspectedAt      time.Duration
	oldResponsesThen int
}

// NewAnalyzer returns an Analyzer without evidence.
func NewAnalyzer() *Analyzer {
	return &Analyzer{last: map[string]Counts{}, sums: map[string]float64{}, trusted: map[string]float64{}, firstOldSpread: map[string]Spread{}, window: map[string]Counts{}}
}

// Observe takes the current counts of both versions and returns the verdict with its
// reason. VerdictFaulty is final.
func (a *Analyzer) Observe(now time.Duration, current, old VersionStats) (Verdict, string) {
	oldTotal := old.Evidence.Total()
	sum, doubt := a.sums[allRoutes], a.doubt
	for route, counts := range current.Evidence {
		delta := counts.Sub(a.last[route])
		a.last[route] = counts
		if !old.Evidence[route].Comparable() {
			continue
		}
		oldRate := max(failureRate(old.Evidence[route]), failureRate(oldTotal), old.Recent.FailureRate())
		a.sums[route] = max(0, a.sums[route]+logRatio(delta, oldRate, minToleratedFailureRate, faultyFailureRate))
		sum += logRatio(delta, oldRate, minToleratedFailureRate, underLoadFailureRate)
		doubt += logRatio(delta, oldRate, doubtToleratedRate, doubtFailureRate)
		a.observeRoute(route, delta, oldRate)
		a.observeLatency(route, delta, old.Evidence[route])
	}
	a.observeSpread(current, old)
	a.sums[allRoutes], a.doubt = max(0, sum), max(0, doubt)
	if a.verdict == VerdictFaulty {
		return a.verdict, a.reason
	}
	a.updateSuspicion(now, oldTotal.Responses, old.Recent.FailureRate() >= sharedFaultRatio*current.Recent.FailureRate())
	return a.verdict, a.reason
}

// updateSuspicion begins, drops or confirms a suspicion. sharedFault is set if both
// versions fail.
func (a *Analyzer) updateSuspicion(now time.Duration, oldResponses int, sharedFault bool) {
	route, over := a.faultyRoute()
	switch {
	case sharedFault:
		a.verdict, a.reason = VerdictHealthy, ""
		if over {
			clear(a.sums)
		}
	case a.verdict == VerdictHealthy && over:
		a.verdict, a.reason = VerdictSuspected, "failures on route "+route
		if route == allRoutes {
			a.reason = "failures on all routes"
		}
		a.suspectedAt, a.oldResponsesThen = now, oldResponses
	case a.verdict == VerdictSuspected:
		waited := now - a.suspectedAt
		if waited >= maxConfirmTime || waited >= minConfirmTime && oldResponses-a.oldResponsesThen >= minControlResponses {
			a.verdict = VerdictFaulty
		}
	}
}

// faultyRoute returns the route with too many failures, the first by name, or allRoutes.
func (a *Analyzer) faultyRoute() (route string, over bool) {
	for r, sum := range a.sums {
		if sum >= faultyLogRatio && (!over || route == allRoutes || r != allRoutes && r < route) {
			route, over = r, true
		}
	}
	return route, over
}

// Doubtful reports whether there is evidence against the new version, though not enough to suspect
// it. It looks at all routes together: a route with little traffic may take long to refute a few lost
// responses.
func (a *Analyzer) Doubtful() bool { return a.doubt >= doubtLogRatio }

// logRatio returns the logarithm of the likelihood ratio of new responses: of a version that fails
// at faultyRate against one that fails as the old version, or at toleratedRate if that is more.
func logRatio(delta Counts, oldRate, toleratedRate, faultyRate float64) float64 {
	tolerated := min(max(toleratedRate, 1.5*oldRate), 0.6)
	faulty := max(faultyRate, min(2.5*tolerated, 0.9))
	onFailure := math.Log(faulty / tolerated)
	onSuccess := math.Log((1 - faulty) / (1 - tolerated))
	return float64(delta.Failed)*onFailure + float64(delta.Responses-delta.Failed)*onSuccess
}

// RecentCounts holds the recent responses of targets on all routes. Each update that
// adds responses discounts the older ones.
type RecentCounts struct {
	Responses float64 `json:"n"`
	Failed    float64 `json:"f"`
}

// Valid reports whether the counts are in the range of counted responses.
func (r RecentCounts) Valid() bool {
	return r.Failed >= 0 && r.Failed <= r.Responses && r.Responses <= math.MaxInt32
}

// Update returns the counts after new responses. Without new responses the counts stay:
// once all traffic has moved, the last responses of the old version are the only ones
// to compare with.
func (r RecentCounts) Update(delta Counts) RecentCounts {
	if delta.Responses == 0 {
		return r
	}
	return RecentCounts{r.Responses*recentDecay + float64(delta.Responses), r.Failed*recentDecay + float64(delta.Failed)}
}

// recentPriorResponses keeps a single lost response of a quiet service from hiding a
// faulty version, and is small compared with the responses of a busy service.
const recentPriorResponses = 8

// FailureRate returns the failure rate, damped by recentPriorResponses.
func (r RecentCounts) FailureRate() float64 { return r.Failed / (r.Responses + recentPriorResponses) }

// priorResponses damps the failure rate of an old version with few responses.
const priorResponses = 20

func failureRate(c Counts) float64 {
	return float64(c.Failed) / float64(c.Responses+priorResponses)
}

func (a *Analyzer) observeLatency(route string, delta, old Counts) {
	w := a.window[route].Add(delta)
	if w.LatencyCount > 3*minLatencySamples {
		// Older samples are discounted, so that a version that becomes slow is detected.
		w.LatencySumMS /= 2
		w.LatencyCount /= 2
	}
	a.window[route] = w
	if w.LatencyCount < minLatencySamples || old.LatencyCount < minLatencySamples {
		return
	}
	if w.LatencySumMS/float64(w.LatencyCount) > maxLatencyRatio*old.LatencySumMS/float64(old.LatencyCount) {
		a.verdict, a.reason = VerdictFaulty, "slow answers on route "+route
	}
}

// EvidenceInterval is the time between two observations during a move. A faulty version
// must get no more traffic 5 s after its fiftieth bad response.
const EvidenceInterval = 250 * time.Millisecond
