package membership

import (
	"net/netip"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Effect is an output of the machine.
type Effect interface{ effect() }

// SendMessage asks the adapter to send one message. There is no reply, and errors are
// not reported back.
type SendMessage struct {
	// To is the receiver's RPC listener.
	To      netip.AddrPort
	Message Message
}

// ViewChanged reports that Endpoints, Members or Zones changed.
type ViewChanged struct{ Generation uint64 }

// MemberStateChanged reports a change of the local view of a member's state. It
// is meant for the timeline and for logs.
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

// TargetExpired reports that the local target was removed because its
// announcements stopped.
type TargetExpired struct{ Target mesh.Target }

// TargetRejected reports an announcement that is too large to disseminate.
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
