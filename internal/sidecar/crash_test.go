package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
)

// crashesOf returns the event of a crash at which the request for a path was running.
func crashesOf(t *testing.T, n *testNode, path string) control.TargetCrashed {
	r, err := http.NewRequest(http.MethodGet, "http://shop.test"+path, nil)
	require.NoError(t, err)
	r.RequestURI = path
	return control.TargetCrashed{Requests: []uint64{fingerprint(r, nil)}}
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
		s.Crashes = nil
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
	twice := control.CrashSuspect{Crashes: 2, TrialRank: 1}
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
		require.False(t, trials.allow(8, control.CrashSuspect{Crashes: 3}, now))
	}
}
