package callpath

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// limiter assigns the slots of the local target. Uploads get at most half of the
// slots and half of the queue, so that short requests are not blocked by them.
type limiter struct {
	now func() time.Duration

	mu            sync.Mutex
	slots         int
	active        int
	uploads       int
	queue         []*waiter
	queuedUploads int // number of uploads in queue
	// rate is the limit that the target names, target the process that it belongs to.
	rate   admission.TargetLimit
	target targetProcess
	// wakeScheduled is set while a call of wake is scheduled.
	wakeScheduled bool
}

// targetProcess identifies a process of the local target.
type targetProcess struct {
	address       netip.AddrPort
	startedUnixMS int64
}

func processOf(t mesh.Target) targetProcess { return targetProcess{t.Address, t.StartedUnixMS} }

// setTarget sets the process of the target. The limit of a former one does not apply to it.
func (l *limiter) setTarget(p targetProcess) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target != p {
		l.target, l.rate = p, admission.TargetLimit{}
		l.grant()
	}
}

// signal applies the limit in a response of the target, or its absence, to a request that was
// sent at a time.
func (l *limiter) signal(p targetProcess, s directory.Signals, sentAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target == p {
		l.rate.Signal(s.Limited, s.RateLimit, sentAt, l.now())
		l.grant()
	}
}

// limit returns the limit that applies; ok is false if there is none.
func (l *limiter) limit() (perSecond float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate.PerSecond()
}

// adoptLimit applies a limit that another node knows.
func (l *limiter) adoptLimit(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate.Adopt(perSecond, l.now())
}

// scheduleWake schedules a call of wake at the time at which the rate limit lets the next
// request through. mu must be held.
func (l *limiter) scheduleWake() {
	now := l.now()
	if l.wakeScheduled || len(l.queue) == 0 || l.rate.Allows(now) {
		return
	}
	l.wakeScheduled = true
	time.AfterFunc(max(l.rate.Wait(1, now), minWake), l.wake)
}

// minWake is the least time between two checks of the rate limit.
const minWake = time.Millisecond

func (l *limiter) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeScheduled = false
	l.grant()
}

type waiter struct {
	upload  bool
	granted chan struct{}
}

// resize sets the number of slots.
func (l *limiter) resize(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = slots
	l.grant()
}

// load returns the number of requests at the target or in the queue, and the
// number of slots.
func (l *limiter) load() (inFlight, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active + len(l.queue), l.slots
}

// acquire takes a slot, or returns a refusal if there is none within limit. The
// slot must be released with the same value of upload.
func (l *limiter) acquire(ctx context.Context, upload bool, limit time.Duration) *Refusal {
	l.mu.Lock()
	if len(l.queue) == 0 && l.free(upload) {
		l.take(upload)
		l.mu.Unlock()
		return nil
	}
	if l.rate.Wait(len(l.queue)+1, l.now()) > limit {
		l.mu.Unlock()
		return NotRun(CodeTargetLimit, "the rate limit that the target names is used up")
	}
	if len(l.queue) >= l.slots || upload && l.queuedUploads >= half(l.slots) {
		l.mu.Unlock()
		return NotRun(CodeQueueFull, "all slots and places in the queue of the target are taken")
	}
	w := &waiter{upload: upload, granted: make(chan struct{})}
	l.queue = append(l.queue, w)
	if upload {
		l.queuedUploads++
	}
	l.grant()
	l.mu.Unlock()
	return l.wait(ctx, w, limit)
}

func (l *limiter) wait(ctx context.Context, w *waiter, limit time.Duration) *Refusal {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	refusal := NotRun(CodeQueueTimeout, "no slot of the target became free in time")
	select {
	case <-w.granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
		refusal = NotRun(CodeDeadline, "the call ended while it waited for a slot")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.queue, w); i >= 0 {
		l.remove(i)
		return refusal
	}
	// The slot was granted at the same time.
	return nil
}

// release returns a slot.
func (l *limiter) release(upload bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
	if upload {
		l.uploads--
	}
	l.grant()
}

// grant gives free slots to the first waiters that may use them.
func (l *limiter) grant() {
	for i := 0; i < len(l.queue); {
		w := l.queue[i]
		if !l.free(w.upload) {
			i++
			continue
		}
		l.remove(i)
		l.take(w.upload)
		close(w.granted)
	}
	l.scheduleWake()
}

func (l *limiter) remove(i int) {
	if l.queue[i].upload {
		l.queuedUploads--
	}
	l.queue = slices.Delete(l.queue, i, i+1)
}

func (l *limiter) take(upload bool) {
	l.active++
	l.rate.Take(l.now())
	if upload {
		l.uploads++
	}
}

func (l *limiter) free(upload bool) bool {
	return l.active < l.slots && l.rate.Allows(l.now()) && (!upload || l.uploads < half(l.slots))
}

// half is at least 1, so that a target with one slot takes uploads too.
func half(slots int) int { return max(slots/2, 1) }
