package callpath

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/retry"
	"heathercroft.example/heathercroft/pkg/routing"
)

// Deps is what the call path needs from the node.
type Deps struct {
	// Node is this node, Zone its availability zone.
	Node mesh.NodeID
	Zone mesh.AvailabilityZone
	// Table returns the current routing table, or nil while the node is not ready.
	Table func() *routing.Table
	// Target returns the local target; ok is false if none is announced.
	Target func() (t mesh.Target, ok bool)
	// Keys decides about keyed requests; nil refuses them as CodeNoOwner.
	Keys Keys
	// Recorder gets one sample for each attempt; nil drops them.
	Recorder Recorder
	// ObserveColdStart counts a request to the local target and reports whether it falls
	// into the target's cold start; nil means never.
	ObserveColdStart func() bool
	// Events gets what others must learn; nil drops it.
	Events Events
	// Now is the node's monotonic clock.
	Now    func() time.Duration
	Logger *slog.Logger
}

// Keys decides about keyed requests. Its methods are called concurrently.
type Keys interface {
	// Owner says which node executes requests with the key.
	Owner(key string) KeyOwner
	// Begin asks this node, as the owner, for permission to execute. It waits
	// while the key runs, until ctx ends.
	Begin(ctx context.Context, key string, digest uint64) KeyGrant
	// Finish reports how an execution ended, exactly once for each KeyGrant with
	// Execute set.
	Finish(grant KeyGrant, result KeyResult)
	// CheckFence returns nil if a request under the fence may reach the target
	// beside this node, or the refusal.
	CheckFence(key string, fence FencingToken) *Refusal
}

// KeyOwner is the node that executes a key. Refusal is set if there is none.
type KeyOwner struct {
	Node        mesh.NodeID
	CallAddress netip.AddrPort
	Refusal     *Refusal
}

// FencingToken is the claim under which a keyed request is executed. It is zero for
// keys that a node session owns for ever.
type FencingToken struct {
	Slot  int
	Epoch record.Epoch
}

// KeyGrant is the answer of Keys.Begin. Exactly one of Execute, Replay and
// Refusal is set.
type KeyGrant struct {
	// ID identifies the request to the key owner.
	ID      uint64
	Key     string
	Execute bool
	Fence   FencingToken
	Replay  *StoredResponse
	Refusal *Refusal
}

// KeyResultKind is how an execution under a key ended.
type KeyResultKind int

// The ends of an execution.
const (
	// KeyNotRun: the target did not run the request; the key may run again.
	KeyNotRun KeyResultKind = iota
	// KeyDone: the answer is complete and Answer is set.
	KeyDone
	// KeyUnknown: the request may have run; it must not run again.
	KeyUnknown
)

// KeyResult is how an execution under a key ended.
type KeyResult struct {
	Kind     KeyResultKind
	Response *StoredResponse
}

// StoredResponse is a complete answer of a target.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Oversized is set if the body was over MaxStoredBody and was not kept.
	Oversized bool
}

// MaxStoredBody is the largest body in bytes that is kept for repeats.
const MaxStoredBody = 64 << 10

// Sample is the evidence of one attempt.
type Sample struct {
	Service string
	Version string
	Route   string
	// Zone is the zone of the target.
	Zone mesh.AvailabilityZone
	// Node is the node beside the target.
	Node    mesh.NodeID
	Outcome retry.Outcome
	// Status is the target's status, 0 if there was no answer.
	Status int
	// Latency is the time that the target took to the header of its answer, as
	// its node measured it or, if that is not known, the time of the attempt.
	Latency time.Duration
	// ColdStart is set while the target is in its cold start.
	ColdStart bool
	// FreshConnection is set if the target had to accept a connection first,
	// which takes about 1 ms and is frequent for a version with a small share.
	FreshConnection bool
	// Correction is set if the attempt was recorded already, when its answer began,
	// and has now turned out to be a failure.
	Correction bool
}

// Failed reports whether the sample speaks against the version. A refusal
// before the target is reached says nothing about it.
func (s Sample) Failed() bool {
	switch s.Outcome {
	case retry.ResponseReceived:
		return s.Status >= http.StatusInternalServerError
	case retry.NotSent, retry.RefusedByNode:
		return false
	default:
		return true
	}
}

// Recorder collects evidence. Record is called on the hot path, concurrently;
// it must not block.
type Recorder interface {
	Record(Sample)
}

// Events gets what the rest of the node must learn. The methods are called
// concurrently and must not block.
type Events interface {
	// Ejected reports that an endpoint is out for a while.
	Ejected(node mesh.NodeID, service, version string)
	// Crashed reports fingerprints that were in flight when the local target crashed.
	Crashed(fingerprints []Fingerprint)
	// DrainStarted reports that the node refuses new work.
	DrainStarted()
	// DrainEnded reports how many requests were still in flight at the end.
	DrainEnded(left int)
}
