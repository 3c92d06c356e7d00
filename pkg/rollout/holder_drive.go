package rollout

import (
	"fmt"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// The shortest soaks of a late rollout, as fractions of the planned soaks. The soak at
// full weight keeps a larger fraction, since a fault may show late.
const (
	minSoakFraction      = 0.1
	minFinalSoakFraction = 0.25
)

// minSoakCalls is the number of calls to the new version below which a planned soak
// gives almost no information.
const minSoakCalls = 10

// maybeClaim claims the rollout if it has no holder or the holder timed out. The first
// candidate by rank claims immediately, and each further one HolderTimeout later, because
// a live node may be unable to reach the platform. The reducer accepts only one of two
// concurrent claims.
func (c *Controller) maybeClaim() []Effect {
	silence := time.Duration(0)
	if c.rollout.Epoch != 0 {
		silence = HolderTimeout
	}
	if !c.platformReadable() || c.now-c.lastHolderProgress < silence {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(c.live), func(id mesh.NodeID) bool { return string(id) == c.rollout.Holder })
	rank := slices.Index(mesh.RankNodes(HolderRankKey(c.rollout.ID), others), c.config.Self)
	if rank < 0 || c.now-c.lastHolderProgress < silence+time.Duration(rank)*HolderTimeout {
		return nil
	}
	return c.appendRecord(record.Record{
		ID:               c.recordID("claim-" + string(c.config.Self)),
		ExpectedRevision: record.Revision(c.rollout.Epoch),
		Body:             record.ClaimRollout{Rollout: c.rollout.ID, Holder: string(c.config.Self)},
	})
}

// reconcile determines the next record that the holder requests.
func (c *Controller) reconcile() []Effect {
	if c.cut != nil {
		reason := fmt.Sprintf("cut by node %s in zone %s: %s", c.cut.Node, c.cut.Zone, c.cut.Reason)
		return c.appendRollBack(record.CauseLocalCut, reason)
	}
	result := c.analyzer.Analysis()
	if result.Verdict == VerdictFailed {
		return c.appendRollBack(record.CauseComparison, result.Reason)
	}
	if _, blocked := c.blocked(); blocked {
		return nil
	}
	if c.rollout.Weight == 0 {
		return c.appendStep(c.plan.Steps[0].Weight)
	}
	return c.advance(result)
}

// advance completes the rollout, records that the new version passed, or takes the next
// step.
func (c *Controller) advance(result Analysis) []Effect {
	next, more := c.plan.Next(c.rollout.Weight)
	due := c.soakEndUnixMS()
	if c.unixMS < due {
		return nil
	}
	reason, ok := c.mayAdvance(result, next.Weight)
	if !ok {
		return nil
	}
	if !more {
		return c.appendRecord(c.claimedRecord("complete", record.CompleteRollout{Rollout: c.rollout.ID}))
	}
	if next.Weight > state.UnverifiedWeightLimit && !c.rollout.Passed {
		return c.appendRecord(c.claimedRecord("verdict", record.RolloutVerdict{Rollout: c.rollout.ID, Weight: c.rollout.Weight, Reason: reason}))
	}
	return c.appendStep(next.Weight)
}

// mayAdvance reports whether the evidence permits leaving the current weight.
func (c *Controller) mayAdvance(result Analysis, next record.BasisPoints) (reason string, ok bool) {
	if result.Verdict == VerdictPassed {
		return result.Reason, true
	}
	if next != 0 && next <= state.UnverifiedWeightLimit {
		// Steps up to the limit need no pass, only that there is no evidence against it.
		return result.Reason, !result.Suspicious
	}
	return c.checkLowTraffic(result, next)
}

// soakEndUnixMS returns when the current weight may be left: at its planned time or, if
// the rollout is late or the soak has too few calls, after the shortest soak.
func (c *Controller) soakEndUnixMS() int64 {
	if c.soakHasTooFewCalls() {
		soak := time.Duration(float64(c.plan.Soak(c.rollout.Weight)) * minSoakFraction)
		return c.weightSinceUnixMS + soak.Milliseconds()
	}
	return c.plannedSoakEndUnixMS(c.rollout.Weight, c.weightSinceUnixMS)
}

// soakHasTooFewCalls reports whether the planned soak would gather almost no calls at a
// weight below the limit for versions without a pass. Such a weight is left early, since
// the same time gathers more calls at the next one.
func (c *Controller) soakHasTooFewCalls() bool {
	next, ok := c.plan.Next(c.rollout.Weight)
	perSecond := c.callRate.perSecond()
	if !ok || next.Weight > state.UnverifiedWeightLimit || perSecond == 0 {
		return false
	}
	share := float64(c.rollout.Weight) / float64(record.FullWeight)
	return perSecond*share*c.plan.Soak(c.rollout.Weight).Seconds() < minSoakCalls
}

func (c *Controller) appendStep(weight record.BasisPoints) []Effect {
	return c.appendRecord(c.claimedRecord(fmt.Sprintf("step-%d", weight), record.StepRollout{Rollout: c.rollout.ID, Weight: weight}))
}

func (c *Controller) appendRollBack(cause record.RollBackCause, reason string) []Effect {
	return c.appendRecord(c.claimedRecord("rollback", record.RollBackRollout{Rollout: c.rollout.ID, Cause: cause, Reason: reason}))
}

// claimedRecord returns a record under this node's claim.
func (c *Controller) claimedRecord(what string, body record.Body) record.Record {
	return record.Record{ID: c.recordID(what), Epoch: c.rollout.Epoch, Body: body}
}

// recordID is stable while the rollout does not change, so that repeated appends take
// effect once. It is new after each change, since the first outcome of an id is final.
func (c *Controller) recordID(what string) string {
	return fmt.Sprintf("rollout-%d-%s-e%d-r%d-a%d", c.rollout.ID, what, c.rollout.Epoch, c.rollout.Revision, c.attempts)
}

// appendRecord requests a record, and repeats it unchanged while its result is unknown.
// A record of another kind replaces the one in flight.
func (c *Controller) appendRecord(rec record.Record) []Effect {
	if c.inflight != nil && c.inflight.record.ID == rec.ID {
		if c.inflight.accepted || c.now-c.inflight.sent < AppendRetryInterval {
			return nil
		}
		c.inflight.sent = c.now
		return []Effect{AppendRecord{Record: c.inflight.record}}
	}
	if c.rejected && c.now-c.rejectedAt < AppendRetryInterval {
		return nil
	}
	rec.Author = string(c.config.Self)
	rec.Base = c.revision
	c.inflight = &inflightAppend{record: rec, sent: c.now}
	return []Effect{AppendRecord{Record: rec}}
}

func (c *Controller) platformReadable() bool {
	return c.platformWasRead && c.now-c.lastPlatformRead <= PlatformReadMaxAge
}

// blocked returns why the weight may not be raised at present.
func (c *Controller) blocked() (reason string, blocked bool) {
	switch {
	case c.rollout.Status == state.RolloutPaused:
		return "paused by an operator", true
	case !c.platformReadable():
		return "the platform can't be read", true
	}
	if missing := c.zonesWithoutEvidence(); len(missing) > 0 && c.rollout.Weight > 0 {
		return fmt.Sprintf("evidence of zones %v is missing", missing), true
	}
	return "", false
}

// zonesWithoutEvidence lists the zones whose evidence has been missing for longer than
// EvidenceTimeout.
func (c *Controller) zonesWithoutEvidence() []mesh.AvailabilityZone {
	var zones []mesh.AvailabilityZone
	for _, z := range c.zones {
		if c.now-max(c.lastEvidence[z], c.claimedAt) > EvidenceTimeout {
			zones = append(zones, z)
		}
	}
	slices.Sort(zones)
	return zones
}

// HolderRankKey is the rendezvous hashing key that ranks nodes as holders of a rollout.
func HolderRankKey(id record.RolloutID) string { return fmt.Sprintf("rollout-%d", id) }
