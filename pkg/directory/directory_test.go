package directory_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

const address = "10.0.0.1:80"

func newLocalTarget() *directory.LocalTarget {
	return &directory.LocalTarget{Address: address, Service: "a", Interval: time.Second}
}

func heartbeat(id string, startUnixMS int64, sequence uint64, draining bool) directory.Heartbeat {
	return directory.Heartbeat{
		ID: id, Address: address, Service: "a", Version: "v1", Slots: 2, StartUnixMS: startUnixMS, Sequence: sequence, Draining: draining,
	}
}

// A heartbeat that is delivered out of order must not make a draining target serve
// again.
func TestOutOfOrderHeartbeatDoesNotEndDraining(t *testing.T) {
	l := newLocalTarget()
	require.True(t, l.HandleHeartbeat(heartbeat("x", 10, 5, true), 0, 0))
	require.False(t, l.HandleHeartbeat(heartbeat("x", 10, 4, false), 0, 0))
	require.False(t, l.Target(0, 0).Serving)
	require.True(t, l.HandleHeartbeat(heartbeat("x", 10, 6, false), 0, 0))
	require.False(t, l.Target(0, 0).Serving, "one start of a target leaves once")
}

// The draining flag must not be lost if a later heartbeat arrives first.
func TestOutOfOrderDrainingIsKept(t *testing.T) {
	l := newLocalTarget()
	require.True(t, l.HandleHeartbeat(heartbeat("x", 10, 5, false), 0, 0))
	require.True(t, l.HandleHeartbeat(heartbeat("x", 10, 4, true), 0, 0))
	require.False(t, l.Target(0, 0).Serving)
}

// Heartbeats of an earlier process, delayed by a partition, must be ignored.
func TestHeartbeatOfAnEarlierStartIsIgnored(t *testing.T) {
	l := newLocalTarget()
	require.True(t, l.HandleHeartbeat(heartbeat("new", 20, 1, false), 0, 0))
	require.False(t, l.HandleHeartbeat(heartbeat("old", 10, 99, false), 0, 0))
	require.Equal(t, "new", l.Target(0, 0).ID)
}

// A target that restarts under the same ID begins with sequence 1 again and must serve.
func TestSameIDWithALaterStartServesAgain(t *testing.T) {
	l := newLocalTarget()
	require.True(t, l.HandleHeartbeat(heartbeat("x", 10, 7, false), 0, 0))
	require.True(t, l.MarkLeaving("x", 0, 15))
	require.False(t, l.Target(0, 0).Serving)
	require.False(t, l.HandleHeartbeat(heartbeat("x", 10, 8, false), 0, 0))
	require.True(t, l.HandleHeartbeat(heartbeat("x", 120, 1, false), 0, 0))
	require.True(t, l.Target(0, 0).Serving)
}

// A node that restarts may be told that its target leaves before the first heartbeat.
func TestLeavingBeforeTheFirstHeartbeat(t *testing.T) {
	l := newLocalTarget()
	require.False(t, l.MarkLeaving("x", 0, 15))
	require.False(t, l.HandleHeartbeat(heartbeat("x", 10, 8, false), 0, 16))
	require.Nil(t, l.Target(0, 0))
}

// Heartbeats of other targets and other services must be ignored.
func TestHeartbeatsOfOtherTargetsAreIgnored(t *testing.T) {
	l := newLocalTarget()
	h := heartbeat("x", 1, 1, false)
	h.Address = "10.0.0.9:80"
	require.False(t, l.HandleHeartbeat(h, 0, 0))
	h = heartbeat("x", 1, 1, false)
	h.Service = "b"
	require.False(t, l.HandleHeartbeat(h, 0, 0))
	require.Nil(t, l.Target(0, 0))
}

// A target that stops sending heartbeats or refuses connections must get no
// requests until its next heartbeat.
func TestUnresponsiveTargetsAreExcludedUntilNextHeartbeat(t *testing.T) {
	l := newLocalTarget()
	l.HandleHeartbeat(heartbeat("x", 1, 1, false), 0, 0)
	require.False(t, l.Target(5*time.Second, 0).Serving)
	l.HandleHeartbeat(heartbeat("x", 1, 2, false), 5*time.Second, 0)
	l.MarkUnreachable(5 * time.Second)
	require.False(t, l.Target(5*time.Second, 0).Serving)
	l.HandleHeartbeat(heartbeat("x", 1, 3, false), 5*time.Second, 0)
	require.True(t, l.Target(5*time.Second, 0).Serving)
}

// The directory must not depend on the order in which announcements arrive.
func TestAnnouncementsConvergeInAnyOrder(t *testing.T) {
	call := netip.MustParseAddrPort("10.0.0.1:1")
	rapid.Check(t, func(t *rapid.T) {
		var all []directory.Announcement
		for start := range int64(3) {
			for sequence := range uint64(3) {
				all = append(all, directory.Announcement{Node: "n", StartUnixMS: start, Sequence: sequence, CallAddress: call})
			}
		}
		d := directory.New()
		for _, a := range rapid.Permutation(all).Draw(t, "order") {
			d.Update(a, 0)
		}
		got, ok := d.Get("n")
		require.True(t, ok)
		require.Equal(t, all[len(all)-1], got)
	})
}

