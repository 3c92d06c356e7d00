package canary_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/canary"
)

// targetResponses produces the responses of single targets, which differ in speed.
type targetResponses struct {
	random *rand.Rand
	// speeds holds the factor of the response times of each target.
	speeds   []float64
	evidence []canary.Evidence
	// sigma is the standard deviation of the logarithm of the response times at one target.
	sigma float64
}

func newTargetResponses(random *rand.Rand, targets int, sigma float64) *targetResponses {
	r := &targetResponses{random: random, sigma: sigma}
	for range targets {
		r.speeds = append(r.speeds, 0.7+0.9*random.Float64())
		r.evidence = append(r.evidence, canary.Evidence{})
	}
	return r
}

// add adds responses on a route, of which a part takes slower times as long.
func (r *targetResponses) add(route string, count int, part, slower float64) {
	for range count {
		i := r.random.IntN(len(r.speeds))
		ms := 100 * r.speeds[i] * math.Exp(r.sigma*r.random.NormFloat64())
		if r.random.Float64() < part {
			ms *= slower
		}
		r.evidence[i][route] = r.evidence[i][route].Add(canary.Latency(time.Duration(ms * float64(time.Millisecond))))
	}
}

func (r *targetResponses) stats() canary.VersionStats {
	var v canary.VersionStats
	for i, e := range r.evidence {
		v.Add(fmt.Sprint("t", i), e, canary.RecentCounts{})
	}
	return v
}

// Guards against a version that is slow for a part of its requests and is completed, since its mean is not
// far from that of the old one; and against good versions that are held back because their targets differ
// in speed. The spreads of response times are those of the bench's targets.
func TestVersionThatIsSlowInPartIsHeldAndFound(t *testing.T) {
	const responses = 90
	for _, sigma := range []float64{0.3, 0.47} {
		for name, fault := range map[string]struct{ part, slower float64 }{
			"good": {0, 1}, "0.4 at three times": {0.4, 3}, "0.3 at five times": {0.3, 5}, "0.5 at eight times": {0.5, 8},
		} {
			held, found := 0, 0
			for seed := range uint64(100) {
				random := rand.New(rand.NewPCG(seed, 11))
				old, current := newTargetResponses(random, 4, sigma), newTargetResponses(random, 4, sigma)
				old.add("r", 1000, 0, 1)
				analyzer := canary.NewAnalyzer()
				verdict, now := canary.VerdictHealthy, time.Duration(0)
				step := func(count int) {
					now += canary.EvidenceInterval
					current.add("r", count, fault.part, fault.slower)
					verdict, _ = analyzer.Observe(now, current.stats(), old.stats())
				}
				for range responses / 5 {
					step(5)
				}
				if verdict != canary.VerdictHealthy || analyzer.Uneven() {
					held++
				}
				for range 50 {
					step(8)
				}
				if verdict == canary.VerdictFaulty {
					found++
				}
			}
			what := fmt.Sprintf("%s, sigma %.2f: held %d, found %d of 100", name, sigma, held, found)
			if name == "good" {
				require.LessOrEqual(t, held, 3, what)
				require.Zero(t, found, what)
			} else {
				require.GreaterOrEqual(t, held, 90, what)
				require.GreaterOrEqual(t, found, 99, what)
			}
		}
	}
}

