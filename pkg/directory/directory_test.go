package directory_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/directory"
)

const address = "10.0.0.1:80"

func local() *directory.LocalTarget {
	return &directory.LocalTarget{Address: address, Service: "a", Interval: time.Second}
}

func beat(id string, born int64, sequence uint64, draining bool) directory.Heartbeat {
	return directory.Heartbeat{
		ID: id, Address: address, Service: "a", Version: "v1", Slots: 2, StartUnixMS: born, Sequence: sequence, Draining: draining,
	}
}

// Guards against a target that is used again after it said that it leaves,
// because of a heartbeat that was overtaken on the way.
func TestLateHeartbeatDoesNotBringALeavingTargetBack(t *testing.T) {
	l := local()
	require.True(t, l.HandleHeartbeat(beat("x", 10, 5, true), 0, 0))
	require.False(t, l.HandleHeartbeat(beat("x", 10, 4, false), 0, 0))
	require.False(t, l.Target(0, 0).Serving)
	require.True(t, l.HandleHeartbeat(beat("x", 10, 6, false), 0, 0))
	require.False(t, l.Target(0, 0).Serving, "one start of a target leaves once")
}

// Guards against the loss of a leaving that was overtaken by a later heartbeat.
func TestOvertakenDrainingCounts(t *testing.T) {
	l := local()
	require.True(t, l.HandleHeartbeat(beat("x", 10, 5, false), 0, 0))
	require.True(t, l.HandleHeartbeat(beat("x", 10, 4, true), 0, 0))
	require.False(t, l.Target(0, 0).Serving)
}

// Guards against heartbeats of an earlier start that a partition delayed.
func TestHeartbeatOfAnEarlierStartIsIgnored(t *testing.T) {
	l := local()
	require.True(t, l.HandleHeartbeat(beat("new", 20, 1, false), 0, 0))
	require.False(t, l.HandleHeartbeat(beat("old", 10, 99, false), 0, 0))
	require.Equal(t, "new", l.Target(0, 0).ID)
}

// Guards a target that starts again under the same id: its counts start anew.
func TestSameIDWithALaterStartServesAgain(t *testing.T) {
	l := local()
	require.True(t, l.HandleHeartbeat(beat("x", 10, 7, false), 0, 0))
	require.True(t, l.MarkLeaving("x", 15))
	require.False(t, l.Target(0, 0).Serving)
	require.False(t, l.HandleHeartbeat(beat("x", 10, 8, false), 0, 0))
	require.True(t, l.HandleHeartbeat(beat("x", 20, 1, false), 0, 0))
	require.True(t, l.Target(0, 0).Serving)
}

// Guards a node that restarted and hears first that its target leaves.
func TestLeavingBeforeTheFirstHeartbeat(t *testing.T) {
	l := local()
	require.False(t, l.MarkLeaving("x", 15))
	require.False(t, l.HandleHeartbeat(beat("x", 10, 8, false), 0, 16))
	require.Nil(t, l.Target(0, 0))
}

// Guards against heartbeats of other targets and other services.
func TestForeignHeartbeatsAreIgnored(t *testing.T) {
	l := local()
	h := beat("x", 1, 1, false)
	h.Address = "10.0.0.9:80"
	require.False(t, l.HandleHeartbeat(h, 0, 0))
	h = beat("x", 1, 1, false)
	h.Service = "b"
	require.False(t, l.HandleHeartbeat(h, 0, 0))
	require.Nil(t, l.Target(0, 0))
}

// Guards against requests to a target that went silent or refuses connections,
// and against one that stays out after it is heard again.
func TestSilentAndBrokenTargetsAreOutUntilHeardAgain(t *testing.T) {
	l := local()
	l.HandleHeartbeat(beat("x", 1, 1, false), 0, 0)
	require.False(t, l.Target(5*time.Second, 0).Serving)
	l.HandleHeartbeat(beat("x", 1, 2, false), 5*time.Second, 0)
	l.MarkUnreachable(5 * time.Second)
	require.False(t, l.Target(5*time.Second, 0).Serving)
	l.HandleHeartbeat(beat("x", 1, 3, false), 5*time.Second, 0)
	require.True(t, l.Target(5*time.Second, 0).Serving)
}

// Guards against copies that differ after the same announcements in another order.
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

// Guards against requests to a node that went, at an address that is used again.
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

// Guards the memory: nodes that went for good are dropped.
func TestSilentNodesExpire(t *testing.T) {
	d := directory.New()
	d.Update(directory.Announcement{Node: "n", CallAddress: netip.MustParseAddrPort("10.0.0.1:1")}, 0)
	d.MarkAlive("n", 0)
	require.Empty(t, d.Expire(directory.MemberLifetime))
	require.Len(t, d.Expire(directory.MemberLifetime+1), 1)
	require.Empty(t, d.All())
}

// Guards against a node that is taken for alive because the store still holds what it
// wrote: after the loss of all machines, a third of the records were of machines that had
// gone before, and each request sent there waited for a connection.
func TestNodeKnownFromTheStoreOnlyIsSilent(t *testing.T) {
	d := directory.New()
	d.Update(directory.Announcement{Node: "n", StartUnixMS: 1, CallAddress: netip.MustParseAddrPort("10.0.0.1:1")}, time.Second)
	require.Greater(t, d.SinceLastMessage("n", time.Second), 6*time.Second)
	d.Update(directory.Announcement{Node: "n", StartUnixMS: 2, CallAddress: netip.MustParseAddrPort("10.0.0.1:1")}, time.Second)
	require.Greater(t, d.SinceLastMessage("n", time.Second), 6*time.Second)
	d.MarkAlive("n", 2*time.Second)
	require.Zero(t, d.SinceLastMessage("n", 2*time.Second))
}
