package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/bounded"
	"heathercroft.example/heathercroft/internal/httpresponse"
	"heathercroft.example/heathercroft/pkg/retry"
)

const (
	// targetDialTimeout limits the connection to the target on the same machine. A target
	// that does not accept within it is down.
	targetDialTimeout = 400 * time.Millisecond
	// targetIdleTimeout is how long an idle connection to the target is kept, unless the
	// target requests a shorter time.
	targetIdleTimeout = 5 * time.Second
	// maxIdleNonRetryable is the longest idle time of a connection for a request that must
	// not run twice. The target may have dropped the connection without notice, and a reset
	// after the request was sent does not tell whether it ran.
	maxIdleNonRetryable = 200 * time.Millisecond
	// keepAliveMargin is subtracted from the keep-alive timeout of the target, so that no
	// request is sent on a connection that the target is about to close.
	keepAliveMargin = 500 * time.Millisecond
	// idleCheckInterval is the time between two checks of the idle connections.
	idleCheckInterval = 500 * time.Millisecond
	// targetCloseTimeout limits how long a new connection to a target that allows few waits
	// until the target has closed the one whose place it takes.
	targetCloseTimeout = 20 * time.Millisecond
	// targetBufferBytes is the size of the read and write buffers of a connection.
	targetBufferBytes = 4 << 10
	// maxResponseHeaderBytes limits the head of a response. A faulty target may send one
	// that never ends.
	maxResponseHeaderBytes = 64 << 10
	// maxResponseBytes limits a response. Responses are read completely before they are
	// delivered, so that a truncated one is never forwarded as complete.
	maxResponseBytes = 32 << 20
	// maxStaleResponses is how many responses to earlier requests are skipped on one
	// connection.
	maxStaleResponses = 3
	// maxInlineBody is the size in bytes up to which a body is written before the response
	// is read. It fits into the send buffer, so that an early response cannot block.
	maxInlineBody = 16 << 10
)

// targetRequest is a request for the local target.
type targetRequest struct {
	method, host, uri string
	header            http.Header
	body              *attemptBody
	// retryable is set if the request may be sent again after a failure.
	retryable bool
	// lease holds the memory of the response.
	lease *bounded.Lease
}

// response is a complete response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// targetClient keeps HTTP/1.1 connections to the local target. A connection carries one
// request at a time.
type targetClient struct {
	address string
	headers Headers
	now     func() time.Duration
	// closed, if set, is called when the target has closed idle connections that were used within
	// recentUse.
	closed func()
	// awaitsClose is set if the target allows too few connections for one that it has not yet
	// closed and the one in its place.
	awaitsClose atomic.Bool

	mu sync.Mutex
	// idle holds the idle connections, the least recently used first.
	idle []*targetConn
	// checkScheduled is set while a call of checkIdle is scheduled.
	checkScheduled bool
	opened         int64
	// lastLost is the time at which the last request lost its connection.
	lastLost time.Duration
}

// do sends one request and reads the complete response. The outcome tells whether the
// target may have run the request.
func (c *targetClient) do(ctx context.Context, request *targetRequest) (*response, retry.Outcome, error) {
	conn, err := c.get(ctx, request.retryable)
	if err != nil {
		return nil, retry.ConnectionRefused, err
	}
	began := c.now()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	r, keep, err := c.roundTrip(conn, request)
	if !stop() {
		keep = false
	}
	if keep {
		c.put(conn)
	} else {
		_ = conn.Close()
	}
	switch {
	case err == nil:
		return r, c.classify(r), nil
	case !conn.wrote.Load():
		return nil, retry.ResetBeforeWrite, err
	case ctx.Err() != nil:
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.closeIdleBefore(began)
		}
		return nil, retry.TimedOut, errors.CombineErrors(ctx.Err(), err)
	case errors.Is(err, httpresponse.ErrMalformed):
		return nil, retry.MayHaveRun, err
	default:
		if connectionLost(err) {
			c.handleLostConnection()
		}
		return nil, retry.ResetAfterWrite, err
	}
}

// classify determines from a complete response whether the request ran.
func (c *targetClient) classify(r *response) retry.Outcome {
	switch {
	case r.header.Get(c.headers.NotRun) != "", r.status == http.StatusMisdirectedRequest:
		return retry.RefusedByTarget
	case r.status >= 200 && r.status < 300 && r.header.Get(c.headers.Signature) == "":
		return retry.MayHaveRun
	default:
		return retry.ResponseReceived
	}
}

