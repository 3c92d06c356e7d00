package sidecar

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/retry"
)

// Guards the whole path: the response of a target must reach the caller unchanged.
func TestResponseReachesTheCallerUnchanged(t *testing.T) {
	nodes := newMesh(t, 2)
	nodes[0].Step(control.TargetLeaving{ID: "target-0"})
	status, header, body := nodes[0].call(t, http.MethodGet, "/read/x?y=1", "r1")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "answer of target-1", body)
	require.Equal(t, "by target-1", header.Get("X-Signature"))
	require.Equal(t, "r1", header.Get("X-Id"))
	require.Zero(t, nodes[0].target.runs.Load(), "a target that left must not get a request")
}

// hijack responds with raw bytes and then closes the connection if closes is set.
func hijack(t *testing.T, raw string, closes bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		require.NoError(t, err)
		_, _ = io.WriteString(conn, raw)
		if closes {
			_ = conn.Close()
		}
	}
}

// Guards against delivering what is not the target's complete response to this request.
func TestInvalidResponsesAreNotDelivered(t *testing.T) {
	for name, raw := range map[string]string{
		"truncated":      "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 100\r\n\r\nshort",
		"unsigned":       "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok",
		"no response":    "\x00\x01garbage of %s\r\n\r\n",
		"id of no one":   "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok",
		"another's only": "HTTP/1.1 200 OK\r\nX-Id: other-%s\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			n := newMesh(t, 1)[0]
			n.target.serve(func(w http.ResponseWriter, r *http.Request) {
				text := raw
				if name != "id of no one" {
					text = fmt.Sprintf(raw, r.Header.Get("X-Id"))
				}
				hijack(t, text, true)(w, r)
			})
			status, _, body := n.call(t, http.MethodPost, "/write/x", "r1")
			require.Equal(t, http.StatusBadGateway, status, body)
			require.EqualValues(t, 1, n.target.runs.Load(), "a request that may have run must not run again")
		})
	}
}

// Guards against a late second response being taken for the response to the next request.
func TestResponseToAnEarlierRequestIsSkipped(t *testing.T) {
	n := newMesh(t, 1)[0]
	n.target.serve(func(w http.ResponseWriter, r *http.Request) {
		hijack(t, "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nold"+
			"HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nnew", true)(w, r)
	})
	status, _, body := n.call(t, http.MethodPost, "/write/x", "r1")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "new", body)
}

// Guards the meaning of a refusal: a request that a target reports as not run is sent to
// another target or refused as not run.
func TestRefusalOfTheTargetIsNotRun(t *testing.T) {
	nodes := newMesh(t, 2)
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	nodes[0].target.serve(refuse)
	nodes[1].target.serve(refuse)
	status, header, _ := nodes[0].call(t, http.MethodPost, "/write/x", "r1")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Empty(t, header.Get("X-Signature"))
}

// Guards at-most-once execution: if the connection is lost after the request was sent, the
// request may have run. Only requests of safe routes are sent again.
func TestLostResponseIsRetriedOnlyOnSafeRoutes(t *testing.T) {
	nodes := newMesh(t, 2)
	for _, n := range nodes {
		n.target.serve(hijack(t, "", true))
	}
	status, _, _ := nodes[0].call(t, http.MethodPost, "/write/x", "r1")
	require.Equal(t, http.StatusBadGateway, status)
	require.EqualValues(t, 1, nodes[0].target.runs.Load()+nodes[1].target.runs.Load())
	status, _, _ = nodes[0].call(t, http.MethodGet, "/read/x", "r2")
	require.Equal(t, http.StatusBadGateway, status)
	require.EqualValues(t, 3, nodes[0].target.runs.Load()+nodes[1].target.runs.Load())
}

