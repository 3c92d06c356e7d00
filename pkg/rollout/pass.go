package rollout

import (
	"fmt"

	"gonum.org/v1/gonum/stat/distuv"
)

// The pass rule: the new version has had enough calls at its current weight to show a
// failure rate passMargin above the old version's, and the evidence against it is low.
const (
	passMinCalls     = 60
	passMargin       = 0.05
	passSignificance = 0.05
	// maxPassEvidence is the evidence from which a version is too suspicious to pass,
	// though far from the threshold of VerdictFailed.
	maxPassEvidence = 20
)

// EvaluatePassRule decides whether the calls of both versions at the current weight
// suffice for a pass. evidence is the evidence against the new version, 1 if there is
// none. The verdict is VerdictUndecided or VerdictPassed, never VerdictFailed.
func EvaluatePassRule(newCounts, oldCounts Counts, evidence float64) Analysis {
	result := Analysis{Verdict: VerdictUndecided, Calls: newCounts.Calls, Failures: newCounts.Failures, Suspicious: evidence >= maxPassEvidence}
	switch {
	case result.Suspicious:
		result.Reason = "the new version looks worse than the old one, without proof yet"
	case newCounts.Calls < passMinCalls:
		result.CallsNeeded = passMinCalls - newCounts.Calls
		result.Reason = fmt.Sprintf("%d of the %d calls that a pass needs", newCounts.Calls, passMinCalls)
	case !withinMargin(newCounts, failureRate(oldCounts)+passMargin):
		result.CallsNeeded = newCounts.Calls
		result.Reason = fmt.Sprintf("%d of %d calls failed; more calls are needed to tell whether that is worse than the old version", newCounts.Failures, newCounts.Calls)
	default:
		result.Verdict = VerdictPassed
		result.Reason = fmt.Sprintf("no worse than the old version in %d calls", newCounts.Calls)
	}
	return result
}

func failureRate(c Counts) float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Calls)
}

// withinMargin reports whether the upper confidence limit (Clopper-Pearson) of the
// failure rate is at most limit.
func withinMargin(c Counts, limit float64) bool {
	if c.Failures >= c.Calls || limit >= 1 {
		return limit >= 1
	}
	b := distuv.Beta{Alpha: float64(c.Failures) + 1, Beta: float64(c.Calls - c.Failures)}
	return b.CDF(limit) >= 1-passSignificance
}
