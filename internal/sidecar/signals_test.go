package sidecar

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/directory"
)

// Bounds that users state for a target with a limit: in each window it gets at most
// limitFactor times what the limit allows and limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedTarget counts the requests of a target that names a limit.
type limitedTarget struct {
	limit float64
	mu    sync.Mutex
	// arrivals are the times of the requests, named the time of the first response.
	arrivals []time.Time
	named    time.Time
}

// limitRequests makes the target name a limit in each response.
func limitRequests(n *testNode, limit float64) *limitedTarget {
	l := &limitedTarget{limit: limit}
	n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		l.mu.Lock()
		l.arrivals = append(l.arrivals, now)
		if l.named.IsZero() {
			l.named = now
		}
		l.mu.Unlock()
		w.Header().Set("X-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
		w.Header().Set("X-Signature", "s")
	})
	return l
}

// requireLimitKept checks each window that begins after the limit was known.
func (l *limitedTarget) requireLimitKept(t *testing.T) {
	const noticeTime = 500 * time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := limitFactor*l.limit*limitWindow.Seconds() + limitSlack
	for i, began := range l.arrivals {
		if began.Before(l.named.Add(noticeTime)) {
			continue
		}
		count := 0
		for _, at := range l.arrivals[i:] {
			if at.Sub(began) < limitWindow {
				count++
			}
		}
		require.LessOrEqual(t, float64(count), allowed, "requests in the window from %s after the limit was named", began.Sub(l.named))
	}
}

// callRepeatedly sends requests from each node at the interval and returns the number of
// responses by status.
func callRepeatedly(t *testing.T, nodes []*testNode, interval, duration time.Duration) map[int]int {
	var mu sync.Mutex
	statuses := map[int]int{}
	var wait sync.WaitGroup
	var number atomic.Int64
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		<-ticker.C
		for _, n := range nodes {
			wait.Go(func() {
				status, _, _ := n.call(t, http.MethodGet, "/read/x", fmt.Sprintf("r%d", number.Add(1)))
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
	}
	wait.Wait()
	return statuses
}

// Guards against overloading a target that names a limit of requests per second in its
// responses: the limit holds for all nodes together.
func TestTargetsGetNoMoreThanTheLimitThatTheyName(t *testing.T) {
	nodes := newMesh(t, 3)
	var limited []*limitedTarget
	for i, limit := range []float64{20, 3, 0.5} {
		limited = append(limited, limitRequests(nodes[i], limit))
	}
	statuses := callRepeatedly(t, nodes, 20*time.Millisecond, 5*time.Second)
	for _, l := range limited {
		l.requireLimitKept(t)
	}
	require.Greater(t, statuses[http.StatusOK], 80, "the targets take 23.5 a second: %v", statuses)
	require.Zero(t, statuses[http.StatusBadGateway]+statuses[http.StatusGatewayTimeout], "what does not fit is refused as not run: %v", statuses)
}

// Guards against an overload through a node that restarted and forgot the limit of its
// target, while the nodes that send the requests know it.
func TestRestartedNodeKeepsTheLimitThatOtherNodesKnow(t *testing.T) {
	nodes := newMesh(t, 3)
	nodes[1].Step(control.TargetLeaving{ID: "target-1"})
	nodes[2].Step(control.TargetLeaving{ID: "target-2"})
	target := limitRequests(nodes[0], 2)
	callRepeatedly(t, nodes[1:], 20*time.Millisecond, 1500*time.Millisecond)
	for range 8 {
		nodes[0].restart(t, nodes[1:]...)
		callRepeatedly(t, nodes[1:], 20*time.Millisecond, 400*time.Millisecond)
	}
	target.requireLimitKept(t)
}

// Guards against sending requests to a target that says in its responses that it is
// shutting down, before and without a heartbeat that says so, and through a restarted node
// beside it that does not know.
func TestTargetGetsNoRequestAfterItsLeavingSignal(t *testing.T) {
	nodes := newMesh(t, 2)
	nodes[1].Step(control.TargetLeaving{ID: "target-1"})
	leaving := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Leaving", "1")
		w.Header().Set("X-Signature", "s")
	}
	nodes[0].target.serve(leaving)
	status, _, _ := nodes[1].call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusOK, status)

	nodes[0].heartbeat(1, 3)
	for i, n := range nodes {
		status, header, _ := n.call(t, http.MethodGet, "/read/x", fmt.Sprintf("after-%d", i))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, header.Get("Retry-After"))
	}
	nodes[0].restart(t, nodes[1])
	status, _, _ = nodes[1].call(t, http.MethodGet, "/read/x", "after-restart")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.EqualValues(t, 1, nodes[0].target.runs.Load())

	// A later process with the same id is another target.
	nodes[0].target.serve(nil)
	nodes[0].heartbeat(2, 1)
	nodes[1].Step(control.PeerStateReceived{State: nodes[0].state()})
	status, _, _ = nodes[1].call(t, http.MethodGet, "/read/x", "next-process")
	require.Equal(t, http.StatusOK, status)
}

func limitOf(g *gate) float64 {
	limit, _, ok := g.queue.RateLimit(g.now())
	if !ok {
		return -1
	}
	return limit
}

