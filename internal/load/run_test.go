package load

import (
	"bytes"
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

	"heathercroft.example/heathercroft/internal/settings"
	"heathercroft.example/heathercroft/internal/target"
)

// noListener is an address that refuses connections: tests listen on ports from 1024.
const noListener = "127.0.0.1:1"

// startTarget returns the URL of a target without service time.
func startTarget(t *testing.T) string {
	t.Helper()
	s := target.DefaultSettings()
	s.Slots, s.Connections = 10_000, 10_000
	s.ServiceTime, s.ConnectionCost = target.ServiceTime{}, 0
	web := httptest.NewServer(target.New(s, netip.AddrPort{}, slog.New(slog.DiscardHandler)))
	t.Cleanup(web.Close)
	return web.URL
}

// fakeNode forwards calls to a target and executes each key once.
type fakeNode struct {
	target string
	mu     sync.Mutex
	stored map[string]*answer
	// fault may answer a call instead; it returns whether it did.
	fault func(n *fakeNode, w http.ResponseWriter, r *http.Request) bool
}

type answer struct {
	once   sync.Once
	status int
	body   []byte
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n.fault != nil && n.fault(n, w, r) {
		return
	}
	key := r.Header.Get(target.HeaderIdempotencyKey)
	if key == "" {
		n.write(w, n.forward(r))
		return
	}
	n.mu.Lock()
	if n.stored[key] == nil {
		n.stored[key] = new(answer)
	}
	kept := n.stored[key]
	n.mu.Unlock()
	w.Header().Set(headerReplayed, "true")
	kept.once.Do(func() {
		w.Header().Del(headerReplayed)
		got := n.forward(r)
		kept.status, kept.body = got.status, got.body
	})
	n.write(w, kept)
}

func (n *fakeNode) forward(r *http.Request) *answer {
	req, _ := http.NewRequest(r.Method, n.target+r.URL.RequestURI(), r.Body)
	req.Header = r.Header.Clone()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return &answer{status: http.StatusBadGateway}
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(res.Body)
	return &answer{status: res.StatusCode, body: body}
}

func (n *fakeNode) write(w http.ResponseWriter, a *answer) {
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// run carries out a short run through two listeners of one node.
func run(t *testing.T, fault func(*fakeNode, http.ResponseWriter, *http.Request) bool, change func(*Settings)) Report {
	t.Helper()
	base := startTarget(t)
	node := &fakeNode{target: base, stored: map[string]*answer{}, fault: fault}
	s := DefaultSettings()
	for range 2 {
		web := httptest.NewServer(node)
		t.Cleanup(web.Close)
		s.Nodes = append(s.Nodes, web.URL)
	}
	s.Direct, s.Seed = []string{base}, 1
	s.Rate, s.Duration = 500, settings.Duration(200*time.Millisecond)
	s.Deadline = settings.Duration(time.Minute)
	s.Mix.Keyed, s.Mix.ConcurrentShare, s.Mix.RepeatShare, s.Mix.UploadBytes = 0.5, 0.3, 0.3, 10_000
	if change != nil {
		change(s)
	}
	require.NoError(t, s.Validate())
	return Run(t.Context(), s, slog.New(slog.DiscardHandler))
}

// A correct system must pass; otherwise every failure would be doubtful.
func TestRunPassesWithCorrectNode(t *testing.T) {
	r := run(t, nil, nil)
	require.True(t, r.Passed())
	require.Greater(t, r.Node.Repeats, int64(5))
	require.Equal(t, r.Node.Sent, r.Node.Answered)
	require.Equal(t, r.Direct.Sent, r.Direct.Answered)
	require.Equal(t, 1, r.Checked)
	require.Empty(t, r.Unchecked)
	all := r.Latencies[len(r.Latencies)-1]
	require.Equal(t, KindAll, all.Kind)
	require.Equal(t, r.Node.Sent-r.Node.Repeats, all.Node.Count)
	require.Equal(t, r.Direct.Sent, all.Direct.Count)
	require.NotNil(t, all.Ratio)
}

// A fault of the system that the report does not show makes the tool worthless.
func TestRunFindsFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(*fakeNode, http.ResponseWriter, *http.Request) bool
		count func(Report) int64
	}{
		"executes a key twice": {func(n *fakeNode, _ http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get(target.HeaderIdempotencyKey) != "" {
				body, _ := io.ReadAll(r.Body)
				r.Body = io.NopCloser(bytes.NewReader(body))
				n.forward(r)
				r.Body = io.NopCloser(bytes.NewReader(body))
			}
			return false
		}, func(r Report) int64 { return r.Duplicated }},
		"says not-run after an execution": {func(n *fakeNode, w http.ResponseWriter, r *http.Request) bool {
			n.forward(r)
			w.Header().Set(target.HeaderOutcome, target.OutcomeNotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}, func(r Report) int64 { return r.Duplicated }},
		"closes connections": {func(*fakeNode, http.ResponseWriter, *http.Request) bool {
			panic(http.ErrAbortHandler)
		}, func(r Report) int64 { return r.Node.Lost }},
		"ends bodies early": {func(n *fakeNode, w http.ResponseWriter, r *http.Request) bool {
			a := n.forward(r)
			n.write(w, &answer{status: a.status, body: a.body[:len(a.body)/2]})
			return true
		}, func(r Report) int64 { return r.Node.Truncated }},
		"answers another request": {func(n *fakeNode, w http.ResponseWriter, r *http.Request) bool {
			r.Header.Set(target.HeaderRequestID, "other")
			n.write(w, n.forward(r))
			return true
		}, func(r Report) int64 { return r.Node.MixedUp }},
		"loses the request body": {func(n *fakeNode, w http.ResponseWriter, r *http.Request) bool {
			r.Body = http.NoBody
			n.write(w, n.forward(r))
			return true
		}, func(r Report) int64 { return r.Node.MixedUp }},
	} {
		t.Run(name, func(t *testing.T) {
			r := run(t, c.fault, func(s *Settings) { s.MaxRetries = 1 })
			require.Positive(t, c.count(r))
			require.False(t, r.Passed())
		})
	}
}

