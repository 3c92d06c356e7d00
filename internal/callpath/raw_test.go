package callpath_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// rawTarget starts a target that handles raw TCP connections.
func rawTarget(t testing.TB, handle func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn)
			}()
		}
	}()
	return l.Addr().String()
}

// respondWith reads one request and writes data unchanged.
func respondWith(data string) func(net.Conn) {
	return func(conn net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, data)
	}
}

// countingListener counts the open connections of a target and the most at a time.
type countingListener struct {
	net.Listener
	open, most *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	open := l.open.Add(1)
	for most := l.most.Load(); open > most && !l.most.CompareAndSwap(most, open); most = l.most.Load() {
	}
	return &countedConn{Conn: conn, open: l.open}, nil
}

type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
