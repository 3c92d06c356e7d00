package query

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// showMove returns the reply for one move, with the status of the move, and whether
// it has ended.
func showMove(b Backend, id record.RolloutID) (Reply, bool) {
	s, f := b.State(), b.InForce()
	rollout, ok := s.Rollouts[id]
	if !ok {
		return refuse(b, errors.Newf("move %d is not known at revision %d", id, s.Revision)), true
	}
	row := moveRow(b, f, rollout)
	reply := Reply{Revision: rollout.Revision, Moves: []MoveRow{row}, Status: moveReplyStatus(row.Status)}
	reply.setCoverage(coverageOf(f, rollout.Revision))
	if row.Reason != "" {
		reply.Reason = row.Reason
	}
	return reply, reply.Status == StatusDone || reply.Status == StatusReversed
}

func moveReplyStatus(s MoveStatus) Status {
	switch s {
	case MoveDone:
		return StatusDone
	case MoveReversed:
		return StatusReversed
	case MoveUnknown:
		return StatusUnknown
	default:
		return StatusInProgress
	}
}

func moveRows(b Backend, s *state.State) []MoveRow {
	f := b.InForce()
	var rows []MoveRow
	for _, id := range slices.Sorted(maps.Keys(s.Rollouts)) {
		rows = append(rows, moveRow(b, f, s.Rollouts[id]))
	}
	return rows
}

func moveRow(b Backend, f InForce, r state.Rollout) MoveRow {
	row := MoveRow{
		ID: r.ID, Service: r.Service, From: r.From, To: r.To, Weight: r.Weight,
		Deadline: time.UnixMilli(r.DeadlineUnixMS).UTC(), Holder: r.Holder,
		Cause: r.Cause, Reason: r.Reason, Revision: r.Revision,
	}
	report, known := b.Rollout(r.ID)
	if known {
		row.AtRisk, row.CutZones = report.AtRisk, report.CutZones
		if report.AtRisk {
			row.Reason = report.AtRiskReason
		}
		if !report.Expected.IsZero() {
			expected := report.Expected.UTC()
			row.Expected = &expected
		}
	}
	coverage := coverageOf(f, r.Revision)
	row.Status, row.UnseenZones = moveStatus(r, f, coverage), coverage.in(ZoneUnknown)
	if known && report.Unknown {
		row.Status, row.Reason = MoveUnknown, report.UnknownReason
	} else if row.Status == MoveUnknown {
		row.Reason = unknownReason(r, f, coverage)
	}
	return row
}

// moveStatus returns the status of a move as far as this node can know it. An open
// move is unknown while the node can't read the log, since its holder may have
// continued. An ended move is done or reversed only when its end is in force in
// every zone.
func moveStatus(r state.Rollout, f InForce, s coverage) MoveStatus {
	ended := MoveDone
	switch r.Status {
	case state.RolloutProgressing, state.RolloutPaused:
		if !f.PlatformReachable {
			return MoveUnknown
		}
		if r.Status == state.RolloutPaused {
			return MovePaused
		}
		return MoveInProgress
	case state.RolloutRolledBack:
		ended = MoveReversed
	}
	switch s.status() {
	case StatusDone:
		return ended
	case StatusInProgress:
		return MoveInProgress
	default:
		return MoveUnknown
	}
}

func unknownReason(r state.Rollout, f InForce, s coverage) string {
	if r.Open() && !f.PlatformReachable {
		return fmt.Sprintf("this node can't reach the platform; the move was %s at %s when it last could", r.Status, Percent(r.Weight))
	}
	return fmt.Sprintf("the move is %s in the log; %s", r.Status, s.reason())
}

// Percent formats a share of traffic for display.
func Percent(p record.BasisPoints) string {
	if p%100 == 0 {
		return fmt.Sprintf("%d %%", p/100)
	}
	return fmt.Sprintf("%.2f %%", float64(p)/100)
}
