package rollout

import "math"

// contingencyTable counts the concurrent calls of both versions and the slow ones among
// them.
type contingencyTable struct {
	newCalls, newSlow uint64
	oldCalls, oldSlow uint64
}

func (t *contingencyTable) add(o contingencyTable) {
	t.newCalls += o.newCalls
	t.newSlow += o.newSlow
	t.oldCalls += o.oldCalls
	t.oldSlow += o.oldSlow
}

// logLikelihoodRatio returns the logarithm of the likelihood ratio of the table under
// odds ratio omega against odds ratio null, given the margins of the table. Under equal
// odds the slow calls fall on the two versions as in a draw without replacement,
// whatever their common rate is, so a disturbance common to both versions cancels out.
func (t contingencyTable) logLikelihoodRatio(weights []float64, lowest uint64, omega, null float64) float64 {
	x := float64(t.newSlow)
	return x*math.Log(omega/null) + logSum(weights, lowest, null) - logSum(weights, lowest, omega)
}

// logWeights returns log C(newCalls,x)·C(oldCalls,marked-x), up to a constant, for each
// possible count x of slow calls of the new version, and the lowest x. marked is the
// number of slow calls of both versions.
func (t contingencyTable) logWeights(buf []float64) (weights []float64, lowest uint64) {
	marked := t.newSlow + t.oldSlow
	if marked > t.oldCalls {
		lowest = marked - t.oldCalls
	}
	highest := min(marked, t.newCalls)
	weights = append(buf[:0], 0)
	for x := lowest; x < highest; x++ {
		numerator := float64(t.newCalls-x) * float64(marked-x)
		denominator := float64(x+1) * float64(t.oldCalls-marked+x+1)
		weights = append(weights, weights[len(weights)-1]+math.Log(numerator/denominator))
	}
	return weights, lowest
}

// logSum returns the logarithm of the sum of exp(weights[i])·omega^(lowest+i).
func logSum(weights []float64, lowest uint64, omega float64) float64 {
	logOmega := math.Log(omega)
	maxTerm := math.Inf(-1)
	for i, w := range weights {
		maxTerm = max(maxTerm, w+float64(lowest+uint64(i))*logOmega)
	}
	sum := 0.0
	for i, w := range weights {
		sum += math.Exp(w + float64(lowest+uint64(i))*logOmega - maxTerm)
	}
	return maxTerm + math.Log(sum)
}

// degenerate reports whether the table can't distinguish the versions.
func (t contingencyTable) degenerate() bool {
	marked := t.newSlow + t.oldSlow
	return t.newCalls == 0 || t.oldCalls == 0 || marked == 0 || marked == t.newCalls+t.oldCalls
}