// Guards against work for callers that left: the connection to the target must be closed.
func TestWorkEndsWhenTheCallerLeaves(t *testing.T) {
	nodes := newMesh(t, 2)
	nodes[0].Step(control.TargetLeaving{ID: "target-0"})
	began, ended := make(chan struct{}), make(chan struct{})
	nodes[1].target.serve(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	conn, err := net.Dial("tcp", nodes[0].outbound.Listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET /read/x HTTP/1.1\r\nHost: shop.test\r\nX-Id: r1\r\nX-Left: 2000\r\n\r\n")
	require.NoError(t, err)
	<-began
	require.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the target still works half a second after the caller left")
	}
}

// Guards against losing requests in transit during a planned stop: idle connections stay
// open until the node no longer forwards requests, and after that none is forwarded.
func TestStopKeepsIdleConnectionsAndForwardsNothingAfterwards(t *testing.T) {
	n := newMesh(t, 1)[0]
	conn, err := net.Dial("tcp", n.outbound.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	send := func(id string) (*http.Response, error) {
		_, err := io.WriteString(conn, "GET /read/x HTTP/1.1\r\nHost: shop.test\r\nX-Id: "+id+"\r\nX-Left: 2000\r\n\r\n")
		require.NoError(t, err)
		return http.ReadResponse(reader, nil)
	}
	resp, err := send("r1")
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, n.drain(t.Context()))
	runs := n.target.runs.Load()
	resp, err = send("r2")
	require.NoError(t, err, "a request that was read is answered")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.True(t, resp.Close)
	require.Equal(t, runs, n.target.runs.Load(), "a closed node must not pass a request on")
}

// Guards against accepting a request late in a stop and aborting it at the end: from half
// of the grace period on, new requests are refused as not run.
func TestStoppingNodeRefusesNewRequestsInTime(t *testing.T) {
	n := newMesh(t, 1)[0]
	slow := make(chan struct{})
	n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
		<-slow
		w.Header().Set("X-Signature", "s")
	})
	first := make(chan int, 1)
	go func() {
		status, _, _ := n.call(t, http.MethodGet, "/read/slow", "r1")
		first <- status
	}()
	require.Eventually(t, func() bool { return n.target.runs.Load() == 1 }, time.Second, time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- n.drain(t.Context()) }()
	require.Eventually(t, n.refusing.Load, 3*time.Second, 10*time.Millisecond)
	require.NoError(t, n.callsCtx.Err(), "the request in progress may end")
	status, header, _ := n.call(t, http.MethodGet, "/read/x", "r2")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.EqualValues(t, 1, n.target.runs.Load())
	close(slow)
	require.Equal(t, http.StatusOK, <-first)
	require.NoError(t, <-drained)
}

// Guards against responses with 404 by a node that has no configuration yet.
func TestNodeWithoutConfigurationRefusesAsNotRun(t *testing.T) {
	n := newTestNode(t, 0)
	status, header, _ := n.call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
}

// Guards against request smuggling: a target gets one request for each request of the
// caller.
func TestChunkedBodyIsReframed(t *testing.T) {
	n := newMesh(t, 1)[0]
	inside := "GET /read/smuggled HTTP/1.1\r\nHost: shop.test\r\nX-Id: evil\r\n\r\n"
	got := make(chan string, 2)
	n.target.serve(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		got <- r.Method + string(data)
		w.Header().Set("X-Signature", "s")
	})
	conn, err := net.Dial("tcp", n.outbound.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /write/x HTTP/1.1\r\nHost: shop.test\r\nX-Id: r1\r\nX-Left: 2000\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inside), inside)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "POST"+inside, <-got)
	require.EqualValues(t, 1, n.target.runs.Load())
}

// Guards against a request that crashes each target that runs it: it is refused as not run
// after two targets crashed, and other requests are still served.
func TestCrashingRequestIsContained(t *testing.T) {
	nodes := newMesh(t, 3)
	for _, n := range nodes {
		n.target.serve(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/read/poison" {
				n.target.Listener.Close()
				hijack(t, "", true)(w, r)
				return
			}
			w.Header().Set("X-Signature", "s")
		})
	}
	runs := func() (total int64) {
		for _, n := range nodes {
			total += n.target.runs.Load()
		}
		return total
	}
	nodes[0].call(t, http.MethodGet, "/read/poison", "r1")
	require.EqualValues(t, 2, runs(), "two attempts")
	// The next requests find that the targets no longer listen.
	for i := range 6 {
		nodes[i%3].call(t, http.MethodGet, "/read/fine", fmt.Sprint("f", i))
	}
	require.Eventually(t, func() bool { return len(nodes[2].view.Load().CrashingRequests) == 1 }, 2*time.Second, 10*time.Millisecond)
	before := runs()
	status, _, body := nodes[2].call(t, http.MethodGet, "/read/poison", "r2")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, "crashing-request")
	require.Equal(t, before, runs())
}

// Guards the status of a request that waited in the queue until its deadline: it did not
// run, and the caller is told so and may send it again.
func TestRequestThatOnlyWaitedIsRefusedAsNotRun(t *testing.T) {
	nodes := newMesh(t, 2)
	nodes[0].Step(control.TargetLeaving{ID: "target-0"})
	hold := make(chan struct{})
	defer close(hold)
	nodes[1].target.serve(func(http.ResponseWriter, *http.Request) { <-hold })
	for range 4 {
		release, _, no := nodes[1].gate.acquire(t.Context(), admission.Request{Rank: 0})
		require.Nil(t, no)
		defer release(false)
	}
	status, _, body := nodes[0].call(t, http.MethodPost, "/write/x", "r1")
	require.Equal(t, http.StatusServiceUnavailable, status, body)
	require.Zero(t, nodes[1].target.runs.Load())
}

// Guards the status of a request that may be running when its deadline passes.
func TestRequestThatRanTooLongIsATimeout(t *testing.T) {
	nodes := newMesh(t, 2)
	nodes[0].Step(control.TargetLeaving{ID: "target-0"})
	nodes[1].target.serve(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	status, _, body := nodes[0].call(t, http.MethodPost, "/write/x", "r1")
	require.Equal(t, http.StatusGatewayTimeout, status, body)
}

// Guards against taking a request whose body was truncated between nodes for one that may
// have run: the node of the target reports that nothing ran.
func TestBodyThatBreaksOffBetweenNodesIsNotRun(t *testing.T) {
	nodes := newMesh(t, 2)
	text, err := json.Marshal(hopRequest{ID: "a1", URI: "/write/1", Target: nodes[1].target.id, Service: "shop", Route: "write", TimeLeftMS: 100, SoftTimeLeftMS: 100})
	require.NoError(t, err)
	body, writer := io.Pipe()
	t.Cleanup(func() { _ = writer.Close() })
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+nodes[1].settings.Inbound.String()+hopPath, body)
	require.NoError(t, err)
	req.Header.Set(hopHeader, string(text))
	resp, err := (&http.Transport{}).RoundTrip(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	res, err := readHopReply(resp.Header)
	require.NoError(t, err)
	require.Equal(t, retry.RefusedByNode, res.outcome)
	require.Equal(t, "body-unread", res.reason)
	require.Zero(t, nodes[1].target.runs.Load())
}

// Guards against deadlines that are no numbers, or numbers that overflow and end the request
// at once.
func TestDeadlineOfTheCallerIsChecked(t *testing.T) {
	n := newMesh(t, 1)[0]
	for text, want := range map[string]int{
		"100": http.StatusOK, "1e300": http.StatusOK, "Inf": http.StatusOK, "NaN": http.StatusBadRequest, "-1": http.StatusBadRequest, "soon": http.StatusBadRequest,
	} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.outbound.URL+"/read/x", nil)
		require.NoError(t, err)
		req.Host = "shop.test"
		req.Header.Set("X-Id", "r1")
		req.Header.Set("X-Left", text)
		resp, err := n.outbound.Client().Do(req)
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.Equal(t, want, resp.StatusCode, text)
	}
}
