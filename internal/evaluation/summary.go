package evaluation

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// allKinds labels a summary over all kinds of good or bad versions.
const allKinds = "all"

// Summary sums up the replays of one method over one kind of version.
type Summary struct {
	Profile, Method, Kind string
	Bad                   bool
	Replays               int
	// Reversed, Done, InTime and Open count results.
	Reversed, Done, InTime, Open int
	// HarmedMedian, HarmedP95 and HarmedMean are calls per replay that the fault
	// failed or slowed.
	HarmedMedian, HarmedP95 int
	HarmedMean              float64
}

// Summarize sums up rows by profile, method and kind, in order of appearance,
// with one summary over all kinds after the single ones.
func Summarize(rows []Row) []Summary {
	type group struct {
		profile, method, kind string
		bad                   bool
	}
	harmed := map[group][]int{}
	sums := map[group]*Summary{}
	var order []group
	for _, row := range rows {
		for _, kind := range []string{string(row.Scenario.Kind), allKinds} {
			g := group{row.Profile, row.Method, kind, row.Scenario.Bad}
			if sums[g] == nil {
				sums[g] = &Summary{Profile: row.Profile, Method: row.Method, Kind: kind, Bad: row.Scenario.Bad}
				order = append(order, g)
			}
			sums[g].count(row)
			harmed[g] = append(harmed[g], row.Harmed)
		}
	}
	list := make([]Summary, 0, len(order))
	for _, g := range order {
		sums[g].spread(harmed[g])
		list = append(list, *sums[g])
	}
	return list
}

func (s *Summary) count(row Row) {
	s.Replays++
	switch row.Result {
	case Done:
		s.Done++
	case Reversed:
		s.Reversed++
	case Open:
		s.Open++
	}
	if row.InTime {
		s.InTime++
	}
}

func (s *Summary) spread(harmed []int) {
	slices.Sort(harmed)
	total := 0
	for _, h := range harmed {
		total += h
	}
	s.HarmedMean = float64(total) / float64(len(harmed))
	s.HarmedMedian = harmed[len(harmed)/2]
	s.HarmedP95 = harmed[len(harmed)*95/100]
}

// WriteSummaries writes summaries as CSV.
func WriteSummaries(w io.Writer, list []Summary) error {
	out := csv.NewWriter(w)
	records := [][]string{{
		"profile", "method", "versions", "kind", "replays", "reversed", "done", "done_in_time", "open",
		"harmed_calls_median", "harmed_calls_p95", "harmed_calls_mean",
	}}
	for _, s := range list {
		versions := "good"
		if s.Bad {
			versions = "bad"
		}
		records = append(records, []string{
			s.Profile, s.Method, versions, s.Kind, strconv.Itoa(s.Replays), strconv.Itoa(s.Reversed),
			strconv.Itoa(s.Done), strconv.Itoa(s.InTime), strconv.Itoa(s.Open),
			strconv.Itoa(s.HarmedMedian), strconv.Itoa(s.HarmedP95), fmt.Sprintf("%.1f", s.HarmedMean),
		})
	}
	return errors.Wrap(out.WriteAll(records), "write summaries")
}

// WriteRows writes one line per replay as CSV.
func WriteRows(w io.Writer, rows []Row) error {
	out := csv.NewWriter(w)
	records := [][]string{{
		"profile", "method", "kind", "number", "service", "duration_s", "result", "in_time", "took_s",
		"harmed_calls", "new_failed_calls", "failure_rate", "slow_factor", "warned_s", "reason",
	}}
	for _, r := range rows {
		records = append(records, []string{
			r.Profile, r.Method, string(r.Scenario.Kind), strconv.Itoa(r.Number), r.Scenario.Service.Name,
			fmt.Sprint(r.Scenario.Duration.Seconds()), string(r.Result), strconv.FormatBool(r.InTime),
			fmt.Sprint(r.Took.Seconds()), strconv.Itoa(r.Harmed), strconv.Itoa(r.NewFailed),
			fmt.Sprintf("%.3f", r.Scenario.FailureRate), fmt.Sprintf("%.2f", r.Scenario.SlowFactor), fmt.Sprint(r.Warned.Seconds()), r.Reason,
		})
	}
	return errors.Wrap(out.WriteAll(records), "write replays")
}
