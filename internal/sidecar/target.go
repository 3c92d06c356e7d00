package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/bounded"
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
	body              *payload
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

	mu     sync.Mutex
	idle   []*targetConn
	opened int64
}

type targetConn struct {
	net.Conn
	// limit bounds what reader takes from the connection for one head or body.
	limit  *bounded.Reader
	reader *bufio.Reader
	// expires is when the connection must no longer be used.
	expires time.Duration
	// lastUsed is when the last request on the connection ended.
	lastUsed time.Duration
	wrote    bool
	// reused is set if the connection carried an earlier request.
	reused bool
}

// Write implements io.Writer and records that the target may have received the request.
func (c *targetConn) Write(p []byte) (int, error) {
	c.wrote = true
	return c.Conn.Write(p)
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
		conn.lastUsed = c.now()
		c.put(conn)
	} else {
		_ = conn.Close()
	}
	switch {
	case err == nil:
		return r, c.classify(r), nil
	case !conn.wrote:
		return nil, retry.ResetBeforeWrite, err
	case ctx.Err() != nil:
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.closeIdleBefore(began)
		}
		return nil, retry.TimedOut, errors.CombineErrors(ctx.Err(), err)
	default:
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

func (c *targetClient) get(ctx context.Context, retryable bool) (*targetConn, error) {
	for {
		conn := c.pop()
		if conn == nil {
			break
		}
		idle := c.now() - conn.lastUsed
		if !retryable && idle > maxIdleNonRetryable {
			// The other connections have been idle for longer. Keep them for retryable
			// requests.
			c.put(conn)
			break
		}
		if c.now() < conn.expires && conn.reader.Buffered() == 0 && openAndEmpty(conn.Conn) {
			conn.wrote, conn.reused = false, true
			return conn, nil
		}
		_ = conn.Close()
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

// pop takes the most recently used connection, so that the others can expire.
func (c *targetClient) pop() *targetConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	last := len(c.idle) - 1
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn
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

func (c *targetClient) put(conn *targetConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// openAndEmpty reports whether an idle connection is open and has no bytes to read. A
// second response to an earlier request would be taken for the response to the next one.
func openAndEmpty(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
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
		req.Body = io.NopCloser(request.body.reader())
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
		if resp.StatusCode < 200 {
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
		unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
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

// payload is a request body. It is buffered in memory up to a limit, so that it can be
// sent again; the rest can be read only once.
type payload struct {
	head []byte
	// rest follows head; it is nil if head is the whole body.
	rest     io.Reader
	size     int64
	consumed bool
}

func (p *payload) length() int64 {
	if p == nil {
		return 0
	}
	if p.rest == nil {
		return int64(len(p.head))
	}
	return p.size
}

func (p *payload) inline() bool { return p == nil || p.rest == nil && len(p.head) <= maxInlineBody }

// rewindable reports whether the body can be sent from its start.
func (p *payload) rewindable() bool { return p == nil || p.rest == nil || !p.consumed }

func (p *payload) reader() io.Reader {
	if p == nil {
		return http.NoBody
	}
	if p.rest == nil {
		return bytes.NewReader(p.head)
	}
	p.consumed = true
	return io.MultiReader(bytes.NewReader(p.head), p.rest)
}
