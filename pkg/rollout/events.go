package rollout

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Event is an input of Controller and Breaker. Each ignores the events that do not
// concern it, so the caller may pass every event to both.
type Event interface{ rolloutEvent() }

// Tick reports the current time. The caller sends one at least every 1 s.
type Tick struct {
	// Now is monotonic.
	Now time.Duration
	// UnixMS is the wall clock time in milliseconds, in which deadlines are stated.
	UnixMS int64
}

// RolloutChanged reports the reducer's state of a rollout after each record that
// changed it, and once after the Controller or Breaker was created.
type RolloutChanged struct {
	Now     time.Duration
	UnixMS  int64
	Rollout state.Rollout
	// Revision is the node's revision, used as the base of records.
	Revision record.Revision
}

// CandidatesChanged reports the nodes that this node considers alive and that may hold
// a rollout, including this node.
type CandidatesChanged struct {
	Now  time.Duration
	Live []mesh.NodeID
}

// PlatformRead reports a successful read of the log up to its head. The platform counts
// as readable for PlatformReadMaxAge afterwards.
type PlatformRead struct {
	Now      time.Duration
	Revision record.Revision
}

// ZonesChanged reports the zones whose evidence the holder requires: those with live
// targets of either version.
type ZonesChanged struct {
	Now   time.Duration
	Zones []mesh.AvailabilityZone
}

// EvidenceReceived carries the running totals of one source since its session began, so
// that a lost message does no harm. A source also reports when it counted nothing, so
// that no traffic can be told from missing evidence.
type EvidenceReceived struct {
	Now     time.Duration
	Source  mesh.NodeID
	Session mesh.SessionID
	// Zone is the zone of the source.
	Zone mesh.AvailabilityZone
	// Sequence increases with each message of the session; older messages are dropped.
	Sequence uint64
	Totals   Evidence
	// Aggregate is set if Totals covers all nodes of the zone, as the totals of the
	// zone's first reader do in a large mesh. Readers may overlap briefly, so the
	// holder accepts one aggregating source per zone until the zone's evidence is missing
	// for EvidenceTimeout. Totals without Aggregate must not be included in the totals of
	// another source.
	Aggregate bool
}

// LocalEvidence carries the counts of this node since its previous LocalEvidence. The
// node sends one within 500 ms of a counted call, and need not send empty ones.
type LocalEvidence struct {
	Now   time.Duration
	Delta Evidence
}

// CutReceived reports a cut made by another node.
type CutReceived struct {
	Now time.Duration
	Cut Cut
}

// HolderStatusReceived reports a status message of the rollout's holder under the given
// epoch. It counts as progress of the holder.
type HolderStatusReceived struct {
	Now     time.Duration
	Rollout record.RolloutID
	Epoch   record.Epoch
}

// AppendResult reports the outcome of a record requested by AppendRecord.
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
