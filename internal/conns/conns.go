// Package conns tracks the connections of the servers of a process, so that a process that
// stops knows which of them still carry a request or a response, and closes them without losing
// it.
//
// A handler returns before its response is received: the last bytes are in the buffers of
// net/http and of the kernel. The kernel discards them and resets the connection when bytes of
// the peer were not read at the close or arrive after it. A connection is therefore first closed
// for writing and read until the peer closes it.
package conns

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Tracker tracks the connections of one listener. It is safe for concurrent use.
type Tracker struct {
	mu   sync.Mutex
	open map[endpoints]*conn
	// listener is the listener of the connections. stopping is set when it is closed, and
	// stopEnd is the time until which connections are then kept for their peers.
	listener net.Listener
	stopping bool
	stopEnd  time.Time
	// unsent and unread count the connections that were closed with such bytes. Those with unsent
	// bytes that were closed at the end of the stop are counted by cut, with cutBytes: their
	// responses end with the process.
	unsent, unread int
	cut, cutBytes  int
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
	// and that the peer has not acknowledged, also of those counted above, and of those that were
	// closed at the end of a stop.
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
	s := Summary{Unacknowledged: t.cut, UnacknowledgedBytes: t.cutBytes, ClosedUnacknowledged: t.unsent, ClosedUnread: t.unread}
	t.mu.Unlock()
	for _, c := range t.list() {
		c.addTo(&s)
	}
	return s
}

func (t *Tracker) list() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := make([]*conn, 0, len(t.open))
	for _, c := range t.open {
		open = append(open, c)
	}
	return open
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
	once    sync.Once
	closed  chan struct{}
}

// Listen returns a listener whose connections are tracked. It is called once.
func (t *Tracker) Listen(l net.Listener) net.Listener {
	t.listener = l
	return &listener{Listener: l, tracker: t, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		if l.tracker.isStopping() {
			// The server counts as running until the requests that it has read are answered.
			<-l.closed
		}
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	c := &conn{TCPConn: tcp, tracker: l.tracker, id: endpointsOf(tcp), lastReceived: time.Now()}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.open[c.id] = c
	return c, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	err := l.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "close listener")
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
	// were. lastReceived is when they were, at first when the connection was accepted.
	received, begun bool
	lastReceived    time.Time
	http2, hijacked bool
	state           http.ConnState
	// ended is set when the peer has closed its side or the connection was reset.
	ended bool
	// closed is set when this process uses the connection no more. It is then read until the
	// peer closes it.
	closed   bool
	closedAt time.Time

	// readMu is held during a read.
	readMu sync.Mutex

	releaseMu sync.Mutex
	released  bool
	onRelease func()
}

// OnRelease sets a function that is called once the descriptor of the connection is closed, which
// is after Close while the peer has not received everything.
func (c *conn) OnRelease(f func()) {
	c.releaseMu.Lock()
	c.onRelease = f
	released := c.released
	c.releaseMu.Unlock()
	if released {
		f()
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.http2 = c.http2 || !c.begun && n >= len(http2Preface) && string(p[:len(http2Preface)]) == http2Preface
		c.received, c.begun, c.lastReceived = true, true, time.Now()
	}
	c.ended = c.ended || err != nil && !isTimeout(err)
	return n, err
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(end time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(end)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(end time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.TCPConn.SetDeadline(end)
}

// Close implements net.Conn. It closes the connection for writing and returns at once; the
// connection is closed when the peer has closed it, too, or a limit is reached.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed, c.closedAt = true, time.Now()
	if unsent, _ := c.queued(); c.ended && unsent == 0 || c.CloseWrite() != nil {
		return c.release()
	}
	// This ends a read in progress.
	if err := c.TCPConn.SetReadDeadline(c.closedAt); err != nil {
		return c.release()
	}
	go c.linger()
	return nil
}

const (
	// lingerTimeout is how long a closed connection is read for a peer that has acknowledged
	// everything, and unsentTimeout for one that has not. Both apply while the process does not
	// stop.
	lingerTimeout = 500 * time.Millisecond
	unsentTimeout = 5 * time.Second
	// peerCloseTime is how long a process that stops waits for a peer that has acknowledged
	// everything to close its side.
	peerCloseTime = 250 * time.Millisecond
	// lingerPollInterval is the time between two checks of a closed connection.
	lingerPollInterval = 10 * time.Millisecond
	// lingerBufferBytes is the size of the buffer for bytes that are discarded.
	lingerBufferBytes = 4 << 10
)

// linger reads and discards what the peer sends until it closes the connection.
func (c *conn) linger() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	discarded := make([]byte, lingerBufferBytes)
	for {
		unsent, _ := c.queued()
		now := time.Now()
		if c.ended && unsent == 0 || !now.Before(c.lingerEnd(unsent)) {
			break
		}
		if c.ended {
			time.Sleep(lingerPollInterval)
			continue
		}
		if c.TCPConn.SetReadDeadline(now.Add(lingerPollInterval)) != nil {
			break
		}
		_, err := c.TCPConn.Read(discarded)
		if err == nil || isTimeout(err) {
			continue
		}
		if !errors.Is(err, io.EOF) {
			// The connection was reset.
			break
		}
		c.mu.Lock()
		c.ended = true
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The peer cannot be told of an error.
	_ = c.release()
}

// lingerEnd returns until when a closed connection is kept.
func (c *conn) lingerEnd(unsent int) time.Time {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	switch {
	case c.tracker.stopping && unsent > 0:
		return c.tracker.stopEnd
	case c.tracker.stopping:
		return c.closedAt.Add(peerCloseTime)
	case unsent > 0:
		return c.closedAt.Add(unsentTimeout)
	default:
		return c.closedAt.Add(lingerTimeout)
	}
}

// release closes the connection to both sides. mu must be held.
func (c *conn) release() error {
	unsent, unread := c.queued()
	t := c.tracker
	t.mu.Lock()
	if t.open[c.id] == c {
		delete(t.open, c.id)
	}
	switch {
	case unsent > 0 && t.stopping:
		t.cut++
		t.cutBytes += unsent
	case unsent > 0:
		t.unsent++
	}
	if unread > 0 {
		t.unread++
	}
	t.mu.Unlock()
	err := c.TCPConn.Close()
	c.releaseMu.Lock()
	c.released = true
	f := c.onRelease
	c.releaseMu.Unlock()
	if f != nil {
		f()
	}
	return errors.Wrap(err, "close connection")
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
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unsent = n
		}
		if unsent == 0 {
			return
		}
		// A connection that was reset keeps its count.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO); err == nil && info.State == unix.BPF_TCP_CLOSE {
			unsent = 0
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
