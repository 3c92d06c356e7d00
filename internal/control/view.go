package control

import (
	"time"

	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

// View is the state that the call path uses. It is immutable once published.
type View struct {
	// Config is nil until a configuration is known.
	Config *published.Config
	// Target is the target beside this node, nil until its first heartbeat.
	Target *directory.Target
	// TargetStopped is set while the version of Target gets no requests, since it is suspected or was
	// reverted.
	TargetStopped bool
	// Trial is set while the version of Target is on trial.
	Trial *canary.Trial
	// TargetColdRate is the number of requests per second that the target beside this node takes
	// while it is cold, 0 without a limit, and TargetColdUntil the time until which it is cold.
	TargetColdRate  float64
	TargetColdUntil time.Duration
	// Endpoints holds the targets that may be selected, by service.
	Endpoints map[string]*ServiceEndpoints
	// Evacuated holds the zones whose targets get no requests, nil if there are none.
	Evacuated map[mesh.AvailabilityZone]Evacuation
	// Announcements holds the announcements of all nodes, with their addresses.
	Announcements map[mesh.NodeID]directory.Announcement
	// Signals holds what targets said about themselves in responses that passed through this
	// node.
	Signals map[directory.Process]directory.Signals
	// CrashingRequests holds the identities of requests that crashed targets and are refused,
	// CrashSuspects those of all that were running at a crash.
	CrashingRequests map[uint64]bool
	CrashSuspects    map[uint64]CrashSuspect
	// Reader is set if this node reads the store for the whole mesh.
	Reader bool
	// ReadsOperatorFeed is set if this node itself reads the operator feed: by long polls of
	// ConfigPollWait, or if that is 0, once at a time.
	ReadsOperatorFeed bool
	ConfigPollWait    time.Duration
	// VouchesForConfig is set if other nodes rely on this one to read the operator feed.
	VouchesForConfig bool
	// FollowsMoves is set while this node itself reads the states of moves, StatusDue while
	// the status of a move may have to be written.
	FollowsMoves, StatusDue bool
	// StoreEra is the era of the store. Positions of other eras are lost.
	StoreEra uint64
	// MeshSize is the greatest number of nodes known in quota.SizeRetention, 0 while the list of
	// the nodes is not known. Unresponsive holds the nodes considered dead or partitioned. Both
	// are set only if the configuration has usage caps.
	MeshSize     int
	Unresponsive map[mesh.NodeID]bool
	// Stopping is set once the node is shutting down.
	Stopping bool
}

// IsEvacuated reports whether the targets of a zone get no requests.
func (v *View) IsEvacuated(zone mesh.AvailabilityZone) bool {
	_, ok := v.Evacuated[zone]
	return ok
}

// FollowsOtherFeeds reports whether the node reads other feeds than with another view.
func (v *View) FollowsOtherFeeds(o *View) bool {
	return v.Reader != o.Reader || v.ReadsOperatorFeed != o.ReadsOperatorFeed || v.FollowsMoves != o.FollowsMoves || v.StatusDue != o.StatusDue
}

// ServiceEndpoints holds the targets of a service, split by version during a move.
type ServiceEndpoints struct {
	// Old holds the targets that get all traffic when no move is open.
	Old []balance.Endpoint
	// New holds the targets of the new version of a move.
	New []balance.Endpoint
	// NewShare is the share of requests that is sent to New.
	NewShare float64
	// RouteShares holds the shares of single routes, which differ from NewShare while the new version is
	// observed.
	RouteShares map[string]float64
	// MoveOpen is set while a move to another version is open.
	MoveOpen bool
}

// ShareOf returns the share of the requests on a route that is sent to New.
func (s *ServiceEndpoints) ShareOf(route string) float64 {
	if share, ok := s.RouteShares[route]; ok && s.NewShare > 0 {
		return share
	}
	return s.NewShare
}
