package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Guards against an explanation that names another endpoint than the one that gets the request, and
// against one that changes the state by which later requests are sent.
func TestSnapshotChoosesAsTheBalancerDoes(t *testing.T) {
	for seed := range uint64(200) {
		source := rand.New(rand.NewPCG(seed, 1))
		b := New("a")
		now := 20 * time.Second
		var endpoints []Endpoint
		for i := range 8 {
			e := Endpoint{Node: mesh.NodeID(fmt.Sprintf("n%d", i)), Target: "t", Zone: "a", Slots: 4}
			if i%3 == 2 {
				e.Zone = "b"
			}
			if i == 4 {
				e.Cold, e.ColdRate = true, 15
			}
			e.Leaving = i == 5
			endpoints = append(endpoints, e)
			for range source.IntN(5) {
				b.Begin(e, 1000)
				b.ExpectResponse(e, 50*time.Millisecond, now-time.Second)
			}
			if source.IntN(2) == 0 {
				b.UpdateLoad(e, LoadReport{Running: source.IntN(6), MeanServiceTime: 50 * time.Millisecond, Disturbance: 3 * source.Float64()}, now-time.Second)
			}
			if source.IntN(8) == 0 {
				b.MarkUnreachable(e, now)
			}
		}
		request := Request{ExpectedServiceTime: 50 * time.Millisecond, Objective: 300 * time.Millisecond, Bytes: 1000, Senders: 8}
		snapshot := b.Snapshot(endpoints)
		before := b.Snapshot(endpoints)
		for _, e := range endpoints {
			x := b.Snapshot(endpoints).Explain(e, request, now, func() float64 { return 0.5 })
			require.Equal(t, b.Snapshot(endpoints).eligible(e, request, now), x.Eligible)
		}
		expected, ok := snapshot.Choose(endpoints, request, now, rand.New(rand.NewPCG(seed, 2)).Float64)
		require.Equal(t, before, b.Snapshot(endpoints), "the balancer is unchanged")
		chosen, chosenOK := b.Choose(endpoints, request, now, rand.New(rand.NewPCG(seed, 2)).Float64)
		require.Equal(t, chosenOK, ok)
		require.Equal(t, chosen, expected)
	}
}
