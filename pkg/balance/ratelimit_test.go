package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/balance"
)

// Guards against a load pattern: a target names a low limit while others have free slots.
// Requests go to the others instead of being refused at the limited one, use what the limit
// leaves, and try the target again once reports of its limit are old.
func TestRequestsAvoidATargetWhoseRateLimitIsUsedUp(t *testing.T) {
	limited := balance.Endpoint{Node: "limited", Zone: "a", Target: "t1", Slots: 12}
	free := balance.Endpoint{Node: "free", Zone: "b", Target: "t2", Slots: 12}
	b := balance.New("a")
	var now time.Duration
	choose := func() balance.Choice {
		c, ok := b.Choose([]balance.Endpoint{limited, free}, balance.Request{
			ExpectedServiceTime: 50 * time.Millisecond, Objective: 300 * time.Millisecond, Bytes: 1000, Senders: 10,
		}, now, func() float64 { return 0 })
		require.True(t, ok)
		return c
	}
	b.UpdateLoad(free, balance.LoadReport{Running: 6, Slowdown: 1, MeanServiceTime: 50 * time.Millisecond}, now)
	b.UpdateLoad(limited, balance.LoadReport{Slowdown: 1, RateLimited: true, RateLimit: 5, RateAvailable: 4.5}, now)
	require.Equal(t, limited, choose().Endpoint, "the own zone is preferred while the limit leaves room")
	for range 4 {
		b.Begin(limited, 1000)
	}
	require.Equal(t, free, choose().Endpoint, "this node has used what was left")

	b.UpdateLoad(limited, balance.LoadReport{Slowdown: 1, RateLimited: true, RateLimit: 5, RateAvailable: -1}, now)
	now += time.Second
	require.Equal(t, free, choose().Endpoint, "this node has a tenth of the limit")
	c, ok := b.Choose([]balance.Endpoint{limited}, balance.Request{Objective: 300 * time.Millisecond, Senders: 10}, now, func() float64 { return 0 })
	require.True(t, ok)
	require.False(t, c.Admissible, "the limit allows the next request after the objective")
	require.Greater(t, c.ExpectedWait, 200*time.Millisecond)

	now += 2 * time.Second
	c, _ = b.Choose([]balance.Endpoint{limited}, balance.Request{Objective: 300 * time.Millisecond, Senders: 10}, now, func() float64 { return 0 })
	require.True(t, c.Admissible, "the limit may have ended")
	b.UpdateLoad(limited, balance.LoadReport{Slowdown: 1}, now)
	require.Equal(t, limited, choose().Endpoint, "it has ended")
}
