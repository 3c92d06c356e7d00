package callpath_test

import (
	"context"
	"io"
	"log"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/callpath"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/routing"
	"heathercroft.example/heathercroft/pkg/state"
)

// testMesh is a set of nodes on loopback addresses with the same routing input.
type testMesh struct {
	t       testing.TB
	start   time.Time
	keys    callpath.Keys
	nodes   map[mesh.NodeID]*testNode
	tracker *routing.Tracker
}

// testNode is a node with its listeners and its target.
type testNode struct {
	*callpath.Node
	id     mesh.NodeID
	peer   *httptest.Server
	caller *httptest.Server
	out    *httptest.Server
	target atomic.Pointer[mesh.Target]
	table  atomic.Pointer[routing.Table]
	events *testEvents
	// call replaces the address of peer if it is set.
	call netip.AddrPort
}

type testEvents struct{ crashed chan []callpath.Fingerprint }

func (*testEvents) Ejected(mesh.NodeID, string, string) {}
func (e *testEvents) Crashed(f []callpath.Fingerprint)  { e.crashed <- f }
func (*testEvents) DrainStarted()                       {}
func (*testEvents) DrainEnded(int)                      {}
func newMesh(t testing.TB) *testMesh {
	return &testMesh{t: t, start: time.Now(), nodes: map[mesh.NodeID]*testNode{}, tracker: routing.NewTracker()}
}

// fastSettings returns short timeouts that still hold on a busy machine with the
// race detector.
func fastSettings() callpath.Settings {
	s := callpath.DefaultSettings()
	s.PingIdleTime, s.PingTimeout = 300*time.Millisecond, time.Second
	s.TargetStallTimeout = 1500 * time.Millisecond
	return s
}

// add starts a node; target is empty for a node without one.
func (m *testMesh) add(id mesh.NodeID, target string, s callpath.Settings) *testNode {
	n := &testNode{id: id, events: &testEvents{crashed: make(chan []callpath.Fingerprint, 16)}}
	if target != "" {
		n.target.Store(&mesh.Target{
			Service: "courier", Version: "v1", Address: netip.MustParseAddrPort(target), Slots: 12, Connections: 100, State: mesh.TargetServing,
		})
	}
	n.Node = callpath.New(callpath.Deps{
		Node: id, Zone: "casa-a", Table: n.table.Load, Keys: m.keys, Events: n.events,
		Target: func() (mesh.Target, bool) {
			if p := n.target.Load(); p != nil {
				return *p, true
			}
			return mesh.Target{}, false
		},
		Now:    func() time.Duration { return time.Since(m.start) + time.Hour },
		Logger: slog.New(slog.DiscardHandler),
	}, s)
	n.peer = serve(m.t, n.NodeHandler())
	n.caller = serve(m.t, n.CallHandler())
	n.out = serve(m.t, n.OutboundHandler())
	m.t.Cleanup(n.Close)
	m.nodes[id] = n
	m.publish()
	return n
}

// publish gives all nodes a table with the endpoints of all targets.
func (m *testMesh) publish() {
	in := routing.Input{
		Revision: 7, Zone: "casa-a",
		Services: map[string]state.Service{"courier": {Name: "courier", Versions: []string{"v1"}, Weights: map[string]record.BasisPoints{"v1": record.FullWeight}}},
		Routes:   map[string]state.Route{"courier": {Name: "courier", Prefix: "/courier", Service: "courier"}},
	}
	for _, n := range m.nodes {
		if t := n.target.Load(); t != nil {
			call := n.call
			if !call.IsValid() {
				call = addrOf(n.peer)
			}
			in.Endpoints = append(in.Endpoints, routing.FlaggedEndpoint{Endpoint: mesh.Endpoint{
				Node: n.id, Zone: "casa-a", CallAddress: call, Service: t.Service, Version: t.Version, Slots: t.Slots, StartedUnixMS: t.StartedUnixMS,
			}})
		}
	}
	for _, n := range m.nodes {
		n.table.Store(routing.Build(in, m.tracker, 0))
	}
}

func addrOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// serve starts a server for HTTP/1.1 and cleartext HTTP/2.
func serve(t testing.TB, h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetHTTP1(true)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	callpath.ConfigureServer(s.Config)
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// target starts an HTTP target and returns its address.
func target(t testing.TB, h http.HandlerFunc) string {
	return serve(t, h).Listener.Addr().String()
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (m *testMesh) do(n *testNode, method, path, body string, header ...string) reply {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(context.Background(), method, n.caller.URL+path, reader)
	require.NoError(m.t, err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return roundTrip(req)
}

func roundTrip(req *http.Request) reply {
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data), err}
}

// TestMain discards what net/http logs about unsolicited responses, which the
// tests provoke.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}
