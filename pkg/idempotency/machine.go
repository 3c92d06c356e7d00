package idempotency

import (
	"fmt"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Machine is the key owner of one node session. It is not safe for concurrent use.
type Machine struct {
	config   Config
	revision record.Revision
	view     Slots
	slots    [state.KeySlotCount]slotState
	live     []mesh.NodeID
	// preferred are the live nodes that claim slots first; nil until needed.
	preferred []mesh.NodeID
	// confirmed is AsOf of the last HeadConfirmed.
	confirmed time.Duration
	started   time.Duration
	hasTime   bool

	nonce     uint64
	sequence  uint64
	renewedAt time.Duration
	// renewals holds the time of sending of renewals without an outcome.
	renewals map[uint64]time.Duration

	memory memory
	stop   stopState
}

// slotState is what this node knows about one slot beyond the log.
type slotState struct {
	// seen is when the last claim, renewal or release was read.
	seen time.Duration
	// claimID is the record id of a claim without an outcome, sent at claimedAt.
	claimID   string
	claimedAt time.Duration
	// leaseFrom is when the last accepted claim or renewal was sent.
	leaseFrom time.Duration
	// refuseUntil ends the time in which keys of an earlier owner may come.
	refuseUntil time.Duration
	inherited   *inheritance
}

// New returns a machine that owns nothing.
func New(c Config) *Machine {
	return &Machine{config: c, renewals: map[uint64]time.Duration{}, memory: newMemory(c)}
}

// Step handles one event. Times must not decrease from one event to the next.
func (m *Machine) Step(e Event) []Effect {
	if !m.hasTime {
		m.hasTime, m.started = true, e.at()
	}
	m.memory.expire(e.at())
	switch e := e.(type) {
	case Tick:
		return m.tick(e.Now)
	case RecordApplied:
		return m.applied(e)
	case SnapshotLoaded:
		return m.loaded(e)
	case HeadConfirmed:
		m.confirmed = max(m.confirmed, e.AsOf)
		return nil
	case MembersChanged:
		m.live, m.preferred = e.Live, nil
		return nil
	case Request:
		return m.request(e)
	case RequestCanceled:
		m.memory.dropWaiter(e.ID)
		return nil
	case ExecutionFinished:
		return append(m.finished(e), m.proceedStop(e.Now)...)
	case HandoverReceived:
		return m.handoverReceived(e)
	case HandoverReplied:
		return m.handoverAnswered(e)
	case StopRequested:
		return m.stopRequested(e)
	default:
		panic(fmt.Sprintf("event without a rule: %T", e))
	}
}

// Stats reports the memory in use.
func (m *Machine) Stats() (keys, bytes int) { return m.memory.count(), m.memory.bytes }

// OwnedSlots reports how many slots this session owns in the log.
func (m *Machine) OwnedSlots() int {
	owned := 0
	for i := range m.view {
		if m.owns(i) {
			owned++
		}
	}
	return owned
}

// owns reports whether the log gives the slot to this session.
func (m *Machine) owns(i int) bool {
	s := m.view[i]
	return s.Epoch != 0 && !s.Released && s.Owner == string(m.config.Node) && s.Session == string(m.config.Session)
}

// mayExecute reports whether the lease holds now.
func (m *Machine) mayExecute(i int, now time.Duration) bool {
	return m.owns(i) && m.stop.phase == running && now < m.slots[i].leaseFrom+m.config.Lease
}

func (m *Machine) newRecord(body record.Body, presumes record.Revision) record.Record {
	m.sequence++
	return record.Record{
		ID:     fmt.Sprintf("%s/%s/keys/%d", m.config.Node, m.config.Session, m.sequence),
		Author: string(m.config.Node), Base: m.revision, ExpectedRevision: presumes, Body: body,
	}
}
