package sidecar

import (
	"context"
	"sync"
	"time"

	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/directory"
)

// gate admits requests to the local target as its queue decides.
type gate struct {
	now func() time.Duration

	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[*admission.Ticket]chan bool
	// target is the process that the rate limit belongs to.
	target directory.Process
	// pollScheduled is set while a call of poll is scheduled.
	pollScheduled bool
}

// pollInterval limits how long a waiting request is held after it can no longer be answered
// in time, and how long after the rate limit of the target allows it.
const pollInterval = 20 * time.Millisecond

func newGate(now func() time.Duration) *gate {
	return &gate{
		now: now, queue: admission.NewQueue(defaultSlots),
		waiters: map[*admission.Ticket]chan bool{},
	}
}

// defaultSlots applies until the target has announced its slots.
const defaultSlots = 4

// setTarget sets the process and the slots of the target. The limit of a former process does
// not apply to it.
func (g *gate) setTarget(p directory.Process, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target != p {
		g.target = p
		g.wake(g.queue.ResetLimit(g.now()))
	}
	if slots > 0 && g.queue.Slots() != slots {
		g.wake(g.queue.Resize(slots, g.now()))
	}
}

// signal applies the limit in a response of the target, or its absence, to a request that
// was sent at a time.
func (g *gate) signal(p directory.Process, s directory.Signals, sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == p {
		g.wake(g.queue.SignalLimit(s.Limited, s.RateLimit, sentAt, g.now()))
		g.schedulePoll()
	}
}

// adoptLimit applies a limit that another node knows.
func (g *gate) adoptLimit(p directory.Process, perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == p {
		g.queue.AdoptLimit(perSecond, g.now())
	}
}

const (
	// reasonQueue is the reason if the request would not be answered in time.
	reasonQueue = "queue"
	// reasonWaited is the reason if that turned out while it waited.
	reasonWaited = "waited"
	// reasonTargetLimit is the reason if it would exceed the rate limit of the target.
	reasonTargetLimit = "target-limit"
)

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
		reason := reasonQueue
		if _, available, limited := g.queue.RateLimit(arrivedAt); limited && available < 1 {
			reason = reasonTargetLimit
		}
		g.mu.Unlock()
		return nil, 0, &refusal{reason, expectedWait}
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
	g.schedulePoll()
	g.mu.Unlock()
	select {
	case ok := <-ready:
		if !ok {
			return nil, g.now() - arrivedAt, &refusal{reasonWaited, expectedWait}
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

// poll admits the waiting requests that the rate limit now allows, and refuses those that
// can no longer be answered in time.
func (g *gate) poll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pollScheduled = false
	defer g.schedulePoll()
	g.wake(g.queue.Resume(g.now()))
	for _, t := range g.queue.Expire(g.now()) {
		if w, ok := g.waiters[t]; ok {
			w <- false
			delete(g.waiters, t)
		}
	}
}

// schedulePoll schedules the next call of poll while requests wait. mu must be held.
func (g *gate) schedulePoll() {
	if g.pollScheduled || g.queue.Waiting() == 0 {
		return
	}
	g.pollScheduled = true
	time.AfterFunc(pollInterval, g.poll)
}

// load returns the state of the gate, which is reported along with responses.
func (g *gate) load() balance.LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	report := balance.LoadReport{
		Running: g.queue.Running(), Waiting: g.queue.Waiting(), Slowdown: g.queue.Slowdown(), MeanServiceTime: g.queue.MeanServiceTime(),
	}
	report.RateLimit, report.RateAvailable, report.RateLimited = g.queue.RateLimit(g.now())
	return report
}
