package callpath

import (
	"expvar"
	"io"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// replayBytes is how much of a request's body is kept, so that a small request
// that did not run can be sent to another endpoint.
const replayBytes = 16 << 10

// errAttemptOver is returned to a transport that still reads after its attempt ended.
var errAttemptOver = errors.New("attempt is over")

// requestBody is the body of an inbound request. Its attempts read it one after
// another, each from the start. Bytes beyond replayBytes can be read once.
type requestBody struct {
	src io.Reader
	// unblock makes a pending read of src return.
	unblock func()
	// total counts the bytes of all bodies.
	total *expvar.Int

	mu   sync.Mutex
	head []byte
	err  error
	// count is the number of bytes read from src.
	count int64
	// passed is set once bytes beyond head were read.
	passed  atomic.Bool
	current atomic.Pointer[attemptBody]
}

func newRequestBody(src io.Reader, total *expvar.Int, unblock func()) *requestBody {
	return &requestBody{src: src, total: total, unblock: unblock}
}

// consumed reports whether the body can no longer be read from the start.
func (b *requestBody) consumed() bool { return b.passed.Load() }

// serverDiscards is how much of an unread body the server reads by itself to
// keep a connection of HTTP/1.1 usable; beyond it the server closes it.
const serverDiscards = 256 << 10

// closesConnection reports whether the server will close the connection if the
// answer is sent now, since too much of the body has not been read.
func (b *requestBody) closesConnection(length int64) bool {
	if !b.mu.TryLock() {
		// A read is pending, so the end has not been seen.
		return length < 0 || length >= serverDiscards
	}
	defer b.mu.Unlock()
	if b.err != nil {
		return false
	}
	return length < 0 || length-b.count >= serverDiscards
}

// attempt ends the previous attempt's reads and starts again from the first byte.
func (b *requestBody) attempt() *attemptBody {
	a := &attemptBody{body: b}
	b.current.Store(a)
	return a
}

// end makes further reads fail and waits for a pending one. The inbound request
// may not be read after its handler returned.
func (b *requestBody) end() {
	b.current.Store(nil)
	if !b.mu.TryLock() {
		b.unblock()
		b.mu.Lock()
	}
	b.err = errAttemptOver
	b.mu.Unlock()
}

// peek returns up to n bytes of the start, n at most replayBytes. It waits for
// them, or for the end of the body.
func (b *requestBody) peek(n int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.head) < n && b.err == nil && !b.passed.Load() {
		var buf [4096]byte
		b.read(buf[:min(len(buf), n-len(b.head))])
	}
	return b.start(n)
}

// seen returns up to n bytes of the start as far as they were read already.
func (b *requestBody) seen(n int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.start(n)
}

// trySeen is seen without a wait for a read that is pending.
func (b *requestBody) trySeen(n int) ([]byte, bool) {
	if !b.mu.TryLock() {
		return nil, false
	}
	defer b.mu.Unlock()
	return b.start(n), true
}

func (b *requestBody) start(n int) []byte { return b.head[:min(n, len(b.head))] }

// read reads from src and keeps what fits into head.
func (b *requestBody) read(p []byte) int {
	n, err := b.src.Read(p)
	b.count += int64(n)
	if n > 0 {
		b.total.Add(int64(n))
		room := replayBytes - len(b.head)
		if b.passed.Load() || n > room {
			b.passed.Store(true)
		}
		b.head = append(b.head, p[:min(n, max(room, 0))]...)
	}
	if err != nil {
		b.err = err
	}
	return n
}

// attemptBody is the body as one attempt sends it.
type attemptBody struct {
	body *requestBody
	pos  int
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.Load() != a {
		return 0, errAttemptOver
	}
	if a.pos < len(b.head) {
		n := copy(p, b.head[a.pos:])
		a.pos += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n := b.read(p)
	a.pos += n
	if n > 0 {
		return n, nil
	}
	return 0, b.err
}

// Close implements io.Closer. The inbound body is closed by its server.
func (a *attemptBody) Close() error {
	a.body.current.CompareAndSwap(a, nil)
	return nil
}

// emptyBody is a body without bytes that keeps net/http from repeating a
// request by itself, as it does for requests with http.NoBody.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }
