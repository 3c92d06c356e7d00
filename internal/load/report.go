package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// reportMode is the file mode of the JSON report.
const reportMode = 0o644

// Latency is a summary of latencies in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

func summarize(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

// Ratio is through-node latency divided by direct latency.
type Ratio struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

func ratioOf(node, direct Latency) *Ratio {
	if node.Count == 0 || direct.Count == 0 {
		return nil
	}
	divide := func(a, b int64) float64 { return float64(a) / float64(max(b, 1)) }
	return &Ratio{divide(node.P50, direct.P50), divide(node.P99, direct.P99), divide(node.P999, direct.P999)}
}

// Comparison holds the latencies of one kind of call, through a node and direct.
// The kind "all" mixes the kinds, with the same shares in both.
type Comparison struct {
	Kind Kind `json:"kind"`
	// Node and Direct count from the intended send time, so that waiting is counted.
	Node   Latency `json:"node"`
	Direct Latency `json:"direct"`
	// Ratio is absent if one side has no answers.
	Ratio *Ratio `json:"ratio,omitempty"`
	// NodeService and DirectService count from the actual send time.
	NodeService   Latency `json:"node_service"`
	DirectService Latency `json:"direct_service"`
}

// KindAll stands for all kinds together in a Comparison.
const KindAll Kind = "all"

// Report is the result of a run.
type Report struct {
	Run      string  `json:"run"`
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"rate_per_s"`
	Seconds  float64 `json:"duration_s"`
	Achieved float64 `json:"achieved_per_s"`
	Node     Counts  `json:"node"`
	Direct   Counts  `json:"direct"`
	Duplicates
	// StartLag is how late the generator itself started its calls.
	StartLag  Latency      `json:"start_lag"`
	Latencies []Comparison `json:"latencies"`
}

// Passed reports whether no call was lost, mixed up, truncated or duplicated.
func (r Report) Passed() bool {
	bad := r.Duplicated
	for _, c := range []Counts{r.Node, r.Direct} {
		bad += c.Lost + c.MixedUp + c.Truncated
	}
	return bad == 0
}

// report returns the counts and latencies so far.
func (r *recorder) report() Report {
	comparisons := r.compare()
	r.mu.Lock()
	defer r.mu.Unlock()
	return Report{
		Node: *r.counts[ViaNode], Direct: *r.counts[ViaDirect],
		StartLag: summarize(r.lag), Latencies: comparisons,
	}
}

// compare builds the comparisons of all kinds that were answered.
func (r *recorder) compare() []Comparison {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[Via]*samples{ViaNode: newSamples(), ViaDirect: newSamples()}
	comparisons := []Comparison{}
	for _, kind := range []Kind{KindRead, KindKeyed, KindUpload} {
		node, direct := r.groups[group{ViaNode, kind}], r.groups[group{ViaDirect, kind}]
		if node == nil && direct == nil {
			continue
		}
		comparisons = append(comparisons, compareSamples(kind, node, direct))
		all[ViaNode].merge(node)
		all[ViaDirect].merge(direct)
	}
	return append(comparisons, compareSamples(KindAll, all[ViaNode], all[ViaDirect]))
}

func (s *samples) merge(other *samples) {
	if other != nil {
		s.response.Merge(other.response)
		s.service.Merge(other.service)
	}
}

func compareSamples(kind Kind, node, direct *samples) Comparison {
	c := Comparison{Kind: kind}
	if node != nil {
		c.Node, c.NodeService = summarize(node.response), summarize(node.service)
	}
	if direct != nil {
		c.Direct, c.DirectService = summarize(direct.response), summarize(direct.service)
	}
	c.Ratio = ratioOf(c.Node, c.Direct)
	return c
}

// Write writes the report as text, and as JSON to a file if jsonPath is not empty.
func (r Report) Write(text io.Writer, jsonPath string) error {
	if jsonPath != "" {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode report")
		}
		if err := os.WriteFile(jsonPath, append(data, '\n'), reportMode); err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	return errors.Wrap(r.writeText(text), "write report")
}

func (r Report) writeText(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(tab, format+"\t\n", args...) }
	_, _ = fmt.Fprintf(w, "run %s, seed %d: %.0f calls/s for %.1f s, %.0f/s reached\n",
		r.Run, r.Seed, r.Rate, r.Seconds, r.Achieved)
	line("calls\tnode\tdirect")
	for _, row := range countRows(r.Node, r.Direct) {
		line("%s\t%d\t%d", row.name, row.node, row.direct)
	}
	line("duplicated\t%d\t", r.Duplicated)
	line("targets checked\t%d\t", r.Checked)
	line("targets unchecked\t%d\t", len(r.Unchecked))
	if err := tab.Flush(); err != nil {
		return err
	}
	line("latency in µs\tcount\tp50\tp99\tp99.9\tmax")
	for _, c := range r.Latencies {
		writeLatency(line, string(c.Kind)+" node", c.Node)
		writeLatency(line, string(c.Kind)+" direct", c.Direct)
		if c.Ratio != nil {
			line("%s ratio\t\t%.3f\t%.3f\t%.3f\t", c.Kind, c.Ratio.P50, c.Ratio.P99, c.Ratio.P999)
		}
	}
	writeLatency(line, "start lag", r.StartLag)
	if err := tab.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "passed: %t\n", r.Passed())
	return err
}

func writeLatency(line func(string, ...any), name string, l Latency) {
	line("%s\t%d\t%d\t%d\t%d\t%d", name, l.Count, l.P50, l.P99, l.P999, l.Max)
}

type countRow struct {
	name         string
	node, direct int64
}

func countRows(node, direct Counts) []countRow {
	return []countRow{
		{"sent", node.Sent, direct.Sent},
		{"answered", node.Answered, direct.Answered},
		{"refused not-run", node.NotRun, direct.NotRun},
		{"refused may-have-run", node.MayHaveRun, direct.MayHaveRun},
		{"errors", node.Errors, direct.Errors},
		{"broken", node.Broken, direct.Broken},
		{"unreachable", node.Unreachable, direct.Unreachable},
		{"lost", node.Lost, direct.Lost},
		{"mixed up", node.MixedUp, direct.MixedUp},
		{"truncated accepted as whole", node.Truncated, direct.Truncated},
		{"retries", node.Retries, direct.Retries},
		{"repeats", node.Repeats, direct.Repeats},
	}
}
