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
	"heathercroft.example/heathercroft/internal/bounded"
	"heathercroft.example/heathercroft/internal/build"
	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/internal/descriptors"
	"heathercroft.example/heathercroft/internal/pipeline"
	"heathercroft.example/heathercroft/internal/rpc"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/logpos"
	"heathercroft.example/heathercroft/pkg/published"
)

// Node is a node process.
type Node struct {
	settings Settings
	headers  Headers
	store    Store
	logger   *slog.Logger
	clock    *clock
	metrics  *metrics
	// random returns numbers in [0, 1) for the choice of targets.
	random func() float64

	controlMu sync.Mutex
	control   *control.Control
	view      atomic.Pointer[control.View]

	balanceMu sync.Mutex
	balancer  *balance.Balancer
	// health is the health of the local target.
	health balance.Health

	signalsMu   sync.Mutex
	lastSignals lastSignals
	// sent measures the rate of requests to the local target, by target.
	sent *rates

	// shortOfRoom is set while the local target takes fewer requests than it has slots.
	shortOfRoom atomic.Bool

	gate        *gate
	target      *targetClient
	peers       *http.Transport
	connMonitor *connMonitor
	// dialPeer opens a connection to another node that is not monitored.
	dialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	rpc      *rpc.Client
	// serviceTimes holds the mean time at a target in nanoseconds, responseBytes the mean
	// size of the response.
	serviceTimes, responseBytes *routeAverages
	refusalCache                *refusalCache
	splits                      *splitSequences
	rates                       *rates
	// hadOrganisations is set once a configuration in force held organisations.
	hadOrganisations atomic.Bool
	// configSince is when the configuration in force was received.
	configSince atomic.Int64
	// messages bounds the bodies that the node holds.
	messages *bounded.Memory
	// descriptors keeps file descriptors free of callers.
	descriptors   *descriptors.Guard
	active        activeRequests
	nestedCalls   *nestedCalls
	link          *linkMeter
	crashDetector *crashDetector
	crashTrials   *crashTrials
	budgets       sync.Map
	caps          *usageCaps
	// hedging decides about copies of requests, nil while the policy allows none.
	hedging atomic.Pointer[hedging]
	// unreachablePeers holds the nodes to which the last RPC failed.
	unreachablePeers sync.Map

	// refreshMesh requests a read of the newest records of the nodes, restartReads cancel the
	// reads of the feeds in progress, and rereads request another attempt of them.
	refreshMesh  atomic.Bool
	restartReads [control.FeedCount]atomic.Pointer[context.CancelCauseFunc]
	rereads      [control.FeedCount]chan struct{}
	// viewChanged wakes the followers of the feeds when the reducer decides anew what to read.
	viewChanged   [control.FeedCount]chan struct{}
	writeTimeouts *writeTimeouts
	// departureKept wakes the reports of departures that are not yet confirmed.
	departureKept *broadcast

	// cachedConfig is the configuration in force in the form sent to other nodes, and
	// history holds the changes of the last versions.
	configCacheMu sync.Mutex
	cachedConfig  *configResponse
	history       published.History

	trials trialGate

	counters *rpc.Counters
	// feedEnds holds the positions to which the feeds were read.
	feedEnds        [control.FeedCount]atomic.Pointer[logpos.Position]
	inFlight        atomic.Int64
	timelyResponses atomic.Uint64
	stopping        atomic.Bool
	// closing makes each response close its connection, and refusing refuses new requests of
	// callers as not run.
	closing, refusing atomic.Bool
	// stopEnd is the time on the node's clock at which a stopping node gives up the requests in
	// flight, 0 while it does not stop. callsCtx ends at that time.
	stopEnd  atomic.Int64
	callsCtx context.Context
	endCalls context.CancelFunc
	ctx      context.Context
	cancel   context.CancelFunc
}

