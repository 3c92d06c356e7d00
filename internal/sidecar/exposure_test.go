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

// tryVersion makes the target of the second node one of a version on trial that the first node sends
// all requests to, and that may get allowed of them.
func tryVersion(nodes []*testNode, allowed float64) (onTrial, old *atomic.Int64) {
	onTrial, old = &atomic.Int64{}, &atomic.Int64{}
	for i, count := range []*atomic.Int64{old, onTrial} {
		n := nodes[i]
		n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
			count.Add(1)
			answerOf(n, w)
		})
	}
	sender := *nodes[0].view.Load()
	shop := *sender.Endpoints["shop"]
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
	sender.Endpoints = map[string]*control.ServiceEndpoints{"shop": &shop}
	nodes[0].view.Store(&sender)
	receiver := *nodes[1].view.Load()
	receiver.Trial = &canary.Trial{Number: 1, Version: "v2", Deadline: time.Hour, Allowed: allowed}
	nodes[1].view.Store(&receiver)
	return onTrial, old
}

// Guards against a version on trial that gets more requests than its limits allow once all requests are
// sent to it, and against callers that are refused for it.
func TestVersionOnTrialGetsNoMoreThanItsLimits(t *testing.T) {
	nodes := newMesh(t, 2)
	onTrial, old := tryVersion(nodes, 10)
	const requests = 100
	for i := range requests {
		status, _, _ := nodes[0].call(t, http.MethodGet, "/read/x", fmt.Sprintf("r%d", i))
		require.Equal(t, http.StatusOK, status)
	}
	require.EqualValues(t, 10, onTrial.Load())
	require.EqualValues(t, requests-10, old.Load())
	require.Equal(t, &trialState{Version: "v2", Requests: 10}, nodes[1].trials.state())
}

// Guards against requests that a target of a suspected version gets from nodes that have not heard of
// it, and against callers that are refused for it.
func TestStoppedVersionGetsNoRequests(t *testing.T) {
	nodes := newMesh(t, 2)
	onTrial, old := tryVersion(nodes, 10)
	receiver := *nodes[1].view.Load()
	receiver.TargetStopped = true
	nodes[1].view.Store(&receiver)
	for i := range 10 {
		status, _, _ := nodes[0].call(t, http.MethodGet, "/read/x", fmt.Sprintf("r%d", i))
		require.Equal(t, http.StatusOK, status)
	}
	require.Zero(t, onTrial.Load())
	require.EqualValues(t, 10, old.Load())
}
