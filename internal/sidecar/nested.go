package sidecar

import (
	"sync"
	"sync/atomic"
	"time"

	"heathercroft.example/heathercroft/pkg/retry"
)

// activeRequests holds the requests that the local target is serving, by request id.
type activeRequests struct{ byID sync.Map }

// activeRequest is a request that the local target is serving.
type activeRequest struct {
	hopRequest
	// callFailed is set when a call that the target made for the request had no success.
	callFailed atomic.Bool
	// pendingCalls is the number of calls that the target waits for.
	pendingCalls atomic.Int32
	// ended is set when the request is no longer served.
	ended atomic.Bool
}

// beginCall records that the target makes a call for the request. end must be called before the
// response to the call is written, or soon after its refusal is.
func (a *activeRequest) beginCall() (end func(succeeded bool)) {
	if a == nil {
		return func(bool) {}
	}
	a.pendingCalls.Add(1)
	var once sync.Once
	return func(succeeded bool) {
		once.Do(func() {
			if !succeeded {
				a.callFailed.Store(true)
			}
			a.pendingCalls.Add(-1)
		})
	}
}

// failedByCall reports whether a failure of the request is explained by one of its calls, which
// failed or has no response yet.
func (a *activeRequest) failedByCall() bool { return a.callFailed.Load() || a.pendingCalls.Load() > 0 }

func (r *activeRequests) add(h hopRequest) *activeRequest {
	a := &activeRequest{hopRequest: h}
	r.byID.Store(h.ID, a)
	return a
}

func (r *activeRequests) remove(a *activeRequest) { r.byID.CompareAndDelete(a.ID, a) }

// endedParentTime is how long the record of a request is kept after its end if calls need a key.
// A target goes on for up to half a second after its request was cancelled, and its calls carry
// no key.
const endedParentTime = time.Second

// endActive records that the request is no longer served.
func (n *Node) endActive(a *activeRequest) {
	c := n.view.Load().Config
	if c == nil || len(c.Organisations) == 0 {
		n.active.remove(a)
		return
	}
	a.ended.Store(true)
	time.AfterFunc(endedParentTime, func() { n.active.remove(a) })
}

// parent returns the request on whose behalf the local target makes a call, or nil.
func (r *activeRequests) parent(id string) *activeRequest {
	if a := r.recent(id); a != nil && !a.ended.Load() {
		return a
	}
	return nil
}

// recent returns a request that the local target serves, or served until shortly, or nil.
func (r *activeRequests) recent(id string) *activeRequest {
	if id == "" {
		return nil
	}
	a, ok := r.byID.Load(id)
	if !ok {
		return nil
	}
	return a.(*activeRequest)
}

// nestedCalls learns which calls the local target makes for the requests of a route.
type nestedCalls struct {
	mu     sync.Mutex
	routes map[string]*routeCalls
}

type routeCalls struct {
	runs float64
	// byService is the number of calls to each service in these runs.
	byService map[string]float64
}

// maxCountedRuns is the number of runs at which the counts of a route are halved, so that
// they follow a new version of the target.
const maxCountedRuns = 200

func newNestedCalls() *nestedCalls { return &nestedCalls{routes: map[string]*routeCalls{}} }

// countRun counts a request that the target runs.
func (n *nestedCalls) countRun(route string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.routes[route]
	if !ok {
		if len(n.routes) >= maxTrackedRoutes {
			clear(n.routes)
		}
		r = &routeCalls{byService: map[string]float64{}}
		n.routes[route] = r
	}
	if r.runs >= maxCountedRuns {
		r.runs /= 2
		for service := range r.byService {
			r.byService[service] /= 2
		}
	}
	r.runs++
}

// countCall counts a call that the target makes for a request of the route.
func (n *nestedCalls) countCall(route, service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.routes[route]; ok {
		r.byService[service]++
	}
}

// perRun returns the mean number of calls to each service for a request of the route.
func (n *nestedCalls) perRun(route string) map[string]float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.routes[route]
	if !ok {
		return nil
	}
	out := make(map[string]float64, len(r.byService))
	for service, calls := range r.byService {
		out[service] = calls / r.runs
	}
	return out
}

// reasonRetryBudget is the reason of a refused retry: its calls would count as retries too,
// and there is no room for them in the retry budgets of the called services.
const reasonRetryBudget = "retry-budget"

// hasRoomForCalls reports whether the retry budgets have room for the calls that a retry
// of the route makes.
func (n *Node) hasRoomForCalls(route string) bool {
	share, slack := retry.NodeShare(n.settings.RetryRatio, n.settings.RetrySlack, len(n.view.Load().Announcements), false)
	for service, calls := range n.nestedCalls.perRun(route) {
		if !n.retryBudget(service).HasRoom(n.clock.now(), share, slack, calls) {
			return false
		}
	}
	return true
}
