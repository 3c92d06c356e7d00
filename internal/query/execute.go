package query

import (
	"context"
	"time"
)

// DefaultWithin is how long a reply may take after the wait of a change. The
// bound for a change to be in force everywhere is 9 s; the rest is for the append.
const DefaultWithin = 12 * time.Second

// Request is a command with the id that makes its repetition harmless.
type Request struct {
	ID      string
	Text    string
	Command Command
	// Within lowers the bound of the command on its reply, if set.
	Within *time.Duration
}

// Execute runs a command at a node. It returns when the command has reached its
// end, when its time is up, or when ctx ends; the reply tells what is true then.
func Execute(ctx context.Context, b Backend, req Request) Reply {
	panic("not implemented yet")
}

// Parse reads one command. Its error is a *ParseError.
func Parse(text string) (Command, error) { panic("not implemented yet") }
