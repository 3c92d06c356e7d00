package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// table collects stated and seen outcomes.
type table struct {
	rows  []row
	start time.Time
}

type row struct {
	at           time.Duration
	what         string
	stated, seen string
}

// add compares a stated with a seen outcome.
func (t *table) add(what, stated, seen string) {
	if t.start.IsZero() {
		t.start = time.Now()
	}
	t.rows = append(t.rows, row{time.Since(t.start), what, stated, seen})
}

// print writes the table and reports whether all rows agree.
func (t *table) print(w io.Writer) bool {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "at\twhat\tstated\tseen\t")
	agreed := len(t.rows) > 0
	for _, r := range t.rows {
		mark := "agrees"
		if r.stated != r.seen {
			mark, agreed = "DIFFERS", false
		}
		fmt.Fprintf(out, "%.1f s\t%s\t%s\t%s\t%s\n", r.at.Seconds(), r.what, r.stated, r.seen, mark)
	}
	_ = out.Flush()
	return agreed
}
