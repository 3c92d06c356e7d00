package evaluation

import (
	"math/rand/v2"
	"time"
)

// Kind names what a scenario's new version, or its surroundings, do.
type Kind string

// The kinds of bad versions.
const (
	FailsAtOnce    Kind = "fails-at-once"
	FailsLater     Kind = "fails-later"
	FailsUnderLoad Kind = "fails-under-load"
	FailsOneRoute  Kind = "fails-one-route"
	SlowAtOnce     Kind = "slow-at-once"
	SlowLater      Kind = "slow-later"
	SlowUnderLoad  Kind = "slow-under-load"
	SlowOneRoute   Kind = "slow-one-route"
)

// The kinds of good versions.
const (
	Plain        Kind = "plain"
	ColdStarts   Kind = "cold-starts"
	ZoneTrouble  Kind = "zone-trouble"
	DailyShape   Kind = "daily-shape"
	LatencyNoise Kind = "latency-noise"
)

var (
	badKinds = []Kind{
		FailsAtOnce, FailsLater, FailsUnderLoad, FailsOneRoute,
		SlowAtOnce, SlowLater, SlowUnderLoad, SlowOneRoute,
	}
	goodKinds = []Kind{Plain, ColdStarts, ZoneTrouble, DailyShape, LatencyNoise}
)

// Scenario is one replay's parameters. Its fields are drawn from the seed alone.
type Scenario struct {
	Seed     uint64
	Profile  Profile
	Service  ServiceLoad
	Duration time.Duration
	Bad      bool
	Kind     Kind
	// FailureRate of a bad version's calls while its fault shows.
	FailureRate float64
	// SlowFactor multiplies the latency of a bad version while its fault shows.
	SlowFactor float64
	// FaultAt is when a late fault begins, or trouble of a zone.
	FaultAt time.Duration
	// FaultEnds ends the trouble of a zone.
	FaultEnds time.Duration
	// LoadPart is the share of traffic above which a load fault shows.
	LoadPart float64
	// Route is the only route of a route fault.
	Route int
	// Zone is the zone in trouble.
	Zone int
}

// newScenario draws the scenario with a number. Kinds take turns, so that each
// is equally frequent.
func newScenario(p Profile, bad bool, seed, number uint64) Scenario {
	stream := number << 1
	if bad {
		stream |= 1
	}
	rng := rand.New(rand.NewPCG(seed, stream))
	kinds := goodKinds
	if bad {
		kinds = badKinds
	}
	s := Scenario{
		Seed: rng.Uint64(), Profile: p, Bad: bad,
		Kind:     kinds[number%uint64(len(kinds))],
		Service:  p.Services[rng.IntN(len(p.Services))],
		Duration: p.Durations[rng.IntN(len(p.Durations))],
		// From one call in twenty to one in two; and from half as long again to
		// four times as long.
		FailureRate: 0.05 + 0.45*rng.Float64(),
		SlowFactor:  1.5 + 2.5*rng.Float64(),
		LoadPart:    0.1 + 0.5*rng.Float64(),
		Route:       1 + rng.IntN(2),
		Zone:        rng.IntN(len(p.Zones)),
	}
	s.FaultAt = time.Duration((0.2 + 0.6*rng.Float64()) * float64(s.Duration))
	s.FaultEnds = s.FaultAt + time.Duration((0.05+0.15*rng.Float64())*float64(s.Duration))
	return s
}
