package sidecar

import (
	"net/http"
	"sync"
	"time"

	"heathercroft.example/heathercroft/pkg/crashes"
	"heathercroft.example/heathercroft/pkg/retry"
)

// requestIdentity identifies a request across client retries, which have the same method, host, path,
// caller and body.
func requestIdentity(method, host, uri, caller string, body *requestBody) uint64 {
	r := crashes.Request{Method: method, Host: host, URI: uri, Caller: caller}
	if body != nil {
		r.Body, r.More = body.head, body.rest != nil
	}
	return r.Identity()
}

func (n *Node) identityOf(r *http.Request, body *requestBody) uint64 {
	return requestIdentity(r.Method, r.Host, r.RequestURI, n.settings.Service, body)
}

// refusalCache holds the requests that were refused recently, so that their client
// retries get precedence over new requests.
type refusalCache struct {
	mu         sync.Mutex
	byIdentity map[uint64]refusedRequest
}

type refusedRequest struct {
	// firstArrival is when the request arrived for the first time; after expires the entry
	// is ignored.
	firstArrival, expires time.Duration
}

// maxRefusedRequests limits the memory to about the refusals of one second on a machine
// under heavy load.
const maxRefusedRequests = 4096

func newRefusals() *refusalCache { return &refusalCache{byIdentity: map[uint64]refusedRequest{}} }

// lookup returns when the request first arrived, and whether it is a client retry of a
// refused request.
func (c *refusalCache) lookup(identity uint64, now time.Duration) (first time.Duration, isRetry bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.byIdentity[identity]
	if !ok || now > entry.expires {
		return now, false
	}
	return entry.firstArrival, true
}

// record adds a refused request. A request that was refused before keeps its first arrival
// time.
func (c *refusalCache) record(identity uint64, first, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.byIdentity[identity]; ok && old.firstArrival < first {
		first = old.firstArrival
	}
	if len(c.byIdentity) >= maxRefusedRequests {
		for f, entry := range c.byIdentity {
			if entry.expires < first {
				delete(c.byIdentity, f)
			}
		}
		if len(c.byIdentity) >= maxRefusedRequests {
			clear(c.byIdentity)
		}
	}
	c.byIdentity[identity] = refusedRequest{first, until}
}

// splitSequences generates an evenly distributed sequence of positions for each route, so
// that a traffic split keeps its weights over short periods too.
type splitSequences struct {
	mu        sync.Mutex
	positions map[string]float64
}

// goldenRatioStep distributes positions evenly for any number of them.
const goldenRatioStep = 0.6180339887498949

func newSplitSequences() *splitSequences { return &splitSequences{positions: map[string]float64{}} }

func (s *splitSequences) next(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.positions) > maxTrackedRoutes {
		clear(s.positions)
	}
	x := s.after(route)
	s.positions[route] = x
	return x
}

// peek returns what next will return.
func (s *splitSequences) peek(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.after(route)
}

// after returns the position that follows that of the last request. mu must be held.
func (s *splitSequences) after(route string) float64 {
	x := s.positions[route] + goldenRatioStep
	if x >= 1 {
		x--
	}
	return x
}

// rates measures the request rate of each service.
type rates struct {
	mu          sync.Mutex
	windowStart time.Duration
	counts      map[string]float64
	last        map[string]float64
}

// rateWindow is the time over which the request rate is measured.
const rateWindow = 2 * time.Second

func newRates() *rates { return &rates{counts: map[string]float64{}, last: map[string]float64{}} }

func (r *rates) count(service string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	r.counts[service]++
}

func (r *rates) rotate(now time.Duration) {
	passed := now - r.windowStart
	if passed < rateWindow {
		return
	}
	r.windowStart = now
	clear(r.last)
	for service, count := range r.counts {
		r.last[service] = count / passed.Seconds()
	}
	clear(r.counts)
}

// perSecond returns the rates of the last complete window.
func (r *rates) perSecond(now time.Duration) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	out := make(map[string]float64, len(r.last))
	for service, rate := range r.last {
		out[service] = rate
	}
	return out
}

func (n *Node) retryBudget(service string) *retry.Budget {
	b, _ := n.budgets.LoadOrStore(service, &retry.Budget{Window: n.settings.RetryWindow})
	return b.(*retry.Budget)
}
