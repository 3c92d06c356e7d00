package state

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Encode returns the state as JSON. Equal states have equal bytes, since maps
// are written in the order of their keys.
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
		s.expiry = append(s.expiry, id)
	}
	slices.SortFunc(s.expiry, func(a, b string) int {
		return int(s.Outcomes[a].Offset) - int(s.Outcomes[b].Offset)
	})
	return s, nil
}

// Digest identifies the state: nodes at the same revision have the same digest.
func (s *State) Digest() (uint64, error) {
	data, err := s.Encode()
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(data), nil
}
