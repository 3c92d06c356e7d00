package callpath

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errUnsolicitedResponse reports bytes from the target that answer no request, such as
// an answer that was sent twice. They must not meet the next request.
var errUnsolicitedResponse = errors.New("target sent bytes without a request")

// readyTimeout is how long a connection may take to become ready for its next
// request. It is ready within microseconds unless stray bytes are buffered.
const readyTimeout = 10 * time.Millisecond

// watchedConn is a connection to the local target. It knows whether bytes of
// the present request were written, closes itself when nothing moves for a
// limit, and refuses bytes that no request asked for.
type watchedConn struct {
	net.Conn
	// stallTimeout is the silence allowed at present, in nanoseconds.
	stallTimeout atomic.Int64
	// wrote is set before the first byte of the present request is written.
	wrote atomic.Bool
	// reading is set while a read waits for bytes, so nothing is buffered above.
	reading atomic.Bool
	closed  atomic.Bool
	// stateChanged gets a token when reading or closed is set.
	stateChanged chan struct{}
	// onLost is called once if the connection is closed during a request.
	onLost atomic.Pointer[func()]
}

func watch(conn net.Conn, silence time.Duration) *watchedConn {
	c := &watchedConn{Conn: conn, stateChanged: make(chan struct{}, 1)}
	c.stallTimeout.Store(int64(silence))
	return c
}

// resetTimeout sets how long nothing may move, and forgets the previous request.
func (c *watchedConn) resetTimeout(silence time.Duration) {
	c.wrote.Store(false)
	c.onLost.Store(nil)
	c.stallTimeout.Store(int64(silence))
	_ = c.SetReadDeadline(time.Now().Add(silence))
}

// waitReady waits until the client above has consumed all bytes and waits for
// more. It returns false if that does not happen, since then a stray answer may
// be buffered that would be taken for the answer to the next request.
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

// Write implements net.Conn. Progress in writing also extends the time for reading.
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
