package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"heathercroft.example/heathercroft/internal/bounded"
)

const (
	// bufferBytes is the size of the read and write buffers of a connection.
	bufferBytes = 4 << 10
	// maxUnreadBody is the size up to which the rest of a body that the handler did not
	// read is skipped. Beyond it, the connection is closed.
	maxUnreadBody = 256 << 10
	// lingerTimeout is how long a connection is read after the last response. Closing it
	// with unread bytes resets it, and the client may lose the response.
	lingerTimeout = 500 * time.Millisecond
)

// session serves a connection that was taken over from net/http.
type session struct {
	handler *Handler
	conn    net.Conn
	limit   *bounded.Reader
	reader  *bufio.Reader
	writer  *bufio.Writer

	mu sync.Mutex
	// open holds the requests without a complete response, in the order of arrival.
	open []*exchange
	// changed is signaled when open or closing change.
	changed *sync.Cond
	// closing is set when no further request is read. The connection closes after the
	// responses in open.
	closing bool
	// broken is set when the connection ended.
	broken bool
}

func newSession(h *Handler, conn net.Conn, buffered *bufio.Reader) *session {
	s := &session{handler: h, conn: conn, writer: bufio.NewWriterSize(conn, bufferBytes)}
	s.changed = sync.NewCond(&s.mu)
	var received io.Reader = conn
	if n := buffered.Buffered(); n > 0 {
		// Peek cannot fail for bytes that are buffered.
		data, _ := buffered.Peek(n)
		received = io.MultiReader(bytes.NewReader(bytes.Clone(data)), conn)
	}
	s.limit = bounded.NewReader(received)
	s.reader = bufio.NewReaderSize(s.limit, bufferBytes)
	return s
}

// serve returns when the connection has ended. ctx is the context of the connection.
func (s *session) serve(ctx context.Context, first *exchange) {
	s.start(first)
	if err := s.readRequests(ctx); err != nil {
		// The client left, or the connection cannot be read.
		s.fail()
	}
	s.waitForOpen(0)
	s.closeConnection()
}

// readRequests reads and starts requests until none may follow. While responses are open,
// it continues to read, to notice that the client leaves.
func (s *session) readRequests(ctx context.Context) error {
	for {
		if _, err := s.reader.Peek(1); err != nil {
			if isTimeout(err) {
				return nil
			}
			return errors.Wrap(err, "read")
		}
		if !s.waitForOpen(s.handler.MaxRequests - 1) {
			return nil
		}
		r, err := s.readRequest(ctx)
		if err != nil {
			return s.reject(ctx, err)
		}
		if concurrent := r.ContentLength == 0 && s.handler.Concurrent(r); !concurrent && !s.waitForOpen(0) {
			return nil
		}
		e := s.newExchange(r)
		if !s.start(e) {
			return nil
		}
		if r.ContentLength == 0 {
			go e.run(s.handler.next)
		} else if more, err := s.runWithBody(e); err != nil || !more {
			return err
		}
		if r.Close {
			s.stopReading()
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (s *session) newExchange(r *http.Request) *exchange {
	ctx, cancel := context.WithCancel(r.Context())
	return newExchange(r.WithContext(ctx), cancel)
}

// readRequest reads the head of the next request.
func (s *session) readRequest(ctx context.Context) (*http.Request, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(s.handler.HeaderTimeout)); err != nil {
		return nil, errors.Wrap(err, "set read deadline")
	}
	s.limit.Limit(int64(s.handler.MaxHeaderBytes) + bufferBytes)
	r, err := http.ReadRequest(s.reader)
	s.limit.Unlimit()
	if err != nil {
		return nil, unreadable(err)
	}
	if r.ProtoMajor != 1 || r.Host == "" || !httpguts.ValidHostHeader(r.Host) {
		return nil, errors.New("not an HTTP/1.1 request with a valid host")
	}
	for name, values := range r.Header {
		for _, v := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(v) {
				return nil, errMalformedHead
			}
		}
	}
	r.RemoteAddr = s.conn.RemoteAddr().String()
	return r.WithContext(ctx), nil
}

// errMalformedHead does not quote the head, since it may hold a key.
var errMalformedHead = errors.New("malformed request head")

// unreadable returns the error of a head that could not be read, without a part of the head.
func unreadable(err error) error {
	var network net.Error
	for _, known := range []error{bounded.ErrTooLarge, io.EOF, io.ErrUnexpectedEOF, net.ErrClosed} {
		if errors.Is(err, known) {
			return errors.Wrap(err, "read request")
		}
	}
	if errors.As(err, &network) {
		return errors.Wrap(err, "read request")
	}
	return errMalformedHead
}

// reject responds to a request that cannot be read, after the responses before it, and
// closes the connection. It returns the cause if the client cannot get a response.
func (s *session) reject(ctx context.Context, cause error) error {
	status := http.StatusBadRequest
	switch {
	case errors.Is(cause, bounded.ErrTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(cause):
		status = http.StatusRequestTimeout
	case errors.Is(cause, io.EOF), errors.Is(cause, io.ErrUnexpectedEOF), errors.Is(cause, net.ErrClosed):
		return cause
	}
	s.handler.Logger.Info("request_unreadable", "status", status, "error", cause.Error())
	e := s.newExchange((&http.Request{Method: http.MethodGet, Header: http.Header{}}).WithContext(ctx))
	if s.start(e) {
		e.run(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(status)
		}))
	}
	return nil
}