// New returns a node that is not started.
func New(s Settings, h Headers, store Store, logger *slog.Logger) *Node {
	n := &Node{
		settings: s, headers: h, store: store, logger: logger, clock: newClock(), metrics: newMetrics(), random: rand.Float64,
		balancer: balance.New(s.Zone), serviceTimes: newRouteAverages(), responseBytes: newRouteAverages(), refusalCache: newRefusals(), splits: newSplitSequences(), rates: newRates(), sent: newRates(), crashDetector: newCrashDetector(), crashTrials: newCrashTrials(), nestedCalls: newNestedCalls(),
		counters: &rpc.Counters{}, writeTimeouts: newWriteTimeouts(), departureKept: newBroadcast(),
	}
	n.trials = trialGate{random: func() float64 { return n.random() }}
	for f := range control.FeedCount {
		n.rereads[f], n.viewChanged[f] = make(chan struct{}, 1), make(chan struct{}, 1)
	}
	n.connMonitor = newConnMonitor(n.clock.now)
	dialer := &net.Dialer{Timeout: peerDialTimeout, LocalAddr: &net.TCPAddr{IP: s.Inbound.Addr().AsSlice()}}
	n.dialPeer = dialer.DialContext
	n.peers = newPeerTransport(dialer, n.connMonitor)
	n.gate = newGate(n.clock.now)
	n.link = &linkMeter{now: n.clock.now, mbps: s.LinkMbps}
	n.target = &targetClient{address: s.Target.String(), headers: h, now: n.clock.now, closed: n.handleClosedConnections}
	n.messages = bounded.NewMemory(int64(messageMemoryShare * float64(s.MemoryBytes)))
	n.descriptors = descriptors.NewGuard(s.Descriptors, 0)
	n.rpc = rpc.NewClient(n.counters, s.Inbound.Addr())
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.callsCtx, n.endCalls = context.WithCancel(n.ctx)
	self := s.announcement(time.Now().UnixMilli())
	n.caps = newUsageCaps(n, self.StartUnixMS)
	n.control = control.New(control.Options{
		Self:    self,
		Address: s.Target.String(), Service: s.Service, Heartbeat: s.HeartbeatInterval,
		ConfigDeadline: s.ConfigDeadline, ExposeLimits: s.ExposeLimits, Seed: rand.Uint64(),
	})
	n.view.Store(&control.View{})
	return n
}

const (
	// headerTimeout limits how long a connection may take to send its header. The published
	// limit is 3 s in all known deployments, but it is not known at start.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than the idle time that the published limits allow callers.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is the maximum header size, the same as in the published limits.
	maxHeaderBytes = 32 << 10
	// maxHopHeaderBytes is the maximum header size of a request between nodes. HTTP/2 counts 32
	// bytes for each field in addition to its text, and the shortest field of a caller has
	// four bytes.
	maxHopHeaderBytes = 12 * maxHeaderBytes
	// messageMemoryShare is the share of the process's memory for the bodies of requests and
	// responses. The garbage collector needs as much again before it frees them.
	messageMemoryShare = 0.25
	// fullMemoryShare is the part of it at which the node takes no more requests for its
	// target. The rest is for the responses of those that run. Large messages alone cannot
	// use as much.
	fullMemoryShare = 0.85
	// maxPipelinedRequests is the number of requests that a caller's connection may have
	// without a response.
	maxPipelinedRequests = 16
)

// outboundHandler handles the requests of callers, which may send repeatable requests
// before the earlier ones are answered.
// connState is called with the state of their connections.
func (n *Node) outboundHandler(connState func(net.Conn, http.ConnState)) http.Handler {
	return pipeline.NewHandler(http.HandlerFunc(n.serveOutbound), pipeline.Options{
		Concurrent: n.mayRunTwice, MaxRequests: maxPipelinedRequests, MaxHeaderBytes: maxHeaderBytes,
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: connState, Logger: n.logger,
	})
}

// mayRunTwice reports whether the configuration in force allows a request to run again.
func (n *Node) mayRunTwice(r *http.Request) bool {
	config := n.view.Load().Config
	if config == nil {
		return false
	}
	route := config.Lookup(r.Host, r.URL.Path)
	return route != nil && route.Kind.Repeatable()
}

