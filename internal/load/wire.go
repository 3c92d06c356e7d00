package load

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// meteredConn counts the bytes written to a connection.
type meteredConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn. It counts before it writes: what may have left counts.
func (c *meteredConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// dialMetered is for http.Transport.DialContext.
func dialMetered(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn}, nil
}

// wire tells whether a byte of a request may have left. An idle connection that its
// server closed fails like one that broke in the middle, but the request on it is
// known not to have run. On a connection shared by HTTP/2, bytes of other requests
// count too.
type wire struct {
	conn   atomic.Pointer[meteredConn]
	before atomic.Int64
}

// trace returns a context whose request is watched.
func (w *wire) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*meteredConn); ok {
				w.before.Store(conn.written.Load())
				w.conn.Store(conn)
			}
		},
	})
}

func (w *wire) mayHaveSent() bool {
	conn := w.conn.Load()
	return conn != nil && conn.written.Load() > w.before.Load()
}
