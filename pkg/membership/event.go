package membership

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Event is an input of the machine. Now is the time since the start of the
// process on a monotonic clock, and never decreases from one event to the next.
type Event interface{ now() time.Duration }

// Tick runs the timers. The adapter sends one every 100 ms; a longer gap
// between two ticks is treated as a pause of the local process.
type Tick struct{ Now time.Duration }

// MessageReceived is a message from another node.
type MessageReceived struct {
	Now     time.Duration
	Message Message
}

// TargetAnnounced is an announcement by the local target. A target in the
// state leaving is disseminated immediately.
type TargetAnnounced struct {
	Now    time.Duration
	Target mesh.Target
}

// Leave reports that the local node is shutting down.
type Leave struct{ Now time.Duration }

// RevisionApplied reports the local node's revision and, if it cannot apply the next
// record, the reason.
type RevisionApplied struct {
	Now      time.Duration
	Revision record.Revision
	NACK     string
}

// NodeAnnounced reports a node that the log announces. It is a candidate for
// joining.
type NodeAnnounced struct {
	Now  time.Duration
	Node mesh.NodeInfo
}

// NodeExpired reports a node that the log no longer announces.
type NodeExpired struct {
	Now  time.Duration
	Node mesh.NodeID
}

// RefreshZones asks a reader of the zone for the newest zone summaries. The
// response arrives as a message, normally within one round trip.
type RefreshZones struct{ Now time.Duration }

func (e Tick) now() time.Duration            { return e.Now }
func (e MessageReceived) now() time.Duration { return e.Now }
func (e TargetAnnounced) now() time.Duration { return e.Now }
func (e Leave) now() time.Duration           { return e.Now }
func (e RevisionApplied) now() time.Duration { return e.Now }
func (e NodeAnnounced) now() time.Duration   { return e.Now }
func (e NodeExpired) now() time.Duration     { return e.Now }
func (e RefreshZones) now() time.Duration    { return e.Now }
