package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/balance"
)

// Guards against a fast target that is chosen again and again although its node refuses
// the requests. In load pattern "herd restart" one target refused 1,750 requests in 5 s
// while others had free slots. Choose therefore applies the same margins as admission.
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

// Guards against requests that are delayed by attempts at one target after the other, all
// of which are known to refuse (load pattern "long overload").
func TestChoiceReportsThatNoTargetIsExpectedToAdmitTheRequest(t *testing.T) {
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
	require.True(t, c.Admissible, "old reports are ignored")
	for i := range targets {
		targets[i].Unresponsive = true
	}
	c, ok = b.Choose(targets, request, 3*time.Second, func() float64 { return 0.5 })
	require.True(t, ok)
	require.False(t, c.Admissible, "unresponsive nodes are not expected to admit requests")
}
