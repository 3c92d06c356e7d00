package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// BenchmarkSecond measures one second of a node that knows 2,500 members in 15
// zones: ten ticks, two probes with answers, and the list of endpoints.
func BenchmarkSecond(b *testing.B) {
	l := &harness{Machine: New(Config{Self: info(0), Source: rand.NewPCG(1, 1)})}
	peers := make(map[mesh.NodeID]mesh.NodeInfo)
	for i := range 2500 {
		node := info(i%250 + 1)
		node.ID = mesh.NodeID(fmt.Sprintf("node-%d", i))
		node.Zone = mesh.AvailabilityZone(fmt.Sprintf("zone-%02d", i%15))
		if i%15 == 0 {
			node.Zone = "a"
		}
		peers[node.ID] = node
		l.receive(from(node, 1, Message{Updates: []Update{updateOf(node, 1, Alive)}, Exchange: true}))
	}
	b.ReportAllocs()
	for b.Loop() {
		for range 10 {
			l.at += 100 * time.Millisecond
			for _, s := range sends(l.Step(Tick{Now: l.at})) {
				if s.Message.Probe != nil {
					// The sequence identifies the probe; any member may answer here.
					l.receive(from(peers["node-0"], 1, Message{Ack: &ProbeAck{Sequence: s.Message.Probe.Sequence, View: l.view()}}))
				}
			}
		}
		l.receive(from(peers["node-15"], 1, Message{Probe: &Probe{Sequence: 1}}))
		l.Endpoints()
	}
}
