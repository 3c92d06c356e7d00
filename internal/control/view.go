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
	// Calls are the addresses of the nodes.
	Calls map[mesh.NodeID]directory.Announcement
	// Crashing holds the fingerprints of requests that crash targets.
	Crashing map[uint64]bool
	// Reader is set if this node is one of those that follow the store for all.
	Reader bool
	// ReadsOperator is set if this node follows the operator's records itself.
	ReadsOperator bool
	// MoveOpen is set while a move is open, ReportDue while the report on one may be.
	MoveOpen, ReportDue bool
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
