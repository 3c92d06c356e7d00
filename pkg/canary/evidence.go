package canary

import (
	"math"
	"time"
)

// Counts are the answers of targets on one route. They only grow while the
// process that counts them lives.
type Counts struct {
	Responses int `json:"n"`
	Failed    int `json:"f"`
	// LatencySumMS is the sum of the times at the target, cold targets left out, and
	// LatencyCount is how many answers it holds.
	LatencySumMS float64 `json:"ms"`
	LatencyCount int     `json:"t"`
}

// Add adds the counts of another target.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.Responses + o.Responses, c.Failed + o.Failed, c.LatencySumMS + o.LatencySumMS, c.LatencyCount + o.LatencyCount}
}

// Sub returns what came since o, or c itself if a counting process restarted.
func (c Counts) Sub(o Counts) Counts {
	if c.Responses < o.Responses || c.Failed < o.Failed || c.LatencyCount < o.LatencyCount {
		return Counts{}
	}
	return Counts{c.Responses - o.Responses, c.Failed - o.Failed, c.LatencySumMS - o.LatencySumMS, c.LatencyCount - o.LatencyCount}
}

// Evidence is the counts by route.
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
	// suspectRate is the rate of failures of a faulty version that the test looks for.
	suspectRate = 0.3
	// toleratedRate is the least rate of failures that a sound version is allowed,
	// so that a few lost answers do not condemn it.
	toleratedRate = 0.04
	// recentKept is the part of the recent answers that still counts at the next look.
	// With EvidenceInterval they reach back over half a second, so that trouble which hits
	// both versions raises the tolerated rate within a few answers.
	recentKept = 0.6
	// badEvidence is the logarithm of the likelihood ratio at which a version is
	// bad: about four failures in a row.
	badEvidence = 6.0
	// slowRatio is how many times longer than the old version a new one may take.
	// Targets of one version differ in pace by up to 2.3 times.
	slowRatio = 2.6
	// minTimed is how many times a route needs to be compared.
	minTimed = 10
)

// Verdict is what the evidence says of a new version.
type Verdict int

// The verdicts.
const (
	// VerdictHealthy: nothing speaks against the new version.
	VerdictHealthy Verdict = iota
	// VerdictSuspected: the new version fails more often than the old one did. Nothing more
	// is sent there until the old version, which then gets all requests, has shown
	// whether it fails as well.
	VerdictSuspected
	// VerdictFaulty: the new version failed and the old one does not.
	VerdictFaulty
)

// A suspicion is confirmed after confirmTime, in which nodes hear of each other during
// a move, if controlAnswers of the old version came meanwhile; otherwise after
// maxConfirmTime. A bad version has to be out 5 s after its fiftieth bad answer.
const (
	confirmTime    = time.Second
	maxConfirmTime = 2500 * time.Millisecond
	controlAnswers = 40
)

// sharedFault is the part of the new version's failure rate from which on the old
// version is taken to suffer from the same fault.
const sharedFault = 0.3

// VersionStats are what the targets of a version answered: all, and the newest.
type VersionStats struct {
	Evidence Evidence
	Recent   RecentCounts
}

// Add adds the answers of another target.
func (a *VersionStats) Add(e Evidence, r RecentCounts) {
	if a.Evidence == nil {
		a.Evidence = Evidence{}
	}
	for route, counts := range e {
		a.Evidence[route] = a.Evidence[route].Add(counts)
	}
	a.Recent = RecentCounts{a.Recent.Responses + r.Responses, a.Recent.Failed + r.Failed}
}

// Analyzer compares a new version with the old one by route. It keeps a cumulative
// sum for each route, so that a fault that starts late is not outweighed by the
// good answers before it.
type Analyzer struct {
	last map[string]Counts
	sums map[string]float64
	// window holds the newest times of a route.
	window  map[string]Counts
	verdict Verdict
	reason  string
	// suspectedAt is when the suspicion began, oldThen the old version's answers up to then.
	suspectedAt time.Duration
	oldThen     int
}

// NewAnalyzer returns a judge without evidence.
func NewAnalyzer() *Analyzer {
	return &Analyzer{last: map[string]Counts{}, sums: map[string]float64{}, window: map[string]Counts{}}
}