// Run serves until the stop signal. registry handles the requests of the local target to
// the control address.
func (n *Node) Run(ctx context.Context, registry http.Handler) error {
	var servers []transport.Server
	var outbound *app.Server
	outboundState := func(c net.Conn, state http.ConnState) { outbound.ConnState(c, state) }
	for _, l := range []struct {
		name        string
		address     netip.AddrPort
		handler     http.Handler
		headerBytes int
		server      **app.Server
	}{
		{"control", n.settings.Control, registry, maxHeaderBytes, new(*app.Server)},
		{"ready", n.settings.Ready, http.HandlerFunc(n.serveReady), maxHeaderBytes, new(*app.Server)},
		{"inbound", n.settings.Inbound, http.HandlerFunc(n.serveInbound), maxHopHeaderBytes, new(*app.Server)},
		{"outbound", n.settings.Outbound, n.outboundHandler(outboundState), maxHeaderBytes, &outbound},
		{"metrics", n.settings.Metrics, expvar.Handler(), maxHeaderBytes, new(*app.Server)},
	} {
		if !l.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return errors.Wrapf(err, "listen at %s", l.address)
		}
		wrap := []func(net.Listener) net.Listener{pipeline.Listen}
		if l.address == n.settings.Outbound {
			wrap = []func(net.Listener) net.Listener{n.descriptors.Callers, pipeline.Listen}
		}
		server := app.HTTPServer(l.name, listener, l.handler, wrap...)
		*l.server = server
		server.ConnContext = pipeline.ConnContext
		server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = headerTimeout, idleTimeout, l.headerBytes
		server.HTTP2 = &http.HTTP2Config{
			MaxReceiveBufferPerStream: peerStreamWindow, MaxReceiveBufferPerConnection: peerConnWindow,
		}
		servers = append(servers, server)
	}
	listener, err := net.Listen("tcp", n.settings.Peers.String())
	if err != nil {
		return errors.Wrap(err, "listen for other nodes")
	}
	servers = append(servers, rpc.NewServer(listener, peerHandler{n}, n.counters))
	n.metrics.publish()
	expvar.Publish("config_version", expvar.Func(func() any { return n.configVersion() }))
	expvar.Publish("config_age_ms", expvar.Func(func() any { return (n.clock.now() - time.Duration(n.configSince.Load())).Milliseconds() }))
	expvar.Publish("config_proof_age_ms", expvar.Func(func() any { return n.configFreshness().AgeMS }))
	expvar.Publish("target_load", expvar.Func(func() any { return n.targetLoad() }))
	expvar.Publish("disturbed_targets", expvar.Func(func() any { return n.disturbedTargets() }))
	expvar.Publish("target_room", expvar.Func(func() any { room, _ := n.gate.room(); return room }))
	expvar.Publish("target_limit_per_s", expvar.Func(func() any { return n.targetLimit() }))
	expvar.Publish("target_cold_limit_per_s", expvar.Func(func() any { return n.gate.coldLimit() }))
	expvar.Publish("evacuated_zones", expvar.Func(func() any { return len(n.view.Load().Evacuated) }))
	expvar.Publish("evacuated_since_ms", expvar.Func(func() any { return n.evacuatedSince() }))
	expvar.Publish("quota", expvar.Func(func() any { return n.caps.state() }))
	expvar.Publish("quota_organisations", expvar.Func(func() any { return n.caps.stats.all() }))
	expvar.Publish("target_trial", expvar.Func(func() any { return n.trials.state() }))
	expvar.Publish("connections", expvar.Func(func() any { return app.Connections(servers) }))
	expvar.Publish("message_bytes", expvar.Func(func() any { return n.messages.Held() }))
	expvar.Publish("descriptors_open", expvar.Func(func() any { return n.descriptors.State().Open }))
	expvar.Publish("descriptors_limit", expvar.Func(func() any { return n.descriptors.State().Limit }))
	expvar.Publish("caller_connections", expvar.Func(func() any { return n.descriptors.State().Callers }))
	expvar.Publish("caller_connections_limit", expvar.Func(func() any { return n.descriptors.State().CallerLimit }))
	expvar.Publish("descriptors_short", expvar.Func(func() any { return n.descriptors.Short() }))
	n.logger.Info("started", "zone", string(n.settings.Zone), "service", n.settings.Service, "descriptors", n.settings.Descriptors, "build", build.Current())
	go n.runTicker()
	go n.descriptors.Watch(n.ctx, n.logger)
	go n.contactSeeds()
	for f := range control.FeedCount {
		go n.follow(f)
	}
	defer n.cancel()
	return app.Run(ctx, app.Options{
		Name: "heathercroft-sidecar", Logger: n.logger, Servers: servers,
		GracePeriod: n.settings.GracePeriod, StopTimeout: n.settings.GracePeriod, BeforeStop: n.drain,
	})
}

// configVersion returns the version in force, 0 if there is none.
func (n *Node) configVersion() published.Version {
	if c := n.view.Load().Config; c != nil {
		return c.Version
	}
	return 0
}

// Step processes an event. The request path uses the changed state when Step returns.
func (n *Node) Step(e control.Event) { n.step(e) }

