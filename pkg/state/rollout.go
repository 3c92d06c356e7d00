package state

import (
	"fmt"
	"maps"
	"slices"

	"heathercroft.example/heathercroft/pkg/record"
)

// maxEndedRollouts is how many ended rollouts are kept in the state for reports.
const maxEndedRollouts = 256

func (s *State) startRollout(b record.StartRollout) Outcome {
	svc, ok := s.Services[b.Service]
	if !ok {
		return rejected(fmt.Sprintf("service %q does not exist", b.Service))
	}
	if !slices.Contains(svc.Versions, b.To) || !slices.Contains(svc.Versions, b.From) {
		return rejected(fmt.Sprintf("service %q lacks version %q or %q", b.Service, b.From, b.To))
	}
	if b.From == b.To {
		return rejected("a rollout needs two different versions")
	}
	if b.DeadlineUnixMS <= b.StartUnixMS {
		return rejected("the deadline is not after the start")
	}
	if open, ok := s.OpenRollout(b.Service); ok {
		return conflict(fmt.Sprintf("rollout %d of service %q is open", open.ID, b.Service), open.Revision)
	}
	if other, ok := s.Rollouts[s.Revision]; ok {
		return rejected(fmt.Sprintf("the record starts a rollout of service %q already; a record starts one at most", other.Service))
	}
	if svc.Weights[b.From] != record.FullWeight {
		return rejected(fmt.Sprintf("version %q of service %q does not carry all traffic", b.From, b.Service))
	}
	s.Rollouts[s.Revision] = Rollout{
		ID: s.Revision, Service: b.Service, From: b.From, To: b.To,
		StartUnixMS: b.StartUnixMS, DeadlineUnixMS: b.DeadlineUnixMS,
		Status: RolloutProgressing, Revision: s.Revision,
	}
	s.pruneEndedRollouts()
	return accepted()
}

func (s *State) pruneEndedRollouts() {
	var ended []record.RolloutID
	for id, r := range s.Rollouts {
		if !r.Open() {
			ended = append(ended, id)
		}
	}
	if len(ended) <= maxEndedRollouts {
		return
	}
	slices.Sort(ended)
	for _, id := range ended[:len(ended)-maxEndedRollouts] {
		delete(s.Rollouts, id)
	}
}

// openRollout returns the rollout if it is open, or else the outcome of the change.
func (s *State) openRollout(id record.RolloutID) (Rollout, Outcome, bool) {
	r, ok := s.Rollouts[id]
	if !ok {
		return Rollout{}, rejected(fmt.Sprintf("rollout %d does not exist", id)), false
	}
	if !r.Open() {
		return Rollout{}, conflict(fmt.Sprintf("rollout %d has ended: %s", id, r.Status), r.Revision), false
	}
	return r, Outcome{}, true
}

// heldRollout returns the open rollout if the record was written under the
// rollout's current claim, or else the outcome of the change.
func (s *State) heldRollout(rec record.Record, id record.RolloutID) (Rollout, Outcome, bool) {
	r, o, ok := s.openRollout(id)
	if !ok {
		return r, o, false
	}
	if rec.Epoch != r.Epoch || r.Epoch == 0 {
		return r, fenced(r.Epoch), false
	}
	return r, Outcome{}, true
}

func (s *State) storeRollout(r Rollout) {
	r.Revision = s.Revision
	s.Rollouts[r.ID] = r
}

// setWeights assigns the weight to the new version and the rest to the old one.
func (s *State) setWeights(r Rollout, weight record.BasisPoints) {
	svc := s.Services[r.Service]
	weights := maps.Clone(svc.Weights)
	delete(weights, r.From)
	delete(weights, r.To)
	if weight > 0 {
		weights[r.To] = weight
	}
	if rest := record.FullWeight - weight; rest > 0 {
		weights[r.From] = rest
	}
	svc.Weights = weights
	svc.Revision = s.Revision
	s.Services[r.Service] = svc
}

func (s *State) pauseRollout(b record.PauseRollout) Outcome {
	return s.changeStatus(b.Rollout, RolloutProgressing, RolloutPaused)
}

func (s *State) resumeRollout(b record.ResumeRollout) Outcome {
	return s.changeStatus(b.Rollout, RolloutPaused, RolloutProgressing)
}

