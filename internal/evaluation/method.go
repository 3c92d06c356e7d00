package evaluation

import (
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
)

// Result says how a replay ended.
type Result string

// The results of a replay.
const (
	Done     Result = "done"
	Reversed Result = "reversed"
	// Open: neither done nor taken back when the replay ended.
	Open Result = "open"
)

// shifter is a method under evaluation: it decides the share of each node.
type shifter interface {
	share(node int) record.BasisPoints
	// counted takes in one counted call.
	counted(c call)
	// tick lets the method act on what it has seen.
	tick(now time.Duration, unixMS int64)
	result() Result
	// reason says why a version was taken back.
	reason() string
	// warned is when the operators were first told that the rollout is at risk,
	// 0 if never.
	warned() time.Duration
}

// Method names a way to decide.
type Method struct {
	Name string
	make func(Scenario, *world) shifter
}

// Methods returns the product's test and the baselines, or only the one with
// the given name.
func Methods(only string) []Method {
	all := []Method{
		{"sequential", func(s Scenario, w *world) shifter { return newMachines(s, w, rollout.NewSequentialAnalyzer) }},
		{"two-proportion", func(s Scenario, w *world) shifter { return newMachines(s, w, newTwoProportion) }},
		{"fixed-threshold-ramp", func(s Scenario, _ *world) shifter { return newRamp(s) }},
	}
	if only == "" {
		return all
	}
	return slices.DeleteFunc(all, func(m Method) bool { return m.Name != only })
}
