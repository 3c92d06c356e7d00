package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/routing"
	"heathercroft.example/heathercroft/pkg/state"
)

func endpoint(node, version, zone string, flags routing.Flags) routing.FlaggedEndpoint {
	return routing.FlaggedEndpoint{Flags: flags, Endpoint: mesh.Endpoint{
		Node: mesh.NodeID(node), Zone: mesh.AvailabilityZone(zone), Service: "courier", Version: version, Slots: 10,
	}}
}

func input(weights map[string]record.BasisPoints, endpoints ...routing.FlaggedEndpoint) routing.Input {
	return routing.Input{
		Zone:      "casa-a",
		Services:  map[string]state.Service{"courier": {Name: "courier", Versions: []string{"v1", "v2"}, Weights: weights}},
		Routes:    map[string]state.Route{"r": {Name: "r", Prefix: "/courier", Service: "courier"}},
		Endpoints: endpoints,
	}
}

var allToV1 = map[string]record.BasisPoints{"v1": record.FullWeight}

// countChoices calls Choose n times and returns how often each node was chosen.
func countChoices(s *routing.Service, n int, now time.Duration) map[string]int {
	out := map[string]int{}
	for i := range n {
		if c, ok := s.Choose(fmt.Sprint("id", i), 0, now, nil); ok {
			out[string(c.Endpoint.Node)]++
		}
	}
	return out
}

func findEndpoint(t *testing.T, s *routing.Service, node string, now time.Duration) *routing.Endpoint {
	for i := range 1000 {
		if c, ok := s.Choose(fmt.Sprint(i), 0, now, nil); ok && string(c.Endpoint.Node) == node {
			return c.Endpoint
		}
	}
	t.Fatalf("node %s is never chosen", node)
	return nil
}

// Guards against a short prefix that takes precedence over a longer, more specific one.
func TestLongestPrefixWins(t *testing.T) {
	in := input(allToV1)
	in.Routes["long"] = state.Route{Name: "long", Prefix: "/courier/photos", Service: "courier"}
	table := routing.Build(in, routing.NewTracker(), 0)
	require.Equal(t, "long", table.Lookup("/courier/photos/1").Name)
	require.Equal(t, "r", table.Lookup("/courier/photo").Name)
	require.Nil(t, table.Lookup("/"))
}

// Guards against traffic shares that differ from the weights, and against a cut version
// that still gets traffic.
func TestVersionTrafficFollowsWeights(t *testing.T) {
	in := input(map[string]record.BasisPoints{"v1": 9500, "v2": 500}, endpoint("a", "v1", "casa-a", 0), endpoint("b", "v2", "casa-a", 0))
	tracker := routing.NewTracker()
	got := countChoices(routing.Build(in, tracker, 0).Service("courier"), 20_000, 0)
	require.InDelta(t, 1000, got["b"], 150)
	in.Cuts = []routing.Cut{{Service: "courier", Version: "v2"}}
	require.Equal(t, map[string]int{"a": 1000}, countChoices(routing.Build(in, tracker, 0).Service("courier"), 1000, 0))
	in.Services["courier"] = state.Service{Name: "courier", Versions: []string{"v1", "v2"}, Weights: map[string]record.BasisPoints{"v2": record.FullWeight}}
	require.Equal(t, map[string]int{"a": 1000}, countChoices(routing.Build(in, tracker, 0).Service("courier"), 1000, 0), "a cut version with all the weight")
}

// Guards against a fallback that sends all traffic to a new version with a small weight
// when the old version has lost all its endpoints. The opposite fallback is allowed.
func TestFallbackNeverUsesMinorityVersion(t *testing.T) {
	weights := map[string]record.BasisPoints{"v1": 9500, "v2": 500}
	onlyNew := routing.Build(input(weights, endpoint("b", "v2", "casa-a", 0)), routing.NewTracker(), 0)
	require.Less(t, countChoices(onlyNew.Service("courier"), 1000, 0)["b"], 100)
	onlyOld := routing.Build(input(weights, endpoint("a", "v1", "casa-a", 0)), routing.NewTracker(), 0)
	require.Equal(t, 1000, countChoices(onlyOld.Service("courier"), 1000, 0)["a"])
}

// Guards against traffic to flagged endpoints while preferred ones are available.
func TestFlagsOrderEndpoints(t *testing.T) {
	order := []routing.FlaggedEndpoint{
		endpoint("good", "v1", "casa-a", 0), endpoint("far", "v1", "rabat-a", 0), endpoint("suspect", "v1", "casa-a", routing.Suspect),
		endpoint("cut-off", "v1", "rabat-b", routing.ZoneUnreachable), endpoint("damped", "v1", "casa-a", routing.Damped),
	}
	leaving := endpoint("leaving", "v1", "casa-a", routing.Leaving)
	for i, e := range order {
		table := routing.Build(input(allToV1, append([]routing.FlaggedEndpoint{leaving}, order[i:]...)...), routing.NewTracker(), 0)
		require.Equal(t, map[string]int{string(e.Node): 100}, countChoices(table.Service("courier"), 100, 0))
	}
	_, ok := routing.Build(input(allToV1, leaving), routing.NewTracker(), 0).Service("courier").Choose("x", 0, 0, nil)
	require.False(t, ok)
}

