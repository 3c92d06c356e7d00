package bench

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/pkg/membership"
)

// TrafficConfig sets up the breakdown of control bytes by message.
type TrafficConfig struct {
	// Zones and PerZone pair the shapes of the mesh.
	Zones, PerZone []int
	// Settle and Window are in virtual time.
	Settle, Window time.Duration
	Seed           uint64
}

// Traffic shows which messages make up the control bytes of readers and of
// other nodes in an idle mesh.
func Traffic(ctx context.Context, c TrafficConfig, out *Output) error {
	t := &Table{
		Name: "traffic", Subject: "node reducers in one process, virtual time, idle, encoded message sizes", Seed: c.Seed,
		Columns: []string{"zones", "per_zone", "role", "message", "bytes_per_node_s", "messages_per_node_s"},
		Notes: []string{
			"bytes and messages: sent and received together, with envelopes and receipts; platform traffic is not in the rows",
			fmt.Sprintf("%s of virtual time after the start, over %s", c.Settle, c.Window),
		},
	}
	for i := range c.Zones {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s := NewSimulation(c.Seed, c.Zones[i], c.PerZone[i])
		s.Run(c.Settle)
		s.resetCounters()
		s.Run(c.Window)
		for _, reader := range []bool{true, false} {
			s.trafficRows(t, c.Zones[i], c.PerZone[i], reader, c.Window.Seconds())
		}
		appends := float64(s.log.appends) / c.Window.Seconds()
		t.Notes = append(t.Notes, fmt.Sprintf("%d zones of %d: %.2f appends/s of the system itself", c.Zones[i], c.PerZone[i], appends))
	}
	return out.Table(t)
}

func (s *Simulation) trafficRows(t *Table, zones, perZone int, reader bool, seconds float64) {
	role, count := "other", 0.0
	if reader {
		role = "reader"
	}
	sum := map[string]traffic{}
	total := 0.0
	for _, n := range s.nodes {
		if n.core.DistributionStatus().Reader != reader {
			continue
		}
		count++
		total += float64(n.bytes)
		for kind, v := range n.traffic {
			sum[kind] = traffic{sum[kind].bytes + v.bytes, sum[kind].messages + v.messages}
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(sum)) {
		t.Add(zones, perZone, role, kind, float64(sum[kind].bytes)/count/seconds, float64(sum[kind].messages)/count/seconds)
	}
	t.Add(zones, perZone, role, "all and platform", total/max(count, 1)/seconds, "")
}

// traffic counts one kind of message at a node, both directions.
type traffic struct{ bytes, messages int64 }

// kindOf names a message; those of membership are told apart by their content.
func kindOf(e core.Send) string {
	m, ok := e.Params.(membership.Message)
	switch {
	case !ok:
		return e.Method
	case m.Probe != nil:
		return "membership probe"
	case m.Ack != nil:
		return "membership answer"
	case m.Indirect != nil:
		return "membership indirect probe"
	case m.Digest != nil:
		return "membership digest"
	case m.Entries != nil:
		return "membership entries"
	case m.Want != nil:
		return "membership want"
	case len(m.Updates) > 0:
		return "membership updates"
	default:
		return "membership report"
	}
}
