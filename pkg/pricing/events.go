package pricing

import (
	"time"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Change is one configuration change of an operator.
type Change struct {
	// ID is unique, and becomes the record id if the change is appended alone.
	ID               string
	ExpectedRevision record.Revision
	// Body is the change; a batch is appended unchanged, in a record of its own.
	Body record.Body
	// Wait is the longest time until the append; 0 is urgent.
	Wait time.Duration
}

// Event is an input of Queue. Now is monotonic in all events.
type Event interface{ pricingEvent() }

// Tick reports the current time.
type Tick struct{ Now time.Duration }

// ChangeSubmitted adds an operator's change to the queue.
type ChangeSubmitted struct {
	Now    time.Duration
	Change Change
}

// SystemRecordSubmitted adds a record of the system itself: a claim, step, verdict or
// renewal. It is appended unchanged and never merged.
type SystemRecordSubmitted struct {
	Now    time.Duration
	Record record.Record
}

// MeshChanged reports the size of the mesh, which determines this node's share of the
// appends and the price model.
type MeshChanged struct {
	Now  time.Duration
	Mesh MeshStats
}

// AppendResult reports the outcome of a record that the queue asked to append, as seen
// in the log. For a repeated id it is the first outcome.
type AppendResult struct {
	Now      time.Duration
	RecordID string
	Outcome  state.Outcome
}

// AppendAbandoned reports that the adapter stopped retrying an append without having
// seen its outcome, which is then unknown.
type AppendAbandoned struct {
	Now      time.Duration
	RecordID string
	Reason   string
}

func (Tick) pricingEvent()                  {}
func (ChangeSubmitted) pricingEvent()       {}
func (SystemRecordSubmitted) pricingEvent() {}
func (MeshChanged) pricingEvent()           {}
func (AppendResult) pricingEvent()          {}
func (AppendAbandoned) pricingEvent()       {}

// Effect is an output of Queue that an adapter carries out.
type Effect interface{ pricingEffect() }

// AppendRecord requests that a record be appended, and repeated with the same bytes
// until its outcome is seen. The adapter sets Base, and Author if it is empty, once
// before the first attempt.
type AppendRecord struct {
	Record record.Record
	// Changes lists the ids of the changes in the record; it is empty for a record of
	// the system.
	Changes []string
}

// ChangeQueued tells the operator that a change is waiting.
type ChangeQueued struct {
	ChangeID string
	// Until is the latest time of the append, on the clock of Now, unless the node's
	// share of appends is exhausted.
	Until time.Duration
	// Price is the expected price.
	Price Price
}

// ChangeResult tells the operator the result of a change. Exactly one follows each
// ChangeSubmitted.
type ChangeResult struct {
	ChangeID string
	// Outcome is the change's own outcome.
	Outcome state.Outcome
	// Unknown is set if the append was abandoned: the change may take effect later.
	Unknown bool
	// Reason is set if the outcome is unknown.
	Reason string
	// Waited is the time from submission to the outcome.
	Waited time.Duration
	// Price is the cost of the change, including its fraction of a shared append.
	Price Price
}

// SetTimer requests a Tick at the given time. A later SetTimer replaces an earlier one.
type SetTimer struct{ At time.Duration }

func (AppendRecord) pricingEffect() {}
func (ChangeQueued) pricingEffect() {}
func (ChangeResult) pricingEffect() {}
func (SetTimer) pricingEffect()     {}
