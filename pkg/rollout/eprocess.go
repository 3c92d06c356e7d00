package rollout

import "math"

// eProcess accumulates evidence against the hypothesis that the new version is no worse
// than the old one. If the hypothesis holds, its value stays below 1/a at all times
// with a probability of at least 1-a, so it can be read after every observation without
// raising the false positive rate.
//
// It is a mixture over a grid of rate ratios and over the time at which a fault starts.
// Half of the prior weight is on the start of the rollout and the rest is spread over
// its planned duration, so that good calls before a late fault do not outweigh it.
type eProcess struct {
	// sums holds the mixture over start times so far, for each rate ratio.
	sums []float64
	// priorUsed is the prior weight assigned to start times so far.
	priorUsed float64
}

// priorAtStart is the prior weight of a fault that exists from the start.
const priorAtStart = 0.5

// maxEvidence keeps the sums finite; it is far above any threshold.
const maxEvidence = 1e60

func newEProcess(ratios int) *eProcess {
	return &eProcess{sums: make([]float64, ratios)}
}

// addPrior adds the prior weight of faults that start before the next observation,
// which covers the given fraction of the planned duration.
func (p *eProcess) addPrior(fraction float64) {
	w := fraction * (1 - priorAtStart)
	if p.priorUsed == 0 {
		w += priorAtStart
	}
	w = min(w, 1-p.priorUsed)
	p.priorUsed += w
	for i := range p.sums {
		p.sums[i] += w
	}
}

// observe multiplies in the likelihood ratios of one observation, given as logarithms
// in the order of the rate ratios.
func (p *eProcess) observe(logRatios []float64) {
	for i, r := range logRatios {
		p.sums[i] = min(p.sums[i]*math.Exp(r), maxEvidence)
	}
}

// value returns the e-value; its expectation is at most 1 under the hypothesis.
func (p *eProcess) value() float64 {
	total := 1 - p.priorUsed
	mean := 0.0
	for _, s := range p.sums {
		mean += s / float64(len(p.sums))
	}
	return total + mean
}
