package idempotency

import (
	"fmt"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Machine manages the key slots owned by one node session. It is not safe for concurrent
// use.
type Machine struct {
	config   Config
	revision record.Revision
	logSlots Slots
	slots    [state.KeySlotCount]slotState
	live     []mesh.NodeID
	// preferred holds the live nodes that claim slots first; nil until computed.
	preferred []mesh.NodeID
	// confirmedAt is AsOf of the last HeadConfirmed.
	confirmedAt time.Duration
	startedAt   time.Duration
	started     bool

	renewalNonce   uint64
	recordSequence uint64
	lastRenewalAt  time.Duration
	// pendingRenewals maps the nonces of renewals without an outcome to the time they were
	// sent.
	pendingRenewals map[uint64]time.Duration

	store keyStore
	stop  stopState
}

// slotState is the local state of a slot that is not in the log.
type slotState struct {
	// lastSeenAt is when the last claim, renewal or release of the slot was read.
	lastSeenAt time.Duration
	// claimID is the record ID of a claim without an outcome, sent at claimedAt.
	claimID   string
	claimedAt time.Duration
	// leaseStart is when the last accepted claim or renewal was sent.
	leaseStart time.Duration
	// refuseUnknownUntil is when keys of an earlier owner can no longer be retried. Until
	// then unknown keys are refused, since they may have run.
	refuseUnknownUntil time.Duration
	inherited          *inheritedSlot
}

// New returns a machine that owns no slots.
func New(c Config) *Machine {
	return &Machine{config: c, pendingRenewals: map[uint64]time.Duration{}, store: newKeyStore(c)}
}

// Step handles an event. Event times must not decrease.
func (m *Machine) Step(e Event) []Effect {
	if !m.started {
		m.started, m.startedAt = true, e.at()
	}
	m.store.expire(e.at())
	switch e := e.(type) {
	case Tick:
		return m.handleTick(e.Now)
	case RecordApplied:
		return m.handleRecordApplied(e)
	case SnapshotLoaded:
		return m.handleSnapshotLoaded(e)
	case HeadConfirmed:
		m.confirmedAt = max(m.confirmedAt, e.AsOf)
		return nil
	case MembersChanged:
		m.live, m.preferred = e.Live, nil
		return nil
	case Request:
		return m.handleRequest(e)
	case RequestCanceled:
		m.store.dropWaiter(e.ID)
		return nil
	case ExecutionFinished:
		return append(m.handleExecutionFinished(e), m.advanceStop(e.Now)...)
	case HandoverReceived:
		return m.handleHandoverReceived(e)
	case HandoverReplied:
		return m.handleHandoverReplied(e)
	case StopRequested:
		return m.handleStopRequested(e)
	default:
		panic(fmt.Sprintf("unknown event type %T", e))
	}
}

// Stats returns the number and size of the stored keys.
func (m *Machine) Stats() (keys, bytes int) { return m.store.count(), m.store.bytes }

// OwnedSlots returns the number of slots that this session owns according to the log.
func (m *Machine) OwnedSlots() int {
	owned := 0
	for i := range m.logSlots {
		if m.owns(i) {
			owned++
		}
	}
	return owned
}

// owns reports whether this session owns the slot according to the log.
func (m *Machine) owns(i int) bool {
	s := m.logSlots[i]
	return s.Epoch != 0 && !s.Released && s.Owner == string(m.config.Node) && s.Session == string(m.config.Session)
}

// mayExecute reports whether this session owns the slot, its lease is valid and it is not
// stopping.
func (m *Machine) mayExecute(i int, now time.Duration) bool {
	return m.owns(i) && m.stop.phase == phaseRunning && now < m.slots[i].leaseStart+m.config.Lease
}

func (m *Machine) newRecord(body record.Body, expected record.Revision) record.Record {
	m.recordSequence++
	return record.Record{
		ID:     fmt.Sprintf("%s/%s/keys/%d", m.config.Node, m.config.Session, m.recordSequence),
		Author: string(m.config.Node), Base: m.revision, ExpectedRevision: expected, Body: body,
	}
}
