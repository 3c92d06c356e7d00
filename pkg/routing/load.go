package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// loadReportMaxAge is the age at which a reported load counts for nothing.
const loadReportMaxAge = 5 * time.Second

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

	mu                  sync.Mutex
	consecutiveFailures int
	ejectionCount       int
	// ejectedUntil is nanoseconds on the caller's clock, 0 if never ejected.
	ejectedUntil atomic.Int64
}

// Tracker holds the counters of all endpoints, across tables.
type Tracker struct {
	mu    sync.Mutex
	stats map[endpointKey]*EndpointStats
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{stats: map[endpointKey]*EndpointStats{}} }

func (t *Tracker) statsFor(key endpointKey) *EndpointStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.stats[key]
	if !ok {
		l = &EndpointStats{}
		t.stats[key] = l
	}
	return l
}

// retain drops the counters of endpoints that are gone and idle.
func (t *Tracker) retain(keys map[endpointKey]struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, l := range t.stats {
		if _, ok := keys[key]; !ok && l.inFlight.Load() == 0 {
			delete(t.stats, key)
		}
	}
}

// Begin counts a call that is sent to the endpoint. Each Begin needs one End.
func (e *Endpoint) Begin() { e.stats.inFlight.Add(1) }

// End counts the end of a call.
func (e *Endpoint) End() { e.stats.inFlight.Add(-1) }

// InFlight returns the calls of this node at the endpoint.
func (e *Endpoint) InFlight() int { return int(e.stats.inFlight.Load()) }

// Same reports whether both are the same endpoint, even if from different tables.
func (e *Endpoint) Same(o *Endpoint) bool { return e.stats == o.stats }

// SetReportedLoad stores the in-flight count that the endpoint's node sent back.
func (e *Endpoint) SetReportedLoad(inFlight int, now time.Duration) {
	e.stats.reported.Store(int64(max(inFlight, 0)))
	e.stats.reportedAt.Store(int64(now))
}

// RecordSuccess ends a run of failures. A success long after the last ejection
// also resets the length of the next one.
func (e *Endpoint) RecordSuccess(now time.Duration) {
	l := e.stats
	if l.ejectedUntil.Load() == 0 {
		// Lock only if there is something to reset: this is the hot path.
		l.mu.Lock()
		l.consecutiveFailures = 0
		l.mu.Unlock()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.consecutiveFailures = 0
	if now > time.Duration(l.ejectedUntil.Load())+MaxEjectionTime {
		l.ejectionCount = 0
		l.ejectedUntil.Store(0)
	}
}

// RecordFailure counts a failure and reports whether it ejected the endpoint.
func (e *Endpoint) RecordFailure(now time.Duration) bool {
	l := e.stats
	l.mu.Lock()
	l.consecutiveFailures++
	thresholdReached := l.consecutiveFailures >= EjectionFailureThreshold
	l.mu.Unlock()
	return thresholdReached && e.eject(now)
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
	ejected := 1
	for _, other := range e.service.endpoints {
		if other.Ejected(now) {
			ejected++
		}
	}
	if 2*ejected > len(e.service.endpoints) {
		return false
	}
	l := e.stats
	l.mu.Lock()
	defer l.mu.Unlock()
	duration := min(BaseEjectionTime<<min(l.ejectionCount, 5), MaxEjectionTime)
	l.ejectionCount++
	l.consecutiveFailures = 0
	l.ejectedUntil.Store(int64(now + duration))
	return true
}

// Ejected reports whether the endpoint is out at the moment.
func (e *Endpoint) Ejected(now time.Duration) bool {
	return now < time.Duration(e.stats.ejectedUntil.Load())
}

// score is the expected use of the endpoint's slots: own calls plus the
// reported ones, which count less with age.
func (e *Endpoint) score(now time.Duration) float64 {
	return (float64(e.stats.inFlight.Load()) + e.decayedReport(now)) / float64(e.Slots)
}

func (e *Endpoint) decayedReport(now time.Duration) float64 {
	age := now - time.Duration(e.stats.reportedAt.Load())
	if age >= loadReportMaxAge {
		return 0
	}
	return float64(e.stats.reported.Load()) * (1 - float64(max(age, 0))/float64(loadReportMaxAge))
}

// slotsInUse estimates the slots in use. Own calls are part of what the endpoint
// reports, so the two are not added.
func (e *Endpoint) slotsInUse(now time.Duration) float64 {
	return max(float64(e.stats.inFlight.Load()), e.decayedReport(now))
}
