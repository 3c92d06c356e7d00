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

// EndpointRun names one run of a target: a restart begins a new cold start.
type EndpointRun struct {
	Node    mesh.NodeID
	Session mesh.SessionID
	Service string
	Version string
}

type endpointAge struct {
	first, last time.Duration
	calls       uint64
}

// ColdStart tells which calls fall into the cold start of their endpoint. It
// belongs on the node beside the target, which sees all calls of the endpoint and
// marks the responses of cold ones; a filter at each caller's node would leave
// out the first calls from every node. The zero value is ready for use.
type ColdStart struct {
	runs  map[EndpointRun]endpointAge
	swept time.Duration
}

// Count registers one call at the monotonic time now and reports whether it
// counts as evidence.
func (c *ColdStart) Count(now time.Duration, run EndpointRun) bool {
	if c.runs == nil {
		c.runs = map[EndpointRun]endpointAge{}
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
func (c *ColdStart) sweep(now time.Duration) {
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
