package state

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/record"
)

// ErrUnexpectedOffset reports an offset that does not follow the current revision.
// The caller has to fill the gap or drop the older record.
var ErrUnexpectedOffset = errors.New("offset does not follow the revision")

// Apply applies the log entry at offset. It returns an error only if nothing was
// applied: ErrUnexpectedOffset, or record.ErrUnsupported for a record that this
// binary cannot interpret. Every other entry advances the revision.
func (s *State) Apply(offset record.Revision, data []byte) (Result, error) {
	if offset != s.Revision+1 {
		return Result{}, errors.Wrapf(ErrUnexpectedOffset, "offset %d, revision %d", offset, s.Revision)
	}
	rec, err := record.Decode(data)
	if errors.Is(err, record.ErrUnsupported) {
		return Result{}, err
	}
	if err != nil {
		s.Revision = offset
		s.Malformed++
		return Result{Outcome: Outcome{Offset: offset, Code: Malformed, Reason: err.Error()}}, nil
	}
	return s.applyRecord(offset, rec), nil
}

func (s *State) applyRecord(offset record.Revision, rec record.Record) Result {
	s.Revision = offset
	if first, ok := s.Outcomes[rec.ID]; ok {
		return Result{ID: rec.ID, Outcome: first, Duplicate: true, Record: rec}
	}
	outcome := s.checkAndApply(rec)
	outcome.Offset = offset
	outcome.Author = rec.Author
	if needsDedup(rec.Body) {
		s.storeOutcome(rec.ID, outcome)
	}
	return Result{ID: rec.ID, Outcome: outcome, Record: rec}
}

// needsDedup returns false for idempotent records. They are frequent, and storing
// their outcomes would fill the outcome table.
func needsDedup(b record.Body) bool {
	switch b.(type) {
	case record.RenewKeySlots, record.ReleaseKeySlots, record.NodeAnnounced:
		return false
	default:
		return true
	}
}

func (s *State) checkAndApply(rec record.Record) Outcome {
	if rec.Base >= s.Revision {
		return rejected(fmt.Sprintf("base %d is not before the record's own offset", rec.Base))
	}
	if rec.Base+DedupWindow < s.Revision {
		return Outcome{Code: Expired, Reason: fmt.Sprintf("written at revision %d, older than %d offsets", rec.Base, DedupWindow)}
	}
	if batch, ok := rec.Body.(record.Batch); ok {
		return s.applyBatch(rec, batch)
	}
	return s.applyBody(rec, rec.Body)
}

// applyBatch applies all items to a copy of the state and keeps the copy only if
// every item is accepted.
func (s *State) applyBatch(rec record.Record, batch record.Batch) Outcome {
	trial := s.Clone()
	for i, item := range batch.Items {
		sub := rec
		sub.ExpectedRevision = item.ExpectedRevision
		if o := trial.applyBody(sub, item.Body); o.Code != Accepted {
			o.Reason = fmt.Sprintf("item %d (%s): %s", i+1, item.Body.Kind(), o.Reason)
			return o
		}
	}
	*s = *trial
	return accepted()
}

// applyBody applies one change. It either changes the state and returns
// Accepted, or returns another code and leaves the state unchanged.
func (s *State) applyBody(rec record.Record, body record.Body) Outcome {
	switch b := body.(type) {
	case record.PutService:
		return s.putService(rec, b)
	case record.DeleteService:
		return s.deleteService(rec, b)
	case record.PutVersion:
		return s.putVersion(rec, b)
	case record.DeleteVersion:
		return s.deleteVersion(rec, b)
	case record.PutRoute:
		return s.putRoute(rec, b)
	case record.DeleteRoute:
		return s.deleteRoute(rec, b)
	case record.StartRollout:
		return s.startRollout(b)
	case record.PauseRollout:
		return s.pauseRollout(b)
	case record.ResumeRollout:
		return s.resumeRollout(b)
	case record.RollBackRollout:
		return s.rollBackRollout(b)
	case record.ClaimRollout:
		return s.claimRollout(rec, b)
	case record.StepRollout:
		return s.stepRollout(rec, b)
	case record.RolloutVerdict:
		return s.rolloutVerdict(rec, b)
	case record.CompleteRollout:
		return s.completeRollout(rec, b)
	case record.ClaimKeySlot:
		return s.claimKeySlot(rec, b)
	case record.RenewKeySlots:
		return s.renewKeySlots(b)
	case record.ReleaseKeySlots:
		return s.releaseKeySlots(b)
	case record.NodeAnnounced:
		return s.announceNode(b)
	default:
		panic(fmt.Sprintf("decoder returned a body without a rule: %T", body))
	}
}
