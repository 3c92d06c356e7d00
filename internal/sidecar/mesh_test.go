package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/internal/pipeline"
	"heathercroft.example/heathercroft/internal/rpc"
	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/logpos"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

// testingT is implemented by tests and by checks of a property.
type testingT interface {
	require.TestingT
	Cleanup(func())
}

// testHeaders uses header names that differ from those of any deployment.
var testHeaders = Headers{
	RequestID: "X-Id", TimeLeft: "X-Left", Target: "X-Target", CallerService: "X-Caller",
	Signature: "X-Signature", NotRun: "X-Not-Run", RateLimit: "X-Limit", Leaving: "X-Leaving", Load: "X-Load", ColdRemaining: "X-Cold",
	APIKey: "X-Key", Organisation: "X-Organisation",
	ParentID: func(id string) string {
		if before, _, found := strings.Cut(id, "/"); found {
			return before
		}
		return ""
	},
}

// fakeStore is always empty and discards writes.
type fakeStore struct{}

func (fakeStore) Snapshot(context.Context, control.Feed) ([]control.Event, logpos.Position, error) {
	return nil, logpos.Position{}, nil
}

func (fakeStore) Follow(ctx context.Context, _ control.Feed, from logpos.Position, _ time.Duration) ([]control.Event, logpos.Position, error) {
	<-ctx.Done()
	return nil, from, ctx.Err()
}

func (fakeStore) End(_ context.Context, _ control.Feed, from logpos.Position) (logpos.Position, error) {
	return from, nil
}

func (fakeStore) Reconnect()                                                         {}
func (fakeStore) Announce(context.Context, directory.Announcement) error             { return nil }
func (fakeStore) Withdraw(context.Context, mesh.NodeID) error                        { return nil }
func (fakeStore) RemoveStopped(context.Context, mesh.NodeID, logpos.Position) error  { return nil }
func (fakeStore) RecordMove(context.Context, canary.Move, logpos.Position) error     { return nil }
func (fakeStore) WriteStatus(context.Context, control.Status, logpos.Position) error { return nil }

// nonBlockingStore responds to each long poll at once without records.
type nonBlockingStore struct {
	fakeStore
	reads atomic.Int64
}

func (s *nonBlockingStore) Follow(_ context.Context, _ control.Feed, from logpos.Position, _ time.Duration) ([]control.Event, logpos.Position, error) {
	s.reads.Add(1)
	return nil, from, nil
}

func (s *nonBlockingStore) End(_ context.Context, _ control.Feed, from logpos.Position) (logpos.Position, error) {
	s.reads.Add(1)
	return from, nil
}

// Guards against a busy loop of reads if the store does not support long polls.
func TestStoreThatRespondsAtOnceIsNotPolledInALoop(t *testing.T) {
	n := newTestNode(t, 0)
	store := &nonBlockingStore{}
	n.store = store
	n.Step(control.Tick{})
	go n.follow(control.OperatorFeed)
	time.Sleep(4 * minPollInterval)
	n.cancel()
	require.Positive(t, store.reads.Load())
	require.LessOrEqual(t, store.reads.Load(), int64(5))
}

// recoveringStore fails until recovered is set.
type recoveringStore struct {
	fakeStore
	recovered atomic.Bool
}

func (s *recoveringStore) End(ctx context.Context, f control.Feed, from logpos.Position) (logpos.Position, error) {
	_, end, err := s.Follow(ctx, f, from, 0)
	return end, err
}

func (s *recoveringStore) Follow(_ context.Context, _ control.Feed, from logpos.Position, _ time.Duration) ([]control.Event, logpos.Position, error) {
	if !s.recovered.Load() {
		return nil, from, fmt.Errorf("rejected")
	}
	return nil, from, nil
}

// Guards against a node that never learns that the store is available to it again after
// its reads failed, because other nodes read in its place meanwhile: it could never become
// a reader again.
func TestNodeLearnsThatTheStoreServesItAgain(t *testing.T) {
	n := newTestNode(t, 0)
	store := &recoveringStore{}
	n.store = store
	n.Step(control.Tick{})
	go n.follow(control.OperatorFeed)
	require.Eventually(t, func() bool { return n.state().StoreLost }, 5*time.Second, 5*time.Millisecond)
	n.view.Store(&control.View{})
	store.recovered.Store(true)
	require.Eventually(t, func() bool { return !n.state().StoreLost }, 5*time.Second, 5*time.Millisecond)
	n.cancel()
}

