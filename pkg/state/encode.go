package state

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Encode returns the state as JSON. Equal states have equal encodings, since map
// keys are written in sorted order.
func (s *State) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "encode state")
}

// Decode parses a state written by Encode.
func Decode(data []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	for id := range s.Outcomes {
		s.outcomeOrder = append(s.outcomeOrder, id)
	}
	slices.SortFunc(s.outcomeOrder, func(a, b string) int {
		return int(s.Outcomes[a].Offset) - int(s.Outcomes[b].Offset)
	})
	return s, nil
}

// Digest returns a hash of the encoded state. Nodes at the same revision have the
// same digest.
func (s *State) Digest() (uint64, error) {
	data, err := s.Encode()
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(data), nil
}
