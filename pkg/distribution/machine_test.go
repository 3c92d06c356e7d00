package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

func entries(from, to record.Revision, size int) []Entry {
	var list []Entry
	for o := from; o <= to; o++ {
		list = append(list, Entry{Offset: o, Data: make([]byte, size)})
	}
	return list
}

// harness is a machine whose apply effects are answered immediately.
type harness struct {
	*Machine
	at      time.Duration
	applied record.Revision
	nackAt  record.Revision
}

func newHarness(peers int) *harness {
	l := &harness{Machine: New(Config{Self: "self", Zone: "a", Source: rand.NewPCG(1, 1)})}
	var list []Peer
	for i := range peers {
		list = append(list, Peer{ID: mesh.NodeID(fmt.Sprintf("n%d", i)), Zone: "a"})
	}
	l.step(MembersChanged{Peers: list})
	return l
}

// step handles an event and returns all effects but the apply ones.
func (l *harness) step(e Event) []Effect {
	var rest []Effect
	for _, effect := range l.Step(e) {
		switch f := effect.(type) {
		case ApplyEntries:
			nack := ""
			for _, entry := range f.Entries {
				if entry.Offset == l.nackAt {
					nack = "unsupported"
					break
				}
				l.applied = entry.Offset
			}
			rest = append(rest, l.step(Applied{Now: l.at, Revision: l.applied, NACK: nack})...)
		case InstallSnapshot:
			l.applied = f.Snapshot.Revision
			rest = append(rest, l.step(Applied{Now: l.at, Revision: l.applied})...)
		default:
			rest = append(rest, effect)
		}
	}
	return rest
}

func effectsOf[T Effect](effects []Effect) []T {
	var list []T
	for _, e := range effects {
		if f, ok := e.(T); ok {
			list = append(list, f)
		}
	}
	return list
}

func push(list []Entry) PushReceived {
	return PushReceived{Push: Push{From: "n0", Root: "n0", Entries: list}}
}

// TestBufferBounds guards against an unbounded buffer and against entries
// that are trimmed before they are applied.
func TestBufferBounds(t *testing.T) {
	l := newHarness(1)
	for o := record.Revision(1); o <= 3*MaxBufferEntries; o += 512 {
		l.step(push(entries(o, o+511, 10)))
	}
	require.Len(t, l.buffer.entries, MaxBufferEntries)
	require.Equal(t, record.Revision(3*MaxBufferEntries), l.applied)
	l = newHarness(1)
	l.step(push(entries(1, 100, 100<<10)))
	require.LessOrEqual(t, l.buffer.bytes, MaxBufferBytes)
	require.Less(t, len(l.buffer.entries), 100)

	slow := newHarness(1)
	slow.Step(push(entries(1, 3*MaxBufferEntries, 10)))
	require.Equal(t, record.Revision(1), slow.buffer.first())
	require.Len(t, slow.buffer.entries, MaxBufferEntries)
}

// TestGap guards against entries applied after a gap, and against a gap that is
// never requested.
func TestGap(t *testing.T) {
	l := newHarness(4)
	effects := l.step(push(entries(3, 4, 1)))
	require.Equal(t, record.Revision(0), l.applied)
	pulls := effectsOf[SendPull](effects)
	require.NotEmpty(t, pulls)
	require.Equal(t, record.Revision(3), pulls[0].Request.Limit)
	require.Equal(t, mesh.NodeID("n0"), pulls[0].To)
	l.step(PullResponseReceived{Response: PullResponse{From: "n0", ID: pulls[0].Request.ID, ContiguousOffset: 4, Entries: entries(1, 2, 1)}})
	require.Equal(t, record.Revision(4), l.applied)
}

// TestAnyOrder guards against entries that are skipped, applied twice or lost
// when they arrive in any order with duplicates.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newHarness(2)
		last := record.Revision(0)
		arrive := func(offset int) {
			for _, e := range l.Step(push(entries(record.Revision(offset), record.Revision(offset), 1))) {
				if a, ok := e.(ApplyEntries); ok {
					for _, entry := range a.Entries {
						require.Equal(t, last+1, entry.Offset)
						last = entry.Offset
					}
					l.Step(Applied{Revision: last})
				}
			}
		}
		for _, offset := range rapid.SliceOf(rapid.IntRange(1, 30)).Draw(t, "offsets") {
			arrive(offset)
		}
		for offset := range 30 {
			arrive(offset + 1)
		}
		for range 30 {
			arrive(1)
		}
		require.Equal(t, record.Revision(30), last)
	})
}

