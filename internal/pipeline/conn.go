package pipeline

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// listener wraps its connections, so that a handler learns of requests that arrive while
// it runs.
type listener struct{ net.Listener }

// Listen returns a listener whose connections the Handler can take over.
func Listen(l net.Listener) net.Listener { return listener{l} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, ahead: make(chan struct{}, 1)}, nil
}

// conn returns the bytes up to the end of a request head in one call of Read, and those
// behind it in the next one. net/http reads from the connection while a handler runs, to
// notice that the client closes it; bytes that this read returns belong to the next
// request.
type conn struct {
	net.Conn
	ahead chan struct{}

	mu sync.Mutex
	// pending holds bytes that were received, but not returned by Read.
	pending []byte
	// matched is the length of the part of headEnd at the end of the returned bytes.
	matched int
	// sinceHead is set when bytes were returned after the last end of a head.
	sinceHead bool
}

// Read implements net.Conn. net/http and the session never read concurrently.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if n := copy(p, c.pending); n > 0 {
		defer c.mu.Unlock()
		n = c.deliver(p[:n])
		c.pending = c.pending[n:]
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		k := c.deliver(p[:n])
		c.pending = append(c.pending[:0], p[k:n]...)
		n = k
	}
	return n, err
}

// deliver returns how many of the bytes Read returns now. mu must be held.
func (c *conn) deliver(p []byte) int {
	n, ended := c.findHeadEnd(p)
	if ended {
		c.sinceHead = false
		return n
	}
	c.sinceHead = true
	select {
	case c.ahead <- struct{}{}:
	default:
	}
	return n
}

// findHeadEnd returns the position after the first end of a head, or the length of p.
func (c *conn) findHeadEnd(p []byte) (n int, ended bool) {
	for i, b := range p {
		switch b {
		case headEnd[c.matched]:
			c.matched++
		case headEnd[0]:
			c.matched = 1
		default:
			c.matched = 0
		}
		if c.matched == len(headEnd) {
			c.matched = 0
			return i + 1, true
		}
	}
	return len(p), false
}

// arrivals returns a channel that receives a value when bytes behind the current request
// arrive. It must be called while the request runs.
func (c *conn) arrivals() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sinceHead {
		// The value, if there is one, is from the head of the current request.
		select {
		case <-c.ahead:
		default:
		}
	}
	return c.ahead
}

// CloseWrite implements the interface with which net/http closes a connection without
// resetting it.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.Wrap(w.CloseWrite(), "close for writing")
	}
	return nil
}
