package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// BenchmarkMoveInALargeMesh measures the processor time of all nodes for a second of an
// open move. The states between nodes are encoded, as they are on the network.
func BenchmarkMoveInALargeMesh(b *testing.B) {
	for _, nodes := range []int{30, 100, 200} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			versions := make([]string, nodes)
			for i := range versions {
				versions[i] = "v1"
				if i%2 == 1 {
					versions[i] = "v2"
				}
			}
			m := newTestMesh(b, versions...)
			m.encodes = true
			messages := 0
			m.onSend = func(count int) { messages += count }
			number := uint64(0)
			traffic := func() {
				m.countResponses("v1", 5, false)
				m.countResponses("v2", 1, false)
			}
			b.ResetTimer()
			for b.Loop() {
				number++
				m.order("v2", number)
				m.runWith(time.Second, traffic)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(nodes), "us/node/s")
			b.ReportMetric(float64(messages)/float64(b.N)/float64(nodes), "messages/node/s")
			b.ReportMetric(float64(m.encodedBytes)/float64(b.N)/float64(nodes), "B/node/s")
		})
	}
}

// transfer returns the state as another node receives it.
func (m *testMesh) transfer(s PeerState) PeerState {
	if !m.encodes {
		return s
	}
	text, err := json.Marshal(s)
	if err != nil {
		m.t.Fatal(err)
	}
	m.encodedBytes += len(text)
	var out PeerState
	if err := json.Unmarshal(text, &out); err != nil {
		m.t.Fatal(err)
	}
	return out
}
