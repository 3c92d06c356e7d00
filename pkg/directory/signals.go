package directory

import (
	"maps"
	"slices"
)

// Signals is what a target process said about itself in its last response.
type Signals struct {
	// Limited is set if the target names a limit, which is RateLimit requests per second
	// from all nodes together.
	Limited   bool    `json:"limited,omitempty"`
	RateLimit float64 `json:"limit_per_s,omitempty"`
	// Leaving is set once the target has said that it shuts down. That does not end.
	Leaving bool `json:"leaving,omitempty"`
}

// Limit returns the limit for logs and metrics, -1 if there is none.
func (s Signals) Limit() float64 {
	if !s.Limited {
		return -1
	}
	return s.RateLimit
}

// maxSignals bounds the number of target processes whose signals are kept. The oldest ones
// are dropped.
const maxSignals = 1024

// SignalTable holds the signals of the targets whose responses passed through this node.
// Unlike the node beside a target, it keeps them when that node restarts. It is not safe for
// concurrent use.
type SignalTable struct {
	byProcess map[Process]Signals
	// order holds the processes by the time of their first signal.
	order []Process
}

// NewSignalTable returns an empty table.
func NewSignalTable() *SignalTable { return &SignalTable{byProcess: map[Process]Signals{}} }

// Update stores the signals in a response of the process. It reports whether they changed.
func (t *SignalTable) Update(p Process, s Signals) bool {
	before, known := t.byProcess[p]
	s.Leaving = s.Leaving || before.Leaving
	if s == before {
		return false
	}
	if s == (Signals{}) {
		delete(t.byProcess, p)
		t.order = slices.DeleteFunc(t.order, func(o Process) bool { return o == p })
		return true
	}
	t.byProcess[p] = s
	if !known {
		t.order = append(t.order, p)
		if len(t.order) > maxSignals {
			delete(t.byProcess, t.order[0])
			t.order = slices.Delete(t.order, 0, 1)
		}
	}
	return true
}

// Of returns the signals of a process.
func (t *SignalTable) Of(p Process) Signals { return t.byProcess[p] }

// All returns a copy of the table.
func (t *SignalTable) All() map[Process]Signals { return maps.Clone(t.byProcess) }
