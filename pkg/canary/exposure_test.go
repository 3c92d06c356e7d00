package canary_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/canary"
)

// Guards against a version on trial that gets more than the limits allow because all traffic goes to
// it: whatever the number of nodes, the load and its changes, restarts and retries, and although
// nothing stops the nodes before the deadline.
func TestExposureHoldsInSumOverAllNodes(t *testing.T) {
	limits := canary.DefaultLimits
	const duration = 15 * time.Second
	for _, nodes := range []int{1, 12, 143} {
		for _, rate := range []float64{1, 10, 260, 3000} {
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
				t.Run(load+"/nodes="+strconv.Itoa(nodes)+"/rate="+strconv.Itoa(int(rate)), func(t *testing.T) {
					for seed := range uint64(5) {
						random := rand.New(rand.NewPCG(seed, 11))
						states := make([]*canary.Exposure, nodes)
						begin := func(i int) { states[i] = &canary.Exposure{Rounding: random.Float64()} }
						for i := range states {
							begin(i)
						}
						requests, sent := 0, 0
						const step = 10 * time.Millisecond
						for at := time.Duration(0); at < duration; at += step {
							if at == 6*time.Second {
								// All processes start again.
								for i := range states {
									begin(i)
								}
							}
							perNode := rate * factor(at) / float64(nodes)
							trial := canary.Trial{Number: 1, Deadline: duration, Duration: duration, OwnPerSecond: perNode, PerSecond: rate * factor(at)}
							for _, e := range states {
								for expected := perNode * step.Seconds(); expected > 0; expected-- {
									if random.Float64() >= expected {
										continue
									}
									// Each third request is sent twice.
									for range 1 + random.IntN(3)/2 {
										if e.Take(trial, limits, at, false) {
											sent++
										}
									}
									e.Count()
									requests++
								}
							}
						}
						require.LessOrEqual(t, float64(sent), limits.Share*float64(requests)+limits.Slack, "%d requests", requests)
					}
				})
			}
		}
	}
}

// Guards against limits that a good version with little traffic cannot pass: it must get enough
// requests to be judged before the deadline.
func TestExposureLeavesRoomForEvidence(t *testing.T) {
	const duration = 15 * time.Second
	for _, nodes := range []int{12, 143} {
		random := rand.New(rand.NewPCG(1, uint64(nodes)))
		states := make([]canary.Exposure, nodes)
		for i := range states {
			states[i].Rounding = random.Float64()
		}
		sent := 0
		// Five requests a second for the service.
		const perSecond = 5
		trial := canary.Trial{Deadline: duration, Duration: duration, OwnPerSecond: perSecond / float64(nodes), PerSecond: perSecond}
		for range int(perSecond * duration.Seconds()) {
			e := &states[random.IntN(nodes)]
			if e.Take(trial, canary.DefaultLimits, 0, false) {
				sent++
			}
			e.Count()
		}
		require.GreaterOrEqual(t, sent, 20, "%d nodes", nodes)
	}
}

// Guards against a version that stays on trial for ever after its deadline, and against counting
// requests that never reached a target.
func TestExposureEndsWithTheDeadline(t *testing.T) {
	e := &canary.Exposure{Rounding: 0.5}
	trial := canary.Trial{Deadline: time.Second, Duration: time.Second}
	require.False(t, e.Take(trial, canary.DefaultLimits, 0, false))
	for range 100 {
		e.Count()
	}
	for range 9 {
		require.True(t, e.Take(trial, canary.DefaultLimits, 0, false))
	}
	require.True(t, e.Take(trial, canary.DefaultLimits, 0, false))
	require.False(t, e.Take(trial, canary.DefaultLimits, 0, false))
	e.Return()
	require.True(t, e.Take(trial, canary.DefaultLimits, 0, false))
	require.False(t, e.Room(trial, canary.DefaultLimits, 0, false))
	require.True(t, e.Room(trial, canary.DefaultLimits, time.Second, false))
}
