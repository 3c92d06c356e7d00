package sidecar

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/crashes"
)

// crashesOf returns the event of a crash at which the request for a path was running.
func crashesOf(t *testing.T, n *testNode, path string) control.TargetCrashed {
	r, err := http.NewRequest(http.MethodGet, "http://shop.test"+path, nil)
	require.NoError(t, err)
	r.RequestURI = path
	return control.TargetCrashed{Requests: []uint64{n.identityOf(r, nil)}}
}

// refuseCrashing makes the nodes refuse the path after two crashes.
func refuseCrashing(t *testing.T, nodes []*testNode, path string) {
	for _, n := range nodes[:2] {
		n.Step(crashesOf(t, n, path))
	}
	for _, n := range nodes {
		require.Eventually(t, func() bool { return len(n.view.Load().CrashingRequests) == 1 }, 2*time.Second, 5*time.Millisecond)
	}
}

// Guards against a request that crashes targets and reaches them through a node that has just
// started: the nodes beside the targets refuse it too.
func TestTargetsNodeRefusesCrashingRequest(t *testing.T) {
	nodes := newMesh(t, 3)
	refuseCrashing(t, nodes, "/read/poison")
	started := New(nodes[0].settings, testHeaders, fakeStore{}, nodes[0].logger)
	t.Cleanup(started.cancel)
	config := testConfig()
	require.NoError(t, config.Prepare())
	started.Step(control.ConfigPublished{Config: config})
	for _, other := range nodes[1:] {
		s := other.state()
		s.Crashes, s.CrashEvidence = nil, crashes.Evidence{}
		started.Step(control.PeerStateReceived{State: s})
	}
	nodes[0].serving.Store(started)
	require.Empty(t, started.view.Load().CrashingRequests)
	status, _, body := nodes[0].call(t, http.MethodGet, "/read/poison", "r1")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, reasonCrashing)
	for _, n := range nodes {
		require.Zero(t, n.target.runs.Load())
	}
}

// Guards against a page that was running at two crashes by chance and is refused for good: it is
// tried again, and served once it has completed.
func TestRefusedRequestIsTriedAgain(t *testing.T) {
	nodes := newMesh(t, 3)
	refuseCrashing(t, nodes, "/read/page")
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if status, _, _ := n.call(t, http.MethodGet, "/read/page", "r1"); status != http.StatusOK {
				return false
			}
		}
		return true
	}, 4*trialRankDelay, 50*time.Millisecond)
}

// Guards against trials that crash a target on each node: one run decides, and after a third crash
// there is none.
func TestTrialsOfARefusedRequestAreBounded(t *testing.T) {
	trials := newCrashTrials()
	twice := control.CrashSuspect{Suspect: crashes.Suspect{Crashes: 2, Refused: true}, TrialRank: 1}
	const second = time.Second
	runs := 0
	for now := time.Duration(0); now < 30*second; now += 100 * time.Millisecond {
		if trials.allow(7, twice, now) {
			require.GreaterOrEqual(t, now, 2*trialRankDelay)
			runs++
		}
	}
	require.LessOrEqual(t, runs, 4)
	require.Positive(t, runs)
	for now := time.Duration(0); now < 60*second; now += second {
		require.False(t, trials.allow(8, control.CrashSuspect{Suspect: crashes.Suspect{Crashes: 3, Refused: true, Proven: true}}, now))
	}
}

// Guards against a request that crashes targets and is told from a harmless one by how its body was
// transferred, or is not told from one with another end of its body or another caller.
func TestCrashingRequestIsKnownByItsWholeBodyAndCaller(t *testing.T) {
	nodes := newMesh(t, 3)
	config := testConfig()
	config.Version++
	config.Limits.BodyBytes = 4 * maxBufferedBodyBytes
	require.NoError(t, config.Prepare())
	for _, n := range nodes {
		n.Step(control.ConfigPublished{Config: config})
	}
	for name, size := range map[string]int{"short": 100, "over 4 KiB": 6 << 10, "all that is buffered": maxBufferedBodyBytes, "larger": maxBufferedBodyBytes + 100} {
		t.Run(name, func(t *testing.T) {
			start := strings.Repeat(name[:1], size-1)
			body := start + "!"
			head := []byte(body)
			identity := requestIdentity(http.MethodPost, "shop.test", "/write/form", "shop", &requestBody{head: head})
			for _, n := range nodes[:2] {
				n.Step(control.TargetCrashed{Requests: []uint64{identity}})
			}
			for _, n := range nodes {
				require.Eventually(t, func() bool { return n.view.Load().CrashingRequests[identity] }, 2*time.Second, 5*time.Millisecond)
			}
			send := func(n *testNode, caller, body string, chunked bool) (int, string) {
				var reader io.Reader = strings.NewReader(body)
				if chunked {
					reader = iotest.OneByteReader(io.MultiReader(strings.NewReader(body[:1]), strings.NewReader(body[1:])))
					if len(body) > 10<<10 {
						reader = iotest.HalfReader(strings.NewReader(body))
					}
				}
				r := httptest.NewRequest(http.MethodPost, "http://shop.test/write/form", reader)
				r.RequestURI = "/write/form"
				r.Header.Set("X-Id", "r")
				before := n.settings.Service
				n.settings.Service = caller
				defer func() { n.settings.Service = before }()
				w := newRecorder()
				n.serveOutbound(w, r)
				return w.Code, w.Body.String()
			}
			for _, chunked := range []bool{false, true} {
				for _, n := range nodes {
					status, text := send(n, "shop", body, chunked)
					require.Equal(t, http.StatusServiceUnavailable, status, "chunked: %v", chunked)
					require.Contains(t, text, reasonCrashing)
				}
				status, _ := send(nodes[0], "desk", body, chunked)
				require.Equal(t, http.StatusOK, status, "another caller")
				if size <= maxBufferedBodyBytes {
					status, _ = send(nodes[0], "shop", start+"?", chunked)
					require.Equal(t, http.StatusOK, status, "another end")
				}
			}
		})
	}
}

// deadlineRecorder is a response recorder that supports deadlines.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func newRecorder() deadlineRecorder { return deadlineRecorder{httptest.NewRecorder()} }

func (deadlineRecorder) SetReadDeadline(time.Time) error  { return nil }
func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// Guards against a request that a node of an earlier version sent on, and that is known by the identity
// which that version gives it: the node of the target identifies it itself.
func TestRequestOfAnEarlierVersionIsIdentifiedAtTheTarget(t *testing.T) {
	nodes := newMesh(t, 2)
	refuseCrashing(t, nodes, "/read/poison")
	h := hopRequest{
		ID: "r", URI: "/read/poison", Target: nodes[1].target.id, Service: "shop", Route: "read", Caller: "shop", Identity: 42,
		TimeLeftMS: 1_000, SoftTimeLeftMS: 1_000,
	}
	r := httptest.NewRequest(http.MethodGet, "http://shop.test"+hopPath, nil)
	h.write(r.Header)
	w := newRecorder()
	nodes[1].serveInbound(w, r)
	var reply hopReply
	require.NoError(t, json.Unmarshal([]byte(w.Header().Get(hopHeader)), &reply))
	require.Equal(t, reasonCrashing, reply.Reason)
}