// Guards against a limit that ends or rises by an old response, which was read after newer
// ones, and against a limit that outlives the process of the target that named it.
func TestLimitFollowsTheOrderOfResponses(t *testing.T) {
	now := time.Duration(0)
	g := newGate(func() time.Duration { return now })
	p := directory.Process{ID: "t", StartUnixMS: 1}
	named := func(limit float64) directory.Signals { return directory.Signals{Limited: true, RateLimit: limit} }
	g.setTarget(p, 4)
	now = time.Second
	g.signal(p, named(5), 900*time.Millisecond)
	require.InDelta(t, 5, limitOf(g), 0)
	g.signal(p, directory.Signals{}, 950*time.Millisecond)
	g.signal(p, named(9), 950*time.Millisecond)
	require.InDelta(t, 5, limitOf(g), 0, "the requests were sent before the limit was named")
	g.signal(p, named(3), 950*time.Millisecond)
	require.InDelta(t, 3, limitOf(g), 0, "a lower limit holds at once")
	g.adoptLimit(p, 1)
	require.InDelta(t, 3, limitOf(g), 0, "the target itself has answered")
	g.signal(directory.Process{ID: "t"}, directory.Signals{}, 2*time.Second)
	require.InDelta(t, 3, limitOf(g), 0, "another process says nothing about this one")
	now = 2 * time.Second
	g.signal(p, named(9), 1100*time.Millisecond)
	require.InDelta(t, 9, limitOf(g), 0)
	g.signal(p, directory.Signals{}, 2100*time.Millisecond)
	require.InDelta(t, -1, limitOf(g), 0)
	g.signal(p, named(9), 2100*time.Millisecond)
	g.setTarget(directory.Process{ID: "t", StartUnixMS: 2}, 4)
	require.InDelta(t, -1, limitOf(g), 0)
	g.adoptLimit(directory.Process{ID: "t", StartUnixMS: 2}, 7)
	require.InDelta(t, 7, limitOf(g), 0)
}

// Guards against malformed signals that end a limit or are taken for one.
func TestMalformedSignalsChangeNothing(t *testing.T) {
	n := newMesh(t, 1)[0]
	for i, step := range []struct {
		limits  []string
		leaving string
		want    float64
	}{
		{[]string{"-1"}, "", -1},
		{[]string{"NaN"}, "maybe", -1},
		{[]string{"Inf"}, "", -1},
		{[]string{"40"}, "0", 40},
		{[]string{"many"}, "", 40},
		{[]string{"", "1e400"}, "", 40},
		{[]string{" 50 ", "30.5"}, "", 30.5},
		{nil, "", -1},
	} {
		n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header()["X-Limit"] = step.limits
			w.Header().Set("X-Leaving", step.leaving)
			if step.leaving == "" {
				w.Header().Del("X-Leaving")
			}
			w.Header().Set("X-Signature", "s")
		})
		status, _, body := n.call(t, http.MethodGet, "/read/x", fmt.Sprintf("r%d", i))
		require.Equal(t, http.StatusOK, status, body)
		require.InDelta(t, step.want, limitOf(n.gate), 0, "step %d", i)
		require.InDelta(t, step.want, n.targetLimit(), 0, "step %d", i)
		time.Sleep(30 * time.Millisecond)
	}
	require.EqualValues(t, 5, n.metrics.malformedSignals.Value())
	require.True(t, n.view.Load().Target.Serving)
}

// Guards against signals of another target: a response that says that the request reached the
// wrong target says nothing about the right one.
func TestSignalsOfAnotherTargetAreIgnored(t *testing.T) {
	nodes := newMesh(t, 2)
	nodes[1].Step(control.TargetLeaving{ID: "target-1"})
	nodes[0].target.serve(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Limit", "1")
		w.Header().Set("X-Leaving", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	status, _, _ := nodes[1].call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.False(t, nodes[0].view.Load().Target.Leaving)
	require.InDelta(t, -1, limitOf(nodes[0].gate), 0)
	require.Empty(t, nodes[1].view.Load().Signals)
}

// Guards against sending more requests to an address at which another target answers: the
// response says that the request reached the wrong one.
func TestTargetThatWasReplacedGetsNoFurtherRequest(t *testing.T) {
	nodes := newMesh(t, 2)
	nodes[1].Step(control.TargetLeaving{ID: "target-1"})
	nodes[0].target.serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	for i := range 5 {
		status, header, _ := nodes[i%2].call(t, http.MethodGet, "/read/x", fmt.Sprintf("r%d", i))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, header.Get("Retry-After"))
	}
	require.EqualValues(t, 1, nodes[0].target.runs.Load())
	// A heartbeat shows that the target lives.
	nodes[0].target.serve(nil)
	nodes[0].heartbeat(1, 3)
	status, _, _ := nodes[0].call(t, http.MethodGet, "/read/x", "r9")
	require.Equal(t, http.StatusOK, status)
}

// Guards against taking a new target out of use for the response to a request that was sent
// to the one before it.
func TestResponseToTheFormerTargetDoesNotAffectTheNextOne(t *testing.T) {
	n := newMesh(t, 1)[0]
	n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
		n.Step(control.HeartbeatReceived{Heartbeat: directory.Heartbeat{
			ID: "next", Address: n.settings.Target.String(), Service: "shop", Version: "v1", Slots: 4, Sequence: 1, StartUnixMS: 2,
		}})
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	status, _, _ := n.call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "next", n.view.Load().Target.ID)
	require.True(t, n.view.Load().Target.Serving)
}
