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
	o := newOffsetEstimator(seen)
	for range seen {
		process := o.takeNext()
		o.estimate(process)
	}
	return o.offsets
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
	o := &offsetEstimator{
		seen: seen, offsets: map[string]time.Duration{}, reference: map[uint64]time.Time{},
		observers: map[uint64][]string{}, remaining: slices.Sorted(maps.Keys(seen)), shared: map[string]int{},
	}
	for process, revisions := range seen {
		for r := range revisions {
			o.observers[r] = append(o.observers[r], process)
		}
	}
	return o
}

// takeNext removes and returns the next process to estimate.
func (o *offsetEstimator) takeNext() string {
	at := 0
	for i, process := range o.remaining {
		if cmp.Or(
			cmp.Compare(o.shared[process], o.shared[o.remaining[at]]),
			cmp.Compare(len(o.seen[process]), len(o.seen[o.remaining[at]])),
		) > 0 {
			at = i
		}
	}
	process := o.remaining[at]
	o.remaining = slices.Delete(o.remaining, at, at+1)
	return process
}

func (o *offsetEstimator) estimate(process string) {
	var differences []time.Duration
	for r, t := range o.seen[process] {
		if ref, ok := o.reference[r]; ok {
			differences = append(differences, t.Sub(ref))
		}
	}
	offset := time.Duration(0)
	if len(differences) > 0 {
		slices.Sort(differences)
		offset = differences[len(differences)/2]
	}
	o.offsets[process] = offset
	for r, t := range o.seen[process] {
		if _, ok := o.reference[r]; ok {
			continue
		}
		o.reference[r] = t.Add(-offset)
		for _, h := range o.observers[r] {
			o.shared[h]++
		}
	}
}
