package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/internal/descriptors"
	"heathercroft.example/heathercroft/pkg/published"
)

// countingTarget is a target that counts its open connections.
type countingTarget struct {
	open, most atomic.Int64
}

// countingListener counts the connections of a target.
type countingListener struct {
	net.Listener
	target *countingTarget
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	open := l.target.open.Add(1)
	for most := l.target.most.Load(); open > most && !l.target.most.CompareAndSwap(most, open); most = l.target.most.Load() {
	}
	return &countedConn{Conn: conn, target: l.target}, nil
}

type countedConn struct {
	net.Conn
	target *countingTarget
	once   sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.target.open.Add(-1) })
	return c.Conn.Close()
}

// startCountingTarget replaces the target of the node. It responds after 10 ms, with the
// given header field if there is one.
func startCountingTarget(t *testing.T, n *testNode, field, value string) *countingTarget {
	c := &countingTarget{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(10 * time.Millisecond)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signature", "s")
		if field != "" {
			w.Header().Set(field, value)
		}
	}))
	s.Listener = countingListener{s.Listener, c}
	s.Start()
	t.Cleanup(s.Close)
	n.Node.target.address = s.Listener.Addr().String()
	return c
}

// Guards against idle connections to the target that are neither used nor closed: requests
// that must run once use only one that was idle for a short time, and opened another each
// time. The node ran out of descriptors, and the target refused connections.
func TestIdleConnectionsToTheTargetAreBounded(t *testing.T) {
	const pause = maxIdleNonRetryable + 30*time.Millisecond
	for name, test := range map[string]struct {
		clients int
		// safe is set if other requests are sent between those that must run once.
		safe bool
	}{
		"evenly":              {1, false},
		"in bursts":           {4, false},
		"beside safe ones":    {1, true},
		"bursts and safe one": {4, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newMesh(t, 1)[0]
			target := startCountingTarget(t, n, "", "")
			for i := range 8 {
				var all sync.WaitGroup
				for j := range test.clients {
					all.Go(func() {
						status, _, body := n.call(t, http.MethodPost, "/write/x", fmt.Sprintf("w%d-%d", i, j))
						assert.Equal(t, http.StatusOK, status, body)
					})
				}
				all.Wait()
				if test.safe {
					time.Sleep(pause / 2)
					status, _, body := n.call(t, http.MethodGet, "/read/x", fmt.Sprintf("r%d", i))
					require.Equal(t, http.StatusOK, status, body)
				}
				time.Sleep(pause)
			}
			require.LessOrEqual(t, target.open.Load(), int64(test.clients))
			// The target may notice late that a connection was closed.
			require.LessOrEqual(t, target.most.Load(), int64(2*test.clients))
		})
	}
}

// Guards against more connections to the target than its service allows, which it refuses.
func TestConnectionsToTheTargetStayUnderItsLimit(t *testing.T) {
	const limit = 3
	n := newMesh(t, 1)[0]
	target := startCountingTarget(t, n, "", "")
	config := testConfig()
	config.Version = 2
	config.Services["shop"] = published.Service{Name: "shop", Connections: limit}
	require.NoError(t, config.Prepare())
	n.Step(control.ConfigPublished{Config: config})
	for i := range 3 {
		var all sync.WaitGroup
		for j := range 8 {
			all.Go(func() {
				status, _, body := n.call(t, http.MethodPost, "/write/x", fmt.Sprintf("w%d-%d", i, j))
				assert.Equal(t, http.StatusOK, status, body)
			})
		}
		all.Wait()
		time.Sleep(maxIdleNonRetryable + 30*time.Millisecond)
	}
	require.LessOrEqual(t, target.most.Load(), int64(limit))
}

// Guards against idle connections that are kept until the next request.
func TestIdleConnectionsToTheTargetExpire(t *testing.T) {
	n := newMesh(t, 1)[0]
	target := startCountingTarget(t, n, "Keep-Alive", "timeout=1")
	status, _, _ := n.call(t, http.MethodPost, "/write/x", "r1")
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 1, target.open.Load())
	require.Eventually(t, func() bool { return target.open.Load() == 0 }, 2*time.Second, 10*time.Millisecond)
}

// Guards against bytes without end behind a complete response that fill the buffers of an
// idle connection until the next request.
func TestEndlessBytesAfterAResponseCloseTheConnection(t *testing.T) {
	n := newMesh(t, 1)[0]
	ended := make(chan struct{}, 1)
	var once atomic.Bool
	n.target.serve(func(w http.ResponseWriter, r *http.Request) {
		if !once.CompareAndSwap(false, true) {
			w.Header().Set("X-Signature", "s")
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		w2 := bufio.NewWriter(conn)
		_, _ = io.WriteString(w2, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok")
		err = w2.Flush()
		time.Sleep(20 * time.Millisecond)
		for block := strings.Repeat("x", 32<<10); err == nil; {
			_, err = io.WriteString(conn, block)
		}
		ended <- struct{}{}
	})
	status, _, body := n.call(t, http.MethodPost, "/write/x", "r1")
	require.Equal(t, http.StatusOK, status, body)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection to the target must be closed")
	}
	status, _, body = n.call(t, http.MethodPost, "/write/x", "r2")
	require.Equal(t, http.StatusOK, status, body)
}

// Guards against connections to other nodes and of callers that are neither used nor closed.
func TestConnectionsBetweenNodesAndOfCallersAreReused(t *testing.T) {
	const clients, rounds = 8, 6
	n, other := newTestNode(t, 0), newTestNode(t, 1)
	inbound := &countingTarget{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(other.serveInbound))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.Config.Protocols = protocols
	s.Listener = countingListener{s.Listener, inbound}
	s.Start()
	t.Cleanup(s.Close)
	config := testConfig()
	require.NoError(t, config.Prepare())
	n.Step(control.ConfigPublished{Config: config})
	other.Step(control.ConfigPublished{Config: config})
	other.heartbeat(1, 1)
	state := other.state()
	state.Announcement.CallAddress = addressOf(t, s)
	n.Step(control.PeerStateReceived{State: state})
	before, err := descriptors.Open()
	require.NoError(t, err)
	first := int64(0)
	for i := range rounds {
		var all sync.WaitGroup
		for j := range clients {
			all.Go(func() {
				status, _, body := n.call(t, http.MethodPost, "/write/x", fmt.Sprintf("w%d-%d", i, j))
				assert.Equal(t, http.StatusOK, status, body)
			})
		}
		all.Wait()
		time.Sleep(maxIdleNonRetryable + 30*time.Millisecond)
		if i == 0 {
			first = inbound.open.Load()
		}
	}
	require.LessOrEqual(t, first, int64(clients))
	require.LessOrEqual(t, inbound.open.Load(), first)
	after, err := descriptors.Open()
	require.NoError(t, err)
	// Each request needs at most a connection of its caller, one between nodes and one to the
	// target, with both ends in this process.
	require.LessOrEqual(t, after-before, 2*3*clients)
	require.Eventually(t, func() bool { return inbound.open.Load() == 0 }, 2*peerIdleTimeout, 50*time.Millisecond, "idle connections between nodes expire")
}
