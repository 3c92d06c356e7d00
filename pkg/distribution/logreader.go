package distribution

import (
	"time"

	"heathercroft.example/heathercroft/pkg/record"
)

// logReader is the state of the reads from the platform.
type logReader struct {
	lastReadID uint64
	// pending is set while a read is unanswered.
	pending  bool
	snapshot bool
	started  time.Duration
	deadline time.Duration
	next     time.Duration
	attempts int
	// failing is set since failingSince, the time of the first error after a
	// success.
	failing      bool
	failingSince time.Duration
	// headKnown is set once a read that started after New was answered; head is
	// the newest offset then.
	headKnown bool
	head      record.Revision
	// outOfRange is set while the platform no longer keeps the offset wanted.
	outOfRange      bool
	requestedOffset record.Revision
}

// unavailable reports whether reads have failed for OutageThreshold.
func (l *logReader) unavailable(now time.Duration) bool {
	return l.failing && now-l.failingSince >= OutageThreshold
}

func (l *logReader) readNow(now time.Duration) {
	if !l.failing {
		l.next = now
	}
}

// replacePending replaces a pending read after the other reader changed: the two
// no longer cover for each other if the answers to their pending reads are lost.
func (l *logReader) replacePending(now time.Duration) {
	if l.pending && !l.failing && !l.snapshot {
		l.pending, l.next = false, now
	}
}

func (l *logReader) succeeded() {
	l.pending, l.failing, l.attempts = false, false, 0
}

// runReads keeps a read pending on a reader. A node that is not a reader only reads
// the head, until it is ready.
func (m *Machine) runReads() {
	l := &m.log
	if l.pending && m.now >= l.deadline {
		m.logError(l.lastReadID)
	}
	if l.pending || m.now < l.next || m.installing || m.restored {
		// The next offset is unknown while a snapshot is being installed.
		return
	}
	switch {
	case m.peers.reader && l.outOfRange:
		m.startRead(0)
		l.snapshot = true
		m.emit(ReadSnapshotStream{Read: l.lastReadID})
	case m.peers.reader && !m.buffer.full(m.droppableRevision()):
		wait := time.Duration(0)
		if l.headKnown && !l.failing {
			// The loss of the response to a long poll is noticed only after its wait.
			wait = m.readWait()
		}
		m.startRead(wait)
		m.emit(ReadLog{Read: l.lastReadID, From: m.buffer.contiguous + 1, Max: MaxReadEntries, Wait: wait})
	case !m.peers.reader && !m.ready.ready && !l.headKnown:
		m.startRead(0)
		m.emit(ReadLog{Read: l.lastReadID, From: m.buffer.contiguous + 1, Max: 1})
	}
}

func (m *Machine) droppableRevision() record.Revision {
	if m.nack != "" {
		return m.buffer.contiguous
	}
	return m.applied
}

func (m *Machine) readWait() time.Duration {
	if m.peers.primary {
		return LongPollWait
	}
	return SecondaryLongPollWait
}

func (m *Machine) startRead(wait time.Duration) {
	l := &m.log
	l.lastReadID++
	l.pending, l.snapshot, l.started, l.deadline = true, false, m.now, m.now+wait+ReadTimeoutMargin
}

func (m *Machine) logPage(e LogPage) {
	l := &m.log
	if !l.pending || l.snapshot || e.Read != l.lastReadID {
		return
	}
	l.succeeded()
	if !m.inEra(e.Era, e.Next) {
		return
	}
	m.updateHead(e.Next)
	l.outOfRange = false
	l.next = m.now
	if len(e.Entries) == 0 {
		l.next = max(m.now, l.started+EmptyReadInterval)
	}
	m.pushFromLog(m.ingest(e.Entries))
}

func (m *Machine) updateHead(next record.Revision) {
	if next > 0 {
		m.log.headKnown, m.log.head = true, max(m.log.head, next-1)
	}
}

func (m *Machine) logError(read uint64) {
	l := &m.log
	if !l.pending || read != l.lastReadID {
		return
	}
	l.pending = false
	if !l.failing {
		l.failing, l.failingSince = true, m.now
	}
	limit := BackoffMax
	if m.peers.reader {
		limit = ReaderBackoffMax
	}
	l.next = m.now + m.backoff(l.attempts, limit)
	l.attempts++
}

// logOutOfRange makes a reader look for a snapshot. The response still contains
// the platform's head.
func (m *Machine) logOutOfRange(e LogOutOfRange) {
	l := &m.log
	if !l.pending || l.snapshot || e.Read != l.lastReadID {
		return
	}
	l.succeeded()
	if !m.inEra(e.Era, e.Next) {
		return
	}
	if e.Next > 0 && e.Next <= m.buffer.contiguous {
		m.logRestored(e.Era, e.Next)
		return
	}
	m.updateHead(e.Next)
	if !m.peers.reader {
		return
	}
	l.outOfRange, l.requestedOffset = true, m.buffer.contiguous+1
	m.emit(RangeLost{RequestedOffset: l.requestedOffset, FirstRetained: e.First})
}

// snapshotRead installs the snapshot if it is newer, and continues to read after
// it. If that offset is not retained either, or there is no snapshot, the node
// stays at its revision, and the next read reports RangeLost again.
func (m *Machine) snapshotRead(e SnapshotRead) {
	l := &m.log
	if !l.pending || !l.snapshot || e.Read != l.lastReadID {
		return
	}
	l.succeeded()
	l.outOfRange = false
	l.next = m.now
	if e.Snapshot.Revision < l.requestedOffset && m.buffer.contiguous < l.requestedOffset {
		l.next = m.now + m.backoff(7, BackoffMax)
		return
	}
	m.install(e.Snapshot)
}
