package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/content"
	"heathercroft.example/heathercroft/internal/settings"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// limit is far longer than any test, so that a request that is not released shows as a hang.
const limit = time.Minute

// fixture is a target with a fake node.
type fixture struct {
	*Server
	url string

	mu        sync.Mutex
	announced []mesh.Target
	outbound  []*http.Request
}

func start(t *testing.T, change func(*Settings)) *fixture {
	t.Helper()
	f := new(fixture)
	node := httptest.NewServer(http.HandlerFunc(f.serveNode))
	t.Cleanup(node.Close)
	s := DefaultSettings()
	s.Name, s.Zone, s.Service, s.Version = "t1", "a", "finder", "v1"
	s.AnnounceURL = node.URL
	s.ServiceTime, s.ProbeCost, s.ConnectionCost = ServiceTime{}, 0, 0
	if change != nil {
		change(s)
	}
	require.NoError(t, s.Validate())
	f.Server = New(s, netip.MustParseAddrPort("127.0.0.1:1"), slog.New(slog.DiscardHandler))
	web := httptest.NewUnstartedServer(f.Server)
	web.Config.ConnContext, web.Config.ConnState = f.ConnContext, f.ConnState
	web.Start()
	t.Cleanup(web.Close)
	t.Cleanup(f.Close)
	f.url = web.URL
	return f
}

func (f *fixture) serveNode(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path != announcePath {
		f.outbound = append(f.outbound, r)
		return
	}
	var announced mesh.Target
	if err := json.NewDecoder(r.Body).Decode(&announced); err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
	f.announced = append(f.announced, announced)
}

func (f *fixture) request(t *testing.T, ctx context.Context, path string, header map[string]string, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path, strings.NewReader(body))
	require.NoError(t, err)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return req
}

func (f *fixture) call(t *testing.T, path string, header map[string]string, body string) (*http.Response, []byte) {
	t.Helper()
	res, err := http.DefaultClient.Do(f.request(t, t.Context(), path, header, body))
	require.NoError(t, err)
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return res, data
}

// hold starts a request that works until the returned function cancels it.
func (f *fixture) hold(t *testing.T, path string) (release func()) {
	t.Helper()
	before := f.Status().InFlight
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	var done sync.WaitGroup
	req := f.request(t, ctx, path, nil, "")
	done.Go(func() {
		if res, err := http.DefaultClient.Do(req); err == nil {
			_ = res.Body.Close()
		}
	})
	require.Eventually(t, func() bool { return f.Status().InFlight == before+1 }, limit, time.Millisecond)
	return func() { cancel(); done.Wait() }
}

func (f *fixture) control(t *testing.T, body string, want int) {
	t.Helper()
	res, _ := f.call(t, "/control", nil, body)
	require.Equal(t, want, res.StatusCode, body)
}

// The load generator trusts this answer to tell mixed-up and changed bodies.
func TestAnswerDescribesTheRequest(t *testing.T) {
	f := start(t, nil)
	res, data := f.call(t, "/a//b?response_bytes=5000", map[string]string{HeaderRequestID: "r1"}, "hello")
	require.Equal(t, http.StatusOK, res.StatusCode)
	head, body, found := bytes.Cut(data, []byte("\n"))
	require.True(t, found)
	var answer Answer
	require.NoError(t, json.Unmarshal(head, &answer))
	require.Equal(t, Answer{
		RequestID: "r1", Target: "t1", Version: "v1", Service: "finder",
		ReceivedBytes: 5, ReceivedHash: "26c7827d889f6da3", BodyBytes: 5000,
	}, answer)
	verifier := content.NewVerifier("r1")
	_, err := verifier.Write(body)
	require.NoError(t, err)
	require.EqualValues(t, 5000, verifier.Count)
}

// The count of executions decides whether a call ran twice, so refusals must not be in it.
func TestExecutionsCountWhatRan(t *testing.T) {
	f := start(t, nil)
	header := map[string]string{HeaderRequestID: "run-r", HeaderIdempotencyKey: "run-k"}
	f.call(t, "/", header, "")
	f.control(t, `{"faults":[{"error_share":1}]}`, http.StatusOK)
	res, _ := f.call(t, "/", header, "")
	require.Equal(t, http.StatusInternalServerError, res.StatusCode)
	f.call(t, "/", map[string]string{HeaderRequestID: "other"}, "")
	f.gate.leave()
	res, _ = f.call(t, "/", header, "")
	require.Equal(t, OutcomeNotRun, res.Header.Get(HeaderOutcome))

	res, err := http.Get(f.url + "/control/executions?prefix=run-")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	var found Executions
	require.NoError(t, json.NewDecoder(res.Body).Decode(&found))
	require.Equal(t, map[string]int{"run-k": 2}, found.Keys)
	require.Equal(t, map[string]int{"run-r": 2}, found.Requests)
}

