package directory_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/directory"
)

func beat(start int64, sequence uint64) directory.Heartbeat {
	return directory.Heartbeat{ID: "t", Address: address, Service: "a", Version: "v1", Slots: 2, StartUnixMS: start, Sequence: sequence}
}

// Guards against a target that is never used again: its machine's clock was set back, and
// it restarted with an earlier start time than its former process.
func TestTargetThatRestartsAfterTheClockWasSetBackIsUsed(t *testing.T) {
	l := newLocalTarget()
	require.True(t, l.HandleHeartbeat(beat(10_000, 7), 0, 10_000))
	require.False(t, l.HandleHeartbeat(beat(4_000, 1), 2*time.Second, 4_500), "it may be a delayed one")
	require.True(t, l.HandleHeartbeat(beat(4_000, 2), 3*time.Second, 5_500))
	require.True(t, l.Target(3*time.Second, 5_500).Serving)
	// The former process never returns, whatever its clock says.
	require.False(t, l.HandleHeartbeat(beat(10_000, 8), 4*time.Second, 6_500))
	require.False(t, l.HandleHeartbeat(beat(10_000, 9), 9*time.Second, 11_500))
}

// Guards against a former process of a target that comes back to life through heartbeats
// that were delayed and arrive together, or while the present one is heard.
func TestDelayedHeartbeatsDoNotBringAFormerProcessBack(t *testing.T) {
	l := newLocalTarget()
	require.True(t, l.HandleHeartbeat(beat(10_000, 1), 0, 10_000))
	for sequence := uint64(1); sequence < 9; sequence++ {
		require.False(t, l.HandleHeartbeat(beat(4_000, sequence), 3*time.Second, 13_000))
	}
	for at, sequence := 3100*time.Millisecond, uint64(2); sequence < 9; at, sequence = at+time.Second, sequence+1 {
		require.True(t, l.HandleHeartbeat(beat(10_000, sequence), at, 13_100))
		require.False(t, l.HandleHeartbeat(beat(4_000, 10+sequence), at+600*time.Millisecond, 13_700))
	}
}

// Guards against a node that cannot get its address, because the node that had it before
// started later by its clock; and against an old record that takes an address away.
func TestLiveNodeGetsTheAddressOfASilentOne(t *testing.T) {
	call := netip.MustParseAddrPort("10.0.0.1:1")
	before := directory.Announcement{Node: "before", StartUnixMS: 9_000, CallAddress: call}
	after := directory.Announcement{Node: "after", StartUnixMS: 3_000, CallAddress: call}
	d := directory.New()
	d.Update(before, 0)
	d.MarkAlive("before", 0)
	require.False(t, d.UpdateFromNode(after, time.Second), "the owner was heard a second ago")
	require.False(t, d.Update(after, 20*time.Second), "a record does not show that its node lives")
	require.True(t, d.UpdateFromNode(after, 20*time.Second))
	require.Equal(t, []directory.Announcement{after}, d.All())
}
