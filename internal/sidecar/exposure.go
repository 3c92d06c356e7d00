package sidecar

import (
	"sync"
	"time"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/canary"
)

// reasonTrialLimit is the reason of a refusal by a node beside a target of a version on trial that has
// got as many requests as the trial allows.
const reasonTrialLimit = "trial-limit"

// trialGate limits what the local target gets while its version is on trial.
type trialGate struct {
	random func() float64

	mu       sync.Mutex
	number   uint64
	version  string
	exposure *canary.Exposure
}

// take counts a request for the local target. release must be called if it does not reach the target.
func (g *trialGate) take(v *control.View, now time.Duration) (release func(), ok bool) {
	t := v.Trial
	if t == nil {
		return func() {}, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exposure == nil || g.number != t.Number || g.version != t.Version {
		g.number, g.version, g.exposure = t.Number, t.Version, &canary.Exposure{Rounding: g.random()}
	}
	exposure := g.exposure
	if !exposure.Take(*t, now) {
		return nil, false
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		exposure.Return()
	}, true
}

// trialState is the state of the last trial of the local target, for the metrics.
type trialState struct {
	Version string `json:"version"`
	// Requests is the number of requests that the target got.
	Requests int `json:"requests"`
}

// state returns the state of the last trial, nil if there was none.
func (g *trialGate) state() *trialState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exposure == nil {
		return nil
	}
	return &trialState{Version: g.version, Requests: g.exposure.Taken()}
}
