package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// gossipBytes counts the messages of an idle mesh.
type gossipBytes struct {
	exchanges, bytes, crossing int
}

func measureGossip(t testing.TB, nodes, zones int, d time.Duration) gossipBytes {
	m := newEmptyMesh(t)
	m.zones = zones
	for i := range nodes {
		m.start(i, "v1")
	}
	m.run(10 * time.Second)
	var g gossipBytes
	m.onExchange = func(from, to *testNode, request, reply PeerState) {
		size := 0
		for _, s := range []PeerState{request, reply} {
			text, err := json.Marshal(s)
			if err != nil {
				t.Fatal(err)
			}
			size += len(text)
		}
		g.exchanges++
		g.bytes += size
		if from.self.Zone != to.self.Zone {
			g.crossing += size
		}
	}
	m.run(d)
	return g
}

// Guards against the bytes between zones of an idle large mesh, which are billed and were two
// thirds of all messages: a node of three zones needs an exchange with one reader in a round, and
// others seldom leave its zone.
func TestMostGossipStaysInTheZone(t *testing.T) {
	const seconds = 8
	g := measureGossip(t, 60, 3, seconds*time.Second)
	t.Logf("%.0f B/s, %.0f B/s between zones", float64(g.bytes)/seconds, float64(g.crossing)/seconds)
	require.Less(t, float64(g.crossing), 0.45*float64(g.bytes))
}

// Guards against nodes of other zones that count as unresponsive since gossip seldom reaches
// them, also after all readers were lost at once. New readers hear from all nodes within three
// rounds of being chosen; until then they may report live nodes as unresponsive.
func TestNodesOfOtherZonesStayKnownWithoutTheReaders(t *testing.T) {
	m := newEmptyMesh(t)
	m.zones = 3
	for i := range 60 {
		m.start(i, "v1")
	}
	m.run(10 * time.Second)
	for _, id := range m.nodes[0].readers {
		m.partitioned[id] = true
	}
	m.run(2 * (aliveTimeout + readerCount*gossipInterval))
	for range 40 {
		m.run(time.Second)
		for _, n := range m.nodes {
			if m.partitioned[n.id] {
				continue
			}
			for _, e := range n.view.Endpoints["s"].Old {
				require.False(t, e.Unresponsive && !m.partitioned[e.Node], "%s of %s at %s", e.Node, n.id, m.now)
			}
		}
	}
}

// BenchmarkIdleGossip measures the messages between the nodes of an idle mesh.
func BenchmarkIdleGossip(b *testing.B) {
	for _, nodes := range []int{9, 89, 300} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			for b.Loop() {
				const seconds = 8
				g := measureGossip(b, nodes, 3, seconds*time.Second)
				b.ReportMetric(float64(g.exchanges)/seconds, "exchanges/s")
				b.ReportMetric(float64(g.bytes)/float64(g.exchanges), "B/exchange")
				b.ReportMetric(float64(g.crossing)/seconds, "B/s-between-zones")
			}
		})
	}
}
