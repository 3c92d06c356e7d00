package callpath

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errUnsolicitedResponse reports bytes from the target that belong to no request,
// such as a response that was sent twice. They must not be taken for the response
// to the next request.
var errUnsolicitedResponse = errors.New("target sent bytes without a request")

// readyTimeout is how long a connection may take to become ready for its next
// request. It is ready within microseconds unless unsolicited bytes are buffered.
const readyTimeout = 10 * time.Millisecond

// watchedConn is a connection to the local target. It records whether bytes of the
// current request were written, times out when no bytes are transferred, and
// rejects bytes that arrive before a request was written.
type watchedConn struct {
	net.Conn
	// stallTimeout is how long no bytes may be transferred, in nanoseconds.
	stallTimeout atomic.Int64
	// wrote is set before the first byte of the current request is written.
	wrote atomic.Bool
	// reading is set while a read waits for bytes; the HTTP client then has no
	// buffered bytes.
	reading atomic.Bool
	closed  atomic.Bool
	// stateChanged gets a token when reading or closed is set.
	stateChanged chan struct{}
	// onLost is called once if the connection is closed during a request.
	onLost atomic.Pointer[func()]
}

func newWatchedConn(conn net.Conn, timeout time.Duration) *watchedConn {
	c := &watchedConn{Conn: conn, stateChanged: make(chan struct{}, 1)}
	c.stallTimeout.Store(int64(timeout))
	return c
}

// resetTimeout sets the stall timeout and clears the state of the previous
// request.
func (c *watchedConn) resetTimeout(timeout time.Duration) {
	c.wrote.Store(false)
	c.onLost.Store(nil)
	c.stallTimeout.Store(int64(timeout))
	_ = c.SetReadDeadline(time.Now().Add(timeout))
}

// waitReady waits until the HTTP client has consumed all bytes and waits for more.
// It returns false if that does not happen in time: an unsolicited response may
// then be buffered, which would be taken for the response to the next request.
func (c *watchedConn) waitReady() bool {
	if c.reading.Load() {
		return true
	}
	timer := time.NewTimer(readyTimeout)
	defer timer.Stop()
	for {
		select {
		case <-c.stateChanged:
			if c.closed.Load() || c.reading.Load() {
				return !c.closed.Load()
			}
		case <-timer.C:
			return c.reading.Load()
		}
	}
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(time.Duration(c.stallTimeout.Load())))
	c.reading.Store(true)
	c.signal()
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	if n > 0 && !c.wrote.Load() {
		return 0, errUnsolicitedResponse
	}
	return n, err
}

// Write implements net.Conn. Progress in writing also extends the read deadline.
func (c *watchedConn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	_ = c.SetDeadline(time.Now().Add(time.Duration(c.stallTimeout.Load())))
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.closed.Store(true)
	c.signal()
	err := c.Conn.Close()
	if lost := c.onLost.Swap(nil); lost != nil {
		(*lost)()
	}
	return err
}

func (c *watchedConn) signal() {
	select {
	case c.stateChanged <- struct{}{}:
	default:
	}
}
