package query

import (
	"time"

	"heathercroft.example/heathercroft/pkg/record"
)

// Status is the status of a command.
type Status string

// The statuses of a reply.
const (
	// StatusDone: a query has completed, a change is in force everywhere, or a move
	// has ended with all traffic at the new version.
	StatusDone Status = "done"
	// StatusRefused: the change has no effect; Reason states why.
	StatusRefused Status = "refused"
	// StatusWaiting: the change waits at the node and is not accepted yet.
	StatusWaiting Status = "waiting"
	// StatusInProgress: the change is accepted and not yet in force everywhere,
	// or the move has not ended.
	StatusInProgress Status = "in-progress"
	// StatusReversed: the move was rolled back.
	StatusReversed Status = "reversed"
	// StatusUnknown: the change may have been appended, or some zones can't be
	// reached.
	StatusUnknown Status = "unknown"
)

// RunOutcome states whether a command may have had an effect.
type RunOutcome string

// The outcomes of a command that is not known to have run.
const (
	NotRun     RunOutcome = "not-run"
	MayHaveRun RunOutcome = "may-have-run"
)

// Winner is the change that won a conflict.
type Winner struct {
	Revision record.Revision `json:"revision"`
	ID       string          `json:"id,omitempty"`
	Author   string          `json:"author,omitempty"`
}

// Reply is the reply to a command. At most one of the row fields is set; a query
// without results sets none.
type Reply struct {
	ID     string `json:"id,omitempty"`
	Status Status `json:"status"`
	// Outcome is set for a change that was refused or whose outcome is unknown.
	Outcome RunOutcome `json:"outcome,omitempty"`
	Reason  string     `json:"reason,omitempty"`
	// Decided is true if the outcome was read from the log, so that it applies to
	// every retry of the command at any node.
	Decided bool `json:"decided,omitempty"`
	// Elsewhere is true if the change was not run and another node may accept it.
	Elsewhere bool `json:"elsewhere,omitempty"`
	// Winner is set if the change lost a conflict.
	Winner *Winner `json:"winner,omitempty"`
	// Revision is the revision of the change, or the node's revision for a query.
	Revision record.Revision `json:"revision"`
	// Due is the latest time at which a waiting change will be appended.
	Due *time.Time `json:"due,omitempty"`
	// UnseenZones are the zones whose current state can't be determined.
	UnseenZones []string `json:"unseen_zones,omitempty"`
	// NACKs are the rejections of the change's revision by nodes.
	NACKs []NACK `json:"nacks,omitempty"`
	// PendingZones are the visible zones in which the change is not in force yet.
	PendingZones []string `json:"pending_zones,omitempty"`
	PriceBefore  *Price   `json:"price_before,omitempty"`
	PriceAfter   *Price   `json:"price_after,omitempty"`

	InForce  []InForceRow `json:"in_force,omitempty"`
	Services []ServiceRow `json:"services,omitempty"`
	Routes   []RouteRow   `json:"routes,omitempty"`
	Moves    []MoveRow    `json:"moves,omitempty"`
	Nodes    []NodeReport `json:"nodes,omitempty"`
	Zones    []ZoneRow    `json:"zones,omitempty"`
	Waiting  []WaitingRow `json:"waiting,omitempty"`
}

// ZoneState states whether a configuration is in force in a zone.
type ZoneState string

// The states of a configuration in a zone.
const (
	ZoneInForce ZoneState = "in-force"
	ZonePending ZoneState = "pending"
	ZoneUnknown ZoneState = "unknown"
)

// InForceRow is the state of a configuration in one zone.
type InForceRow struct {
	Zone    string          `json:"zone"`
	Service string          `json:"service,omitempty"`
	Wanted  record.Revision `json:"wanted"`
	State   ZoneState       `json:"state"`
	// NodesInForce counts the nodes, out of Nodes, that have applied at least the
	// wanted revision.
	NodesInForce int `json:"nodes_in_force"`
	Nodes        int `json:"nodes"`
	// Lowest and Highest are the range of revisions in the zone at AsOf.
	Lowest  record.Revision `json:"lowest"`
	Highest record.Revision `json:"highest"`
	AsOf    time.Time       `json:"as_of"`
	NACKs   []NACK          `json:"nacks,omitempty"`
}

// ServiceRow is one service.
type ServiceRow struct {
	Name     string          `json:"name"`
	Versions []VersionRow    `json:"versions"`
	Revision record.Revision `json:"revision"`
}

// VersionRow is one version of a service with its share of traffic.
type VersionRow struct {
	Version string             `json:"version"`
	Weight  record.BasisPoints `json:"weight_bp"`
}

// RouteRow is one route.
type RouteRow struct {
	Name     string          `json:"name"`
	Prefix   string          `json:"prefix"`
	Service  string          `json:"service"`
	Revision record.Revision `json:"revision"`
}

// MoveStatus is the status of a move.
type MoveStatus string

// The states of a move.
const (
	MoveInProgress MoveStatus = "in-progress"
	MovePaused     MoveStatus = "paused"
	MoveDone       MoveStatus = "done"
	MoveReversed   MoveStatus = "reversed"
	MoveUnknown    MoveStatus = "unknown"
)

// MoveRow is one move.
type MoveRow struct {
	ID       record.RolloutID   `json:"id"`
	Service  string             `json:"service"`
	From     string             `json:"from"`
	To       string             `json:"to"`
	Status   MoveStatus         `json:"status"`
	Weight   record.BasisPoints `json:"weight_bp"`
	Deadline time.Time          `json:"deadline"`
	AtRisk   bool               `json:"at_risk,omitempty"`
	Expected *time.Time         `json:"expected,omitempty"`
	Holder   string             `json:"holder,omitempty"`
	Cause    string             `json:"cause,omitempty"`
	Reason   string             `json:"reason,omitempty"`
	// CutZones are the zones that have set their share of the new version to 0.
	CutZones []string `json:"cut_zones,omitempty"`
	// UnseenZones are the zones for which the status is not known.
	UnseenZones []string        `json:"unseen_zones,omitempty"`
	Revision    record.Revision `json:"revision"`
}

// ZoneRow is one availability zone.
type ZoneRow struct {
	Zone    string          `json:"zone"`
	Region  string          `json:"region"`
	Visible bool            `json:"visible"`
	Nodes   int             `json:"nodes"`
	Lowest  record.Revision `json:"lowest"`
	Highest record.Revision `json:"highest"`
	AsOf    time.Time       `json:"as_of"`
}

// WaitingRow is a change that waits at the node.
type WaitingRow struct {
	ID   string    `json:"id"`
	Text string    `json:"text"`
	Due  time.Time `json:"due"`
}

// Exit codes of the operator command-line tool.
const (
	ExitDone    = 0
	ExitRefused = 1
	// ExitUsage: the usage is invalid or the command can't be parsed.
	ExitUsage = 2
	// ExitNotDone: the time limit was reached before the command was done, or the
	// command can no longer be done because its move was rolled back.
	ExitNotDone = 3
)

// ExitCode returns the exit code of the operator command-line tool for the reply.
func (r Reply) ExitCode() int {
	switch r.Status {
	case StatusDone:
		return ExitDone
	case StatusRefused:
		return ExitRefused
	default:
		return ExitNotDone
	}
}
