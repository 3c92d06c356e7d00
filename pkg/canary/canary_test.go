package canary_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/canary"
)

// simulation produces responses of both versions at given failure rates and counts
// them.
type simulation struct {
	random       *rand.Rand
	current, old canary.Evidence
	states       [2]versionState
	now          time.Duration
}

// versionState is the last observed state of a version.
type versionState struct {
	total  canary.Counts
	recent canary.RecentCounts
}

func (v *versionState) observe(e canary.Evidence) canary.VersionStats {
	total := e.Total()
	v.recent, v.total = v.recent.Update(total.Sub(v.total)), total
	return canary.VersionStats{Evidence: e, Recent: v.recent}
}

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 7)), current: canary.Evidence{}, old: canary.Evidence{}}
}

// analyze passes the current counts to an analyzer.
func (s *simulation) analyze(a *canary.Analyzer) (canary.Verdict, string) {
	s.now += canary.EvidenceInterval
	return a.Observe(s.now, s.states[0].observe(s.current), s.states[1].observe(s.old))
}

func (s *simulation) addResponses(e canary.Evidence, route string, count int, failing, slow float64) {
	for range count {
		c := canary.Counts{Responses: 1}
		ms := 60 + 80*s.random.Float64()
		if s.random.Float64() < slow {
			ms *= 8
		}
		if s.random.Float64() < failing {
			c.Failed = 1
		} else {
			c.LatencySumMS, c.LatencyCount = ms, 1
		}
		e[route] = e[route].Add(c)
	}
}

// Guards against faulty versions that stay in service: each kind of fault must be
// detected within 50 responses of the new version on the faulty route.
func TestEachKindOfFaultIsDetected(t *testing.T) {
	for name, fault := range map[string]struct {
		route         string
		failing, slow float64
		// after is how many rounds the version is healthy at first.
		after int
	}{
		"errors":    {"r1", 0.5, 0, 0},
		"slow":      {"r1", 0, 0.5, 0},
		"one route": {"r2", 0.5, 0, 0},
		"late":      {"r1", 0.5, 0, 20},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				s, analyzer := newSimulation(seed), canary.NewAnalyzer()
				verdict, responses := canary.VerdictHealthy, 0
				for round := 0; round < 200 && verdict != canary.VerdictFaulty; round++ {
					for _, route := range []string{"r1", "r2"} {
						failing, slow := 0.004, 0.0
						if route == fault.route && round >= fault.after {
							failing, slow = fault.failing, fault.slow
						}
						if verdict == canary.VerdictHealthy {
							s.addResponses(s.current, route, 1, failing, slow)
							if route == fault.route && round >= fault.after {
								responses++
							}
						}
						s.addResponses(s.old, route, 10, 0.004, 0)
					}
					verdict, _ = s.analyze(analyzer)
				}
				require.Equal(t, canary.VerdictFaulty, verdict, "seed %d", seed)
				require.LessOrEqual(t, responses, 50, "seed %d", seed)
			}
		})
	}
}

// Guards against false positives: a healthy version must stay healthy, also while the
// targets of both versions fail in part.
func TestHealthyVersionPasses(t *testing.T) {
	for name, failing := range map[string]float64{"calm": 0.004, "both fail": 0.3} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				s, analyzer := newSimulation(seed), canary.NewAnalyzer()
				s.addResponses(s.old, "r1", 100, failing, 0)
				for range 200 {
					s.addResponses(s.current, "r1", 1, failing, 0)
					s.addResponses(s.old, "r1", 10, failing, 0)
					verdict, reason := s.analyze(analyzer)
					require.Equal(t, canary.VerdictHealthy, verdict, "seed %d: %s", seed, reason)
				}
			}
		})
	}
}

// Guards against releasing the old version before all nodes have moved, or while
// requests are still running there.
func TestCompletesOnlyWhenAllHaveMoved(t *testing.T) {
	m := canary.NewMove(canary.Order{Service: "s", Version: "v2", Number: 1, Duration: 10 * time.Second}, 0)
	require.Equal(t, canary.Observing, m.Decide(canary.Snapshot{UnixMS: 5000, NewResponses: 100, NewTargets: 1}))
	require.Equal(t, canary.Observing, m.Decide(canary.Snapshot{UnixMS: 8000, NewResponses: 100}), "no target to move to")
	require.Equal(t, canary.Shifted, m.Decide(canary.Snapshot{UnixMS: 8000, NewResponses: 100, NewTargets: 1}))
	m = m.Next(canary.Shifted)
	require.Equal(t, canary.Shifted, m.Decide(canary.Snapshot{UnixMS: 9900, NewResponses: 100, NewTargets: 1, OldRequests: 1, AcknowledgedByAll: true}))
	require.Equal(t, canary.Shifted, m.Decide(canary.Snapshot{UnixMS: 9900, NewResponses: 100, NewTargets: 1}))
	moved := canary.Snapshot{UnixMS: 9900, NewResponses: 100, NewTargets: 1, AcknowledgedByAll: true, InPhase: 1500 * time.Millisecond}
	require.Equal(t, canary.Completed, m.Decide(moved))
	early, doubtful := moved, moved
	early.InPhase, doubtful.Doubtful = 1300*time.Millisecond, true
	require.Equal(t, canary.Shifted, m.Decide(early), "a fault under load has had no time to show")
	require.Equal(t, canary.Shifted, m.Decide(doubtful))
	require.Equal(t, canary.Reverted, m.Decide(canary.Snapshot{UnixMS: 9900, Faulty: true, AcknowledgedByAll: true}))
}

