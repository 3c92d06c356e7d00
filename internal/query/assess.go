package query

import (
	"fmt"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// assessChange returns the reply for the current status of a change and whether it
// is final. With follow, a change that started a move is final only when the move
// has ended.
func assessChange(b Backend, id string, f ChangeStatus, follow bool) (Reply, bool) {
	reply := Reply{Revision: b.State().Revision, Reason: f.Reason, PriceAfter: f.Cost}
	switch f.Stage {
	case StageNotRun:
		reply.Status, reply.Outcome, reply.Elsewhere = StatusRefused, NotRun, f.Elsewhere
		return reply, true
	case StageWaiting:
		reply.Status = StatusWaiting
		due := f.Due
		reply.Due = &due
		return reply, false
	case StageUnknown:
		reply.Status, reply.Outcome = StatusUnknown, MayHaveRun
		return reply, false
	case StageDecided:
		return assessDecided(b, reply, f.Outcome, follow)
	default:
		reply.Status, reply.Outcome = StatusUnknown, MayHaveRun
		if reply.Reason == "" {
			reply.Reason = fmt.Sprintf("this node knows no change %q; outcomes are kept for %d revisions, and another node may know it", id, state.DedupWindow)
		}
		return reply, false
	}
}

func assessDecided(b Backend, reply Reply, o state.Outcome, follow bool) (Reply, bool) {
	reply.Decided = true
	if o.Code != state.Accepted {
		reply.Status, reply.Outcome = StatusRefused, NotRun
		reply.Reason = fmt.Sprintf("%s: %s", o.Code, o.Reason)
		reply.Winner = winnerOf(b.State(), o.Winner)
		return reply, true
	}
	reply.Revision = o.Offset
	coverage := coverageOf(b.InForce(), o.Offset)
	reply.setCoverage(coverage)
	if _, started := b.State().Rollouts[o.Offset]; started {
		return assessStarted(b, reply, o.Offset, coverage, follow)
	}
	reply.Status = coverage.status()
	return reply, reply.Status == StatusDone
}

// assessStarted returns the reply for a change that started a move, with the status
// of the move.
func assessStarted(b Backend, reply Reply, id record.RolloutID, coverage coverage, follow bool) (Reply, bool) {
	move, _ := showMove(b, id)
	reply.Moves = move.Moves
	reply.Status = move.Status
	reply.UnseenZones, reply.PendingZones = move.UnseenZones, move.PendingZones
	if move.Reason != "" {
		reply.Reason = move.Reason
	}
	ended := move.Status == StatusDone || move.Status == StatusReversed
	// If the operator set no time limit, the reply is final once the start of the
	// move is in force in all zones.
	return reply, ended || !follow && coverage.status() == StatusDone
}

// winnerOf describes the record that won a conflict. Its ID and author are known
// only while its outcome is in the state.
func winnerOf(s *state.State, revision record.Revision) *Winner {
	if revision == 0 {
		return nil
	}
	w := &Winner{Revision: revision}
	for id, o := range s.Outcomes {
		if o.Offset == revision {
			w.ID, w.Author = id, o.Author
		}
	}
	return w
}
