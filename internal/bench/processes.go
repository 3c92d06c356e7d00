package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/testbed"
	"heathercroft.example/heathercroft/pkg/timeline"
)

// ProcessConfig sets up the runs with node processes.
type ProcessConfig struct {
	Bin, Dir string
	// Sizes are the numbers of nodes. They are split over two zones.
	Sizes []int
	// Window is the time of each measurement.
	Window time.Duration
	// Settle is the time from the last ready node to the first measurement.
	Settle time.Duration
}

// nodeVars are the counters of a node that the measurement reads.
type nodeVars struct {
	Read         int64 `json:"heathercroft_rpc_read_bytes_total"`
	Written      int64 `json:"heathercroft_rpc_written_bytes_total"`
	PlatformIn   int64 `json:"heathercroft_platform_read_bytes_total"`
	PlatformOut  int64 `json:"heathercroft_platform_written_bytes_total"`
	Sent         int64 `json:"heathercroft_messages_sent_total"`
	Distribution struct {
		Reader bool `json:"reader"`
	} `json:"heathercroft_distribution"`
}

func (v nodeVars) bytes() int64 { return v.Read + v.Written + v.PlatformIn + v.PlatformOut }

// nodeSample is the state of a node process at one time.
type nodeSample struct {
	vars  nodeVars
	usage Usage
}

// Processes measures control bytes, CPU, memory and convergence of node
// processes without calls as their number grows: idle, and with one change in
// each changeEvery.
func Processes(ctx context.Context, c ProcessConfig, out *Output) error {
	t := &Table{
		Name: "processes", Subject: "node processes on loopback addresses, two zones, no targets, no relay",
		Columns: []string{
			"nodes", "phase", "window_s", "bytes_per_node_s", "busiest_node_bytes_s", "messages_per_node_s",
			"cpu_percent_mean", "cpu_percent_max", "rss_mib_mean", "rss_mib_max",
			"in_force_p50_ms", "in_force_p99_ms", "in_force_max_ms", "samples",
		},
		Fits: map[string]Fit{},
		Notes: []string{
			"bytes are counted at the sockets of the node, rpc and platform, both directions",
			"in force: from the first node that applied a record to each node; the append and the first read are not included; wall clocks of one machine",
			"random seeds of the nodes are not fixed",
			fmt.Sprintf("measured %s after the last node was ready", c.Settle),
		},
	}
	var x, bytes, cpu, rss []float64
	for _, size := range c.Sizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		idle, err := processRun(c, size, t)
		if err != nil {
			return errors.Wrapf(err, "%d nodes", size)
		}
		x = append(x, float64(size))
		bytes, cpu, rss = append(bytes, idle.bytes), append(cpu, idle.cpu), append(rss, idle.rss)
	}
	t.Fits["bytes_per_node_s over nodes, idle"] = FitLine(x, bytes)
	t.Fits["cpu_percent over nodes, idle"] = FitLine(x, cpu)
	t.Fits["rss_mib over nodes, idle"] = FitLine(x, rss)
	if err := out.Table(t); err != nil {
		return err
	}
	if err := out.Plot("processes-bytes", Axes{Title: "Control bytes of a node process, idle", X: "nodes", Y: "bytes/s", LogX: true},
		Series{Name: "mean", X: x, Y: bytes}); err != nil {
		return err
	}
	return out.Plot("processes-memory", Axes{Title: "Resident memory of a node process, idle", X: "nodes", Y: "MiB", LogX: true},
		Series{Name: "mean", X: x, Y: rss})
}

// processMeans are the means over the nodes of one window.
type processMeans struct{ bytes, cpu, rss float64 }

func processRun(c ProcessConfig, size int, t *Table) (processMeans, error) {
	bed := testbed.New(c.Dir, c.Bin)
	bed.Direct = true
	defer bed.Close()
	if err := startNodes(bed, size); err != nil {
		return processMeans{}, err
	}
	time.Sleep(c.Settle)
	idle, err := measureProcesses(bed, c.Window, t, "idle", 0)
	if err != nil {
		return processMeans{}, err
	}
	_, err = measureProcesses(bed, c.Window, t, "changes", time.Second)
	return idle, err
}

func startNodes(bed *testbed.Bed, size int) error {
	if err := bed.StartPlatform(""); err != nil {
		return err
	}
	var seeds []*testbed.Member
	for i := range size {
		m, err := bed.Start(testbed.MemberOptions{
			Name: fmt.Sprintf("node-%03d", i), Zone: fmt.Sprintf("zone-%d", i%2), ZoneID: byte(1 + i%2), Seeds: seeds,
		})
		if err != nil {
			return err
		}
		if len(seeds) < 4 {
			seeds = append(seeds, m)
		}
	}
	for _, m := range bed.Members() {
		if err := m.WaitReady(startLimit); err != nil {
			return err
		}
	}
	return runCommand(bed.Members()[0], "put service finder version v1")
}

