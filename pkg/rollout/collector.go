package rollout

import (
	"maps"
	"time"
)

// Collector counts the calls of one node to the services with an open rollout. The zero
// value is ready for use. It is not safe for concurrent use.
type Collector struct {
	totals, delta Evidence
}

// Count adds one call that passed the ColdStartFilter.
func (c *Collector) Count(k Key, failed bool, latency time.Duration) {
	if c.totals == nil {
		c.totals, c.delta = Evidence{}, Evidence{}
	}
	c.totals.AddCall(k, failed, latency)
	c.delta.AddCall(k, failed, latency)
}

// TakeDelta returns the counts since the previous TakeDelta, for LocalEvidence.
func (c *Collector) TakeDelta() Evidence {
	delta := c.delta
	c.delta = Evidence{}
	return delta
}

// Totals returns a copy of the running totals of a service, for EvidenceReceived.
func (c *Collector) Totals(service string) Evidence {
	totals := maps.Clone(c.totals)
	maps.DeleteFunc(totals, func(k Key, _ Counts) bool { return k.Service != service })
	return totals
}

// RemoveService drops the counts of a service whose rollout has ended.
func (c *Collector) RemoveService(service string) {
	ofService := func(k Key, _ Counts) bool { return k.Service == service }
	maps.DeleteFunc(c.totals, ofService)
	maps.DeleteFunc(c.delta, ofService)
}
