package sidecar

import (
	"bufio"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/bounded"
)

// targetConn is a connection to the local target.
type targetConn struct {
	net.Conn
	// limit bounds what reader takes from the connection for one head or body.
	limit  *bounded.Reader
	reader *bufio.Reader
	// expires is when the connection must no longer be used.
	expires time.Duration
	// lastUsed is when the last request on the connection ended.
	lastUsed time.Duration
	// wrote is set before the first byte of a request is written, which may happen while the
	// response is read.
	wrote atomic.Bool
	// reused is set if the connection carried an earlier request.
	reused bool

	// writeMu is held during a write.
	writeMu sync.Mutex
	// lost is the error of the first write that found the connection broken.
	lost error
}

// Write implements io.Writer. It records that the target may have received the request, and the
// error if the connection is broken.
func (c *targetConn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
	return n, err
}

// isLoss reports whether the error of a write means that the connection broke while the target
// was still sending. After the target has ended its direction in order, a reset is reported as EPIPE.
func isLoss(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// endedInOrder returns an error if the connection was lost although the last read returned io.EOF.
// The kernel reports a lost connection once, to a read or to a write. If it was a write, later reads
// return io.EOF, as after an orderly end. No further request can be written on the connection.
func (c *targetConn) endedInOrder() error {
	// A write in progress ends now, so that its error is known.
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return errors.Wrap(err, "end writes")
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return errors.Wrap(c.lost, "write request")
}
