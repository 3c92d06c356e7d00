package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/logpos"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// newZones starts nodes with a target each, one in each of the zones.
func newZones(t *testing.T, zones ...mesh.AvailabilityZone) []*testNode {
	return newMeshIn(t, len(zones), func(i int) mesh.AvailabilityZone { return zones[i] })
}

func evacuate(zone mesh.AvailabilityZone, offset uint64) control.Event {
	return control.ZoneEvacuated{Zone: zone, Position: logpos.Position{Era: 1, Offset: offset}}
}

// Guards against a request that reaches a target in an evacuated zone through the node of a caller
// that does not know of the order, and against one that is refused although another zone serves.
func TestNodeBesideTheTargetRefusesInAnEvacuatedZone(t *testing.T) {
	nodes := newZones(t, "a", "b")
	nodes[0].Step(evacuate("a", 5))
	status, _, body := nodes[1].call(t, http.MethodGet, "/read/x", "r0")
	require.Equal(t, http.StatusOK, status, body)
	// Callers in the zone are still served.
	status, _, body = nodes[0].call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, "answer of target-1", body)
	require.Zero(t, nodes[0].target.runs.Load())
	// A node that prefers the evacuated zone and does not know of the order.
	stale := newZones(t, "a", "a", "b")
	stale[1].Step(evacuate("a", 5))
	stale[0].Step(control.TargetLeaving{ID: "target-0"})
	for i := range 20 {
		status, _, body := stale[0].call(t, http.MethodPost, "/write/x", fmt.Sprintf("w%d", i))
		require.Equal(t, http.StatusOK, status, body)
	}
	require.Zero(t, stale[1].target.runs.Load())
	require.EqualValues(t, 20, stale[2].target.runs.Load())
}

// Guards against a request that waits for a slot while its zone is evacuated and then runs.
func TestRequestThatWaitsWhileItsZoneIsEvacuatedDoesNotRun(t *testing.T) {
	nodes := newZones(t, "a", "b")
	nodes[1].Step(control.TargetLeaving{ID: "target-1"})
	nodes[0].Step(control.PeerStateReceived{State: nodes[1].state()})
	entered, release := make(chan bool, 16), make(chan bool)
	nodes[0].target.serve(func(w http.ResponseWriter, _ *http.Request) {
		entered <- true
		<-release
		w.Header().Set("X-Signature", "s")
	})
	var wait sync.WaitGroup
	statuses := make([]int, 8)
	for i := range statuses {
		wait.Go(func() { statuses[i], _, _ = nodes[0].call(t, http.MethodGet, "/read/x", fmt.Sprintf("r%d", i)) })
	}
	for range 4 {
		<-entered
	}
	require.Eventually(t, func() bool { return nodes[0].gate.load().Waiting == 4 }, 2*time.Second, time.Millisecond)
	nodes[0].Step(evacuate("a", 5))
	close(release)
	wait.Wait()
	require.EqualValues(t, 4, nodes[0].target.runs.Load(), "what ran at the order is finished, nothing is begun")
	counts := map[int]int{}
	for _, s := range statuses {
		counts[s]++
	}
	require.Equal(t, map[int]int{http.StatusOK: 4, http.StatusServiceUnavailable: 4}, counts)
}

// Guards against requests that wait for a slot in an evacuated zone until no other zone can serve them
// in time.
func TestWaitingRequestsGoToAnotherZoneAtOnce(t *testing.T) {
	nodes := newZones(t, "a", "b")
	nodes[0].Step(evacuate("b", 1))
	release := make(chan bool)
	nodes[0].target.serve(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.Header().Set("X-Signature", "s")
	})
	var busy, waiting sync.WaitGroup
	statuses := make([]int, 4)
	for i := range statuses {
		busy.Go(func() { nodes[0].call(t, http.MethodGet, "/read/x", fmt.Sprintf("busy%d", i)) })
	}
	require.Eventually(t, func() bool { return nodes[0].gate.load().Running == 4 }, 2*time.Second, time.Millisecond)
	for i := range statuses {
		waiting.Go(func() { statuses[i], _, _ = nodes[0].call(t, http.MethodPost, "/write/x", fmt.Sprintf("w%d", i)) })
	}
	require.Eventually(t, func() bool { return nodes[0].gate.load().Waiting == 4 }, 2*time.Second, time.Millisecond)
	for _, n := range nodes {
		// A message may have told node 1 of the order.
		n.Step(control.ZoneReturned{Zone: "b", Position: logpos.Position{Era: 1, Offset: 2}})
	}
	began := time.Now()
	nodes[0].Step(evacuate("a", 5))
	waiting.Wait()
	took := time.Since(began)
	close(release)
	busy.Wait()
	require.Equal(t, []int{200, 200, 200, 200}, statuses)
	require.EqualValues(t, 4, nodes[1].target.runs.Load())
	require.Less(t, took, 500*time.Millisecond, "the slots in zone a are busy for as long as the test wants")
}