// Requests must not be sent to a removed node whose address was reused.
func TestAddressBelongsToTheNodeThatStartedLast(t *testing.T) {
	call := netip.MustParseAddrPort("10.0.0.1:1")
	older := directory.Announcement{Node: "old", StartUnixMS: 1, CallAddress: call}
	newer := directory.Announcement{Node: "new", StartUnixMS: 2, CallAddress: call}
	for _, order := range [][]directory.Announcement{{older, newer}, {newer, older}} {
		d := directory.New()
		for _, a := range order {
			d.Update(a, 0)
		}
		require.Equal(t, []directory.Announcement{newer}, d.All())
	}
}

// Nodes that do not return must be removed, to bound the memory.
func TestUnresponsiveNodesExpire(t *testing.T) {
	d := directory.New()
	d.Update(directory.Announcement{Node: "n", CallAddress: netip.MustParseAddrPort("10.0.0.1:1")}, 0)
	d.MarkAlive("n", 0)
	require.Empty(t, d.Expire(directory.MemberLifetime))
	require.Len(t, d.Expire(directory.MemberLifetime+1), 1)
	require.Empty(t, d.All())
}

// A node must not count as alive because the store still holds its announcement.
// After the loss of all machines, a third of the announcements were of machines that
// were gone before, and each request sent there waited for a connection.
func TestNodeKnownOnlyFromTheStoreIsNotAlive(t *testing.T) {
	d := directory.New()
	d.Update(directory.Announcement{Node: "n", StartUnixMS: 1, CallAddress: netip.MustParseAddrPort("10.0.0.1:1")}, time.Second)
	require.Greater(t, d.SinceLastMessage("n", time.Second), 6*time.Second)
	d.Update(directory.Announcement{Node: "n", StartUnixMS: 2, CallAddress: netip.MustParseAddrPort("10.0.0.1:1")}, time.Second)
	require.Greater(t, d.SinceLastMessage("n", time.Second), 6*time.Second)
	d.MarkAlive("n", 2*time.Second)
	require.Zero(t, d.SinceLastMessage("n", 2*time.Second))
}

// Guards against an address index or a sorted list that differ from the members: each
// address belongs to one node, the one that started last.
func TestAddressesAndListFollowTheMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := directory.New()
		latest := map[netip.AddrPort]int64{}
		for i := range rapid.IntRange(1, 40).Draw(t, "updates") {
			a := directory.Announcement{
				Node: mesh.NodeID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")), Sequence: uint64(i + 1),
				StartUnixMS: rapid.Int64Range(1, 5).Draw(t, "start"),
				CallAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 3).Draw(t, "address"))}), 1),
			}
			if d.Update(a, 0) {
				latest[a.CallAddress] = a.StartUnixMS
			}
			seen := map[netip.AddrPort]bool{}
			all := d.All()
			require.Len(t, all, d.Len())
			for _, known := range all {
				require.False(t, seen[known.CallAddress], "two nodes with one address")
				seen[known.CallAddress] = true
				got, ok := d.Get(known.Node)
				require.True(t, ok)
				require.Equal(t, known, got)
				require.Equal(t, latest[known.CallAddress], known.StartUnixMS)
			}
		}
		d.Expire(2 * directory.MemberLifetime)
		require.Empty(t, d.All())
		require.True(t, d.Update(directory.Announcement{Node: "new", StartUnixMS: 1, CallAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 1)}, 0), "the address is free again")
	})
}

// Guards against a heartbeat of another writer with a sequence number that the target does not
// reach: its true heartbeats would be ignored, and it would count as gone.
func TestTargetServesAfterAHeartbeatWithAnOddSequence(t *testing.T) {
	l := newLocalTarget()
	require.True(t, l.HandleHeartbeat(heartbeat("x", 10, 5, false), 0, 0))
	require.True(t, l.HandleHeartbeat(heartbeat("x", 10, math.MaxUint64, false), 100*time.Millisecond, 0))
	for i := range 10 {
		now := time.Duration(i+1) * l.Interval
		l.HandleHeartbeat(heartbeat("x", 10, uint64(6+i), false), now, 0)
		require.True(t, l.Target(now, 0).Serving, "%s", now)
	}
}

// Guards against delayed heartbeats that count as recent: they arrive beside later ones.
func TestDelayedHeartbeatsDoNotReplaceLaterOnes(t *testing.T) {
	l := newLocalTarget()
	for i := range 5 {
		now := time.Duration(i) * l.Interval
		require.True(t, l.HandleHeartbeat(heartbeat("x", 10, uint64(100+i), false), now, 0))
		require.False(t, l.HandleHeartbeat(heartbeat("x", 10, uint64(10+i), false), now+l.Interval/2, 0))
	}
}
