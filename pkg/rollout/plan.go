package rollout

import (
	"time"

	"heathercroft.example/heathercroft/pkg/record"
)

// PlannedStep is one raise of the weight and its due time.
type PlannedStep struct {
	Weight record.BasisPoints `json:"weight_bp"`
	// AtUnixMS is when the step is due, in milliseconds.
	AtUnixMS int64 `json:"at_unix_ms"`
}

// Plan holds the steps of a rollout, scheduled backwards from its deadline.
type Plan struct {
	Steps []PlannedStep `json:"steps"`
	// CompleteUnixMS is when the final soak ends, in milliseconds. It precedes the
	// deadline by the time that the last records need.
	CompleteUnixMS int64 `json:"complete_unix_ms"`
}

// stepSchedule gives the start of each step as a fraction of the time until completion.
// Small weights get longer soaks, since they gather evidence slowly. The last long soak
// leaves a tenth of the calls to the old version: without them, a disturbance common to
// both versions can't be told from a fault of the new one. The soak at full weight is
// short for the same reason.
var stepSchedule = []struct {
	weight record.BasisPoints
	start  float64
}{
	{100, 0},
	{500, 0.15},
	{2500, 0.40},
	{5000, 0.60},
	{9000, 0.75},
	{record.FullWeight, 0.95},
}

// completionFraction is the fraction of the rollout's time after which it is completed;
// the rest allows for a takeover and a slow platform.
const completionFraction = 0.95

// maxCompletionMargin bounds that reserve for long rollouts.
const maxCompletionMargin = 2 * time.Minute

// NewPlan schedules the steps backwards from the deadline. It depends only on the
// rollout's record, so every holder has the same plan.
func NewPlan(startUnixMS, deadlineUnixMS int64) Plan {
	total := max(deadlineUnixMS-startUnixMS, 1)
	margin := min(int64(float64(total)*(1-completionFraction)), maxCompletionMargin.Milliseconds())
	span := total - margin
	p := Plan{CompleteUnixMS: startUnixMS + span}
	for _, s := range stepSchedule {
		p.Steps = append(p.Steps, PlannedStep{s.weight, startUnixMS + int64(s.start*float64(span))})
	}
	return p
}

// Next returns the step after the given weight, and false at full weight.
func (p Plan) Next(weight record.BasisPoints) (PlannedStep, bool) {
	for _, s := range p.Steps {
		if s.Weight > weight {
			return s, true
		}
	}
	return PlannedStep{}, false
}

// Soak returns the planned time between a weight and the next one, or the final
// soak at full weight.
func (p Plan) Soak(weight record.BasisPoints) time.Duration {
	for i, s := range p.Steps {
		if s.Weight < weight {
			continue
		}
		end := p.CompleteUnixMS
		if i+1 < len(p.Steps) {
			end = p.Steps[i+1].AtUnixMS
		}
		return time.Duration(end-s.AtUnixMS) * time.Millisecond
	}
	return 0
}
