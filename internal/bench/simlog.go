package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/snapshot"
)

// Limits of the simulated log service, as those of the stand-in.
const (
	appendsPerSecond = 300.0
	appendBurst      = 50.0
	retention        = 24 * time.Hour
)

// simLog is the log service.
type simLog struct {
	sim     *Simulation
	out     bool
	entries []distribution.Entry
	// snapshots is the snapshot stream.
	snapshots [][]byte
	polls     []simPoll
	tokens    float64
	refilled  time.Duration

	appends, refused, reads, snapshotReads, snapshotParts int64
	bytes                                                 int64
	second, inSecond, peakReads                           int64
}

// simPoll is a read that waits for an entry.
type simPoll struct {
	node    *simNode
	session int
	read    core.ReadLog
}

func newSimLog(s *Simulation) *simLog { return &simLog{sim: s, tokens: appendBurst} }

func (l *simLog) head() record.Revision { return record.Revision(len(l.entries)) }

func (l *simLog) reachable(n *simNode) bool { return !l.out && !l.sim.cut[n.info.Zone] }

// configure puts one route to each service into the log.
func (s *Simulation) configure() {
	for i := range s.services {
		service := fmt.Sprintf("service-%03d", i)
		for _, body := range []record.Body{
			record.PutService{Name: service, Version: "v1"},
			record.PutRoute{Name: service, Prefix: "/" + service, Service: service},
		} {
			id := fmt.Sprintf("setup-%s-%s", body.Kind(), service)
			data, err := record.Encode(record.Record{ID: id, Author: "setup", Base: s.log.head(), Body: body})
			if err != nil {
				panic(err)
			}
			s.log.entries = append(s.log.entries, distribution.Entry{Offset: s.log.head() + 1, Data: data})
		}
	}
}

func (l *simLog) take() bool {
	l.tokens = min(appendBurst, l.tokens+(l.sim.now-l.refilled).Seconds()*appendsPerSecond)
	l.refilled = l.sim.now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

func (l *simLog) append(n *simNode, e core.Append) {
	n.count(len(e.Data) + appendBytes)
	if !l.reachable(n) {
		n.later(2*time.Second, core.AppendResult{ID: e.ID, NotRun: true, Reason: "unreachable"})
		return
	}
	session := n.runs
	l.sim.schedule(platformDelay, func() {
		result := core.AppendResult{ID: e.ID, NotRun: true, Reason: "over the append rate"}
		if l.take() {
			l.appends++
			l.bytes += int64(len(e.Data))
			offset := l.head() + 1
			l.entries = append(l.entries, distribution.Entry{Offset: offset, Data: e.Data})
			if !strings.HasPrefix(e.ID, "announce/") {
				l.sim.traces.accepted(offset, l.sim.now)
			}
			result = core.AppendResult{ID: e.ID, Offset: offset}
			l.wake()
		} else {
			l.refused++
		}
		if n.runs == session {
			n.later(platformDelay, result)
		}
	})
}

// wake answers the reads that wait.
func (l *simLog) wake() {
	polls := l.polls
	l.polls = nil
	for _, p := range polls {
		l.answer(p)
	}
}

func (l *simLog) countRead() {
	l.reads++
	if second := int64(l.sim.now / time.Second); second != l.second {
		l.second, l.inSecond = second, 0
	}
	l.inSecond++
	l.peakReads = max(l.peakReads, l.inSecond)
}

func (l *simLog) read(n *simNode, r core.ReadLog) {
	p := simPoll{n, n.runs, r}
	l.polls = slices.DeleteFunc(l.polls, func(q simPoll) bool { return q.node == n })
	if !l.reachable(n) {
		n.later(time.Second, core.LogReadFailed{Read: r.Read, Reason: "unreachable"})
		return
	}
	l.sim.schedule(platformDelay, func() {
		l.countRead()
		if r.From <= l.head() || r.Wait == 0 {
			l.answer(p)
			return
		}
		l.polls = append(l.polls, p)
		l.sim.schedule(r.Wait, func() { l.expire(p) })
	})
}

func (l *simLog) expire(p simPoll) {
	i := slices.IndexFunc(l.polls, func(q simPoll) bool {
		return q.node == p.node && q.session == p.session && q.read.Read == p.read.Read
	})
	if i >= 0 {
		l.polls = slices.Delete(l.polls, i, i+1)
		l.answer(p)
	}
}

// answer sends a page. During an outage the answer is lost.
func (l *simLog) answer(p simPoll) {
	n := p.node
	if !l.reachable(n) || n.runs != p.session {
		return
	}
	from := min(int(p.read.From)-1, len(l.entries))
	entries := slices.Clone(l.entries[from:min(from+p.read.Max, len(l.entries))])
	var data [][]byte
	for _, e := range entries {
		data = append(data, e.Data)
	}
	size := pageBytes(data)
	l.bytes += int64(size)
	n.count(size)
	n.later(platformDelay, core.LogPage{
		Read: p.read.Read, First: 1, Next: l.head() + 1, Entries: entries, Retention: retention,
	})
}

func (l *simLog) readSnapshots(n *simNode, r core.ReadSnapshots) {
	if !l.reachable(n) {
		n.later(time.Second, core.LogReadFailed{Read: r.Read, Reason: "unreachable"})
		return
	}
	l.countRead()
	l.snapshotReads++
	var found distribution.Snapshot
	if revision, data, ok := snapshot.Join(l.snapshots); ok {
		found = distribution.Snapshot{Revision: revision, Data: data}
	}
	size := pageBytes(l.snapshots)
	l.bytes += int64(size)
	n.count(size)
	n.later(2*platformDelay, core.SnapshotRead{Read: r.Read, Snapshot: found})
}

func (l *simLog) appendSnapshot(n *simNode, e core.AppendSnapshot) {
	if !l.reachable(n) {
		n.later(time.Second, core.SnapshotAppended{Revision: e.Revision, Err: "unreachable"})
		return
	}
	data, err := snapshot.Encode(n.core.State())
	if err != nil {
		panic(err)
	}
	parts, err := snapshot.Split(e.Revision, data)
	if err != nil {
		panic(err)
	}
	for _, part := range parts {
		n.count(len(part) + appendBytes)
		l.bytes += int64(len(part))
	}
	l.snapshots = parts
	l.snapshotParts += int64(len(parts))
	n.later(2*platformDelay*time.Duration(len(parts)), core.SnapshotAppended{Revision: e.Revision})
}
