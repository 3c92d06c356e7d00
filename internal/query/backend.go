package query

import (
	"context"
	"time"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Backend is the interface of a node that commands are executed against. All
// methods are safe for concurrent use and return without waiting for other
// processes.
type Backend interface {
	// Now returns the time of the node's wall clock.
	Now() time.Time
	// State returns the node's current state. Neither the caller nor the node may
	// modify it afterwards.
	State() *state.State
	// InForce reports which revisions are in force in each availability zone.
	InForce() InForce
	// Nodes reports the known nodes, sorted by zone and name.
	Nodes() []NodeReport
	// Rollout returns what the node knows about a rollout in addition to its state,
	// and false if it knows nothing more.
	Rollout(id record.RolloutID) (RolloutReport, bool)
	// Price estimates the cost of a change that may be deferred by wait.
	Price(body record.Body, wait time.Duration) Price
	// Waiting returns the changes that wait at this node, sorted by due time.
	Waiting() []WaitingChange
	// Submit submits a change and returns its status so far. A change with an ID
	// that was submitted before is not submitted again. The context is not
	// canceled when the operator disconnects or the reply times out.
	Submit(ctx context.Context, s Submission) ChangeStatus
	// ChangeStatus returns the status of the change with this ID.
	ChangeStatus(id string) ChangeStatus
	// Changed returns a channel that is closed at the next change of the state,
	// of the status of a change, or of the in-force report. The caller must get the
	// channel before it reads any of them.
	Changed() <-chan struct{}
}

// Submission is a change to append to the log.
type Submission struct {
	// ID becomes the ID of the record.
	ID               string
	Body             record.Body
	ExpectedRevision record.Revision
	// Wait is how long acceptance may be deferred; 0 means urgent.
	Wait time.Duration
	// Text is the command as the operator wrote it.
	Text string
}

// Stage is the processing stage of a change.
type Stage string

// The stages of a change.
const (
	// StageNone: the node knows no change with this ID.
	StageNone Stage = "none"
	// StageNotRun: the change was not appended and never will be.
	StageNotRun Stage = "not-run"
	// StageWaiting: the change is queued at the node and not accepted yet.
	StageWaiting Stage = "waiting"
	// StageUnknown: the change was sent to the log, and its outcome has not been
	// read back.
	StageUnknown Stage = "unknown"
	// StageDecided: the record was read back, and Outcome is set.
	StageDecided Stage = "decided"
)

// ChangeStatus is the status of a submitted change.
type ChangeStatus struct {
	Stage Stage
	// Outcome is set if the stage is StageDecided.
	Outcome state.Outcome
	// Reason states why a change was not run or is not decided yet.
	Reason string
	// Elsewhere is true for StageNotRun if another node may be able to append the
	// change.
	Elsewhere bool
	// Due is when the wait of a waiting change ends.
	Due time.Time
	// Cost is the actual cost of the change, once known.
	Cost *Price
}

// InForce holds what the node knows about the revisions in force.
type InForce struct {
	// Head is the latest revision in the log that the node knows of.
	Head record.Revision
	// PlatformReachable is false if the node currently can't read or append.
	PlatformReachable bool
	Zones             []ZoneReport
}

// ZoneReport holds what is known about one availability zone.
type ZoneReport struct {
	Zone   string
	Region string
	// Visible is false if the zone has not responded recently; the rest of the
	// report then dates from AsOf and may be out of date.
	Visible bool
	AsOf    time.Time
	// Nodes is the number of nodes considered alive.
	Nodes int
	// Applied counts the nodes by the revision that they have applied. Nodes that
	// have sent no acknowledgement are not included.
	Applied []RevisionCount
	NACKs   []NACK
}

// RevisionCount is the number of nodes that have a revision in force.
type RevisionCount struct {
	Revision record.Revision `json:"revision"`
	Nodes    int             `json:"nodes"`
}

// NACK is the rejection of a revision by a node.
type NACK struct {
	Node     string          `json:"node"`
	Revision record.Revision `json:"revision"`
	Reason   string          `json:"reason"`
}

// NodeReport holds what is known about one node.
type NodeReport struct {
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address,omitempty"`
	// State is the membership state, such as "alive", "suspect", "leaving" or
	// "dead", or "unknown" in a zone that can't be seen.
	State string `json:"state"`
	// Revision is the last acknowledged revision, or 0 if there is none.
	Revision record.Revision `json:"revision"`
	Service  string          `json:"service,omitempty"`
	Version  string          `json:"version,omitempty"`
}

// RolloutReport holds what a node knows about a rollout in addition to its state.
type RolloutReport struct {
	// AtRisk is true if the remaining steps can't finish before the deadline.
	AtRisk       bool
	AtRiskReason string
	// Expected is the estimated end of the rollout at the current rate of evidence.
	Expected time.Time
	// CutZones are the zones that have set their share of the new version to 0.
	CutZones []string
	// Unknown is true if the status can't be determined, for example because this
	// zone can't reach the platform.
	Unknown       bool
	UnknownReason string
}

// Price is the cost of a change for the whole system.
type Price struct {
	Bytes int64 `json:"bytes"`
	// Appends is less than 1 if the change shares an append with others.
	Appends float64 `json:"appends"`
	Reads   float64 `json:"reads"`
}

// WaitingChange is a change that waits at a node.
type WaitingChange struct {
	ID   string
	Text string
	Due  time.Time
}
