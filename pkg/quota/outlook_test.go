package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Guards against an outlook that differs from what the next request gets, and against one that takes a
// token or counts as a request.
func TestOutlookIsWhatTheNextRequestGets(t *testing.T) {
	self := Process{Node: "n1", StartUnixMS: 1}
	n := New(self)
	n.SetCaps(0, map[string]Cap{"o": {Rate: 10, Burst: 5}})
	n.SetMembers(0, Members{Count: 1, Nodes: []Member{{Process: self, LinkMbps: 10}}})
	verdicts := map[Verdict]int{}
	for now := time.Duration(0); now < 12*time.Second; now += 20 * time.Millisecond {
		for _, call := range n.Tick(now) {
			n.LeaseAnswered(now, call, n.HandleLease(now, call.Request))
		}
		var expected Outlook
		for i := range 1000 {
			o := n.Outlook(now, "o")
			if i == 0 {
				expected = o
			}
			require.Equal(t, expected, o)
			if now > 8*time.Second || now < 4*time.Second {
				break
			}
		}
		require.True(t, expected.Capped)
		d, _ := n.Request(now, "o")
		require.Equal(t, d, expected.Decision, "at %s", now)
		verdicts[d.Verdict]++
	}
	require.Positive(t, verdicts[Admitted])
	require.Positive(t, verdicts[OverCap], "%v", verdicts)
	require.Positive(t, verdicts[Unknown], "%v", verdicts)
	require.Equal(t, Outlook{}, n.Outlook(time.Minute, "other"))
	require.Equal(t, mesh.NodeID("n1"), n.Outlook(12*time.Second, "o").Allocator)
}

// Guards against an outlook that waits for, or asks, the allocator.
func TestOutlookAsksNoAllocator(t *testing.T) {
	self, other := Process{Node: "n1", StartUnixMS: 1}, Process{Node: "n2", StartUnixMS: 1}
	n := New(self)
	n.SetCaps(0, map[string]Cap{"o": {Rate: 10, Burst: 5}})
	// The allocator has the larger link by far.
	n.SetMembers(0, Members{Count: 2, Nodes: []Member{{Process: self, LinkMbps: 1e-9}, {Process: other, LinkMbps: 1e9}}})
	now := 4 * time.Second
	for range 1000 {
		o := n.Outlook(now, "o")
		require.Equal(t, Waiting, o.Decision.Verdict)
		require.Equal(t, other.Node, o.Allocator)
	}
	d, call := n.Request(now, "o")
	require.Equal(t, WaiterID(1), d.Waiter, "no request was counted")
	require.NotNil(t, call)
}
