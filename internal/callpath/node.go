package callpath

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"heathercroft.example/heathercroft/pkg/retry"
)

// Node is the call path of one node. It is safe for concurrent use.
type Node struct {
	deps     Deps
	settings Settings
	metrics  *Metrics
	peers    *http.Transport
	pool     *pool
	limiter  limiter
	inFlight inFlight
	crash    *crashGuard
	budgets  sync.Map // service name → *retry.Budget

	sizeMu sync.Mutex
	size   int
}

// New returns a call path. Its handlers are served by the caller.
func New(d Deps, s Settings) *Node {
	n := &Node{deps: d, settings: s, metrics: newMetrics(), pool: newPool(s), crash: newCrashGuard()}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := net.Dialer{Timeout: s.DialTimeout, LocalAddr: s.LocalAddr}
	n.peers = &http.Transport{
		Protocols:              protocols,
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ExpectContinueTimeout:  time.Second,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: s.PingIdleTime,
			PingTimeout:     s.PingTimeout,
			// A slow caller holds at most this much of an answer here.
			MaxReceiveBufferPerStream: streamWindow,
		},
	}
	return n
}

// Windows of HTTP/2 connections between nodes, in bytes. A stalled upload fills
// its stream's window only, so that others on the connection go on.
const (
	streamWindow     = 256 << 10
	connectionWindow = 3 << 20
)

// ConfigureServer sets the HTTP/2 limits of a server that serves the handlers.
func ConfigureServer(s *http.Server) {
	if s.HTTP2 == nil {
		s.HTTP2 = &http.HTTP2Config{}
	}
	s.HTTP2.MaxReceiveBufferPerStream = streamWindow
	s.HTTP2.MaxReceiveBufferPerConnection = connectionWindow
}

// CallHandler serves callers.
func (n *Node) CallHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.handle(w, r, fromCaller)
	})
}

// OutboundHandler serves the outbound calls of the local target. They belong to
// work in flight and so go on during a drain.
func (n *Node) OutboundHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.handle(w, r, fromTarget)
	})
}

// NodeHandler serves other nodes.
func (n *Node) NodeHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.handle(w, r, fromNode)
	})
}

// Metrics returns the counters.
func (n *Node) Metrics() *Metrics { return n.metrics }

// Drain refuses new work as not-run and waits until the requests in flight,
// uploads included, have ended or ctx ends. It returns how many are left.
func (n *Node) Drain(ctx context.Context) int {
	if n.deps.Events != nil {
		n.deps.Events.DrainStarted()
	}
	left := n.inFlight.drain(ctx)
	if n.deps.Events != nil {
		n.deps.Events.DrainEnded(left)
	}
	return left
}

// Close closes the connections to other nodes and to the target.
func (n *Node) Close() {
	n.peers.CloseIdleConnections()
	n.pool.close()
}

// Load returns the local target's requests, queued ones included, and its slots.
func (n *Node) Load() (inFlight, slots int) { return n.limiter.load() }

func (n *Node) budget(service string) *retry.Budget {
	if b, ok := n.budgets.Load(service); ok {
		return b.(*retry.Budget)
	}
	b, _ := n.budgets.LoadOrStore(service, &retry.Budget{})
	return b.(*retry.Budget)
}

// resize follows the slots and connections that the target announces.
func (n *Node) resize(slots, connections int) {
	size := slots
	if connections > 0 {
		size = min(slots, connections)
	}
	n.sizeMu.Lock()
	defer n.sizeMu.Unlock()
	if n.size != size {
		n.size = size
		n.limiter.resize(size)
	}
}
