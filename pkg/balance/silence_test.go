package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/balance"
)

// Load pattern "node without power": a node that answers nothing must not get one request after
// the other until the first has reached its deadline. Its last load report shows it idle.
func TestSilentNodeGetsNoFurtherRequests(t *testing.T) {
	b := balance.New("a")
	silent, other := endpoint("silent", "a"), endpoint("other", "a")
	b.UpdateLoad(silent, balance.LoadReport{MeanServiceTime: 100 * ms, Slowdown: 1}, 0)
	sent := 0
	// A request every 50 ms for the time that the first one takes to reach its deadline.
	const interval, deadline = 50 * ms, 1200 * ms
	for now := time.Duration(0); now < deadline; now += interval {
		b.UpdateLoad(other, balance.LoadReport{Running: 9, MeanServiceTime: 100 * ms, Slowdown: 1}, now)
		c, ok := b.Choose([]balance.Endpoint{silent, other}, request(), now, fixed)
		require.True(t, ok)
		if c.Endpoint.Node == "silent" {
			sent++
			b.Begin(silent, 1000)
			b.ExpectResponse(silent, 100*ms, now)
		}
	}
	// The objective is 300 ms: nobody can tell before a response is due that none will come.
	require.LessOrEqual(t, sent, int(300*ms/interval))
}

// A node that has answered again, or whose requests have all ended, must get requests again at
// once.
func TestNodeIsNotSilentAfterItsNextResponse(t *testing.T) {
	b := balance.New("a")
	e := endpoint("e", "a")
	b.Begin(e, 0)
	b.ExpectResponse(e, 100*ms, 0)
	c, _ := b.Choose([]balance.Endpoint{e}, request(), time.Second, fixed)
	require.False(t, c.Admissible)
	require.GreaterOrEqual(t, c.ExpectedWait, 800*ms)

	b.UpdateLoad(e, balance.LoadReport{MeanServiceTime: 100 * ms, Slowdown: 1}, time.Second)
	c, _ = b.Choose([]balance.Endpoint{e}, request(), time.Second+10*ms, fixed)
	require.True(t, c.Admissible)

	b.End(e, 0)
	c, _ = b.Choose([]balance.Endpoint{e}, request(), 2*time.Second, fixed)
	require.True(t, c.Admissible)
}
