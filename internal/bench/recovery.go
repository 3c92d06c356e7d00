package bench

import (
	"context"
	"fmt"
	"time"
)

// RecoveryConfig sets up the runs with faults.
type RecoveryConfig struct {
	Zones, PerZone int
	// Outage is how long the platform is out, Cut how long a zone is cut off.
	Outage, Cut time.Duration
	Seed        uint64
}

// recoveryLimit bounds the wait for convergence in virtual time.
const recoveryLimit = 3 * time.Minute

// fault is one kind of fault: begin starts it, lasts for a time, and end heals it.
type fault struct {
	name  string
	lasts time.Duration
	begin func(*Simulation)
	end   func(*Simulation)
}

// Recovery measures how long all nodes take to converge after a fault, and what
// that costs, with changes at the plan's rate going on.
func Recovery(ctx context.Context, c RecoveryConfig, out *Output) error {
	t := &Table{
		Name: "recovery", Subject: "node reducers in one process, virtual time", Seed: c.Seed,
		Columns: []string{
			"fault", "nodes", "fault_s", "in_force_s", "in_force", "converged_s", "converged", "mean_bytes_node_s", "peak_bytes_one_node_1s",
			"peak_platform_reads_s", "snapshot_reads",
		},
		Notes: []string{
			"times count from the end of the fault; a new change is submitted then, and its append is waited for",
			"in force: all nodes that are up serve and have the head of the log in force; converged: they also know all others as alive",
			"mean and peak are over the recovery only",
		},
	}
	for _, f := range faults(c) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s := NewSimulation(c.Seed, c.Zones, c.PerZone)
		s.Run(shortSettle)
		s.changeAt(10*planChanges, f.lasts, 0)
		f.begin(s)
		s.Run(f.lasts)
		s.resetCounters()
		start := s.now
		f.end(s)
		s.change(0)
		head := s.log.head()
		inForce, ok := s.RunUntil(recoveryLimit, func() bool { return s.log.head() > head && s.InForce() })
		_, known := s.RunUntil(recoveryLimit, s.Converged)
		took := s.now - start
		w := s.summarize(max(took, time.Second))
		peak := int64(0)
		for _, n := range s.nodes {
			peak = max(peak, n.peak)
		}
		t.Add(f.name, len(s.nodes), f.lasts.Seconds(), inForce.Seconds(), ok, took.Seconds(), known, w.perNode, peak,
			s.log.peakReads, s.log.snapshotReads)
		fmt.Println(t.Rows[len(t.Rows)-1])
	}
	return out.Table(t)
}

func faults(c RecoveryConfig) []fault {
	zone := func(s *Simulation) []*simNode {
		var list []*simNode
		for _, n := range s.nodes {
			if n.info.Zone == zoneName(0) {
				list = append(list, n)
			}
		}
		return list
	}
	half := func(s *Simulation) []*simNode {
		var list []*simNode
		for i := 0; i < len(s.nodes); i += 2 {
			list = append(list, s.nodes[i])
		}
		return list
	}
	restart := func(name string, lasts time.Duration, which func(*Simulation) []*simNode) fault {
		return fault{name, lasts, func(s *Simulation) {
			for _, n := range which(s) {
				n.kill()
			}
		}, func(s *Simulation) {
			for _, n := range which(s) {
				n.start()
			}
		}}
	}
	cut := func(name string, zones ...int) fault {
		set := func(s *Simulation, on bool) {
			for _, z := range zones {
				s.cut[zoneName(z)] = on
			}
		}
		return fault{name, c.Cut, func(s *Simulation) { set(s, true) }, func(s *Simulation) { set(s, false) }}
	}
	return []fault{
		restart("herd: half of the nodes restart at once", 30*time.Second, half),
		restart("all nodes of a zone restart at once", 30*time.Second, zone),
		{
			"platform outage", c.Outage, func(s *Simulation) { s.log.out = true },
			func(s *Simulation) { s.log.out = false },
		},
		cut("zone cut off from other zones and the platform", 0),
	}
}
