package canary_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/canary"
)

// versions gives answers of both versions at a rate and counts them.
type versions struct {
	random       *rand.Rand
	current, old canary.Evidence
}

func newVersions(seed uint64) *versions {
	return &versions{rand.New(rand.NewPCG(seed, 7)), canary.Evidence{}, canary.Evidence{}}
}

func (v *versions) answers(e canary.Evidence, route string, count int, failing, slow float64) {
	for range count {
		c := canary.Counts{Answers: 1}
		ms := 60 + 80*v.random.Float64()
		if v.random.Float64() < slow {
			ms *= 8
		}
		if v.random.Float64() < failing {
			c.Failed = 1
		} else {
			c.TimeMS, c.Timed = ms, 1
		}
		e[route] = e[route].Add(c)
	}
}

// Guards against bad versions that stay: each kind of fault must be found within
// few answers of the new version.
func TestEachKindOfBadVersionIsFound(t *testing.T) {
	for name, fault := range map[string]struct {
		route         string
		failing, slow float64
		// after is how many rounds the version is good at first.
		after int
	}{
		"errors":    {"r1", 0.5, 0, 0},
		"slow":      {"r1", 0, 0.5, 0},
		"one route": {"r2", 0.5, 0, 0},
		"late":      {"r1", 0.5, 0, 20},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				v, j := newVersions(seed), canary.NewJudge()
				bad, answers := false, 0
				for round := 0; round < 200 && !bad; round++ {
					for _, route := range []string{"r1", "r2"} {
						failing, slow := 0.004, 0.0
						if route == fault.route && round >= fault.after {
							failing, slow = fault.failing, fault.slow
							answers++
						}
						v.answers(v.current, route, 1, failing, slow)
						v.answers(v.old, route, 10, 0.004, 0)
					}
					bad, _ = j.Observe(v.current, v.old)
				}
				require.True(t, bad, "seed %d", seed)
				require.LessOrEqual(t, answers, 50, "seed %d", seed)
			}
		})
	}
}

// Guards against false alarms: a good version must be completed, also while the
// targets of both versions fail in part.
func TestGoodVersionIsNotCondemned(t *testing.T) {
	for name, failing := range map[string]float64{"calm": 0.004, "both fail": 0.3} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				v, j := newVersions(seed), canary.NewJudge()
				v.answers(v.old, "r1", 100, failing, 0)
				for range 200 {
					v.answers(v.current, "r1", 1, failing, 0)
					v.answers(v.old, "r1", 10, failing, 0)
					bad, reason := j.Observe(v.current, v.old)
					require.False(t, bad, "seed %d: %s", seed, reason)
				}
			}
		})
	}
}

// Guards against the old version being given up before all nodes have moved, or
// while requests still run there.
func TestCompletesOnlyWhenAllHaveMoved(t *testing.T) {
	m := canary.Begin(canary.Order{Service: "s", Version: "v2", Number: 1, Duration: 10 * time.Second}, 0)
	require.Equal(t, canary.Observing, m.Decide(canary.View{UnixMS: 5000, Seen: 100, NewTargets: 1}))
	require.Equal(t, canary.Observing, m.Decide(canary.View{UnixMS: 8000, Seen: 100}), "no target to move to")
	require.Equal(t, canary.Shifted, m.Decide(canary.View{UnixMS: 8000, Seen: 100, NewTargets: 1}))
	m = m.Next(canary.Shifted)
	require.Equal(t, canary.Shifted, m.Decide(canary.View{UnixMS: 9900, Seen: 100, NewTargets: 1, OldRunning: 1, Spread: true}))
	require.Equal(t, canary.Shifted, m.Decide(canary.View{UnixMS: 9900, Seen: 100, NewTargets: 1}))
	require.Equal(t, canary.Completed, m.Decide(canary.View{UnixMS: 9900, Seen: 100, NewTargets: 1, Spread: true}))
	require.Equal(t, canary.Reverted, m.Decide(canary.View{UnixMS: 9900, Bad: true, Spread: true}))
}

// Guards the bound on what a bad version may get: a tenth of the requests and 50
// more between the order and its deadline, whenever its fault shows.
func TestExposureIsBounded(t *testing.T) {
	for _, rate := range []float64{5, 35, 110, 400, 2000} {
		m := canary.Begin(canary.Order{Service: "s", Version: "v2", Number: 1, Duration: 15 * time.Second}, 0)
		observing := m.Share(rate) * rate * 15
		// All traffic for the time that a fault takes to be seen and spread.
		shifted := rate * 0.75
		require.LessOrEqual(t, observing+shifted, 0.1*rate*15+50, "rate %v", rate)
	}
}

// Guards final phases: a decided move never changes.
func TestFinalPhasesStay(t *testing.T) {
	m := canary.Begin(canary.Order{Service: "s", Version: "v2", Number: 1, Duration: time.Second}, 0)
	for _, p := range []canary.Phase{canary.Completed, canary.Reverted} {
		require.Equal(t, p, m.Next(p).Decide(canary.View{UnixMS: 99999, Bad: true, Spread: true}))
	}
	require.True(t, m.Next(canary.Reverted).Newer(m))
	require.False(t, m.Newer(m))
}

// Guards against a false alarm when a fault of the zone begins: answers of both
// versions are lost alike from one moment on (incident inc-071d).
func TestGoodVersionIsNotCondemnedWhenBothBeginToFail(t *testing.T) {
	for seed := range uint64(20) {
		v, j := newVersions(seed), canary.NewJudge()
		for round := range 100 {
			failing := 0.004
			if round >= 60 {
				failing = 0.4
			}
			v.answers(v.old, "r1", 10, failing, 0)
			v.answers(v.current, "r1", 1, failing, 0)
			bad, reason := j.Observe(v.current, v.old)
			require.False(t, bad, "seed %d, round %d: %s", seed, round, reason)
		}
	}
}
