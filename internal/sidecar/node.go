package sidecar

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2/transport"

	"heathercroft.example/heathercroft/internal/app"
	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/internal/rpc"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/published"
)

// Node is one node process.
type Node struct {
	settings Settings
	headers  Headers
	store    Store
	logger   *slog.Logger
	clock    *clock
	metrics  *metrics

	controlMu sync.Mutex
	control   *control.Control
	view      atomic.Pointer[control.View]

	balanceMu sync.Mutex
	balancer  *balance.Balancer
	// health is that of the local target.
	health balance.Health

	gate    *gate
	target  *targetClient
	peers   *http.Transport
	live    *liveness
	rpc     *rpc.Client
	needs   *needs
	returns *returns
	splits  *splits
	rates   *rates
	running running
	link    *linkMeter
	crash   *crashWatch
	budgets sync.Map
	// lostPeers holds the nodes that the last message did not reach.
	lostPeers sync.Map

	// meshStale asks for the newest records of the nodes, restartRead ends the read of
	// the operator's records in progress.
	meshStale   atomic.Bool
	restartRead atomic.Pointer[context.CancelCauseFunc]

	// packed is the configuration in force as other nodes get it, history what changed
	// in the last versions.
	packMu  sync.Mutex
	packed  *configCopy
	history published.History

	counters *rpc.Counters
	ends     [4]atomic.Uint64
	inFlight atomic.Int64
	sampled  atomic.Uint64
	stopping atomic.Bool
	// closing makes each answer end its connection, refusing refuses new requests of
	// callers as not run, and closed passes nothing on.
	closing, refusing, closed atomic.Bool
	ctx                       context.Context
	cancel                    context.CancelFunc
}

// New composes a node. registry serves the heartbeats of the local target.
func New(s Settings, h Headers, store Store, logger *slog.Logger) *Node {
	n := &Node{
		settings: s, headers: h, store: store, logger: logger, clock: newClock(), metrics: newMetrics(),
		balancer: balance.New(s.Zone), needs: newNeeds(), returns: newReturns(), splits: newSplits(), rates: newRates(), crash: newCrashWatch(),
		counters: &rpc.Counters{},
	}
	n.live = newLiveness(n.clock.now)
	n.peers = newPeerTransport(s.Inbound.Addr().AsSlice(), n.live)
	n.gate = newGate(n.clock.now)
	n.link = &linkMeter{now: n.clock.now, mbps: s.LinkMbps}
	n.target = &targetClient{address: s.Target.String(), headers: h, now: n.clock.now}
	n.rpc = rpc.NewClient(n.counters, s.Inbound.Addr())
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.control = control.New(control.Options{
		Self:    s.announcement(time.Now().UnixMilli()),
		Address: s.Target.String(), Service: s.Service, Heartbeat: s.Heartbeat, Seed: rand.Uint64(),
	})
	n.view.Store(&control.View{})
	return n
}

const (
	// headerTimeout bounds how long a connection may take to send its header. The
	// published limit is 3 s on all known deployments; it is not known at start.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than the published limits let callers stay idle.
	idleTimeout = 60 * time.Second
	// maxHeader bounds a header in bytes, as the published limits do.
	maxHeader = 32 << 10
)

// Run serves until the stop signal. registry takes the calls of the local target
// on the control address.
func (n *Node) Run(ctx context.Context, registry http.Handler) error {
	var servers []transport.Server
	for _, l := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{n.settings.Control, registry},
		{n.settings.Ready, http.HandlerFunc(n.serveReady)},
		{n.settings.Inbound, http.HandlerFunc(n.serveInbound)},
		{n.settings.Outbound, http.HandlerFunc(n.serveOutbound)},
		{n.settings.Metrics, expvar.Handler()},
	} {
		if !l.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return errors.Wrapf(err, "listen at %s", l.address)
		}
		server := app.HTTPServer(listener, l.handler)
		server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = headerTimeout, idleTimeout, maxHeader
		server.HTTP2 = &http.HTTP2Config{
			MaxReceiveBufferPerStream: peerWindow, MaxReceiveBufferPerConnection: peerConnWindow,
		}
		servers = append(servers, server)
	}
	listener, err := net.Listen("tcp", n.settings.Peers.String())
	if err != nil {
		return errors.Wrap(err, "listen for other nodes")
	}
	servers = append(servers, rpc.NewServer(listener, peerHandler{n}, n.counters))
	n.metrics.publish()
	n.logger.Info("started", "zone", string(n.settings.Zone), "service", n.settings.Service)
	go n.ticks()
	go n.seek()
	for _, f := range []control.Feed{control.OperatorFeed, control.MeshFeed, control.MoveFeed, control.StatusFeed} {
		go n.follow(f)
	}
	defer n.cancel()
	return app.Run(ctx, app.Options{
		Name: "heathercroft-sidecar", Logger: n.logger, Servers: servers,
		StopTimeout: stopTimeout, BeforeStop: n.drain,
	})
}

// Step takes an event of the adapter, such as a heartbeat. The change is in
// force for the call path when it returns.
func (n *Node) Step(e control.Event) { n.step(e) }

func (n *Node) step(e control.Event) {
	n.controlMu.Lock()
	effects := n.control.Step(n.clock.time(), e)
	for _, effect := range effects {
		if v, ok := effect.(control.PublishView); ok {
			if before := n.view.Swap(v.View); before.Config != v.View.Config {
				n.keepHistory(before.Config, v.View.Config)
			}
			if v.View.Target != nil {
				n.gate.resize(v.View.Target.Slots)
			}
		}
	}
	n.controlMu.Unlock()
	for _, effect := range effects {
		n.carryOut(effect)
	}
}

func (n *Node) carryOut(effect control.Effect) {
	switch e := effect.(type) {
	case control.WriteAnnouncement:
		go n.announce(e.Announcement)
	case control.RecordMove:
		go n.recordMove(e.Move)
	case control.WriteStatus:
		go n.writeStatus(e.Status)
	case control.SendState:
		n.sendState(e)
	case control.FetchConfig:
		go n.fetchConfig(e.From)
	case control.LogEvent:
		n.logger.Info(e.Kind, e.Fields...)
	}
}

// ticks drives what depends on time.
func (n *Node) ticks() {
	tick := time.NewTicker(control.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-tick.C:
			running, waiting, _ := n.gate.load()
			n.step(control.LoadMeasured{Running: running, Waiting: waiting, PerSecond: n.rates.perSecond(n.clock.now())})
			n.step(control.Tick{})
			n.retainEndpoints()
		}
	}
}

func (n *Node) retainEndpoints() {
	var all []balance.Endpoint
	for _, s := range n.view.Load().Endpoints {
		all = append(append(all, s.Old...), s.New...)
	}
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	n.balancer.Retain(all)
}

// serveReady tells whether callers should come to this node.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.view.Load().Config == nil || n.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
