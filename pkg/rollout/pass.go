package rollout

import (
	"fmt"

	"gonum.org/v1/gonum/stat/distuv"
)

// The pass rule: the new version must have served enough calls under its present
// share that a failure rate passMargin above the old version's would have shown,
// and the evidence against it must be low.
const (
	passMinCalls     = 60
	passMargin       = 0.05
	passSignificance = 0.05
	// maxPassEvidence is the evidence above which a version is too suspicious to
	// pass, though it is far from being condemned.
	maxPassEvidence = 20
)

// EvaluatePassRule decides whether the calls of both versions under the present share are
// enough for a pass. suspicion is the evidence against the new version, 1 if there
// is none. The verdict is VerdictUndecided or VerdictPassed; the rule never condemns.
func EvaluatePassRule(newCounts, oldCounts Counts, evidence float64) Analysis {
	j := Analysis{Verdict: VerdictUndecided, Calls: newCounts.Calls, Failures: newCounts.Failures, Suspicious: evidence >= maxPassEvidence}
	switch {
	case j.Suspicious:
		j.Reason = "the new version looks worse than the old one, without proof yet"
	case newCounts.Calls < passMinCalls:
		j.CallsNeeded = passMinCalls - newCounts.Calls
		j.Reason = fmt.Sprintf("%d of the %d calls that a pass needs", newCounts.Calls, passMinCalls)
	case !withinMargin(newCounts, failureRate(oldCounts)+passMargin):
		j.CallsNeeded = newCounts.Calls
		j.Reason = fmt.Sprintf("%d of %d calls failed; more calls are needed to tell whether that is worse than the old version", newCounts.Failures, newCounts.Calls)
	default:
		j.Verdict = VerdictPassed
		j.Reason = fmt.Sprintf("no worse than the old version in %d calls", newCounts.Calls)
	}
	return j
}

func failureRate(c Counts) float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Calls)
}

// withinMargin reports whether the upper confidence limit (Clopper-Pearson) of
// the failure rate is at most limit.
func withinMargin(c Counts, limit float64) bool {
	if c.Failures >= c.Calls || limit >= 1 {
		return limit >= 1
	}
	b := distuv.Beta{Alpha: float64(c.Failures) + 1, Beta: float64(c.Calls - c.Failures)}
	return b.CDF(limit) >= 1-passSignificance
}
