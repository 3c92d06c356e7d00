package callpath

import (
	"context"
	"sync"
)

// inFlight counts the requests in flight at this node and lets a drain wait for
// them.
type inFlight struct {
	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{}
}

// enter counts a request. It returns false while the node drains, unless the
// request is made on behalf of one that is already in flight.
func (f *inFlight) enter(partOfWork bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining && !partOfWork {
		return false
	}
	f.count++
	return true
}

func (f *inFlight) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

func (f *inFlight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// drain refuses new requests from now on and waits until none is in flight or ctx
// ends. It returns how many are left.
func (f *inFlight) drain(ctx context.Context) int {
	f.mu.Lock()
	f.draining = true
	for f.count > 0 {
		if f.idle == nil {
			f.idle = make(chan struct{})
		}
		idle := f.idle
		f.mu.Unlock()
		select {
		case <-idle:
			f.mu.Lock()
		case <-ctx.Done():
			f.mu.Lock()
			left := f.count
			f.mu.Unlock()
			return left
		}
	}
	f.mu.Unlock()
	return 0
}
