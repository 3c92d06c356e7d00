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

// endpointIdle is how long an endpoint without calls is remembered.
const endpointIdle = 10 * time.Minute

// TargetSession names one run of a target: a restart begins a new cold start.
type TargetSession struct {
	Node    mesh.NodeID
	Session mesh.SessionID
	Service string
	Version string
}

type endpointAge struct {
	first, last time.Duration
	calls       uint64
}

// ColdStartFilter tells which calls fall into the cold start of their endpoint. It
// belongs on the node beside the target, which sees all calls of the endpoint and
// marks the responses of cold ones; a filter at each caller's node would leave
// out the first calls from every node. The zero value is ready for use.
type ColdStartFilter struct {
	runs  map[TargetSession]endpointAge
	swept time.Duration
}

// Observe registers one call at the monotonic time now and reports whether it
// counts as evidence.
func (c *ColdStartFilter) Observe(now time.Duration, run TargetSession) bool {
	if c.runs == nil {
		c.runs = map[TargetSession]endpointAge{}
	}
	c.sweep(now)
	age, known := c.runs[run]
	if !known {
		age.first = now
	}
	counts := age.calls >= ColdStartCalls || (known && now-age.first >= ColdStartTime)
	age.last = now
	age.calls++
	c.runs[run] = age
	return counts
}

// sweep forgets idle endpoints, so that churn does not grow the table.
func (c *ColdStartFilter) sweep(now time.Duration) {
	if now-c.swept < endpointIdle {
		return
	}
	c.swept = now
	for run, age := range c.runs {
		if now-age.last >= endpointIdle {
			delete(c.runs, run)
		}
	}
}
