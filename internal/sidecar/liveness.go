package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"heathercroft.example/heathercroft/pkg/balance"
)

const (
	// alivePath is where a node answers that a connection still works.
	alivePath = "/heathercroft/v1/alive"
	// silentAfter is how long a connection with requests in flight may receive nothing
	// before it is probed. Idle connections are not probed: with a ping for each
	// connection every 0.4 s, pings were most of the work of 76 nodes.
	silentAfter = 250 * time.Millisecond
	// probeTimeout bounds the answer on links that are not slow. Calls between targets
	// have as little as 600 ms. Beyond it a node counts as silent for its zone.
	probeTimeout = 300 * time.Millisecond
	// slowProbeTimeout is for links of up to slowLinkMbps. Uploads of many callers queue
	// there for over a second, and a connection that is closed meanwhile cuts requests
	// that are on their way (a request of a planned stop was lost to 0.76 s).
	slowProbeTimeout = 1800 * time.Millisecond
	slowLinkMbps     = 100
)

// liveness finds connections to other nodes that went silent: something between
// the ends lost track of them, so that nothing resets them while new ones work.
type liveness struct {
	now func() time.Duration

	mu    sync.Mutex
	conns map[string]map[*watchedConn]bool
	// probing holds the addresses with a probe under way.
	probing map[string]bool
}

func newLiveness(now func() time.Duration) *liveness {
	return &liveness{now: now, conns: map[string]map[*watchedConn]bool{}, probing: map[string]bool{}}
}

// watchedConn notes when bytes came last.
type watchedConn struct {
	net.Conn
	owner   *liveness
	address string
	read    atomic.Int64
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read.Store(int64(c.owner.now()))
	}
	return n, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.owner.mu.Lock()
	if set := c.owner.conns[c.address]; set != nil {
		delete(set, c)
		if len(set) == 0 {
			delete(c.owner.conns, c.address)
		}
	}
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// dialWith returns a dial function whose connections are watched.
func (l *liveness) dialWith(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &watchedConn{Conn: raw, owner: l, address: address}
		c.read.Store(int64(l.now()))
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.conns[address] == nil {
			l.conns[address] = map[*watchedConn]bool{}
		}
		l.conns[address][c] = true
		return c, nil
	}
}

// silent returns the connections to the address that received nothing since a time.
func (l *liveness) silent(address string, since time.Duration) []*watchedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*watchedConn
	for c := range l.conns[address] {
		if c.read.Load() < int64(since) {
			out = append(out, c)
		}
	}
	return out
}

// begin reports whether the caller may probe the address: one probe at a time.
func (l *liveness) begin(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probing[address] {
		return false
	}
	l.probing[address] = true
	return true
}

func (l *liveness) end(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.probing, address)
}

// watch looks after the connection to a node while a request is in flight there.
// The function that it returns ends that.
func (n *Node) watch(e balance.Endpoint, address string) (stop func()) {
	var mu sync.Mutex
	ended := false
	var timer *time.Timer
	check := func() {
		n.checkAlive(e, address)
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			timer.Reset(silentAfter)
		}
	}
	mu.Lock()
	timer = time.AfterFunc(silentAfter, check)
	mu.Unlock()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		ended = true
		timer.Stop()
	}
}

// checkAlive probes the connections to a node that received nothing for a while,
// and closes those that stay silent: their requests then fail at once.
func (n *Node) checkAlive(e balance.Endpoint, address string) {
	asked := n.clock.now()
	if len(n.live.silent(address, asked-silentAfter)) == 0 || !n.live.begin(address) {
		return
	}
	defer n.live.end(address)
	timeout := probeTimeout + windowTime(n.settings.LinkMbps) + windowTime(e.LinkMbps)
	suspect := time.AfterFunc(timeout, func() {
		n.balanceMu.Lock()
		defer n.balanceMu.Unlock()
		n.balancer.MarkUnresponsive(e, n.clock.now())
	})
	defer suspect.Stop()
	if slowLink(n.settings.LinkMbps) || slowLink(e.LinkMbps) {
		timeout = slowProbeTimeout
	}
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: alivePath}, Header: http.Header{}}
	resp, err := n.peers.RoundTrip(req.WithContext(ctx))
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return
	}
	dead := n.live.silent(address, asked)
	for _, c := range dead {
		_ = c.Close()
	}
	if len(dead) > 0 {
		n.metrics.silentConns.Add(int64(len(dead)))
		n.logger.Warn("connection_silent", "address", address, "closed", len(dead), "waited_ms", (n.clock.now() - asked).Milliseconds(), "error", err.Error())
	}
}

func slowLink(mbps float64) bool { return mbps > 0 && mbps <= slowLinkMbps }

// windowTime is how long a probe waits on a link behind half a window of bodies.
func windowTime(mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	return time.Duration(peerWindow / 2 * bitsPerByte / (mbps * bitsPerMbit) * float64(time.Second))
}
