package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// loadReportMaxAge is the age at which a load report is ignored.
const loadReportMaxAge = 5 * time.Second

// Limits of outlier ejection.
const (
	// EjectionFailureThreshold is the number of consecutive failures that eject an endpoint.
	EjectionFailureThreshold = 5
	// BaseEjectionTime is the duration of the first ejection. It doubles with each
	// further one.
	BaseEjectionTime = time.Second
	// MaxEjectionTime is the maximum duration of an ejection.
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

// EndpointStats holds the counters of one endpoint. It is safe for concurrent use.
type EndpointStats struct {
	inFlight atomic.Int64
	// reported is the number of in-flight requests reported by the endpoint's node.
	reported   atomic.Int64
	reportedAt atomic.Int64

	mu                  sync.Mutex
	consecutiveFailures int
	ejectionCount       int
	// ejectedUntil is in nanoseconds on the caller's clock; 0 if never ejected.
	ejectedUntil atomic.Int64
	// signals is what the current process of the target said in its last response, nil if
	// nothing.
	signals atomic.Pointer[directory.Signals]
}

// Tracker holds the counters of all endpoints and outlives individual tables.
type Tracker struct {
	mu    sync.Mutex
	stats map[endpointKey]*EndpointStats
	// signals outlives the sessions of nodes: a node that restarts does not know what the
	// target beside it said before.
	signals *directory.SignalTable
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{stats: map[endpointKey]*EndpointStats{}, signals: directory.NewSignalTable()}
}

// processOf identifies a process of the target of an endpoint.
func processOf(e mesh.Endpoint, startedUnixMS int64) directory.Process {
	return directory.Process{ID: string(e.Node) + "/" + e.Service + "/" + e.Version, StartUnixMS: startedUnixMS}
}

// loadSignals sets the signals of the endpoint's current process.
func (t *Tracker) loadSignals(e mesh.Endpoint, stats *EndpointStats) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats.signals.Store(nil)
	if s := t.signals.Of(processOf(e, e.StartedUnixMS)); s != (directory.Signals{}) {
		stats.signals.Store(&s)
	}
}

// RecordSignals stores what a process of the target said in a response. An endpoint whose
// target is shutting down is not chosen any more.
func (e *Endpoint) RecordSignals(s directory.Signals, startedUnixMS int64) {
	if known := e.stats.signals.Load(); known == nil && s == (directory.Signals{}) || known != nil && *known == s {
		return
	}
	e.tracker.mu.Lock()
	changed := e.tracker.signals.Update(processOf(e.Endpoint, startedUnixMS), s)
	e.tracker.mu.Unlock()
	if changed {
		e.tracker.loadSignals(e.Endpoint, e.stats)
	}
}

// KnownLimit returns the requests per second that the target named in its last response; ok
// is false if it named no limit.
func (e *Endpoint) KnownLimit() (perSecond float64, ok bool) {
	if s := e.stats.signals.Load(); s != nil {
		return s.RateLimit, s.Limited
	}
	return 0, false
}

// leaving reports whether the target said that it is shutting down.
func (e *Endpoint) leaving() bool {
	s := e.stats.signals.Load()
	return s != nil && s.Leaving
}

func (t *Tracker) statsFor(key endpointKey) *EndpointStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.stats[key]
	if !ok {
		s = &EndpointStats{}
		t.stats[key] = s
	}
	return s
}

// retain deletes the counters of endpoints that are not in keys and have no calls in flight.
func (t *Tracker) retain(keys map[endpointKey]struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.stats {
		if _, ok := keys[key]; !ok && s.inFlight.Load() == 0 {
			delete(t.stats, key)
		}
	}
}

// Begin counts a call sent to the endpoint. Each Begin must be followed by one End.
func (e *Endpoint) Begin() { e.stats.inFlight.Add(1) }

// End counts the completion of a call.
func (e *Endpoint) End() { e.stats.inFlight.Add(-1) }

// InFlight returns the number of calls from this node in flight at the endpoint.
func (e *Endpoint) InFlight() int { return int(e.stats.inFlight.Load()) }

// Same reports whether both values refer to the same endpoint, even if they come from
// different tables.
func (e *Endpoint) Same(o *Endpoint) bool { return e.stats == o.stats }

// SetReportedLoad stores the in-flight count returned by the endpoint's node.
func (e *Endpoint) SetReportedLoad(inFlight int, now time.Duration) {
	e.stats.reported.Store(int64(max(inFlight, 0)))
	e.stats.reportedAt.Store(int64(now))
}

// RecordSuccess resets the count of consecutive failures. A success more than
// MaxEjectionTime after the end of the last ejection also resets the duration of the
// next one.
func (e *Endpoint) RecordSuccess(now time.Duration) {
	s := e.stats
	if s.ejectedUntil.Load() == 0 {
		// Common case on the hot path: the endpoint was not ejected recently, so only the
		// failure count is reset.
		s.mu.Lock()
		s.consecutiveFailures = 0
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutiveFailures = 0
	if now > time.Duration(s.ejectedUntil.Load())+MaxEjectionTime {
		s.ejectionCount = 0
		s.ejectedUntil.Store(0)
	}
}

// RecordFailure counts a failure and reports whether this ejected the endpoint.
func (e *Endpoint) RecordFailure(now time.Duration) bool {
	s := e.stats
	s.mu.Lock()
	s.consecutiveFailures++
	thresholdReached := s.consecutiveFailures >= EjectionFailureThreshold
	s.mu.Unlock()
	return thresholdReached && e.eject(now)
}

// EjectNow ejects the endpoint without waiting for further failures, for example because
// its connections are unresponsive. It reports whether the endpoint was ejected.
func (e *Endpoint) EjectNow(now time.Duration) bool { return e.eject(now) }

// eject ejects the endpoint unless more than half of the service's endpoints would then
// be ejected.
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
	s := e.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	duration := min(BaseEjectionTime<<min(s.ejectionCount, 5), MaxEjectionTime)
	s.ejectionCount++
	s.consecutiveFailures = 0
	s.ejectedUntil.Store(int64(now + duration))
	return true
}

// Ejected reports whether the endpoint is currently ejected.
func (e *Endpoint) Ejected(now time.Duration) bool {
	return now < time.Duration(e.stats.ejectedUntil.Load())
}

// score estimates the slot utilization of the endpoint: this node's calls plus the
// reported ones, which count less with age.
func (e *Endpoint) score(now time.Duration) float64 {
	return (float64(e.stats.inFlight.Load()) + e.decayedReport(now)) / float64(e.Slots)
}

// decayedReport returns the reported in-flight count, reduced linearly with its age.
func (e *Endpoint) decayedReport(now time.Duration) float64 {
	age := now - time.Duration(e.stats.reportedAt.Load())
	if age >= loadReportMaxAge {
		return 0
	}
	return float64(e.stats.reported.Load()) * (1 - float64(max(age, 0))/float64(loadReportMaxAge))
}

// slotsInUse estimates the slots in use. The reported count includes this node's calls,
// so the two are not added.
func (e *Endpoint) slotsInUse(now time.Duration) float64 {
	return max(float64(e.stats.inFlight.Load()), e.decayedReport(now))
}
