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

	"heathercroft.example/heathercroft/pkg/retry"
)

const (
	// targetDialTimeout bounds the connection to the target on the same machine. A
	// target that does not accept within it is down.
	targetDialTimeout = 400 * time.Millisecond
	// targetIdle is how long a connection to the target is kept without use unless
	// the target names a shorter time.
	targetIdle = 5 * time.Second
	// unsafeIdle is how long a connection may be idle to carry a request that must
	// not run twice. A target may have forgotten the connection without a word, and
	// a reset after the request was sent proves nothing.
	unsafeIdle = 200 * time.Millisecond
	// keepAliveMargin is left before the end that the target names, so that no
	// request meets a connection that it is about to close.
	keepAliveMargin = 500 * time.Millisecond
	// maxAnswerBytes bounds an answer, which is read whole before it is delivered,
	// so that one that breaks off is never passed on as complete.
	maxAnswerBytes = 32 << 20
	// maxStrayAnswers is how many answers to earlier requests are skipped on one
	// connection.
	maxStrayAnswers = 3
	// inlineBody is the size up to which a body is written before the answer is
	// read. It fits into the send buffer, so that an early answer cannot block.
	inlineBody = 16 << 10
)

// exchange is one request for the local target.
type exchange struct {
	method, host, uri string
	header            http.Header
	body              *payload
	// repeatable is set if the request may be sent again after a failure.
	repeatable bool
}

// reply is a whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// targetClient keeps HTTP/1.1 connections to the local target. One connection
// carries one exchange at a time.
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
	reader *bufio.Reader
	// expires is when the connection is no longer used.
	expires time.Duration
	// used is when the last exchange ended.
	used  time.Duration
	wrote bool
}

// Write implements io.Writer and notes that the target may have seen the request.
func (c *targetConn) Write(p []byte) (int, error) {
	c.wrote = true
	return c.Conn.Write(p)
}

// do sends one request and reads the whole answer. The outcome tells whether
// the target may have run it.
func (c *targetClient) do(ctx context.Context, e *exchange) (*reply, retry.Outcome, error) {
	conn, err := c.get(ctx, e.repeatable)
	if err != nil {
		return nil, retry.ConnectionRefused, err
	}
	began := c.now()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	r, keep, err := c.roundTrip(conn, e)
	if !stop() {
		keep = false
	}
	if keep {
		conn.used = c.now()
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
			c.dropIdle(began)
		}
		return nil, retry.TimedOut, errors.CombineErrors(ctx.Err(), err)
	default:
		return nil, retry.ResetAfterWrite, err
	}
}

// classify tells what a whole answer says about the execution.
func (c *targetClient) classify(r *reply) retry.Outcome {
	switch {
	case r.header.Get(c.headers.NotRun) != "", r.status == http.StatusMisdirectedRequest:
		return retry.RefusedByTarget
	case r.status >= 200 && r.status < 300 && r.header.Get(c.headers.Signature) == "":
		return retry.MayHaveRun
	default:
		return retry.ResponseReceived
	}
}

func (c *targetClient) get(ctx context.Context, repeatable bool) (*targetConn, error) {
	for {
		conn := c.pop()
		if conn == nil {
			break
		}
		idle := c.now() - conn.used
		if !repeatable && idle > unsafeIdle {
			// The others have been idle for longer: keep them for other requests.
			c.put(conn)
			break
		}
		if c.now() < conn.expires && conn.reader.Buffered() == 0 && quiet(conn.Conn) {
			conn.wrote = false
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
	return &targetConn{Conn: raw, reader: bufio.NewReaderSize(raw, 4<<10), expires: c.now() + targetIdle}, nil
}

// pop takes the connection that was used last: the others may then expire.
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

// dropIdle closes the connections that have been idle since before a request that got
// no answer at all: what made its connection go silent may have hit them too, and each
// would cost a request its whole time.
func (c *targetClient) dropIdle(before time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = slices.DeleteFunc(c.idle, func(conn *targetConn) bool {
		if conn.used >= before {
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

// quiet reports whether an idle connection is open and has no bytes to read. A
// second answer to an earlier request would be taken for the next one's.
func quiet(conn net.Conn) bool {
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

func (c *targetClient) roundTrip(conn *targetConn, e *exchange) (r *reply, keep bool, err error) {
	req := &http.Request{
		Method: e.method, URL: &url.URL{Opaque: e.uri}, Host: e.host, Header: e.header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: e.body.length(),
	}
	if req.ContentLength != 0 {
		req.Body = io.NopCloser(e.body.reader())
	}
	written := make(chan error, 1)
	if e.body.inline() {
		written <- writeRequest(conn, req)
	} else {
		go func() { written <- writeRequest(conn, req) }()
	}
	r, closes, err := c.read(conn, req)
	if err != nil {
		return nil, false, err
	}
	select {
	case err := <-written:
		return r, err == nil && !closes, nil
	default:
		// The answer came before the body was sent: the rest of the body must not
		// be taken for the next request.
		return r, false, nil
	}
}

func writeRequest(conn *targetConn, req *http.Request) error {
	w := bufio.NewWriterSize(conn, 4<<10)
	if err := req.Write(w); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(w.Flush(), "write request")
}

// read returns the answer to the request and skips late answers to earlier ones.
func (c *targetClient) read(conn *targetConn, req *http.Request) (r *reply, closes bool, err error) {
	id := req.Header.Get(c.headers.RequestID)
	for range maxStrayAnswers + 1 {
		resp, err := http.ReadResponse(conn.reader, req)
		if err != nil {
			return nil, false, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode < 200 {
			_ = resp.Body.Close()
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
		_ = resp.Body.Close()
		if err != nil {
			return nil, false, errors.Wrap(err, "read answer")
		}
		if len(body) > maxAnswerBytes {
			return nil, false, errors.Newf("answer is over %d bytes", maxAnswerBytes)
		}
		if echoed := resp.Header.Get(c.headers.RequestID); echoed != id {
			if resp.Close || echoed == "" && resp.Header.Get(c.headers.NotRun) == "" && resp.StatusCode != http.StatusMisdirectedRequest {
				return nil, false, errors.New("answer without the id of the request")
			}
			if echoed != "" {
				continue
			}
		}
		unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		c.keepAlive(conn, resp.Header)
		return &reply{status: resp.StatusCode, header: resp.Header, body: body}, resp.Close || unframed, nil
	}
	return nil, false, errors.New("only answers to other requests")
}

// keepAlive follows the idle time that the target names.
func (c *targetClient) keepAlive(conn *targetConn, h http.Header) {
	limit := targetIdle
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil {
				limit = min(limit, time.Duration(seconds)*time.Second-keepAliveMargin)
			}
		}
	}
	conn.expires = c.now() + limit
}

// payload is the body of a request. It is held in memory up to a limit, so that
// it can be sent again; what follows can be read once.
type payload struct {
	head []byte
	// rest follows head; nil if head is all.
	rest io.Reader
	size int64
	used bool
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

func (p *payload) inline() bool { return p == nil || p.rest == nil && len(p.head) <= inlineBody }

// repeatable reports whether the body can be sent from its start.
func (p *payload) repeatable() bool { return p == nil || p.rest == nil || !p.used }

func (p *payload) reader() io.Reader {
	if p == nil {
		return http.NoBody
	}
	if p.rest == nil {
		return bytes.NewReader(p.head)
	}
	p.used = true
	return io.MultiReader(bytes.NewReader(p.head), p.rest)
}
