package timeline

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// EstimateOffsets estimates how far the clock of each process is ahead of a reference,
// from the times at which processes first saw the same revision. The estimate
// contains the time that a revision takes to spread, which is seconds at most.
//
// The process with the most revisions is the reference. Then the process that
// shares the most revisions with those placed so far is placed: its offset is the
// median of the differences. A process that shares no revision has offset 0.
func EstimateOffsets(events []Event) map[string]time.Duration {
	seen := firstSeen(events)
	p := newPlacement(seen)
	for range seen {
		process := p.best()
		p.place(process)
	}
	return p.offsets
}

// firstSeen returns when each process had its first event of each revision.
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

// placement is the state of the estimate.
type placement struct {
	seen    map[string]map[uint64]time.Time
	offsets map[string]time.Duration
	// reference is the time of each revision on the reference clock.
	reference map[uint64]time.Time
	// holders are the processes that saw a revision.
	holders map[uint64][]string
	// left are the processes to place in order of name, and shared how many
	// reference revisions each of them has.
	left   []string
	shared map[string]int
}

func newPlacement(seen map[string]map[uint64]time.Time) *placement {
	p := &placement{
		seen: seen, offsets: map[string]time.Duration{}, reference: map[uint64]time.Time{},
		holders: map[uint64][]string{}, left: slices.Sorted(maps.Keys(seen)), shared: map[string]int{},
	}
	for process, revisions := range seen {
		for r := range revisions {
			p.holders[r] = append(p.holders[r], process)
		}
	}
	return p
}

// best takes the next process to place.
func (p *placement) best() string {
	at := 0
	for i, process := range p.left {
		if cmp.Or(
			cmp.Compare(p.shared[process], p.shared[p.left[at]]),
			cmp.Compare(len(p.seen[process]), len(p.seen[p.left[at]])),
		) > 0 {
			at = i
		}
	}
	process := p.left[at]
	p.left = slices.Delete(p.left, at, at+1)
	return process
}

func (p *placement) place(process string) {
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
		for _, h := range p.holders[r] {
			p.shared[h]++
		}
	}
}
