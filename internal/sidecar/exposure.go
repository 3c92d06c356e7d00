package sidecar

import (
	"sync"
	"time"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/canary"
)

// exposures counts what this node sends to the versions on trial, by service.
type exposures struct {
	limits canary.Limits
	random func() float64

	mu        sync.Mutex
	byService map[string]*trialExposure
}

// trialExposure is the exposure of the version of one order.
type trialExposure struct {
	canary.Exposure
	number  uint64
	version string
}

func newExposures(limits canary.Limits, random func() float64) *exposures {
	return &exposures{limits: limits, random: random, byService: map[string]*trialExposure{}}
}

// of returns the exposure of a trial. mu must be held.
func (x *exposures) of(service string, t *canary.Trial) *trialExposure {
	e, ok := x.byService[service]
	if !ok || e.number != t.Number || e.version != t.Version {
		e = &trialExposure{Exposure: canary.Exposure{Rounding: x.random()}, number: t.Number, version: t.Version}
		x.byService[service] = e
	}
	return e
}

// room reports whether a request may be sent to the version on trial.
func (x *exposures) room(service string, t *canary.Trial, now time.Duration, counted bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.of(service, t).Room(*t, x.limits, now, counted)
}

// take counts a request that is sent to the version on trial. It returns nil if there is no room
// for it.
func (x *exposures) take(service string, t *canary.Trial, now time.Duration, counted bool) *trialExposure {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e := x.of(service, t); e.Take(*t, x.limits, now, counted) {
		return e
	}
	return nil
}

// giveBack takes back a request that did not reach a target.
func (x *exposures) giveBack(e *trialExposure) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e.Return()
}

// count counts a request for a service that has reached a target.
func (x *exposures) count(service string, t *canary.Trial) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.of(service, t).Count()
}

// exposureState is the state of a trial for the metrics.
type exposureState struct {
	Version string `json:"version"`
	// Requests have reached a target of the service, Sent were sent to the version on trial.
	Requests int `json:"requests"`
	Sent     int `json:"sent"`
}

// state returns the state of the last trial of each service.
func (x *exposures) state() map[string]exposureState {
	x.mu.Lock()
	defer x.mu.Unlock()
	states := make(map[string]exposureState, len(x.byService))
	for service, e := range x.byService {
		states[service] = exposureState{Version: e.version, Requests: e.Requests(), Sent: e.Sent()}
	}
	return states
}

// versionEndpoints returns the targets of one version of a service, as the share of the new one
// requires. onTrial is set if they are those of a version on trial. ok is false if the service is
// unknown.
func (n *Node) versionEndpoints(c *call) (endpoints []balance.Endpoint, onTrial *canary.Trial, ok bool) {
	s, ok := n.view.Load().Endpoints[c.service]
	if !ok {
		return nil, nil, false
	}
	if !n.picksNew(c, s) {
		return s.Old, nil, true
	}
	return s.New, s.Trial, true
}

// oldEndpoints returns the targets of the versions of a service that are not on trial. ok is false
// if the service is unknown.
func (n *Node) oldEndpoints(service string) (endpoints []balance.Endpoint, ok bool) {
	s, ok := n.view.Load().Endpoints[service]
	if !ok {
		return nil, false
	}
	return s.Old, true
}

// picksNew reports whether a request goes to the new version.
func (n *Node) picksNew(c *call, s *control.ServiceEndpoints) bool {
	switch {
	case s.NewShare <= 0 || len(s.New) == 0:
		return false
	case s.NewShare < 1 && n.random() >= s.NewShare:
		return false
	default:
		return s.Trial == nil || n.exposures.room(c.service, s.Trial, n.clock.now(), c.reached)
	}
}

// takeExposure counts an attempt at a version on trial. It reports whether there is room for it.
func (n *Node) takeExposure(c *call, t *canary.Trial) bool {
	c.exposure = n.exposures.take(c.service, t, n.clock.now(), c.reached)
	return c.exposure != nil
}

// returnExposure takes back an attempt at a version on trial that was chosen and did not reach it.
func (n *Node) returnExposure(c *call) {
	if c.exposure != nil {
		n.exposures.giveBack(c.exposure)
		c.exposure = nil
	}
}

// countReached counts the call once it has reached a target, while a version of its service is on
// trial. The attempt at that version is final then.
func (n *Node) countReached(c *call) {
	c.exposure = nil
	if c.reached {
		return
	}
	c.reached = true
	if s, ok := n.view.Load().Endpoints[c.service]; ok && s.Trial != nil {
		n.exposures.count(c.service, s.Trial)
	}
}
