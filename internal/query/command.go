// Package query implements the operators' query and command language: the grammar,
// the commands, their execution against a node and the typed replies.
//
// A rollout is called a "move" in the language.
package query

import (
	"time"

	"heathercroft.example/heathercroft/pkg/record"
)

// Command is a parsed command: one of the Show types or Change.
type Command interface {
	isCommand()
}

// ShowInForce requests the revision in force in each zone.
type ShowInForce struct {
	// Service limits the report to one service; empty for the whole configuration.
	Service string
	// Zone limits the report to one availability zone; empty for all.
	Zone string
}

// ShowServices requests the services with their versions and weights.
type ShowServices struct{}

// ShowRoutes requests the routes.
type ShowRoutes struct{}

// ShowMoves requests all rollouts in the state.
type ShowMoves struct{}

// ShowMove requests one rollout. Within limits how long to wait for its end.
type ShowMove struct {
	ID     record.RolloutID
	Within *time.Duration
}

// ShowNodes requests the nodes and the revision that each has applied.
type ShowNodes struct{}

// ShowZones requests the availability zones.
type ShowZones struct{}

// ShowWaiting requests the changes that wait at the node and are not accepted yet.
type ShowWaiting struct{}

// ShowChange requests the status of a change. Within limits how long to wait for
// its end.
type ShowChange struct {
	ID     string
	Within *time.Duration
}

// ShowPrice requests the price of a change without submitting it.
type ShowPrice struct {
	Change Change
}

// Change holds one or more statements that take effect atomically.
type Change struct {
	Statements []Statement
	// Wait is how long acceptance may be deferred; 0 means urgent.
	Wait time.Duration
	// Within is the time limit for the reply, counted from the arrival of the
	// command at the node. If it is nil, the limit is Wait plus DefaultWithin.
	Within *time.Duration
}

// Statement is a change of one object.
type Statement struct {
	// Body is the change. The times of a StartRollout are set by Execute.
	Body record.Body
	// Deadline is set for a StartRollout only.
	Deadline Deadline
	// At is the revision that the operator expects the object to have. If it is nil,
	// the node's current revision of the object is used.
	At *record.Revision
}

// Deadline is the end of a move, as a duration from now or as a time.
type Deadline struct {
	In time.Duration
	At time.Time
}

func (ShowInForce) isCommand()  {}
func (ShowServices) isCommand() {}
func (ShowRoutes) isCommand()   {}
func (ShowMoves) isCommand()    {}
func (ShowMove) isCommand()     {}
func (ShowNodes) isCommand()    {}
func (ShowZones) isCommand()    {}
func (ShowWaiting) isCommand()  {}
func (ShowChange) isCommand()   {}
func (ShowPrice) isCommand()    {}
func (Change) isCommand()       {}
