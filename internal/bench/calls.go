package bench

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/load"
	"heathercroft.example/heathercroft/internal/settings"
	"heathercroft.example/heathercroft/internal/testbed"
)

// CallsConfig sets up the measurement of the call path.
type CallsConfig struct {
	Bin, Dir string
	// Rates are the calls per second through nodes; as many again go direct.
	Rates    []float64
	Duration time.Duration
	// Repeats is how many runs each rate gets, to show the spread.
	Repeats int
	Seed    uint64
}

// callTarget lets the target answer at once with enough slots, so that queueing
// at the target does not hide the time that nodes add.
const callTarget = "connections = 400\nconnection_cost = \"0s\"\n[service_time]\nbase = \"1ms\"\njitter = \"0s\"\n"

// callSlots is the number of slots of the target.
const callSlots = 200

// callPair is a node that takes calls and the node beside the target.
type callPair struct{ entry, exit *testbed.Member }

// Calls measures the time, CPU and bytes that two nodes add to a call, against
// calls straight to the target in the same run.
func Calls(ctx context.Context, c CallsConfig, out *Output) error {
	bed := testbed.New(c.Dir, c.Bin)
	bed.Direct = true
	defer bed.Close()
	pair, err := startPair(bed)
	if err != nil {
		return err
	}
	t := &Table{
		Name: "calls", Subject: "processes: caller, two nodes, target; no relay", Seed: c.Seed,
		Columns: []string{
			"rate_per_s", "run", "node_calls", "node_p50_us", "node_p99_us", "node_p999_us",
			"direct_p50_us", "direct_p99_us", "direct_p999_us", "added_p50_us", "added_p99_us", "added_p999_us",
			"start_lag_p99_us", "entry_cpu_us_per_call", "exit_cpu_us_per_call", "calls_per_core_s",
			"entry_io_bytes_per_call", "exit_io_bytes_per_call", "passed",
		},
		Notes: []string{
			"GET with 1 KiB answer; open loop, Poisson arrivals; half of the calls direct; latency counted from the intended send time",
			"calls per core: calls per second that one core of node CPU carries, entry and exit node together",
			"io bytes: read and write system calls of the node process, both directions, TCP and IP headers left out",
		},
	}
	plots := make([]Series, 6)
	for i, name := range []string{"nodes p50", "nodes p99", "nodes p99.9", "direct p50", "direct p99", "direct p99.9"} {
		plots[i].Name = name
	}
	for _, rate := range c.Rates {
		for run := range c.Repeats {
			m, err := measureCalls(ctx, pair, rate, c.Duration, c.Seed+uint64(run))
			if err != nil {
				return err
			}
			m.row(t, rate, run)
			if run == 0 {
				for i, v := range []int64{m.node.P50, m.node.P99, m.node.P999, m.direct.P50, m.direct.P99, m.direct.P999} {
					plots[i].X, plots[i].Y = append(plots[i].X, rate), append(plots[i].Y, float64(v))
				}
			}
		}
	}
	if err := out.Table(t); err != nil {
		return err
	}
	return out.Plot("calls", Axes{
		Title: "Latency of a call, through two nodes and direct", X: "calls/s through nodes", Y: "µs",
		LogX: true, LogY: true,
	}, plots...)
}

// startPair starts two nodes. Calls enter at the one without a target of the service.
func startPair(bed *testbed.Bed) (callPair, error) {
	if err := bed.StartPlatform(""); err != nil {
		return callPair{}, err
	}
	exit, err := bed.Start(testbed.MemberOptions{
		Name: "exit", Zone: "zone-1", ZoneID: 1, Service: "finder", Version: "v1", Slots: callSlots, TargetExtra: callTarget,
	})
	if err != nil {
		return callPair{}, err
	}
	entry, err := bed.Start(testbed.MemberOptions{Name: "entry", Zone: "zone-1", ZoneID: 1, Seeds: []*testbed.Member{exit}})
	if err != nil {
		return callPair{}, err
	}
	pair := callPair{entry, exit}
	for _, m := range bed.Members() {
		if err := m.WaitReady(startLimit); err != nil {
			return pair, err
		}
	}
	for _, command := range []string{"put service finder version v1", `put route finder prefix "/finder" to finder`} {
		if err := runCommand(exit, command); err != nil {
			return pair, err
		}
	}
	return pair, testbed.WaitFor(startLimit, func() error { return testbed.Get(entry.CallerURL()+"/finder/x", nil) })
}

