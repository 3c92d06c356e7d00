package callpath

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// LatencyBuckets is how many buckets of latency are kept: bucket i counts
// attempts under 2^i times 64 µs, the last one all others.
const LatencyBuckets = 20

const latencyUnit = 64 * time.Microsecond

// EvidenceKey is what evidence is counted by.
type EvidenceKey struct {
	Service string
	Version string
	Route   string
	Zone    mesh.AvailabilityZone
}

// EvidenceCount is the evidence of a key since the start of the process.
type EvidenceCount struct {
	Calls    uint64
	Failures uint64
	Latency  [LatencyBuckets]uint64
}

type evidenceCell struct {
	calls    atomic.Uint64
	failures atomic.Uint64
	latency  [LatencyBuckets]atomic.Uint64
}

// Evidence counts samples. Record takes a read lock and three atomic adds; a
// service that is not watched costs the read lock only.
type Evidence struct {
	mu      sync.RWMutex
	watched map[string]bool
	cells   map[EvidenceKey]*evidenceCell
}

// NewEvidence returns an evidence that watches no service.
func NewEvidence() *Evidence {
	return &Evidence{watched: map[string]bool{}, cells: map[EvidenceKey]*evidenceCell{}}
}

// Watch sets the services to count; the counts of others are dropped.
func (e *Evidence) Watch(services []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.watched)
	for _, s := range services {
		e.watched[s] = true
	}
	for key := range e.cells {
		if !e.watched[key.Service] {
			delete(e.cells, key)
		}
	}
}

// Record implements Recorder.
func (e *Evidence) Record(s Sample) {
	e.mu.RLock()
	if !e.watched[s.Service] {
		e.mu.RUnlock()
		return
	}
	key := EvidenceKey{s.Service, s.Version, s.Route, s.Zone}
	cell := e.cells[key]
	e.mu.RUnlock()
	if cell == nil {
		cell = e.newCell(key)
	}
	if s.Amends {
		cell.failures.Add(1)
		return
	}
	cell.calls.Add(1)
	if s.Failed() {
		cell.failures.Add(1)
	}
	cell.latency[latencyBucket(s.Latency)].Add(1)
}

func (e *Evidence) newCell(key EvidenceKey) *evidenceCell {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cell := e.cells[key]; cell != nil {
		return cell
	}
	cell := &evidenceCell{}
	e.cells[key] = cell
	return cell
}

func latencyBucket(d time.Duration) int {
	return min(bits.Len64(uint64(max(d, 0)/latencyUnit)), LatencyBuckets-1)
}

// Snapshot returns the counts so far; the receiver forms differences.
func (e *Evidence) Snapshot() map[EvidenceKey]EvidenceCount {
	e.mu.RLock()
	defer e.mu.RUnlock()
	out := make(map[EvidenceKey]EvidenceCount, len(e.cells))
	for key, cell := range e.cells {
		c := EvidenceCount{Calls: cell.calls.Load(), Failures: cell.failures.Load()}
		for i := range cell.latency {
			c.Latency[i] = cell.latency[i].Load()
		}
		out[key] = c
	}
	return out
}
