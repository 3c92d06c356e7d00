package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
)

// stallingProxy forwards connections and can stall the open ones: they stay open and
// transfer nothing more, while new connections work.
type stallingProxy struct {
	net.Listener
	mu      sync.Mutex
	stalled []chan struct{}
	// congestedUntil is until when bytes are delayed, as on a congested link.
	congestedUntil time.Time
}

func newStallingProxy(t *testing.T, to string) *stallingProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &stallingProxy{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			stalled := make(chan struct{})
			s.mu.Lock()
			s.stalled = append(s.stalled, stalled)
			s.mu.Unlock()
			go s.forward(in, out, stalled)
			go s.forward(out, in, stalled)
		}
	}()
	return s
}

func (s *stallingProxy) forward(from, to net.Conn, stalled chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		k, err := from.Read(buffer)
		select {
		case <-stalled:
			if err != nil {
				return
			}
			continue
		default:
		}
		if err != nil {
			_ = to.Close()
			return
		}
		s.mu.Lock()
		busy := s.congestedUntil
		s.mu.Unlock()
		time.Sleep(time.Until(busy))
		if _, err := to.Write(buffer[:k]); err != nil {
			return
		}
	}
}

func (s *stallingProxy) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.stalled {
		close(m)
	}
	s.stalled = nil
}

// newMeshThroughProxy returns two nodes. The first reaches the second, which has the only
// target left, through a stallingProxy.
func newMeshThroughProxy(t *testing.T) ([]*testNode, *stallingProxy) {
	nodes := newMesh(t, 2)
	s := newStallingProxy(t, nodes[1].settings.Inbound.String())
	state := nodes[1].state()
	state.Number += 1000
	state.Announcement.Sequence += 1000
	state.Announcement.CallAddress = netip.MustParseAddrPort(s.Addr().String())
	nodes[0].Step(control.PeerStateReceived{State: state})
	nodes[0].Step(control.TargetLeaving{ID: nodes[0].target.id})
	return nodes, s
}

// Guards against requests that time out one after the other on an unresponsive connection
// between nodes: it is detected while requests are in flight, and the next ones use a new
// connection.
func TestUnresponsiveConnectionBetweenNodesIsReplaced(t *testing.T) {
	nodes, s := newMeshThroughProxy(t)
	status, _, _ := nodes[0].call(t, http.MethodGet, "/read/1", "a1")
	require.Equal(t, http.StatusOK, status)
	s.stall()
	began := time.Now()
	status, _, _ = nodes[0].call(t, http.MethodPost, "/write/1", "a2")
	require.Equal(t, http.StatusBadGateway, status, "the request may have run")
	require.Less(t, time.Since(began), probeIdleTime+probeTimeout+500*time.Millisecond)
	for i := range 3 {
		status, _, _ = nodes[0].call(t, http.MethodPost, "/write/1", fmt.Sprint("b", i))
		require.Equal(t, http.StatusOK, status)
	}
	require.EqualValues(t, 1, nodes[0].metrics.unresponsiveConns.Value())
}

// Guards against closing a working connection while uploads queue on a slow link. With a
// probe timeout of 0.76 s, a request was aborted during a planned stop that would have
// arrived 0.6 s later (load pattern "uploads beside searches", stops-under-load, seed
// 180946211800).
func TestCongestedLinkIsNotTakenForUnresponsive(t *testing.T) {
	nodes, s := newMeshThroughProxy(t)
	nodes[0].settings.LinkMbps = 10
	status, _, _ := nodes[0].call(t, http.MethodGet, "/read/1", "a1")
	require.Equal(t, http.StatusOK, status)
	s.mu.Lock()
	s.congestedUntil = time.Now().Add(1400 * time.Millisecond)
	s.mu.Unlock()
	status, _, body := nodes[0].call(t, http.MethodPost, "/write/1", "a2")
	require.Equal(t, http.StatusOK, status, body)
	require.Zero(t, nodes[0].metrics.unresponsiveConns.Value())
}

// Guards against giving up the work of a node that is only slow for a while, as one on a
// sixth of a core while a large configuration arrives: new connections do not respond
// either, so that the old ones are not to blame.
func TestWorkOfASlowNodeIsNotGivenUp(t *testing.T) {
	nodes, s := newMeshThroughProxy(t)
	status, _, _ := nodes[0].call(t, http.MethodGet, "/read/1", "a1")
	require.Equal(t, http.StatusOK, status)
	runs := nodes[1].target.runs.Load()
	s.mu.Lock()
	s.congestedUntil = time.Now().Add(1200 * time.Millisecond)
	s.mu.Unlock()
	status, _, body := nodes[0].call(t, http.MethodPost, "/write/1", "a2")
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, runs+1, nodes[1].target.runs.Load())
	require.Zero(t, nodes[0].metrics.unresponsiveConns.Value())
}

// Guards against closing a working connection because the target is slow.
func TestSlowTargetIsNotTakenForUnresponsive(t *testing.T) {
	nodes, _ := newMeshThroughProxy(t)
	nodes[1].target.serve(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(probeIdleTime + probeTimeout + 300*time.Millisecond)
		w.Header().Set("X-Signature", "x")
		_, _ = io.WriteString(w, "late")
	})
	status, _, body := nodes[0].call(t, http.MethodPost, "/write/1", "a1")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "late", body)
	require.Zero(t, nodes[0].metrics.unresponsiveConns.Value())
}

// Guards against losing one request on each idle connection to the local target after all
// of them became unresponsive: the first request that times out closes the others.
func TestUnresponsiveTargetConnectionsCostOneRequest(t *testing.T) {
	nodes := newMesh(t, 1)
	s := newStallingProxy(t, nodes[0].target.Listener.Addr().String())
	nodes[0].Node.target.address = s.Addr().String()
	hold := make(chan struct{})
	nodes[0].target.serve(func(w http.ResponseWriter, _ *http.Request) {
		<-hold
		w.Header().Set("X-Signature", "x")
		_, _ = io.WriteString(w, "ok")
	})
	statuses := make(chan int, 4)
	for i := range cap(statuses) {
		go func() {
			status, _, _ := nodes[0].call(t, http.MethodGet, "/read/1", fmt.Sprint("a", i))
			statuses <- status
		}()
	}
	require.Eventually(t, func() bool { return nodes[0].target.runs.Load() == 4 }, 5*time.Second, time.Millisecond)
	close(hold)
	for range cap(statuses) {
		require.Equal(t, http.StatusOK, <-statuses)
	}
	s.stall()
	lost := 0
	for i := range 5 {
		if status, _, _ := nodes[0].call(t, http.MethodGet, "/read/1", fmt.Sprint("b", i)); status != http.StatusOK {
			lost++
		}
	}
	require.Equal(t, 1, lost)
}
