package state

import (
	"heathercroft.example/heathercroft/pkg/record"
)

// Code is the result of applying a record.
type Code string

// Outcome codes.
const (
	// Accepted means that the record took effect.
	Accepted Code = "accepted"
	// Conflict means that the object has changed. Winner is the revision of the
	// record that changed it.
	Conflict Code = "conflict"
	// Fenced means that the record's epoch is not that of the current claim.
	Fenced Code = "fenced"
	// Rejected means that the change would make the state invalid.
	Rejected Code = "rejected"
	// Expired means that more than DedupWindow offsets lie between the record's
	// base and its own offset.
	Expired Code = "expired"
	// Malformed means that the entry is not a record.
	Malformed Code = "malformed"
)

// Outcome describes the result of applying one record.
type Outcome struct {
	Offset record.Revision `json:"offset"`
	Code   Code            `json:"code"`
	Reason string          `json:"reason,omitempty"`
	// Winner is the revision that the record conflicts with, on Conflict or Fenced.
	Winner record.Revision `json:"winner,omitempty"`
	Author string          `json:"author,omitempty"`
}

// Result is the result of applying one log entry.
type Result struct {
	ID      string
	Outcome Outcome
	// Duplicate is set if a record with the same ID was applied before. Outcome is
	// then that of the first one.
	Duplicate bool
	// Record is the decoded record; its Body is nil if the entry was malformed.
	Record record.Record
}

func accepted() Outcome { return Outcome{Code: Accepted} }

func rejected(reason string) Outcome { return Outcome{Code: Rejected, Reason: reason} }

func conflict(reason string, winner record.Revision) Outcome {
	return Outcome{Code: Conflict, Reason: reason, Winner: winner}
}

func fenced(current record.Epoch) Outcome {
	return Outcome{Code: Fenced, Reason: "a newer claim exists", Winner: record.Revision(current)}
}

// storeOutcome stores an outcome and deletes those that are outside of the
// deduplication window.
func (s *State) storeOutcome(id string, o Outcome) {
	s.Outcomes[id] = o
	s.outcomeOrder = append(s.outcomeOrder, id)
	for len(s.outcomeOrder) > 0 {
		oldest := s.Outcomes[s.outcomeOrder[0]]
		if oldest.Offset+DedupWindow >= s.Revision {
			return
		}
		delete(s.Outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}
