package callpath

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
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
	// callsCtx ends when a drain gives up the requests that are still in flight.
	callsCtx context.Context
	endCalls context.CancelFunc
	crash    *crashGuard
	budgets  sync.Map // service name → *retry.Budget

	// leftTarget is the last process of the local target that said that it leaves.
	leftTarget atomic.Pointer[mesh.Target]

	limiterSizeMu sync.Mutex
	limiterSize   int
}

// New returns a call path. The caller of New serves its handlers.
func New(d Deps, s Settings) *Node {
	n := &Node{deps: d, settings: s, metrics: newMetrics(), pool: newPool(s), crash: newCrashGuard()}
	n.limiter.now = d.Now
	n.callsCtx, n.endCalls = context.WithCancel(context.Background())
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
			// At most this much of a response is buffered here for a slow caller.
			MaxReceiveBufferPerStream: streamWindow,
		},
	}
	return n
}

// HTTP/2 flow control windows of connections between nodes, in bytes. A stalled
// upload fills only the window of its stream, so that other streams on the
// connection are not blocked.
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
// requests in flight and are therefore accepted during a drain.
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

// drainAnswerTimeout limits the time in which given up requests get their responses.
const drainAnswerTimeout = 200 * time.Millisecond

// Drain refuses new requests as not-run and waits until the requests in flight,
// including uploads, have ended or ctx ends. Those that are left are then given up, so that
// their callers learn whether they may have run before the connections close. It returns how
// many were left.
func (n *Node) Drain(ctx context.Context) int {
	if n.deps.Events != nil {
		n.deps.Events.DrainStarted()
	}
	left := n.inFlight.drain(ctx)
	if left > 0 {
		n.endCalls()
		answered, cancel := context.WithTimeout(context.Background(), drainAnswerTimeout)
		defer cancel()
		n.inFlight.drain(answered)
	}
	if n.deps.Events != nil {
		n.deps.Events.DrainEnded(left)
	}
	return left
}

// Close closes the idle connections to other nodes and to the target.
func (n *Node) Close() {
	n.peers.CloseIdleConnections()
	n.pool.close()
}

// Load returns the number of the local target's requests, including queued ones,
// and of its slots.
func (n *Node) Load() (inFlight, slots int) { return n.limiter.load() }

func (n *Node) budget(service string) *retry.Budget {
	if b, ok := n.budgets.Load(service); ok {
		return b.(*retry.Budget)
	}
	b, _ := n.budgets.LoadOrStore(service, &retry.Budget{})
	return b.(*retry.Budget)
}

// resize applies the slots and connections that the target announces.
func (n *Node) resize(slots, connections int) {
	size := slots
	if connections > 0 {
		size = min(slots, connections)
	}
	n.limiterSizeMu.Lock()
	defer n.limiterSizeMu.Unlock()
	if n.limiterSize != size {
		n.limiterSize = size
		n.limiter.resize(size)
	}
}
