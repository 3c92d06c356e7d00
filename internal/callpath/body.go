package callpath

import (
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

	mu   sync.Mutex
	head []byte
	err  error
	// count is the number of bytes read from src.
	count int64
	// passed is set once bytes beyond head were read.
	passed  atomic.Bool
	current atomic.Pointer[attemptBody]
}

func newRequestBody(src io.Reader, unblock func()) *requestBody {
	return &requestBody{src: src, unblock: unblock}
}

// consumed reports whether the body can no longer be read from the start.
func (b *requestBody) consumed() bool { return b.passed.Load() }

// finish reads the rest of the body and reports whether its end was seen. It
// gives up at once while another read is pending.
func (b *requestBody) finish() bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	var buf [4096]byte
	for b.err == nil {
		b.read(buf[:])
	}
	return b.err == io.EOF
}

// ended reports whether the end of the body was seen, and how much was read.
func (b *requestBody) ended() (ended bool, count int64) {
	if !b.mu.TryLock() {
		// A read is pending, so the end has not been seen.
		return false, 0
	}
	defer b.mu.Unlock()
	return b.err == io.EOF, b.count
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
