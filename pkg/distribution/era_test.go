package distribution

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/record"
)

// readTo makes a reader receive the entries up to an offset in the first era of the log.
func (l *harness) readTo(t *testing.T, last record.Revision) {
	l.at += time.Second
	reads := effectsOf[ReadLog](l.step(Tick{Now: l.at}))
	if len(reads) == 0 {
		reads = []ReadLog{{Read: l.log.lastReadID}}
	}
	l.step(LogPage{Now: l.at, Read: reads[0].Read, Era: 1, First: 1, Next: last + 1, Entries: entries(1, last, 1)})
	require.Equal(t, last, l.Status().Applied)
	require.True(t, l.Status().Ready)
}

// Guards against a node that reads on, or takes entries from other nodes, after the log was
// restored from an older copy: entries below its revision are others than those that it applied,
// and nodes with the same revision would have different states.
func TestNodeStopsAtItsRevisionWhenTheLogWasRestored(t *testing.T) {
	for name, c := range map[string]struct {
		event  func(l *harness) Event
		before uint64
	}{
		"beyond the end, log without eras": {func(l *harness) Event { return LogOutOfRange{Now: l.at, Read: l.log.lastReadID, First: 1, Next: 3} }, 1},
		"beyond the end": {func(l *harness) Event {
			return LogOutOfRange{Now: l.at, Read: l.log.lastReadID, Era: 2, First: 1, Next: 3}
		}, 1},
		"at the end": {func(l *harness) Event { return LogPage{Now: l.at, Read: l.log.lastReadID, Era: 2, First: 1, Next: 6} }, 1},
		"below the end": {func(l *harness) Event {
			return LogPage{Now: l.at, Read: l.log.lastReadID, Era: 2, First: 1, Next: 8, Entries: entries(6, 7, 1)}
		}, 1},
		"push of another node": {func(l *harness) Event {
			p := push(entries(6, 7, 1))
			p.Now, p.Push.Era = l.at, 2
			return p
		}, 1},
		"request of another node": {func(l *harness) Event {
			return PullReceived{Now: l.at, Request: PullRequest{From: "n0", ID: 1, Era: 2}}
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := newHarness(0)
			l.readTo(t, 5)
			l.at += time.Second
			l.step(Tick{Now: l.at})
			effects := l.step(c.event(l))
			restored := effectsOf[LogRestored](effects)
			require.Len(t, restored, 1)
			require.EqualValues(t, 5, restored[0].Revision)
			require.Equal(t, c.before, restored[0].Before)
			require.Empty(t, effectsOf[SendResponse](effects))
			status := l.Status()
			require.EqualValues(t, 5, status.Applied, "what is in force stays in force")
			require.True(t, status.Ready, "calls are still served")
			require.True(t, status.LogRestored)
			require.True(t, status.PlatformUnavailable)
			l.at += 10 * time.Second
			effects = l.step(Tick{Now: l.at})
			require.Empty(t, effectsOf[ReadLog](effects))
			p := push(entries(6, 9, 1))
			p.Now = l.at
			l.step(p)
			require.EqualValues(t, 5, l.Status().Applied)
		})
	}
}

// Guards against a node that starts after a restoration and takes entries of the former era
// from another node.
func TestEntriesOfAnEarlierEraAreIgnored(t *testing.T) {
	l := newHarness(1)
	p := push(entries(1, 2, 1))
	p.Push.Era = 2
	l.step(p)
	require.EqualValues(t, 2, l.Status().Applied)
	p = push(entries(3, 9, 1))
	p.Push.Era = 1
	l.step(p)
	require.EqualValues(t, 2, l.Status().Applied)
	require.False(t, l.Status().LogRestored)
}
