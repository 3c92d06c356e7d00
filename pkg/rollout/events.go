package rollout

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Event is an input of Controller and Breaker. A machine ignores the events that do
// not concern it, so the caller may offer every event to both.
type Event interface{ rolloutEvent() }

// Tick lets time pass. The caller sends one at least every 1 s.
type Tick struct {
	// Now is monotonic.
	Now time.Duration
	// UnixMS is the wall clock in milliseconds, which deadlines are stated in.
	UnixMS int64
}

// RolloutChanged reports the reducer's view of a rollout after each record that
// changed it, and once after the machine was created.
type RolloutChanged struct {
	Now     time.Duration
	UnixMS  int64
	Rollout state.Rollout
	// Revision is the node's revision, used as the base of records.
	Revision record.Revision
}

// CandidatesChanged reports the nodes that are alive in this node's view and
// may hold a rollout, including this node.
type CandidatesChanged struct {
	Now  time.Duration
	Live []mesh.NodeID
}

// PlatformRead reports a successful read of the log up to its head. The platform
// counts as readable for PlatformReadMaxAge after it.
type PlatformRead struct {
	Now      time.Duration
	Revision record.Revision
}

// ZonesChanged reports the zones whose evidence the holder waits for: those
// with live targets of either version.
type ZonesChanged struct {
	Now   time.Duration
	Zones []mesh.AvailabilityZone
}

// EvidenceReceived carries the running totals of one source since its session
// began. Totals make a lost message harmless. A source reports also when
// nothing was counted, so that silence is told from missing evidence.
type EvidenceReceived struct {
	Now     time.Duration
	Source  mesh.NodeID
	Session mesh.SessionID
	// Zone is the zone of the source.
	Zone mesh.AvailabilityZone
	// Sequence grows with each message of the session; older ones are dropped.
	Sequence uint64
	Totals   Evidence
	// Aggregate is set if Totals sums up all nodes of the zone, as its first reader
	// does at full size. Readers may overlap for a moment, so that the holder takes
	// one aggregating source per zone until it is silent for EvidenceTimeout. Totals
	// that are no aggregate must not be counted in those of another source.
	Aggregate bool
}

// LocalEvidence carries what this node counted since its last LocalEvidence.
// The node sends one within 500 ms of a counted call, and need not send empty ones.
type LocalEvidence struct {
	Now   time.Duration
	Delta Evidence
}

// CutReceived reports a cut by another node.
type CutReceived struct {
	Now time.Duration
	Cut Cut
}

// HolderStatusReceived reports a status message of the rollout's holder, sent under the
// given epoch. It counts as progress of the holder.
type HolderStatusReceived struct {
	Now     time.Duration
	Rollout record.RolloutID
	Epoch   record.Epoch
}

// AppendResult reports the outcome of a record that the machine asked to append.
type AppendResult struct {
	Now     time.Duration
	ID      string
	Outcome state.Outcome
}

func (Tick) rolloutEvent()                 {}
func (RolloutChanged) rolloutEvent()       {}
func (CandidatesChanged) rolloutEvent()    {}
func (PlatformRead) rolloutEvent()         {}
func (ZonesChanged) rolloutEvent()         {}
func (EvidenceReceived) rolloutEvent()     {}
func (LocalEvidence) rolloutEvent()        {}
func (CutReceived) rolloutEvent()          {}
func (HolderStatusReceived) rolloutEvent() {}
func (AppendResult) rolloutEvent()         {}
