package query

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the reply as human-readable text: the status, the details, and
// the rows as a table.
func (r Reply) WriteText(w io.Writer) error {
	var b strings.Builder
	r.writeStatus(&b)
	r.writeDetails(&b)
	if err := r.writeRows(&b); err != nil {
		return err
	}
	_, err := io.WriteString(w, strings.Map(printableLine, b.String()))
	return err
}

func printableLine(c rune) rune {
	if c == '\n' {
		return c
	}
	return printable(c)
}

func (r Reply) writeStatus(b *strings.Builder) {
	b.WriteString(string(r.Status))
	if r.Outcome != "" {
		b.WriteString(", " + string(r.Outcome))
	}
	if r.Reason != "" {
		b.WriteString(": " + r.Reason)
	}
	b.WriteString("\n")
}

func (r Reply) writeDetails(b *strings.Builder) {
	detail := func(label, value string) {
		if value != "" {
			fmt.Fprintf(b, "%-13s %s\n", label+":", value)
		}
	}
	detail("id", r.ID)
	detail("revision", strconv.FormatUint(uint64(r.Revision), 10))
	if r.Winner != nil {
		detail("won by", r.Winner.String())
	}
	if r.Due != nil {
		detail("due", timeText(*r.Due))
	}
	detail("pending in", strings.Join(r.PendingZones, ", "))
	detail("can't see", strings.Join(r.UnseenZones, ", "))
	for _, n := range r.NACKs {
		detail("NACK", n.String())
	}
	if r.PriceBefore != nil {
		detail("price before", r.PriceBefore.String())
	}
	if r.PriceAfter != nil {
		detail("price after", r.PriceAfter.String())
	}
}

// String implements fmt.Stringer.
func (w Winner) String() string {
	text := fmt.Sprintf("revision %d", w.Revision)
	if w.ID != "" {
		text += ", id " + w.ID
	}
	if w.Author != "" {
		text += ", author " + w.Author
	}
	return text
}

// String implements fmt.Stringer.
func (n NACK) String() string {
	return fmt.Sprintf("%s at revision %d: %s", n.Node, n.Revision, n.Reason)
}

// String implements fmt.Stringer.
func (p Price) String() string {
	return fmt.Sprintf("%d bytes, %s appends, %s reads", p.Bytes, shortFloat(p.Appends), shortFloat(p.Reads))
}

func shortFloat(f float64) string {
	return strings.TrimSuffix(strings.TrimRight(strconv.FormatFloat(f, 'f', 3, 64), "0"), ".")
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// table collects the rows of a reply.
type table struct {
	rows [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		text := fmt.Sprint(c)
		if text == "" {
			text = "-"
		}
		row = append(row, text)
	}
	t.rows = append(t.rows, row)
}

func (r Reply) writeRows(w io.Writer) error {
	t := r.table()
	if len(t.rows) < 2 {
		return nil
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range t.rows {
		if _, err := io.WriteString(tw, strings.Join(row, "\t")+"\n"); err != nil {
			return err
		}
	}
	return tw.Flush()
}

// table returns the header and the rows of the row field that is set.
func (r Reply) table() table {
	var t table
	switch {
	case r.InForce != nil:
		t.add("ZONE", "STATE", "NODES IN FORCE", "WANTED", "LOWEST", "HIGHEST", "AS OF")
		for _, v := range r.InForce {
			t.add(v.Zone, v.State, fmt.Sprintf("%d of %d", v.NodesInForce, v.Nodes), v.Wanted, v.Lowest, v.Highest, timeText(v.AsOf))
		}
	case r.Services != nil:
		t.add("SERVICE", "VERSION", "SHARE", "REVISION")
		for _, s := range r.Services {
			for _, v := range s.Versions {
				t.add(s.Name, v.Version, Percent(v.Weight), s.Revision)
			}
		}
	case r.Routes != nil:
		t.add("ROUTE", "PREFIX", "SERVICE", "REVISION")
		for _, v := range r.Routes {
			t.add(v.Name, strconv.Quote(v.Prefix), v.Service, v.Revision)
		}
	case r.Moves != nil:
		t.addMoves(r.Moves)
	case r.Nodes != nil:
		t.add("NODE", "ZONE", "STATE", "REVISION", "SERVICE", "VERSION", "ADDRESS")
		for _, v := range r.Nodes {
			t.add(v.Node, v.Zone, v.State, v.Revision, v.Service, v.Version, v.Address)
		}
	case r.Zones != nil:
		t.add("ZONE", "REGION", "VISIBLE", "NODES", "LOWEST", "HIGHEST", "AS OF")
		for _, v := range r.Zones {
			t.add(v.Zone, v.Region, v.Visible, v.Nodes, v.Lowest, v.Highest, timeText(v.AsOf))
		}
	case r.Waiting != nil:
		t.add("ID", "DUE", "COMMAND")
		for _, v := range r.Waiting {
			t.add(v.ID, timeText(v.Due), strings.Join(strings.Fields(v.Text), " "))
		}
	}
	return t
}

func (t *table) addMoves(moves []MoveRow) {
	t.add("MOVE", "SERVICE", "FROM", "TO", "STATUS", "SHARE", "DEADLINE", "NOTE")
	for _, v := range moves {
		t.add(v.ID, v.Service, v.From, v.To, v.Status, Percent(v.Weight), timeText(v.Deadline), v.note())
	}
}

// note returns details of a move that its status doesn't convey.
func (m MoveRow) note() string {
	var parts []string
	if m.AtRisk {
		parts = append(parts, "at risk")
	}
	if m.Expected != nil {
		parts = append(parts, "expected "+timeText(*m.Expected))
	}
	if m.Cause != "" {
		parts = append(parts, "taken back by "+m.Cause)
	}
	if m.Reason != "" {
		parts = append(parts, m.Reason)
	}
	if len(m.CutZones) > 0 {
		parts = append(parts, "cut in "+strings.Join(m.CutZones, ", "))
	}
	if len(m.UnseenZones) > 0 {
		parts = append(parts, "can't see "+strings.Join(m.UnseenZones, ", "))
	}
	return strings.Join(parts, "; ")
}
