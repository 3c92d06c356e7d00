package sidecar

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/signals"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/retry"
)

// serveLoad makes the target send a load signal, unless it is empty.
func (f *fakeTarget) serveLoad(load string) {
	f.serve(func(w http.ResponseWriter, _ *http.Request) {
		if load != "" {
			w.Header().Set("X-Load", load)
		}
		w.Header().Set("X-Signature", "s")
	})
}

// Guards against a disturbance of a target's machine that the other nodes do not learn, and
// against a load signal that is passed on in announcements: it changes with each response.
func TestNodesLearnTheDisturbanceOfATargetFromItsLoadSignal(t *testing.T) {
	nodes := newMesh(t, 2)
	nodes[0].target.serveLoad("3,1,4,250")
	nodes[1].target.serveLoad("0,0,4,100")
	for range 6 {
		status, _, _ := nodes[1].call(t, http.MethodGet, "/read/x", "r")
		require.Equal(t, http.StatusOK, status)
	}
	// Whichever target the calls of the other node reached, this one gets a call of its own.
	h := hopRequest{ID: "r", URI: "/read/x", Target: "target-0", Service: "shop", Route: "read", TimeLeftMS: 1000, SoftTimeLeftMS: 900, ExpectedServiceTimeMS: 10, TargetStart: 1}
	res := nodes[0].runLocal(t.Context(), h, &targetRequest{method: http.MethodGet, host: "shop.test", uri: "/read/x", header: http.Header{}, retryable: true, lease: nodes[0].messages.Lease()})
	require.Equal(t, retry.ResponseReceived, res.outcome)
	require.InDelta(t, 2.5, res.load.Disturbance, 0)
	require.Equal(t, signals.Load{Running: 3, Waiting: 1, Slots: 4, Disturbance: 2.5}, nodes[0].targetLoad())
	require.Empty(t, nodes[0].view.Load().Signals)

	text, err := json.Marshal(res.hopReply())
	require.NoError(t, err)
	read, err := readHopReply(http.Header{hopHeader: {string(text)}})
	require.NoError(t, err)
	require.InDelta(t, 2.5, read.load.Disturbance, 0)
	require.InDelta(t, res.load.DisturbanceAge, read.load.DisturbanceAge, float64(time.Millisecond))
}

// Guards against a usual time of a route that contains the disturbance of a machine: every other
// target would be expected to be slow too.
func TestUsualTimeOfARouteDoesNotContainTheDisturbance(t *testing.T) {
	const work = 100 * time.Millisecond
	n := newMesh(t, 1)[0]
	n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		w.Header().Set("X-Load", "1,0,4,250")
		w.Header().Set("X-Signature", "s")
	})
	status, _, _ := n.call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusOK, status)
	require.Less(t, time.Duration(n.serviceTimes.get("read", 0)), work)
	require.Positive(t, n.serviceTimes.get("read", 0))
}

// Guards against a malformed load signal that changes the limit of the target or the
// disturbance that it told before, and against a log line for each such response.
func TestMalformedLoadSignalChangesNothing(t *testing.T) {
	n := newMesh(t, 1)[0]
	for i, load := range []string{"0,0,4,200", "many", "1,2,3,1e9", "1"} {
		n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Load", load)
			w.Header().Set("X-Limit", "40")
			w.Header().Set("X-Signature", "s")
		})
		status, _, body := n.call(t, http.MethodGet, "/read/x", "r")
		require.Equal(t, http.StatusOK, status, body)
		require.InDelta(t, 40, limitOf(n.gate), 0, "step %d", i)
		require.InDelta(t, 2, n.targetLoad().Disturbance, 0, "step %d", i)
		time.Sleep(30 * time.Millisecond)
	}
	require.EqualValues(t, 3, n.metrics.malformedSignals.Value())
}

// Guards against a change for targets without a load signal or without its fourth figure,
// and against bytes between nodes for them and for undisturbed machines.
func TestTargetsWithoutADisturbanceReportNone(t *testing.T) {
	n := newMesh(t, 1)[0]
	for _, load := range []string{"", "3,1,4", "3,1,4,100", "3,1,4,103"} {
		n.target.serveLoad(load)
		status, _, _ := n.call(t, http.MethodGet, "/read/x", "r")
		require.Equal(t, http.StatusOK, status)
		require.Zero(t, n.gate.load().Disturbance, load)
		text, err := json.Marshal(result{load: n.gate.load()}.hopReply())
		require.NoError(t, err)
		require.NotContains(t, string(text), "disturbed")
	}
}

// Guards against the disturbance of a former process of the target that is taken for that
// of the present one.
func TestDisturbanceBelongsToAProcess(t *testing.T) {
	g := newGate(func() time.Duration { return time.Second })
	first, second := directory.Process{ID: "t", StartUnixMS: 1}, directory.Process{ID: "t", StartUnixMS: 2}
	g.setTarget(first, 4)
	g.setDisturbance(first, 3)
	require.Equal(t, balance.LoadReport{Slowdown: 1, MeanServiceTime: 50 * time.Millisecond, Disturbance: 3}, g.load())
	g.setTarget(second, 4)
	g.setDisturbance(first, 3)
	require.Zero(t, g.load().Disturbance)
}

// Guards against sending requests to a target that sheds load beyond two requests at a time: its
// node learns that room, holds the rest back or refuses it at the door with the wait to expect,
// and uses all slots soon after the end of the shedding.
func TestNodeLearnsTheRoomOfASheddingTarget(t *testing.T) {
	n := newMesh(t, 1)[0]
	var mu sync.Mutex
	var working, most int
	var shed, number atomic.Int64
	var shedding atomic.Bool
	shedding.Store(true)
	n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		takes := !shedding.Load() || working < 2
		if takes {
			working++
			most = max(most, working)
		}
		mu.Unlock()
		if !takes {
			shed.Add(1)
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		working--
		mu.Unlock()
		w.Header().Set("X-Signature", "s")
	})
	load := func(requests int) (answered int64) {
		var wait sync.WaitGroup
		var ok atomic.Int64
		for range 8 {
			wait.Go(func() {
				for range requests / 8 {
					// Equal requests would count as those of callers that come back.
					i := number.Add(1)
					status, header, _ := n.call(t, http.MethodGet, fmt.Sprintf("/read/%d", i), fmt.Sprintf("r%d", i))
					switch status {
					case http.StatusOK:
						ok.Add(1)
					case http.StatusServiceUnavailable:
						if header.Get("Retry-After") == "" {
							t.Error("a refusal without a time to come back")
						}
						time.Sleep(minRetryAfter)
					default:
						t.Errorf("status %d", status)
					}
				}
			})
		}
		wait.Wait()
		return ok.Load()
	}
	load(80)
	before := shed.Load()
	require.Positive(t, before)
	room, _ := n.gate.room()
	require.Less(t, room, 4)
	require.Equal(t, room, n.gate.load().Room)
	answered := load(200)
	// 200 requests of 20 ms, two at a time, take 2 s, in which the room grows by 6 slots.
	require.LessOrEqual(t, shed.Load()-before, int64(20))
	require.GreaterOrEqual(t, answered, int64(180))

	shedding.Store(false)
	require.Eventually(t, func() bool {
		load(16)
		mu.Lock()
		defer mu.Unlock()
		return most == 4
	}, 2*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return n.gate.load().Room == 0 }, 2*time.Second, 10*time.Millisecond)
}
