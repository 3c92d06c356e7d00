// Package query holds the operators' query and command language: its grammar,
// its commands, their execution against a node and the typed replies.
//
// What the code calls a rollout is a "move" in the language.
package query

import (
	"time"

	"heathercroft.example/heathercroft/pkg/record"
)

// Command is a parsed command: one of the Show types or Change.
type Command interface {
	isCommand()
}

// ShowInForce asks which revision is in force in which zone.
type ShowInForce struct {
	// Service limits the report to one service; empty for the whole configuration.
	Service string
	// Zone limits the report to one availability zone; empty for all.
	Zone string
}

// ShowServices asks for the services with their versions and weights.
type ShowServices struct{}

// ShowRoutes asks for the routes.
type ShowRoutes struct{}

// ShowMoves asks for all rollouts that the state still holds.
type ShowMoves struct{}

// ShowMove asks for one rollout. Within bounds how long to wait for its end.
type ShowMove struct {
	ID     record.RolloutID
	Within *time.Duration
}

// ShowNodes asks for the nodes and the revision that each has applied.
type ShowNodes struct{}

// ShowZones asks for the availability zones.
type ShowZones struct{}

// ShowWaiting asks for the changes that wait at the node and are not accepted yet.
type ShowWaiting struct{}

// ShowChange asks what became of a change. Within bounds how long to wait for its end.
type ShowChange struct {
	ID     string
	Within *time.Duration
}

// ShowPrice asks for the price of a change without making it.
type ShowPrice struct {
	Change Change
}

// Change is one or more statements that take effect together or not at all.
type Change struct {
	Statements []Statement
	// Wait is how long acceptance may be deferred; 0 is urgent.
	Wait time.Duration
	// Within bounds how long the reply may take, counted from the arrival of the
	// command at the node. Without it, the bound is Wait plus DefaultWithin.
	Within *time.Duration
}

// Statement is one change of an object.
type Statement struct {
	// Body is the change. The times of a StartRollout are set by Execute.
	Body record.Body
	// Deadline is set for a StartRollout only.
	Deadline Deadline
	// At is the revision of the object that the operator presumes; without it,
	// the node's current revision of the object is used.
	At *record.Revision
}

// Deadline is the end of a move, as a time span from now or as a time.
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
