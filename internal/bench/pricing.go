package bench

import (
	"context"
	"fmt"
	"time"
)

// PricingConfig sets up the runs with changes that may wait.
type PricingConfig struct {
	Zones, PerZone int
	Waits          []time.Duration
	// Window is the virtual time in which changes are submitted.
	Window time.Duration
	Seed   uint64
}

// Pricing measures what it saves to let changes wait, at the plan's rate of
// changes and at ten times that. All changes go to one node, as those of one
// operators' program do.
func Pricing(ctx context.Context, c PricingConfig, out *Output) error {
	t := &Table{
		Name: "pricing", Subject: "node reducers in one process, virtual time; all changes through one node", Seed: c.Seed,
		Columns: []string{
			"changes_per_day", "wait_s", "changes", "appends", "appends_per_change", "platform_bytes_per_change",
			"mesh_bytes_per_change", "in_force_p50_ms", "in_force_p99_ms",
		},
		Notes: []string{
			"bytes beyond those of an idle window of the same length and seed; a negative value is within the noise of idle traffic",
			"in force: from the append on; the wait itself comes on top",
		},
	}
	for _, rate := range []float64{planChanges, 10 * planChanges} {
		idle := pricingRun(c, 0, 0)
		for _, wait := range c.Waits {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			r := pricingRun(c, rate, wait)
			changes := float64(max(r.changes, 1))
			t.Add(rate, wait.Seconds(), r.changes, r.appends-idle.appends, float64(r.appends-idle.appends)/changes,
				float64(r.platform-idle.platform)/changes, float64(r.mesh-idle.mesh)/changes,
				milliseconds(Quantile(r.times, 0.5)), milliseconds(Quantile(r.times, 0.99)))
			fmt.Println(t.Rows[len(t.Rows)-1])
		}
	}
	return out.Table(t)
}

type pricingResult struct {
	changes                 int
	appends, platform, mesh int64
	times                   []time.Duration
}

func pricingRun(c PricingConfig, perDay float64, wait time.Duration) pricingResult {
	s := NewSimulation(c.Seed, c.Zones, c.PerZone)
	s.submitter = s.nodes[0]
	s.Run(shortSettle)
	s.resetCounters()
	if perDay > 0 {
		s.changeAt(perDay, c.Window, wait)
	}
	s.Run(c.Window + maxWait)
	r := pricingResult{changes: s.changes, appends: s.log.appends, platform: s.log.bytes, times: s.traces.samples}
	for _, n := range s.nodes {
		r.mesh += n.bytes
	}
	return r
}

// maxWait is how long the runs go on after the last change, so that the longest
// wait is over in all of them.
const maxWait = 5*time.Minute + 10*time.Second
