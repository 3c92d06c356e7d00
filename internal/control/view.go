package control

import (
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

// View is what the call path works with. It is not changed once published.
type View struct {
	// Config is nil until a configuration is known.
	Config *published.Config
	// Target is the target beside this node, nil until it has announced itself.
	Target *directory.Target
	// Endpoints are the targets that may be chosen, by service.
	Endpoints map[string]*ServiceEndpoints
	// Announcements are the addresses of the nodes.
	Announcements map[mesh.NodeID]directory.Announcement
	// CrashingRequests holds the fingerprints of requests that crash targets.
	CrashingRequests map[uint64]bool
	// Reader is set if this node is one of those that follow the store for all.
	Reader bool
	// ReadsOperatorFeed is set if this node follows the operator's records itself.
	ReadsOperatorFeed bool
	// MoveOpen is set while a move is open, StatusDue while the report on one may be.
	MoveOpen, StatusDue bool
	// Stopping is set once the node stops.
	Stopping bool
}

// ServiceEndpoints are the targets of a service by their part in a move.
type ServiceEndpoints struct {
	// Old are the targets that get the traffic when no move is open.
	Old []balance.Endpoint
	// New are the targets of the new version of a move.
	New []balance.Endpoint
	// NewShare is the share of the requests that goes to New.
	NewShare float64
}