// Requests over the slots or connections are refused as not run, and only those.
func TestShedsOverItsLimits(t *testing.T) {
	f := start(t, func(s *Settings) { s.Slots = 1 })
	release := f.hold(t, "/?work_ms=60000")
	res, _ := f.call(t, "/", nil, "")
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.Equal(t, OutcomeNotRun, res.Header.Get(HeaderOutcome))
	release()
	require.Eventually(t, func() bool { return f.Status().InFlight == 0 }, limit, time.Millisecond)
	res, _ = f.call(t, "/", nil, "")
	require.Equal(t, http.StatusOK, res.StatusCode)

	f = start(t, func(s *Settings) { s.Connections = 1 })
	defer f.hold(t, "/?work_ms=60000")()
	res, _ = f.call(t, "/", nil, "")
	require.Equal(t, OutcomeNotRun, res.Header.Get(HeaderOutcome))
}

// Work beyond the deadline would hold slots for callers that no longer wait.
func TestDeadlineEndsWork(t *testing.T) {
	f := start(t, nil)
	res, _ := f.call(t, "/?work_ms=600000", map[string]string{HeaderDeadline: "200"}, "")
	require.Equal(t, http.StatusGatewayTimeout, res.StatusCode)
	require.Empty(t, res.Header.Get(HeaderOutcome), "it ran")
	for text, want := range map[string]int{"0": http.StatusServiceUnavailable, "x": http.StatusBadRequest} {
		res, _ = f.call(t, "/", map[string]string{HeaderDeadline: text}, "")
		require.Equal(t, want, res.StatusCode)
	}
	// A deadline must not outlive its request on a connection that is used again.
	f.call(t, "/", map[string]string{HeaderDeadline: "40"}, "body")
	res, _ = f.call(t, "/?work_ms=60", nil, "body")
	require.Equal(t, http.StatusOK, res.StatusCode)
}

// A stop must first tell the node, refuse new work, and end with the work in flight.
func TestDrain(t *testing.T) {
	f := start(t, nil)
	release := f.hold(t, "/?work_ms=600000")
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(context.WithoutCancel(t.Context())) }()
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.announced) == 1
	}, limit, time.Millisecond)
	require.Equal(t, mesh.TargetLeaving, f.announced[0].State)
	res, _ := f.call(t, "/", nil, "")
	require.Equal(t, OutcomeNotRun, res.Header.Get(HeaderOutcome))
	require.Empty(t, drained)
	release()
	require.NoError(t, <-drained)
}

// A request that never ends must not keep a target from stopping.
func TestDrainLimit(t *testing.T) {
	f := start(t, func(s *Settings) { s.DrainLimit = settings.Duration(10 * time.Millisecond) })
	defer f.hold(t, "/?work_ms=600000")()
	require.ErrorIs(t, f.Drain(t.Context()), context.DeadlineExceeded)
}

// The node learns the whole target from its announcement.
func TestAnnounce(t *testing.T) {
	f := start(t, nil)
	require.NoError(t, f.announceOnce(t.Context()))
	require.Equal(t, []mesh.Target{{
		Service: "finder", Version: "v1", Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Slots: 12, Connections: 100, State: mesh.TargetServing, StartedUnixMS: f.started.UnixMilli(),
	}}, f.announced)
}

// Without these headers, the limits on depth and time would not hold over several targets.
func TestDownstreamPassesHeadersOn(t *testing.T) {
	f := start(t, func(s *Settings) { s.Downstream = []string{"/x", "/y"} })
	res, _ := f.call(t, "/", map[string]string{HeaderDeadline: "5000", HeaderDepth: "3", HeaderRequestID: "r", HeaderIdempotencyKey: "k"}, "")
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.Len(t, f.outbound, 2)
	require.Equal(t, "/y", f.outbound[1].URL.Path)
	require.Equal(t, "5000", f.outbound[1].Header.Get(HeaderDeadline))
	require.Equal(t, "3", f.outbound[1].Header.Get(HeaderDepth))
	require.Equal(t, "r.1", f.outbound[1].Header.Get(HeaderRequestID))
	require.Empty(t, f.outbound[1].Header.Get(HeaderIdempotencyKey))
}