// Guards against completing a move although a route with little traffic has not been tried: a version that
// fails half of the requests of a route with two requests a second is suspected or held back, and a good
// one has tried each route before the shift, within the limits.
func TestRouteWithLittleTrafficIsTriedBeforeTheRelease(t *testing.T) {
	const perSecond, duration, lead = 80.0, 15 * time.Second, 3200 * time.Millisecond
	rates := map[string]float64{"read": 77, "upload": 2, "report": 1.3, "rare": 0.1}
	// The draws of a seed belong to the routes in this order.
	order := slices.Sorted(maps.Keys(rates))
	limits := canary.Limits{Share: 0.1, Slack: 50}
	for _, failing := range []float64{0, 0.5} {
		released := 0
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 3))
			m := canary.NewMove(canary.Order{Service: "s", Version: "v2", Number: 1, Duration: duration}, 0)
			analyzer := canary.NewAnalyzer()
			old, current := canary.VersionStats{Evidence: canary.Evidence{}}, canary.VersionStats{Evidence: canary.Evidence{}}
			for route, rate := range rates {
				old.Evidence[route] = canary.Counts{Responses: int(60 * rate)}
			}
			verdict, sent := canary.VerdictHealthy, 0
			traffic := func() map[string]canary.RouteTraffic {
				out := map[string]canary.RouteTraffic{}
				for route, rate := range rates {
					out[route] = canary.RouteTraffic{PerSecond: rate, Tried: current.Evidence[route].Responses}
				}
				return out
			}
			advance := func(now time.Duration, share func(route string) float64) {
				for _, route := range order {
					rate := rates[route]
					for at := now - canary.EvidenceInterval; at < now; at += 5 * time.Millisecond {
						if random.Float64() >= rate*0.005 {
							continue
						}
						if random.Float64() >= share(route) {
							old.Evidence[route] = old.Evidence[route].Add(canary.Counts{Responses: 1})
							continue
						}
						sent++
						c := canary.Counts{Responses: 1}
						if route == "upload" && random.Float64() < failing {
							c.Failed = 1
						}
						current.Evidence[route] = current.Evidence[route].Add(c)
					}
				}
				verdict, _ = analyzer.Observe(now, current, old)
			}
			now := time.Duration(0)
			for ; now < duration-lead && verdict == canary.VerdictHealthy; now += canary.EvidenceInterval {
				shares := m.RouteShares(traffic(), perSecond, duration-now, limits)
				advance(now, func(route string) float64 { return shares[route] })
			}
			require.LessOrEqual(t, sent, 60, "seed %d: the rest is needed for the shift", seed)
			shifted := m.Next(canary.Shifted)
			for i := 0; i < 6 && verdict == canary.VerdictHealthy; i++ {
				now += canary.EvidenceInterval
				advance(now, func(string) float64 { return 1 })
			}
			held := shifted.HeldBy(canary.Snapshot{
				UnixMS: now.Milliseconds(), AcknowledgedByAll: true, InPhase: 1500 * time.Millisecond,
				Suspected: verdict != canary.VerdictHealthy, Doubtful: analyzer.Doubtful(), Untried: analyzer.Untried(traffic()),
			})
			if held == "" {
				released++
			}
		}
		if failing == 0 {
			require.GreaterOrEqual(t, released, 180, "of 200")
		} else {
			require.LessOrEqual(t, released, 2, "of 200")
		}
	}
}

// Guards against a move that never ends because a route could not be tried, and against one that ends
// before.
func TestUntriedRouteHoldsTheReleaseForABoundedTime(t *testing.T) {
	m := canary.NewMove(canary.Order{Service: "s", Version: "v2", Number: 1, Duration: 10 * time.Second}, 0).Next(canary.Shifted)
	s := canary.Snapshot{UnixMS: 29_000, AcknowledgedByAll: true, InPhase: time.Minute, Untried: "r"}
	require.Equal(t, "untried-route", m.HeldBy(s))
	require.Equal(t, canary.Shifted, m.Decide(s))
	s.UnixMS = 31_000
	require.Equal(t, canary.Completed, m.Decide(s))
}

// Guards against shares that exceed the limits of the trial, whatever the traffic is.
func TestRouteSharesLeaveRoomForTheShift(t *testing.T) {
	limits := canary.Limits{Share: 0.1, Slack: 50}
	for _, perSecond := range []float64{1, 5, 35, 110, 400, 2000} {
		for _, routes := range []int{1, 4, 20} {
			m := canary.NewMove(canary.Order{Service: "s", Version: "v2", Number: 1, Duration: 15 * time.Second}, 0)
			traffic := map[string]canary.RouteTraffic{}
			for i := range routes {
				traffic[fmt.Sprint(i)] = canary.RouteTraffic{PerSecond: perSecond / float64(routes)}
			}
			expected := 0.0
			for route, share := range m.RouteShares(traffic, perSecond, 15*time.Second, limits) {
				require.LessOrEqual(t, share, 0.75)
				require.GreaterOrEqual(t, share, 0.6*m.Share(perSecond, 0))
				expected += share * traffic[route].PerSecond * 11.8
			}
			require.LessOrEqual(t, expected+1.1*perSecond, 0.1*perSecond*15+50, "%v per second on %d routes", perSecond, routes)
		}
	}
}

// Guards against spreads that change on their way between nodes, and against summaries that grow with
// groups without responses.
func TestSpreadsSurviveTheirEncoding(t *testing.T) {
	spreads := canary.Spreads{2: {Squares: 1.25, Freedom: 7}, 7: {Squares: 0.5, Freedom: 1}}
	data, err := json.Marshal(spreads)
	require.NoError(t, err)
	require.JSONEq(t, "[2,7,1250,7,1,500]", string(data))
	var decoded canary.Spreads
	require.NoError(t, json.Unmarshal(data, &decoded))
	require.Equal(t, spreads, decoded)
	require.NoError(t, json.Unmarshal([]byte("[9,1,1,-1,2,3,0]"), &decoded))
	require.Equal(t, canary.Spreads{}, decoded, "there are no such groups")
	require.Error(t, json.Unmarshal([]byte(`"x"`), &decoded))
}
