package sidecar

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/canary"
)

// tryVersion makes the target of the second node that of a version on trial that gets all requests.
func tryVersion(nodes []*testNode) (onTrial, old *atomic.Int64) {
	onTrial, old = &atomic.Int64{}, &atomic.Int64{}
	for i, count := range []*atomic.Int64{old, onTrial} {
		n := nodes[i]
		n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
			count.Add(1)
			answerOf(n, w)
		})
	}
	n := nodes[0]
	v := *n.view.Load()
	shop := *v.Endpoints["shop"]
	endpoints := shop.Old
	shop.Old, shop.New = nil, nil
	for _, e := range endpoints {
		if e.Node == nodes[1].settings.Node {
			shop.New = append(shop.New, e)
		} else {
			shop.Old = append(shop.Old, e)
		}
	}
	shop.NewShare, shop.MoveOpen = 1, true
	shop.Trial = &canary.Trial{Number: 1, Version: "v2", Deadline: time.Hour, Duration: time.Hour}
	v.Endpoints = map[string]*control.ServiceEndpoints{"shop": &shop}
	n.view.Store(&v)
	return onTrial, old
}

// Guards against a version on trial that gets more requests than its limits allow once all traffic is
// to go to it.
func TestVersionOnTrialGetsNoMoreThanItsLimits(t *testing.T) {
	nodes := newMesh(t, 2)
	onTrial, old := tryVersion(nodes)
	const requests = 100
	for i := range requests {
		status, _, _ := nodes[0].call(t, http.MethodGet, "/read/x", fmt.Sprintf("r%d", i))
		require.Equal(t, http.StatusOK, status)
	}
	require.LessOrEqual(t, onTrial.Load(), int64(requests/10))
	require.GreaterOrEqual(t, onTrial.Load(), int64(requests/20))
	require.EqualValues(t, requests, onTrial.Load()+old.Load())
	state := nodes[0].exposures.state()["shop"]
	require.Equal(t, exposureState{Version: "v2", Requests: requests, Sent: int(onTrial.Load())}, state)
}

// Guards against room that is lost to requests that never reached the version on trial.
func TestRequestsThatDoNotReachAVersionOnTrialTakeNoRoom(t *testing.T) {
	nodes := newMesh(t, 2)
	onTrial, _ := tryVersion(nodes)
	nodes[1].Step(control.TargetLeaving{ID: nodes[1].target.id})
	for i := range 30 {
		// Its node refuses the request, which then has no other target.
		status, _, _ := nodes[0].call(t, http.MethodGet, "/read/x", fmt.Sprintf("r%d", i))
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status)
	}
	require.Zero(t, onTrial.Load())
	require.Zero(t, nodes[0].exposures.state()["shop"].Sent)
}
