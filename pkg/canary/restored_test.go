package canary_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/logpos"
)

func orderAt(version string, era, offset uint64) canary.Order {
	return canary.Order{
		Service: "s", Version: version, Number: offset + 1, Duration: time.Second,
		Position: logpos.Position{Era: era, Offset: offset},
	}
}

// Guards against an order that a restored store gives another offset, or brings back although
// it was replaced, and against one that is taken for an earlier order.
func TestOrdersAreRecognizedAfterARestoration(t *testing.T) {
	first := canary.NewMove(orderAt("v2", 1, 3), 0)
	second := first.Replace(orderAt("v3", 1, 8), 0)
	for name, c := range map[string]struct {
		order canary.Order
		later bool
	}{
		"written again below":           {orderAt("v3", 2, 5), false},
		"written again at its offset":   {orderAt("v3", 2, 8), false},
		"written again above":           {orderAt("v3", 2, 12), false},
		"earlier order that survived":   {orderAt("v2", 2, 3), false},
		"another version below":         {orderAt("v4", 2, 5), true},
		"another version at its offset": {orderAt("v4", 2, 8), true},
		"equal order in the same era":   {orderAt("v3", 1, 9), true},
		"earlier version, new order":    {orderAt("v2", 2, 9), true},
		"order of an earlier era":       {orderAt("v4", 1, 5), false},
	} {
		require.Equal(t, c.later, canary.NewMove(c.order, 0).Later(second), name)
	}
	third := second.Replace(orderAt("v4", 2, 2), 0)
	require.True(t, third.Later(second))
	require.False(t, second.Later(third))
	require.Greater(t, third.Number, second.Number, "a number identifies one order")
}

// Guards against an equal order that is given again in a later era and not carried out by a
// node that knows the first one only by its position before the restoration.
func TestRepeatedOrderIsLaterOnceItsFormerPositionIsKnown(t *testing.T) {
	first := canary.NewMove(orderAt("v2", 1, 8), 0)
	moved := first
	moved.Position = logpos.Position{Era: 2, Offset: 3}
	repeated := moved.Replace(orderAt("v2", 2, 8), 0)
	require.True(t, repeated.Supersedes(first))
	require.False(t, first.Supersedes(repeated))
	require.False(t, repeated.Supersedes(repeated))
}

// Guards against nodes that disagree for good: of two states at most one supersedes the other, no
// open state supersedes a decision about the same order, and two different decisions have one winner.
func TestSupersedesIsConsistent(t *testing.T) {
	phases := []canary.Phase{canary.Observing, canary.Shifted, canary.Completed, canary.Reverted}
	move := rapid.Custom(func(t *rapid.T) canary.Move {
		m := canary.NewMove(orderAt(rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "version"),
			rapid.Uint64Range(1, 3).Draw(t, "era"), rapid.Uint64Range(0, 4).Draw(t, "offset")), 0)
		for range rapid.IntRange(0, 2).Draw(t, "orders") {
			m = m.Replace(orderAt(rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "next"),
				m.Position.Era+rapid.Uint64Range(0, 1).Draw(t, "restorations"), m.Position.Offset+rapid.Uint64Range(1, 3).Draw(t, "records")), 0)
		}
		m.Phase, m.Revision = rapid.SampledFrom(phases).Draw(t, "phase"), rapid.IntRange(1, 4).Draw(t, "revision")
		return m
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := move.Draw(t, "a"), move.Draw(t, "b")
		require.False(t, a.Supersedes(a))
		require.False(t, a.Supersedes(b) && b.Supersedes(a))
		if !a.Later(b) && !b.Later(a) && a.Same(b.Order) && !a.Open() {
			require.False(t, b.Open() && b.Supersedes(a))
			require.True(t, a.Phase == b.Phase || a.Supersedes(b) || b.Supersedes(a))
		}
	})
}
