package sidecar

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"heathercroft.example/heathercroft/pkg/retry"
)

// fingerprintBytes is how much of a body is part of a fingerprint.
const fingerprintBytes = 4 << 10

// fingerprint identifies a request that comes again: callers repeat it with the
// same method, host, path and body.
func fingerprint(r *http.Request, body *payload) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method + "\x00" + r.Host + "\x00" + r.RequestURI + "\x00")
	if body != nil {
		_, _ = h.Write(body.head[:min(len(body.head), fingerprintBytes)])
	}
	return h.Sum64()
}

// returns remembers refused requests, so that they go before new ones when they
// come back.
type returns struct {
	mu     sync.Mutex
	byHash map[uint64]refused
}

type refused struct {
	// first is when the request came for the first time; until bounds the memory.
	first, until time.Duration
}

// maxReturns bounds the memory: about the refusals of one second on a machine
// under heavy load.
const maxReturns = 4096

func newReturns() *returns { return &returns{byHash: map[uint64]refused{}} }

// take returns when the request came first, and whether it was refused before.
func (t *returns) take(hash uint64, now time.Duration) (first time.Duration, returning bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byHash[hash]
	if !ok || now > r.until {
		return now, false
	}
	return r.first, true
}

// refused notes a refusal. A request that was refused before keeps its first time.
func (t *returns) refused(hash uint64, first, until time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.byHash[hash]; ok && old.first < first {
		first = old.first
	}
	if len(t.byHash) >= maxReturns {
		for h, r := range t.byHash {
			if r.until < first {
				delete(t.byHash, h)
			}
		}
		if len(t.byHash) >= maxReturns {
			clear(t.byHash)
		}
	}
	t.byHash[hash] = refused{first, until}
}

// splits gives each route evenly spread positions, so that a split keeps its
// weights over short spans too.
type splits struct {
	mu sync.Mutex
	at map[string]float64
}

// goldenStep spreads positions evenly whatever their number.
const goldenStep = 0.6180339887498949

func newSplits() *splits { return &splits{at: map[string]float64{}} }

func (s *splits) next(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.at) > maxNeedRoutes {
		clear(s.at)
	}
	x := s.at[route] + goldenStep
	if x >= 1 {
		x--
	}
	s.at[route] = x
	return x
}

// rates counts requests by service over the last seconds.
type rates struct {
	mu     sync.Mutex
	since  time.Duration
	counts map[string]float64
	last   map[string]float64
}

// rateWindow is the time over which the rate of requests is taken.
const rateWindow = 2 * time.Second

func newRates() *rates { return &rates{counts: map[string]float64{}, last: map[string]float64{}} }

func (r *rates) count(service string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	r.counts[service]++
}

func (r *rates) turn(now time.Duration) {
	passed := now - r.since
	if passed < rateWindow {
		return
	}
	r.since = now
	clear(r.last)
	for service, count := range r.counts {
		r.last[service] = count / passed.Seconds()
	}
	clear(r.counts)
}

// perSecond returns the rates of the last full window.
func (r *rates) perSecond(now time.Duration) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	out := make(map[string]float64, len(r.last))
	for service, rate := range r.last {
		out[service] = rate
	}
	return out
}

func (n *Node) budget(service string) *retry.Budget {
	b, _ := n.budgets.LoadOrStore(service, &retry.Budget{Window: n.settings.RetryWindow})
	return b.(*retry.Budget)
}

// running is what runs at the local target, by request id.
type running struct{ byID sync.Map }

// parent returns the request at the local target for which a call is made.
func (r *running) parent(id string) (hop, bool) {
	if id == "" {
		return hop{}, false
	}
	h, ok := r.byID.Load(id)
	if !ok {
		return hop{}, false
	}
	return h.(hop), true
}
