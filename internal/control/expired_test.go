package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/directory"
)

// Guards against nodes that never find each other again after a partition that outlasted their
// memory of each other: nothing in the store changes when it ends.
func TestNodesFindEachOtherAfterALongPartition(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1")
	m.partitioned["node-0"] = true
	m.run(directory.MemberLifetime + 20*time.Second)
	for _, n := range m.nodes[1:] {
		_, known := n.dir.Get("node-0")
		require.False(t, known, "%s has not forgotten node-0", n.id)
	}
	delete(m.partitioned, "node-0")
	m.run(3 * expiredProbeInterval)
	for _, n := range m.nodes {
		require.Len(t, n.view.Endpoints["s"].Old, 3, "%s", n.id)
		for _, e := range n.view.Endpoints["s"].Old {
			require.False(t, e.Unresponsive, "%s at %s", e.Node, n.id)
		}
	}
}

// Guards against messages for ever to nodes that are gone, and to those that have left.
func TestExpiredNodesAreProbedForABoundedTime(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1")
	m.nodes[0].dead = true
	m.step(m.nodes[1], Stopping{})
	m.nodes[1].dead = true
	m.run(directory.MemberLifetime + 20*time.Second)
	require.Len(t, m.nodes[2].expired, 1)
	m.now += expiredRetention
	m.run(2 * expiredProbeInterval)
	require.Empty(t, m.nodes[2].expired)
}
