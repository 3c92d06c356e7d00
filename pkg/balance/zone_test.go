package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/mesh"
)

func inZone(zone string, count int) []balance.Endpoint {
	var out []balance.Endpoint
	for i := range count {
		id := fmt.Sprintf("%s-%d", zone, i)
		out = append(out, balance.Endpoint{Node: mesh.NodeID(id), Zone: mesh.AvailabilityZone(zone), Service: "s", Target: id, Slots: 4})
	}
	return out
}

// Guards against losing a request to each node on the other side of a network partition
// between zones (load pattern "zone cut off"). After two unresponsive nodes the whole zone
// becomes a last resort, until any of its nodes sends a message.
func TestPartitionedZoneIsAvoided(t *testing.T) {
	b := balance.New("a")
	far, near := inZone("b", 19), inZone("a", 1)
	// The only target in the local zone has no free slot, so requests go to the other zone.
	b.UpdateLoad(near[0], balance.LoadReport{Running: 4, Waiting: 1, MeanServiceTime: 200 * time.Millisecond, Slowdown: 1}, 0)
	all := append(append([]balance.Endpoint{}, far...), near...)
	request := balance.Request{ExpectedServiceTime: 200 * time.Millisecond, Objective: 600 * time.Millisecond}
	choose := func(now time.Duration) balance.Endpoint {
		c, ok := b.Choose(all, request, now, func() float64 { return 0 })
		require.True(t, ok)
		return c.Endpoint
	}
	now := 10 * time.Millisecond
	lost := 0
	for ; now < 3*time.Second; now += 100 * time.Millisecond {
		e := choose(now)
		if e.Zone == "b" {
			lost++
			b.MarkUnresponsive(e, now)
			b.RecordResponse(e, true, now)
			continue
		}
		b.UpdateLoad(e, balance.LoadReport{Running: 4, Waiting: 1, MeanServiceTime: 200 * time.Millisecond, Slowdown: 1}, now)
	}
	require.Equal(t, 2, lost)
	b.MarkZoneReachable("b")
	require.Equal(t, mesh.AvailabilityZone("b"), choose(now).Zone)
}

// Guards against treating a zone as partitioned because some of its nodes failed, while
// other nodes of it still respond.
func TestZoneWithDeadNodesIsNotPartitioned(t *testing.T) {
	b := balance.New("a")
	far := inZone("b", 5)
	for i := range 3 {
		b.MarkUnresponsive(far[i], 0)
		b.UpdateLoad(far[4], balance.LoadReport{Slowdown: 1}, 0)
	}
	near := inZone("a", 1)
	b.RecordResponse(near[0], true, 0)
	b.RecordResponse(near[0], true, 0)
	c, ok := b.Choose(append(far, near...), balance.Request{ExpectedServiceTime: time.Millisecond, Objective: time.Second}, 0, func() float64 { return 0 })
	require.True(t, ok)
	require.Equal(t, mesh.AvailabilityZone("b"), c.Endpoint.Zone)
}

// Guards against requests to targets that refuse many requests while others accept all
// (load pattern "partly shedding"). The nodes beside them report the failure rate, so that
// one report moves the traffic; a single sender would need seconds to detect each of them.
func TestReportedFailuresMoveTraffic(t *testing.T) {
	b := balance.New("a")
	targets := inZone("a", 10)
	var shedding balance.Health
	for i := range 40 {
		shedding.Record(i%2 == 0, 0)
	}
	for i, e := range targets {
		r := balance.LoadReport{Slowdown: 1, MeanServiceTime: 50 * time.Millisecond}
		if i < 7 {
			r.FailureRate = shedding.FailureRate(0)
		}
		b.UpdateLoad(e, r, 0)
	}
	random := func() float64 { return 0.5 }
	for range 3 * 8 {
		c, ok := b.Choose(targets, balance.Request{ExpectedServiceTime: 50 * time.Millisecond, Objective: 600 * time.Millisecond}, 0, random)
		require.True(t, ok)
		require.Contains(t, []string{"a-7", "a-8", "a-9"}, c.Endpoint.Target)
		b.Begin(c.Endpoint, 0)
	}
	require.Less(t, shedding.FailureRate(20*time.Second), 0.02, "the failure rate decays")
}

// Guards against downloads that cross zones while a target of the own zone is a little
// slower (load pattern "downloads"): 90 KB cost more than the time that is gained.
func TestLargeResponsesStayInTheZone(t *testing.T) {
	b := balance.New("a")
	home, away := inZone("a", 1), inZone("b", 1)
	all := append(append([]balance.Endpoint{}, home...), away...)
	busy := balance.LoadReport{Running: 4, MeanServiceTime: 180 * time.Millisecond, Slowdown: 1}
	b.UpdateLoad(home[0], busy, 0)
	choose := func(bytes int64) mesh.AvailabilityZone {
		c, ok := b.Choose(all, balance.Request{ExpectedServiceTime: 180 * time.Millisecond, Objective: 600 * time.Millisecond, Bytes: bytes}, 0, func() float64 { return 0 })
		require.True(t, ok)
		return c.Endpoint.Zone
	}
	require.Equal(t, mesh.AvailabilityZone("b"), choose(1500), "a short response may cross zones")
	require.Equal(t, mesh.AvailabilityZone("a"), choose(90_000))
	// When the own zone would refuse it, it crosses zones all the same.
	busy.Waiting = 8
	b.UpdateLoad(home[0], busy, 0)
	require.Equal(t, mesh.AvailabilityZone("b"), choose(90_000))
}
