package convergence

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// newRecord stands for a record that old binaries do not support.
const newRecord = "new"

// platform is the log service.
type platform struct {
	pump *pump
	out  bool
	// first is the oldest offset kept.
	first   record.Revision
	entries []distribution.Entry
	// digests holds the digest of the log up to each offset.
	digests  []uint64
	snapshot distribution.Snapshot
	polls    []poll
}

// poll is a read that waits for an entry.
type poll struct {
	node    *node
	session int
	read    distribution.ReadLog
}

func newPlatform(p *pump) platform { return platform{pump: p, first: 1, digests: []uint64{0}} }

func (l *platform) head() record.Revision { return record.Revision(len(l.entries)) }

// fold extends the digest of a log prefix by one entry.
func fold(digest uint64, data []byte) uint64 {
	return xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, digest), data...))
}

// append accepts an entry and answers the waiting reads.
func (l *platform) append(data string) record.Revision {
	e := distribution.Entry{Offset: l.head() + 1, Data: []byte(data)}
	l.entries = append(l.entries, e)
	l.digests = append(l.digests, fold(l.digests[len(l.digests)-1], e.Data))
	polls := l.polls
	l.polls = nil
	for _, p := range polls {
		l.answer(p)
	}
	return e.Offset
}

// appendSnapshot puts a snapshot of the head into the snapshot stream.
func (l *platform) appendSnapshot() {
	l.snapshot = snapshotOf(l.head(), l.digests[l.head()])
}

func snapshotOf(revision record.Revision, digest uint64) distribution.Snapshot {
	data, err := json.Marshal(digest)
	if err != nil {
		panic(err)
	}
	return distribution.Snapshot{Revision: revision, Data: data}
}

func (l *platform) unreachable(n *node) bool {
	return l.out || l.pump.faults.noPlatform[n.info.Zone]
}

// deliver hands the answer of the platform to a node, if its session lasts.
func (l *platform) deliver(p poll, after time.Duration, e func(now time.Duration) distribution.Event) {
	n := p.node
	l.pump.schedule(l.pump.now+after, func() {
		if n.runs == p.session {
			n.handle(func() { n.stepDist(e(n.now())) })
		}
	})
}

func (l *platform) read(n *node, r distribution.ReadLog) {
	p := poll{n, n.runs, r}
	if l.unreachable(n) {
		l.fail(p)
		return
	}
	if r.From > l.head() && r.Wait > 0 {
		l.polls = append(l.polls, p)
		l.pump.schedule(l.pump.now+r.Wait, func() { l.expire(p) })
		return
	}
	l.answer(p)
}

func (l *platform) expire(p poll) {
	i := slices.IndexFunc(l.polls, func(q poll) bool { return q.node == p.node && q.read.Read == p.read.Read })
	if i >= 0 {
		l.polls = slices.Delete(l.polls, i, i+1)
		l.answer(p)
	}
}

func (l *platform) fail(p poll) {
	l.deliver(p, 50*time.Millisecond, func(now time.Duration) distribution.Event {
		return distribution.LogError{Now: now, Read: p.read.Read, Reason: "unavailable"}
	})
}

// answer sends the entries. During an outage the answer is lost and the read
// never ends by itself.
func (l *platform) answer(p poll) {
	if l.unreachable(p.node) {
		return
	}
	first, next := l.first, l.head()+1
	if p.read.From < first {
		l.deliver(p, l.pump.latency(), func(now time.Duration) distribution.Event {
			return distribution.LogOutOfRange{Now: now, Read: p.read.Read, First: first, Next: next}
		})
		return
	}
	from := min(int(p.read.From)-1, len(l.entries))
	entries := slices.Clone(l.entries[from:min(from+p.read.Max, len(l.entries))])
	l.deliver(p, l.pump.latency(), func(now time.Duration) distribution.Event {
		return distribution.LogPage{Now: now, Read: p.read.Read, First: first, Next: next, Entries: entries}
	})
}

