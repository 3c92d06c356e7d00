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
	// alivePath is the path of liveness probes between nodes.
	alivePath = "/heathercroft/v1/alive"
	// probeIdleTime is how long a connection with requests in flight may receive nothing
	// before it is probed. Idle connections are not probed: with a ping for each connection
	// every 0.4 s, pings were most of the work of 76 nodes.
	probeIdleTime = 250 * time.Millisecond
	// probeTimeout is the timeout of a probe on links that are not slow. Calls between
	// targets have as little as 600 ms. After it the node counts as unresponsive in the
	// state of its zone.
	probeTimeout = 300 * time.Millisecond
	// slowLinkProbeTimeout is for links of up to slowLinkMbps. Uploads of many callers
	// queue there for over a second, and closing the connection meanwhile aborts requests
	// in transit (after 0.76 s, a request was lost during a planned stop).
	slowLinkProbeTimeout = 1800 * time.Millisecond
	slowLinkMbps         = 100
)

// connMonitor finds unresponsive connections to other nodes: a device in between has lost
// their state, so that they are not reset, while new connections work.
type connMonitor struct {
	now func() time.Duration

	mu    sync.Mutex
	conns map[string]map[*monitoredConn]bool
	// probing holds the addresses that are being probed.
	probing map[string]bool
}

func newConnMonitor(now func() time.Duration) *connMonitor {
	return &connMonitor{now: now, conns: map[string]map[*monitoredConn]bool{}, probing: map[string]bool{}}
}

// monitoredConn records when it last received bytes.
type monitoredConn struct {
	net.Conn
	monitor  *connMonitor
	address  string
	lastRead atomic.Int64
}

// Read implements net.Conn.
func (c *monitoredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(c.monitor.now()))
	}
	return n, err
}

// Close implements net.Conn.
func (c *monitoredConn) Close() error {
	c.monitor.mu.Lock()
	if set := c.monitor.conns[c.address]; set != nil {
		delete(set, c)
		if len(set) == 0 {
			delete(c.monitor.conns, c.address)
		}
	}
	c.monitor.mu.Unlock()
	return c.Conn.Close()
}

// dialContext returns a dial function whose connections are monitored.
func (m *connMonitor) dialContext(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &monitoredConn{Conn: raw, monitor: m, address: address}
		c.lastRead.Store(int64(m.now()))
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.conns[address] == nil {
			m.conns[address] = map[*monitoredConn]bool{}
		}
		m.conns[address][c] = true
		return c, nil
	}
}

// idleSince returns the connections to the address that have received nothing since the
// given time.
func (m *connMonitor) idleSince(address string, since time.Duration) []*monitoredConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*monitoredConn
	for c := range m.conns[address] {
		if c.lastRead.Load() < int64(since) {
			out = append(out, c)
		}
	}
	return out
}

// beginProbe reports whether the caller may probe the address. Only one probe runs at a
// time.
func (m *connMonitor) beginProbe(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probing[address] {
		return false
	}
	m.probing[address] = true
	return true
}

func (m *connMonitor) endProbe(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.probing, address)
}

// monitorPeer probes the connection to a node while a request is in flight there. The
// returned function stops it.
func (n *Node) monitorPeer(e balance.Endpoint, address string) (stop func()) {
	var mu sync.Mutex
	ended := false
	var timer *time.Timer
	check := func() {
		n.probePeer(e, address)
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			timer.Reset(probeIdleTime)
		}
	}
	mu.Lock()
	timer = time.AfterFunc(probeIdleTime, check)
	mu.Unlock()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		ended = true
		timer.Stop()
	}
}

// probePeer probes the connections to a node that have received nothing for a while. It
// closes those that stay unresponsive, so that their requests fail at once.
func (n *Node) probePeer(e balance.Endpoint, address string) {
	asked := n.clock.now()
	if len(n.connMonitor.idleSince(address, asked-probeIdleTime)) == 0 || !n.connMonitor.beginProbe(address) {
		return
	}
	defer n.connMonitor.endProbe(address)
	timeout := probeTimeout + halfWindowTransmitTime(n.settings.LinkMbps) + halfWindowTransmitTime(e.LinkMbps)
	markTimer := time.AfterFunc(timeout, func() {
		n.balanceMu.Lock()
		defer n.balanceMu.Unlock()
		n.balancer.MarkUnresponsive(e, n.clock.now())
	})
	defer markTimer.Stop()
	if isSlowLink(n.settings.LinkMbps) || isSlowLink(e.LinkMbps) {
		timeout = slowLinkProbeTimeout
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
	dead := n.connMonitor.idleSince(address, asked)
	for _, c := range dead {
		_ = c.Close()
	}
	if len(dead) > 0 {
		n.metrics.unresponsiveConns.Add(int64(len(dead)))
		n.logger.Warn("connection_silent", "address", address, "closed", len(dead), "waited_ms", (n.clock.now() - asked).Milliseconds(), "error", err.Error())
	}
}

func isSlowLink(mbps float64) bool { return mbps > 0 && mbps <= slowLinkMbps }

// halfWindowTransmitTime is how long a probe waits on a link behind half a stream window
// of bodies.
func halfWindowTransmitTime(mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	return time.Duration(peerStreamWindow / 2 * bitsPerByte / (mbps * bitsPerMbit) * float64(time.Second))
}
