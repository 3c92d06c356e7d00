package pipeline

import (
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errConnectionEnded is returned for a response that cannot be written, because the
// connection ended before its turn.
var errConnectionEnded = errors.New("the connection ended before the response")

// exchange is a request and its response writer. Until the connection is taken over, the
// response goes to the writer of net/http. After that, it waits for its turn.
type exchange struct {
	request *http.Request
	cancel  context.CancelFunc
	header  http.Header
	// done is closed when the handler has returned; panicked is its panic.
	done     chan struct{}
	panicked any
	stack    []byte

	mu sync.Mutex
	// direct is the writer of net/http. committed is set when the response is being
	// written to it; the connection cannot be taken over then.
	direct    http.ResponseWriter
	committed bool

	// session is set and attached closed when the connection was taken over.
	session  *session
	attached chan struct{}
	// turn is closed when all responses before this one are written or the connection ended.
	turn chan struct{}

	wroteHeader bool
	status      int
	body        io.Writer
	// remaining is the number of bytes of the body that were declared and not written.
	remaining int64
	chunked   io.WriteCloser
	writeErr  error
}

func newExchange(r *http.Request, cancel context.CancelFunc) *exchange {
	return &exchange{
		request: r, cancel: cancel, header: http.Header{}, done: make(chan struct{}),
		attached: make(chan struct{}), turn: make(chan struct{}),
	}
}

// run calls the handler and completes the response.
func (e *exchange) run(next http.Handler) {
	defer close(e.done)
	defer func() {
		if e.panicked = recover(); e.panicked != nil {
			e.stack = debug.Stack()
		}
		e.finish()
	}()
	next.ServeHTTP(e, e.request)
}

// detach reports whether the response has not begun, and makes it wait for its turn.
func (e *exchange) detach() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.committed {
		return false
	}
	e.direct = nil
	return true
}

// begin returns the writer of net/http, or nil if the response waits for its turn.
func (e *exchange) begin() http.ResponseWriter {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.committed = true
	return e.direct
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter. It blocks until the responses before this
// one are written.
func (e *exchange) WriteHeader(status int) {
	if e.wroteHeader {
		return
	}
	e.wroteHeader, e.status = true, status
	if w := e.begin(); w != nil {
		for name, values := range e.header {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		e.body = w
		return
	}
	<-e.attached
	<-e.turn
	e.writeErr = e.session.writeHead(e)
	e.flushIfComplete()
}

// flushIfComplete sends a response of known length before its handler returns: a process
// that stops waits for the handlers.
func (e *exchange) flushIfComplete() {
	if e.writeErr == nil && e.chunked == nil && e.remaining == 0 {
		e.writeErr = errors.Wrap(e.session.writer.Flush(), "write response")
	}
}

// Write implements http.ResponseWriter.
func (e *exchange) Write(p []byte) (int, error) {
	if !e.wroteHeader {
		e.WriteHeader(http.StatusOK)
	}
	switch {
	case e.writeErr != nil:
		return 0, e.writeErr
	case e.chunked == nil && e.session != nil && int64(len(p)) > e.remaining:
		return 0, http.ErrContentLength
	}
	n, err := e.body.Write(p)
	if e.chunked == nil {
		e.remaining -= int64(n)
	}
	e.writeErr = errors.Wrap(err, "write response")
	if e.session != nil {
		e.flushIfComplete()
	}
	return n, e.writeErr
}

// SetReadDeadline implements the interface of http.ResponseController.
func (e *exchange) SetReadDeadline(t time.Time) error {
	e.mu.Lock()
	w := e.direct
	e.mu.Unlock()
	if w != nil {
		return errors.Wrap(http.NewResponseController(w).SetReadDeadline(t), "set read deadline")
	}
	<-e.attached
	return errors.Wrap(e.session.conn.SetReadDeadline(t), "set read deadline")
}

// finish completes the response after the handler has returned. A response that cannot be
// completed ends the connection, so that the client cannot take it for a complete one.
func (e *exchange) finish() {
	if e.panicked == nil && !e.wroteHeader {
		e.WriteHeader(http.StatusOK)
	}
	if w := e.begin(); w != nil {
		return
	}
	<-e.attached
	<-e.turn
	complete := e.panicked == nil && e.writeErr == nil
	if complete && e.chunked != nil {
		err := e.chunked.Close()
		if err == nil {
			// The chunked writer does not write the empty line after the last chunk.
			_, err = io.WriteString(e.session.writer, "\r\n")
		}
		complete = err == nil
	}
	e.session.end(e, complete && e.remaining == 0)
}

// bodyAllowed reports whether the response has a body.
func (e *exchange) bodyAllowed() bool {
	return e.request.Method != http.MethodHead && e.status != http.StatusNoContent && e.status != http.StatusNotModified
}

// frame sets how the end of the body is marked.
func (e *exchange) frame(w io.Writer) error {
	e.body = w
	if !e.bodyAllowed() {
		e.body = io.Discard
		e.remaining = 0
		return nil
	}
	text := e.header.Get("Content-Length")
	if text == "" {
		e.header.Set("Transfer-Encoding", "chunked")
		e.chunked = httputil.NewChunkedWriter(w)
		e.body = e.chunked
		return nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return errors.Newf("Content-Length %q is not a number of bytes", text)
	}
	e.remaining = n
	return nil
}
