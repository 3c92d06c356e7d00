package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/quota"
)

// BenchmarkCapMessages measures the processor time of a lease and a take at both nodes together,
// with the transport over loopback.
func BenchmarkCapMessages(b *testing.B) {
	nodes := newMesh(b, 2)
	config := cappedConfig(b, 2, 1000, 1000)
	for _, n := range nodes {
		n.Step(control.ConfigPublished{Config: config})
	}
	to := nodes[1].settings.Peers
	measure := func(name, method string, params func(i uint64) any, result any) {
		b.Run(name, func(b *testing.B) {
			written := nodes[0].counters.Written.Load() + nodes[1].counters.Written.Load()
			i := uint64(0)
			for b.Loop() {
				i++
				require.NoError(b, nodes[0].rpc.Call(b.Context(), to, method, params(i), result))
			}
			bytes := nodes[0].counters.Written.Load() + nodes[1].counters.Written.Load() - written
			b.ReportMetric(float64(bytes)/float64(b.N), "B/call")
		})
	}
	measure("lease", methodLease, func(i uint64) any {
		return quota.LeaseRequest{Node: "node-0", StartUnixMS: nodes[0].state().Announcement.StartUnixMS, Sequence: i, Slots: 0x11}
	}, &quota.LeaseReply{})
	measure("take", methodTake, func(uint64) any { return quota.TakeRequest{Organisation: "north", Wanted: 1} }, &quota.TakeReply{})
}
