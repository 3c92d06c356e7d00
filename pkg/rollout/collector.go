package rollout

import (
	"maps"
	"time"
)

// Collector counts the calls of one node for the services with an open rollout.
// The zero value is ready for use. The caller owns it from one goroutine.
type Collector struct {
	totals, fresh Evidence
}

// Count adds one call that the cold-start filter let through.
func (c *Collector) Count(k Key, failed bool, latency time.Duration) {
	if c.totals == nil {
		c.totals, c.fresh = Evidence{}, Evidence{}
	}
	c.totals.AddCall(k, failed, latency)
	c.fresh.AddCall(k, failed, latency)
}

// TakeDelta returns what was counted since the last call, for LocalEvidence.
func (c *Collector) TakeDelta() Evidence {
	fresh := c.fresh
	c.fresh = Evidence{}
	return fresh
}

// Totals returns a copy of the running totals of a service, for EvidenceReceived.
func (c *Collector) Totals(service string) Evidence {
	totals := maps.Clone(c.totals)
	maps.DeleteFunc(totals, func(k Key, _ Counts) bool { return k.Service != service })
	return totals
}

// RemoveService drops a service whose rollout has ended.
func (c *Collector) RemoveService(service string) {
	other := func(k Key, _ Counts) bool { return k.Service == service }
	maps.DeleteFunc(c.totals, other)
	maps.DeleteFunc(c.fresh, other)
}
