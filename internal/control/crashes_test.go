package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/crashes"
)

// crashTwice makes request 1 run at the crashes of two targets.
func crashTwice(m *testMesh) {
	m.step(m.nodes[0], TargetCrashed{[]uint64{1, 2}})
	m.step(m.nodes[1], TargetCrashed{[]uint64{1, 3}})
}

// Guards against a request that crashes targets again each time the nodes beside those it has
// crashed are started anew.
func TestCrashesOutliveTheProcessesThatSawThem(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1", "v1")
	crashTwice(m)
	for i := range 4 {
		m.nodes[i].dead = true
		m.run(time.Second)
		restarted := m.startFor(i, "s", "v1")
		m.run(100 * time.Millisecond)
		require.True(t, restarted.view.CrashingRequests[1], "node-%d after its start", i)
		m.step(restarted, RequestAsked{1})
		m.run(time.Second)
	}
	for _, n := range m.nodes[4:] {
		require.Equal(t, map[uint64]bool{1: true}, n.view.CrashingRequests, "%s", n.id)
	}
}

// Guards against a request that crashes targets again after a while although it still comes.
func TestCrashesCountWhileTheRequestIsAskedFor(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1")
	crashTwice(m)
	for end := m.now + 3*crashes.SuspicionRetention; m.now < end; {
		m.step(m.nodes[2], RequestAsked{1})
		m.run(time.Second)
	}
	for _, n := range m.nodes {
		require.True(t, n.view.CrashingRequests[1], "%s", n.id)
	}
	m.run(crashes.SuspicionRetention + 10*time.Second)
	for _, n := range m.nodes {
		require.Equal(t, map[uint64]bool{1: true}, n.view.CrashingRequests, "%s", n.id)
		require.Equal(t, 1, n.crashes.Len(), "%s: those that crashed one target are forgotten", n.id)
	}
	m.run(crashes.RefusalRetention - crashes.SuspicionRetention)
	for _, n := range m.nodes {
		require.Empty(t, n.view.CrashingRequests, "%s", n.id)
		require.Zero(t, n.crashes.Len(), "%s", n.id)
	}
}

// Guards against refusing a request that was running at several crashes by chance: its completion
// anywhere shows that they had another cause.
func TestCompletionRefutesTheCrashes(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1")
	crashTwice(m)
	require.True(t, m.nodes[2].view.CrashingRequests[1])
	m.step(m.nodes[2], RequestCompleted{1})
	for _, n := range m.nodes {
		require.Empty(t, n.view.CrashingRequests, "%s", n.id)
	}
	// A node that is cut off meanwhile must not bring the refuted crashes back.
	m.run(5 * time.Second)
	m.step(m.nodes[0], TargetCrashed{[]uint64{1}})
	for _, n := range m.nodes {
		require.Equal(t, 1, n.view.CrashSuspects[1].Crashes, "%s", n.id)
		require.Empty(t, n.view.CrashingRequests, "%s", n.id)
	}
}

// Guards against losing the request that crashes targets among those that ran beside it.
func TestTheRequestWithMostCrashesIsKept(t *testing.T) {
	m := newTestMesh(t, "v1", "v1")
	crashTwice(m)
	for i := range uint64(4 * crashes.MaxRequests) {
		m.step(m.nodes[0], TargetCrashed{[]uint64{100 + i}})
	}
	for _, n := range m.nodes {
		require.True(t, n.view.CrashingRequests[1], "%s", n.id)
		require.LessOrEqual(t, n.crashes.Len(), crashes.MaxRequests, "%s", n.id)
	}
}
