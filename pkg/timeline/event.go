// Package timeline records the events of a process and merges the events of
// several processes into one causal order.
package timeline

import (
	"log/slog"
	"time"
)

// Kind is the type of an event.
type Kind string

// KindAppended is recorded by the process that appended a record, once it learns the
// record's revision. It precedes all other events of that revision.
const KindAppended Kind = "appended"

// Event is an event in a process.
type Event struct {
	Process string `json:"process"`
	Zone    string `json:"zone,omitempty"`
	// Session identifies a run of the process.
	Session string `json:"session"`
	// Sequence is the number of the event in its session, from 1.
	Sequence uint64 `json:"sequence"`
	// Time is the time of the event by the wall clock of the process.
	Time time.Time `json:"time"`
	// Revision is the log revision that the event belongs to, 0 if there is none.
	Revision uint64            `json:"revision,omitempty"`
	Kind     Kind              `json:"kind"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// LogKey is the key of the log attribute that holds an event.
const LogKey = "event"

// LogAttr returns the event as a log attribute. Events can be collected from JSON
// log lines by LogKey.
func LogAttr(e Event) slog.Attr { return slog.Any(LogKey, e) }
