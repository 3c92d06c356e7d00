package membership

import (
	"net/netip"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Effect is an output of the machine.
type Effect interface{ effect() }

// Send asks for one message to be sent. No answer is awaited and an error is
// not reported back.
type Send struct {
	// To is the receiver's RPC listener.
	To      netip.AddrPort
	Message Message
}

// Changed says that Endpoints, Members or Zones changed.
type Changed struct{ Generation uint64 }

// StateChanged reports that a member's state, as seen here, changed. It is
// meant for the timeline and for logs.
type StateChanged struct {
	Node    mesh.NodeID
	Session mesh.SessionID
	State   State
}

// ZoneChanged reports that a zone became reachable or unreachable.
type ZoneChanged struct {
	Zone      mesh.AvailabilityZone
	Reachable bool
}

// TargetGone reports that the local target stopped announcing itself.
type TargetGone struct{ Target mesh.Target }

// TargetRejected reports an announcement that is too large to be spread.
type TargetRejected struct {
	Target mesh.Target
	Bytes  int
}

func (Send) effect()           {}
func (Changed) effect()        {}
func (StateChanged) effect()   {}
func (ZoneChanged) effect()    {}
func (TargetGone) effect()     {}
func (TargetRejected) effect() {}
