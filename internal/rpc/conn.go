// Package rpc carries the messages between nodes: jsonrpc2 over TCP with size
// limits, bounded waits and byte counters at the socket.
package rpc

import (
	"net"
	"sync/atomic"
	"time"
)

// writeTimeout bounds one write to a peer. Without it a connection that went
// silent with a full send buffer would hold its writer for ever.
const writeTimeout = 2 * time.Second

// Counters counts the control bytes of a node at its sockets.
type Counters struct {
	Read, Written atomic.Int64
	// Malformed counts messages that could not be decoded.
	Malformed atomic.Int64
	// Refused counts connections over the limit.
	Refused atomic.Int64
}

// meteredConn counts bytes, bounds each write and ends a connection that
// received nothing for idleTimeout.
type meteredConn struct {
	net.Conn
	counters    *Counters
	idleTimeout time.Duration
}

func (c *meteredConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.counters.Read.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.counters.Written.Add(int64(n))
	return n, err
}
