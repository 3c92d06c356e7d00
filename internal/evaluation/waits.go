package evaluation

import (
	"container/heap"
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// WaitLoad is a load of configuration changes on the queues of a mesh.
type WaitLoad struct {
	Name string
	// PerSecond is the rate of changes over all entry nodes.
	PerSecond float64
	Duration  time.Duration
}

// The loads of the pricing bench: an ordinary day of 11,000 changes, and ten
// times that rate for ten minutes.
var waitLoads = []WaitLoad{
	{"day", 11_000.0 / 86_400, 2 * time.Hour},
	{"burst", 110_000.0 / 86_400, 10 * time.Minute},
}

var benchWaits = []time.Duration{0, time.Second, 10 * time.Second, 5 * time.Minute}

// The mesh of the bench: full size, with commands arriving at a few nodes.
const (
	entryNodes = 10
	benchNodes = 2500
	benchZones = 15
	// appendLatency is the time from an append to its outcome.
	appendLatency = 20 * time.Millisecond
	benchObjects  = 2000
)

// WaitRow is the outcome of one wait under one load.
type WaitRow struct {
	Load             string
	Wait             time.Duration
	Changes, Appends int
	// Bytes and Estimate are the mean price of a change after and before, in
	// bytes over the whole mesh.
	Bytes, Estimate float64
	// DelayP50, DelayP99 and DelayMax are the times from submission to acceptance.
	DelayP50, DelayP99, DelayMax time.Duration
	// PeakAppends is the most appends in one second.
	PeakAppends int
}

// RunWaits runs all loads with all waits over queues on a virtual clock.
func RunWaits(seed uint64) []WaitRow {
	var rows []WaitRow
	for _, load := range waitLoads {
		for _, wait := range benchWaits {
			rows = append(rows, newWaitBench(load, wait, seed).run())
		}
	}
	return rows
}

// waitEvent is a pending event of one queue.
type waitEvent struct {
	at    time.Duration
	order int
	node  int
	event pricing.Event
}

type waitHeap []waitEvent

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h waitHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *waitHeap) Push(x any)   { *h = append(*h, x.(waitEvent)) }
func (h *waitHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

type waitBench struct {
	load    WaitLoad
	wait    time.Duration
	rng     *rand.Rand
	queues  []*pricing.Queue
	events  waitHeap
	order   int
	row     WaitRow
	delays  []time.Duration
	seconds map[int64]int
	// appended is when each queue appended last.
	appended map[int]time.Duration
}

func newWaitBench(load WaitLoad, wait time.Duration, seed uint64) *waitBench {
	b := &waitBench{
		load: load, wait: wait, rng: rand.New(rand.NewPCG(seed, 7)), seconds: map[int64]int{}, appended: map[int]time.Duration{},
		row: WaitRow{Load: load.Name, Wait: wait},
	}
	for n := range entryNodes {
		b.queues = append(b.queues, pricing.NewQueue(pricing.Config{Author: fmt.Sprintf("node-%d", n), Mesh: benchMesh()}))
	}
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(b.rng.ExpFloat64() / load.PerSecond * float64(time.Second))
		if at > load.Duration {
			return b
		}
		object := b.rng.IntN(benchObjects)
		b.push(at, b.rng.IntN(entryNodes), pricing.ChangeSubmitted{Now: at, Change: pricing.Change{
			ID: fmt.Sprintf("change-%d", i), Wait: wait,
			Body: record.PutRoute{Name: fmt.Sprintf("route-%04d", object), Prefix: fmt.Sprintf("/service-%03d/%d", object%450, i), Service: fmt.Sprintf("service-%03d", object%450)},
		}})
	}
}

func benchMesh() pricing.MeshStats {
	return pricing.MeshStats{Nodes: benchNodes, Zones: benchZones, FanOut: 4, ActiveAuthors: 1}
}

func (b *waitBench) push(at time.Duration, node int, e pricing.Event) {
	b.order++
	heap.Push(&b.events, waitEvent{at, b.order, node, e})
}

