package state

import (
	"heathercroft.example/heathercroft/pkg/record"
)

// Code says what became of a record.
type Code string

// The outcomes of a record.
const (
	// Accepted: the record took effect.
	Accepted Code = "accepted"
	// Conflict: the object had changed; Winner names the record that won.
	Conflict Code = "conflict"
	// Fenced: the record's epoch is older than the current claim.
	Fenced Code = "fenced"
	// Rejected: the change would make the state invalid.
	Rejected Code = "rejected"
	// Expired: the record was written too long before it was appended.
	Expired Code = "expired"
	// Malformed: the bytes are no record.
	Malformed Code = "malformed"
)

// Outcome is what became of one record.
type Outcome struct {
	Offset record.Revision `json:"offset"`
	Code   Code            `json:"code"`
	Reason string          `json:"reason,omitempty"`
	// Winner is the revision that the record lost to, on Conflict or Fenced.
	Winner record.Revision `json:"winner,omitempty"`
	Author string          `json:"author,omitempty"`
}

// Result is what Apply did with one log entry.
type Result struct {
	ID      string
	Outcome Outcome
	// Duplicate is set if the id had been applied before; Outcome is then the first one.
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

// remember stores an outcome and forgets those that left the dedup window.
func (s *State) remember(id string, o Outcome) {
	s.Outcomes[id] = o
	s.expiry = append(s.expiry, id)
	for len(s.expiry) > 0 {
		oldest := s.Outcomes[s.expiry[0]]
		if oldest.Offset+DedupWindow >= s.Revision {
			return
		}
		delete(s.Outcomes, s.expiry[0])
		s.expiry = s.expiry[1:]
	}
}
