// Package rpc transports messages between nodes: JSON-RPC 2.0 over TCP with message
// size limits, timeouts and byte counters at the socket.
package rpc

import (
	"net"
	"sync/atomic"
	"time"
)

// writeTimeout limits one write to a peer. Without it, an unresponsive connection
// with a full send buffer would block its writer forever.
const writeTimeout = 2 * time.Second

// Counters counts the control traffic of a node at its sockets, in bytes.
type Counters struct {
	Read, Written atomic.Int64
	// Malformed counts messages that could not be decoded.
	Malformed atomic.Int64
	// Refused counts connections that were closed on accept, because the server had reached
	// its connection limit or had stopped, and failed accepts.
	Refused atomic.Int64
	// Panics counts calls whose handler panicked.
	Panics atomic.Int64
}

// meteredConn counts bytes and sets a deadline for each write. A read fails if no
// data arrives within idleTimeout, which ends the connection.
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
