// Package timeline records the events of a process and merges the events of
// many processes into one order.
package timeline

import (
	"log/slog"
	"time"
)

// Kind names what happened.
type Kind string

// KindAppended is the event of the process that appended a record and was told
// its revision. It causes all other events of that revision.
const KindAppended Kind = "appended"

// Event is one thing that happened in a process.
type Event struct {
	Process string `json:"process"`
	Zone    string `json:"zone,omitempty"`
	// Session identifies one run of the process.
	Session string `json:"session"`
	// Sequence counts the events of a session from 1.
	Sequence uint64 `json:"sequence"`
	// Time is the wall clock of the process.
	Time time.Time `json:"time"`
	// Revision is the log revision that the event belongs to, 0 if there is none.
	Revision uint64            `json:"revision,omitempty"`
	Kind     Kind              `json:"kind"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// LogKey is the key of a log line that holds an event.
const LogKey = "event"

// LogAttr returns the event as an attribute of a JSON log line, from which it can
// be collected again.
func LogAttr(e Event) slog.Attr { return slog.Any(LogKey, e) }
