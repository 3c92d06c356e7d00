package sidecar

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/bounded"
)

const (
	// maxBufferedBodyBytes is the size up to which a request body is buffered in memory, so
	// that it can be sent to a second target.
	maxBufferedBodyBytes = 1 << 20
	// firstBodyBuffer is the size in bytes of the first buffer of a body of unknown length.
	firstBodyBuffer = 512
	// maxUnreadBody is the size in bytes up to which the rest of a body is read that no target
	// needs any more, and unreadBodyTime how long the answer waits for it. The connection can
	// then be used again, and a caller that sends on reads the answer before it is closed.
	maxUnreadBody  = 256 << 10
	unreadBodyTime = 100 * time.Millisecond
)

// errAttemptEnded is returned to a transport that still reads a body after its attempt ended.
var errAttemptEnded = errors.New("the attempt has ended")

// requestBody is the body of a request. Its first bytes are buffered; those behind them, the
// rest, exist only in the connection that they arrive on and are read once.
//
// A body is read through an attemptBody, and only the one that was opened last gets bytes. No
// further one is opened after an attempt has begun to read the rest. An attempt therefore
// gets all bytes from the first on, or an error that is not io.EOF.
type requestBody struct {
	head []byte
	// size is the declared length, or -1 if there is none.
	size int64
	// rest follows head; it is nil if head is the whole body.
	rest io.Reader
	// interrupt makes a pending read of rest return soon.
	interrupt func()

	// readMu is held while rest is read, which takes as long as the caller sends nothing.
	readMu sync.Mutex
	// mu guards the fields below and is not held during a read.
	mu      sync.Mutex
	current *attemptBody
	// restTaken is set before the first read of rest.
	restTaken bool
	// restEnded is set when rest was read to its end.
	restEnded bool
}

// attemptBody is the request body of one attempt. The nil body is empty. net/http does not send
// it again on its own, since the requests have no GetBody.
type attemptBody struct {
	body *requestBody
	// position is the number of bytes of head that were read.
	position int
}

func (b *requestBody) length() int64 {
	switch {
	case b == nil:
		return 0
	case b.rest == nil:
		return int64(len(b.head))
	default:
		return b.size
	}
}

// open ends the attempt that reads the body and begins another one, which reads it from its
// first byte. ok is false if bytes that are not buffered were given out.
func (b *requestBody) open() (a *attemptBody, ok bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = nil
	if b.restTaken {
		return nil, false
	}
	b.current = &attemptBody{body: b}
	return b.current, true
}

// copy returns a body with the same bytes for an attempt that runs beside others, which go on
// reading theirs. ok is false unless all bytes are buffered.
func (b *requestBody) copy() (a *attemptBody, ok bool) {
	if b == nil {
		return nil, true
	}
	if b.rest != nil {
		return nil, false
	}
	return (&requestBody{head: b.head, size: b.size}).open()
}

// end ends all attempts, waits until none of them reads, and skips a short rest. It reports
// whether the body was read to its end. It must be called before the request is answered,
// since net/http waits for a pending read before it writes the answer.
func (b *requestBody) end() (complete bool) {
	if b == nil || b.rest == nil {
		return true
	}
	if b.stopReads() {
		return true
	}
	b.interrupt()
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if b.stopReads() {
		return true
	}
	_, err := io.CopyN(io.Discard, b.rest, maxUnreadBody)
	return errors.Is(err, io.EOF)
}

// stopReads makes further reads fail and reports whether the body was read to its end.
func (b *requestBody) stopReads() (complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current, b.restTaken = nil, true
	return b.restEnded
}

// length returns the length of the body, or -1 if it is not known.
func (a *attemptBody) length() int64 {
	if a == nil {
		return 0
	}
	return a.body.length()
}

// inline reports whether the body is small enough to be written before the response is read.
func (a *attemptBody) inline() bool {
	return a == nil || a.body.rest == nil && len(a.body.head) <= maxInlineBody
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	if a == nil {
		return 0, io.EOF
	}
	n, err := a.readHead(p)
	if n > 0 || err != nil || len(p) == 0 {
		return n, err
	}
	b := a.body
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if !a.takeRest() {
		return 0, errAttemptEnded
	}
	n, err = b.rest.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restEnded = b.restEnded || err == io.EOF
	if b.current != a {
		// The end of the body must not complete a request that was given up.
		return 0, errAttemptEnded
	}
	return n, err
}

// readHead reads from the buffered bytes. It returns 0 and nil if the rest follows.
func (a *attemptBody) readHead(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.current != a:
		return 0, errAttemptEnded
	case a.position < len(b.head):
		n := copy(p, b.head[a.position:])
		a.position += n
		return n, nil
	case b.rest == nil:
		return 0, io.EOF
	default:
		return 0, nil
	}
}

// takeRest reports whether the attempt may read the rest. No other attempt may after that.
func (a *attemptBody) takeRest() bool {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != a {
		return false
	}
	b.restTaken = true
	return true
}

// end makes further reads fail. It does not wait for a pending one.
func (a *attemptBody) end() {
	if a == nil {
		return
	}
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	if a.body.current == a {
		a.body.current = nil
	}
}

// Close implements io.Closer.
func (a *attemptBody) Close() error {
	a.end()
	return nil
}

// readBody reads a request body up to maxBufferedBodyBytes. The lease must outlive the body,
// and end must be called before the request is answered.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, left time.Duration, lease *bounded.Lease) (*requestBody, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(left)); err != nil {
		return nil, errors.Wrap(err, "bound the body")
	}
	head, whole, err := readHead(r, lease)
	if err != nil {
		return nil, err
	}
	if r.ProtoMajor == 1 || !whole {
		// On HTTP/1, the deadline is that of the connection and would end the next read.
		if err := rc.SetReadDeadline(time.Time{}); err != nil {
			return nil, errors.Wrap(err, "read body")
		}
	}
	if whole {
		return &requestBody{head: head, size: int64(len(head))}, nil
	}
	wait := unreadBodyTime
	if r.ProtoMajor != 1 {
		// The other requests of the connection are not affected.
		wait = 0
	}
	interrupt := func() {
		if err := rc.SetReadDeadline(time.Now().Add(wait)); err != nil {
			n.logger.Warn("body_not_interrupted", "error", err.Error())
		}
	}
	return &requestBody{head: head, rest: r.Body, size: r.ContentLength, interrupt: interrupt}, nil
}

// endBody ends the attempts that read the body, before the request is answered.
func (n *Node) endBody(w http.ResponseWriter, r *http.Request, body *requestBody) {
	if !body.end() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
}

// readHead reads a body to its end or until the buffer is full.
func readHead(r *http.Request, lease *bounded.Lease) (head []byte, whole bool, err error) {
	size := int64(firstBodyBuffer)
	if r.ContentLength > 0 {
		size = min(r.ContentLength, maxBufferedBodyBytes)
	}
	if err := lease.Grow(size + 1); err != nil {
		return nil, false, err
	}
	head = make([]byte, 0, size+1)
	for len(head) <= maxBufferedBodyBytes {
		if before := cap(head); len(head) == before {
			head = append(head, 0)[:len(head)]
			if err := lease.Grow(int64(cap(head) - before)); err != nil {
				return nil, false, err
			}
		}
		k, err := r.Body.Read(head[len(head):cap(head)])
		head = head[:len(head)+k]
		if err == io.EOF {
			return head, true, nil
		}
		if err != nil {
			return nil, false, errors.Wrap(err, "read body")
		}
	}
	return head, false, nil
}
