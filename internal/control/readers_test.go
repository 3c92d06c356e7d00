package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

func (m *testMesh) readers() []mesh.NodeID {
	var out []mesh.NodeID
	for _, n := range m.nodes {
		if !n.dead && n.view.Reader {
			out = append(out, n.id)
		}
	}
	return out
}

func manyTargets(count int) []string {
	versions := make([]string, count)
	for i := range versions {
		versions[i] = "v1"
	}
	return versions
}

// Only a few nodes of a large mesh may read the store all the time, and they must be
// replaced when they die.
func TestFewNodesReadTheStoreInALargeMesh(t *testing.T) {
	m := newTestMesh(t, manyTargets(40)...)
	first := m.readers()
	require.Len(t, first, readerCount)
	for _, id := range first {
		m.node(id).dead = true
	}
	m.run(aliveTimeout + 4*time.Second)
	require.Len(t, m.readers(), readerCount)
}

// Readers that lose access to the store while it serves other nodes must be replaced.
func TestReadersWithoutStoreAccessAreReplaced(t *testing.T) {
	m := newTestMesh(t, manyTargets(40)...)
	first := m.readers()
	for _, id := range first {
		m.step(m.node(id), StoreAvailability{Available: false})
	}
	m.run(aliveTimeout)
	now := m.readers()
	require.Len(t, now, readerCount)
	for _, id := range first {
		require.NotContains(t, now, id)
		m.step(m.node(id), StoreAvailability{Available: true})
	}
	// Any two nodes exchange messages within aliveTimeout.
	m.run(aliveTimeout)
	require.ElementsMatch(t, first, m.readers())
}

// A node that could not read the store when it started does not know the other nodes
// and cannot announce itself to them. The readers must relay its announcement.
func TestReadersRelayAnnouncementsOfNewNodes(t *testing.T) {
	m := newTestMesh(t, manyTargets(40)...)
	late := directory.Announcement{
		Node: "late", Zone: "a", StartUnixMS: 1, Sequence: 1, RPCAddress: address(200), CallAddress: address(200),
		Target: &directory.Target{ID: "t-late", Service: "s", Version: "v1", Slots: 4, Serving: true},
	}
	m.step(m.node(m.readers()[0]), AnnouncementRead{late})
	m.run(4 * time.Second)
	for _, n := range m.nodes {
		require.Len(t, n.view.Endpoints["s"].Old, 41, "%s", n.id)
	}
}

// In a large mesh two nodes exchange messages less often than aliveTimeout. Live
// nodes must not be marked as unresponsive for that.
func TestLiveNodesOfALargeMeshAreNotUnresponsive(t *testing.T) {
	m := newTestMesh(t, manyTargets(90)...)
	m.run(10 * time.Second)
	dead := m.nodes[17]
	dead.dead = true
	unresponsive := func() (liveCount, deadCount int) {
		for _, n := range m.nodes {
			for _, e := range n.view.Endpoints["s"].Old {
				switch {
				case n == dead || !e.Unresponsive:
				case e.Node == dead.id:
					deadCount++
				default:
					liveCount++
				}
			}
		}
		return liveCount, deadCount
	}
	for range 40 {
		m.run(TickInterval)
		liveCount, _ := unresponsive()
		require.Zero(t, liveCount)
	}
	m.run(5 * time.Second)
	_, deadCount := unresponsive()
	require.Equal(t, len(m.nodes)-1, deadCount, "the dead node is a last resort for all")
}

// Guards the traffic between zones: with a message to each node for each change, a
// rolling restart of all 78 nodes sent most of 0.3 GB. Changes must still reach all
// nodes.
func TestChangeInALargeMeshGoesThroughTheReaders(t *testing.T) {
	m := newTestMesh(t, manyTargets(60)...)
	m.run(aliveTimeout)
	leaving := m.nodes[30]
	if leaving.view.Reader {
		leaving = m.nodes[31]
	}
	sent := 0
	m.onSend = func(count int) { sent += count }
	m.step(leaving, TargetLeaving{ID: leaving.self.Target.ID})
	require.LessOrEqual(t, sent, readerCount)
	m.run(2 * gossipInterval)
	for _, n := range m.nodes {
		require.Len(t, n.view.Endpoints["s"].Old, 59, "%s", n.id)
	}
}
