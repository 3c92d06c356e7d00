package rollout

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// The cold start of a target ends at the first of these two limits: the call limit for
// busy targets, the time limit for targets with a few calls a minute.
const (
	ColdStartCalls = 20
	ColdStartTime  = 10 * time.Second
)

// targetIdleTimeout is how long a target without calls is remembered.
const targetIdleTimeout = 10 * time.Minute

// TargetSession identifies one process lifetime of a target; a restart begins a new
// cold start.
type TargetSession struct {
	Node    mesh.NodeID
	Session mesh.SessionID
	Service string
	Version string
}

type callHistory struct {
	first, last time.Duration
	calls       uint64
}

// ColdStartFilter excludes the calls of a target's cold start from the evidence. It
// must run on the target's own node, which sees all calls to the target and marks the
// responses of cold ones; a filter on each caller's node would exclude the first calls
// from every node. The zero value is ready for use.
type ColdStartFilter struct {
	targets   map[TargetSession]callHistory
	lastSweep time.Duration
}

// Observe registers one call at the monotonic time now and reports whether it is past
// the target's cold start.
func (f *ColdStartFilter) Observe(now time.Duration, target TargetSession) bool {
	if f.targets == nil {
		f.targets = map[TargetSession]callHistory{}
	}
	f.removeIdle(now)
	history, known := f.targets[target]
	if !known {
		history.first = now
	}
	counts := history.calls >= ColdStartCalls || (known && now-history.first >= ColdStartTime)
	history.last = now
	history.calls++
	f.targets[target] = history
	return counts
}

// removeIdle forgets idle targets, so that restarts do not grow the table without
// limit.
func (f *ColdStartFilter) removeIdle(now time.Duration) {
	if now-f.lastSweep < targetIdleTimeout {
		return
	}
	f.lastSweep = now
	for target, history := range f.targets {
		if now-history.last >= targetIdleTimeout {
			delete(f.targets, target)
		}
	}
}
