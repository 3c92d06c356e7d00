package sidecar

import (
	"context"
	"sync"
	"time"

	"heathercroft.example/heathercroft/pkg/admission"
)

// gate lets requests to the local target in as its queue decides.
type gate struct {
	now func() time.Duration

	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[*admission.Ticket]chan bool
	// expiring is set while a look at the waiting requests is due.
	expiring bool
}

// expireInterval bounds how long a waiting request is held after it is known
// that it cannot be answered in time.
const expireInterval = 20 * time.Millisecond

func newGate(now func() time.Duration) *gate {
	return &gate{
		now: now, queue: admission.NewQueue(defaultSlots),
		waiters: map[*admission.Ticket]chan bool{},
	}
}

// defaultSlots holds until the target has announced its slots.
const defaultSlots = 4

func (g *gate) resize(slots int) {
	if slots <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Slots() != slots {
		g.wake(g.queue.Resize(slots, g.now()))
	}
}

// reasonQueue says that the request would not be answered in time.
const reasonQueue = "queue"

// refusal is the reason for which a request was not let in.
type refusal struct {
	reason string
	// wait is how long a request of this rank would have to wait.
	wait time.Duration
}

// enter waits for a slot. The release function must be called once if there is
// no refusal; a refused request certainly does not run.
func (g *gate) enter(ctx context.Context, r admission.Request) (release func(answered bool), waited time.Duration, no *refusal) {
	arrived := g.now()
	g.mu.Lock()
	ticket, verdict, wait := g.queue.Submit(r, arrived)
	if verdict == admission.Refuse {
		g.mu.Unlock()
		return nil, 0, &refusal{reasonQueue, wait}
	}
	release = func(answered bool) {
		g.mu.Lock()
		g.wake(g.queue.Done(ticket, answered, g.now()))
		g.mu.Unlock()
	}
	if verdict == admission.Admit {
		g.mu.Unlock()
		return release, 0, nil
	}
	ready := make(chan bool, 1)
	g.waiters[ticket] = ready
	g.expireLater()
	g.mu.Unlock()
	select {
	case ok := <-ready:
		if !ok {
			return nil, g.now() - arrived, &refusal{"waited", wait}
		}
		return release, g.now() - arrived, nil
	case <-ctx.Done():
		g.mu.Lock()
		withdrawn := g.queue.Cancel(ticket)
		delete(g.waiters, ticket)
		g.mu.Unlock()
		if !withdrawn && <-ready {
			release(false)
		}
		return nil, g.now() - arrived, &refusal{"left", wait}
	}
}

// wake lets tickets run. mu must be held.
func (g *gate) wake(ready []*admission.Ticket) {
	for _, t := range ready {
		if w, ok := g.waiters[t]; ok {
			w <- true
			delete(g.waiters, t)
		}
	}
}

// expire refuses the waiting requests that can no longer be answered in time.
func (g *gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expiring = false
	defer g.expireLater()
	for _, t := range g.queue.Expire(g.now()) {
		if w, ok := g.waiters[t]; ok {
			w <- false
			delete(g.waiters, t)
		}
	}
}

// expireLater looks again while requests wait. mu must be held.
func (g *gate) expireLater() {
	if g.expiring || g.queue.Waiting() == 0 {
		return
	}
	g.expiring = true
	time.AfterFunc(expireInterval, g.expire)
}

// load is the state of the gate that goes back with answers.
func (g *gate) load() (running, waiting int, pace float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Waiting(), g.queue.Slowdown()
}

// needs learns how long requests of each route take at a target.
type needs struct {
	mu     sync.Mutex
	routes map[string]float64
}

func newNeeds() *needs { return &needs{routes: map[string]float64{}} }

const (
	// needWeight is the weight of one measurement in the average of a route.
	needWeight = 0.05
	// maxNeedRoutes bounds the memory; a configuration has a few hundred routes.
	maxNeedRoutes = 4096
)

// get returns the expected time of the route, or the fallback if none was seen.
func (n *needs) get(route string, fallback time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v, ok := n.routes[route]; ok {
		return time.Duration(v)
	}
	return fallback
}

func (n *needs) observe(route string, took time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	v, ok := n.routes[route]
	if !ok {
		if len(n.routes) >= maxNeedRoutes {
			clear(n.routes)
		}
		n.routes[route] = float64(took)
		return
	}
	n.routes[route] = v + needWeight*(float64(took)-v)
}

// mean is how long a request holds a slot on average.
func (g *gate) mean() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.MeanServiceTime()
}
