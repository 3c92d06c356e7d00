package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

// coldMesh is a zoneMesh whose targets take 15 requests per second while they are cold.
func coldMesh(t *testing.T, count int, rate float64) *testMesh {
	m := zoneMeshWith(t, count, 20*time.Second)
	c := &published.Config{Version: 1, Services: map[string]published.Service{
		"s": {Name: "s", HealthPath: "/health", ColdTime: 3 * time.Second, ColdRate: rate},
	}}
	require.NoError(t, c.Prepare())
	for _, n := range m.nodes {
		m.step(n, ConfigPublished{Config: c})
	}
	m.run(time.Second)
	return m
}

// beat delivers the next heartbeat of a node's target.
func (m *testMesh) beat(n *testNode, cold time.Duration) {
	n.sequence++
	m.step(n, HeartbeatReceived{directory.Heartbeat{
		ID: n.self.Target.ID, Address: n.local.Address, Service: "s", Version: "v1", Slots: 4,
		Sequence: 1 + n.sequence, StartUnixMS: 1, ColdRemaining: cold,
	}})
}

// coldRates returns the rates of the cold targets in a node's view.
func (n *testNode) coldRates() map[mesh.NodeID]float64 {
	rates := map[mesh.NodeID]float64{}
	if s := n.view.Endpoints["s"]; s != nil {
		for _, e := range s.Old {
			if e.ColdRate > 0 {
				rates[e.Node] = e.ColdRate
			}
		}
	}
	return rates
}

// Guards against a burst at the targets of a zone that returns: until their next report, the node
// beside each and all callers' nodes presume them cold.
func TestTargetsOfAReturnedZoneArePresumedCold(t *testing.T) {
	m := coldMesh(t, 6, 15)
	for i, n := range m.nodes {
		m.step(n, ZoneEvacuated{"b", at(1, 5)})
		require.Empty(t, n.coldRates(), "%d", i)
	}
	m.run(5 * time.Second)
	// Node 1 is in the zone and node 0 is not. No message has been sent since the return.
	m.muted = true
	effects := m.nodes[1].Step(m.time(), ZoneReturned{"b", at(1, 6)})
	require.Contains(t, effects, Effect(ProbeHealth{Target: m.nodes[1].self.Target.Process(), Path: "/health"}))
	for _, e := range effects {
		m.execute(m.nodes[1], e)
	}
	require.InDelta(t, 15, m.nodes[1].view.TargetColdRate, 0)
	require.Greater(t, m.nodes[1].view.TargetColdUntil, m.now)
	m.step(m.nodes[0], ZoneReturned{"b", at(1, 6)})
	require.Equal(t, map[mesh.NodeID]float64{"node-1": 15, "node-4": 15}, m.nodes[0].coldRates())
	m.muted = false
	m.step(m.nodes[4], ZoneReturned{"b", at(1, 6)})
	m.run(time.Second)
	require.Len(t, m.nodes[0].coldRates(), 2, "the announcements say the same")

	// One says that it is warm, the other one that it is cold for another second.
	m.beat(m.nodes[1], 0)
	require.LessOrEqual(t, m.nodes[1].view.TargetColdUntil, m.now)
	require.Equal(t, map[mesh.NodeID]float64{"node-4": 15}, m.nodes[0].coldRates())
	m.step(m.nodes[4], TargetHealth{Target: m.nodes[4].self.Target.Process(), ColdRemaining: time.Second, ColdKnown: true})
	require.InDelta(t, float64(time.Second), float64(m.nodes[4].view.TargetColdUntil-m.now), float64(10*time.Millisecond))
	m.run(1200 * time.Millisecond)
	require.InDelta(t, 22.5, m.nodes[0].coldRates()["node-4"], 0.1, "the load rises in steps")
	m.run(3 * time.Second)
	require.Empty(t, m.nodes[0].coldRates())
}