func (b *waitBench) run() WaitRow {
	for len(b.events) > 0 {
		next := heap.Pop(&b.events).(waitEvent)
		if _, ok := next.event.(pricing.ChangeSubmitted); ok {
			mesh := benchMesh()
			mesh.ActiveAuthors = b.active(next.at, next.node)
			for _, effect := range b.queues[next.node].Step(pricing.MeshChanged{Now: next.at, Mesh: mesh}) {
				b.carryOut(next.at, next.node, effect)
			}
		}
		for _, effect := range b.queues[next.node].Step(next.event) {
			b.carryOut(next.at, next.node, effect)
		}
	}
	slices.Sort(b.delays)
	n := len(b.delays)
	b.row.Changes = n
	b.row.DelayP50, b.row.DelayP99, b.row.DelayMax = b.delays[n/2], b.delays[n*99/100], b.delays[n-1]
	b.row.Bytes /= float64(n)
	b.row.Estimate /= float64(n)
	return b.row
}

// active counts the nodes that appended in the last minute, and this one.
func (b *waitBench) active(now time.Duration, node int) int {
	count := 1
	for other, at := range b.appended {
		if other != node && now-at <= time.Minute {
			count++
		}
	}
	return count
}

func (b *waitBench) carryOut(now time.Duration, node int, effect pricing.Effect) {
	switch e := effect.(type) {
	case pricing.AppendRecord:
		b.row.Appends++
		b.appended[node] = now
		second := int64(now / time.Second)
		b.seconds[second]++
		b.row.PeakAppends = max(b.row.PeakAppends, b.seconds[second])
		b.push(now+appendLatency, node, pricing.AppendResult{
			Now: now + appendLatency, RecordID: e.Record.ID, Outcome: state.Outcome{Code: state.Accepted},
		})
	case pricing.SetTimer:
		b.push(e.At, node, pricing.Tick{Now: e.At})
	case pricing.ChangeQueued:
		b.row.Estimate += e.Price.Bytes
	case pricing.ChangeResult:
		b.delays = append(b.delays, e.Waited)
		b.row.Bytes += e.Price.Bytes
		if b.wait == 0 {
			b.row.Estimate += e.Price.Bytes
		}
	}
}

// WriteWaits writes the rows as CSV.
func WriteWaits(w io.Writer, rows []WaitRow) error {
	out := csv.NewWriter(w)
	records := [][]string{{
		"load", "wait_s", "changes", "appends", "appends_per_change", "mesh_bytes_per_change", "estimated_bytes_per_change",
		"delay_p50_s", "delay_p99_s", "delay_max_s", "peak_appends_per_s",
	}}
	for _, r := range rows {
		records = append(records, []string{
			r.Load, fmt.Sprint(r.Wait.Seconds()), strconv.Itoa(r.Changes), strconv.Itoa(r.Appends),
			fmt.Sprintf("%.3f", float64(r.Appends)/float64(r.Changes)), fmt.Sprintf("%.0f", r.Bytes), fmt.Sprintf("%.0f", r.Estimate),
			fmt.Sprintf("%.2f", r.DelayP50.Seconds()), fmt.Sprintf("%.2f", r.DelayP99.Seconds()), fmt.Sprintf("%.2f", r.DelayMax.Seconds()),
			strconv.Itoa(r.PeakAppends),
		})
	}
	return errors.Wrap(out.WriteAll(records), "write waits")
}

// PlotWaits draws the appends per change against the wait, one line per load.
func PlotWaits(dir string, rows []WaitRow) error {
	p := plot.New()
	p.Title.Text = "appends per change by wait"
	p.X.Label.Text, p.Y.Label.Text = "wait (0 s, 1 s, 10 s, 5 min)", "appends per change"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, load := range waitLoads {
		var points plotter.XYs
		for _, r := range rows {
			if r.Load == load.Name {
				points = append(points, plotter.XY{X: math.Log10(1 + r.Wait.Seconds()), Y: float64(r.Appends) / float64(r.Changes)})
			}
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return errors.Wrap(err, "line")
		}
		line.Color, dots.Color, dots.Radius = palette[i], palette[i], vg.Points(4)
		p.Add(line, dots)
		p.Legend.Add(load.Name, line, dots)
	}
	p.X.Tick.Marker = plot.ConstantTicks([]plot.Tick{
		{Value: 0, Label: "0 s"},
		{Value: math.Log10(2), Label: "1 s"},
		{Value: math.Log10(11), Label: "10 s"},
		{Value: math.Log10(301), Label: "5 min"},
	})
	return errors.Wrap(p.Save(figureWidth, figureHeight, filepath.Join(dir, "waits.png")), "save figure")
}
