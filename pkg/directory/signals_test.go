package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/directory"
)

// Guards against forgetting that a target leaves: a later response does not take it back, and
// only so many newer processes push it out of the bounded memory.
func TestLeavingSignalDoesNotEnd(t *testing.T) {
	table := directory.NewSignalTable()
	p := directory.Process{ID: "t", StartUnixMS: 1}
	require.True(t, table.Update(p, directory.Signals{Leaving: true, Limited: true, RateLimit: 2}))
	require.False(t, table.Update(p, directory.Signals{Limited: true, RateLimit: 2}))
	require.True(t, table.Update(p, directory.Signals{}))
	require.Equal(t, directory.Signals{Leaving: true}, table.Of(p))
	require.Zero(t, table.Of(directory.Process{ID: "t", StartUnixMS: 2}), "a later process is another target")
	for i := range 1023 {
		table.Update(directory.Process{ID: fmt.Sprint(i)}, directory.Signals{Limited: true})
	}
	require.True(t, table.Of(p).Leaving)
	table.Update(directory.Process{ID: "one more"}, directory.Signals{Limited: true})
	require.False(t, table.Of(p).Leaving)
	require.Len(t, table.All(), 1024)
}

// Guards against a leaving signal of a former process that is taken for one of the process
// that runs now under the same id.
func TestLeavingSignalCountsForItsProcessOnly(t *testing.T) {
	l := newLocalTarget()
	require.True(t, l.HandleHeartbeat(beat(2_000, 1), 0, 2_000))
	require.False(t, l.MarkSignaled(directory.Process{ID: "t", StartUnixMS: 1_000}, 0, 2_100))
	require.True(t, l.Target(0, 2_100).Serving)
	require.True(t, l.MarkSignaled(l.Target(0, 2_100).Process(), 0, 2_200))
	require.False(t, l.Target(0, 2_200).Serving)
	require.False(t, l.HandleHeartbeat(beat(2_000, 2), 0, 2_300))
	require.False(t, l.Target(0, 2_300).Serving, "a heartbeat of the same process does not take it back")
}

// Guards against a delayed heartbeat that brings a target back because the memory of former
// targets was emptied when it was full.
func TestFormerTargetsAreForgottenOneByOne(t *testing.T) {
	l := newLocalTarget()
	for i := range 100 {
		h := beat(int64(1_000+i), 1)
		h.ID = fmt.Sprint(i)
		require.True(t, l.HandleHeartbeat(h, time.Duration(i), int64(1_000+i)))
		require.True(t, l.MarkLeaving(h.ID, time.Duration(i), int64(1_000+i)))
	}
	// Two heartbeats some time apart, while the last target is silent, would be taken for a
	// process that started after the clock was set back.
	for i := 98; i > 40; i-- {
		for sequence, at := range []time.Duration{time.Minute, 2 * time.Minute} {
			h := beat(int64(1_000+i), uint64(2+sequence))
			h.ID = fmt.Sprint(i)
			require.False(t, l.HandleHeartbeat(h, at, 2_000), "target %d", i)
		}
	}
}
