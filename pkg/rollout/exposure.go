package rollout

import (
	"math"

	"heathercroft.example/heathercroft/pkg/record"
)

// exposureWindowCalls bounds the recent calls of a stratum that the estimate of the new
// version's fraction rests on: few enough to follow load, and enough for 5 %.
const exposureWindowCalls = 400

// exposurePriorCalls is how many calls the configured weight counts as in that
// estimate. It stabilizes the estimate for the first calls after a raise.
const exposurePriorCalls = 20

// exposure estimates the new version's fraction of the calls of one stratum. Calls are
// assigned to versions by the weight, independently of their outcome. So if the versions
// are alike, a failed call belongs to the new version with exactly this probability,
// whatever the common failure rate is.
type exposure struct {
	weight             record.BasisPoints
	newCalls, oldCalls float64
}

// observe adds the calls of an observation under the given weight. A change of the weight
// resets the estimate.
func (e *exposure) observe(weight record.BasisPoints, newCalls, oldCalls uint64) {
	if weight != e.weight {
		*e = exposure{weight: weight}
	}
	e.newCalls += float64(newCalls)
	e.oldCalls += float64(oldCalls)
	if total := e.newCalls + e.oldCalls; total > exposureWindowCalls {
		e.newCalls *= exposureWindowCalls / total
		e.oldCalls *= exposureWindowCalls / total
	}
}

// fraction returns the estimate, from 0 to 1.
func (e *exposure) fraction() float64 {
	prior := float64(e.weight) / float64(record.FullWeight)
	return (e.newCalls + exposurePriorCalls*prior) / (e.newCalls + e.oldCalls + exposurePriorCalls)
}

// conditionalLogRatio returns the logarithm of the likelihood ratio of the marked
// (failed or slow) calls of both versions, under a rate ratio of omega against one of
// null. Under a rate ratio of omega, each marked call belongs to the new version with
// the probability omega·newFraction/(omega·newFraction + 1-newFraction).
func conditionalLogRatio(newMarked, oldMarked uint64, newFraction, omega, null float64) float64 {
	marked := float64(newMarked + oldMarked)
	if marked == 0 {
		return 0
	}
	return float64(newMarked)*math.Log(omega/null) +
		marked*math.Log((null*newFraction+1-newFraction)/(omega*newFraction+1-newFraction))
}

// maxMarkedRate bounds the rate of marked calls below 1, so that one unmarked call
// never rules out a rate ratio.
const maxMarkedRate = 0.97