func (s *State) changeStatus(id record.RolloutID, from, to RolloutStatus) Outcome {
	r, o, ok := s.openRollout(id)
	if !ok {
		return o
	}
	if r.Status != from {
		return conflict(fmt.Sprintf("rollout %d is %s", id, r.Status), r.Revision)
	}
	r.Status = to
	s.storeRollout(r)
	return accepted()
}

// rollBackRollout requires no claim: any node that detects a fault may return the
// traffic to the old version, since that direction is always safe.
func (s *State) rollBackRollout(b record.RollBackRollout) Outcome {
	r, ok := s.Rollouts[b.Rollout]
	if !ok {
		return rejected(fmt.Sprintf("rollout %d does not exist", b.Rollout))
	}
	if r.Status == RolloutRolledBack {
		return conflict(fmt.Sprintf("rollout %d was rolled back already", r.ID), r.Revision)
	}
	if r.Status == RolloutDone {
		if o := s.checkUndo(r); o.Code != Accepted {
			return o
		}
	}
	r.Status = RolloutRolledBack
	r.Weight = 0
	r.Cause = string(b.Cause)
	r.Reason = b.Reason
	s.storeRollout(r)
	s.setWeights(r, 0)
	return accepted()
}

// checkUndo returns Accepted if a completed rollout can still be rolled back: the
// old version must exist and the weights must not have changed since.
func (s *State) checkUndo(r Rollout) Outcome {
	svc, ok := s.Services[r.Service]
	if !ok || !slices.Contains(svc.Versions, r.From) {
		return rejected(fmt.Sprintf("version %q of service %q no longer exists", r.From, r.Service))
	}
	if svc.Weights[r.To] != record.FullWeight {
		return conflict(fmt.Sprintf("the traffic of service %q has moved on from version %q", r.Service, r.To), svc.Revision)
	}
	if open, ok := s.OpenRollout(r.Service); ok {
		return conflict(fmt.Sprintf("rollout %d of service %q is open", open.ID, r.Service), open.Revision)
	}
	return accepted()
}

func (s *State) claimRollout(rec record.Record, b record.ClaimRollout) Outcome {
	r, o, ok := s.openRollout(b.Rollout)
	if !ok {
		return o
	}
	if record.Epoch(rec.ExpectedRevision) != r.Epoch {
		return conflict(fmt.Sprintf("rollout %d is held by %q", r.ID, r.Holder), record.Revision(r.Epoch))
	}
	r.Epoch = record.Epoch(s.Revision)
	r.Holder = b.Holder
	s.storeRollout(r)
	return accepted()
}

func (s *State) stepRollout(rec record.Record, b record.StepRollout) Outcome {
	r, o, ok := s.heldRollout(rec, b.Rollout)
	if !ok {
		return o
	}
	switch {
	case r.Status != RolloutProgressing:
		return rejected(fmt.Sprintf("rollout %d is %s", r.ID, r.Status))
	case b.Weight <= r.Weight || b.Weight > record.FullWeight:
		return rejected(fmt.Sprintf("weight %d is not between %d and %d", b.Weight, r.Weight+1, record.FullWeight))
	case b.Weight > UnverifiedWeightLimit && !r.Passed:
		return rejected(fmt.Sprintf("version %q has passed no comparison; its limit is %d", r.To, UnverifiedWeightLimit))
	}
	r.Weight = b.Weight
	s.storeRollout(r)
	s.setWeights(r, b.Weight)
	return accepted()
}

func (s *State) rolloutVerdict(rec record.Record, b record.RolloutVerdict) Outcome {
	r, o, ok := s.heldRollout(rec, b.Rollout)
	if !ok {
		return o
	}
	if b.Weight != r.Weight || b.Weight == 0 {
		return rejected(fmt.Sprintf("verdict at weight %d, the rollout is at %d", b.Weight, r.Weight))
	}
	r.Passed = true
	r.Reason = b.Reason
	s.storeRollout(r)
	return accepted()
}

func (s *State) completeRollout(rec record.Record, b record.CompleteRollout) Outcome {
	r, o, ok := s.heldRollout(rec, b.Rollout)
	if !ok {
		return o
	}
	if r.Weight != record.FullWeight || r.Status != RolloutProgressing {
		return rejected(fmt.Sprintf("rollout %d is %s at weight %d", r.ID, r.Status, r.Weight))
	}
	r.Status = RolloutDone
	s.storeRollout(r)
	return accepted()
}
