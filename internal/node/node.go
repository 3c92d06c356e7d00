// Package node runs a heathercroft node: it owns the reducer and executes its
// effects over HTTP, jsonrpc2 and the platform's log.
package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2/transport"

	"heathercroft.example/heathercroft/internal/app"
	"heathercroft.example/heathercroft/internal/build"
	"heathercroft.example/heathercroft/internal/callpath"
	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/internal/descriptors"
	"heathercroft.example/heathercroft/internal/logclient"
	"heathercroft.example/heathercroft/internal/rpc"
	"heathercroft.example/heathercroft/internal/settings"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/timeline"
)

// Node is one node process.
type Node struct {
	settings settings.Node
	logger   *slog.Logger
	self     mesh.NodeInfo
	recorder *timeline.Recorder

	loop      *loop
	calls     *callpath.Node
	evidence  *evidence
	counters  *rpc.Counters
	listeners listeners
	// descriptors keeps file descriptors free of callers.
	descriptors *descriptors.Guard
}

// listeners are the open sockets of a node.
type listeners struct{ caller, rpc, call, admin, outbound net.Listener }

// New opens the listeners and assembles the node.
func New(s settings.Node, logger *slog.Logger) (*Node, error) {
	n := &Node{settings: s, logger: logger, counters: &rpc.Counters{}, evidence: newEvidence()}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.self = mesh.NodeInfo{
		ID: mesh.NodeID(s.Node.ID), Session: newSession(), Zone: mesh.AvailabilityZone(s.Node.Zone),
		Region: mesh.Region(s.Node.Region), RPCAddress: s.AdvertisedRPC(), CallAddress: s.AdvertisedCall(),
	}
	n.recorder = timeline.NewRecorder(string(n.self.ID), string(n.self.Zone), string(n.self.Session), s.Log.MaxEvents, nil)
	n.loop = newLoop(n)
	n.calls = callpath.New(callpath.Deps{
		Node: n.self.ID, Zone: n.self.Zone, Table: n.loop.table.Load, Target: n.loop.localTarget,
		TargetLeaving: func(t mesh.Target) { n.loop.post(core.TargetSignaledLeaving{Target: t}) },
		Keys:          n.loop.keys, ObserveColdStart: n.loop.cold.observe, Recorder: n.evidence, Events: callEvents{n}, Now: n.loop.now, Logger: logger,
	}, callSettings(s))
	return n, nil
}

func (n *Node) listen() error {
	for _, l := range []struct {
		name    string
		address settings.Address
		to      *net.Listener
	}{
		{"caller", n.settings.Listen.Caller, &n.listeners.caller},
		{"rpc", n.settings.Listen.RPC, &n.listeners.rpc},
		{"call", n.settings.Listen.Call, &n.listeners.call},
		{"admin", n.settings.Listen.Admin, &n.listeners.admin},
		{"outbound", n.settings.Listen.Outbound, &n.listeners.outbound},
	} {
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return errors.Wrapf(err, "listen for %s", l.name)
		}
		*l.to = listener
	}
	limit, err := descriptors.SystemLimit()
	if err != nil {
		return err
	}
	n.descriptors = descriptors.NewGuard(limit, n.settings.Limits.MaxConnections)
	return nil
}

// newSession returns a unique ID that sorts after those of earlier sessions of the
// same node unless the node's clock went back.
func newSession() mesh.SessionID {
	var stamp [8]byte
	binary.BigEndian.PutUint64(stamp[:], uint64(time.Now().UnixMilli()))
	return mesh.SessionID(hexLower(stamp[2:]) + "-" + rand.Text()[:8])
}

func hexLower(b []byte) string {
	const digits = "0123456789abcdef"
	out := make([]byte, 0, 2*len(b))
	for _, v := range b {
		out = append(out, digits[v>>4], digits[v&15])
	}
	return string(out)
}

func callSettings(s settings.Node) callpath.Settings {
	c := callpath.DefaultSettings()
	c.QueueTimeout = s.Limits.QueueWait.Std()
	c.UploadThresholdBytes = int64(s.Limits.UploadSize)
	c.LocalAddr = localTCP(s.Listen.Call.Addr())
	return c
}

// Run serves until a stop signal, then drains and stops.
func (n *Node) Run(ctx context.Context) error {
	callServer := app.HTTPServer("nodes", n.listeners.call, n.calls.NodeHandler())
	callpath.ConfigureServer(callServer.Server.Server)
	callerServer := app.HTTPServer("callers", n.listeners.caller, n.callerHandler(), n.descriptors.Callers)
	callpath.ConfigureServer(callerServer.Server.Server)
	n.publishMetrics()
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.descriptors.Watch(watch, n.logger)
	n.logger.Info("started", "build", build.Current())
	return app.Run(ctx, app.Options{
		Name:   "heathercroft-node",
		Logger: n.logger,
		Servers: []transport.Server{
			n.loop,
			rpc.NewServer(n.listeners.rpc, peerHandler{n.loop}, n.counters),
			callServer,
			callerServer,
			app.HTTPServer("outbound", n.listeners.outbound, n.calls.OutboundHandler()),
			app.HTTPServer("admin", n.listeners.admin, n.adminHandler()),
		},
		GracePeriod: n.settings.Drain.Limit.Std() + stopTimeout,
		StopTimeout: stopTimeout,
		BeforeStop:  n.drain,
	})
}

// keyReleaseTimeout limits the wait for the release of key slots, which needs the platform.
const keyReleaseTimeout = 8 * time.Second

// mintPath is the path where callers request keys permanently owned by this node.
const mintPath = "/heathercroft/v1/keys"

// callerHandler serves calls, and minted keys on mintPath.
func (n *Node) callerHandler() http.Handler {
	calls, mint := n.calls.CallHandler(), callpath.MintHandler(n.loop.keys.mint)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == mintPath {
			mint.ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// stopTimeout limits the wait for peers that have not received their responses after the drain.
// New connections are refused meanwhile, which callers can't distinguish from a crash.
const stopTimeout = 5 * time.Second

// drain announces that the node leaves, refuses new requests and waits for those in
// flight.
func (n *Node) drain(ctx context.Context) error {
	n.loop.post(core.Leave{})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.settings.Drain.Limit.Std())
	defer cancel()
	if left := n.calls.Drain(ctx); left > 0 {
		n.logger.Warn("drain limit reached", "requests_left", left)
	}
	select {
	case <-n.loop.keys.released:
	case <-ctx.Done():
	case <-time.After(keyReleaseTimeout):
		n.logger.Warn("key slots were not released in time and remain owned until their leases expire")
	}
	return nil
}

func platformClient(s settings.Platform, local netip.Addr) *logclient.Client {
	dialer := net.Dialer{Timeout: s.AppendTimeout.Std(), LocalAddr: localTCP(local)}
	return logclient.New(s.URL.String(), &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePlatformConnections, IdleConnTimeout: platformIdleTimeout,
		MaxResponseHeaderBytes: maxPlatformHeaderBytes,
	}})
}

const (
	// maxIdlePlatformConnections and platformIdleTimeout limit the idle connections to
	// the platform: a reader uses one for its long poll and one for appends.
	maxIdlePlatformConnections = 2
	platformIdleTimeout        = 30 * time.Second
	// maxPlatformHeaderBytes limits the head of a response of the platform.
	maxPlatformHeaderBytes = 64 << 10
)

// localTCP binds outgoing connections to the node's own address.
func localTCP(addr netip.Addr) net.Addr {
	if !addr.IsValid() || addr.IsUnspecified() {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(addr, 0))
}