func (l *platform) readSnapshot(n *node, r distribution.ReadSnapshotStream) {
	p := poll{n, n.runs, distribution.ReadLog{Read: r.Read}}
	if l.unreachable(n) {
		l.fail(p)
		return
	}
	snapshot := l.snapshot
	l.deliver(p, l.pump.latency(), func(now time.Duration) distribution.Event {
		return distribution.SnapshotRead{Now: now, Read: r.Read, Snapshot: snapshot}
	})
}

// stepDist handles an event and carries out the effects.
func (n *node) stepDist(e distribution.Event) {
	p := n.pump
	for _, effect := range n.dist.Step(e) {
		switch f := effect.(type) {
		case distribution.ReadLog:
			p.platform.read(n, f)
		case distribution.ReadSnapshotStream:
			p.platform.readSnapshot(n, f)
		case distribution.SendPush:
			n.transmitTo(f.To, f.Push)
		case distribution.SendPull:
			n.transmitTo(f.To, f.Request)
		case distribution.SendResponse:
			n.transmitTo(f.To, f.Response)
		case distribution.SendSnapshot:
			f.Response.Snapshot = &distribution.Snapshot{}
			*f.Response.Snapshot = snapshotOf(n.revision, n.digest)
			n.transmitTo(f.To, f.Response)
			p.schedule(p.now+50*time.Millisecond, func() {
				n.handle(func() { n.stepDist(distribution.TransferDone{Now: n.now(), To: f.To}) })
			})
		case distribution.ApplyEntries:
			n.apply(f.Entries)
		case distribution.InstallSnapshot:
			n.install(f.Snapshot)
		case distribution.SetReady:
			n.setReady(f)
		case distribution.RangeLost:
			n.rangeLost++
		}
	}
}

func (n *node) transmitTo(to mesh.NodeID, msg any) { n.pump.transmit(n, n.pump.nodes[to], msg) }

// later reports the result of an apply effect as the adapter does: after the
// step that asked for it.
func (n *node) later(nack string) {
	session, revision := n.runs, n.revision
	n.pump.schedule(n.pump.now, func() {
		if !n.up || n.runs != session {
			return
		}
		n.stepDist(distribution.Applied{Now: n.now(), Revision: revision, NACK: nack})
		n.stepMember(membershipApplied(n.now(), revision, nack))
	})
}

func (n *node) apply(entries []distribution.Entry) {
	for _, e := range entries {
		if e.Offset != n.revision+1 {
			n.pump.violate("%s applies %d after %d", n.info.ID, e.Offset, n.revision)
		}
		if n.old && string(e.Data) == newRecord {
			n.later("unsupported record")
			return
		}
		n.revision, n.digest = e.Offset, fold(n.digest, e.Data)
		n.checkPrefix()
	}
	n.later("")
}

func (n *node) install(s distribution.Snapshot) {
	if s.Revision <= n.revision {
		n.pump.violate("%s installs snapshot %d over %d", n.info.ID, s.Revision, n.revision)
	}
	n.revision = s.Revision
	if err := json.Unmarshal(s.Data, &n.digest); err != nil {
		panic(fmt.Sprintf("snapshot data: %v", err))
	}
	n.checkPrefix()
	n.later("")
}

// checkPrefix guards against a state that is not the reduction of the log.
func (n *node) checkPrefix() {
	if l := &n.pump.platform; n.revision > l.head() || l.digests[n.revision] != n.digest {
		n.pump.violate("%s holds a state at %d that is not the log's", n.info.ID, n.revision)
	}
}

// setReady guards against a node that serves with less than its zone had in
// force. Nodes that went down or were paused since then are not counted, even if
// they run again: they may have been held for dead when the node got ready, and
// the rule asks for the members that are known to be alive.
func (n *node) setReady(f distribution.SetReady) {
	n.ready = f.Ready
	if !f.Ready {
		return
	}
	for _, at := range n.floor {
		if at.node.up && at.node.runs == at.run && at.node.pauses == at.pauses && n.revision < at.revision {
			n.pump.violate("%s is ready at %d, %s had %d in force", n.info.ID, n.revision, at.node.info.ID, at.revision)
		}
	}
}
