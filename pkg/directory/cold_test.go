package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/directory"
)

// Guards against a target that counts as warm after its zone returned, because of what it said
// before, and against one that stays cold although it says that it is not.
func TestPresumptionEndsWithTheNextReport(t *testing.T) {
	for _, report := range []string{"heartbeat", "health"} {
		l := newLocalTarget()
		l.PresumeCold(false, time.Hour)
		require.Zero(t, l.ColdUntil(0), "there is no target yet")
		require.True(t, l.HandleHeartbeat(beat(1_000, 1), 0, 1_000))
		require.Zero(t, l.Target(0, 1_000).ColdUntilUnixMS)
		l.PresumeCold(false, 7*time.Second)
		require.EqualValues(t, 8_000, l.Target(0, 1_000).ColdUntilUnixMS)
		if report == "health" {
			require.False(t, l.HandleHealth(directory.Process{ID: "t", StartUnixMS: 2_000}, 0, time.Second), "another process")
			require.True(t, l.HandleHealth(l.Target(0, 1_000).Process(), 2*time.Second, time.Second))
		} else {
			h := beat(1_000, 2)
			h.ColdRemaining = 2 * time.Second
			require.True(t, l.HandleHeartbeat(h, time.Second, 2_000))
		}
		require.Equal(t, 3*time.Second, l.ColdUntil(time.Second))
	}
}

// Guards against a late heartbeat of a crashed process that makes its successor, which has not
// reported yet, count as warm.
func TestLateHeartbeatDoesNotEndThePresumptionOfARestart(t *testing.T) {
	l := newLocalTarget()
	require.True(t, l.HandleHeartbeat(beat(1_000, 1), 0, 1_000))
	l.PresumeCold(true, 7*time.Second)
	require.True(t, l.HandleHeartbeat(beat(1_000, 2), 100*time.Millisecond, 1_100))
	require.Equal(t, 7*time.Second, l.ColdUntil(100*time.Millisecond))
	require.True(t, l.HandleHeartbeat(beat(1_000, 3), 200*time.Millisecond, 1_200))
	require.Equal(t, 7*time.Second, l.ColdUntil(200*time.Millisecond), "both may be late")
	require.False(t, l.HandleHealth(l.Target(0, 1_000).Process(), 0, 300*time.Millisecond), "its successor may have the same id")
	// The successor reports.
	h := beat(2_000, 1)
	h.ColdRemaining = 3 * time.Second
	require.True(t, l.HandleHeartbeat(h, time.Second, 2_000))
	require.Equal(t, 4*time.Second, l.ColdUntil(time.Second))
	// The same process goes on: its connections were lost for another reason.
	l.PresumeCold(true, 9*time.Second)
	require.True(t, l.HandleHeartbeat(beat(2_000, 2), 2*time.Second, 3_000))
	require.True(t, l.HandleHeartbeat(beat(2_000, 3), 3*time.Second, 4_000))
	require.Zero(t, l.ColdUntil(3*time.Second))
}
