package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/balance"
)

// Guards against a fast target that is asked again and again although its node refuses
// (load pattern "herd restart": one target refused 1,750 requests in 5 s while others had
// free slots): the choice reckons with the margins of admission.
func TestFullTargetGivesWayToASlowerFreeOne(t *testing.T) {
	b := balance.New("a")
	targets := inZone("a", 2)
	fast, slow := targets[0], targets[1]
	b.UpdateLoad(fast, balance.LoadReport{Running: 4, Waiting: 5, MeanServiceTime: 160 * time.Millisecond, Slowdown: 0.7}, 0)
	b.UpdateLoad(slow, balance.LoadReport{Running: 2, MeanServiceTime: 370 * time.Millisecond, Slowdown: 1.6}, 0)
	request := balance.Request{ExpectedServiceTime: 230 * time.Millisecond, Objective: 590 * time.Millisecond}
	c, ok := b.Choose(targets, request, 0, func() float64 { return 0.5 })
	require.True(t, ok)
	require.Equal(t, slow.Target, c.Endpoint.Target)
	require.True(t, c.Admissible)
}

// Guards against callers that are held while all targets are asked, one after the other,
// of which all are known to refuse (load pattern "long overload").
func TestChoiceTellsThatNoTargetIsExpectedToLetTheRequestIn(t *testing.T) {
	b := balance.New("a")
	targets := inZone("a", 3)
	for _, e := range targets {
		b.UpdateLoad(e, balance.LoadReport{Running: 4, Waiting: 12, MeanServiceTime: 200 * time.Millisecond, Slowdown: 1}, 0)
	}
	request := balance.Request{ExpectedServiceTime: 200 * time.Millisecond, Objective: 590 * time.Millisecond}
	c, ok := b.Choose(targets, request, 0, func() float64 { return 0.5 })
	require.True(t, ok)
	require.False(t, c.Admissible)
	c, ok = b.Choose(targets, request, 3*time.Second, func() float64 { return 0.5 })
	require.True(t, ok)
	require.True(t, c.Admissible, "old reports count for nothing")
	for i := range targets {
		targets[i].Unresponsive = true
	}
	c, ok = b.Choose(targets, request, 3*time.Second, func() float64 { return 0.5 })
	require.True(t, ok)
	require.False(t, c.Admissible, "a silent node lets nothing in")
}
