package sidecar

import (
	"context"
	"net/netip"
	"time"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// Settings are what a node is told at start.
type Settings struct {
	Node mesh.NodeID
	Zone mesh.AvailabilityZone
	// Outbound takes the requests of callers and of the target, Inbound those of
	// other nodes, Peers their messages, Ready the readiness check, Control the
	// heartbeats of the target, Metrics the counters.
	Outbound, Inbound, Peers, Ready, Control, Metrics netip.AddrPort
	// Advertise is the address at which other nodes reach this one, if it is not the one
	// at which it listens. The ports are the same.
	Advertise netip.Addr
	// Target and Service are the address and the service of the target beside the node.
	Target  netip.AddrPort
	Service string
	// Seeds are control addresses of nodes that may live.
	Seeds []netip.AddrPort
	// Heartbeat is the time between two heartbeats of the target.
	Heartbeat time.Duration
	// Grace is the time from the stop signal to the end of the process.
	Grace time.Duration
	// RetryRatio of the requests for a service in RetryWindow may be sent to a
	// second target, and RetrySlack more, by all nodes together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// LinkMbps is the bandwidth of the machine's link in Mbit/s, 0 if not known.
	LinkMbps float64
}

// announcement returns what the node tells others of itself at its start.
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
	// TimeLeft is how many milliseconds the caller waits.
	TimeLeft string
	// Target names the target that alone may run the request.
	Target string
	// CallerService is the service beside the node at which the request began.
	CallerService string
	// Signature is the target's proof that the answer is its own.
	Signature string
	// NotRun is set on answers of targets that did not run the request.
	NotRun string
	// Parent returns the id of the request for which a target makes a call, or
	// nothing if the id does not tell.
	Parent func(id string) string
}

// Store is the platform's store. All calls may fail; a failed write may still
// take effect later.
type Store interface {
	// Snapshot returns the newest records of a feed and the position after them.
	Snapshot(ctx context.Context, f control.Feed) ([]control.Event, uint64, error)
	// Follow waits up to wait for records from the position. It returns
	// ErrPositionLost if they were dropped; a snapshot then tells what they said.
	Follow(ctx context.Context, f control.Feed, from uint64, wait time.Duration) ([]control.Event, uint64, error)
	Announce(ctx context.Context, a directory.Announcement) error
	// Withdraw takes the announcement of a node back that stops.
	Withdraw(ctx context.Context, node mesh.NodeID) error
	// RecordMove and WriteStatus write only if the feed ends at the position.
	RecordMove(ctx context.Context, m canary.Move, at uint64) error
	WriteStatus(ctx context.Context, s control.Status, at uint64) error
}
