package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// reportLifetime is the age at which a reported load counts for nothing.
const reportLifetime = 5 * time.Second

// Ejection limits.
const (
	// EjectionFailureThreshold is how many failures in a row eject an endpoint.
	EjectionFailureThreshold = 5
	// BaseEjectionTime is the first ejection; each further one lasts twice as long.
	BaseEjectionTime = time.Second
	// MaxEjectionTime is the longest ejection.
	MaxEjectionTime = 30 * time.Second
)

type endpointKey struct {
	node    mesh.NodeID
	session mesh.SessionID
	service string
	version string
}

func keyOf(e mesh.Endpoint) endpointKey {
	return endpointKey{e.Node, e.Session, e.Service, e.Version}
}

// EndpointStats holds the counters of one endpoint. All methods are safe for concurrent use.
type EndpointStats struct {
	inFlight atomic.Int64
	// reported is in-flight requests as the endpoint's node counts them.
	reported   atomic.Int64
	reportedAt atomic.Int64

	mu        sync.Mutex
	failures  int
	ejections int
	// ejectedUntil is nanoseconds on the caller's clock, 0 if never ejected.
	ejectedUntil atomic.Int64
}

// Tracker holds the counters of all endpoints, across tables.
type Tracker struct {
	mu    sync.Mutex
	loads map[endpointKey]*EndpointStats
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{loads: map[endpointKey]*EndpointStats{}} }

func (t *Tracker) load(key endpointKey) *EndpointStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.loads[key]
	if !ok {
		l = &EndpointStats{}
		t.loads[key] = l
	}
	return l
}

// retain drops the counters of endpoints that are gone and idle.
func (t *Tracker) retain(keys map[endpointKey]struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, l := range t.loads {
		if _, ok := keys[key]; !ok && l.inFlight.Load() == 0 {
			delete(t.loads, key)
		}
	}
}

// Begin counts a call that is sent to the endpoint. Each Begin needs one End.
func (e *Endpoint) Begin() { e.load.inFlight.Add(1) }

// End counts the end of a call.
func (e *Endpoint) End() { e.load.inFlight.Add(-1) }

// InFlight returns the calls of this node at the endpoint.
func (e *Endpoint) InFlight() int { return int(e.load.inFlight.Load()) }

// Same reports whether both are the same endpoint, even if from different tables.
func (e *Endpoint) Same(o *Endpoint) bool { return e.load == o.load }

// SetReportedLoad stores the in-flight count that the endpoint's node sent back.
func (e *Endpoint) SetReportedLoad(inFlight int, now time.Duration) {
	e.load.reported.Store(int64(max(inFlight, 0)))
	e.load.reportedAt.Store(int64(now))
}

// RecordSuccess ends a run of failures. A success long after the last ejection
// also resets the length of the next one.
func (e *Endpoint) RecordSuccess(now time.Duration) {
	l := e.load
	if l.ejectedUntil.Load() == 0 {
		// Lock only if there is something to reset: this is the hot path.
		l.mu.Lock()
		l.failures = 0
		l.mu.Unlock()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
	if now > time.Duration(l.ejectedUntil.Load())+MaxEjectionTime {
		l.ejections = 0
		l.ejectedUntil.Store(0)
	}
}

// RecordFailure counts a failure and reports whether it ejected the endpoint.
func (e *Endpoint) RecordFailure(now time.Duration) bool {
	l := e.load
	l.mu.Lock()
	l.failures++
	due := l.failures >= EjectionFailureThreshold
	l.mu.Unlock()
	return due && e.eject(now)
}

// EjectNow ejects the endpoint at once: its connections do not answer. It reports
// whether the endpoint was ejected.
func (e *Endpoint) EjectNow(now time.Duration) bool { return e.eject(now) }

// eject takes the endpoint out for a while unless half of the service's
// endpoints are out already.
func (e *Endpoint) eject(now time.Duration) bool {
	if e.Ejected(now) {
		return false
	}
	out := 1
	for _, other := range e.service.all {
		if other.Ejected(now) {
			out++
		}
	}
	if 2*out > len(e.service.all) {
		return false
	}
	l := e.load
	l.mu.Lock()
	defer l.mu.Unlock()
	length := min(BaseEjectionTime<<min(l.ejections, 5), MaxEjectionTime)
	l.ejections++
	l.failures = 0
	l.ejectedUntil.Store(int64(now + length))
	return true
}

// Ejected reports whether the endpoint is out at the moment.
func (e *Endpoint) Ejected(now time.Duration) bool {
	return now < time.Duration(e.load.ejectedUntil.Load())
}

// score is the expected use of the endpoint's slots: own calls plus the
// reported ones, which count less with age.
func (e *Endpoint) score(now time.Duration) float64 {
	return (float64(e.load.inFlight.Load()) + e.fresh(now)) / float64(e.Slots)
}

func (e *Endpoint) fresh(now time.Duration) float64 {
	age := now - time.Duration(e.load.reportedAt.Load())
	if age >= reportLifetime {
		return 0
	}
	return float64(e.load.reported.Load()) * (1 - float64(max(age, 0))/float64(reportLifetime))
}

// used estimates the slots in use. Own calls are part of what the endpoint
// reports, so the two are not added.
func (e *Endpoint) used(now time.Duration) float64 {
	return max(float64(e.load.inFlight.Load()), e.fresh(now))
}
