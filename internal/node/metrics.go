package node

import (
	"expvar"
	"strconv"

	"heathercroft.example/heathercroft/internal/callpath"
	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/timeline"
)

var badAnnouncements = expvar.NewInt("heathercroft_bad_announcements_total")

// publishMetrics publishes the counters of the node under fixed names. It must be
// called only once per process.
func (n *Node) publishMetrics() {
	expvar.Publish("heathercroft_calls", n.calls.Metrics().Var())
	l := n.loop
	for name, value := range map[string]func() int64{
		"heathercroft_rpc_read_bytes_total":              n.counters.Read.Load,
		"heathercroft_rpc_written_bytes_total":           n.counters.Written.Load,
		"heathercroft_rpc_malformed_messages_total":      n.counters.Malformed.Load,
		"heathercroft_rpc_refused_connections_total":     n.counters.Refused.Load,
		"heathercroft_messages_sent_total":               l.sent.Load,
		"heathercroft_messages_failed_total":             l.sendsFailed.Load,
		"heathercroft_messages_dropped_at_send_total":    l.sendsDropped.Load,
		"heathercroft_messages_dropped_at_inbox_total":   l.inboxDropped.Load,
		"heathercroft_platform_read_bytes_total":         func() int64 { return int64(l.platform.client.Traffic.In.Load()) },
		"heathercroft_platform_written_bytes_total":      func() int64 { return int64(l.platform.client.Traffic.Out.Load()) },
		"heathercroft_timeline_events_overwritten_total": func() int64 { return int64(n.recorder.Dropped()) },
		"heathercroft_descriptors_open":                  func() int64 { return int64(n.descriptors.State().Open) },
		"heathercroft_descriptors_limit":                 func() int64 { return int64(n.descriptors.State().Limit) },
		"heathercroft_caller_connections":                func() int64 { return int64(n.descriptors.State().Callers) },
		"heathercroft_caller_connections_limit":          func() int64 { return int64(n.descriptors.State().CallerLimit) },
	} {
		expvar.Publish(name, expvar.Func(func() any { return value() }))
	}
	expvar.Publish("heathercroft_keys", expvar.Func(func() any { return n.keyVars() }))
	expvar.Publish("heathercroft_distribution", expvar.Func(func() any { return n.distributionVars() }))
}

// distributionVars are the gauges of the reducer.
type distributionVars struct {
	Revision            uint64 `json:"revision"`
	Head                uint64 `json:"head_revision"`
	Ready               bool   `json:"ready"`
	Reader              bool   `json:"reader"`
	PlatformUnavailable bool   `json:"platform_out"`
	Members             int    `json:"members"`
	MalformedRecords    uint64 `json:"malformed_records_total"`
}

// keyVars are the gauges of key ownership.
type keyVars struct {
	OwnedSlots int `json:"owned_slots"`
	Keys       int `json:"keys"`
	Bytes      int `json:"bytes"`
}

func (n *Node) keyVars() keyVars {
	var v keyVars
	n.loop.query(func(c *core.Core) { v.OwnedSlots, v.Keys, v.Bytes = c.KeyStats() })
	return v
}

func (n *Node) distributionVars() distributionVars {
	var v distributionVars
	n.loop.query(func(c *core.Core) {
		status := c.DistributionStatus()
		head, _, _ := c.Head()
		v = distributionVars{
			Revision: uint64(c.Revision()), Head: uint64(head), Ready: status.Ready, Reader: status.Reader,
			PlatformUnavailable: status.PlatformUnavailable, Members: len(c.Members()), MalformedRecords: c.MalformedRecords(),
		}
	})
	return v
}

// Kinds of timeline events of the call path.
const (
	kindEjected    timeline.Kind = "endpoint-ejected"
	kindCrashed    timeline.Kind = "target-crashed"
	kindDrainStart timeline.Kind = "drain-started"
	kindDrainEnd   timeline.Kind = "drain-ended"
)

// callEvents records events of the call path in the timeline.
type callEvents struct{ node *Node }

// Crashed implements callpath.Events.
func (e callEvents) Crashed(fingerprints []callpath.Fingerprint) {
	e.node.loop.record(kindCrashed, 0, map[string]string{"requests": strconv.Itoa(len(fingerprints))})
	report := core.CrashReport{}
	for _, f := range fingerprints {
		report.Fingerprints = append(report.Fingerprints, uint64(f))
	}
	e.node.loop.tryPost(core.TargetCrashed{Report: report})
}

// DrainStarted implements callpath.Events.
func (e callEvents) DrainStarted() { e.node.loop.record(kindDrainStart, 0, nil) }

// DrainEnded implements callpath.Events.
func (e callEvents) DrainEnded(left int) {
	e.node.loop.record(kindDrainEnd, 0, map[string]string{"requests_left": strconv.Itoa(left)})
}

// Ejected implements callpath.Events.
func (e callEvents) Ejected(node mesh.NodeID, service, version string) {
	e.node.loop.record(kindEjected, 0, map[string]string{"node": string(node), "service": service, "version": version})
}