// get returns a connection for one request. The number of connections never exceeds the
// highest number of requests at a time: a new one is opened only if no other is idle, or in
// place of an idle one that the request must not use.
func (c *targetClient) get(ctx context.Context, retryable bool) (*targetConn, error) {
	for {
		conn, replaced := c.pop(retryable)
		if replaced {
			c.retire(conn)
		}
		if conn == nil || replaced {
			break
		}
		if c.usable(conn) {
			conn.wrote.Store(false)
			conn.reused = true
			return conn, nil
		}
		if c.closedEarly(conn) {
			c.reportClosed()
		}
		c.retire(conn)
	}
	dialer := net.Dialer{Timeout: targetDialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to target")
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	limit := bounded.NewReader(raw)
	return &targetConn{Conn: raw, limit: limit, reader: bufio.NewReaderSize(limit, targetBufferBytes), expires: c.now() + targetIdleTimeout}, nil
}

// pop takes the most recently used connection, so that the others can expire. If that one
// has been idle for too long for a request that is not retryable, so have all others: pop
// takes the oldest one, which the new connection replaces.
func (c *targetClient) pop(retryable bool) (conn *targetConn, replaced bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil, false
	}
	take := len(c.idle) - 1
	if !retryable && c.now()-c.idle[take].lastUsed > maxIdleNonRetryable {
		take, replaced = 0, true
	}
	conn = c.idle[take]
	c.idle = slices.Delete(c.idle, take, take+1)
	return conn, replaced
}

// retire closes an idle connection before another is opened. If the target allows too few
// connections for both, it waits until the target has closed it.
func (c *targetClient) retire(conn *targetConn) {
	defer func() { _ = conn.Close() }()
	tcp, ok := conn.Conn.(*net.TCPConn)
	if !ok || !c.awaitsClose.Load() || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(targetCloseTimeout)) != nil {
		return
	}
	// An error or unexpected bytes do not matter: the connection is closed anyway.
	_, _ = tcp.Read(make([]byte, 1))
}

// usable reports whether an idle connection may carry a request.
func (c *targetClient) usable(conn *targetConn) bool {
	return c.now() < conn.expires && conn.reader.Buffered() == 0 && openAndEmpty(conn.Conn)
}

// checkIdle closes the idle connections that have expired, that the target has closed and
// on which it sent bytes, which would fill the buffers of the connection.
func (c *targetClient) checkIdle() {
	c.mu.Lock()
	c.checkScheduled = false
	closed := c.closeUnusable()
	c.scheduleCheck()
	c.mu.Unlock()
	if closed {
		c.reportClosed()
	}
}

// closeUnusable closes the idle connections that must not be used. It reports whether the target
// has closed some early. mu must be held.
func (c *targetClient) closeUnusable() (closedEarly bool) {
	c.idle = slices.DeleteFunc(c.idle, func(conn *targetConn) bool {
		if c.usable(conn) {
			return false
		}
		closedEarly = closedEarly || c.closedEarly(conn)
		_ = conn.Close()
		return true
	})
	return closedEarly
}

const (
	// recentUse is the time after the last request on a connection within which a target closes it
	// only if its process ends. Servers keep idle connections for longer.
	recentUse = time.Second
	// lostTogether is the time between two requests that lose their connections if the process of
	// the target ends.
	lostTogether = 100 * time.Millisecond
)

// closedEarly reports whether the target has closed an idle connection that was used within
// recentUse.
func (c *targetClient) closedEarly(conn *targetConn) bool {
	return c.now()-conn.lastUsed < recentUse && c.now() < conn.expires && closedByPeer(conn.Conn)
}

// handleLostConnection handles a request that lost its connection. If others were lost with it,
// the process of the target has probably ended, and another one may already be in its place.
func (c *targetClient) handleLostConnection() {
	c.mu.Lock()
	now := c.now()
	together := c.lastLost > 0 && now-c.lastLost < lostTogether
	c.lastLost = now
	closed := c.closeUnusable()
	c.mu.Unlock()
	if together || closed {
		c.reportClosed()
	}
}

func (c *targetClient) reportClosed() {
	if c.closed != nil {
		c.closed()
	}
}

// connectionLost reports whether an error means that the other end has closed a connection.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// scheduleCheck schedules a check if there are idle connections. mu must be held.
func (c *targetClient) scheduleCheck() {
	if len(c.idle) > 0 && !c.checkScheduled {
		c.checkScheduled = true
		time.AfterFunc(idleCheckInterval, c.checkIdle)
	}
}

// closeIdleBefore closes the connections that have been idle since before a request that
// timed out. Whatever made its connection unresponsive may have affected them too, and
// each would cost a request its whole time.
func (c *targetClient) closeIdleBefore(before time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = slices.DeleteFunc(c.idle, func(conn *targetConn) bool {
		if conn.lastUsed >= before {
			return false
		}
		_ = conn.Close()
		return true
	})
}

// put keeps a connection for later requests.
func (c *targetClient) put(conn *targetConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.lastUsed = c.now()
	c.idle = append(c.idle, conn)
	c.scheduleCheck()
}

// openAndEmpty reports whether an idle connection is open and has no bytes to read. A
// second response to an earlier request would be taken for the response to the next one.
func openAndEmpty(conn net.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, syscall.EAGAIN)
}

