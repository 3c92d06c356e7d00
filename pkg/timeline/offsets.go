package timeline

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// EstimateOffsets estimates how far the clock of each process is ahead of a reference
// clock, from the times at which processes first recorded the same revision. The
// error includes the propagation delay of a revision, which is seconds at most.
//
// The process with the most revisions is the reference. The others follow in the
// order of how many revisions they share with those already estimated; the offset
// is the median of the differences. A process that shares no revision has offset 0.
func EstimateOffsets(events []Event) map[string]time.Duration {
	seen := firstSeen(events)
	p := newOffsetEstimator(seen)
	for range seen {
		process := p.takeNext()
		p.estimate(process)
	}
	return p.offsets
}

// firstSeen returns the time of each process's first event of each revision.
func firstSeen(events []Event) map[string]map[uint64]time.Time {
	seen := map[string]map[uint64]time.Time{}
	for _, e := range events {
		if seen[e.Process] == nil {
			seen[e.Process] = map[uint64]time.Time{}
		}
		if e.Revision == 0 {
			continue
		}
		if t, ok := seen[e.Process][e.Revision]; !ok || e.Time.Before(t) {
			seen[e.Process][e.Revision] = e.Time
		}
	}
	return seen
}

// offsetEstimator holds the intermediate state of EstimateOffsets.
type offsetEstimator struct {
	seen    map[string]map[uint64]time.Time
	offsets map[string]time.Duration
	// reference is the time of each revision on the reference clock.
	reference map[uint64]time.Time
	// observers maps a revision to the processes that recorded it.
	observers map[uint64][]string
	// remaining holds the processes without an estimate in order of name, shared
	// the number of reference revisions that each process has.
	remaining []string
	shared    map[string]int
}

func newOffsetEstimator(seen map[string]map[uint64]time.Time) *offsetEstimator {
	p := &offsetEstimator{
		seen: seen, offsets: map[string]time.Duration{}, reference: map[uint64]time.Time{},
		observers: map[uint64][]string{}, remaining: slices.Sorted(maps.Keys(seen)), shared: map[string]int{},
	}
	for process, revisions := range seen {
		for r := range revisions {
			p.observers[r] = append(p.observers[r], process)
		}
	}
	return p
}

// takeNext removes and returns the next process to estimate.
func (p *offsetEstimator) takeNext() string {
	at := 0
	for i, process := range p.remaining {
		if cmp.Or(
			cmp.Compare(p.shared[process], p.shared[p.remaining[at]]),
			cmp.Compare(len(p.seen[process]), len(p.seen[p.remaining[at]])),
		) > 0 {
			at = i
		}
	}
	process := p.remaining[at]
	p.remaining = slices.Delete(p.remaining, at, at+1)
	return process
}

func (p *offsetEstimator) estimate(process string) {
	var differences []time.Duration
	for r, t := range p.seen[process] {
		if ref, ok := p.reference[r]; ok {
			differences = append(differences, t.Sub(ref))
		}
	}
	offset := time.Duration(0)
	if len(differences) > 0 {
		slices.Sort(differences)
		offset = differences[len(differences)/2]
	}
	p.offsets[process] = offset
	for r, t := range p.seen[process] {
		if _, ok := p.reference[r]; ok {
			continue
		}
		p.reference[r] = t.Add(-offset)
		for _, h := range p.observers[r] {
			p.shared[h]++
		}
	}
}
