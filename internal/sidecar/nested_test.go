package sidecar

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
)

// serveWithCall makes the target call the mesh while it serves a request of the write
// route, and fail if the call fails. Calls are refused without running if shed is set.
func serveWithCall(t *testing.T, n *testNode, shed bool) {
	n.target.serve(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/call" {
			if shed {
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("X-Signature", "s")
			return
		}
		id := r.Header.Get("X-Id")
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.outbound.URL+"/read/call", nil)
		if err != nil {
			t.Error(err)
			return
		}
		req.Host = "shop.test"
		req.Header.Set("X-Id", id+"/1")
		req.Header.Set("X-Left", "1000")
		resp, err := n.outbound.Client().Do(req)
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		w.Header().Set("X-Signature", "s")
		if resp.StatusCode != http.StatusOK {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
}

// Guards against spending the retry budget of a service that sheds on requests whose calls
// to it failed (load pattern "targets that shed behind requests"): each of them would call
// it again, and these calls are retries too.
func TestRequestWhoseCallFailedIsNotSentAgain(t *testing.T) {
	nodes := newMesh(t, 2)
	for _, n := range nodes {
		serveWithCall(t, n, true)
	}
	status, _, _ := nodes[0].call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusInternalServerError, status, "the response of the target is delivered")
	budget := nodes[0].retryBudget("shop")
	require.True(t, budget.HasRoom(nodes[0].clock.now(), 0, 1, 0), "at most the call itself was sent again")
	// The target is not to blame for it.
	nodes[0].balanceMu.Lock()
	defer nodes[0].balanceMu.Unlock()
	require.Less(t, nodes[0].health.FailureRate(nodes[0].clock.now()), 0.5)
}

// Guards against retries whose calls exceed the retry budget of the called service: the
// node of the target refuses them before they run.
func TestRetryWithoutRoomForItsCallsDoesNotRun(t *testing.T) {
	nodes := newMesh(t, 2)
	nodes[0].Step(control.TargetLeaving{ID: "target-0"})
	serveWithCall(t, nodes[1], false)
	status, _, _ := nodes[0].call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, map[string]float64{"shop": 0.5}, nodes[1].nestedCalls.perRun("read"), "the call is a run of the same route")
	require.True(t, nodes[1].hasRoomForCalls("read"))
	for range 100 {
		nodes[1].retryBudget("shop").RecordRetry(nodes[1].clock.now())
	}
	require.False(t, nodes[1].hasRoomForCalls("read"))
	res := nodes[1].runLocal(t.Context(), hopRequest{ID: "r2", Route: "read", Target: "target-1", Service: "shop", IsRetry: true, TimeLeftMS: 100}, nil)
	require.Equal(t, reasonRetryBudget, res.reason)
	require.True(t, res.outcome.NotRun())
	// Once the retries have left the window, there is room again.
	require.Eventually(t, func() bool {
		return nodes[1].retryBudget("shop").HasRoom(nodes[1].clock.now()+3*nodes[1].settings.RetryWindow, 0.1, 1, 1)
	}, time.Second, time.Millisecond)
}

// Guards against counting failures against a target, and so against its version, that a call of it
// explains: one that its node refused before it had a target, or one without a response yet.
func TestFailureAfterACallIsNotTheTargetsOwn(t *testing.T) {
	for name, call := range map[string]struct {
		host   string
		status int
		wait   time.Duration
	}{
		"refused by the node": {"unknown.test", http.StatusInternalServerError, time.Second},
		"pending":             {"shop.test", http.StatusGatewayTimeout, 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			nodes := newMesh(t, 1)
			n := nodes[0]
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			n.target.serve(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Signature", "s")
				if r.URL.Path == "/read/call" {
					<-release
					return
				}
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.outbound.URL+"/read/call", nil)
				if err != nil {
					t.Error(err)
					return
				}
				req.Host = call.host
				req.Header.Set("X-Id", r.Header.Get("X-Id")+"/1")
				req.Header.Set("X-Left", "1000")
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					if resp, err := n.outbound.Client().Do(req); err == nil {
						_ = resp.Body.Close()
					}
				}()
				select {
				case <-ended:
				case <-time.After(call.wait):
				}
				w.WriteHeader(call.status)
			})
			for i := range 4 {
				status, _, _ := n.call(t, http.MethodGet, "/read/x", "r"+strconv.Itoa(i))
				require.Equal(t, call.status, status)
			}
			n.balanceMu.Lock()
			defer n.balanceMu.Unlock()
			require.Zero(t, n.health.FailureRate(n.clock.now()))
		})
	}
}
