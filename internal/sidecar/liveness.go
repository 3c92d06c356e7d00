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

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/balance"
)

const (
	// alivePath is the path of liveness probes between nodes.
	alivePath = "/heathercroft/v1/alive"
	// probeIdleTime is how long a connection with requests in flight may receive nothing
	// before it is probed. Idle connections are not probed: with a ping for each connection
	// every 0.4 s, pings were most of the work of 76 nodes.
	probeIdleTime = 250 * time.Millisecond
	// probeTimeout is how long a probe has no response on links that are not slow until the
	// balancer counts the node as unresponsive and a new connection is probed. Calls between
	// targets have as little as 600 ms. The transmit time of half a window is added.
	probeTimeout = 300 * time.Millisecond
	// minProbeGrace is the least time that an old connection gets after a new one responded.
	minProbeGrace = 20 * time.Millisecond
	// maxSilence is how long a node may respond to nothing until its connections are closed.
	// Uploads of many callers queue for over a second on a slow link, and a slow node takes
	// as long; closing the connection aborts requests in transit.
	maxSilence = 1800 * time.Millisecond
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

// probePeer probes the connections to a node that have received nothing for a while. A
// probe without a response has two possible causes. If a new connection works, a device in
// between has lost the state of the old ones: they are closed, so that their requests fail
// at once. Otherwise the node or its link is slow or cut off, and its requests may still be
// answered: they go on until maxSilence.
func (n *Node) probePeer(e balance.Endpoint, address string) {
	started := n.clock.now()
	if len(n.connMonitor.idleSince(address, started-probeIdleTime)) == 0 || !n.connMonitor.beginProbe(address) {
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
	ctx, cancel := context.WithTimeout(n.ctx, maxSilence)
	defer cancel()
	responded := make(chan error, 1)
	go func() { responded <- probe(ctx, n.peers, address) }()
	var cause error
	select {
	case cause = <-responded:
	case <-time.After(timeout):
		cause = n.probeAgain(ctx, address, responded)
	}
	if cause == nil {
		return
	}
	unresponsive := n.connMonitor.idleSince(address, started)
	if len(unresponsive) > 0 {
		n.metrics.unresponsiveConns.Add(int64(len(unresponsive)))
		n.logger.Warn("connection_silent", "address", address, "closed", len(unresponsive), "waited_ms", (n.clock.now() - started).Milliseconds(), "error", cause.Error())
	}
	// The requests of a closed connection end at once.
	for _, c := range unresponsive {
		_ = c.Close()
	}
}

// errOnlyNewConnections reports that a new connection to a node works while an old one is
// silent.
var errOnlyNewConnections = errors.New("a new connection responds")

// probeAgain probes a new connection while the probe of the old one has no response. It
// returns nil if the old one responds first.
func (n *Node) probeAgain(ctx context.Context, address string, responded <-chan error) error {
	fresh := &http.Transport{DialContext: n.dialPeer, DisableKeepAlives: true, MaxResponseHeaderBytes: maxResponseHeaderBytes}
	defer fresh.CloseIdleConnections()
	works, began := make(chan error, 1), time.Now()
	go func() { works <- probe(ctx, fresh, address) }()
	select {
	case err := <-responded:
		return err
	case err := <-works:
		if err != nil {
			// The node does not respond at all. It may do so before the time is up.
			return <-responded
		}
	}
	// A node that was slow to respond on the new connection may still respond on the old one.
	select {
	case err := <-responded:
		return err
	case <-time.After(max(time.Since(began), minProbeGrace)):
		return errOnlyNewConnections
	}
}

// probe sends a liveness probe.
func probe(ctx context.Context, transport http.RoundTripper, address string) error {
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: alivePath}, Header: http.Header{}}
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return nil
}

// halfWindowTransmitTime is how long a probe waits on a link behind half a stream window
// of bodies.
func halfWindowTransmitTime(mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	return time.Duration(peerStreamWindow / 2 * bitsPerByte / (mbps * bitsPerMbit) * float64(time.Second))
}