// Guards against a local zone over the spillover threshold that keeps all its calls, and
// one below the threshold that sends calls to other zones.
func TestFullZoneSpillsOverToOtherZones(t *testing.T) {
	table := routing.Build(input(allToV1, endpoint("near", "v1", "casa-a", 0), endpoint("far", "v1", "rabat-a", 0)), routing.NewTracker(), 0)
	s := table.Service("courier")
	near := findEndpoint(t, s, "near", 0)
	for range 8 {
		near.Begin()
	}
	require.Zero(t, countChoices(s, 100, 0)["far"])
	near.Begin()
	require.Equal(t, 100, countChoices(s, 100, 0)["far"])
	for range 9 {
		near.End()
	}
	near.SetReportedLoad(10, time.Second)
	require.Equal(t, 100, countChoices(s, 100, time.Second)["far"], "a recent report is used")
	require.Zero(t, countChoices(s, 100, 4*time.Second)["far"], "an old report is ignored")
}

// Guards against counters that are lost when the table is rebuilt, and against ejections
// of too many endpoints, of the wrong duration or without end.
func TestEjection(t *testing.T) {
	in := input(allToV1, endpoint("a", "v1", "casa-a", 0), endpoint("b", "v1", "casa-a", 0), endpoint("c", "v1", "casa-a", 0))
	tracker := routing.NewTracker()
	s := routing.Build(in, tracker, 0).Service("courier")
	a, b := findEndpoint(t, s, "a", 0), findEndpoint(t, s, "b", 0)
	for i := range routing.EjectionFailureThreshold {
		require.Equal(t, i == routing.EjectionFailureThreshold-1, a.RecordFailure(0))
	}
	require.False(t, b.EjectNow(0), "at most half of the endpoints may be ejected, here 1 of 3")
	s = routing.Build(in, tracker, 0).Service("courier")
	require.Zero(t, countChoices(s, 100, 0)["a"])
	require.NotZero(t, countChoices(s, 100, routing.BaseEjectionTime)["a"])
	now := routing.BaseEjectionTime
	for _, want := range []time.Duration{2, 4, 8, 16, 30, 30} {
		require.True(t, a.EjectNow(now))
		require.True(t, a.Ejected(now+want*time.Second-1))
		now += want * time.Second
		require.False(t, a.Ejected(now))
	}
	a.RecordSuccess(now + routing.MaxEjectionTime + 1)
	require.True(t, a.EjectNow(now+routing.MaxEjectionTime+1))
	require.False(t, a.Ejected(now+routing.MaxEjectionTime+1+routing.BaseEjectionTime))
}

// Guards against the choice of a tried, ejected or leaving endpoint, for random endpoints
// and flags.
func TestChoiceIsAlwaysUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var endpoints []routing.FlaggedEndpoint
		for i := range rapid.IntRange(1, 8).Draw(t, "endpoints") {
			endpoints = append(endpoints, endpoint(fmt.Sprint("n", i), rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
				rapid.SampledFrom([]string{"casa-a", "rabat-a"}).Draw(t, "zone"), routing.Flags(rapid.IntRange(0, 15).Draw(t, "flags"))))
		}
		s := routing.Build(input(map[string]record.BasisPoints{"v1": 6000, "v2": 4000}, endpoints...), routing.NewTracker(), 0).Service("courier")
		var tried []*routing.Endpoint
		for i := range 20 {
			now := time.Duration(i) * 300 * time.Millisecond
			c, ok := s.Choose(fmt.Sprint(i), i, now, tried)
			if !ok {
				tried = nil
				continue
			}
			require.Zero(t, c.Endpoint.Flags&routing.Leaving)
			require.False(t, c.Endpoint.Ejected(now))
			require.NotContains(t, tried, c.Endpoint)
			require.Equal(t, c.Version, c.Endpoint.Version)
			tried = append(tried, c.Endpoint)
			if rapid.Bool().Draw(t, "silent") {
				c.Endpoint.EjectNow(now)
			}
		}
	})
}

// largeInput returns an input with the number of services and endpoints that one zone has
// at the intended scale.
func largeInput() routing.Input {
	in := routing.Input{Zone: "z0", Services: map[string]state.Service{}, Routes: map[string]state.Route{}}
	for i := range 450 {
		name := fmt.Sprint("service-", i)
		in.Services[name] = state.Service{Name: name, Versions: []string{"v1", "v2"}, Weights: map[string]record.BasisPoints{"v1": 9900, "v2": 100}}
		in.Routes[name] = state.Route{Name: name, Prefix: "/" + name + "/", Service: name}
		for j := range 6 {
			in.Endpoints = append(in.Endpoints, routing.FlaggedEndpoint{Endpoint: mesh.Endpoint{
				Node: mesh.NodeID(fmt.Sprint("n", i, "-", j)), Zone: mesh.AvailabilityZone(fmt.Sprint("z", j%3)),
				Service: name, Version: []string{"v1", "v2"}[j%2], Slots: 12,
			}})
		}
	}
	return in
}

// Guards against heap allocations on the hot path.
func TestLookupAndChoiceDoNotAllocate(t *testing.T) {
	table := routing.Build(largeInput(), routing.NewTracker(), 0)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		table.Lookup("/service-77/orders/1").Service.Choose("0123456789abcdef", 0, time.Second, nil)
	}))
}

func BenchmarkLookupAndChoose(b *testing.B) {
	table := routing.Build(largeInput(), routing.NewTracker(), 0)
	b.ReportAllocs()
	for b.Loop() {
		table.Lookup("/service-77/orders/1").Service.Choose("0123456789abcdef", 0, time.Second, nil)
	}
}

func BenchmarkBuild(b *testing.B) {
	in, tracker := largeInput(), routing.NewTracker()
	b.ReportAllocs()
	for b.Loop() {
		routing.Build(in, tracker, 0)
	}
}
