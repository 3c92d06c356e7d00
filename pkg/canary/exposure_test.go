package canary_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/canary"
)

// Guards against a version on trial that gets more than the limits allow because all requests are
// sent to it: whatever the number of its targets, the load and its changes and restarts are, and although
// nothing else stops them before the deadline.
func TestExposureHoldsInSumOverAllTargets(t *testing.T) {
	limits := canary.DefaultLimits
	const duration, step, heardAfter = 15 * time.Second, 10 * time.Millisecond, 300 * time.Millisecond
	for load, factor := range map[string]func(time.Duration) float64{
		"even": func(time.Duration) float64 { return 1 },
		"crest": func(at time.Duration) float64 {
			if at > 8*time.Second && at < 11*time.Second {
				return 5
			}
			return 1
		},
		"falling": func(at time.Duration) float64 { return 1 - 0.9*at.Seconds()/duration.Seconds() },
	} {
		for _, targets := range []int{1, 4, 48} {
			for _, rate := range []float64{1, 10, 260, 3000} {
				for _, restart := range []time.Duration{0, 2 * time.Second, 12 * time.Second} {
					t.Run(load+"/targets="+strconv.Itoa(targets)+"/rate="+strconv.Itoa(int(rate))+"/restart="+restart.String(), func(t *testing.T) {
						for seed := range uint64(3) {
							random := rand.New(rand.NewPCG(seed, 11))
							states := make([]canary.Exposure, targets)
							var learnedAt time.Duration
							begin := func(at time.Duration) {
								learnedAt = at
								for i := range states {
									states[i] = canary.Exposure{Rounding: random.Float64()}
								}
							}
							begin(0)
							// reachedBy holds the number of requests that had reached targets at each step.
							var reachedBy []int
							reached, taken, before := 0, 0, 0
							for at := time.Duration(0); at < duration; at += step {
								if restart > 0 && at == restart {
									// All nodes start again, with what they have counted lost.
									begin(at)
									before = reached
								}
								known := 0
								if i := len(reachedBy) - int(heardAfter/step); i >= 0 {
									known = max(reachedBy[i]-before, 0)
								}
								trial := canary.Trial{
									Deadline: duration, Allowed: limits.PerTarget(known, targets, (at-learnedAt).Seconds()/duration.Seconds()),
								}
								for expected := rate * factor(at) * step.Seconds(); expected > 0; expected-- {
									if random.Float64() >= expected {
										continue
									}
									if states[random.IntN(targets)].Take(trial, at) {
										taken++
									}
									reached++
								}
								reachedBy = append(reachedBy, reached)
							}
							require.LessOrEqual(t, float64(taken), limits.Share*float64(reached)+limits.Slack, "%d requests", reached)
						}
					})
				}
			}
		}
	}
}

// Guards against a trial that goes on after its deadline, and against room that is lost to requests
// that never reached the target.
func TestExposureEndsWithTheDeadline(t *testing.T) {
	e := &canary.Exposure{Rounding: 0.5}
	trial := canary.Trial{Deadline: time.Second, Allowed: 1.5}
	require.True(t, e.Take(trial, 0))
	require.True(t, e.Take(trial, 0))
	require.False(t, e.Take(trial, 0))
	e.Return()
	require.Equal(t, 1, e.Taken())
	require.True(t, e.Take(trial, 0))
	require.False(t, e.Take(trial, 0))
	require.True(t, e.Take(trial, time.Second))
}