// Refusals are no faults. Only not-run is retried, since a retry of anything else may run twice.
func TestRunKeepsRefusalsApart(t *testing.T) {
	refuse := func(outcome Outcome) func(*fakeNode, http.ResponseWriter, *http.Request) bool {
		return func(_ *fakeNode, w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set(target.HeaderOutcome, string(outcome))
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	}
	r := run(t, refuse(OutcomeNotRun), nil)
	require.True(t, r.Passed())
	require.Equal(t, r.Node.Sent, r.Node.NotRun)
	require.Equal(t, 3*r.Node.Sent, r.Node.Retries)

	r = run(t, refuse(OutcomeMayHaveRun), nil)
	require.True(t, r.Passed())
	require.Equal(t, r.Node.Sent, r.Node.MayHaveRun)
	require.Zero(t, r.Node.Retries)

	r = run(t, refuse(""), nil)
	require.Equal(t, r.Node.Sent, r.Node.Errors)
}

// A call that reached no node did not run, so its caller may go to another one.
func TestRunGoesAroundUnreachableNode(t *testing.T) {
	r := run(t, nil, func(s *Settings) { s.Nodes[0] = "http://" + noListener })
	require.True(t, r.Passed())
	require.Equal(t, r.Node.Sent, r.Node.Answered)
	require.Positive(t, r.Node.Retries)
}

// The transport must not send a read again by itself, which would hide a lost answer.
func TestRunSeesLostAnswersOnUsedConnections(t *testing.T) {
	var used sync.Map
	abortSecond := func(_ *fakeNode, _ http.ResponseWriter, r *http.Request) bool {
		if _, again := used.LoadOrStore(r.RemoteAddr, true); again {
			panic(http.ErrAbortHandler)
		}
		return false
	}
	r := run(t, abortSecond, func(s *Settings) { s.MaxConnections, s.Mix = 1, Mix{Read: 1} })
	require.Positive(t, r.Node.Answered)
	require.Positive(t, r.Node.Lost)
	require.Equal(t, r.Node.Sent, r.Node.Answered+r.Node.Lost)
}

// Targets that cannot be asked must be named; their silence is no proof.
func TestRunNamesUncheckedTargets(t *testing.T) {
	r := run(t, nil, func(s *Settings) { s.Targets = []string{s.Direct[0], s.Direct[0] + "/nowhere"} })
	require.Equal(t, 1, r.Checked)
	require.Len(t, r.Unchecked, 1)
}

// The flags must reach the check, and lists must replace the defaults.
func TestLoadSettings(t *testing.T) {
	_, err := LoadSettings("", Overrides{})
	require.ErrorContains(t, err, "nodes and direct are empty")
	s, err := LoadSettings("../../examples/load.toml", Overrides{Rate: 7, Paths: []string{"/a", "/b"}})
	require.NoError(t, err)
	require.InDelta(t, 7, s.Rate, 0)
	require.Equal(t, []string{"/a", "/b"}, s.Paths)
	for body, want := range map[string]string{
		`ratee = 1`: "ratee", `rate = 0`: "rate", `deadline = "1"`: "deadline", `paths = ["x"]`: "paths",
		"[mix]\nread = -1": "mix", "nodes = [\"x\"]": "nodes", `direct_share = 2`: "direct_share",
	} {
		s := DefaultSettings()
		s.overrides.Direct = []string{"http://127.0.0.1:1"}
		require.ErrorContains(t, settings.Parse("f", []byte(body), s), want)
	}
}

// The report must be complete as text, since people judge a run by it.
func TestReportText(t *testing.T) {
	var text strings.Builder
	require.NoError(t, run(t, nil, nil).Write(&text, ""))
	for _, want := range []string{"lost", "mixed up", "truncated accepted as whole", "duplicated", "p99.9", "all ratio", "passed: true"} {
		require.Contains(t, text.String(), want)
	}
}
