package distribution

import (
	"time"

	"heathercroft.example/heathercroft/pkg/record"
)

// logReader is the state of the reads of the platform.
type logReader struct {
	number uint64
	// open is set while a read has no answer.
	open     bool
	snapshot bool
	started  time.Duration
	deadline time.Duration
	next     time.Duration
	attempts int
	// failing is set since failed, the time of the first error after a success.
	failing bool
	failed  time.Duration
	// headKnown is set once a read that started after New was answered; head is
	// the newest offset then.
	headKnown bool
	head      record.Revision
	// lost is set while the platform no longer keeps the offset wanted.
	lost   bool
	wanted record.Revision
}

// out reports whether the platform has failed for OutageAfter.
func (l *logReader) out(now time.Duration) bool {
	return l.failing && now-l.failed >= OutageAfter
}

func (l *logReader) promoted(now time.Duration) {
	if !l.failing {
		l.next = now
	}
}

// renew replaces an open read after the other reader changed: the two no longer
// cover for each other if the answers to their open reads are lost.
func (l *logReader) renew(now time.Duration) {
	if l.open && !l.failing && !l.snapshot {
		l.open, l.next = false, now
	}
}

func (l *logReader) succeeded() {
	l.open, l.failing, l.attempts = false, false, 0
}

// runReads keeps a read open on a reader. A node that is no reader only asks
// for the head, until it is ready.
func (m *Machine) runReads() {
	l := &m.log
	if l.open && m.now >= l.deadline {
		m.logError(l.number)
	}
	if l.open || m.now < l.next || m.installing {
		// During an installation the next offset is not known yet.
		return
	}
	switch {
	case m.peers.reader && l.lost:
		m.openRead(0)
		l.snapshot = true
		m.emit(ReadSnapshotStream{Read: l.number})
	case m.peers.reader && !m.buffer.full(m.appliedOrRelayed()):
		wait := time.Duration(0)
		if l.headKnown {
			wait = m.readWait()
		}
		m.openRead(wait)
		m.emit(ReadLog{Read: l.number, From: m.buffer.have + 1, Max: ReadMax, Wait: wait})
	case !m.peers.reader && !m.ready.ready && !l.headKnown:
		m.openRead(0)
		m.emit(ReadLog{Read: l.number, From: m.buffer.have + 1, Max: 1})
	}
}

func (m *Machine) appliedOrRelayed() record.Revision {
	if m.nack != "" {
		return m.buffer.have
	}
	return m.applied
}

func (m *Machine) readWait() time.Duration {
	if m.peers.first {
		return ReadWait
	}
	return SecondReadWait
}

func (m *Machine) openRead(wait time.Duration) {
	l := &m.log
	l.number++
	l.open, l.snapshot, l.started, l.deadline = true, false, m.now, m.now+wait+ReadSlack
}

func (m *Machine) logPage(e LogPage) {
	l := &m.log
	if !l.open || l.snapshot || e.Read != l.number {
		return
	}
	l.succeeded()
	m.learnHead(e.Next)
	l.lost = false
	l.next = m.now
	if len(e.Entries) == 0 {
		l.next = max(m.now, l.started+EmptyReadInterval)
	}
	m.pushRead(m.ingest(e.Entries))
}

func (m *Machine) learnHead(next record.Revision) {
	if next > 0 {
		m.log.headKnown, m.log.head = true, max(m.log.head, next-1)
	}
}

func (m *Machine) logError(read uint64) {
	l := &m.log
	if !l.open || read != l.number {
		return
	}
	l.open = false
	if !l.failing {
		l.failing, l.failed = true, m.now
	}
	limit := BackoffMax
	if m.peers.reader {
		limit = ReaderBackoffMax
	}
	l.next = m.now + m.backoff(l.attempts, limit)
	l.attempts++
}

// logOutOfRange starts the search for a snapshot. The platform's head is known
// nevertheless.
func (m *Machine) logOutOfRange(e LogOutOfRange) {
	l := &m.log
	if !l.open || l.snapshot || e.Read != l.number {
		return
	}
	l.succeeded()
	m.learnHead(e.Next)
	if !m.peers.reader {
		return
	}
	l.lost, l.wanted = true, m.buffer.have+1
	m.emit(RangeLost{RequestedOffset: l.wanted, FirstRetained: e.First})
}

// snapshotRead installs the snapshot if it is newer, and reads on after it. If
// that offset is not kept either, or there is no snapshot, the node stays at its
// revision, and the next read reports the loss again.
func (m *Machine) snapshotRead(e SnapshotRead) {
	l := &m.log
	if !l.open || !l.snapshot || e.Read != l.number {
		return
	}
	l.succeeded()
	l.lost = false
	l.next = m.now
	if e.Snapshot.Revision < l.wanted && m.buffer.have < l.wanted {
		l.next = m.now + m.backoff(7, BackoffMax)
		return
	}
	m.install(e.Snapshot)
}