// Guards against callers' nodes that send on to a target that has become cold again, and against one
// that is presumed warm after its process may have been replaced.
func TestTargetThatBecomesColdIsAnnounced(t *testing.T) {
	m := coldMesh(t, 6, 15)
	n := m.nodes[2]
	logs := m.logged(n, HeartbeatReceived{directory.Heartbeat{
		ID: n.self.Target.ID, Address: n.local.Address, Service: "s", Version: "v1", Slots: 4, Sequence: 2, StartUnixMS: 1, ColdRemaining: 3 * time.Second,
	}})
	require.Contains(t, logs, "target_cold")
	n.sequence = 1
	require.Equal(t, map[mesh.NodeID]float64{"node-2": 15}, m.nodes[0].coldRates(), "without waiting for a round of messages")
	before := n.self.Sequence
	m.run(1500 * time.Millisecond)
	m.beat(n, 1490*time.Millisecond)
	require.Equal(t, before, n.self.Sequence, "the next heartbeats tell the same")
	m.run(5 * time.Second)
	require.Empty(t, m.nodes[0].coldRates())
	for _, sign := range []Event{TargetUnreachable{}, TargetConnectionsClosed{}} {
		require.Contains(t, m.logged(n, sign), "target_presumed_cold")
		require.Greater(t, n.view.TargetColdUntil, m.now)
		require.NotContains(t, m.logged(n, sign), "target_presumed_cold", "one presumption is logged once")
		m.run(2 * time.Second)
		// A late heartbeat of the former process is not enough.
		m.beat(n, 0)
		require.Greater(t, n.view.TargetColdUntil, m.now)
		m.run(11 * time.Second)
		m.beat(n, 0)
		require.LessOrEqual(t, n.view.TargetColdUntil, m.now)
		m.run(4 * time.Second)
	}
}

// Guards against messages, limits and probes for targets of services that take any rate while they
// are cold.
func TestServicesWithoutAColdRateAreServedAsBefore(t *testing.T) {
	m := coldMesh(t, 6, 0)
	n := m.nodes[1]
	before := n.self.Sequence
	m.beat(n, 3*time.Second)
	require.Equal(t, before, n.self.Sequence)
	m.step(n, TargetConnectionsClosed{})
	m.step(n, ZoneEvacuated{"b", at(1, 5)})
	for _, e := range n.Step(m.time(), ZoneReturned{"b", at(1, 6)}) {
		_, probes := e.(ProbeHealth)
		require.False(t, probes)
		m.execute(n, e)
	}
	require.Equal(t, before, n.self.Sequence)
	require.Zero(t, n.view.TargetColdRate)
	m.run(time.Second)
	for _, other := range m.nodes {
		require.Empty(t, other.coldRates())
	}
}

// Guards against a burst at a cold target whose node has just started and has no configuration yet,
// which tells how many requests the target takes.
func TestColdTargetWaitsForTheConfiguration(t *testing.T) {
	m := zoneMeshWith(t, 2, 20*time.Second)
	n := m.nodes[1]
	require.True(t, n.view.Target.Serving, "a warm target needs no configuration")
	m.beat(n, 3*time.Second)
	require.False(t, n.view.Target.Serving)
	m.run(time.Second)
	require.Equal(t, []mesh.AvailabilityZone{"a"}, m.nodes[0].zonesUsed())
	c := &published.Config{Version: 1, Services: map[string]published.Service{"s": {Name: "s", ColdTime: 3 * time.Second, ColdRate: 15}}}
	require.NoError(t, c.Prepare())
	m.step(n, ConfigPublished{Config: c})
	require.True(t, n.view.Target.Serving)
	require.InDelta(t, 15, n.view.TargetColdRate, 0)
	require.Greater(t, n.view.TargetColdUntil, m.now)

	m = zoneMeshWith(t, 2, 20*time.Second)
	m.beat(m.nodes[1], time.Second)
	m.run(1500 * time.Millisecond)
	require.True(t, m.nodes[1].view.Target.Serving, "it waits at most for as long as the target is cold")
}

// Guards against a target that is limited all the time because it closes connections soon after their
// use, and against one whose restart is missed because it did so before.
func TestTargetThatClosesConnectionsIsLimitedOnce(t *testing.T) {
	m := coldMesh(t, 3, 15)
	n := m.nodes[1]
	limited := time.Duration(0)
	for range 40 {
		m.step(n, TargetConnectionsClosed{})
		if n.view.TargetColdUntil > m.now {
			limited += time.Second
		}
		m.run(time.Second)
		if m.now%(10*time.Second) < TickInterval {
			m.beat(n, 0)
		}
	}
	require.LessOrEqual(t, limited, 25*time.Second, "until its second heartbeat")
	require.LessOrEqual(t, n.view.TargetColdUntil, m.now)
	// Another process is suspected anew, and a refused connection is always a sign.
	m.step(n, TargetUnreachable{})
	require.Greater(t, n.view.TargetColdUntil, m.now)
	m.step(n, HeartbeatReceived{directory.Heartbeat{
		ID: n.self.Target.ID, Address: n.local.Address, Service: "s", Version: "v1", Slots: 4, Sequence: 1, StartUnixMS: 2,
	}})
	require.LessOrEqual(t, n.view.TargetColdUntil, m.now)
	m.step(n, TargetConnectionsClosed{})
	require.Greater(t, n.view.TargetColdUntil, m.now)
}
