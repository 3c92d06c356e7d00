package bench

import (
	"context"
	"fmt"
	"os"
	"time"
)

// planChanges is the number of configuration changes a day of the plan.
const planChanges = 11_000

// GrowthConfig sets up the runs with a growing number of nodes.
type GrowthConfig struct {
	// Zones and PerZone pair the sizes.
	Zones, PerZone []int
	// Window is the virtual time of each measurement.
	Window time.Duration
	Seed   uint64
}

// window is what was measured in one stretch of virtual time.
type window struct {
	perNode           float64
	worst             float64
	messages          float64
	platformReads     float64
	platformBytes     float64
	p50, p99, longest time.Duration
	samples           int
	cpu               float64
}

// Growth measures control bytes and convergence of reducers as the mesh grows:
// idle, at the plan's rate of changes and at ten times that.
func Growth(ctx context.Context, name string, c GrowthConfig, out *Output) error {
	t := &Table{
		Name: name, Subject: "node reducers in one process, virtual time, encoded message sizes", Seed: c.Seed,
		Columns: []string{
			"zones", "per_zone", "nodes", "changes_per_day", "window_s", "bytes_per_node_s", "busiest_node_bytes_s",
			"messages_per_node_s", "platform_reads_s", "platform_bytes_s", "in_force_p50_ms", "in_force_p99_ms",
			"in_force_max_ms", "samples", "cpu_us_per_node_s",
		},
		Fits: map[string]Fit{},
		Notes: []string{
			"bytes: both directions at a node, jsonrpc2 envelopes and receipts and platform traffic included, TCP and IP headers left out",
			"one-way delays: 0.25 ms in a zone, 1.5 ms in a region, 30 ms between regions, 10 ms to the platform, plus up to half",
			"CPU: of the whole process, message encoding for the byte count and the event queue included, decoding and sockets not",
			fmt.Sprintf("a target beside each node, services: 0.18 for each node; %s of virtual time after the start", settleTime),
		},
	}
	nodes := map[float64][]float64{}
	perNode, p99, cpu, busiest := map[float64][]float64{}, map[float64][]float64{}, map[float64][]float64{}, map[float64][]float64{}
	for i := range c.Zones {
		s := NewSimulation(c.Seed, c.Zones[i], c.PerZone[i])
		s.Run(settleTime)
		if !s.Converged() {
			t.Notes = append(t.Notes, fmt.Sprintf("%d nodes: not converged %s after the start", len(s.nodes), settleTime))
		}
		for _, factor := range []float64{0, 1, 10} {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			w, err := s.measure(factor*planChanges, c.Window)
			if err != nil {
				return err
			}
			count := float64(len(s.nodes))
			fmt.Printf("%d nodes, %.0f changes a day: %.0f bytes/s, %.0f CPU µs/s, p99 %s of %d\n",
				len(s.nodes), factor*planChanges, w.perNode, w.cpu, w.p99, w.samples)
			t.Add(c.Zones[i], c.PerZone[i], len(s.nodes), factor*planChanges, c.Window.Seconds(), w.perNode, w.worst,
				w.messages, w.platformReads, w.platformBytes, milliseconds(w.p50), milliseconds(w.p99),
				milliseconds(w.longest), w.samples, w.cpu)
			nodes[factor] = append(nodes[factor], count)
			perNode[factor] = append(perNode[factor], w.perNode)
			busiest[factor] = append(busiest[factor], w.worst)
			p99[factor] = append(p99[factor], milliseconds(w.p99))
			cpu[factor] = append(cpu[factor], w.cpu)
		}
	}
	for factor, label := range labels {
		t.Fits["bytes_per_node_s over nodes, "+label] = FitLine(nodes[factor], perNode[factor])
		t.Fits["busiest_node_bytes_s over nodes, "+label] = FitLine(nodes[factor], busiest[factor])
		t.Fits["cpu_us_per_node_s over nodes, "+label] = FitLine(nodes[factor], cpu[factor])
	}
	if err := out.Table(t); err != nil {
		return err
	}
	return plotGrowth(out, name, nodes, perNode, busiest, p99)
}

var labels = map[float64]string{0: "idle", 1: "11,000 changes a day", 10: "110,000 changes a day"}

func plotGrowth(out *Output, name string, nodes, perNode, busiest, p99 map[float64][]float64) error {
	var bytes, times []Series
	for _, factor := range []float64{0, 1, 10} {
		bytes = append(bytes, Series{Name: "mean, " + labels[factor], X: nodes[factor], Y: perNode[factor]})
		if factor > 0 {
			times = append(times, Series{Name: labels[factor], X: nodes[factor], Y: p99[factor]})
		}
	}
	bytes = append(bytes, Series{Name: "busiest node, " + labels[10], X: nodes[10], Y: busiest[10]})
	if err := out.Plot(name+"-bytes", Axes{Title: "Control bytes of a node (reducers)", X: "nodes", Y: "bytes/s", LogX: true}, bytes...); err != nil {
		return err
	}
	return out.Plot(name+"-time", Axes{Title: "Accepted to in force, p99 over nodes (reducers)", X: "nodes", Y: "ms", LogX: true}, times...)
}

const (
	// settleTime is the virtual time for a mesh to form before it is measured.
	// With 80 nodes, probes carry updates from the start for 4 minutes.
	settleTime = 4 * time.Minute
	// shortSettle is enough for 40 nodes.
	shortSettle = 2 * time.Minute
)

// measure lets a stretch of virtual time pass with changes at a rate.
func (s *Simulation) measure(changesPerDay float64, d time.Duration) (window, error) {
	before, err := ReadUsage(os.Getpid())
	if err != nil {
		return window{}, err
	}
	s.resetCounters()
	if changesPerDay > 0 {
		s.changeAt(changesPerDay, d, 0)
	}
	s.Run(d)
	after, err := ReadUsage(os.Getpid())
	if err != nil {
		return window{}, err
	}
	w := s.summarize(d)
	w.cpu = float64((after.CPU - before.CPU).Microseconds()) / float64(len(s.nodes)) / d.Seconds()
	// Changes that are still on their way are counted in the times only.
	s.Run(5 * time.Second)
	samples := s.traces.samples
	w.p50, w.p99, w.longest, w.samples = Quantile(samples, 0.5), Quantile(samples, 0.99), Quantile(samples, 1), len(samples)
	return w, nil
}

func (s *Simulation) resetCounters() {
	for _, n := range s.nodes {
		n.bytes, n.messages, n.peak, n.inSecond = 0, 0, 0, 0
		clear(n.traffic)
	}
	l := s.log
	l.appends, l.refused, l.reads, l.snapshotReads, l.snapshotParts, l.bytes, l.peakReads = 0, 0, 0, 0, 0, 0, 0
	s.traces.samples = nil
}

func (s *Simulation) summarize(d time.Duration) window {
	var w window
	for _, n := range s.nodes {
		rate := float64(n.bytes) / d.Seconds()
		w.perNode += rate / float64(len(s.nodes))
		w.worst = max(w.worst, rate)
		w.messages += float64(n.messages) / d.Seconds() / float64(len(s.nodes))
	}
	w.platformReads = float64(s.log.reads) / d.Seconds()
	w.platformBytes = float64(s.log.bytes) / d.Seconds()
	return w
}
