package membership

import (
	"net/netip"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Effect is an output of the machine.
type Effect interface{ effect() }

// SendMessage asks for one message to be sent. No answer is awaited and an error is
// not reported back.
type SendMessage struct {
	// To is the receiver's RPC listener.
	To      netip.AddrPort
	Message Message
}

// ViewChanged says that Endpoints, Members or Zones changed.
type ViewChanged struct{ Generation uint64 }

// MemberStateChanged reports that a member's state, as seen here, changed. It is
// meant for the timeline and for logs.
type MemberStateChanged struct {
	Node    mesh.NodeID
	Session mesh.SessionID
	State   State
}

// ZoneReachabilityChanged reports that a zone became reachable or unreachable.
type ZoneReachabilityChanged struct {
	Zone      mesh.AvailabilityZone
	Reachable bool
}

// TargetExpired reports that the local target stopped announcing itself.
type TargetExpired struct{ Target mesh.Target }

// TargetRejected reports an announcement that is too large to be spread.
type TargetRejected struct {
	Target mesh.Target
	Bytes  int
}

func (SendMessage) effect()             {}
func (ViewChanged) effect()             {}
func (MemberStateChanged) effect()      {}
func (ZoneReachabilityChanged) effect() {}
func (TargetExpired) effect()           {}
func (TargetRejected) effect()          {}
