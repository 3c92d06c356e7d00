package callpath

import (
	"context"
	"slices"
	"sync"
	"time"
)

// limiter assigns the slots of the local target. Uploads get at most half of the
// slots and half of the queue, so that short requests are not blocked by them.
type limiter struct {
	mu            sync.Mutex
	slots         int
	active        int
	uploads       int
	queue         []*waiter
	queuedUploads int // number of uploads in queue
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
}

func (l *limiter) remove(i int) {
	if l.queue[i].upload {
		l.queuedUploads--
	}
	l.queue = slices.Delete(l.queue, i, i+1)
}

func (l *limiter) take(upload bool) {
	l.active++
	if upload {
		l.uploads++
	}
}

func (l *limiter) free(upload bool) bool {
	return l.active < l.slots && (!upload || l.uploads < half(l.slots))
}

// half is at least 1, so that a target with one slot takes uploads too.
func half(slots int) int { return max(slots/2, 1) }