// fakeTarget is a target whose handler a test can replace.
type fakeTarget struct {
	*httptest.Server
	listener *divertingListener
	id       string
	runs     atomic.Int64
	mu       sync.Mutex
	handler  http.HandlerFunc
}

func newFakeTarget(t testingT, id string) *fakeTarget {
	f := &fakeTarget{id: id}
	f.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.runs.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		f.mu.Lock()
		h := f.handler
		f.mu.Unlock()
		if h != nil {
			h(w, r)
			return
		}
		w.Header().Set("X-Signature", "by "+id)
		_, _ = io.WriteString(w, "answer of "+id)
	}))
	f.listener = &divertingListener{Listener: f.Server.Listener}
	f.Server.Listener = f.listener
	f.Start()
	t.Cleanup(f.Close)
	return f
}

func (f *fakeTarget) serve(h http.HandlerFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handler = h
}

// testNode is a node with its outbound listener and its target.
type testNode struct {
	*Node
	target   *fakeTarget
	outbound *httptest.Server
	// serving is the process that the listeners of the node belong to.
	serving *atomic.Pointer[Node]
	// stopRPC closes the listener for other nodes and its connections.
	stopRPC func()
	// onInbound is called with the header of each request from another node, if it is set.
	onInbound *atomic.Pointer[func(http.Header)]
}

// HandleRPC implements rpc.Handler with the current process of the node.
func (n *testNode) HandleRPC(ctx context.Context, method string, params json.RawMessage) (any, error) {
	return peerHandler{n.serving.Load()}.HandleRPC(ctx, method, params)
}

// restart replaces the process of the node. The new one knows the configuration, its target
// and the other nodes, and nothing else of before.
func (n *testNode) restart(t *testing.T, others ...*testNode) {
	before := n.Node
	n.Node = New(before.settings, testHeaders, fakeStore{}, before.logger)
	t.Cleanup(n.Node.cancel)
	before.cancel()
	n.Step(control.ConfigPublished{Config: before.view.Load().Config})
	n.Step(control.FeedCaughtUp{Feed: control.MeshFeed})
	n.heartbeat(1, 2)
	for _, o := range others {
		n.Step(control.PeerStateReceived{State: o.state()})
	}
	n.serving.Store(n.Node)
	for _, o := range others {
		o.Step(control.PeerStateReceived{State: n.state()})
	}
}

// heartbeat delivers a heartbeat of the target process that started at the time.
func (n *testNode) heartbeat(startUnixMS int64, sequence uint64) {
	n.Step(control.HeartbeatReceived{Heartbeat: directory.Heartbeat{
		ID: n.target.id, Address: n.settings.Target.String(), Service: "shop", Version: "v1", Slots: 4, Sequence: sequence, StartUnixMS: startUnixMS,
	}})
}

func listen(t testingT, handler http.Handler) *httptest.Server {
	return listenWith(t, handler, maxHeaderBytes)
}

