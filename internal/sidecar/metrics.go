package sidecar

import (
	"expvar"
	"time"
)

// metrics are the counters of a node.
type metrics struct {
	requests, responses, budgetRefusals, writeErrors, configFetches expvar.Int
	storeErrors, unresponsiveConns, peerErrors                      expvar.Int
	sentToTarget, malformedSignals                                  expvar.Int
	copiesSent, copiesWon, copiesCancelled, copiesRefused           expvar.Int
	// refused counts the responses to callers without a response of a target, inboundRefused the
	// requests for the local target that it did not get, by reason.
	refused, inboundRefused expvar.Map
	queueWait, targetTime   histogram
	organisations           organisationMetrics
	// leftZone counts the attempts at targets in other zones, by both zones.
	leftZone expvar.Map
	// copiesHeld counts the requests that got no copy, by reason.
	copiesHeld expvar.Map
}

func newMetrics() *metrics {
	m := &metrics{}
	m.refused.Init()
	m.inboundRefused.Init()
	m.leftZone.Init()
	m.copiesHeld.Init()
	m.queueWait.counts.Init()
	m.targetTime.counts.Init()
	return m
}

// publish registers the counters with expvar.
func (m *metrics) publish() {
	for name, v := range map[string]expvar.Var{
		"requests": &m.requests, "answered": &m.responses, "budget_refusals": &m.budgetRefusals,
		"write_errors": &m.writeErrors, "config_fetches": &m.configFetches, "store_errors": &m.storeErrors, "silent_connections": &m.unresponsiveConns, "peer_errors": &m.peerErrors,
		"target_requests": &m.sentToTarget, "malformed_signals": &m.malformedSignals,
		"copies_sent": &m.copiesSent, "copies_won": &m.copiesWon, "copies_cancelled": &m.copiesCancelled, "copies_refused": &m.copiesRefused, "copies_held": &m.copiesHeld,
		"refused": &m.refused, "left_zone": &m.leftZone, "inbound_refused": &m.inboundRefused, "queue_wait_ms": &m.queueWait.counts, "target_time_ms": &m.targetTime.counts,
	} {
		expvar.Publish(name, v)
	}
	expvar.Publish("organisations", expvar.Func(func() any { return m.organisations.snapshot() }))
}

// histogram counts durations in buckets with power-of-two bounds in milliseconds.
type histogram struct{ counts expvar.Map }

var histogramBounds = []struct {
	limit time.Duration
	name  string
}{
	{time.Millisecond, "1"},
	{2 * time.Millisecond, "2"},
	{4 * time.Millisecond, "4"},
	{8 * time.Millisecond, "8"},
	{16 * time.Millisecond, "16"},
	{32 * time.Millisecond, "32"},
	{64 * time.Millisecond, "64"},
	{128 * time.Millisecond, "128"},
	{256 * time.Millisecond, "256"},
	{512 * time.Millisecond, "512"},
	{1024 * time.Millisecond, "1024"},
}

func (h *histogram) observe(d time.Duration) {
	for _, b := range histogramBounds {
		if d <= b.limit {
			h.counts.Add(b.name, 1)
			return
		}
	}
	h.counts.Add("inf", 1)
}
