package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/balance"
)

// Load pattern "noisy machines": a target whose machine is disturbed gives way to another
// during the spell only, whatever the age of its report, and its speed counts at all times.
func TestDisturbedTargetGivesWayDuringTheSpellOnly(t *testing.T) {
	b := balance.New("a")
	fast, slow := endpoint("fast", "a"), endpoint("slow", "a")
	r := balance.Request{ExpectedServiceTime: 100 * ms, Objective: 300 * ms}
	b.UpdateLoad(slow, balance.LoadReport{Slowdown: 1.2}, 0)
	chosen := func(age, now time.Duration) string {
		b.UpdateLoad(fast, balance.LoadReport{Slowdown: 0.8, Disturbance: 2.5, DisturbanceAge: age}, 0)
		c, ok := b.Choose([]balance.Endpoint{fast, slow}, r, now, fixed)
		require.True(t, ok)
		return string(c.Endpoint.Node)
	}
	require.Equal(t, "slow", chosen(0, 50*ms))
	require.Equal(t, 1, b.Disturbed(50*ms))
	require.Zero(t, b.Disturbed(3*time.Second))
	require.Equal(t, "fast", chosen(0, 2*time.Second))
	require.Equal(t, "fast", chosen(2*time.Second, 0))
}

// Load pattern "targets shed load": a target that takes few requests gives way to one with free
// slots, until its report is old.
func TestSheddingTargetGetsWhatItTakes(t *testing.T) {
	b := balance.New("a")
	shedding, free := endpoint("shedding", "a"), endpoint("free", "a")
	r := balance.Request{ExpectedServiceTime: 100 * ms, Objective: 300 * ms}
	b.UpdateLoad(shedding, balance.LoadReport{Running: 2, Room: 2, MeanServiceTime: 100 * ms, Slowdown: 1}, 0)
	b.UpdateLoad(free, balance.LoadReport{Running: 6, MeanServiceTime: 100 * ms, Slowdown: 1.2}, 0)
	chosen := func(now time.Duration) string {
		c, ok := b.Choose([]balance.Endpoint{shedding, free}, r, now, fixed)
		require.True(t, ok)
		return string(c.Endpoint.Node)
	}
	require.Equal(t, "free", chosen(50*ms))
	require.Equal(t, "shedding", chosen(time.Second))
}
