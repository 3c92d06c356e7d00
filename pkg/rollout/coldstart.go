package rollout

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// The cold start of an endpoint ends at the first of these two limits: the call
// limit for busy endpoints, the time limit for those with a few calls a minute.
const (
	ColdStartCalls = 20
	ColdStartTime  = 10 * time.Second
)

// targetIdleTimeout is how long an endpoint without calls is remembered.
const targetIdleTimeout = 10 * time.Minute

// TargetSession names one run of a target: a restart begins a new cold start.
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

// ColdStartFilter tells which calls fall into the cold start of their endpoint. It
// belongs on the node beside the target, which sees all calls of the endpoint and
// marks the responses of cold ones; a filter at each caller's node would leave
// out the first calls from every node. The zero value is ready for use.
type ColdStartFilter struct {
	targets   map[TargetSession]callHistory
	lastSweep time.Duration
}

// Observe registers one call at the monotonic time now and reports whether it
// counts as evidence.
func (c *ColdStartFilter) Observe(now time.Duration, target TargetSession) bool {
	if c.targets == nil {
		c.targets = map[TargetSession]callHistory{}
	}
	c.removeIdle(now)
	history, known := c.targets[target]
	if !known {
		history.first = now
	}
	counts := history.calls >= ColdStartCalls || (known && now-history.first >= ColdStartTime)
	history.last = now
	history.calls++
	c.targets[target] = history
	return counts
}

// removeIdle forgets idle endpoints, so that churn does not grow the table.
func (c *ColdStartFilter) removeIdle(now time.Duration) {
	if now-c.lastSweep < targetIdleTimeout {
		return
	}
	c.lastSweep = now
	for target, history := range c.targets {
		if now-history.last >= targetIdleTimeout {
			delete(c.targets, target)
		}
	}
}
