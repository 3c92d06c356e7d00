package logclient

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Traffic counts the bytes of all connections of a client, headers included.
type Traffic struct {
	// In counts bytes received.
	In atomic.Uint64
	// Out counts bytes sent.
	Out atomic.Uint64
}

// countingConn adds the bytes read and written on a connection to a Traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(uint64(n))
	return n, err
}

// withTraffic returns a copy of the client that counts the bytes of its connections. A
// transport that is not an *http.Transport is used unchanged and not counted.
func withTraffic(client *http.Client, traffic *Traffic) *http.Client {
	counted := *client
	if client.Transport == nil {
		counted.Transport = http.DefaultTransport
	}
	base, ok := counted.Transport.(*http.Transport)
	if !ok {
		return &counted
	}
	transport := base.Clone()
	dial := transport.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, traffic}, nil
	}
	counted.Transport = transport
	return &counted
}