// listenWith serves with a limit on the header of a request in bytes.
func listenWith(t testingT, handler http.Handler, headerBytes int) *httptest.Server {
	s := httptest.NewUnstartedServer(handler)
	s.Config.MaxHeaderBytes = headerBytes
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.Config.Protocols = protocols
	s.Listener, s.Config.ConnContext = pipeline.Listen(s.Listener), pipeline.ConnContext
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func addressOf(t testingT, s *httptest.Server) netip.AddrPort {
	a, err := netip.ParseAddrPort(s.Listener.Addr().String())
	require.NoError(t, err)
	return a
}

// newMesh starts nodes of the service "shop" that know each other and the configuration.
func newMesh(t testingT, count int) []*testNode {
	return newMeshWith(t, count, slog.New(slog.DiscardHandler), func(int) mesh.AvailabilityZone { return "a" })
}

// newLoggingMesh is newMesh with the logger of the nodes.
func newLoggingMesh(t testingT, count int, logger *slog.Logger) []*testNode {
	return newMeshWith(t, count, logger, func(int) mesh.AvailabilityZone { return "a" })
}

// newMeshIn is newMesh with the zones of the nodes.
func newMeshIn(t testingT, count int, zoneOf func(i int) mesh.AvailabilityZone) []*testNode {
	return newMeshWith(t, count, slog.New(slog.DiscardHandler), zoneOf)
}

func newMeshWith(t testingT, count int, logger *slog.Logger, zoneOf func(i int) mesh.AvailabilityZone) []*testNode {
	nodes := make([]*testNode, count)
	for i := range nodes {
		nodes[i] = newTestNodeWith(t, i, logger, zoneOf(i))
	}
	config := testConfig()
	require.NoError(t, config.Prepare())
	for i, n := range nodes {
		n.Step(control.ConfigPublished{Config: config})
		n.heartbeat(1, 1)
		for j, other := range nodes {
			if i != j {
				other.Step(control.PeerStateReceived{State: n.state()})
			}
		}
	}
	return nodes
}

func testConfig() *published.Config {
	return &published.Config{
		Version:  1,
		Services: map[string]published.Service{"shop": {Name: "shop"}},
		Routes: []published.Route{
			{
				Name: "read", Host: "shop.test", Prefix: "/read/", Kind: published.Safe, Timeout: 2 * time.Second,
				Objective: time.Second, MaxAttempts: 2, WeightedServices: []published.WeightedService{{Service: "shop", Weight: 1}},
			},
			{
				Name: "write", Host: "shop.test", Prefix: "/write/", Kind: published.NonIdempotent, Timeout: 2 * time.Second,
				Objective: time.Second, MaxAttempts: 2, WeightedServices: []published.WeightedService{{Service: "shop", Weight: 1}},
			},
		},
		Limits: published.Limits{BodyBytes: 1 << 20},
	}
}

func newTestNode(t testingT, i int) *testNode {
	return newTestNodeWith(t, i, slog.New(slog.DiscardHandler), "a")
}

func newTestNodeWith(t testingT, i int, logger *slog.Logger, zone mesh.AvailabilityZone) *testNode {
	target := newFakeTarget(t, fmt.Sprintf("target-%d", i))
	serving := &atomic.Pointer[Node]{}
	onInbound := &atomic.Pointer[func(http.Header)]{}
	inbound := listenWith(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f := onInbound.Load(); f != nil {
			(*f)(r.Header)
		}
		serving.Load().serveInbound(w, r)
	}), maxHopHeaderBytes)
	outbound := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serving.Load().outboundHandler(nil).ServeHTTP(w, r)
	}))
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n := New(Settings{
		Node: mesh.NodeID(fmt.Sprintf("node-%d", i)), Zone: zone, Target: addressOf(t, target.Server), Service: "shop",
		Inbound: addressOf(t, inbound), Outbound: addressOf(t, outbound),
		Peers:             netip.MustParseAddrPort(peers.Addr().String()),
		HeartbeatInterval: time.Minute, GracePeriod: 3 * time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
	}, testHeaders, fakeStore{}, logger)
	// The node has read the empty store.
	n.Step(control.FeedCaughtUp{Feed: control.MeshFeed})
	n.Step(control.FeedCaughtUp{Feed: control.OperatorFeed})
	serving.Store(n)
	node := &testNode{Node: n, target: target, outbound: outbound, serving: serving, onInbound: onInbound}
	server := rpc.NewServer(peers, node, n.counters)
	go func() { _ = server.Start(context.Background()) }()
	node.stopRPC = func() { _ = server.Stop(context.Background()) }
	t.Cleanup(func() {
		_ = server.Stop(context.Background())
		n.cancel()
		n.rpc.Close()
		n.peers.CloseIdleConnections()
	})
	return node
}

// call sends a request to the node's outbound listener.
func (n *testNode) call(t *testing.T, method, path, id string) (status int, header http.Header, body string) {
	req, err := http.NewRequestWithContext(t.Context(), method, n.outbound.URL+path, nil)
	require.NoError(t, err)
	req.Host = "shop.test"
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Left", "2000")
	resp, err := n.outbound.Client().Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, resp.Header, string(data)
}
