package evaluation

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"heathercroft.example/heathercroft/pkg/rollout"
)

// lookInterval is how often the two-proportion test looks.
const lookInterval = 10 * time.Second

// minMarked is how many marked calls the normal approximation needs.
const minMarked = 5

// twoProportion compares the pooled failures, and the pooled calls over the old
// version's 95th percentile, of both versions at the same time. The probability
// of a false alarm is divided by the number of looks and of tests (Bonferroni).
type twoProportion struct {
	config     rollout.AnalyzerConfig
	critical   float64
	old, fresh rollout.Counts
	// raisedOld and raisedFresh count since the last raise of the share.
	raisedOld, raisedFresh rollout.Counts
	slowOld, slowFresh     float64
	sinceLook              time.Duration
	condemned              string
}

func newTwoProportion(c rollout.AnalyzerConfig) rollout.Analyzer {
	looks := math.Max(float64(c.PlannedDuration)/float64(lookInterval), 1)
	return &twoProportion{
		config:   c,
		critical: distuv.UnitNormal.Quantile(1 - c.FalsePositiveRate/(2*looks)),
	}
}

func (t *twoProportion) WeightRaised() {
	t.raisedOld, t.raisedFresh = rollout.Counts{}, rollout.Counts{}
}

func (t *twoProportion) Observe(b rollout.Observation) {
	for _, s := range b.Strata {
		// A call counts only beside calls of the other version at the same time.
		if bound, ok := t.old.Latency.Quantile(0.95); ok && t.old.Calls >= minMarked {
			t.slowOld += float64(s.Old.Latency.CountAbove(bound))
			t.slowFresh += float64(s.New.Latency.CountAbove(bound))
		}
		t.old.Merge(s.Old)
		t.fresh.Merge(s.New)
		t.raisedOld.Merge(s.Old)
		t.raisedFresh.Merge(s.New)
	}
	t.sinceLook += b.Elapsed
	if t.sinceLook >= lookInterval {
		t.sinceLook = 0
		t.look()
	}
}

func (t *twoProportion) look() {
	if t.condemned != "" {
		return
	}
	old, fresh := float64(t.old.Calls), float64(t.fresh.Calls)
	if z := statistic(float64(t.old.Failures), old, float64(t.fresh.Failures), fresh); z > t.critical {
		t.condemned = fmt.Sprintf("failures differ (z = %.1f)", z)
		return
	}
	if z := statistic(t.slowOld, old, t.slowFresh, fresh); z > t.critical {
		t.condemned = fmt.Sprintf("latencies differ (z = %.1f)", z)
	}
}

// statistic is the pooled z statistic of two proportions.
func statistic(oldMarked, old, freshMarked, fresh float64) float64 {
	if old == 0 || fresh == 0 || oldMarked+freshMarked < minMarked {
		return 0
	}
	pooled := (oldMarked + freshMarked) / (old + fresh)
	spread := math.Sqrt(pooled * (1 - pooled) * (1/old + 1/fresh))
	if spread == 0 {
		return 0
	}
	return (freshMarked/fresh - oldMarked/old) / spread
}

func (t *twoProportion) Analysis() rollout.Analysis {
	if t.condemned != "" {
		return rollout.Analysis{
			Verdict: rollout.VerdictFailed, Reason: t.condemned,
			Calls: t.raisedFresh.Calls, Failures: t.raisedFresh.Failures,
		}
	}
	return rollout.EvaluatePassRule(t.raisedFresh, t.raisedOld, 1)
}
