package callpath

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxResponseHeaderBytes limits the header size of a response.
const maxResponseHeaderBytes = 64 << 10

// pool holds the HTTP/1.1 connections to the local target. A connection carries
// one exchange at a time. The number of connections is bounded by the slots: each
// exchange reuses an idle one before it opens another.
type pool struct {
	transport    *http.Transport
	stallTimeout time.Duration
	idleTimeout  time.Duration
	dialTimeout  time.Duration

	mu   sync.Mutex
	addr string
	idle []*targetConn
}

type targetConn struct {
	addr   string
	client *http.ClientConn
	raw    *watchedConn
	reused bool
}

type dialKey struct{}

func newPool(s Settings) *pool {
	p := &pool{stallTimeout: s.TargetStallTimeout, idleTimeout: s.TargetIdleTimeout, dialTimeout: s.DialTimeout}
	dialer := net.Dialer{Timeout: s.DialTimeout}
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ExpectContinueTimeout:  time.Second,
		WriteBufferSize:        16 << 10,
		ReadBufferSize:         16 << 10,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			watched := newWatchedConn(conn, s.TargetStallTimeout)
			if out, ok := ctx.Value(dialKey{}).(**watchedConn); ok {
				*out = watched
			}
			return watched, nil
		},
	}
	return p
}

// get returns a connection that is reserved for one exchange.
func (p *pool) get(ctx context.Context, addr string, fresh bool) (*targetConn, error) {
	for !fresh {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if c.raw.waitReady() && c.client.Reserve() == nil {
			c.reused = true
			c.raw.resetTimeout(p.stallTimeout)
			return c, nil
		}
		_ = c.client.Close()
	}
	var raw *watchedConn
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, dialKey{}, &raw), p.dialTimeout)
	defer cancel()
	client, err := p.transport.NewClientConn(ctx, "http", addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect to target")
	}
	if err := client.Reserve(); err != nil {
		_ = client.Close()
		return nil, errors.Wrap(err, "reserve connection to target")
	}
	raw.resetTimeout(p.stallTimeout)
	return &targetConn{addr: addr, client: client, raw: raw}, nil
}

// pop takes the most recently used connection, so that the others can expire.
func (p *pool) pop(addr string) *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addr != addr {
		p.closeIdle()
		p.addr = addr
	}
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// put returns a connection after an exchange. If ok is false, the exchange did not
// end cleanly and the connection is closed.
func (p *pool) put(c *targetConn, ok bool) {
	c.raw.resetTimeout(p.idleTimeout)
	if !ok || c.client.Err() != nil {
		_ = c.client.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addr != c.addr {
		_ = c.client.Close()
		return
	}
	p.dropBroken()
	p.idle = append(p.idle, c)
}

func (p *pool) dropBroken() {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.client.Err() == nil {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
	p.addr = ""
}

func (p *pool) closeIdle() {
	for _, c := range p.idle {
		_ = c.client.Close()
	}
	p.idle = nil
}
