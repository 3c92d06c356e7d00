package sidecar

import (
	"context"
	"sync"
	"time"

	"heathercroft.example/heathercroft/pkg/admission"
)

// gate admits requests to the local target as its queue decides.
type gate struct {
	now func() time.Duration

	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[*admission.Ticket]chan bool
	// expiryScheduled is set while a call of expire is scheduled.
	expiryScheduled bool
}

// expiryInterval limits how long a waiting request is held after it can no longer be
// answered in time.
const expiryInterval = 20 * time.Millisecond

func newGate(now func() time.Duration) *gate {
	return &gate{
		now: now, queue: admission.NewQueue(defaultSlots),
		waiters: map[*admission.Ticket]chan bool{},
	}
}

// defaultSlots applies until the target has announced its slots.
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

// reasonQueue is the reason if the request would not be answered in time.
const reasonQueue = "queue"

// refusal is the reason why a request was not admitted.
type refusal struct {
	reason string
	// expectedWait is the queueing time that a request of this rank has to expect.
	expectedWait time.Duration
}

// acquire waits for a slot. Unless the request is refused, the release function must be
// called exactly once. A refused request does not run.
func (g *gate) acquire(ctx context.Context, r admission.Request) (release func(responded bool), waited time.Duration, refused *refusal) {
	arrivedAt := g.now()
	g.mu.Lock()
	ticket, verdict, expectedWait := g.queue.Submit(r, arrivedAt)
	if verdict == admission.Refuse {
		g.mu.Unlock()
		return nil, 0, &refusal{reasonQueue, expectedWait}
	}
	release = func(responded bool) {
		g.mu.Lock()
		g.wake(g.queue.Done(ticket, responded, g.now()))
		g.mu.Unlock()
	}
	if verdict == admission.Admit {
		g.mu.Unlock()
		return release, 0, nil
	}
	ready := make(chan bool, 1)
	g.waiters[ticket] = ready
	g.scheduleExpiry()
	g.mu.Unlock()
	select {
	case ok := <-ready:
		if !ok {
			return nil, g.now() - arrivedAt, &refusal{"waited", expectedWait}
		}
		return release, g.now() - arrivedAt, nil
	case <-ctx.Done():
		g.mu.Lock()
		withdrawn := g.queue.Cancel(ticket)
		delete(g.waiters, ticket)
		g.mu.Unlock()
		if !withdrawn && <-ready {
			release(false)
		}
		return nil, g.now() - arrivedAt, &refusal{"left", expectedWait}
	}
}

// wake admits the tickets. mu must be held.
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
	g.expiryScheduled = false
	defer g.scheduleExpiry()
	for _, t := range g.queue.Expire(g.now()) {
		if w, ok := g.waiters[t]; ok {
			w <- false
			delete(g.waiters, t)
		}
	}
}

// scheduleExpiry schedules the next call of expire while requests wait. mu must be held.
func (g *gate) scheduleExpiry() {
	if g.expiryScheduled || g.queue.Waiting() == 0 {
		return
	}
	g.expiryScheduled = true
	time.AfterFunc(expiryInterval, g.expire)
}

// stats returns the state of the gate, which is reported along with responses.
func (g *gate) stats() (running, waiting int, slowdown float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Waiting(), g.queue.Slowdown()
}

// meanServiceTime is the mean time that a request holds a slot.
func (g *gate) meanServiceTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.MeanServiceTime()
}
