package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/directory"
)

// startTime is the Unix time in milliseconds at the start of the node.
const startTime = 1_000_000

// wall is the time of the wall clock, in milliseconds, after a time on the node's clock.
func wall(now time.Duration) int64 { return startTime + now.Milliseconds() }

// Guards against a process that has left by a report without its start, and that its first heartbeat,
// which is late, puts into use: the report was taken for one of the former process of the target.
func TestReportEndsAProcessThatWasNotHeardOfYet(t *testing.T) {
	for name, leave := range map[string]func(l *directory.LocalTarget, former directory.Process, now time.Duration){
		"report": func(l *directory.LocalTarget, former directory.Process, now time.Duration) {
			l.MarkLeaving(former.ID, now, wall(now))
		},
		"signal in a response": func(l *directory.LocalTarget, former directory.Process, now time.Duration) {
			l.MarkSignaled(former, now, wall(now))
		},
	} {
		for _, known := range []bool{true, false} {
			if !known && name != "report" {
				continue
			}
			l := newLocalTarget()
			former := directory.Process{ID: "t", StartUnixMS: wall(0)}
			if known {
				require.True(t, l.HandleHeartbeat(beat(former.StartUnixMS, 1), 0, wall(0)))
			}
			leave(l, former, 5*time.Second)
			require.False(t, l.HandleHeartbeat(beat(wall(4*time.Second), 1), 7*time.Second, wall(7*time.Second)), "%s, known: %v", name, known)
			target := l.Target(7*time.Second, wall(7*time.Second))
			require.True(t, target == nil || !target.Serving, "%s, known: %v", name, known)
			require.GreaterOrEqual(t, l.LeftProcess("t").StartUnixMS, wall(4*time.Second), "the departure that is kept covers it")
			require.True(t, l.HandleHeartbeat(beat(wall(6*time.Second), 1), 7*time.Second, wall(7*time.Second)), "it started after the report")
		}
	}
}

// Guards against a process that a report does not cover because the clock was set back between its
// start and the report.
func TestReportAfterTheClockWasSetBackEndsAnEarlierProcess(t *testing.T) {
	l := newLocalTarget()
	require.True(t, l.HandleHeartbeat(beat(wall(0), 1), 0, wall(0)))
	started := wall(10 * time.Second)
	l.Target(10*time.Second, started)
	back := func(now time.Duration) int64 { return wall(now) - 5_000 }
	require.True(t, l.MarkLeaving("t", 11*time.Second, back(11*time.Second)))
	require.False(t, l.HandleHeartbeat(beat(started, 1), 12*time.Second, back(12*time.Second)))
	require.False(t, l.Target(12*time.Second, back(12*time.Second)).Serving)
}

// Guards against a report without a start that is late and takes a later process of the target out of
// use for good, and against one that late heartbeats undo. The process is used again once heartbeats go
// on that cannot have been sent before the report, and it says that it is healthy.
func TestProcessThatOutlivesAReportIsUsedAgain(t *testing.T) {
	for name, start := range map[string]int64{
		"the report was of a former process":  wall(2 * time.Second),
		"the clock was set back before":       wall(-3 * time.Second),
		"it started just after by its clock":  wall(5*time.Second) + 50,
		"its heartbeats do not say its start": 0,
	} {
		l := newLocalTarget()
		require.True(t, l.HandleHeartbeat(beat(wall(0), 9), 0, wall(0)))
		sequence := uint64(0)
		if name == "the report was of a former process" {
			sequence++
			require.True(t, l.HandleHeartbeat(beat(start, sequence), 3*time.Second, wall(3*time.Second)))
		}
		require.True(t, l.MarkLeaving("t", 5*time.Second, wall(5*time.Second)))
		returned := time.Duration(0)
		for now := 6 * time.Second; now < 30*time.Second && returned == 0; now += l.Interval {
			sequence++
			require.False(t, l.HandleHeartbeat(beat(start, sequence), now, wall(now)), name)
			if p, ok := l.Returning(); ok {
				_, other := l.ConfirmReturn(directory.Process{ID: p.ID, StartUnixMS: p.StartUnixMS + 1}, now)
				require.False(t, other)
				h, ok := l.ConfirmReturn(p, now)
				require.True(t, ok, name)
				require.Equal(t, sequence, h.Sequence)
				returned = now
			}
		}
		if name == "it started just after by its clock" {
			require.Equal(t, 6*time.Second, returned, name)
		} else {
			require.GreaterOrEqual(t, returned, 13*time.Second, name)
			require.LessOrEqual(t, returned, 15*time.Second, name)
		}
		require.True(t, l.Target(returned, wall(returned)).Serving, name)
		next := returned + l.Interval
		require.True(t, l.HandleHeartbeat(beat(start, sequence+1), next, wall(next)), name)
		// Its own departure ends it.
		require.True(t, l.MarkLeaving("t", next, wall(next)), name)
		require.False(t, l.Target(next, wall(next)).Serving, name)
		require.False(t, l.HandleHeartbeat(beat(start, sequence+2), next+l.Interval, wall(next+l.Interval)), name)
	}
}

