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

// Deps are the dependencies of the call path on the rest of the node.
type Deps struct {
	// Node is the ID of this node, Zone its availability zone.
	Node mesh.NodeID
	Zone mesh.AvailabilityZone
	// Table returns the current routing table, or nil while the node is not ready.
	Table func() *routing.Table
	// Target returns the local target; ok is false if none is announced.
	Target func() (t mesh.Target, ok bool)
	// TargetLeaving is called with the local target when one of its responses says that it
	// is shutting down; it may be nil.
	TargetLeaving func(mesh.Target)
	// Keys coordinates keyed requests; if nil, they are refused with CodeNoOwner.
	Keys Keys
	// Recorder gets one sample for each attempt; if nil, samples are dropped.
	Recorder Recorder
	// ObserveColdStart counts a request to the local target and reports whether it
	// falls into the target's cold start; nil means never.
	ObserveColdStart func() bool
	// Events gets events for the rest of the node; if nil, they are dropped.
	Events Events
	// Now is the node's monotonic clock.
	Now    func() time.Duration
	Logger *slog.Logger
}

// Keys coordinates keyed requests. Its methods are called concurrently.
type Keys interface {
	// Owner returns the node that executes requests with the key.
	Owner(key string) KeyOwner
	// Begin asks this node, as the owner, for permission to execute. It blocks while
	// a request with the key is running, until ctx ends.
	Begin(ctx context.Context, key string, digest uint64) KeyGrant
	// Finish reports the result of an execution, exactly once for each KeyGrant with
	// Execute set.
	Finish(grant KeyGrant, result KeyResult)
	// CheckFence returns nil if a request with the fencing token may reach the local
	// target, or the refusal.
	CheckFence(key string, fence FencingToken) *Refusal
}

// KeyOwner is the node that executes requests with a key. Refusal is set if there
// is none.
type KeyOwner struct {
	Node        mesh.NodeID
	CallAddress netip.AddrPort
	Refusal     *Refusal
}

// FencingToken identifies the slot claim under which a keyed request is executed.
// It is zero for keys that a node session owns permanently.
type FencingToken struct {
	Slot  int
	Epoch record.Epoch
}

// KeyGrant is the result of Keys.Begin. Exactly one of Execute, Replay and Refusal
// is set.
type KeyGrant struct {
	// ID identifies the request to the key owner.
	ID      uint64
	Key     string
	Execute bool
	Fence   FencingToken
	Replay  *StoredResponse
	Refusal *Refusal
}

// KeyResultKind is the kind of result of an execution under a key.
type KeyResultKind int

// The kinds of results.
const (
	// KeyNotRun: the target did not run the request; a request with the key may run
	// again.
	KeyNotRun KeyResultKind = iota
	// KeyDone: the response is complete and Response is set.
	KeyDone
	// KeyUnknown: the request may have run; it must not run again.
	KeyUnknown
)

// KeyResult is the result of an execution under a key.
type KeyResult struct {
	Kind     KeyResultKind
	Response *StoredResponse
}

// StoredResponse is a complete response of a target.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Oversized is set if the body was larger than MaxStoredBody and was not kept.
	Oversized bool
}

// MaxStoredBody is the largest body in bytes that is stored for replays.
const MaxStoredBody = 64 << 10

// Sample is the measurement of one attempt, used to compare versions.
type Sample struct {
	Service string
	Version string
	Route   string
	// Zone is the zone of the target.
	Zone mesh.AvailabilityZone
	// Node is the target's node.
	Node    mesh.NodeID
	Outcome retry.Outcome
	// Status is the status of the target's response, 0 if there was none.
	Status int
	// Latency is the time that the target took to send the header of its response,
	// as measured by its node or, if that is not known, the duration of the attempt.
	Latency time.Duration
	// ColdStart is set while the target is in its cold start.
	ColdStart bool
	// FreshConnection is set if a new connection to the target was opened, which
	// takes about 1 ms and is frequent for a version with a small share of the
	// traffic.
	FreshConnection bool
	// Correction is set if the attempt was already recorded when its response began,
	// and has since failed.
	Correction bool
}

// Failed reports whether the sample counts as a failure of the version. A refusal
// before the target is reached does not.
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

// Recorder collects samples. Record is called on the hot path, concurrently; it
// must not block.
type Recorder interface {
	Record(Sample)
}

// Events receives what the rest of the node must know. The methods are called
// concurrently and must not block.
type Events interface {
	// Ejected reports that an endpoint is temporarily excluded from routing.
	Ejected(node mesh.NodeID, service, version string)
	// Crashed reports fingerprints that were in flight when the local target
	// crashed.
	Crashed(fingerprints []Fingerprint)
	// DrainStarted reports that the node refuses new requests.
	DrainStarted()
	// DrainEnded reports how many requests were still in flight at the end of the
	// drain.
	DrainEnded(left int)
}
