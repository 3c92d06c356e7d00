package distribution

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Effect is an output of the machine.
type Effect interface{ effect() }

// ReadLog asks for entries of the log starting at an offset. The adapter answers
// with LogPage, LogError or LogOutOfRange. At most one read is pending; a new one
// replaces it.
type ReadLog struct {
	// Read numbers the requests.
	Read uint64
	From record.Revision
	// Max is the largest number of entries.
	Max int
	// Wait is how long the platform may wait for a first entry.
	Wait time.Duration
}

// ReadSnapshotStream asks for the newest complete snapshot on the platform. The
// adapter answers with SnapshotRead or LogError.
type ReadSnapshotStream struct{ Read uint64 }

// SendPush asks for a push to a child in the tree.
type SendPush struct {
	To   mesh.NodeID
	Push Push
}

// SendPull asks for a pull request to a peer. The response comes back as
// PullResponseReceived; an error is not reported back.
type SendPull struct {
	To      mesh.NodeID
	Request PullRequest
}

// SendResponse answers a pull request.
type SendResponse struct {
	To       mesh.NodeID
	Response PullResponse
}

// SendSnapshot answers a pull request with the local state, which the adapter
// encodes and sends as Response.Snapshot. Its revision is at least Revision.
// TransferDone reports the end of the transfer.
type SendSnapshot struct {
	To       mesh.NodeID
	Revision record.Revision
	Response PullResponse
}

// ApplyEntries asks for the entries to be applied in order. The adapter
// answers with Applied. The first offset follows the applied revision.
type ApplyEntries struct{ Entries []Entry }

// InstallSnapshot asks for the state to be replaced by a newer one. The
// adapter answers with Applied, which holds the old revision if the snapshot
// could not be decoded.
type InstallSnapshot struct{ Snapshot Snapshot }

// SetReady reports whether the node may serve calls, and if not, the reason.
type SetReady struct {
	Ready  bool
	Reason string
}

// RangeLost reports that the platform's retention has dropped entries that the
// local node still needs.
type RangeLost struct {
	// RequestedOffset is the offset that the node asked for, FirstRetained the
	// oldest one that the platform keeps.
	RequestedOffset, FirstRetained record.Revision
}

// LogRestored reports that the log was restored from an older copy: offsets up to Revision, which
// the node has received, may hold other records now. The node stays at its revision.
type LogRestored struct {
	Era, Before uint64
	// Next is the offset after the newest one of the log, 0 if another node reported the
	// restoration.
	Revision, Next record.Revision
}

func (LogRestored) effect()        {}
func (ReadLog) effect()            {}
func (ReadSnapshotStream) effect() {}
func (SendPush) effect()           {}
func (SendPull) effect()           {}
func (SendResponse) effect()       {}
func (SendSnapshot) effect()       {}
func (ApplyEntries) effect()       {}
func (InstallSnapshot) effect()    {}
func (SetReady) effect()           {}
func (RangeLost) effect()          {}
