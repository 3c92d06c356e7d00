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
	b.Reported(fast, balance.Report{Running: 4, Waiting: 5, Mean: 160 * time.Millisecond, Pace: 0.7}, 0)
	b.Reported(slow, balance.Report{Running: 2, Mean: 370 * time.Millisecond, Pace: 1.6}, 0)
	request := balance.Request{Need: 230 * time.Millisecond, Objective: 590 * time.Millisecond}
	c, ok := b.Choose(targets, request, 0, func() float64 { return 0.5 })
	require.True(t, ok)
	require.Equal(t, slow.Target, c.Endpoint.Target)
	require.True(t, c.Fits)
}

// Guards against callers that are held while all targets are asked, one after the other,
// of which all are known to refuse (load pattern "long overload").
func TestChoiceTellsThatNoTargetIsExpectedToLetTheRequestIn(t *testing.T) {
	b := balance.New("a")
	targets := inZone("a", 3)
	for _, e := range targets {
		b.Reported(e, balance.Report{Running: 4, Waiting: 12, Mean: 200 * time.Millisecond, Pace: 1}, 0)
	}
	request := balance.Request{Need: 200 * time.Millisecond, Objective: 590 * time.Millisecond}
	c, ok := b.Choose(targets, request, 0, func() float64 { return 0.5 })
	require.True(t, ok)
	require.False(t, c.Fits)
	c, ok = b.Choose(targets, request, 3*time.Second, func() float64 { return 0.5 })
	require.True(t, ok)
	require.True(t, c.Fits, "old reports count for nothing")
	for i := range targets {
		targets[i].Silent = true
	}
	c, ok = b.Choose(targets, request, 3*time.Second, func() float64 { return 0.5 })
	require.True(t, ok)
	require.False(t, c.Fits, "a silent node lets nothing in")
}
