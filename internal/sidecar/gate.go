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

	mu    sync.Mutex
	queue *admission.Queue
	// waiters holds the channel of each waiting request, which receives the reason of its refusal, or
	// "" if it is admitted.
	waiters map[*admission.Ticket]chan string
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
		waiters: map[*admission.Ticket]chan string{},
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
		g.queue.SetDisturbance(0, g.now())
		g.wake(g.queue.ResetLimit(g.now()))
	}
	if slots > 0 && g.queue.Slots() != slots {
		g.wake(g.queue.Resize(slots, g.now()))
	}
}

// setCold sets the requests per second that the target takes while it is cold, 0 for no limit, and
// the time until which it is cold.
func (g *gate) setCold(perSecond float64, until time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.queue.SetCold(perSecond, until, g.now()))
}

// coldLimit returns the requests per second that the target may get because it is cold or was until
// recently, 0 without a limit.
func (g *gate) coldLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	perSecond, _ := g.queue.ColdLimit(g.now())
	return perSecond
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

// setDisturbance records by how many times longer than usual work takes on the machine of the
// target, 0 if the target does not tell.
func (g *gate) setDisturbance(p directory.Process, factor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == p {
		g.queue.SetDisturbance(factor, g.now())
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
	// reasonTargetLimit is the reason if it would exceed the rate limit of the target, and
	// reasonTargetCold if it would exceed that of a cold target.
	reasonTargetLimit = "target-limit"
	reasonTargetCold  = "target-cold"
	// reasonShare is the reason if the request would not be answered in time because of other
	// requests of its organisation, while those of others are still admitted.
	reasonShare = "organisation-share"
)

// refusal is the reason why a request was not admitted.
type refusal struct {
	reason string
	// expectedWait is the queueing time that a request of this rank has to expect.
	expectedWait time.Duration
}

// admit waits for a slot. The ticket of a request that is not refused must be passed to release
// exactly once. A refused request does not run.
func (g *gate) admit(ctx context.Context, r admission.Request) (ticket *admission.Ticket, waited time.Duration, refused *refusal) {
	arrivedAt := g.now()
	g.mu.Lock()
	ticket, verdict, expectedWait := g.queue.Submit(r, arrivedAt)
	if verdict == admission.Refuse {
		reason := reasonQueue
		if _, available, limited := g.queue.RateLimit(arrivedAt); limited && available < 1 {
			reason = reasonTargetLimit
			if g.queue.HeldByCold(arrivedAt) {
				reason = reasonTargetCold
			}
		}
		if g.queue.ExceedsShare(r, arrivedAt) {
			reason = reasonShare
		}
		g.mu.Unlock()
		return nil, 0, &refusal{reason, expectedWait}
	}
	if verdict == admission.Admit {
		g.mu.Unlock()
		return ticket, 0, nil
	}
	ready := make(chan string, 1)
	g.waiters[ticket] = ready
	g.schedulePoll()
	g.mu.Unlock()
	select {
	case reason := <-ready:
		if reason != "" {
			return nil, g.now() - arrivedAt, &refusal{reason, expectedWait}
		}
		return ticket, g.now() - arrivedAt, nil
	case <-ctx.Done():
		g.mu.Lock()
		withdrawn := g.queue.Cancel(ticket)
		delete(g.waiters, ticket)
		g.mu.Unlock()
		if !withdrawn && <-ready == "" {
			g.release(ticket, noResponse)
		}
		return nil, g.now() - arrivedAt, &refusal{"left", expectedWait}
	}
}

// ending tells how a request to the target ended.
type ending int

const (
	// noResponse: the request was not sent or got no response.
	noResponse ending = iota
	// responded: the target responded.
	responded
	// shed: the target refused the request.
	shed
)

// release releases the slot of a request.
func (g *gate) release(ticket *admission.Ticket, e ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e == shed {
		g.wake(g.queue.Refused(ticket, g.now()))
	} else {
		g.wake(g.queue.Done(ticket, e == responded, g.now()))
	}
}

// room returns how many requests may be at the target, fewer than its slots while it sheds load.
func (g *gate) room() (room, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Room(g.now()), g.queue.Slots()
}

// wake admits the tickets. mu must be held.
func (g *gate) wake(ready []*admission.Ticket) {
	for _, t := range ready {
		if w, ok := g.waiters[t]; ok {
			w <- ""
			delete(g.waiters, t)
		}
	}
}

// refuseWaiting refuses all waiting requests, which then do not run here.
func (g *gate) refuseWaiting(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for t, w := range g.waiters {
		if g.queue.Cancel(t) {
			w <- reason
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
			w <- reasonWaited
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
	now := g.now()
	report.RateLimit, report.RateAvailable, report.RateLimited = g.queue.RateLimit(now)
	if room := g.queue.Room(now); room < g.queue.Slots() {
		report.Room = room
	}
	if factor, age, ok := g.queue.Disturbance().Report(now); ok {
		report.Disturbance, report.DisturbanceAge = factor, age
	}
	if _, burst := g.queue.ColdLimit(now); burst > 0 {
		report.RateBurst = float64(burst)
	}
	return report
}
