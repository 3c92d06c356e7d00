package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/directory"
)

// Guards against using a target that said in a response that it is shutting down: the node
// beside it tells all others, and a node through which that response passed does not use the
// target even if the node beside it restarts and neither the store nor another node knows.
func TestTargetThatSignaledItsLeavingStaysOut(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1")
	m.storeDown = true
	leaving := TargetSignaled{Target: directory.Process{ID: "t-0", StartUnixMS: 1}, Signals: directory.Signals{Leaving: true}}
	m.step(m.nodes[1], leaving)
	require.Len(t, m.nodes[1].view.Endpoints["s"].Old, 2)
	require.Len(t, m.nodes[2].view.Endpoints["s"].Old, 3, "only the node beside the target speaks for it")

	m.nodes[0].dead = true
	m.now += time.Second
	restarted := m.startFor(0, "s", "v1")
	m.run(2 * time.Second)
	require.True(t, restarted.view.Target.Serving)
	require.Len(t, m.nodes[1].view.Endpoints["s"].Old, 2)

	m.step(restarted, leaving)
	require.False(t, restarted.view.Target.Serving)
	for _, n := range m.nodes[1:] {
		require.Len(t, n.view.Endpoints["s"].Old, 2, "%s", n.id)
	}
	// A later process of the target under the same id is used by all.
	m.now += time.Second
	m.step(restarted, HeartbeatReceived{directory.Heartbeat{
		ID: "t-0", Address: address(0).String(), Service: "s", Version: "v1", Slots: 4, Sequence: 1, StartUnixMS: m.now.Milliseconds(),
	}})
	m.run(2 * time.Second)
	for _, n := range m.nodes[1:] {
		require.Len(t, n.view.Endpoints["s"].Old, 3, "%s", n.id)
	}
}

// Guards against a new process of a target that is never used, because the former process of
// its node announced that the target's former process leaves: the id is the same.
func TestNewProcessOfATargetIsUsedAfterItsNodeRestarted(t *testing.T) {
	for _, heartbeatFirst := range []bool{true, false} {
		m := newTestMesh(t, "v1", "v1")
		m.now += time.Minute
		m.step(m.nodes[0], TargetLeaving{ID: "t-0"})
		m.run(time.Second)
		m.nodes[0].dead = true
		m.now += time.Second
		next := HeartbeatReceived{directory.Heartbeat{
			ID: "t-0", Address: address(0).String(), Service: "s", Version: "v1", Slots: 4, Sequence: 1, StartUnixMS: m.now.Milliseconds(),
		}}
		m.now += time.Second
		n := &testNode{id: "node-0", view: &View{}, Control: New(Options{
			Self:    directory.Announcement{Node: "node-0", Zone: "a", StartUnixMS: m.now.Milliseconds(), RPCAddress: address(0), CallAddress: address(0)},
			Address: address(0).String(), Service: "s", Heartbeat: time.Hour,
		})}
		m.nodes = append(m.nodes, n)
		if heartbeatFirst {
			m.step(n, next)
		}
		m.read(n)
		m.step(n, FeedCaughtUp{MeshFeed})
		next.Heartbeat.Sequence++
		m.step(n, next)
		m.run(2 * time.Second)
		require.True(t, n.view.Target.Serving, "heartbeat first: %v", heartbeatFirst)
		require.Len(t, m.nodes[1].view.Endpoints["s"].Old, 2)
	}
}
