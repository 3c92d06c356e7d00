// Package content generates message bodies from a seed, so that the receiver can
// verify every byte without storing a copy.
package content

import (
	"encoding/binary"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ErrMismatch reports a body with a byte that differs from the derived content.
var ErrMismatch = errors.New("body differs from the derived content")

// NewReader returns a reader of the first size bytes derived from a seed. Different
// seeds give unrelated bytes.
func NewReader(seed string, size int64) io.Reader {
	return io.LimitReader(newStream(seed), size)
}

// newStream returns a pseudo-random byte stream. A repeated pattern would not do, since
// blocks in the wrong order or from another body must not compare equal.
func newStream(seed string) io.Reader {
	var key [32]byte
	for i := range 4 {
		binary.LittleEndian.PutUint64(key[8*i:], xxhash.Sum64String(string(rune('0'+i))+seed))
	}
	return rand.NewChaCha8(key)
}

// Hash returns the xxhash64 of the first size bytes derived from a seed.
func Hash(seed string, size int64) uint64 {
	digest := xxhash.New()
	_, _ = io.Copy(digest, NewReader(seed, size))
	return digest.Sum64()
}

// Verifier is a writer that compares the bytes written to it with the derived content.
type Verifier struct {
	expected io.Reader
	buffer   []byte
	// Count is the number of bytes in the writes that matched completely.
	Count int64
}

// NewVerifier returns a verifier for the content derived from a seed.
func NewVerifier(seed string) *Verifier {
	return &Verifier{expected: newStream(seed)}
}

// Write implements io.Writer. Its error is ErrMismatch at the first byte that differs.
func (v *Verifier) Write(p []byte) (int, error) {
	if len(v.buffer) < len(p) {
		v.buffer = make([]byte, len(p))
	}
	expected := v.buffer[:len(p)]
	if _, err := io.ReadFull(v.expected, expected); err != nil {
		return 0, errors.Wrap(err, "derive content")
	}
	for i := range p {
		if p[i] != expected[i] {
			return i, errors.Wrapf(ErrMismatch, "at byte %d", v.Count+int64(i))
		}
	}
	v.Count += int64(len(p))
	return len(p), nil
}
