// Package idempotency makes a request with an idempotency key run at most once.
//
// Keys belong to slots, and a slot is owned by one node session under a lease
// claimed in the log. Only the owner executes. It remembers each key for the
// retry horizon; a successor without that memory answers that a key may have
// run. Machine is a state machine without I/O, clock or goroutines: Step takes
// an event with its time and returns the effects to carry out.
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
	// Lease is how long an owner may execute after it sent its last accepted renewal.
	Lease time.Duration
	// LeaseMargin is how much longer than Lease a claimant waits. It has to cover the
	// drift of two clocks over a lease: 1 % of 60 s each is 1.2 s.
	LeaseMargin time.Duration
	// RetryHorizon is how long after its first sending a caller may repeat a key.
	RetryHorizon time.Duration
	// MaxKeys and MaxBytes bound the memory of keys, in keys and in bytes.
	MaxKeys  int
	MaxBytes int
}

// Limits of the design.
const (
	DefaultLease        = 60 * time.Second
	DefaultLeaseMargin  = 10 * time.Second
	DefaultRetryHorizon = 5 * time.Minute
	DefaultMaxKeys      = 50_000
	DefaultMaxBytes     = 8 << 20
)

// driftDivisor lengthens waits on this clock, which may run fast by up to 1 %
// while a caller's runs slow by 1 %: 1/40 covers both.
const driftDivisor = 40

// DefaultConfig returns the limits of the design for a node session.
func DefaultConfig(node mesh.NodeID, session mesh.SessionID) Config {
	return Config{
		Node: node, Session: session, Lease: DefaultLease, LeaseMargin: DefaultLeaseMargin, RetryHorizon: DefaultRetryHorizon,
		MaxKeys: DefaultMaxKeys, MaxBytes: DefaultMaxBytes,
	}
}

// RequestID identifies a request of a caller within this process.
type RequestID uint64

// Slots are the key slots of a state.
type Slots = [state.KeySlotCount]state.KeySlot

// Event is an input of Step.
type Event interface{ at() time.Duration }

// Tick lets time pass; it should come about once a second.
type Tick struct{ Now time.Duration }

// RecordApplied reports a record that the reducer applied, and the slots after
// it. Records that concern no key slot may be left out.
type RecordApplied struct {
	Now    time.Duration
	Result state.Result
	// Slots is read during Step only.
	Slots *Slots
}

// SnapshotLoaded reports that the state was replaced as a whole.
type SnapshotLoaded struct {
	Now   time.Duration
	Slots *Slots
}

// HeadConfirmed reports that this node had applied all records that existed at
// AsOf, which is when it sent the request that proved it.
type HeadConfirmed struct{ Now, AsOf time.Duration }

// MembersChanged holds the nodes known to be alive, this one included.
type MembersChanged struct {
	Now  time.Duration
	Live []mesh.NodeID
}

// Request asks to execute a request with a key at this node.
type Request struct {
	Now time.Duration
	ID  RequestID
	Key string
	// Digest identifies what the key is used for.
	Digest uint64
}

// RequestCanceled reports that a request waits no longer. It does not end an execution.
type RequestCanceled struct {
	Now time.Duration
	ID  RequestID
}

// ResultKind is how an execution ended.
type ResultKind int

// The ends of an execution.
const (
	// NotRun: it is certain that no target ran it or will.
	NotRun ResultKind = iota
	// Done: the answer is complete.
	Done
	// Unknown: a target may have run it or may still.
	Unknown
)

// ExecutionFinished reports the end of an execution.
type ExecutionFinished struct {
	Now      time.Duration
	ID       RequestID
	Kind     ResultKind
	Response Response
}

// Response is a stored answer of a target.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Oversized is set if the body was not kept.
	Oversized bool `json:"oversized,omitempty"`
}

// HandoverReceived holds the memory of an owner that stops.
type HandoverReceived struct {
	Now      time.Duration
	Handover Handover
}

// HandoverReplied reports whether the successor took the handover.
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

// Effect is an output of Step.
type Effect interface{ effect() }

// AppendRecord asks to append a record, and to repeat it with the same id until its
// outcome has been read.
type AppendRecord struct{ Record record.Record }

// Execute allows a request to go to a target under a fence.
type Execute struct {
	ID    RequestID
	Fence FencingToken
}

// Replay answers a request with a stored answer.
type Replay struct {
	ID       RequestID
	Response Response
}

// Refuse refuses a request.
type Refuse struct {
	ID     RequestID
	Reason Reason
	// MayHaveRun is set unless this request certainly does not run.
	MayHaveRun bool
}

// SendHandover asks to send the memory to a successor; HandoverReplied follows.
type SendHandover struct {
	To       mesh.NodeID
	Handover Handover
}

// ReplyHandover tells the node that hands over whether its memory was taken.
type ReplyHandover struct{ OK bool }

// Stopped reports that no slot is owned any more after StopRequested.
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

// The reasons of refusals.
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
