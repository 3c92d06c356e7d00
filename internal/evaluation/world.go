package evaluation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
)

// tickInterval is the time step of a replay.
const tickInterval = 500 * time.Millisecond

// The healthy behavior of both versions.
const (
	baseFailureRate = 0.001
	latencySigma    = 0.5
)

// The cold start of a target in the scenarios with cold starts.
const (
	coldCalls       = 15
	coldTime        = 8 * time.Second
	coldFactor      = 8
	coldFailureRate = 0.1
	// restarts of each target of the new version within the rollout.
	coldRestarts = 4
)

// The versions of every replay.
const (
	oldVersion = "v1"
	newVersion = "v2"
)

// startUnixMS is the wall clock at the start of every replay.
const startUnixMS = 1_700_000_000_000

// endpoint is one target.
type endpoint struct {
	run    rollout.TargetSession
	served uint64
	first  time.Duration
	begun  bool
	epoch  int
}

// world generates the calls of a scenario.
type world struct {
	scenario Scenario
	rng      *rand.Rand
	nodes    []mesh.NodeID
	zoneOf   []int
	filters  []rollout.ColdStartFilter
	// endpoints by zone; [0] is the old version's and [1] the new one's.
	endpoints [2][]*endpoint
	// noise is the common latency factor of each zone in the present minute.
	noise  []float64
	minute int64
	// filterAtCaller places the cold-start filter at the caller's node.
	filterAtCaller bool
	harmed         int
	newFailed      int
}

func newWorld(s Scenario, filterAtCaller bool) *world {
	w := &world{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), minute: -1, filterAtCaller: filterAtCaller}
	for z, zone := range s.Profile.Zones {
		for i := range s.Profile.NodesPerZone {
			w.nodes = append(w.nodes, mesh.NodeID(fmt.Sprintf("node-%s-%d", zone, i)))
			w.zoneOf = append(w.zoneOf, z)
		}
		for v, version := range []string{oldVersion, newVersion} {
			w.endpoints[v] = append(w.endpoints[v], &endpoint{run: rollout.TargetSession{
				Node: mesh.NodeID(fmt.Sprintf("target-%s-%s", version, zone)), Session: "0",
				Service: s.Service.Name, Version: version,
			}})
		}
	}
	w.filters = make([]rollout.ColdStartFilter, len(w.nodes))
	w.noise = make([]float64, len(s.Profile.Zones))
	return w
}

// call is one finished call as its node saw it.
type call struct {
	node    int
	key     rollout.Key
	failed  bool
	latency time.Duration
	counted bool
}

// tick generates the calls of one time step. share returns a node's share of the
// new version.
func (w *world) tick(now time.Duration, share func(node int) record.BasisPoints, each func(call)) {
	w.refreshNoise(now)
	n := w.poisson(w.rate(now) * tickInterval.Seconds())
	for range n {
		each(w.call(now, share))
	}
}

func (w *world) rate(now time.Duration) float64 {
	if w.scenario.Kind != DailyShape {
		return w.scenario.Service.Rate
	}
	phase := 2 * math.Pi * float64(now) / float64(w.scenario.Duration)
	return w.scenario.Service.Rate * (1 + 0.7*math.Sin(phase))
}

// refreshNoise draws the common factors of a minute; the number of draws does
// not depend on the scenario, so that methods see the same random numbers.
func (w *world) refreshNoise(now time.Duration) {
	minute := int64(now / time.Minute)
	if minute == w.minute {
		return
	}
	w.minute = minute
	for z := range w.noise {
		draw := w.rng.NormFloat64()
		w.noise[z] = 1
		if w.scenario.Kind == LatencyNoise {
			w.noise[z] = math.Exp(0.4 * draw)
		}
	}
}

