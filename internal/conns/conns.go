// Package conns tracks the connections of the servers of a process, so that a process that
// stops knows which of them still carry a request or a response.
package conns

import (
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Tracker tracks the connections of one listener. It is safe for concurrent use.
type Tracker struct {
	mu   sync.Mutex
	open map[endpoints]*conn
	// unsent and unread count the connections that were closed with such bytes.
	unsent, unread int
}

// endpoints identify an open connection. The connection itself does not: net/http knows it
// by the wrappers of other listeners.
type endpoints struct{ local, remote netip.AddrPort }

// New returns a tracker without connections.
func New() *Tracker { return &Tracker{open: map[endpoints]*conn{}} }

// Summary counts the open connections of a listener by what they carry.
type Summary struct {
	// Idle connections carry nothing.
	Idle int `json:"idle"`
	// Requests is the number of HTTP/1 connections with a request that has no complete
	// response, Pipelined that of those that were taken over from net/http, and Streams that of
	// HTTP/2 connections with open streams.
	Requests  int `json:"requests"`
	Pipelined int `json:"pipelined"`
	Streams   int `json:"streams"`
	// Unacknowledged is the number of connections with UnacknowledgedBytes that were written
	// and that the peer has not acknowledged, also of those counted above.
	Unacknowledged      int `json:"unacknowledged"`
	UnacknowledgedBytes int `json:"unacknowledged_bytes"`
	// Unread is the number of connections with bytes that were received and not read. Closing
	// such a connection resets it.
	Unread int `json:"unread"`
	// ClosedUnacknowledged and ClosedUnread count the connections that this process has closed
	// with such bytes.
	ClosedUnacknowledged int `json:"closed_unacknowledged"`
	ClosedUnread         int `json:"closed_unread"`
}

// Carries reports whether the end of the process may lose a request or a response.
func (s Summary) Carries() bool {
	return s.Requests+s.Pipelined+s.Streams+s.Unacknowledged+s.Unread > 0
}

// Summary returns what the open connections carry now.
func (t *Tracker) Summary() Summary {
	t.mu.Lock()
	open := make([]*conn, 0, len(t.open))
	for _, c := range t.open {
		open = append(open, c)
	}
	s := Summary{ClosedUnacknowledged: t.unsent, ClosedUnread: t.unread}
	t.mu.Unlock()
	for _, c := range open {
		c.addTo(&s)
	}
	return s
}

// SetState records the state of a connection. It is the ConnState hook of an http.Server, and
// is called for connections that were taken over from it, too.
func (t *Tracker) SetState(nc net.Conn, state http.ConnState) {
	t.mu.Lock()
	c := t.open[endpointsOf(nc)]
	t.mu.Unlock()
	if c != nil {
		c.setState(state)
	}
}

func endpointsOf(c net.Conn) endpoints {
	local, ok := c.LocalAddr().(*net.TCPAddr)
	remote, ok2 := c.RemoteAddr().(*net.TCPAddr)
	if !ok || !ok2 {
		return endpoints{}
	}
	return endpoints{local.AddrPort(), remote.AddrPort()}
}

// listener wraps its connections.
type listener struct {
	net.Listener
	tracker *Tracker
}

// Listen returns a listener whose connections are tracked.
func (t *Tracker) Listen(l net.Listener) net.Listener { return listener{l, t} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	c := &conn{TCPConn: tcp, tracker: l.tracker, id: endpointsOf(tcp)}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.open[c.id] = c
	return c, nil
}

// http2Preface begins each HTTP/2 connection. No HTTP/1 request begins with it.
const http2Preface = "PRI"

// conn is a tracked connection.
type conn struct {
	*net.TCPConn
	tracker *Tracker
	id      endpoints

	mu sync.Mutex
	// received is set when bytes were received since the last change of state, begun when any
	// were.
	received, begun bool
	http2, hijacked bool
	state           http.ConnState
	closed          bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.http2 = c.http2 || !c.begun && n >= len(http2Preface) && string(p[:len(http2Preface)]) == http2Preface
		c.received, c.begun = true, true
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	unsent, unread := c.queued()
	t := c.tracker
	t.mu.Lock()
	if t.open[c.id] == c {
		delete(t.open, c.id)
	}
	if unsent > 0 {
		t.unsent++
	}
	if unread > 0 {
		t.unread++
	}
	t.mu.Unlock()
	return errors.Wrap(c.TCPConn.Close(), "close connection")
}

func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateHijacked {
		c.hijacked, state = true, http.StateActive
	}
	c.state, c.received = state, false
}

// queued returns the number of bytes that were written and that the peer has not acknowledged,
// and of those that were received and not read. Both are 0 after an error: the connection is
// closed or was reset, so that nothing can be sent on it.
func (c *conn) queued() (unsent, unread int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, 0
	}
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unsent = n
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	if err != nil {
		return 0, 0
	}
	return unsent, unread
}

// addTo adds the connection to a summary.
func (c *conn) addTo(s *Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unsent, unread := c.queued()
	switch {
	case c.state != http.StateActive:
		if unsent == 0 && unread == 0 {
			s.Idle++
		}
	case c.http2:
		s.Streams++
	case c.hijacked:
		s.Pipelined++
	default:
		s.Requests++
	}
	if unsent > 0 {
		s.Unacknowledged++
		s.UnacknowledgedBytes += unsent
	}
	if unread > 0 {
		s.Unread++
	}
}
