package canary

import (
	"math"
	"time"
)

// Counts are the answers of targets on one route. They only grow while the
// process that counts them lives.
type Counts struct {
	Answers int `json:"n"`
	Failed  int `json:"f"`
	// TimeMS is the sum of the times at the target, cold targets left out, and
	// Timed is how many answers it holds.
	TimeMS float64 `json:"ms"`
	Timed  int     `json:"t"`
}

// Add adds the counts of another target.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.Answers + o.Answers, c.Failed + o.Failed, c.TimeMS + o.TimeMS, c.Timed + o.Timed}
}

// Sub returns what came since o, or c itself if a counting process restarted.
func (c Counts) Sub(o Counts) Counts {
	if c.Answers < o.Answers || c.Failed < o.Failed || c.Timed < o.Timed {
		return Counts{}
	}
	return Counts{c.Answers - o.Answers, c.Failed - o.Failed, c.TimeMS - o.TimeMS, c.Timed - o.Timed}
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
	// badEvidence is the logarithm of the likelihood ratio at which a version is
	// bad: about four failures in a row.
	badEvidence = 6.0
	// slowRatio is how many times longer than the old version a new one may take.
	// Targets of one version differ in pace by up to 2.3 times.
	slowRatio = 2.6
	// minTimed is how many times a route needs to be compared.
	minTimed = 10
)

// Judge compares a new version with the old one by route. It keeps a cumulative
// sum for each route, so that a fault that starts late is not outweighed by the
// good answers before it.
type Judge struct {
	last map[string]Counts
	sums map[string]float64
	// window holds the newest times of a route.
	window map[string]Counts
	bad    bool
	reason string
}

// NewJudge returns a judge without evidence.
func NewJudge() *Judge {
	return &Judge{last: map[string]Counts{}, sums: map[string]float64{}, window: map[string]Counts{}}
}

// Observe takes the present totals of both versions and returns the verdict.
func (j *Judge) Observe(current, old Evidence) (bad bool, reason string) {
	oldTotal := old.Total()
	for route, counts := range current {
		delta := counts.Sub(j.last[route])
		j.last[route] = counts
		j.failures(route, delta, old[route], oldTotal)
		j.slowness(route, delta, old[route])
	}
	return j.bad, j.reason
}

func (j *Judge) failures(route string, delta, old, oldTotal Counts) {
	rate := max(failureRate(old), failureRate(oldTotal))
	tolerated := min(max(toleratedRate, 1.5*rate), 0.6)
	suspect := max(suspectRate, min(2.5*tolerated, 0.9))
	onFailure := math.Log(suspect / tolerated)
	onSuccess := math.Log((1 - suspect) / (1 - tolerated))
	sum := j.sums[route] + float64(delta.Failed)*onFailure + float64(delta.Answers-delta.Failed)*onSuccess
	j.sums[route] = max(0, sum)
	if sum >= badEvidence {
		j.bad, j.reason = true, "failures on route "+route
	}
}

// priorAnswers damp the failure rate of an old version with few answers.
const priorAnswers = 20

func failureRate(c Counts) float64 {
	return float64(c.Failed) / float64(c.Answers+priorAnswers)
}

func (j *Judge) slowness(route string, delta, old Counts) {
	w := j.window[route].Add(delta)
	if w.Timed > 3*minTimed {
		// Older times lose weight, so that a version that turns slow is noticed.
		w.TimeMS /= 2
		w.Timed /= 2
	}
	j.window[route] = w
	if w.Timed < minTimed || old.Timed < minTimed {
		return
	}
	if w.TimeMS/float64(w.Timed) > slowRatio*old.TimeMS/float64(old.Timed) {
		j.bad, j.reason = true, "slow answers on route "+route
	}
}

// Bad returns the verdict so far.
func (j *Judge) Bad() bool { return j.bad }

// EvidenceInterval is the time between two looks at the evidence during a move.
// A bad version must be out 5 s after its fiftieth bad answer.
const EvidenceInterval = 250 * time.Millisecond