// Guards against a report that is repeated until it is confirmed and that is a new departure each time,
// which the confirmation never catches up with.
func TestRepeatedReportIsTheSameDeparture(t *testing.T) {
	l := newLocalTarget()
	require.True(t, l.HandleHeartbeat(beat(wall(0), 1), 0, wall(0)))
	require.True(t, l.MarkLeaving("t", 5*time.Second, wall(5*time.Second)))
	left := l.LeftProcess("t")
	require.True(t, l.MarkLeaving("t", 6*time.Second, wall(6*time.Second)))
	require.Equal(t, left, l.LeftProcess("t"))
	require.True(t, l.HandleHeartbeat(beat(wall(5800*time.Millisecond), 1), 6100*time.Millisecond, wall(6100*time.Millisecond)))
	require.True(t, l.MarkLeaving("t", 6200*time.Millisecond, wall(6200*time.Millisecond)), "the next process leaves as well")
	require.False(t, l.Target(6200*time.Millisecond, wall(6200*time.Millisecond)).Serving)
}

// Guards against any order of late heartbeats, reports and steps of the clock in which a process that
// left is used: each process sends heartbeats until it leaves or ends, and all of them are late by up to
// three seconds.
func TestProcessThatLeftIsNotUsedInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLocalTarget()
		type delivery struct {
			at time.Duration
			h  directory.Heartbeat
		}
		var deliveries []delivery
		step := rapid.Int64Range(-4_000, 4_000).Draw(t, "clock step, ms")
		stepAt := time.Duration(rapid.IntRange(0, 8_000).Draw(t, "step at, ms")) * time.Millisecond
		clock := func(now time.Duration) int64 {
			if now >= stepAt {
				return wall(now) + step
			}
			return wall(now)
		}
		firstEnd := time.Duration(rapid.IntRange(500, 4_000).Draw(t, "end of the first, ms")) * time.Millisecond
		secondStart := firstEnd + time.Duration(rapid.IntRange(100, 2_000).Draw(t, "start of the second, ms"))*time.Millisecond
		left := secondStart + time.Duration(rapid.IntRange(100, 3_000).Draw(t, "departure, ms"))*time.Millisecond
		for _, p := range []struct{ start, end time.Duration }{{0, firstEnd}, {secondStart, left}} {
			for at, sequence := p.start, uint64(1); at < p.end; at, sequence = at+l.Interval, sequence+1 {
				late := time.Duration(rapid.IntRange(0, 3_000).Draw(t, "delay, ms")) * time.Millisecond
				deliveries = append(deliveries, delivery{at + late, beat(clock(p.start), sequence)})
			}
		}
		for now := time.Duration(0); now < left+5*time.Second; now += 50 * time.Millisecond {
			if now >= left && now-50*time.Millisecond < left {
				l.MarkLeaving("t", now, clock(now))
			}
			for _, d := range deliveries {
				if d.at < now && d.at >= now-50*time.Millisecond {
					l.HandleHeartbeat(d.h, now, clock(now))
				}
			}
			if target := l.Target(now, clock(now)); now >= left+50*time.Millisecond {
				require.True(t, target == nil || !target.Serving, "at %s, left at %s", now, left)
			}
			_, returning := l.Returning()
			require.False(t, returning, "at %s, left at %s", now, left)
		}
	})
}