// Observe takes the present answers of both versions and returns the verdict. Bad is final.
func (j *Analyzer) Observe(now time.Duration, current, old VersionStats) (Verdict, string) {
	oldTotal := old.Evidence.Total()
	for route, counts := range current.Evidence {
		delta := counts.Sub(j.last[route])
		j.last[route] = counts
		j.failures(route, delta, max(failureRate(old.Evidence[route]), failureRate(oldTotal), old.Recent.FailureRate()))
		j.slowness(route, delta, old.Evidence[route])
	}
	if j.verdict == VerdictFaulty {
		return j.verdict, j.reason
	}
	j.weigh(now, oldTotal.Responses, old.Recent.FailureRate() >= sharedFault*current.Recent.FailureRate())
	return j.verdict, j.reason
}

// weigh begins, drops or confirms a suspicion. shared is set if both versions fail.
func (j *Analyzer) weigh(now time.Duration, oldAnswers int, shared bool) {
	route, over := j.over()
	switch {
	case shared:
		j.verdict, j.reason = VerdictHealthy, ""
		if over {
			clear(j.sums)
		}
	case j.verdict == VerdictHealthy && over:
		j.verdict, j.reason = VerdictSuspected, "failures on route "+route
		j.suspectedAt, j.oldThen = now, oldAnswers
	case j.verdict == VerdictSuspected:
		waited := now - j.suspectedAt
		if waited >= maxConfirmTime || waited >= confirmTime && oldAnswers-j.oldThen >= controlAnswers {
			j.verdict = VerdictFaulty
		}
	}
}

// over returns the route whose failures are too many, the first by name.
func (j *Analyzer) over() (route string, over bool) {
	for r, sum := range j.sums {
		if sum >= badEvidence && (!over || r < route) {
			route, over = r, true
		}
	}
	return route, over
}

// failures compares new answers with the failure rate of the old version.
func (j *Analyzer) failures(route string, delta Counts, oldRate float64) {
	tolerated := min(max(toleratedRate, 1.5*oldRate), 0.6)
	suspect := max(suspectRate, min(2.5*tolerated, 0.9))
	onFailure := math.Log(suspect / tolerated)
	onSuccess := math.Log((1 - suspect) / (1 - tolerated))
	sum := j.sums[route] + float64(delta.Failed)*onFailure + float64(delta.Responses-delta.Failed)*onSuccess
	j.sums[route] = max(0, sum)
}

// RecentCounts are the newest answers of targets, whatever their route. Older answers count
// for less with each look that brings new ones.
type RecentCounts struct {
	Responses float64 `json:"n"`
	Failed    float64 `json:"f"`
}

// Update returns the counts after a look that brought newer answers. Without any the
// counts stay: once all traffic has moved, the last answers of the old version are
// the only ones to compare with.
func (r RecentCounts) Update(newer Counts) RecentCounts {
	if newer.Responses == 0 {
		return r
	}
	return RecentCounts{r.Responses*recentKept + float64(newer.Responses), r.Failed*recentKept + float64(newer.Failed)}
}

// recentPriorAnswers keep a single lost answer of a quiet service from hiding a bad
// version, and are few beside the answers of a busy one.
const recentPriorAnswers = 8

// FailureRate returns the damped share of failures.
func (r RecentCounts) FailureRate() float64 { return r.Failed / (r.Responses + recentPriorAnswers) }

// priorAnswers damp the failure rate of an old version with few answers.
const priorAnswers = 20

func failureRate(c Counts) float64 {
	return float64(c.Failed) / float64(c.Responses+priorAnswers)
}

func (j *Analyzer) slowness(route string, delta, old Counts) {
	w := j.window[route].Add(delta)
	if w.LatencyCount > 3*minTimed {
		// Older times lose weight, so that a version that turns slow is noticed.
		w.LatencySumMS /= 2
		w.LatencyCount /= 2
	}
	j.window[route] = w
	if w.LatencyCount < minTimed || old.LatencyCount < minTimed {
		return
	}
	if w.LatencySumMS/float64(w.LatencyCount) > slowRatio*old.LatencySumMS/float64(old.LatencyCount) {
		j.verdict, j.reason = VerdictFaulty, "slow answers on route "+route
	}
}

// EvidenceInterval is the time between two looks at the evidence during a move.
// A bad version must be out 5 s after its fiftieth bad answer.
const EvidenceInterval = 250 * time.Millisecond
