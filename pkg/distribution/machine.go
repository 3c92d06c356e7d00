package distribution

import (
	"math"
	"math/rand/v2"
	"time"

	"heathercroft.example/heathercroft/pkg/record"
)

// Machine is the distribution logic of one node. It is owned by one goroutine.
type Machine struct {
	cfg Config
	rng *rand.Rand
	now time.Duration
	out []Effect

	applied record.Revision
	nack    string
	// era is the era of the log from which this node has received entries, 0 if unknown.
	// restored is set once the log has another one, newEra, 0 if unknown.
	era, newEra uint64
	restored    bool
	// applying is set until the adapter answers ApplyEntries or InstallSnapshot.
	applying bool
	// installing is set while applying a snapshot.
	installing bool
	buffer     buffer

	peers     peers
	pushes    pushes
	log       logReader
	pulls     pulls
	transfers transfers
	ready     readiness
}

// Status is the state of the machine.
type Status struct {
	// Applied is the revision in force, ContiguousOffset the newest offset up to which all
	// entries were received.
	Applied, ContiguousOffset record.Revision
	NACK                      string
	Ready                     bool
	Reason                    string
	Reader                    bool
	// PlatformUnavailable is set while the reads of this node have failed for
	// OutageThreshold. A ready node that is not a reader does not read.
	PlatformUnavailable bool
	// LogRestored is set once the log was restored from an older copy.
	LogRestored bool
}

// New returns a machine at revision 0 that is not ready.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(cfg.Source), buffer: newBuffer(), pushes: newPushes(), transfers: newTransfers(), ready: newReadiness()}
	// Request ids start at random values, so that a late answer to a previous
	// session does not match a request of this one.
	m.log.lastReadID = m.rng.Uint64N(math.MaxUint32)
	m.pulls = newPulls(m.rng.Uint64N(math.MaxUint32))
	m.setPeers(nil)
	return m
}

// Step handles one event and returns the effects in the order in which they
// have to be executed.
func (m *Machine) Step(event Event) []Effect {
	m.now = max(m.now, event.now())
	switch e := event.(type) {
	case Tick:
	case LogPage:
		m.logPage(e)
	case LogError:
		m.logError(e.Read)
	case LogOutOfRange:
		m.logOutOfRange(e)
	case SnapshotRead:
		m.snapshotRead(e)
	case PushReceived:
		m.handlePush(e.Push)
	case PullReceived:
		m.handlePullRequest(e.Request)
	case PullResponseReceived:
		m.handlePullResponse(e.Response)
	case MembersChanged:
		m.setPeers(e.Peers)
	case Applied:
		m.stateApplied(e)
	case TransferDone:
		m.transfers.done(e.To)
	}
	m.runPushes()
	m.runReads()
	m.runPulls()
	m.apply()
	m.updateReadiness()
	out := m.out
	m.out = nil
	return out
}

// Status returns the current status.
func (m *Machine) Status() Status {
	return Status{
		Applied: m.applied, ContiguousOffset: m.buffer.contiguous, NACK: m.nack, Ready: m.ready.ready, Reason: m.ready.reason,
		Reader: m.peers.reader, PlatformUnavailable: m.restored || m.log.unavailable(m.now), LogRestored: m.restored,
	}
}

// ingest adds entries to the buffer and returns the new ones. Those after a gap
// are held back.
func (m *Machine) ingest(entries []Entry) []Entry {
	applied := m.applied
	if m.nack != "" {
		// A node that cannot apply a record still relays, so its buffer advances.
		applied = m.buffer.contiguous
	}
	return m.buffer.add(entries, applied)
}

// apply hands the entries after the applied revision to the adapter.
func (m *Machine) apply() {
	if m.applying || m.nack != "" {
		return
	}
	if entries := m.buffer.after(m.applied, 0, MaxApplyEntries); len(entries) > 0 {
		m.applying = true
		m.emit(ApplyEntries{Entries: entries})
	}
}

// install hands a snapshot to the adapter if it is newer than all entries. A
// node that cannot apply a record does not skip it by installing a snapshot, but
// relays the entries that follow the snapshot.
func (m *Machine) install(s Snapshot) {
	if s.Revision <= m.buffer.contiguous {
		return
	}
	if m.nack != "" {
		m.buffer.rebase(s.Revision)
		return
	}
	if m.applying {
		return
	}
	m.applying, m.installing = true, true
	m.emit(InstallSnapshot{Snapshot: s})
}

func (m *Machine) stateApplied(e Applied) {
	m.applying, m.installing = false, false
	if e.Revision < m.applied {
		return
	}
	m.applied, m.nack = e.Revision, e.NACK
	m.buffer.rebase(m.applied)
	m.buffer.trim(m.applied)
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

// backoff returns a delay with full jitter and a bound that doubles with the
// attempts.
func (m *Machine) backoff(attempts int, limit time.Duration) time.Duration {
	bound := min(limit, 2*BackoffMin<<min(attempts, 10))
	return BackoffMin + time.Duration(m.rng.Int64N(int64(bound-BackoffMin)))
}