// monitoredBody tells when the body of a request was read to its end.
type monitoredBody struct {
	io.ReadCloser
	once  sync.Once
	ended chan struct{}
}

// Read implements io.Reader.
func (b *monitoredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.once.Do(func() { close(b.ended) })
	}
	return n, err
}

// runWithBody runs a request with a body until the body is read. It reports whether another
// request may follow.
func (s *session) runWithBody(e *exchange) (more bool, err error) {
	if e.request.Header.Get("Expect") == "100-continue" {
		// No response is open but this one, which has not begun.
		if _, err := io.WriteString(s.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false, errors.Wrap(err, "write interim response")
		}
	}
	body := &monitoredBody{ReadCloser: e.request.Body, ended: make(chan struct{})}
	e.request.Body = body
	go e.run(s.handler.next)
	select {
	case <-body.ended:
		return true, nil
	case <-e.done:
	}
	if s.isClosing() {
		return false, nil
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(s.handler.HeaderTimeout)); err != nil {
		return false, errors.Wrap(err, "set read deadline")
	}
	if n, err := io.CopyN(io.Discard, body, maxUnreadBody); n == maxUnreadBody || !errors.Is(err, io.EOF) {
		// The client continues to send; what follows cannot be told from a request.
		s.stopReading()
		return false, nil
	}
	s.setIdleDeadline()
	return true, nil
}

// start adds an exchange behind the open ones. It reports false if the connection is
// closing, so that the request counts as not read.
func (s *session) start(e *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.broken {
		e.cancel()
		return false
	}
	e.session = s
	s.open = append(s.open, e)
	if len(s.open) == 1 {
		close(e.turn)
		s.setState(http.StateActive)
	}
	close(e.attached)
	// An error means that the connection is closed, which the next read reports.
	_ = s.conn.SetReadDeadline(time.Time{})
	return true
}

// waitForOpen waits until at most n requests have no response. It reports false if the
// connection is closing.
func (s *session) waitForOpen(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.open) > n {
		s.changed.Wait()
	}
	return !s.closing && !s.broken
}

// writeHead writes the status and the header of a response whose turn it is. Only the last
// response closes the connection: those behind it are at work for this client.
func (s *session) writeHead(e *exchange) error {
	s.mu.Lock()
	if s.broken {
		s.mu.Unlock()
		return errConnectionEnded
	}
	if httpguts.HeaderValuesContainsToken(e.header["Connection"], "close") || e.request.Close {
		s.closing = true
		s.changed.Broadcast()
	}
	last := s.closing && len(s.open) == 1
	s.mu.Unlock()
	e.header.Del("Connection")
	if last {
		e.header.Set("Connection", "close")
	}
	if err := e.frame(s.writer); err != nil {
		return err
	}
	if _, ok := e.header["Date"]; !ok {
		e.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	if _, err := fmt.Fprintf(s.writer, "HTTP/1.1 %03d %s\r\n", e.status, http.StatusText(e.status)); err != nil {
		return errors.Wrap(err, "write response")
	}
	if err := e.header.Write(s.writer); err != nil {
		return errors.Wrap(err, "write response")
	}
	_, err := io.WriteString(s.writer, "\r\n")
	return errors.Wrap(err, "write response")
}

// end removes the first open exchange and gives the turn to the next one. An incomplete
// response ends the connection.
func (s *session) end(e *exchange, complete bool) {
	if e.panicked != nil && e.panicked != http.ErrAbortHandler {
		s.handler.Logger.Error("handler_panicked", "panic", fmt.Sprint(e.panicked), "stack", string(e.stack))
	}
	if complete {
		complete = s.writer.Flush() == nil
	}
	if !complete {
		s.fail()
	}
	e.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = s.open[1:]
	s.changed.Broadcast()
	switch {
	case s.broken:
	case len(s.open) > 0:
		close(s.open[0].turn)
	case s.closing:
		s.setState(http.StateIdle)
		// The reader waits for the client and has to close the connection.
		_ = s.conn.SetReadDeadline(time.Now())
	default:
		s.setState(http.StateIdle)
		s.setIdleDeadline()
	}
}

func (s *session) setState(state http.ConnState) {
	if s.handler.ConnState != nil {
		s.handler.ConnState(s.conn, state)
	}
}

// setIdleDeadline limits the time until the next request. An error means that the
// connection is closed, which the next read reports.
func (s *session) setIdleDeadline() {
	_ = s.conn.SetReadDeadline(time.Now().Add(s.handler.IdleTimeout))
}

// fail ends the connection and cancels the open requests.
func (s *session) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return
	}
	s.broken, s.closing = true, true
	for i, e := range s.open {
		e.cancel()
		if i > 0 {
			close(e.turn)
		}
	}
	s.changed.Broadcast()
	_ = s.conn.Close()
}

func (s *session) stopReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

func (s *session) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// closeConnection closes the connection without resetting it.
func (s *session) closeConnection() {
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	if w, ok := s.conn.(interface{ CloseWrite() error }); ok && !broken && w.CloseWrite() == nil {
		if s.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
			_, _ = io.Copy(io.Discard, s.conn)
		}
	}
	_ = s.conn.Close()
}