// Guards against a version that is suspected and still gets all traffic or is completed: a
// suspicion that is not refuted before the deadline reverts the move.
func TestSuspicionHoldsTheMove(t *testing.T) {
	observing := canary.NewMove(canary.Order{Service: "s", Version: "v2", Number: 1, Duration: 10 * time.Second}, 0)
	for phase, m := range map[canary.Phase]canary.Move{canary.Observing: observing, canary.Shifted: observing.Next(canary.Shifted)} {
		s := canary.Snapshot{Suspected: true, NewResponses: 100, NewTargets: 1, AcknowledgedByAll: true, InPhase: time.Minute}
		for s.UnixMS = 0; s.UnixMS < 9400; s.UnixMS += 100 {
			require.Equal(t, phase, m.Decide(s), "at %d ms", s.UnixMS)
		}
		for ; s.UnixMS < 11_000; s.UnixMS += 100 {
			require.Equal(t, canary.Reverted, m.Decide(s), "at %d ms", s.UnixMS)
		}
	}
}

// Guards the bound on the requests that a faulty version may get between the order and
// its deadline: a tenth of the requests and 50 more, whenever its fault shows.
func TestExposureIsBounded(t *testing.T) {
	for _, rate := range []float64{5, 35, 110, 400, 2000} {
		m := canary.NewMove(canary.Order{Service: "s", Version: "v2", Number: 1, Duration: 15 * time.Second}, 0)
		observing := m.Share(rate, 0) * rate * 15
		// All traffic for the time until a fault is detected and known to all nodes.
		shifted := rate * 1.1
		require.LessOrEqual(t, observing+shifted, 0.1*rate*15+50, "rate %v", rate)
	}
}

// Guards against a change of a final phase.
func TestFinalPhasesStay(t *testing.T) {
	m := canary.NewMove(canary.Order{Service: "s", Version: "v2", Number: 1, Duration: time.Second}, 0)
	for _, p := range []canary.Phase{canary.Completed, canary.Reverted} {
		require.Equal(t, p, m.Next(p).Decide(canary.Snapshot{UnixMS: 99999, Faulty: true, AcknowledgedByAll: true}))
	}
	require.True(t, m.Next(canary.Reverted).Supersedes(m))
	require.False(t, m.Supersedes(m))
}

// Guards against a false positive when a fault of the zone begins: responses of both
// versions are lost alike from one moment on (incident inc-071d). A suspicion may hold
// back the new version for a while, and must be dropped.
func TestHealthyVersionPassesWhenBothBeginToFail(t *testing.T) {
	for name, shift := range map[string]int{"observing": 100, "just before all traffic moves": 61, "as all traffic moves": 60} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				s, analyzer := newSimulation(seed), canary.NewAnalyzer()
				verdict, reason, held := canary.VerdictHealthy, "", 0
				for round := range 100 {
					failing := 0.004
					if round >= 60 {
						failing = 0.4
					}
					atNew := 1
					if round >= shift {
						atNew = 11
					}
					if verdict != canary.VerdictHealthy {
						atNew = 0
						held++
					}
					s.addResponses(s.old, "r1", 11-atNew, failing, 0)
					s.addResponses(s.current, "r1", atNew, failing, 0)
					verdict, reason = s.analyze(analyzer)
					require.NotEqual(t, canary.VerdictFaulty, verdict, "seed %d, round %d: %s", seed, round, reason)
				}
				require.Less(t, held, 20, "seed %d: held back for over half of the time", seed)
			}
		})
	}
}

// Guards against completing a move to a version that fails only at loaded targets: on all routes, and
// at first in one of eight responses. A version as good as the old one must not be held back for it.
func TestVersionThatFailsUnderLoadIsDoubtedAndSuspected(t *testing.T) {
	for seed := range uint64(50) {
		s, analyzer := newSimulation(seed), canary.NewAnalyzer()
		s.addResponses(s.old, "r1", 2000, 0.004, 0)
		doubtedAt, suspectedAt := 0, 0
		for responses := 0; suspectedAt == 0 && responses < 2000; {
			for _, route := range []string{"r1", "r2", "r3"} {
				s.addResponses(s.current, route, 5, 0.12, 0)
				responses += 5
			}
			verdict, _ := s.analyze(analyzer)
			if doubtedAt == 0 && analyzer.Doubtful() {
				doubtedAt = responses
			}
			if verdict != canary.VerdictHealthy {
				suspectedAt = responses
			}
		}
		require.NotZero(t, doubtedAt, "seed %d", seed)
		require.LessOrEqual(t, doubtedAt, 120, "seed %d", seed)
		require.NotZero(t, suspectedAt, "seed %d", seed)
		require.LessOrEqual(t, suspectedAt, 600, "seed %d", seed)
	}
	doubted, rounds := 0, 0
	for seed := range uint64(50) {
		s, analyzer := newSimulation(seed), canary.NewAnalyzer()
		s.addResponses(s.old, "r1", 2000, 0.004, 0)
		for range 40 {
			s.addResponses(s.old, "r1", 50, 0.004, 0)
			s.addResponses(s.current, "r1", 15, 0.004, 0)
			verdict, reason := s.analyze(analyzer)
			require.Equal(t, canary.VerdictHealthy, verdict, "seed %d: %s", seed, reason)
			rounds++
			if analyzer.Doubtful() {
				doubted++
			}
		}
	}
	require.Less(t, float64(doubted), 0.1*float64(rounds))
}
