package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/logpos"
)

// Bounds that users state for a cold target that takes coldPerS requests per second: in any second
// it gets at most coldOver times as many and coldSlack requests.
const (
	coldPerS  = 15
	coldOver  = 1.5
	coldSlack = 8
)

// arrivals counts the requests of a target by time.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

// countArrivals makes the target record its requests, which take a time.
func countArrivals(n *testNode, takes time.Duration) *arrivals {
	a := &arrivals{}
	n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
		a.mu.Lock()
		a.at = append(a.at, time.Now())
		a.mu.Unlock()
		time.Sleep(takes)
		w.Header().Set("X-Signature", "s")
	})
	return a
}

// mostInASecond returns the greatest number of requests in a second that begins after a time.
func (a *arrivals) mostInASecond(after time.Time) (most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, began := range a.at {
		if began.Before(after) {
			continue
		}
		count := 0
		for _, at := range a.at[i:] {
			if at.Sub(began) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func (a *arrivals) requireColdLimit(t *testing.T, after time.Time) {
	t.Helper()
	require.LessOrEqual(t, float64(a.mostInASecond(after)), coldPerS*coldOver+coldSlack)
}

// newColdMesh starts nodes whose targets take coldPerS requests per second while they are cold.
func newColdMesh(t *testing.T, count int) []*testNode {
	nodes := newMesh(t, count)
	config := testConfig()
	config.Version = 2
	s := config.Services["shop"]
	s.ColdTime, s.ColdRate, s.HealthPath = 3*time.Second, coldPerS, "/health"
	config.Services["shop"] = s
	require.NoError(t, config.Prepare())
	for _, n := range nodes {
		n.Step(control.ConfigPublished{Config: config})
	}
	return nodes
}

// beat delivers a heartbeat that says how long the target is cold.
func (n *testNode) beat(startUnixMS int64, sequence uint64, cold time.Duration) {
	n.Step(control.HeartbeatReceived{Heartbeat: directory.Heartbeat{
		ID: n.target.id, Address: n.settings.Target.String(), Service: "shop", Version: "v1", Slots: 12,
		Sequence: sequence, StartUnixMS: startUnixMS, ColdRemaining: cold,
	}})
}

// tell gives the state of a node to the others.
func tell(n *testNode, others ...*testNode) {
	for _, o := range others {
		o.Step(control.PeerStateReceived{State: n.state()})
	}
}

// Guards against more requests than a cold target takes from all nodes together, with retries, and
// against refusals where warm targets have room.
func TestColdTargetGetsNoMoreThanItTakes(t *testing.T) {
	nodes := newColdMesh(t, 3)
	cold := countArrivals(nodes[0], 20*time.Millisecond)
	warm := []*arrivals{countArrivals(nodes[1], 20*time.Millisecond), countArrivals(nodes[2], 20*time.Millisecond)}
	for _, n := range nodes {
		n.beat(1, 2, 0)
	}
	callRepeatedly(t, nodes, 15*time.Millisecond, 2*time.Second)
	nodes[0].beat(1, 3, 3*time.Second)
	tell(nodes[0], nodes[1:]...)
	began := time.Now()
	statuses := callRepeatedly(t, nodes, 15*time.Millisecond, 2500*time.Millisecond)
	cold.requireColdLimit(t, began)
	require.Zero(t, statuses[http.StatusBadGateway]+statuses[http.StatusGatewayTimeout], "%v", statuses)
	require.Positive(t, len(warm[0].at)+len(warm[1].at))
	require.LessOrEqual(t, statuses[http.StatusServiceUnavailable], statuses[http.StatusOK]/20, "%v", statuses)
}

// Guards against a burst when all targets come back with their zone: no heartbeat has said yet that
// they are cold, and the callers' nodes have no reports.
func TestTargetsOfAReturnedZoneGetNoBurst(t *testing.T) {
	nodes := newColdMesh(t, 3)
	var all []*arrivals
	for _, n := range nodes {
		n.beat(1, 2, 0)
		all = append(all, countArrivals(n, 20*time.Millisecond))
	}
	for _, n := range nodes {
		n.Step(evacuate("a", 5))
	}
	require.Equal(t, 0, callRepeatedly(t, nodes, 50*time.Millisecond, 300*time.Millisecond)[http.StatusOK])
	returned := time.Now()
	for _, n := range nodes {
		n.Step(control.ZoneReturned{Zone: "a", Position: logpos.Position{Era: 1, Offset: 6}})
	}
	statuses := callRepeatedly(t, nodes, 10*time.Millisecond, 1500*time.Millisecond)
	for i, n := range nodes {
		all[i].requireColdLimit(t, returned)
		n.beat(1, 3, 1500*time.Millisecond)
	}
	require.Greater(t, statuses[http.StatusOK], 40, "three targets take 45 a second: %v", statuses)
	callRepeatedly(t, nodes, 10*time.Millisecond, 1300*time.Millisecond)
	for i := range nodes {
		all[i].requireColdLimit(t, returned)
	}
}

// Guards against a burst at a target whose process was replaced under its old id, before its first
// heartbeat: the connections that were in use are gone.
func TestTargetThatRestartsUnderItsIDGetsNoBurst(t *testing.T) {
	nodes := newColdMesh(t, 2)
	nodes[1].Step(control.TargetLeaving{ID: "target-1"})
	tell(nodes[1], nodes[0])
	target := countArrivals(nodes[0], 5*time.Millisecond)
	nodes[0].beat(1, 2, 0)
	// The load has risen to 100 a second.
	callRepeatedly(t, nodes, 20*time.Millisecond, 4*time.Second)
	before := time.Now().Add(-time.Second)
	require.Greater(t, target.mostInASecond(before.Add(-time.Second)), 60)
	nodes[0].target.CloseClientConnections()
	restarted := time.Now()
	callRepeatedly(t, nodes, 20*time.Millisecond, 2*time.Second)
	target.requireColdLimit(t, restarted.Add(100*time.Millisecond))
	require.Positive(t, nodes[0].gate.coldLimit())
	// The new process says that it is cold, and later that it is not.
	nodes[0].beat(2, 1, time.Second)
	callRepeatedly(t, nodes, 20*time.Millisecond, 900*time.Millisecond)
	target.requireColdLimit(t, restarted.Add(100*time.Millisecond))
	nodes[0].beat(2, 2, 0)
	require.Eventually(t, func() bool { return nodes[0].gate.coldLimit() == 0 }, 5*time.Second, 20*time.Millisecond)
}

// Guards against a node that restarts while its target is cold, and lets through what its former
// process has let through already.
func TestRestartedNodeKeepsTheColdLimit(t *testing.T) {
	nodes := newColdMesh(t, 2)
	nodes[1].Step(control.TargetLeaving{ID: "target-1"})
	target := countArrivals(nodes[0], 5*time.Millisecond)
	began := time.Now()
	for i := range 4 {
		nodes[0].beat(1, uint64(2+i), 3*time.Second)
		tell(nodes[0], nodes[1])
		callRepeatedly(t, nodes[1:], 10*time.Millisecond, 400*time.Millisecond)
		nodes[0].restart(t, nodes[1])
	}
	target.requireColdLimit(t, began)
}

// Guards against a health response that is ignored, or that makes a target warm although it does
// not say so.
func TestHealthResponseTellsHowLongATargetIsCold(t *testing.T) {
	for i, c := range []struct {
		value string
		ends  bool
	}{{"0", true}, {"1200.5", true}, {"", false}, {"soon", false}, {"-1", false}, {"NaN", false}, {"1e300", false}} {
		n := newColdMesh(t, 1)[0]
		n.beat(1, 2, 0)
		asked := make(chan string, 1)
		n.target.serve(func(w http.ResponseWriter, r *http.Request) {
			asked <- r.Method + " " + r.URL.Path
			w.Header().Set("X-Cold", c.value)
		})
		n.Step(evacuate("a", 5))
		n.Step(control.ZoneReturned{Zone: "a", Position: logpos.Position{Era: 1, Offset: uint64(6 + i)}})
		require.Equal(t, "GET /health", <-asked)
		presumed := func() bool { return n.view.Load().TargetColdUntil > n.clock.now()+2*time.Second }
		if c.ends {
			require.Eventually(t, func() bool { return !presumed() }, 2*time.Second, time.Millisecond, c.value)
			continue
		}
		time.Sleep(50 * time.Millisecond)
		require.True(t, presumed(), fmt.Sprintf("%q", c.value))
	}
}
