package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/balance"
)

// Load pattern "demand moves through the zones": the share of requests that leave a zone grows
// with its load, so that another zone is neither used while the own one serves them in time
// nor flooded at once.
func TestShareThatLeavesTheZoneGrowsWithItsLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1)).Float64
	r := balance.Request{ExpectedServiceTime: 100 * ms, Objective: 400 * ms, Bytes: 2000}
	all := append(inZone("a", 8), inZone("b", 8)...)
	leaving := func(waiting int) float64 {
		b := balance.New("a")
		for _, e := range all[:8] {
			b.UpdateLoad(e, balance.LoadReport{Running: 4, Waiting: waiting, MeanServiceTime: 100 * ms, Slowdown: 1}, 0)
		}
		left := 0
		for range 1000 {
			c, ok := b.Choose(all, r, 0, random)
			require.True(t, ok)
			if c.Endpoint.Zone == "b" {
				left++
			}
		}
		return float64(left) / 1000
	}
	require.Zero(t, func() float64 {
		b := balance.New("a")
		for _, e := range all[:8] {
			b.UpdateLoad(e, balance.LoadReport{Running: 3, MeanServiceTime: 100 * ms, Slowdown: 1.5}, 0)
		}
		for range 200 {
			c, ok := b.Choose(all, r, 0, random)
			require.True(t, ok)
			if c.Endpoint.Zone == "b" {
				return 1
			}
		}
		return 0
	}(), "all targets of the own zone have a free slot")
	shares := []float64{leaving(0), leaving(1), leaving(3), leaving(6)}
	require.IsIncreasing(t, shares)
	require.Less(t, shares[0], 0.25)
	require.InDelta(t, 1, shares[3], 0.01, "the own zone misses the objective")
}

// Guards against herding: callers of 30 nodes with the same reports do not all choose the
// target that was the best one when it reported.
func TestNodesWithTheSameReportsDoNotChooseTheSameTarget(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1)).Float64
	targets := inZone("a", 10)
	r := balance.Request{ExpectedServiceTime: 100 * ms, Objective: 400 * ms}
	counts := map[string]int{}
	const nodes = 30
	for range nodes {
		b := balance.New("a")
		for i, e := range targets {
			report := balance.LoadReport{Running: 3, MeanServiceTime: 100 * ms, Slowdown: 1}
			if i == 0 {
				report = balance.LoadReport{Slowdown: 0.6, MeanServiceTime: 60 * ms}
			}
			b.UpdateLoad(e, report, 0)
		}
		c, ok := b.Choose(targets, r, 500*time.Millisecond, random)
		require.True(t, ok)
		counts[c.Endpoint.Target]++
	}
	require.Less(t, counts[targets[0].Target], nodes/2)
	require.Greater(t, len(counts), len(targets)/2)
}
