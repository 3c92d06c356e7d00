package rpc

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// clientIdleTimeout closes connections that a node no longer uses. Probes rotate
	// through the members of the zone, so a connection that stayed open would hold
	// memory for one use every few minutes.
	clientIdleTimeout = 30 * time.Second
	dialTimeout       = time.Second
)

// ErrUnreachable reports a peer that could not be called or did not respond in time.
var ErrUnreachable = errors.New("peer unreachable")

// ErrRemote reports an error returned by the peer's handler.
var ErrRemote = errors.New("peer returned an error")

// Client calls peers over persistent connections, one for each address.
type Client struct {
	counters *Counters
	dialer   net.Dialer

	mu    sync.Mutex
	conns map[netip.AddrPort]*jsonrpc2.Conn
}

// NewClient returns a client that dials from the address local. If local is the zero
// Addr, the operating system chooses the source address.
func NewClient(counters *Counters, local netip.Addr) *Client {
	c := &Client{counters: counters, conns: map[netip.AddrPort]*jsonrpc2.Conn{}}
	c.dialer.Timeout = dialTimeout
	if local.IsValid() {
		c.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return c
}

// Call sends a request and decodes the response into result. It returns
// ErrUnreachable if ctx ends first. The connection is then closed, since it may be
// unresponsive while a new connection would work.
func (c *Client) Call(ctx context.Context, peer netip.AddrPort, method string, params, result any) error {
	conn, err := c.conn(ctx, peer)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return errors.Wrapf(ErrRemote, "%s: %s", method, remote.Message)
	}
	c.drop(peer, conn)
	return errors.Wrapf(ErrUnreachable, "%s at %s: %v", method, peer, err)
}

func (c *Client) conn(ctx context.Context, peer netip.AddrPort) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn, ok := c.conns[peer]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		// The cause stays visible: a refused connection shows that the process is gone.
		return nil, errors.Mark(errors.Wrap(err, "peer unreachable"), ErrUnreachable)
	}
	metered := &meteredConn{Conn: raw, counters: c.counters, idleTimeout: clientIdleTimeout}
	conn = newConn(context.WithoutCancel(ctx), metered, c.counters, requestDiscarder{})
	return c.storeConn(peer, conn), nil
}

// storeConn stores a new connection and returns it. If another call has stored one
// first, it closes the new connection and returns the stored one.
func (c *Client) storeConn(peer netip.AddrPort, conn *jsonrpc2.Conn) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[peer]; ok {
		_ = conn.Close()
		return other
	}
	c.conns[peer] = conn
	go func() {
		<-conn.DisconnectNotify()
		c.drop(peer, conn)
	}()
	return conn
}

func (c *Client) drop(peer netip.AddrPort, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[peer] == conn {
		delete(c.conns, peer)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = map[netip.AddrPort]*jsonrpc2.Conn{}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// requestDiscarder ignores requests that a peer sends over an outgoing connection.
type requestDiscarder struct{}

// Handle implements jsonrpc2.Handler.
func (requestDiscarder) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
