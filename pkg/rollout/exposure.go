package rollout

import (
	"math"

	"heathercroft.example/heathercroft/pkg/record"
)

// exposureMemory is how many recent calls of a stratum estimate the new
// version's part of them: few enough to follow load, and enough for 5 %.
const exposureMemory = 400

// exposurePrior is the weight, in calls, of the share in force in that estimate.
// It bridges the first calls after a raise.
const exposurePrior = 20

// exposure follows the new version's part of the calls of one stratum. Calls are
// assigned to versions by the share, independently of how they end; so if the
// versions are alike, a failed call is one of the new version with just this
// probability, whatever the common failure rate is.
type exposure struct {
	weight             record.BasisPoints
	newCalls, oldCalls float64
}

// observe adds the calls of a block under the given share. A change of the share
// starts the estimate afresh.
func (e *exposure) observe(weight record.BasisPoints, newCalls, oldCalls uint64) {
	if weight != e.weight {
		*e = exposure{weight: weight}
	}
	e.newCalls += float64(newCalls)
	e.oldCalls += float64(oldCalls)
	if total := e.newCalls + e.oldCalls; total > exposureMemory {
		e.newCalls *= exposureMemory / total
		e.oldCalls *= exposureMemory / total
	}
}

// part returns the estimate, from 0 to 1.
func (e *exposure) part() float64 {
	prior := float64(e.weight) / float64(record.FullWeight)
	return (e.newCalls + exposurePrior*prior) / (e.newCalls + e.oldCalls + exposurePrior)
}

// logRatio returns the logarithm of the likelihood ratio of the marked calls
// (failed, or slow) of both versions: under a rate ratio of omega against one of
// null, each marked call being one of the new version with the probability
// omega·part/(omega·part + 1-part).
func logRatio(newMarked, oldMarked uint64, part, omega, null float64) float64 {
	marked := float64(newMarked + oldMarked)
	if marked == 0 {
		return 0
	}
	return float64(newMarked)*math.Log(omega/null) +
		marked*math.Log((null*part+1-part)/(omega*part+1-part))
}

// logRatioBoth is logRatio over the marked and the unmarked calls, for marks that
// are frequent: base is the old version's rate of marks. If the new version's
// rate of marks is omega·base, its unmarked calls are rarer accordingly.
func logRatioBoth(fresh, old marks, part, base, omega, null float64) float64 {
	return logRatio(fresh.marked, old.marked, part, omega, null) +
		logRatio(fresh.calls-fresh.marked, old.calls-old.marked, part, unmarkedRatio(omega, base), unmarkedRatio(null, base))
}

// marks counts the calls of one version, and those of them that are marked.
type marks struct{ calls, marked uint64 }

// highestRate bounds a rate of marks below 1, so that one unmarked call never
// rules out a rate ratio.
const highestRate = 0.97

// unmarkedRatio is the rate ratio of unmarked calls that goes with one of marked
// calls.
func unmarkedRatio(omega, base float64) float64 {
	return (1 - min(omega*base, highestRate)) / (1 - min(base, highestRate))
}
