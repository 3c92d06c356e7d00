package query

import (
	"fmt"
	"strings"

	"heathercroft.example/heathercroft/pkg/record"
)

// coverage holds the zones in which a revision is and is not in force.
type coverage struct {
	rows []InForceRow
}

// coverageOf compares the revisions in each zone with the wanted revision.
func coverageOf(f InForce, wanted record.Revision) coverage {
	s := coverage{rows: make([]InForceRow, 0, len(f.Zones))}
	for _, z := range f.Zones {
		s.rows = append(s.rows, inForceRow(z, wanted))
	}
	return s
}

func inForceRow(z ZoneReport, wanted record.Revision) InForceRow {
	row := InForceRow{Zone: z.Zone, Wanted: wanted, State: ZonePending, Nodes: z.Nodes, AsOf: z.AsOf, NACKs: z.NACKs}
	row.Lowest, row.Highest = revisionRange(z)
	for _, c := range z.Applied {
		if c.Revision >= wanted {
			row.NodesInForce += c.Nodes
		}
	}
	switch {
	case !z.Visible:
		row.State = ZoneUnknown
	case row.NodesInForce >= z.Nodes:
		row.State = ZoneInForce
	}
	return row
}

// revisionRange returns the lowest and highest revision that the nodes of a
// zone have acknowledged. A node without an acknowledgement counts as revision 0.
func revisionRange(z ZoneReport) (lowest, highest record.Revision) {
	counted := 0
	for i, c := range z.Applied {
		if i == 0 || c.Revision < lowest {
			lowest = c.Revision
		}
		highest = max(highest, c.Revision)
		counted += c.Nodes
	}
	if counted < z.Nodes {
		lowest = 0
	}
	return lowest, highest
}

// in returns the zones in a state.
func (s coverage) in(state ZoneState) []string {
	var zones []string
	for _, r := range s.rows {
		if r.State == state {
			zones = append(zones, r.Zone)
		}
	}
	return zones
}

// nacks returns the rejections that affect the wanted revision: a node stops at the
// revision that it rejects, so it has not applied any later one.
func (s coverage) nacks() []NACK {
	var out []NACK
	for _, r := range s.rows {
		for _, n := range r.NACKs {
			if n.Revision <= r.Wanted {
				out = append(out, n)
			}
		}
	}
	return out
}

// status returns StatusDone only if every known zone is visible and has the revision
// in force.
func (s coverage) status() Status {
	switch {
	case len(s.in(ZonePending)) > 0:
		return StatusInProgress
	case len(s.in(ZoneUnknown)) > 0 || len(s.rows) == 0:
		return StatusUnknown
	default:
		return StatusDone
	}
}

// reason describes why the status is not StatusDone.
func (s coverage) reason() string {
	var parts []string
	if zones := s.in(ZonePending); len(zones) > 0 {
		parts = append(parts, "not in force yet in "+strings.Join(zones, ", "))
	}
	if zones := s.in(ZoneUnknown); len(zones) > 0 {
		parts = append(parts, "can't see "+strings.Join(zones, ", "))
	}
	if len(s.rows) == 0 {
		parts = append(parts, "no zone is known")
	}
	if nacks := s.nacks(); len(nacks) > 0 {
		parts = append(parts, fmt.Sprintf("%d nodes refused it, the first is %s: %s", len(nacks), nacks[0].Node, nacks[0].Reason))
	}
	return strings.Join(parts, "; ")
}

// setCoverage copies the zones and NACKs of a coverage into the reply.
func (r *Reply) setCoverage(s coverage) {
	r.UnseenZones = s.in(ZoneUnknown)
	r.PendingZones = s.in(ZonePending)
	r.NACKs = s.nacks()
	if r.Reason == "" {
		r.Reason = s.reason()
	}
}
