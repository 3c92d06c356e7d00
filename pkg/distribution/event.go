package distribution

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Event is an input of the machine. Now is the time since the start of the
// process on a monotonic clock, and never decreases from one event to the next.
type Event interface{ now() time.Duration }

// Tick runs the timers. The adapter sends one every 100 ms.
type Tick struct{ Now time.Duration }

// LogPage answers ReadLog. It may be empty.
type LogPage struct {
	Now time.Duration
	// Read is the number of the request that it answers.
	Read uint64
	// Era rises when the log is restored from an older copy and gives offsets out again, 0 if
	// unknown.
	Era uint64
	// First is the oldest offset kept by the platform, Next the one after the
	// newest.
	First, Next record.Revision
	Entries     []Entry
}

// LogError reports that a request to the platform failed.
type LogError struct {
	Now    time.Duration
	Read   uint64
	Reason string
}

// LogOutOfRange reports that the platform no longer keeps the requested offset.
type LogOutOfRange struct {
	Now  time.Duration
	Read uint64
	// Era is that of LogPage.
	Era         uint64
	First, Next record.Revision
}

// SnapshotRead answers ReadSnapshotStream with the newest complete snapshot, or
// with Revision 0 if there is none.
type SnapshotRead struct {
	Now      time.Duration
	Read     uint64
	Snapshot Snapshot
}

// PushReceived is a push from another node.
type PushReceived struct {
	Now  time.Duration
	Push Push
}

// PullReceived is a request from another node.
type PullReceived struct {
	Now     time.Duration
	Request PullRequest
}

// PullResponseReceived is the response to a pull. It may be late or duplicated.
type PullResponseReceived struct {
	Now      time.Duration
	Response PullResponse
}

// MembersChanged lists the members of all zones that are not dead. The local
// node may be among them.
type MembersChanged struct {
	Now   time.Duration
	Peers []Peer
}

// Applied reports the result of ApplyEntries or InstallSnapshot: the revision
// of the state and, if the next record cannot be applied, the reason.
type Applied struct {
	Now      time.Duration
	Revision record.Revision
	NACK     string
}

// TransferDone reports the end of a snapshot transfer.
type TransferDone struct {
	Now time.Duration
	To  mesh.NodeID
}

// Peer is a member that is not dead.
type Peer struct {
	ID      mesh.NodeID
	Session mesh.SessionID
	Zone    mesh.AvailabilityZone
	// Suspect members are not used as relays or readers.
	Suspect bool
}

func (e Tick) now() time.Duration                 { return e.Now }
func (e LogPage) now() time.Duration              { return e.Now }
func (e LogError) now() time.Duration             { return e.Now }
func (e LogOutOfRange) now() time.Duration        { return e.Now }
func (e SnapshotRead) now() time.Duration         { return e.Now }
func (e PushReceived) now() time.Duration         { return e.Now }
func (e PullReceived) now() time.Duration         { return e.Now }
func (e PullResponseReceived) now() time.Duration { return e.Now }
func (e MembersChanged) now() time.Duration       { return e.Now }
func (e Applied) now() time.Duration              { return e.Now }
func (e TransferDone) now() time.Duration         { return e.Now }