// TestNACK guards against a node that skips a record it cannot apply, through
// later entries or a snapshot, and against one that stops relaying.
func TestNACK(t *testing.T) {
	l := newHarness(30)
	l.nackAt = 3
	l.step(push(entries(1, 4, 1)))
	require.Equal(t, record.Revision(2), l.Status().Applied)
	require.Equal(t, "unsupported", l.Status().NACK)
	require.NotEmpty(t, effectsOf[SendPush](l.step(PushReceived{Push: Push{From: "n1", Root: "self", Entries: entries(5, 6, 1)}})))
	responses := effectsOf[SendResponse](l.step(PullReceived{Request: PullRequest{From: "n1", ContiguousOffset: 2}}))
	require.Len(t, responses[0].Response.Entries, 4)
	require.Equal(t, "unsupported", responses[0].Response.NACK)
	l.install(Snapshot{Revision: 40})
	require.Empty(t, effectsOf[InstallSnapshot](l.out))
	require.Equal(t, record.Revision(2), l.Status().Applied)
	require.Equal(t, record.Revision(40), l.Status().ContiguousOffset)
}

// TestPullBounds guards against a response over its size limit, and against a
// limit that excludes a single large entry.
func TestPullBounds(t *testing.T) {
	l := newHarness(1)
	l.step(push(entries(1, 8, 100<<10)))
	l.step(push(entries(9, 9, MaxResponseBytes+1)))
	r := effectsOf[SendResponse](l.step(PullReceived{Request: PullRequest{From: "n0"}}))[0].Response
	require.Len(t, r.Entries, 2)
	r = effectsOf[SendResponse](l.step(PullReceived{Request: PullRequest{From: "n0", ContiguousOffset: 8}}))[0].Response
	require.Len(t, r.Entries, 1)
}

// TestTransferAdmission guards against more concurrent snapshot transfers than the
// limit, and against transfers that are never released.
func TestTransferAdmission(t *testing.T) {
	l := newHarness(1)
	for o := record.Revision(1); o <= 2*MaxBufferEntries; o += 512 {
		l.step(push(entries(o, o+511, 1)))
	}
	ask := func(i int) (snapshots, busy int) {
		effects := l.step(PullReceived{Now: l.at, Request: PullRequest{From: mesh.NodeID(fmt.Sprintf("m%d", i))}})
		for _, r := range effectsOf[SendResponse](effects) {
			if r.Response.RetryAfterMS > 0 {
				busy++
			}
		}
		return len(effectsOf[SendSnapshot](effects)), busy
	}
	for i := range MaxConcurrentTransfers {
		sent, _ := ask(i)
		require.Equal(t, 1, sent)
	}
	sent, busy := ask(20)
	require.Equal(t, []int{0, 1}, []int{sent, busy})
	l.step(TransferDone{Now: l.at, To: "m0"})
	sent, _ = ask(20)
	require.Equal(t, 1, sent)
	l.at += TransferTimeout
	sent, _ = ask(21)
	require.Equal(t, 1, sent)
}

// TestReadBackoff guards against reads that overload an unavailable platform.
func TestReadBackoff(t *testing.T) {
	l := newHarness(0)
	reads := 0
	for l.at < time.Minute {
		l.at += 100 * time.Millisecond
		for _, r := range effectsOf[ReadLog](l.step(Tick{Now: l.at})) {
			reads++
			l.step(LogError{Now: l.at, Read: r.Read})
		}
	}
	require.True(t, l.Status().PlatformUnavailable)
	require.Greater(t, reads, 15)
	require.Less(t, reads, 60)
}

// Guards against a second lost response that delays a change beyond the bound on convergence: the
// read after a failure must not be a long poll, whose loss is noticed only seconds later.
func TestReadAfterALostResponseDoesNotWaitForRecords(t *testing.T) {
	l := newHarness(0)
	var read ReadLog
	step := func(e Event) {
		for _, r := range effectsOf[ReadLog](l.step(e)) {
			read = r
		}
	}
	advance := func(until func() bool) {
		for !until() {
			l.at += 100 * time.Millisecond
			require.Less(t, l.at, time.Minute)
			step(Tick{Now: l.at})
		}
	}
	advance(func() bool { return read.Read > 0 })
	step(LogPage{Now: l.at, Read: read.Read, First: 1, Next: 1})
	advance(func() bool { return read.Wait > 0 })
	poll, sentAt := read, l.at
	advance(func() bool { return read.Read != poll.Read })
	require.Zero(t, read.Wait)
	lost := read
	advance(func() bool { return read.Read != lost.Read })
	step(LogPage{Now: l.at, Read: read.Read, First: 1, Next: 2, Entries: entries(1, 1, 1)})
	require.EqualValues(t, 1, l.applied)
	const convergenceBound = 9 * time.Second
	require.Less(t, l.at-sentAt, convergenceBound, "two responses in a row were lost")
	advance(func() bool { return read.Wait > 0 })
}

