package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/crashes"
	"heathercroft.example/heathercroft/pkg/mesh"
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

// endAll ends all processes of the nodes and starts new ones, which read the store first.
func endAll(m *testMesh) []*testNode {
	count := 0
	for _, n := range m.nodes {
		if !n.dead {
			m.kill(n)
			count++
		}
	}
	var started []*testNode
	for i := range count {
		n := m.startUnread(i)
		m.step(n, heartbeatOf(i, fmt.Sprintf("t-%d", i), 1, 9, false))
		m.readFirst(n)
		started = append(started, n)
	}
	m.run(time.Second)
	return started
}

// Guards against a request that crashes targets again after all nodes were killed at once, and against a
// harmless one that was refused before it completed and is refused again after that.
func TestCrashesOutliveAllProcesses(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1", "v1")
	crashTwice(m)
	m.step(m.nodes[0], TargetCrashed{[]uint64{4, 5}})
	m.step(m.nodes[1], TargetCrashed{[]uint64{4, 5}})
	m.step(m.nodes[2], RequestCompleted{4})
	m.run(refutationDelay + time.Second)
	for i := range 3 {
		nodes := endAll(m)
		for _, n := range nodes {
			require.Equal(t, map[uint64]bool{1: true, 5: true}, n.view.CrashingRequests, "%s after %d ends", n.id, i+1)
			require.Equal(t, i == 2, n.view.CrashSuspects[1].Proven, "after the third crash")
		}
		if i == 1 {
			m.step(nodes[3], TargetCrashed{[]uint64{1}})
		}
	}
}

// Guards against the loss of a crash that was seen just before the nodes were killed, one after another
// or between the crashes, and of one whose write was lost.
func TestEachCrashIsInTheStoreAtOnce(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1")
	m.step(m.nodes[0], TargetCrashed{[]uint64{1}})
	nodes := endAll(m)
	require.Equal(t, 1, nodes[2].view.CrashSuspects[1].Crashes)
	m.step(nodes[1], TargetCrashed{[]uint64{1}})
	nodes = endAll(m)
	require.True(t, nodes[2].view.CrashingRequests[1])
	// The store is away at the third crash and returns without the last writes.
	older := m.copyStore()
	m.storeDown = true
	m.step(nodes[2], TargetCrashed{[]uint64{1}})
	m.run(2 * time.Second)
	m.storeDown = false
	m.restore(older)
	m.run(3 * time.Second)
	nodes = endAll(m)
	for _, n := range nodes {
		require.True(t, n.view.CrashSuspects[1].Proven, "%s", n.id)
	}
}

// Guards against evidence that planned stops of all nodes delete, and against records of stopped nodes that
// stay in the store for ever.
func TestCrashesOutlivePlannedStopsOfAll(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1", "v1")
	crashTwice(m)
	for _, n := range m.nodes {
		m.stop(n, nil)
	}
	for i := range 3 {
		n := m.startUnread(i)
		m.step(n, heartbeatOf(i, fmt.Sprintf("t-%d", i), 1, 9, false))
		m.readFirst(n)
		m.run(time.Second)
		require.True(t, n.view.CrashingRequests[1], "%s", n.id)
	}
	m.stop(m.node("node-0"), nil)
	require.Contains(t, m.announcements, mesh.NodeID("node-0"))
	m.run(crashes.RefusalRetention + 15*time.Second)
	require.NotContains(t, m.announcements, mesh.NodeID("node-0"))
}

// Guards against writes to the store on a day without crashes, and against many of them for one crash.
func TestCrashesCostFewWrites(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1")
	m.run(time.Minute)
	before := m.meshEnd
	m.run(time.Minute)
	require.Equal(t, before, m.meshEnd, "without crashes")
	m.step(m.nodes[0], TargetCrashed{[]uint64{1, 2, 3}})
	m.step(m.nodes[1], RequestCompleted{2})
	m.run(2 * crashes.RefusalRetention)
	require.LessOrEqual(t, m.meshEnd-before, 2, "the crash, and what completed later")
	require.Empty(t, m.nodes[2].view.CrashSuspects)
}

// Guards against a record of another writer that stops a node or makes it refuse requests.
func TestUnreadableCrashesNameNoRequest(t *testing.T) {
	m := newTestMesh(t, "v1", "v1")
	a := m.announcements["node-1"]
	a.Crashes = crashes.Evidence{Requests: []crashes.EvidenceOfRequest{{Identity: 1, In: []int{7}}}}
	m.step(m.nodes[0], AnnouncementRead{a})
	require.Empty(t, m.nodes[0].view.CrashSuspects)
	require.Len(t, m.nodes[0].view.Endpoints["s"].Old, 2)
}