// Guards against anything but a refusal as not run, with a time to come back, if all zones are
// evacuated.
func TestAllZonesEvacuated(t *testing.T) {
	nodes := newZones(t, "a", "b")
	for _, n := range nodes {
		n.Step(evacuate("a", 5))
		n.Step(evacuate("b", 6))
	}
	for i, n := range nodes {
		status, header, body := n.call(t, http.MethodGet, "/read/x", fmt.Sprintf("r%d", i))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, header.Get("Retry-After"))
		require.Contains(t, body, reasonZoneEvacuated)
		require.Zero(t, n.target.runs.Load())
	}
	nodes[0].Step(control.ZoneReturned{Zone: "b", Position: logpos.Position{Era: 1, Offset: 7}})
	nodes[1].Step(control.ZoneReturned{Zone: "b", Position: logpos.Position{Era: 1, Offset: 7}})
	status, _, body := nodes[0].call(t, http.MethodGet, "/read/x", "back")
	require.Equal(t, http.StatusOK, status, body)
}

// Guards against requests to regions that the route or the organisation does not allow, against a
// restriction of one that lifts that of the other, and against the cost of copies without any.
func TestRegionsOfRouteAndOrganisation(t *testing.T) {
	regions := mesh.Regions{"a": "north", "b": "north", "c": "south"}
	all := []balance.Endpoint{{Zone: "a"}, {Zone: "b"}, {Zone: "c"}, {Zone: "unknown"}}
	for _, c := range []struct {
		route, organisation []string
		want                []balance.Endpoint
	}{
		{nil, nil, all},
		{[]string{"north"}, nil, all[:2]},
		{nil, []string{"south"}, all[2:3]},
		{[]string{"north", "south"}, []string{"south"}, all[2:3]},
		{[]string{"north"}, []string{"south"}, nil},
		{[]string{"elsewhere"}, []string{}, nil},
	} {
		got := inAllowedRegions(regions, all, c.route, c.organisation)
		require.ElementsMatch(t, c.want, got, "%v and %v", c.route, c.organisation)
	}
	require.Len(t, all, 4, "the view is not changed")
	require.Zero(t, testing.AllocsPerRun(10, func() { inAllowedRegions(regions, all, nil, nil) }))
}

// Guards against the body of a request that leaves the regions of its route, also when all targets
// there are gone.
func TestRequestsStayInTheRegionsOfTheirRoute(t *testing.T) {
	nodes := newZones(t, "a", "b", "c")
	config := testConfig()
	config.Version = 2
	config.Routes[1].AllowedRegions = []string{"south"}
	require.NoError(t, config.Prepare())
	for _, n := range nodes {
		n.settings.Regions = mesh.Regions{"a": "north", "b": "north", "c": "south"}
		n.Step(control.ConfigPublished{Config: config})
	}
	for i := range 10 {
		status, _, body := nodes[i%3].call(t, http.MethodPost, "/write/x", fmt.Sprintf("w%d", i))
		require.Equal(t, http.StatusOK, status, body)
		require.Equal(t, "answer of target-2", body)
	}
	nodes[2].Step(control.TargetLeaving{ID: "target-2"})
	for _, n := range nodes[:2] {
		n.Step(control.PeerStateReceived{State: nodes[2].state()})
	}
	for i, n := range nodes {
		began := time.Now()
		status, header, body := n.call(t, http.MethodPost, "/write/x", fmt.Sprintf("late-%d", i))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, header.Get("Retry-After"))
		require.Contains(t, body, reasonRegion)
		require.Less(t, time.Since(began), time.Second, "it is rejected at once")
	}
	require.Zero(t, nodes[0].target.runs.Load()+nodes[1].target.runs.Load())
}