func (n *Node) step(e control.Event) {
	restored, follows, pollsFaster := false, false, false
	n.controlMu.Lock()
	effects := n.control.Step(n.clock.time(), e)
	for _, effect := range effects {
		if v, ok := effect.(control.PublishView); ok {
			if v.View.Target != nil {
				// The limits hold before a request is admitted with this view.
				n.limitTarget(v.View)
			}
			// A request that the new configuration judges must find its caps.
			before := n.view.Load()
			n.caps.viewChanged(before, v.View)
			if c := v.View.Config; c != nil && len(c.Organisations) > 0 {
				n.hadOrganisations.Store(true)
			}
			n.view.Store(v.View)
			if v.View.IsEvacuated(n.settings.Zone) && !before.IsEvacuated(n.settings.Zone) {
				// Other zones may still serve them in time.
				n.gate.refuseWaiting(reasonZoneEvacuated)
			}
			if before.Config != v.View.Config {
				n.configSince.Store(int64(n.clock.now()))
				n.recordConfigDelta(before.Config, v.View.Config)
			}
			restored = restored || before.StoreEra != v.View.StoreEra
			follows = follows || v.View.FollowsOtherFeeds(before)
			pollsFaster = pollsFaster || v.View.VouchesForConfig && !before.VouchesForConfig
		}
	}
	n.controlMu.Unlock()
	if restored {
		for f := range n.restartReads {
			n.restartRead(control.Feed(f))
		}
	}
	if pollsFaster {
		// The long poll in progress is too long to prove anything in time.
		n.reread(control.OperatorFeed)
	}
	if follows {
		for _, c := range n.viewChanged {
			signal(c)
		}
	}
	for _, effect := range effects {
		n.execute(effect)
	}
}

// targetProbeConnections is the number of connections to the target without a request: after
// a lost response, the node tries whether the target still listens.
const targetProbeConnections = 1

// limitTarget applies the limits of the local target: a request runs on each of its slots,
// and on each connection that its service allows.
func (n *Node) limitTarget(v *control.View) {
	slots, connections := v.Target.Slots, 0
	if v.Config != nil {
		connections = v.Config.Services[v.Target.Service].Connections
	}
	if connections > 0 {
		slots = min(slots, max(connections-targetProbeConnections, 1))
	}
	n.target.awaitsClose.Store(connections > 0 && connections < 2*slots+targetProbeConnections)
	n.gate.setTarget(v.Target.Process(), slots)
	n.gate.setCold(v.TargetColdRate, v.TargetColdUntil)
}

// signal wakes the receiver of a channel of capacity 1.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (n *Node) execute(effect control.Effect) {
	switch e := effect.(type) {
	case control.WriteAnnouncement:
		go n.writeAnnouncement(e.Announcement)
	case control.WithdrawAnnouncement:
		go n.withdraw()
	case control.RemoveStopped:
		go n.removeStopped(e.Node)
	case control.DepartureKept:
		n.departureKept.notify()
	case control.RecordMove:
		go n.recordMove(e.Move)
	case control.WriteStatus:
		go n.writeStatus(e.Status)
	case control.SendState:
		n.sendState(e)
	case control.ProbeNode:
		go n.exchangeState(e.To, e.State)
	case control.ContradictState:
		go n.exchangeState(e.To, e.State)
	case control.RewriteAnnouncement:
		go n.rewriteAnnouncement(e.Announcement)
	case control.FetchConfig:
		go n.fetchConfig(e.From)
	case control.CheckConfig:
		go n.checkConfig(e.To)
	case control.ProbeHealth:
		go n.probeHealth(e)
	case control.RereadFeed:
		n.reread(e.Feed)
	case control.LogEvent:
		n.logger.Info(e.Kind, e.Fields...)
	}
}

// runTicker periodically reports the load and triggers what depends on time.
func (n *Node) runTicker() {
	tick := time.NewTicker(control.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-tick.C:
			load := n.gate.load()
			n.step(control.LoadMeasured{Running: load.Running, Waiting: load.Waiting, PerSecond: n.rates.perSecond(n.clock.now())})
			n.step(control.Tick{})
			n.retainKnownEndpoints()
		}
	}
}

func (n *Node) retainKnownEndpoints() {
	var all []balance.Endpoint
	for _, s := range n.view.Load().Endpoints {
		all = append(append(all, s.Old...), s.New...)
	}
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	n.balancer.Retain(all)
}

// serveReady is the readiness check for callers. A node that is short of descriptors serves
// the connections that it has.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.view.Load().Config == nil || n.stopping.Load() || n.descriptors.Short() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
