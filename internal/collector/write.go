package collector

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"heathercroft.example/heathercroft/pkg/timeline"
)

// timeLayout shows the wall clock of a process in milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z"

// writeText writes one line for each event, in merged order.
func writeText(w io.Writer, events []timeline.Event) error {
	processes := 0
	for _, e := range events {
		processes = max(processes, len(e.Process))
	}
	for _, e := range events {
		revision := "-"
		if e.Revision != 0 {
			revision = strconv.FormatUint(e.Revision, 10)
		}
		line := fmt.Sprintf("%s  %-*s  %8s  %s%s", e.Time.UTC().Format(timeLayout), processes, e.Process, revision, e.Kind, fieldsText(e))
		if _, err := io.WriteString(w, strings.Map(printable, line)+"\n"); err != nil {
			return err
		}
	}
	return nil
}

// printable replaces control characters, which could change a terminal.
func printable(r rune) rune {
	if unicode.IsControl(r) {
		return '?'
	}
	return r
}

func fieldsText(e timeline.Event) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		fmt.Fprintf(&b, " %s=%s", k, strconv.Quote(e.Fields[k]))
	}
	return b.String()
}

// writeJSON writes one JSON object for each event and line, in merged order.
func writeJSON(w io.Writer, events []timeline.Event) error {
	enc := json.NewEncoder(w)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// span returns the times of the first and last event by the wall clocks.
func span(events []timeline.Event) (first, last time.Time) {
	for i, e := range events {
		if i == 0 || e.Time.Before(first) {
			first = e.Time
		}
		if i == 0 || e.Time.After(last) {
			last = e.Time
		}
	}
	return first.UTC(), last.UTC()
}
