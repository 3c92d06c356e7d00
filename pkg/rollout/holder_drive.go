package rollout

import (
	"fmt"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// The shortest soaks of a late rollout, as parts of the planned soaks. At full
// weight more is kept, since a fault may show late.
const (
	catchUpPart = 0.1
	finalPart   = 0.25
)

// quietCalls is the number of calls of the new version below which a planned
// soak tells next to nothing.
const quietCalls = 10

// maybeClaim claims the rollout if its holder is silent. The first candidate by
// rank claims at once, and each further one HolderTimeout later: a live node may be
// unable to reach the platform. The reducer accepts only one of two claims.
func (h *Controller) maybeClaim() []Effect {
	silence := time.Duration(0)
	if h.rollout.Epoch != 0 {
		silence = HolderTimeout
	}
	if !h.platformReadable() || h.now-h.progress < silence {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(h.live), func(id mesh.NodeID) bool { return string(id) == h.rollout.Holder })
	rank := slices.Index(mesh.RankNodes(HolderRankKey(h.rollout.ID), others), h.config.Self)
	if rank < 0 || h.now-h.progress < silence+time.Duration(rank)*HolderTimeout {
		return nil
	}
	return h.append(record.Record{
		ID:               h.recordID("claim-" + string(h.config.Self)),
		ExpectedRevision: record.Revision(h.rollout.Epoch),
		Body:             record.ClaimRollout{Rollout: h.rollout.ID, Holder: string(h.config.Self)},
	})
}

// drive decides what the holder asks for next.
func (h *Controller) drive() []Effect {
	if h.cut != nil {
		reason := fmt.Sprintf("cut by node %s in zone %s: %s", h.cut.Node, h.cut.Zone, h.cut.Reason)
		return h.rollBack(record.CauseLocalCut, reason)
	}
	j := h.judge.Analysis()
	if j.Verdict == VerdictFailed {
		return h.rollBack(record.CauseComparison, j.Reason)
	}
	if _, blocked := h.blocked(); blocked {
		return nil
	}
	if h.rollout.Weight == 0 {
		return h.step(h.plan.Steps[0].Weight)
	}
	return h.advance(j)
}

// advance completes the rollout, records a pass, or takes the next step.
func (h *Controller) advance(j Analysis) []Effect {
	next, more := h.plan.Next(h.rollout.Weight)
	due := h.dueUnixMS()
	if h.unixMS < due {
		return nil
	}
	reason, ok := h.mayAdvance(j, next.Weight)
	if !ok {
		return nil
	}
	if !more {
		return h.append(h.held("complete", record.CompleteRollout{Rollout: h.rollout.ID}))
	}
	if next.Weight > state.UnverifiedWeightLimit && !h.rollout.Passed {
		return h.append(h.held("verdict", record.RolloutVerdict{Rollout: h.rollout.ID, Weight: h.rollout.Weight, Reason: reason}))
	}
	return h.step(next.Weight)
}

// mayAdvance says whether the evidence allows to leave the present share.
func (h *Controller) mayAdvance(j Analysis, next record.BasisPoints) (reason string, ok bool) {
	if j.Verdict == VerdictPassed {
		return j.Reason, true
	}
	if next != 0 && next <= state.UnverifiedWeightLimit {
		// Steps up to the limit need no pass, only that nothing speaks against it.
		return j.Reason, !j.Suspicious
	}
	return h.lowTraffic(j, next)
}

// dueUnixMS is when the present share may be left: at its planned time, or if the
// rollout is late, after the shortest soak.
func (h *Controller) dueUnixMS() int64 {
	if h.tooQuiet() {
		soak := time.Duration(float64(h.plan.Soak(h.rollout.Weight)) * catchUpPart)
		return h.raisedMS + soak.Milliseconds()
	}
	return h.plannedEnd(h.rollout.Weight, h.raisedMS)
}

// tooQuiet reports that the planned soak would gather next to no calls at a share
// below the limit for versions without a pass. Such a share is left early: the
// time gathers more at the next one.
func (h *Controller) tooQuiet() bool {
	next, ok := h.plan.Next(h.rollout.Weight)
	perSecond := h.rate.perSecond()
	if !ok || next.Weight > state.UnverifiedWeightLimit || perSecond == 0 {
		return false
	}
	share := float64(h.rollout.Weight) / float64(record.FullWeight)
	return perSecond*share*h.plan.Soak(h.rollout.Weight).Seconds() < quietCalls
}

func (h *Controller) step(weight record.BasisPoints) []Effect {
	return h.append(h.held(fmt.Sprintf("step-%d", weight), record.StepRollout{Rollout: h.rollout.ID, Weight: weight}))
}

func (h *Controller) rollBack(cause record.RollBackCause, reason string) []Effect {
	return h.append(h.held("rollback", record.RollBackRollout{Rollout: h.rollout.ID, Cause: cause, Reason: reason}))
}

// held returns a record under this node's claim.
func (h *Controller) held(what string, body record.Body) record.Record {
	return record.Record{ID: h.recordID(what), Epoch: h.rollout.Epoch, Body: body}
}

// recordID is stable while the rollout does not change, so that repeated appends
// have one effect, and new after each change, since the first outcome of an id
// stands for ever.
func (h *Controller) recordID(what string) string {
	return fmt.Sprintf("rollout-%d-%s-e%d-r%d-a%d", h.rollout.ID, what, h.rollout.Epoch, h.rollout.Revision, h.attempts)
}

// append asks for a record, and for the same bytes again while its result is
// unknown. A record of another kind replaces one in flight.
func (h *Controller) append(rec record.Record) []Effect {
	if h.flight != nil && h.flight.record.ID == rec.ID {
		if h.flight.accepted || h.now-h.flight.sent < AppendRetryInterval {
			return nil
		}
		h.flight.sent = h.now
		return []Effect{AppendRecord{Record: h.flight.record}}
	}
	if h.refused && h.now-h.refusedAt < AppendRetryInterval {
		return nil
	}
	rec.Author = string(h.config.Self)
	rec.Base = h.revision
	h.flight = &flight{record: rec, sent: h.now}
	return []Effect{AppendRecord{Record: rec}}
}

func (h *Controller) platformReadable() bool {
	return h.readSeen && h.now-h.read <= PlatformReadMaxAge
}

// blocked returns why no share may be raised now.
func (h *Controller) blocked() (reason string, blocked bool) {
	switch {
	case h.rollout.Status == state.RolloutPaused:
		return "paused by an operator", true
	case !h.platformReadable():
		return "the platform can't be read", true
	}
	if unseen := h.unseen(); len(unseen) > 0 && h.rollout.Weight > 0 {
		return fmt.Sprintf("evidence of zones %v is missing", unseen), true
	}
	return "", false
}

// unseen lists the zones without evidence for longer than EvidenceTimeout.
func (h *Controller) unseen() []mesh.AvailabilityZone {
	var zones []mesh.AvailabilityZone
	for _, z := range h.zones {
		if h.now-max(h.zoneHeard[z], h.heldSince) > EvidenceTimeout {
			zones = append(zones, z)
		}
	}
	slices.Sort(zones)
	return zones
}

// HolderRankKey is the rendezvous key by which nodes rank as holders of a rollout.
func HolderRankKey(id record.RolloutID) string { return fmt.Sprintf("rollout-%d", id) }