// TestReadinessRule guards against a node that becomes ready too early.
func TestReadinessRule(t *testing.T) {
	runOutage := func(l *harness) []SendPull {
		var pulls []SendPull
		for l.at < 20*time.Second {
			l.at += 100 * time.Millisecond
			effects := l.step(Tick{Now: l.at})
			for _, r := range effectsOf[ReadLog](effects) {
				l.step(LogError{Now: l.at, Read: r.Read})
			}
			pulls = append(pulls, effectsOf[SendPull](effects)...)
		}
		return pulls
	}
	answered := make(map[uint64]bool)
	answer := func(l *harness, pulls []SendPull, r PullResponse) {
		for _, p := range pulls {
			if p.To == r.From && p.Request.StatusOnly && !answered[p.Request.ID] {
				r.ID = p.Request.ID
				break
			}
		}
		answered[r.ID] = true
		l.step(PullResponseReceived{Now: l.at, Response: r})
	}
	members := []mesh.NodeID{"n0", "n1", "self"}

	alone := newHarness(0)
	runOutage(alone)
	require.Equal(t, ReasonNoPeer, alone.Status().Reason)

	l := newHarness(2)
	pulls := runOutage(l)
	answer(l, pulls, PullResponse{From: "n0", Members: members, Ready: true})
	require.Equal(t, ReasonPeersMissing, l.Status().Reason)
	answer(l, pulls, PullResponse{From: "n1", Members: members, ContiguousOffset: 2, Applied: 2, Ready: true})
	require.Equal(t, ReasonBehindPeers, l.Status().Reason)
	l.step(push(entries(1, 2, 1)))
	require.True(t, l.Status().Ready)

	l = newHarness(2)
	clear(answered)
	pulls = runOutage(l)
	answer(l, pulls, PullResponse{From: "n0", Members: members})
	answer(l, pulls, PullResponse{From: "n1", Members: append(members, "n2")})
	require.Equal(t, ReasonPeersMissing, l.Status().Reason, "n2 is known to n1 only")
	answer(l, pulls, PullResponse{From: "n1", Members: members})
	require.Equal(t, ReasonNoReadyPeer, l.Status().Reason, "all restarted")

	l = newHarness(2)
	read := effectsOf[ReadLog](l.step(Tick{Now: time.Second}))
	if len(read) == 0 {
		read = []ReadLog{{Read: l.log.lastReadID}}
	}
	l.step(LogPage{Now: time.Second, Read: read[0].Read, First: 1, Next: 3, Entries: entries(1, 1, 1)})
	require.Equal(t, ReasonBehindPlatform, l.Status().Reason)
	l.step(push(entries(2, 2, 1)))
	require.True(t, l.Status().Ready)
}

// TestRangeLost guards against a reader that continues after a range of the log
// that is no longer retained, and against one that does not report the loss.
func TestRangeLost(t *testing.T) {
	l := newHarness(0)
	lost, snapshots := 0, 0
	run := func(stored record.Revision) {
		for end := l.at + 30*time.Second; l.at < end; {
			l.at += 100 * time.Millisecond
			effects := l.step(Tick{Now: l.at})
			for _, r := range effectsOf[ReadLog](effects) {
				if r.From < 50 {
					effects = append(effects, l.step(LogOutOfRange{Now: l.at, Read: r.Read, First: 50, Next: 61})...)
				}
			}
			lost += len(effectsOf[RangeLost](effects))
			for _, r := range effectsOf[ReadSnapshotStream](effects) {
				snapshots++
				l.step(SnapshotRead{Now: l.at, Read: r.Read, Snapshot: Snapshot{Revision: stored}})
			}
		}
	}
	run(0)
	require.Equal(t, record.Revision(0), l.applied)
	require.Greater(t, lost, 1)
	require.Less(t, snapshots, 60)
	run(55)
	require.Equal(t, record.Revision(55), l.applied)
}
