package rollout

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Verdict is the outcome of a comparison so far.
type Verdict string

// The verdicts. Too few samples leave the verdict undecided.
const (
	VerdictUndecided Verdict = "undecided"
	VerdictPassed    Verdict = "passed"
	VerdictFailed    Verdict = "condemned"
)

// Stratum holds the calls of both versions at the same time, route and zone.
type Stratum struct {
	Route string                `json:"route"`
	Zone  mesh.AvailabilityZone `json:"zone"`
	Old   Counts                `json:"old"`
	New   Counts                `json:"new"`
}

// Observation is the evidence between two looks.
type Observation struct {
	// Elapsed is the time that the block covers.
	Elapsed time.Duration `json:"elapsed"`
	// Weight is the share of the new version during the block.
	Weight record.BasisPoints `json:"weight_bp"`
	// Strata are sorted by route, then zone.
	Strata []Stratum `json:"strata"`
}

// Analysis is a verdict with what it rests on.
type Analysis struct {
	Verdict Verdict
	// Reason is one sentence for the operator.
	Reason string
	// Calls and Failures of the new version since the last raise of its share.
	Calls, Failures uint64
	// Suspicious is set if the evidence speaks against the new version, without
	// proof yet.
	Suspicious bool
	// CallsNeeded is how many more calls of the new version a pass needs, 0 if
	// their number is not what is missing.
	CallsNeeded uint64
}

// Analyzer compares two versions. Implementations are deterministic and keep the
// verdict VerdictFailed once it is reached.
type Analyzer interface {
	// Observe adds the evidence since the last look.
	Observe(Observation)
	// WeightRaised tells that the share of the new version was raised: a pass has to
	// be earned again under the higher load.
	WeightRaised()
	// Analysis returns the verdict on the evidence so far.
	Analysis() Analysis
}

// AnalyzerConfig sets up an Analyzer.
type AnalyzerConfig struct {
	// FalsePositiveRate is the probability, over all looks of one rollout, of
	// condemning a version that is no worse than the old one.
	FalsePositiveRate float64
	// PlannedDuration is the time from start to deadline.
	PlannedDuration time.Duration
}
