// Package idempotency executes a request with an idempotency key at most once.
//
// Each key is mapped to a slot, and each slot is owned by one node session under a lease
// that is claimed in the log. Only the owner executes requests. It stores the result of
// each key for the retry horizon; a successor that didn't get these results responds that
// a key may have run. Machine is a state machine without I/O, clock or goroutines: Step
// takes an event with its time and returns the effects to carry out.
package idempotency

import (
	"net/http"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Config holds the limits of a Machine. Durations are on the node's monotonic clock.
type Config struct {
	Node    mesh.NodeID
	Session mesh.SessionID
	// Lease is how long an owner may execute requests after it sent the last claim or
	// renewal that was accepted.
	Lease time.Duration
	// LeaseMargin is the time beyond Lease that a node waits before it claims a slot. It
	// has to cover the drift of two clocks over a lease: 1 % of 60 s each is 1.2 s.
	LeaseMargin time.Duration
	// RetryHorizon is how long a caller may retry a key after its first attempt.
	RetryHorizon time.Duration
	// MaxKeys and MaxBytes limit the stored keys and their size.
	MaxKeys  int
	MaxBytes int
}

// Defaults of Config.
const (
	DefaultLease        = 60 * time.Second
	DefaultLeaseMargin  = 10 * time.Second
	DefaultRetryHorizon = 5 * time.Minute
	DefaultMaxKeys      = 50_000
	DefaultMaxBytes     = 8 << 20
)

// driftDivisor sets the extra time by which this node extends a retry horizon. Its clock may
// run fast by up to 1 % while a caller's clock runs slow by 1 %; 1/40 covers both.
const driftDivisor = 40

// DefaultConfig returns the default configuration of a node session.
func DefaultConfig(node mesh.NodeID, session mesh.SessionID) Config {
	return Config{
		Node: node, Session: session, Lease: DefaultLease, LeaseMargin: DefaultLeaseMargin, RetryHorizon: DefaultRetryHorizon,
		MaxKeys: DefaultMaxKeys, MaxBytes: DefaultMaxBytes,
	}
}

// RequestID identifies a request within this process.
type RequestID uint64

// Slots holds the key slots of a replicated state.
type Slots = [state.KeySlotCount]state.KeySlot

// Event is an input to Step.
type Event interface{ at() time.Duration }

// Tick advances the time. It should be sent about once a second.
type Tick struct{ Now time.Duration }

// RecordApplied reports a record applied by the reducer and the resulting slots. Records
// that don't concern key slots may be omitted.
type RecordApplied struct {
	Now    time.Duration
	Result state.Result
	// Slots is only read during Step.
	Slots *Slots
}

// SnapshotLoaded reports that the whole state was replaced.
type SnapshotLoaded struct {
	Now   time.Duration
	Slots *Slots
}

// HeadConfirmed reports that this node has applied all records that existed at AsOf, the
// time at which it sent the request that confirmed this.
type HeadConfirmed struct{ Now, AsOf time.Duration }

// MembersChanged holds the live nodes, including this one.
type MembersChanged struct {
	Now  time.Duration
	Live []mesh.NodeID
}

// Request asks this node to execute a request with a key.
type Request struct {
	Now time.Duration
	ID  RequestID
	Key string
	// Digest identifies the request content that the key is used for.
	Digest uint64
}

// RequestCanceled reports that a request no longer waits for a result. It does not stop an
// execution.
type RequestCanceled struct {
	Now time.Duration
	ID  RequestID
}

// ResultKind is the kind of result of an execution.
type ResultKind int

// Results of an execution.
const (
	// NotRun: no target has run the request or will run it.
	NotRun ResultKind = iota
	// Done: a target ran the request and its response is complete.
	Done
	// Unknown: a target may have run the request or may still run it.
	Unknown
)

// ExecutionFinished reports the result of an execution.
type ExecutionFinished struct {
	Now      time.Duration
	ID       RequestID
	Kind     ResultKind
	Response Response
}

// Response is a stored response of a target.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Oversized is set if the body was too large to be stored.
	Oversized bool `json:"oversized,omitempty"`
}

// HandoverReceived holds the stored keys of an owner that is stopping.
type HandoverReceived struct {
	Now      time.Duration
	Handover Handover
}

// HandoverReplied reports whether the successor accepted the handover.
type HandoverReplied struct {
	Now time.Duration
	OK  bool
}

// StopRequested asks for a graceful stop. Successor is empty if there is none.
type StopRequested struct {
	Now       time.Duration
	Successor mesh.NodeID
}

func (e Tick) at() time.Duration              { return e.Now }
func (e RecordApplied) at() time.Duration     { return e.Now }
func (e SnapshotLoaded) at() time.Duration    { return e.Now }
func (e HeadConfirmed) at() time.Duration     { return e.Now }
func (e MembersChanged) at() time.Duration    { return e.Now }
func (e Request) at() time.Duration           { return e.Now }
func (e RequestCanceled) at() time.Duration   { return e.Now }
func (e ExecutionFinished) at() time.Duration { return e.Now }
func (e HandoverReceived) at() time.Duration  { return e.Now }
func (e HandoverReplied) at() time.Duration   { return e.Now }
func (e StopRequested) at() time.Duration     { return e.Now }

// Effect is an output of Step to be carried out by the caller.
type Effect interface{ effect() }

// AppendRecord appends a record to the log. The append is retried with the same ID until
// its outcome has been read.
type AppendRecord struct{ Record record.Record }

// Execute allows a request to be sent to a target with a fencing token.
type Execute struct {
	ID    RequestID
	Fence FencingToken
}

// Replay answers a request with a stored response.
type Replay struct {
	ID       RequestID
	Response Response
}

// Refuse refuses a request.
type Refuse struct {
	ID     RequestID
	Reason Reason
	// MayHaveRun is set unless the request certainly does not run.
	MayHaveRun bool
}

// SendHandover sends the stored keys to a successor. It is followed by HandoverReplied.
type SendHandover struct {
	To       mesh.NodeID
	Handover Handover
}

// ReplyHandover tells the node that sent a handover whether it was accepted.
type ReplyHandover struct{ OK bool }

// Stopped reports that, after StopRequested, this session no longer owns a slot.
type Stopped struct{}

func (AppendRecord) effect()  {}
func (Execute) effect()       {}
func (Replay) effect()        {}
func (Refuse) effect()        {}
func (SendHandover) effect()  {}
func (ReplyHandover) effect() {}
func (Stopped) effect()       {}

// Reason says why a request was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonNotOwner       Reason = "not-owner"
	ReasonLeaseLapsed    Reason = "lease-lapsed"
	ReasonNoKeyHistory   Reason = "successor-without-memory"
	ReasonOutcomeUnknown Reason = "earlier-request-may-have-run"
	ReasonMismatch       Reason = "key-used-for-another-request"
	ReasonKeyMemoryFull  Reason = "key-memory-full"
	ReasonStopping       Reason = "stopping"
	ReasonTooManyWaiters Reason = "too-many-repeats-wait"
	ReasonSessionGone    Reason = "minting-session-gone"
)
