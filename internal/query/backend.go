package query

import (
	"context"
	"time"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Backend is what a node offers to the execution of commands. All methods are
// safe for concurrent use and return without waiting for other processes.
type Backend interface {
	// Now is the node's wall clock.
	Now() time.Time
	// State returns the node's current state. The caller does not change it, and
	// the node does not change it after it was returned.
	State() *state.State
	// InForce reports what is in force in each availability zone.
	InForce() InForce
	// Nodes reports the known nodes, in order of zone and name.
	Nodes() []NodeReport
	// Rollout returns what the node knows of a rollout beside its state; false if
	// it knows nothing more.
	Rollout(id record.RolloutID) (RolloutReport, bool)
	// Price estimates the cost of a change that may wait this long.
	Price(body record.Body, wait time.Duration) Price
	// Waiting returns the changes that wait at this node, in order of their end.
	Waiting() []WaitingChange
	// Submit hands over a change and returns its fate so far. A change with an id
	// that was submitted before is not submitted again. The context is not
	// canceled when the operator goes away or the time of the reply is up.
	Submit(ctx context.Context, s Submission) ChangeStatus
	// ChangeStatus returns what became of a change by its id.
	ChangeStatus(id string) ChangeStatus
	// Changed returns a channel that is closed at the next change of the state,
	// of a fate, or of the in-force report. The caller takes it before it reads.
	Changed() <-chan struct{}
}

// Submission is a change to append to the log.
type Submission struct {
	// ID becomes the id of the record.
	ID               string
	Body             record.Body
	ExpectedRevision record.Revision
	// Wait is how long acceptance may be deferred; 0 is urgent.
	Wait time.Duration
	// Text is the command as the operator wrote it.
	Text string
}

// Stage is how far a change has come.
type Stage string

// The stages of a change.
const (
	// StageNone: the node knows no change with this id.
	StageNone Stage = "none"
	// StageNotRun: the change was not appended and never will be.
	StageNotRun Stage = "not-run"
	// StageWaiting: the change is kept at the node and not accepted yet.
	StageWaiting Stage = "waiting"
	// StageUnknown: the change was sent to the log, and no outcome has been read.
	StageUnknown Stage = "unknown"
	// StageDecided: the record was read back, and Outcome is set.
	StageDecided Stage = "decided"
)

// ChangeStatus is what became of a change.
type ChangeStatus struct {
	Stage Stage
	// Outcome is set if the stage is StageDecided.
	Outcome state.Outcome
	// Reason says why a change was not run or is not decided yet.
	Reason string
	// Elsewhere is set for StageNotRun if another node may be able to append it.
	Elsewhere bool
	// Due is the end of the wait of a waiting change.
	Due time.Time
	// Cost is what the change has cost, once known.
	Cost *Price
}

// InForce is what the node knows of the revisions in force.
type InForce struct {
	// Head is the newest revision that the node knows to be in the log.
	Head record.Revision
	// PlatformReachable is false if the node can't read or append at present.
	PlatformReachable bool
	Zones             []ZoneReport
}

// ZoneReport is what is known of one availability zone.
type ZoneReport struct {
	Zone   string
	Region string
	// Visible is false if the zone has not responded lately; the rest of the
	// report is then of AsOf and may have changed since.
	Visible bool
	AsOf    time.Time
	// Nodes is the number of nodes that are believed to be alive.
	Nodes int
	// Applied says how many of the nodes have applied which revision. Nodes that
	// have sent no acknowledgement are not contained.
	Applied []RevisionCount
	NACKs   []NACK
}

// RevisionCount is how many nodes have a revision in force.
type RevisionCount struct {
	Revision record.Revision `json:"revision"`
	Nodes    int             `json:"nodes"`
}

// NACK is a node's refusal of a revision.
type NACK struct {
	Node     string          `json:"node"`
	Revision record.Revision `json:"revision"`
	Reason   string          `json:"reason"`
}

// NodeReport is what is known of one node.
type NodeReport struct {
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address,omitempty"`
	// State is the membership state, such as "alive", "suspect", "leaving" or
	// "dead", or "unknown" in a zone that can't be seen.
	State string `json:"state"`
	// Revision is the last acknowledged revision, 0 if there was none.
	Revision record.Revision `json:"revision"`
	Service  string          `json:"service,omitempty"`
	Version  string          `json:"version,omitempty"`
}

// RolloutReport is what a node knows of a rollout beside its state.
type RolloutReport struct {
	// AtRisk is set if the remaining steps don't fit before the deadline.
	AtRisk       bool
	AtRiskReason string
	// Expected is when the rollout will end at the present rate of evidence.
	Expected time.Time
	// CutZones are the zones that have cut their share of the new version.
	CutZones []string
	// Unknown is set if the status can't be known, for instance since this zone
	// can't see the platform.
	Unknown       bool
	UnknownReason string
}

// Price is the cost of a change to the whole system.
type Price struct {
	Bytes int64 `json:"bytes"`
	// Appends is below 1 if the change shares an append with others.
	Appends float64 `json:"appends"`
	Reads   float64 `json:"reads"`
}

// WaitingChange is a change that waits at a node.
type WaitingChange struct {
	ID   string
	Text string
	Due  time.Time
}
