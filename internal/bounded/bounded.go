// Package bounded limits what is read from other processes: the bytes of one message, and
// the bytes of all messages that a process holds at once.
package bounded

import (
	"io"
	"math"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge is returned for a message that exceeds its limit.
var ErrTooLarge = errors.New("the message exceeds its size limit")

// ErrMemory is returned if the process holds too many bytes of other messages.
var ErrMemory = errors.New("the process holds too many bytes of messages")

// Reader limits how many bytes are read until the limit is set again. Unlike
// io.LimitedReader, it returns ErrTooLarge at the limit, so that a message that was cut off
// there cannot be taken for a complete one.
type Reader struct {
	source io.Reader
	left   int64
}

// NewReader returns a reader without a limit.
func NewReader(source io.Reader) *Reader { return &Reader{source: source, left: math.MaxInt64} }

// Limit allows the given number of further bytes.
func (r *Reader) Limit(bytes int64) { r.left = bytes }

// Unlimit removes the limit.
func (r *Reader) Unlimit() { r.left = math.MaxInt64 }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left <= 0 && len(p) > 0 {
		return 0, ErrTooLarge
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

const (
	// maxSmallLease is the size in bytes up to which a lease may use the whole bound.
	maxSmallLease = 64 << 10
	// largeShare is the share of the bound for all larger leases. A few messages that never end
	// must not use up the memory of the others.
	largeShare = 0.7
)

// Memory bounds the bytes that all leases hold.
type Memory struct {
	limit, largeLimit int64
	// held counts the bytes of all leases, large those of the leases over maxSmallLease.
	held, large atomic.Int64
}

// NewMemory returns a bound of the given number of bytes; 0 means no bound.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, largeLimit: int64(largeShare * float64(limit))}
}

// Held returns the bytes in use.
func (m *Memory) Held() int64 { return m.held.Load() }

// Full reports whether the given share of the bound is in use.
func (m *Memory) Full(share float64) bool {
	return m.limit > 0 && float64(m.held.Load()) > share*float64(m.limit)
}

// Lease holds the bytes of one request. It is not safe for concurrent use; the nil lease
// has no bound.
type Lease struct {
	memory *Memory
	bytes  int64
}

// Lease returns an empty lease.
func (m *Memory) Lease() *Lease { return &Lease{memory: m} }

// Grow adds bytes to the lease, or returns ErrMemory. A lease that grows beyond
// maxSmallLease competes with the other large ones only.
func (l *Lease) Grow(bytes int64) error {
	if l == nil {
		return nil
	}
	m := l.memory
	large := largeBytes(l.bytes+bytes) - largeBytes(l.bytes)
	if !reserve(&m.large, large, m.largeLimit) {
		return ErrMemory
	}
	if !reserve(&m.held, bytes, m.limit) {
		m.large.Add(-large)
		return ErrMemory
	}
	l.bytes += bytes
	return nil
}

// reserve adds bytes to a counter unless it would exceed the limit; 0 means no limit.
func reserve(counter *atomic.Int64, bytes, limit int64) bool {
	if held := counter.Add(bytes); limit > 0 && bytes > 0 && held > limit {
		counter.Add(-bytes)
		return false
	}
	return true
}

// largeBytes returns the bytes of a lease that count as those of a large one.
func largeBytes(bytes int64) int64 {
	if bytes <= maxSmallLease {
		return 0
	}
	return bytes
}

// Release returns all bytes of the lease.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.memory.held.Add(-l.bytes)
	l.memory.large.Add(-largeBytes(l.bytes))
	l.bytes = 0
}

// firstChunk is the size of the first buffer of a message of unknown length.
const firstChunk = 4 << 10

// ReadAll reads a message to its end. length is its declared length, or negative if it is
// not known. The buffer grows with what arrives, not with what is declared, and never
// beyond limit.
func ReadAll(source io.Reader, length, limit int64, lease *Lease) ([]byte, error) {
	if length > limit {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes declared, limit %d", length, limit)
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			size := nextSize(int64(cap(data)), length, limit)
			if err := lease.Grow(size - int64(cap(data))); err != nil {
				return nil, err
			}
			larger := make([]byte, len(data), size)
			copy(larger, data)
			data = larger
		}
		n, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			if length >= 0 && int64(len(data)) != length {
				return nil, errors.Wrapf(io.ErrUnexpectedEOF, "%d of %d bytes", len(data), length)
			}
			return data, nil
		case err != nil:
			return nil, errors.Wrap(err, "read message")
		case int64(len(data)) > limit:
			return nil, errors.Wrapf(ErrTooLarge, "limit %d", limit)
		}
	}
}

// nextSize returns the next capacity of a buffer. One byte more than the message lets the
// reader find its end without another step.
func nextSize(size, length, limit int64) int64 {
	next := max(2*size, firstChunk)
	if length >= 0 {
		next = min(next, length+1)
	}
	return max(min(next, limit+1), size+1)
}
