package admission

import (
	"math"
	"time"
)

const (
	// disturbanceDecay is the time in which the weight of a reported disturbance falls to 37 %.
	// Machines are disturbed in spells of about 600 ms. It is better to avoid a target for
	// somewhat too long than to send it requests during a spell.
	disturbanceDecay = 600 * time.Millisecond
	// minDisturbance and maxDisturbance bound the effect of a report.
	minDisturbance = 0.5
	maxDisturbance = 8.0
	// disturbanceTolerance is the deviation from the usual time that is not reported.
	disturbanceTolerance = 0.05
)

// Disturbance is by how many times longer than usual work takes on the machine of a target, as
// reported at a time. It is separate from the speed of the target, which lasts: a spell of
// disturbance must not make the target look slow afterwards. The zero value is usual.
type Disturbance struct {
	// factor is 0 or the reported value.
	factor float64
	at     time.Duration
}

// NewDisturbance returns a disturbance that was reported at a time; factors that are not
// positive are usual.
func NewDisturbance(factor float64, at time.Duration) Disturbance {
	if !(factor > 0) {
		return Disturbance{}
	}
	return Disturbance{min(max(factor, minDisturbance), maxDisturbance), at}
}

// Factor returns the expected disturbance at a time after the report.
func (d Disturbance) Factor(now time.Duration) float64 {
	if d.factor == 0 {
		return 1
	}
	age := max(now-d.at, 0)
	return 1 + (d.factor-1)*math.Exp(-float64(age)/float64(disturbanceDecay))
}

// Report returns the factor as reported and the age of the report. ok is false if it makes no
// difference any more.
func (d Disturbance) Report(now time.Duration) (factor float64, age time.Duration, ok bool) {
	if math.Abs(d.Factor(now)-1) <= disturbanceTolerance {
		return 0, 0, false
	}
	return d.factor, max(now-d.at, 0), true
}