// startLimit bounds the wait for processes to become ready.
const startLimit = 60 * time.Second

var commands int

// runCommand sends a command of an operator and fails unless it was accepted.
func runCommand(m *testbed.Member, command string) error {
	commands++
	var reply struct {
		Status string `json:"status"`
		Reason string `json:"reason"`
	}
	id := fmt.Sprintf("bench-%d-%d", time.Now().UnixNano(), commands)
	body := map[string]any{"id": id, "command": command}
	if err := testbed.Post(m.AdminURL()+"/heathercroft/v1/command", body, &reply); err != nil {
		return errors.Wrap(err, command)
	}
	if reply.Status == "rejected" || reply.Status == "conflict" || reply.Status == "not-run" {
		return errors.Newf("%s: %s %s", command, reply.Status, reply.Reason)
	}
	return nil
}

// callMeasure is the result of one run of calls.
type callMeasure struct {
	node, direct, lag load.Latency
	entry, exit       Usage
	passed            bool
}

func measureCalls(ctx context.Context, pair callPair, rate float64, d time.Duration, seed uint64) (callMeasure, error) {
	s := load.DefaultSettings()
	s.Nodes, s.Direct = []string{pair.entry.CallerURL()}, []string{pair.exit.TargetURL()}
	s.Paths, s.Rate, s.DirectShare = []string{"/finder/x"}, 2*rate, 0.5
	s.Duration, s.Seed = settings.Duration(d), seed
	s.Mix = load.Mix{Read: 1, ResponseBytes: 1 << 10}
	s.MaxConnections = 128
	if err := s.Validate(); err != nil {
		return callMeasure{}, err
	}
	// A short run first opens the connections and fills the caches.
	warm := *s
	warm.Duration = settings.Duration(warmUp)
	load.Run(ctx, &warm, slog.New(slog.NewTextHandler(io.Discard, nil)))
	before, err := pair.usage()
	if err != nil {
		return callMeasure{}, err
	}
	report := load.Run(ctx, s, slog.New(slog.NewTextHandler(io.Discard, nil)))
	after, err := pair.usage()
	if err != nil {
		return callMeasure{}, err
	}
	m := callMeasure{lag: report.StartLag, passed: report.Passed()}
	for _, l := range report.Latencies {
		if l.Kind == load.KindRead {
			m.node, m.direct = l.Node, l.Direct
		}
	}
	m.entry, m.exit = after[0].since(before[0]), after[1].since(before[1])
	return m, nil
}

// warmUp is the length of the run before each measured one.
const warmUp = time.Second

func (p callPair) usage() ([2]Usage, error) {
	var list [2]Usage
	for i, m := range []*testbed.Member{p.entry, p.exit} {
		u, err := ReadUsage(m.Node.PID())
		if err != nil {
			return list, err
		}
		list[i] = u
	}
	return list, nil
}

// since returns the usage after an earlier reading; memory stays the present one.
func (u Usage) since(before Usage) Usage {
	return Usage{CPU: u.CPU - before.CPU, RSS: u.RSS, Anonymous: u.Anonymous, IO: u.IO - before.IO}
}

func (m callMeasure) row(t *Table, rate float64, run int) {
	calls := float64(max(m.node.Count, 1))
	perCall := func(d time.Duration) float64 { return float64(d.Microseconds()) / calls }
	total := (m.entry.CPU + m.exit.CPU).Seconds()
	t.Add(rate, run, m.node.Count, m.node.P50, m.node.P99, m.node.P999, m.direct.P50, m.direct.P99, m.direct.P999,
		m.node.P50-m.direct.P50, m.node.P99-m.direct.P99, m.node.P999-m.direct.P999, m.lag.P99,
		perCall(m.entry.CPU), perCall(m.exit.CPU), calls/max(total, 0.01),
		float64(m.entry.IO)/calls, float64(m.exit.IO)/calls, m.passed)
}
