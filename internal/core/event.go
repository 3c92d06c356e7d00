// Package core implements the reducer of a node. Every input of the node is an
// Event; Step passes it once through the state machines of pkg and returns the
// effects as data. The package does no I/O, reads no clock and starts no goroutine.
package core

import (
	"time"

	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
)

// Time is the time of an event.
type Time struct {
	// Now is monotonic, since the start of the process.
	Now time.Duration
	// UnixMS is the wall clock in milliseconds.
	UnixMS int64
}

// Event is an input of the reducer.
type Event interface{ coreEvent() }

// Tick drives timers. The adapter sends one every TickInterval.
type Tick struct{}

// Started is the first event of a process.
type Started struct{}

// Leave reports that the node was asked to stop.
type Leave struct{}

// TargetAnnounced is an announcement of the local target.
type TargetAnnounced struct{ Target mesh.Target }

// TargetSignaledLeaving reports that a response of the local target says that it is shutting
// down.
type TargetSignaledLeaving struct{ Target mesh.Target }

// MembershipReceived is a membership message of another node.
type MembershipReceived struct{ Message membership.Message }

// PushReceived is a push of log entries from another node.
type PushReceived struct{ Push distribution.Push }

// PullReceived is a pull request of another node.
type PullReceived struct{ Request distribution.PullRequest }

// PullResponseReceived is the response to a pull request of this node.
type PullResponseReceived struct{ Response PullResponse }

// TransferDone reports the end of a snapshot transfer to another node.
type TransferDone struct{ To mesh.NodeID }

// LogPage is the response to ReadLog.
type LogPage struct {
	Read uint64
	// Era rises when the log is restored from an older copy, 0 if unknown.
	Era         uint64
	First, Next record.Revision
	Entries     []distribution.Entry
	// Retention is how long the platform keeps entries, 0 if unknown.
	Retention time.Duration
}

// LogReadFailed reports that a read of the platform failed.
type LogReadFailed struct {
	Read   uint64
	Reason string
}

// LogOutOfRange reports that the platform no longer has the offset.
type LogOutOfRange struct {
	Read uint64
	// Era is that of LogPage.
	Era         uint64
	First, Next record.Revision
}

// SnapshotRead is the response to ReadSnapshots; Revision is 0 if there is no snapshot.
type SnapshotRead struct {
	Read     uint64
	Snapshot distribution.Snapshot
}

// AppendResult is the result of one attempt to append a record.
type AppendResult struct {
	ID string
	// Offset is set if the platform confirmed the append.
	Offset record.Revision
	// NotRun is set if the platform certainly did not append the record.
	NotRun bool
	Reason string
}

// SnapshotAppended is the result of an attempt to append a snapshot.
type SnapshotAppended struct {
	Revision record.Revision
	Err      string
}

// EvidenceCounted holds the call statistics collected since the previous such event.
type EvidenceCounted struct{ Delta rollout.Evidence }

// EvidenceReport holds a node's call statistics of the service of an open rollout.
// It is sent to the holder.
type EvidenceReport struct {
	Rollout  record.RolloutID      `json:"rollout"`
	Source   mesh.NodeID           `json:"source"`
	Session  mesh.SessionID        `json:"session"`
	Zone     mesh.AvailabilityZone `json:"zone"`
	Sequence uint64                `json:"sequence"`
	Totals   rollout.Evidence      `json:"totals"`
}

// EvidenceReceived is a report of another node.
type EvidenceReceived struct{ Report EvidenceReport }

// HolderStatus is the status that the holder of a rollout sends to other nodes.
type HolderStatus struct {
	Holder mesh.NodeID    `json:"holder"`
	Epoch  record.Epoch   `json:"epoch"`
	Report rollout.Report `json:"report"`
	// IntervalMS is the interval at which evidence sources should report.
	IntervalMS int64 `json:"interval_ms"`
}

// HolderStatusReceived is a status message of a holder.
type HolderStatusReceived struct{ Status HolderStatus }

// CutReceived is a notification from another node that it cut a version.
type CutReceived struct{ Cut rollout.Cut }

// CrashReport names requests that were in flight when a target crashed.
type CrashReport struct {
	Fingerprints []uint64 `json:"fingerprints"`
}

// TargetCrashed reports that the local target crashed with requests in flight.
type TargetCrashed struct{ Report CrashReport }

// CrashReceived is a crash report of another node of the zone.
type CrashReceived struct{ Report CrashReport }

// ChangeSubmitted is a configuration change of an operator.
type ChangeSubmitted struct{ Submission Submission }

// RefreshZones asks for the newest reports of the other zones.
type RefreshZones struct{}

// Submission is a configuration change of an operator.
type Submission struct {
	ID               string
	Body             record.Body
	ExpectedRevision record.Revision
	// Wait is how long the append may be deferred.
	Wait time.Duration
	// Text is the command as written.
	Text string
}

func (Tick) coreEvent()                  {}
func (Started) coreEvent()               {}
func (Leave) coreEvent()                 {}
func (TargetAnnounced) coreEvent()       {}
func (TargetSignaledLeaving) coreEvent() {}
func (MembershipReceived) coreEvent()    {}
func (PushReceived) coreEvent()          {}
func (PullReceived) coreEvent()          {}
func (PullResponseReceived) coreEvent()  {}
func (TransferDone) coreEvent()          {}
func (LogPage) coreEvent()               {}
func (LogReadFailed) coreEvent()         {}
func (LogOutOfRange) coreEvent()         {}
func (SnapshotRead) coreEvent()          {}
func (AppendResult) coreEvent()          {}
func (SnapshotAppended) coreEvent()      {}
func (EvidenceCounted) coreEvent()       {}
func (EvidenceReceived) coreEvent()      {}
func (HolderStatusReceived) coreEvent()  {}
func (CutReceived) coreEvent()           {}
func (ChangeSubmitted) coreEvent()       {}
func (RefreshZones) coreEvent()          {}
func (TargetCrashed) coreEvent()         {}
func (CrashReceived) coreEvent()         {}