// closedByPeer reports whether the other end has closed an idle connection.
func closedByPeer(conn net.Conn) bool {
	n, err := peek(conn)
	return n <= 0 && !errors.Is(err, syscall.EAGAIN)
}

// peek returns the number of bytes to read on a connection, up to 1, or the error of reading.
func peek(conn net.Conn) (n int, err error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "idle connection")
	}
	var received error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, received = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return 0, errors.Wrap(err, "idle connection")
	}
	return n, received
}

func (c *targetClient) roundTrip(conn *targetConn, request *targetRequest) (r *response, keep bool, err error) {
	target, err := requestURL(request.uri)
	if err != nil {
		return nil, false, err
	}
	req := &http.Request{
		Method: request.method, URL: target, Host: request.host, Header: request.header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: request.body.length(),
	}
	if req.ContentLength != 0 {
		req.Body = request.body
	}
	written := make(chan error, 1)
	if request.body.inline() {
		written <- writeRequest(conn, req)
	} else {
		go func() { written <- writeRequest(conn, req) }()
	}
	r, closes, err := c.read(conn, req, request.lease)
	if err != nil {
		return nil, false, err
	}
	select {
	case err := <-written:
		return r, err == nil && !closes, nil
	default:
		// The response arrived before the body was sent. The connection cannot be reused:
		// the rest of the body would be taken for the next request.
		return r, false, nil
	}
}

// requestURL returns a URL that net/http writes as the given URI of a request.
func requestURL(uri string) (*url.URL, error) {
	if !strings.HasPrefix(uri, "//") {
		return &url.URL{Opaque: uri}, nil
	}
	// An opaque URL would be written with an empty scheme before the slashes.
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return nil, errors.Wrap(err, "request URI")
	}
	if u.RequestURI() != uri {
		return nil, errors.Newf("request URI %q has characters that must be escaped", uri)
	}
	return u, nil
}

// bodyLength returns the declared length of a response's body, or -1.
func bodyLength(resp *http.Response) int64 {
	if resp.Request != nil && resp.Request.Method == http.MethodHead || resp.Body == http.NoBody {
		return 0
	}
	return resp.ContentLength
}

func writeRequest(conn *targetConn, req *http.Request) error {
	w := bufio.NewWriterSize(conn, targetBufferBytes)
	if err := req.Write(w); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(w.Flush(), "write request")
}

// read returns the response to the request and skips late responses to earlier requests.
//
// A connection is not kept after a refusal or a late response: a faulty target may repeat
// a refusal, which would then tell of the next request, even the same one, that it did not run.
func (c *targetClient) read(conn *targetConn, req *http.Request, lease *bounded.Lease) (r *response, closes bool, err error) {
	id := req.Header.Get(c.headers.RequestID)
	late := false
	for range maxStaleResponses + 1 {
		conn.limit.Limit(maxResponseHeaderBytes)
		resp, err := http.ReadResponse(conn.reader, req)
		if err != nil {
			return nil, false, errors.Wrap(err, "read answer")
		}
		if err := httpresponse.Check(resp); err != nil {
			return nil, false, err
		}
		if resp.StatusCode < http.StatusOK {
			_ = resp.Body.Close()
			continue
		}
		// The framing of a chunked body may take as much as the body itself.
		conn.limit.Limit(2*maxResponseBytes + maxResponseHeaderBytes)
		body, err := bounded.ReadAll(resp.Body, bodyLength(resp), maxResponseBytes, lease)
		if err != nil {
			return nil, false, errors.Wrap(err, "read answer")
		}
		_ = resp.Body.Close()
		if err := httpresponse.CheckFields(resp.Trailer); err != nil {
			return nil, false, err
		}
		unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		if unframed && resp.Body != http.NoBody {
			if err := conn.endedInOrder(); err != nil {
				return nil, false, errors.Wrap(err, "read answer without a length")
			}
		}
		refusal := resp.Header.Get(c.headers.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
		switch echoed := resp.Header.Get(c.headers.RequestID); {
		case echoed == id:
		case echoed == "" && refusal && !conn.reused && !late:
			// The first response on a connection cannot belong to another request.
		case echoed == "" || resp.Close:
			return nil, false, errors.New("answer without the id of the request")
		default:
			late = true
			continue
		}
		c.keepAlive(conn, resp.Header)
		return &response{status: resp.StatusCode, header: resp.Header, body: body}, resp.Close || unframed || refusal || late, nil
	}
	return nil, false, errors.New("only answers to other requests")
}

// keepAlive applies the idle timeout that the target sends.
func (c *targetClient) keepAlive(conn *targetConn, h http.Header) {
	limit := targetIdleTimeout
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil {
				limit = min(limit, time.Duration(seconds)*time.Second-keepAliveMargin)
			}
		}
	}
	conn.expires = c.now() + limit
}
