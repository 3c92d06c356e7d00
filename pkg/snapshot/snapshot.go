// Package snapshot splits an encoded state into parts for the snapshot stream,
// joins them again, and decides when a snapshot is due.
package snapshot

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// MaxPartBytes is the largest amount of data in one part. Its base64 form in
// JSON stays below the record limit of the platform.
const MaxPartBytes = 128 << 10

// MaxBytes bounds an encoded state after decompression, so that a corrupt or
// malicious snapshot cannot exhaust memory. It is half the node's memory budget.
const MaxBytes = 16 << 20

// MaxParts is the largest number of parts of one snapshot.
const MaxParts = MaxBytes / MaxPartBytes

// ErrInvalid marks a snapshot that cannot be decoded.
var ErrInvalid = errors.New("invalid snapshot")

// Part is one entry of the snapshot stream.
type Part struct {
	Revision record.Revision `json:"revision"`
	// Index counts from 0 to Count-1.
	Index int `json:"index"`
	Count int `json:"count"`
	// Digest is the xxhash64 of the joined data.
	Digest uint64 `json:"digest,string"`
	Data   []byte `json:"data"`
}

// Encode returns a state as gzip-compressed JSON. The encoding is deterministic.
func Encode(s *state.State) ([]byte, error) {
	plain, err := s.Encode()
	if err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	if len(plain) > MaxBytes {
		return nil, errors.Wrapf(ErrInvalid, "state has %d bytes, the limit is %d", len(plain), MaxBytes)
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress state")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress state")
	}
	return out.Bytes(), nil
}

// Decode parses the bytes written by Encode. The error is ErrInvalid.
func Decode(data []byte) (*state.State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "decompress snapshot: %v", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "decompress snapshot: %v", err)
	}
	if len(plain) > MaxBytes {
		return nil, errors.Wrapf(ErrInvalid, "snapshot has more than %d bytes", MaxBytes)
	}
	s, err := state.Decode(plain)
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "decode snapshot: %v", err)
	}
	return s, nil
}

// Split splits encoded data into the entries of the snapshot stream, in order.
func Split(revision record.Revision, data []byte) ([][]byte, error) {
	if len(data) == 0 || len(data) > MaxBytes {
		return nil, errors.Wrapf(ErrInvalid, "snapshot has %d bytes", len(data))
	}
	chunks := slices.Collect(slices.Chunk(data, MaxPartBytes))
	entries := make([][]byte, 0, len(chunks))
	for i, chunk := range chunks {
		entry, err := json.Marshal(Part{
			Revision: revision, Index: i, Count: len(chunks), Digest: xxhash.Sum64(data), Data: chunk,
		})
		if err != nil {
			return nil, errors.Wrap(err, "encode snapshot part")
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// key identifies a snapshot. Snapshots of the same revision by different
// authors are equal, and differ in key if one of them is corrupt.
type key struct {
	revision record.Revision
	digest   uint64
	count    int
}

// Join returns the newest complete snapshot among the entries of the stream,
// which may be in any order, duplicated, corrupt or incomplete. It returns the
// revision and the data, or false if there is no complete snapshot.
func Join(entries [][]byte) (record.Revision, []byte, bool) {
	parts := make(map[key]map[int][]byte)
	for _, entry := range entries {
		var p Part
		if json.Unmarshal(entry, &p) != nil || !p.valid() {
			continue
		}
		k := key{p.Revision, p.Digest, p.Count}
		if parts[k] == nil {
			parts[k] = make(map[int][]byte, p.Count)
		}
		parts[k][p.Index] = p.Data
	}
	keys := make([]key, 0, len(parts))
	for k, found := range parts {
		if len(found) == k.count {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(b.revision, a.revision), cmp.Compare(a.digest, b.digest))
	})
	for _, k := range keys {
		var data []byte
		for i := range k.count {
			data = append(data, parts[k][i]...)
		}
		if xxhash.Sum64(data) == k.digest {
			return k.revision, data, true
		}
	}
	return 0, nil, false
}

func (p Part) valid() bool {
	return p.Count > 0 && p.Count <= MaxParts && p.Index >= 0 && p.Index < p.Count &&
		len(p.Data) > 0 && len(p.Data) <= MaxPartBytes
}
