package callpath

import (
	"expvar"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// maxReplayBytes is the size of the body prefix that is buffered, so that a small
// request that did not run can be sent to another endpoint.
const maxReplayBytes = 16 << 10

// errAttemptEnded is returned to a transport that still reads after its attempt
// ended.
var errAttemptEnded = errors.New("attempt is over")

// requestBody is the body of an inbound request. Successive attempts each read it
// from the start, and only the last one gets bytes. Bytes beyond maxReplayBytes are
// read once; after the first read of them, no further attempt can start.
type requestBody struct {
	src io.Reader
	// unblock makes a pending read of src return.
	unblock func()
	// total counts the bytes of all request bodies.
	total *expvar.Int

	// readMu is held while src is read, which can block for as long as the caller
	// sends nothing. mu guards the fields below and is never held that long.
	readMu sync.Mutex
	mu     sync.Mutex
	head   []byte
	err    error
	// offset is the number of bytes read from src.
	offset int
	// beyondHead is set before bytes beyond head are read, with mu held.
	beyondHead atomic.Bool
	// interrupted is set before abort makes a pending read of a call return that has not ended.
	interrupted atomic.Bool
	current     atomic.Pointer[attemptBody]
}

func newRequestBody(src io.Reader, total *expvar.Int, unblock func()) *requestBody {
	return &requestBody{src: src, total: total, unblock: unblock}
}

// consumed reports whether the body can no longer be read from the start.
func (b *requestBody) consumed() bool { return b.beyondHead.Load() }

// reachedEOF reports whether the end of the body was read. It returns false while
// a read is pending.
func (b *requestBody) reachedEOF() bool {
	if !b.readMu.TryLock() {
		return false
	}
	defer b.readMu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// finishTimeout bounds the wait for the rest of a small unread body.
const finishTimeout = 50 * time.Millisecond

// finish reads the rest of a small body and reports whether its end was reached.
// It returns at once if a read is pending or if more than maxReplayBytes are left.
func (b *requestBody) finish(length int64, setDeadline func(time.Time) error) bool {
	if !b.readMu.TryLock() {
		return false
	}
	defer b.readMu.Unlock()
	b.mu.Lock()
	err, left := b.err, length-int64(b.offset)
	b.mu.Unlock()
	if err != nil {
		return err == io.EOF
	}
	if length < 0 || left > maxReplayBytes || setDeadline(time.Now().Add(finishTimeout)) != nil {
		return false
	}
	var buf [4096]byte
	for err == nil {
		_, err = b.read(buf[:])
	}
	return setDeadline(time.Time{}) == nil && err == io.EOF
}

// rewind invalidates the reader of the previous attempt and reports whether another
// attempt can start. If it cannot, the reader stays valid.
func (b *requestBody) rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.beyondHead.Load() {
		return false
	}
	b.current.Store(nil)
	return true
}

// startAttempt invalidates the reader of the previous attempt and returns one that
// starts at the first byte. ok is false if bytes beyond head were read.
func (b *requestBody) startAttempt() (a *attemptBody, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current.Store(nil)
	if b.beyondHead.Load() {
		return nil, false
	}
	a = &attemptBody{body: b}
	b.current.Store(a)
	return a, true
}

// end makes further reads fail and waits for a pending one. The inbound request
// may not be read after its handler returned.
func (b *requestBody) end() {
	b.current.Store(nil)
	if !b.readMu.TryLock() {
		b.unblock()
		b.readMu.Lock()
	}
	defer b.readMu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = errAttemptEnded
}

// abort ends the reads of the current attempt. When the connection to the target
// is lost, net/http waits for a pending read, and the caller may send nothing for
// a long time. A body whose read had to be interrupted cannot be sent again. ended is set
// if the call had ended before, which also closes the connection.
func (b *requestBody) abort(ended bool) {
	b.current.Store(nil)
	if b.readMu.TryLock() {
		b.readMu.Unlock()
		return
	}
	b.mu.Lock()
	b.beyondHead.Store(true)
	b.mu.Unlock()
	b.interrupted.Store(!ended)
	b.unblock()
}

// peek returns up to n bytes of the start, n at most maxReplayBytes. It blocks
// until they were read or the body ends.
func (b *requestBody) peek(n int) []byte {
	var buf [4096]byte
	for {
		b.mu.Lock()
		head, done := b.prefix(n), b.err != nil || b.beyondHead.Load()
		b.mu.Unlock()
		if len(head) >= n || done {
			return head
		}
		b.readMu.Lock()
		b.read(buf[:min(len(buf), n-len(head))])
		b.readMu.Unlock()
	}
}

// buffered returns up to n bytes of the start, as far as they were read. It does
// not wait for the caller.
func (b *requestBody) buffered(n int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.prefix(n)
}

// tryBuffered is like buffered, but returns false while a read is pending, since
// more bytes may follow.
func (b *requestBody) tryBuffered(n int) ([]byte, bool) {
	if !b.readMu.TryLock() {
		return nil, false
	}
	defer b.readMu.Unlock()
	return b.buffered(n), true
}

// prefix returns up to n bytes of head. Bytes of head never change once written.
func (b *requestBody) prefix(n int) []byte { return b.head[:min(n, len(b.head))] }

// read reads from src and buffers the bytes while head has room. readMu must be held.
func (b *requestBody) read(p []byte) (int, error) {
	b.mu.Lock()
	p = b.limit(p)
	b.mu.Unlock()
	return b.readSource(p)
}

// readFor is like read, and fails if a is not the current attempt.
func (b *requestBody) readFor(a *attemptBody, p []byte) (int, error) {
	b.mu.Lock()
	if b.current.Load() != a {
		b.mu.Unlock()
		return 0, errAttemptEnded
	}
	p = b.limit(p)
	b.mu.Unlock()
	n, err := b.readSource(p)
	if b.current.Load() != a {
		// The end of the body must not complete a request that was given up.
		return 0, errAttemptEnded
	}
	return n, err
}

// limit returns the part of p to which the next bytes of src can be read: as much as
// head has room for, or all of it once bytes beyond head are read. mu must be held.
func (b *requestBody) limit(p []byte) []byte {
	if room := maxReplayBytes - len(b.head); room > 0 {
		return p[:min(len(p), room)]
	}
	b.beyondHead.Store(true)
	return p
}

func (b *requestBody) readSource(p []byte) (int, error) {
	n, err := b.src.Read(p)
	b.total.Add(int64(n))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.offset += n
	b.head = append(b.head, p[:min(n, maxReplayBytes-len(b.head))]...)
	if err != nil {
		b.err = err
	}
	return n, err
}

// attemptBody is the request body of one attempt.
type attemptBody struct {
	body *requestBody
	pos  int
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	if n, err := a.readBuffered(p); n > 0 || err != nil {
		return n, err
	}
	b := a.body
	b.readMu.Lock()
	defer b.readMu.Unlock()
	// A read by an earlier attempt may have completed meanwhile.
	if n, err := a.readBuffered(p); n > 0 || err != nil {
		return n, err
	}
	n, err := b.readFor(a, p)
	a.pos += n
	if n > 0 {
		return n, nil
	}
	return 0, err
}

// readBuffered returns bytes that were read before. It returns 0 and nil if src
// must be read.
func (a *attemptBody) readBuffered(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.current.Load() != a:
		return 0, errAttemptEnded
	case a.pos < len(b.head):
		n := copy(p, b.head[a.pos:])
		a.pos += n
		return n, nil
	case a.pos < b.offset:
		// Bytes beyond head were consumed by an earlier attempt.
		return 0, errAttemptEnded
	default:
		return 0, b.err
	}
}

// Close implements io.Closer. The inbound body is closed by its server.
func (a *attemptBody) Close() error {
	a.body.current.CompareAndSwap(a, nil)
	return nil
}

// emptyBody is an empty body that keeps net/http from retrying a request on its
// own, as it does for requests with http.NoBody.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }
