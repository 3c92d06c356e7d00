package callpath_test

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/callpath"
	"heathercroft.example/heathercroft/pkg/mesh"
)

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// Guards against refusals with a wrong outcome, code or status.
func TestRefusalOutcomeCodeAndStatus(t *testing.T) {
	refusing := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(callpath.HeaderOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	forging := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(callpath.HeaderOutcome, "not-run")
		w.Header().Set(callpath.HeaderReason, "queue-full")
		w.WriteHeader(http.StatusInternalServerError)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	drop := rawTarget(t, respondWith(""))
	for name, c := range map[string]struct {
		target, method, path string
		header               []string
		status               int
		outcome, reason      string
	}{
		"no route":            {target(t, ok), "GET", "/other", nil, 404, "not-run", "no-route"},
		"bad deadline":        {target(t, ok), "GET", "/courier", []string{callpath.HeaderDeadline, "soon"}, 400, "not-run", "bad-request"},
		"no time left":        {target(t, ok), "GET", "/courier", []string{callpath.HeaderDeadline, "0"}, 504, "not-run", "deadline"},
		"too deep":            {target(t, ok), "GET", "/courier", []string{callpath.HeaderDepth, "24"}, 508, "not-run", "depth-limit"},
		"large header":        {target(t, ok), "GET", "/courier", []string{"X-Large", strings.Repeat("x", 31<<10)}, 431, "not-run", "header-too-large"},
		"keyed without owner": {target(t, ok), "POST", "/courier", []string{callpath.HeaderKey, "k"}, 503, "not-run", "no-owner"},
		"target refuses":      {target(t, refusing), "POST", "/courier", nil, 503, "not-run", ""},
		"target sets reason":  {target(t, forging), "POST", "/courier", nil, 500, "", ""},
		"target is down":      {closed.Addr().String(), "POST", "/courier", nil, 503, "not-run", "unreachable"},
		"target drops POST":   {drop, "POST", "/courier", nil, 502, "may-have-run", "connection-lost"},
		"target drops GET":    {drop, "GET", "/courier", nil, 502, "may-have-run", "connection-lost"},
		"response not HTTP":   {rawTarget(t, respondWith("what\r\n\r\n")), "POST", "/courier", nil, 502, "may-have-run", "connection-lost"},
		"response unframed":   {rawTarget(t, respondWith("HTTP/1.1 200 OK\r\n\r\npart")), "POST", "/courier", nil, 502, "may-have-run", "bad-answer"},
		"body is missing":     {rawTarget(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")), "POST", "/courier", nil, 502, "may-have-run", "connection-lost"},
		"no response":         {rawTarget(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }), "POST", "/courier", nil, 504, "may-have-run", "silent-connection"},
		"deadline passes":     {rawTarget(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }), "POST", "/courier", []string{callpath.HeaderDeadline, "50"}, 504, "may-have-run", "deadline"},
	} {
		for _, entry := range []string{"node-a", "node-b"} {
			t.Run(name+" via "+entry, func(t *testing.T) {
				m := newMesh(t)
				m.add("node-a", "", fastSettings())
				m.add("node-b", c.target, fastSettings())
				got := m.do(m.nodes[mesh.NodeID(entry)], c.method, c.path, "", c.header...)
				require.NoError(t, got.err)
				require.Equal(t, c.status, got.status, got.body)
				require.Equal(t, c.outcome, got.header.Get(callpath.HeaderOutcome))
				require.Equal(t, c.reason, got.header.Get(callpath.HeaderReason))
				if c.reason != "" {
					require.Contains(t, got.body, fmt.Sprintf(`"code":%q`, c.reason))
					require.Contains(t, got.body, fmt.Sprintf(`"outcome":%q`, c.outcome))
				}
			})
		}
	}
}

// Guards against a truncated response that looks complete.
func TestTruncatedResponsesNeverLookComplete(t *testing.T) {
	for name, data := range map[string]string{
		"short length": "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\npart",
		"short chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"no end chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t)
			a := m.add("node-a", "", fastSettings())
			b := m.add("node-b", rawTarget(t, respondWith(data)), fastSettings())
			for _, entry := range []*testNode{a, b} {
				got := m.do(entry, "GET", "/courier", "")
				require.Error(t, got.err, got.body)
			}
		})
	}
}

// Guards against a short truncated response that leaves the caller with a reset
// connection, although the request could be retried or refused.
func TestTruncatedShortResponseIsRetriedOrRefused(t *testing.T) {
	const truncated = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart"
	const complete = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	for method, want := range map[string]string{"GET": "whole", "POST": "may-have-run"} {
		t.Run(method, func(t *testing.T) {
			var requests atomic.Int64
			target := rawTarget(t, func(c net.Conn) {
				response := truncated
				if requests.Add(1) > 1 {
					response = complete
				}
				respondWith(response)(c)
			})
			m := newMesh(t)
			a := m.add("node-a", "", fastSettings())
			m.add("node-b", target, fastSettings())
			got := m.do(a, method, "/courier", "")
			require.NoError(t, got.err)
			if method == "GET" {
				require.Equal(t, want, got.body)
				return
			}
			require.Equal(t, want, got.header.Get(callpath.HeaderOutcome))
			require.Equal(t, int64(1), requests.Load())
		})
	}
}

// Guards against a not-run refusal after an earlier attempt that may have run.
func TestLaterRefusalDoesNotHideEarlierAttempt(t *testing.T) {
	m := newMesh(t)
	var mu sync.Mutex
	calls := 0
	mixed := func(conn net.Conn) {
		mu.Lock()
		calls++
		first := calls == 1
		mu.Unlock()
		if first {
			respondWith("")(conn)
			return
		}
		respondWith("HTTP/1.1 503 Unavailable\r\nHeathercroft-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")(conn)
	}
	shared := rawTarget(t, mixed)
	a := m.add("node-a", "", fastSettings())
	m.add("node-b", shared, fastSettings())
	m.add("node-c", shared, fastSettings())
	got := m.do(a, "GET", "/courier", "")
	require.Equal(t, "may-have-run", got.header.Get(callpath.HeaderOutcome))
	require.Greater(t, calls, 1)
}

// Guards against a response that the target sends twice and whose second copy is
// delivered to another request.
func TestDuplicateResponsesReachNoOtherRequest(t *testing.T) {
	m := newMesh(t)
	twice := func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			response := responseFor(req.URL.Path)
			_, _ = io.WriteString(conn, response+response)
		}
	}
	a := m.add("node-a", "", fastSettings())
	m.add("node-b", rawTarget(t, twice), fastSettings())
	for i := range 200 {
		path := "/courier/" + strconv.Itoa(i)
		got := m.do(a, "GET", path, "")
		require.NoError(t, got.err)
		require.Equal(t, path, got.body)
	}
}

func responseFor(path string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
}

// Guards against a late response, after a timeout, that is delivered to the
// caller's next request.
func TestLateResponseReachesNoOtherRequest(t *testing.T) {
	m := newMesh(t)
	release := make(chan struct{})
	a := m.add("node-a", "", fastSettings())
	m.add("node-b", target(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/courier/slow" {
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}), fastSettings())
	got := m.do(a, "POST", "/courier/slow", "", callpath.HeaderDeadline, "30")
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	close(release)
	for range 20 {
		require.Equal(t, "/courier/next", m.do(a, "POST", "/courier/next", "").body)
	}
}

// Guards against responses that are swapped between concurrent calls on shared
// connections.
func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	m := newMesh(t)
	echo := target(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte(r.URL.Path+" "), data...))
	})
	s := fastSettings()
	s.QueueTimeout, s.TargetStallTimeout = 5*time.Second, 30*time.Second
	a := m.add("node-a", "", s)
	m.add("node-b", echo, s)
	m.add("node-c", echo, s)
	var wg sync.WaitGroup
	var wrong atomic.Pointer[reply]
	for i := range 16 {
		wg.Go(func() {
			for j := range 20 {
				path := fmt.Sprintf("/courier/%d-%d", i, j)
				if got := m.do(a, "POST", path, path); got.body != path+" "+path {
					wrong.Store(&got)
				}
			}
		})
	}
	wg.Wait()
	require.Nil(t, wrong.Load())
}

// Guards against a hanging node that blocks calls for longer than two pings.
func TestUnresponsiveNodeIsDetected(t *testing.T) {
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	b := m.add("node-b", target(t, ok), fastSettings())
	require.Equal(t, 200, m.do(a, "GET", "/courier", "").status)
	// A listener that accepts connections and sends nothing simulates a stopped
	// process.
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = unresponsive.Close() })
	b.call = netip.MustParseAddrPort(unresponsive.Addr().String())
	m.publish()
	started := time.Now()
	got := m.do(a, "POST", "/courier", "")
	require.Equal(t, "may-have-run", got.header.Get(callpath.HeaderOutcome), got.body)
	require.Less(t, time.Since(started), 4*time.Second)
}

// Guards against a drain that interrupts an upload or accepts new requests.
func TestUploadSurvivesDrain(t *testing.T) {
	m := newMesh(t)
	arrived := make(chan struct{})
	a := m.add("node-a", "", fastSettings())
	s := fastSettings()
	s.TargetStallTimeout = 5 * time.Second
	b := m.add("node-b", target(t, func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		n, err := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(w, "%d %v", n, err)
	}), s)
	reader, writer := io.Pipe()
	req, err := http.NewRequest("POST", a.caller.URL+"/courier", reader)
	require.NoError(t, err)
	result := make(chan reply, 1)
	go func() { result <- roundTrip(req) }()
	_, err = writer.Write([]byte("first"))
	require.NoError(t, err)
	<-arrived
	drained := make(chan int, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go func() { drained <- b.Drain(ctx) }()
	require.Eventually(t, func() bool {
		got := m.do(b, "GET", "/courier", "")
		return got.header.Get(callpath.HeaderReason) == "draining" && got.header.Get(callpath.HeaderOutcome) == "not-run"
	}, 2*time.Second, time.Millisecond)
	got := m.do(a, "POST", "/courier", "new")
	require.Equal(t, "not-run", got.header.Get(callpath.HeaderOutcome), got.body)
	require.Empty(t, drained)
	_, err = writer.Write([]byte("second"))
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	require.Equal(t, "11 <nil>", (<-result).body)
	require.Zero(t, <-drained)
}

// Guards against bodies that are buffered completely.
func TestLargeUploadNeedsLittleMemory(t *testing.T) {
	const size = 256 << 20
	const limit = 24 << 20
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	m.add("node-b", target(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	}), fastSettings())
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	peak := uint64(0)
	body := &zeros{left: size, every: 16 << 20, probe: func() {
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapInuse)
	}}
	req, err := http.NewRequest("POST", a.caller.URL+"/courier", body)
	require.NoError(t, err)
	req.ContentLength = size
	got := roundTrip(req)
	require.NoError(t, got.err)
	require.Equal(t, strconv.Itoa(size), got.body)
	t.Logf("heap in use: %d KiB before, %d KiB at most", before.HeapInuse>>10, peak>>10)
	require.Less(t, peak, before.HeapInuse+limit)
}

// zeros is a body of zero bytes that calls probe each time another every bytes
// were read.
type zeros struct {
	left, every, next int
	probe             func()
}

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), z.left)
	clear(p[:n])
	z.left -= n
	if z.next -= n; z.next <= 0 {
		z.next = z.every
		z.probe()
	}
	return n, nil
}

// Guards against work that continues after the caller has disconnected.
func TestCancellationReachesTheTarget(t *testing.T) {
	m := newMesh(t)
	begun, ended := make(chan struct{}), make(chan struct{})
	a := m.add("node-a", "", fastSettings())
	m.add("node-b", target(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(ended)
	}), fastSettings())
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "GET", a.caller.URL+"/courier", nil)
	require.NoError(t, err)
	go func() {
		<-begun
		cancel()
	}()
	require.Error(t, roundTrip(req).err)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the cancellation did not reach the target")
	}
}

// Guards against retries that multiply over nested calls: the innermost call of a
// chain of 24 always loses its connection.
func TestNestedRetriesStayBounded(t *testing.T) {
	m := newMesh(t)
	var leaf atomic.Int64
	var out func() string
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(callpath.HeaderDepth) == "24" {
			leaf.Add(1)
			panic(http.ErrAbortHandler)
		}
		req, err := http.NewRequestWithContext(r.Context(), "GET", out()+"/courier", nil)
		if err != nil {
			panic(err)
		}
		for _, name := range []string{callpath.HeaderDepth, callpath.HeaderAttempt} {
			req.Header.Set(name, r.Header.Get(name))
		}
		if got := roundTrip(req); got.err != nil || got.status != http.StatusOK {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "ok")
	}
	s := fastSettings()
	s.TargetStallTimeout, s.QueueTimeout = 5*time.Second, 5*time.Second
	address := target(t, handler)
	a := m.add("node-a", address, s)
	out = func() string { return a.out.URL }
	big := *a.target.Load()
	big.Slots, big.Connections = 200, 200
	a.target.Store(&big)
	m.publish()
	got := m.do(a, "GET", "/courier", "")
	require.Equal(t, "may-have-run", got.header.Get(callpath.HeaderOutcome), got.body)
	t.Logf("%d executions of the leaf", leaf.Load())
	require.LessOrEqual(t, leaf.Load(), int64(3+2*23))
}

// Guards against a request that repeatedly crashes targets.
func TestCrashingRequestIsRefused(t *testing.T) {
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	b := m.add("node-b", rawTarget(t, respondWith("")), fastSettings())
	for range callpath.CrashThreshold {
		require.Equal(t, "connection-lost", m.do(a, "POST", "/courier", "poison").header.Get(callpath.HeaderReason))
		b.TargetExpired()
		require.Len(t, <-b.events.crashed, 1)
	}
	require.Equal(t, "crashing-request", m.do(a, "POST", "/courier", "poison").header.Get(callpath.HeaderReason))
	require.Equal(t, "connection-lost", m.do(a, "POST", "/courier", "other").header.Get(callpath.HeaderReason))
}

// Guards against blocking requests that were merely in flight when a target
// crashed: an equal request was answered before, so it is not the cause.
func TestAnsweredRequestIsNotSuspectedOfCrash(t *testing.T) {
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	var crash atomic.Bool
	b := m.add("node-b", target(t, func(w http.ResponseWriter, _ *http.Request) {
		if crash.Load() {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "ok")
	}), fastSettings())
	for range callpath.CrashThreshold {
		crash.Store(false)
		require.Equal(t, http.StatusOK, m.do(a, "POST", "/courier", "common").status)
		crash.Store(true)
		for _, body := range []string{"common", "poison"} {
			require.Equal(t, "connection-lost", m.do(a, "POST", "/courier", body).header.Get(callpath.HeaderReason))
		}
		b.TargetExpired()
		require.Len(t, <-b.events.crashed, 1)
	}
	crash.Store(false)
	require.Equal(t, http.StatusOK, m.do(a, "POST", "/courier", "common").status)
	require.Equal(t, "crashing-request", m.do(a, "POST", "/courier", "poison").header.Get(callpath.HeaderReason))
}

// Guards against a request that crashes targets and is never refused, since harmless ones with the same
// first 4 KiB pass for it.
func TestRequestsThatDifferBehindTheirStartAreToldApart(t *testing.T) {
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	start := strings.Repeat("x", 6<<10)
	b := m.add("node-b", target(t, func(w http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err != nil || strings.HasSuffix(string(body), "poison") {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "ok")
	}), fastSettings())
	for range callpath.CrashThreshold {
		require.Equal(t, http.StatusOK, m.do(a, "POST", "/courier", start+"common").status)
		require.Equal(t, "connection-lost", m.do(a, "POST", "/courier", start+"poison").header.Get(callpath.HeaderReason))
		b.TargetExpired()
	}
	require.Equal(t, "crashing-request", m.do(a, "POST", "/courier", start+"poison").header.Get(callpath.HeaderReason))
	require.Equal(t, http.StatusOK, m.do(a, "POST", "/courier", start+"common").status)
}

// Guards against calls that are still sent to a target that refuses connections,
// until its announcement ends 3 s later.
func TestTargetThatRefusesConnectionsIsEjected(t *testing.T) {
	m := newMesh(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	a := m.add("node-a", "", fastSettings())
	m.add("node-b", closed.Addr().String(), fastSettings())
	m.add("node-c", target(t, ok), fastSettings())
	for range 50 {
		require.Equal(t, http.StatusOK, m.do(a, "POST", "/courier", "").status)
	}
	retries, err := strconv.Atoi(a.Metrics().Var().(*expvar.Map).Get("retries_total").String())
	require.NoError(t, err)
	require.LessOrEqual(t, retries, 2)
}

// Guards against an HTTP/1 connection that is closed unannounced after a response
// that was sent before the request body was read: the caller's next request on it
// would get no response.
func TestConnectionSurvivesUnreadBody(t *testing.T) {
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	var panics atomic.Int64
	a.caller.Config.ErrorLog = log.New(countingWriter{&panics}, "", 0)
	conn, err := net.Dial("tcp", a.caller.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for _, path := range []string{"/other", "/courier", "/other"} {
		_, err := io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 5\r\n\r\nhello")
		require.NoError(t, err)
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err, path)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.Equal(t, "not-run", resp.Header.Get(callpath.HeaderOutcome))
		require.False(t, resp.Close, path)
	}
	require.Zero(t, panics.Load())
}

// countingWriter counts writes to a server's error log.
type countingWriter struct{ count *atomic.Int64 }

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	w.count.Add(1)
	return len(p), nil
}

// Guards against a node that waits for a stalled caller before it reports that the
// target's connection was lost in the middle of an upload.
func TestLostTargetEndsAStalledUpload(t *testing.T) {
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	b := m.add("node-b", rawTarget(t, func(conn net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
	}), fastSettings())
	for _, entry := range []*testNode{a, b} {
		reader, writer := io.Pipe()
		req, err := http.NewRequest("POST", entry.caller.URL+"/courier", reader)
		require.NoError(t, err)
		go func() { _, _ = writer.Write([]byte("start")) }()
		got := roundTrip(req)
		require.NoError(t, got.err)
		require.Equal(t, "may-have-run", got.header.Get(callpath.HeaderOutcome), got.body)
		_ = writer.Close()
	}
}