// measureProcesses samples all nodes before and after a window, with one change
// in each changeEvery, none if it is 0.
func measureProcesses(bed *testbed.Bed, d time.Duration, t *Table, phase string, changeEvery time.Duration) (processMeans, error) {
	before, err := sampleNodes(bed)
	if err != nil {
		return processMeans{}, err
	}
	start := time.Now()
	var times []time.Duration
	if changeEvery > 0 {
		if times, err = changeProcesses(bed, d, changeEvery); err != nil {
			return processMeans{}, err
		}
	}
	time.Sleep(time.Until(start.Add(d)))
	after, err := sampleNodes(bed)
	if err != nil {
		return processMeans{}, err
	}
	elapsed := time.Since(start).Seconds()
	var bytes, messages, cpu, rss []float64
	for i := range after {
		bytes = append(bytes, float64(after[i].vars.bytes()-before[i].vars.bytes())/elapsed)
		messages = append(messages, float64(after[i].vars.Sent-before[i].vars.Sent)/elapsed)
		cpu = append(cpu, 100*(after[i].usage.CPU-before[i].usage.CPU).Seconds()/elapsed)
		rss = append(rss, float64(after[i].usage.RSS)/(1<<20))
	}
	t.Add(len(after), phase, elapsed, Mean(bytes), largest(bytes), Mean(messages), Mean(cpu), largest(cpu), Mean(rss), largest(rss),
		milliseconds(Quantile(times, 0.5)), milliseconds(Quantile(times, 0.99)), milliseconds(Quantile(times, 1)), len(times))
	fmt.Println(t.Rows[len(t.Rows)-1])
	return processMeans{Mean(bytes), Mean(cpu), Mean(rss)}, nil
}

func largest(values []float64) float64 {
	top := 0.0
	for _, v := range values {
		top = max(top, v)
	}
	return top
}

func sampleNodes(bed *testbed.Bed) ([]nodeSample, error) {
	var list []nodeSample
	for _, m := range bed.Members() {
		var s nodeSample
		if err := testbed.Get(m.AdminURL()+"/debug/vars", &s.vars); err != nil {
			return nil, errors.Wrap(err, m.Name)
		}
		u, err := ReadUsage(m.Node.PID())
		if err != nil {
			return nil, err
		}
		s.usage = u
		list = append(list, s)
	}
	return list, nil
}

// changeProcesses sends changes and returns the time from the acceptance of
// each to its being in force on each node.
func changeProcesses(bed *testbed.Bed, d, every time.Duration) ([]time.Duration, error) {
	after := map[*testbed.Member]uint64{}
	for _, m := range bed.Members() {
		events, err := eventsAfter(m, 0)
		if err != nil {
			return nil, err
		}
		if len(events) > 0 {
			after[m] = events[len(events)-1].Sequence
		}
	}
	start := time.Now()
	for i := 0; time.Since(start) < d-2*every; i++ {
		m := bed.Members()[i%len(bed.Members())]
		if err := runCommand(m, fmt.Sprintf("put route r%d prefix \"/r%d\" to finder", commands, commands)); err != nil {
			return nil, err
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * every)))
	}
	time.Sleep(2 * every)
	return inForceTimes(bed, after)
}

// inForceTimes takes the first event of a revision over all nodes as its
// acceptance: a node cannot apply a record before the log holds it, and a reader
// applies it as soon as its long poll returns.
func inForceTimes(bed *testbed.Bed, after map[*testbed.Member]uint64) ([]time.Duration, error) {
	first := map[uint64]time.Time{}
	applied := map[uint64][]time.Time{}
	for _, m := range bed.Members() {
		events, err := eventsAfter(m, after[m])
		if err != nil {
			return nil, err
		}
		for _, e := range events {
			if e.Kind != "record-applied" || e.Fields["kind"] != "put-route" {
				continue
			}
			applied[e.Revision] = append(applied[e.Revision], e.Time)
			if at, ok := first[e.Revision]; !ok || e.Time.Before(at) {
				first[e.Revision] = e.Time
			}
		}
	}
	var times []time.Duration
	for revision, list := range applied {
		for _, at := range list {
			times = append(times, at.Sub(first[revision]))
		}
	}
	return times, nil
}

func eventsAfter(m *testbed.Member, sequence uint64) ([]timeline.Event, error) {
	var all []timeline.Event
	for {
		var batch timeline.Batch
		if err := testbed.Get(fmt.Sprintf("%s%s?after=%d", m.AdminURL(), timeline.EventsPath, sequence), &batch); err != nil {
			return nil, errors.Wrap(err, m.Name)
		}
		all = append(all, batch.Events...)
		if len(batch.Events) < timeline.MaxBatch {
			return all, nil
		}
		sequence = batch.Events[len(batch.Events)-1].Sequence
	}
}
