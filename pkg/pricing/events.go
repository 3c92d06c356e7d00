package pricing

import (
	"time"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Change is one configuration change of an operator.
type Change struct {
	// ID is unique, and becomes the record id if the change is appended alone.
	ID       string
	Presumes record.Revision
	// Body is the change; a batch is appended as it is, in a record of its own.
	Body record.Body
	// Wait is the longest time until the append. 0 is urgent.
	Wait time.Duration
}

// Event is an input of Queue. Now is monotonic in all of them.
type Event interface{ pricingEvent() }

// Tick lets time pass.
type Tick struct{ Now time.Duration }

// Submitted hands a change of an operator to the queue.
type Submitted struct {
	Now    time.Duration
	Change Change
}

// SystemSubmitted hands over a record of the system itself: a claim, step,
// verdict or renewal. Its bytes stay as they are; it is never merged.
type SystemSubmitted struct {
	Now    time.Duration
	Record record.Record
}

// MeshChanged reports the size of the mesh, which sets this node's share of the
// appends and the price model.
type MeshChanged struct {
	Now  time.Duration
	Mesh Mesh
}

// Settled reports the outcome of a record that the queue asked to append, as
// seen in the log. For a repeated id it is the first outcome.
type Settled struct {
	Now      time.Duration
	RecordID string
	Outcome  state.Outcome
}

// GaveUp reports that the adapter stopped repeating an append without having
// seen its outcome, which is then unknown.
type GaveUp struct {
	Now      time.Duration
	RecordID string
	Reason   string
}

func (Tick) pricingEvent()            {}
func (Submitted) pricingEvent()       {}
func (SystemSubmitted) pricingEvent() {}
func (MeshChanged) pricingEvent()     {}
func (Settled) pricingEvent()         {}
func (GaveUp) pricingEvent()          {}

// Effect is an output of Queue that an adapter carries out.
type Effect interface{ pricingEffect() }

// Append asks for a record to be appended, and to be repeated with the same
// bytes until its outcome is seen. The adapter sets Base, and Author if it is
// empty, once before the first try.
type Append struct {
	Record record.Record
	// Changes lists the ids of the changes that the record carries; it is empty
	// for a record of the system.
	Changes []string
}

// Waiting tells the operator that a change is not accepted yet.
type Waiting struct {
	ChangeID string
	// Until is the latest time of the append, on the clock of Now, unless the
	// node's share of appends is used up.
	Until time.Duration
	// Price is the expected price.
	Price Price
}

// Answer tells the operator what became of a change. Exactly one follows each
// Submitted.
type Answer struct {
	ChangeID string
	// Outcome is the change's own outcome.
	Outcome state.Outcome
	// Unknown is set if the append gave up: the change may take effect later.
	Unknown bool
	// Reason is set if the outcome is unknown.
	Reason string
	// Waited is the time from submission to the outcome.
	Waited time.Duration
	// Price is what the change cost, with its part of a shared append.
	Price Price
}

// Wake asks for a Tick at a time. A later Wake replaces an earlier one.
type Wake struct{ At time.Duration }

func (Append) pricingEffect()  {}
func (Waiting) pricingEffect() {}
func (Answer) pricingEffect()  {}
func (Wake) pricingEffect()    {}
