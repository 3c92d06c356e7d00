package rollout

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Verdict is the result of a comparison so far.
type Verdict string

// The verdicts. With too few calls the verdict is undecided.
const (
	VerdictUndecided Verdict = "undecided"
	VerdictPassed    Verdict = "passed"
	VerdictFailed    Verdict = "condemned"
)

// Stratum holds the concurrent calls of both versions for one route and zone.
type Stratum struct {
	Route string                `json:"route"`
	Zone  mesh.AvailabilityZone `json:"zone"`
	Old   Counts                `json:"old"`
	New   Counts                `json:"new"`
}

// Observation is the evidence gathered between two evaluations.
type Observation struct {
	// Elapsed is the time covered.
	Elapsed time.Duration `json:"elapsed"`
	// Weight is the weight of the new version during that time.
	Weight record.BasisPoints `json:"weight_bp"`
	// Strata are sorted by route, then zone.
	Strata []Stratum `json:"strata"`
}

// Analysis is a verdict with its basis.
type Analysis struct {
	Verdict Verdict
	// Reason is one sentence for the operator.
	Reason string
	// Calls and Failures of the new version since the last raise of its weight.
	Calls, Failures uint64
	// Suspicious is set if there is evidence against the new version that is not yet
	// conclusive.
	Suspicious bool
	// CallsNeeded is how many more calls of the new version a pass needs, 0 if more
	// calls would not help.
	CallsNeeded uint64
}

// Analyzer compares two versions. Implementations are deterministic and keep
// VerdictFailed once it is reached.
type Analyzer interface {
	// Observe adds the evidence since the last evaluation.
	Observe(Observation)
	// WeightRaised reports that the weight of the new version was raised: a pass must
	// be reached again under the higher load.
	WeightRaised()
	// Analysis returns the result on the evidence so far.
	Analysis() Analysis
}

// AnalyzerConfig configures an Analyzer.
type AnalyzerConfig struct {
	// FalsePositiveRate is the probability, over all evaluations of one rollout, of
	// VerdictFailed for a version that is no worse than the old one.
	FalsePositiveRate float64
	// PlannedDuration is the time from start to deadline.
	PlannedDuration time.Duration
}
