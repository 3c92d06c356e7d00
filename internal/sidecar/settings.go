package sidecar

import (
	"context"
	"net/netip"
	"time"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/logpos"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// Settings configures a node. It does not change after the start.
type Settings struct {
	Node mesh.NodeID
	Zone mesh.AvailabilityZone
	// Regions holds the region of each zone, as far as it is known.
	Regions mesh.Regions
	// Listen addresses: Outbound for the requests of callers and of the target, Inbound for
	// those of other nodes, Peers for messages of other nodes, Ready for the readiness
	// check, Control for the heartbeats of the target, Metrics for the counters.
	Outbound, Inbound, Peers, Ready, Control, Metrics netip.AddrPort
	// Advertise is the IP address at which other nodes reach this one, if it differs from
	// the listen address. The ports are the same.
	Advertise netip.Addr
	// Target and Service are the address and the service of the local target.
	Target  netip.AddrPort
	Service string
	// Seeds are addresses of nodes that may be running. Only the IP address is used; the
	// port is that of Peers.
	Seeds []netip.AddrPort
	// HeartbeatInterval is the time between two heartbeats of the target.
	HeartbeatInterval time.Duration
	// GracePeriod is the time from the stop signal to the end of the process.
	GracePeriod time.Duration
	// ConfigDeadline is how long after its confirmation a configuration may take to be in
	// force, 0 for 2 s.
	ConfigDeadline time.Duration
	// RetryRatio is the share of the requests for a service in RetryWindow that all nodes
	// together may send to a second target; RetrySlack is the number of retries allowed in
	// addition.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ExposeLimits are the limits of what a version on trial gets, zero for the default.
	ExposeLimits canary.Limits
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// Descriptors is the limit of file descriptors of the process, 0 for none.
	Descriptors int
	// LinkMbps is the bandwidth of the machine's link in Mbit/s, 0 if unknown.
	LinkMbps float64
}

// announcement returns the announcement of the node at its start.
func (s Settings) announcement(startMS int64) directory.Announcement {
	a := directory.Announcement{
		Node: s.Node, Zone: s.Zone, StartUnixMS: startMS, RPCAddress: s.Peers, CallAddress: s.Inbound, LinkMbps: s.LinkMbps,
	}
	if s.Advertise.IsValid() {
		a.RPCAddress = netip.AddrPortFrom(s.Advertise, a.RPCAddress.Port())
		a.CallAddress = netip.AddrPortFrom(s.Advertise, a.CallAddress.Port())
	}
	return a
}

// Headers are the names of the headers that callers and targets use.
type Headers struct {
	// RequestID identifies one attempt of a caller; targets echo it.
	RequestID string
	// TimeLeft is the caller's remaining time in milliseconds.
	TimeLeft string
	// Target names the only target that may run the request.
	Target string
	// TargetID is the id of the target in responses of its health path.
	TargetID string
	// CallerService is the service of the node at which the request entered.
	CallerService string
	// Signature is the target's proof that it produced the response.
	Signature string
	// NotRun is set on responses of targets that did not run the request.
	NotRun string
	// RateLimit is the number of requests per second that a target takes from all nodes
	// together. A response without it ends the limit.
	RateLimit string
	// Leaving is set on responses of targets that are shutting down.
	Leaving string
	// APIKey holds the key of an organisation in requests of callers.
	APIKey string
	// Organisation names the organisation of a request to a target.
	Organisation string
	// Load holds the load of the target in responses: see signals.Headers.
	Load string
	// ColdRemaining is the time in milliseconds for which a target is still cold, in responses of
	// its health path.
	ColdRemaining string
	// ParentID returns the id of the request on whose behalf a target makes a call, or ""
	// if the id does not contain it.
	ParentID func(id string) string
}

// Store is the platform's store. All calls may fail; a failed write may still take effect
// later.
type Store interface {
	// Snapshot returns the newest records of a feed and the position after them.
	Snapshot(ctx context.Context, f control.Feed) ([]control.Event, logpos.Position, error)
	// Follow waits up to wait for records from the position. It returns ErrPositionLost if
	// they are no longer retained or the store was restored since; a snapshot then contains their
	// latest state.
	Follow(ctx context.Context, f control.Feed, from logpos.Position, wait time.Duration) ([]control.Event, logpos.Position, error)
	// End returns the end of a feed that was read to a position. It returns ErrPositionLost as
	// Follow does.
	End(ctx context.Context, f control.Feed, from logpos.Position) (logpos.Position, error)
	// Reconnect makes later requests use new connections: the open ones may be unresponsive.
	Reconnect()
	Announce(ctx context.Context, a directory.Announcement) error
	// Withdraw deletes the announcement of a node that stops.
	Withdraw(ctx context.Context, node mesh.NodeID) error
	// RemoveStopped deletes the announcement of another node, RecordMove and WriteStatus write, only if the feed ends at the position. If the store was
	// restored since, they fail, but may have written.
	RemoveStopped(ctx context.Context, node mesh.NodeID, at logpos.Position) error
	RecordMove(ctx context.Context, m canary.Move, at logpos.Position) error
	WriteStatus(ctx context.Context, s control.Status, at logpos.Position) error
}