// call draws a fixed number of random values for one call.
func (w *world) call(now time.Duration, share func(int) record.BasisPoints) call {
	node := w.rng.IntN(len(w.nodes))
	routeDraw, versionDraw := w.rng.Float64(), w.rng.Float64()
	failDraw, normal := w.rng.Float64(), w.rng.NormFloat64()
	zone := w.zoneOf[node]
	route := w.route(routeDraw)
	weight := float64(share(node)) / float64(record.FullWeight)
	version := 0
	if versionDraw < weight {
		version = 1
	}
	failRate, factor := w.behavior(now, version, zone, route, weight)
	bad := version == 1 && w.faulty(now, route, weight)
	failed := failDraw < failRate
	load := w.scenario.Service.Routes[route]
	latency := time.Duration(float64(load.Median) * factor * math.Exp(latencySigma*normal))
	if version == 1 && failed {
		w.newFailed++
	}
	if bad && (failed || w.scenario.slows()) {
		w.harmed++
	}
	return w.served(now, node, zone, version, load.Name, failed, latency)
}

func (w *world) served(now time.Duration, node, zone, version int, route string, failed bool, latency time.Duration) call {
	ep := w.endpoints[version][zone]
	if !ep.begun {
		ep.begun, ep.first = true, now
	}
	ep.served++
	filter := &w.filters[0]
	if w.filterAtCaller {
		filter = &w.filters[node]
	}
	return call{
		node: node, failed: failed, latency: latency,
		counted: filter.Observe(now, ep.run),
		key: rollout.Key{
			Service: ep.run.Service, Version: ep.run.Version, Route: route,
			Zone: w.scenario.Profile.Zones[zone],
		},
	}
}

func (w *world) route(draw float64) int {
	for i, r := range w.scenario.Service.Routes {
		if draw < r.Part {
			return i
		}
		draw -= r.Part
	}
	return len(w.scenario.Service.Routes) - 1
}

// behavior returns the failure rate and the latency factor of a call.
func (w *world) behavior(now time.Duration, version, zone, route int, weight float64) (failRate, factor float64) {
	s := w.scenario
	failRate, factor = baseFailureRate, w.noise[zone]
	if s.Kind == ZoneTrouble && zone == s.Zone && now >= s.FaultAt && now < s.FaultEnds {
		failRate, factor = failRate+0.2, factor*3
	}
	if s.Kind == ColdStarts && w.cold(now, version, zone) {
		failRate, factor = failRate+coldFailureRate, factor*coldFactor
	}
	if version == 1 && w.faulty(now, route, weight) {
		if s.slows() {
			factor *= s.SlowFactor
		} else {
			failRate += s.FailureRate
		}
	}
	return failRate, factor
}

// slows tells bad versions that slow from those that fail.
func (s Scenario) slows() bool {
	switch s.Kind {
	case SlowAtOnce, SlowLater, SlowUnderLoad, SlowOneRoute:
		return true
	default:
		return false
	}
}

// faulty reports whether the new version's fault shows on a call.
func (w *world) faulty(now time.Duration, route int, weight float64) bool {
	s := w.scenario
	switch s.Kind {
	case FailsAtOnce, SlowAtOnce:
		return true
	case FailsLater, SlowLater:
		return now >= s.FaultAt
	case FailsUnderLoad, SlowUnderLoad:
		return weight >= s.LoadPart
	case FailsOneRoute, SlowOneRoute:
		return route == s.Route
	default:
		return false
	}
}

// cold reports whether a target is in its cold start, and restarts the targets of
// the new version at even times.
func (w *world) cold(now time.Duration, version, zone int) bool {
	ep := w.endpoints[version][zone]
	epoch := int(int64(now) * coldRestarts / int64(w.scenario.Duration))
	if version == 1 && epoch != ep.epoch {
		ep.epoch, ep.served, ep.begun = epoch, 0, false
		ep.run.Session = mesh.SessionID(fmt.Sprint(epoch))
	}
	return ep.served < coldCalls && (!ep.begun || now-ep.first < coldTime)
}

// poisson draws a count by multiplication, which is fast for small means.
func (w *world) poisson(mean float64) int {
	limit, product := math.Exp(-mean), w.rng.Float64()
	n := 0
	for product > limit {
		product *= w.rng.Float64()
		n++
	}
	return n
}
