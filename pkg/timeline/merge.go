package timeline

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// Merge orders the events of many processes so that causes precede effects
// although their clocks differ. The order never depends on the order of the
// input, and a repeated event is kept once.
//
// Rules, the first one that decides:
//
//  1. Events of one session keep the order of their sequence.
//  2. Of two events with a revision, the one with the lower revision comes first;
//     of the same revision, KindAppended comes before all other kinds.
//  3. The event with the earlier time comes first, where the time is the wall
//     clock of its process less the offset that EstimateOffsets estimates for it.
//  4. Process, session and sequence decide.
//
// An event that rule 2 puts before an earlier one of the same session contradicts
// rule 1, as when a process reports on an old change. Its revision is passed over.
// The other revisions rise in each session, so the rules 1 and 2 have no cycle.
//
// The algorithm takes the first events of all sessions and outputs one at a time:
// the earliest by rules 3 and 4 of those without a revision and of those with the
// lowest rank by rule 2 that is left in any session. It takes O(n log s) steps for n
// events of s sessions.
func Merge(events []Event) []Event {
	lanes := split(events)
	m := newMerger(lanes, EstimateOffsets(events))
	out := make([]Event, 0, len(events))
	for l := m.next(); l != nil; l = m.next() {
		out = append(out, l.entries[0].event)
		m.advance(l)
	}
	return out
}

// entry is an event with the values that it is ordered by.
type entry struct {
	event Event
	// rank orders the event by rule 2; it is 0 if the event is not ordered by revision.
	rank uint64
}

// lane holds the events of one session that are left, in order of sequence.
type lane struct {
	process, session string
	offset           time.Duration
	entries          []entry
}

func (l *lane) time() time.Time { return l.entries[0].event.Time.Add(-l.offset) }

// split groups the events by session, drops repeated ones and marks the
// ranks that rise.
func split(events []Event) []*lane {
	type key struct{ process, session string }
	byKey := map[key]*lane{}
	for _, e := range events {
		k := key{e.Process, e.Session}
		if byKey[k] == nil {
			byKey[k] = &lane{process: e.Process, session: e.Session}
		}
		byKey[k].entries = append(byKey[k].entries, entry{event: e})
	}
	lanes := slices.Collect(maps.Values(byKey))
	for _, l := range lanes {
		slices.SortStableFunc(l.entries, func(a, b entry) int { return cmp.Compare(a.event.Sequence, b.event.Sequence) })
		l.entries = slices.CompactFunc(l.entries, func(a, b entry) bool { return a.event.Sequence == b.event.Sequence })
		highest := uint64(0)
		for i, e := range l.entries {
			if r := rankOf(e.event); r != 0 && r >= highest {
				l.entries[i].rank = r
				highest = r
			}
		}
	}
	return lanes
}

// rankOf returns the place of an event by rule 2, or 0.
func rankOf(e Event) uint64 {
	switch {
	case e.Revision == 0:
		return 0
	case e.Kind == KindAppended:
		return 2 * e.Revision
	default:
		return 2*e.Revision + 1
	}
}

// merger holds the lanes by their first entry.
type merger struct {
	free  heads // first entries without a rank
	bound heads // first entries with a rank, the lowest first
	// ranks holds the ranks that are left in any lane, in order, and left how many
	// entries have each.
	ranks []uint64
	left  map[uint64]int
}

func newMerger(lanes []*lane, offsets map[string]time.Duration) *merger {
	m := &merger{left: map[uint64]int{}}
	for _, l := range lanes {
		l.offset = offsets[l.process]
		for _, e := range l.entries {
			if e.rank != 0 {
				m.left[e.rank]++
			}
		}
		m.push(l)
	}
	m.ranks = slices.Sorted(maps.Keys(m.left))
	return m
}

func (m *merger) push(l *lane) {
	if len(l.entries) == 0 {
		return
	}
	if l.entries[0].rank == 0 {
		heap.Push(&m.free, l)
	} else {
		heap.Push(&m.bound, l)
	}
}

// next takes the lane whose first entry comes next, or returns nil at the end.
func (m *merger) next() *lane {
	bound := len(m.bound) > 0 && m.bound[0].entries[0].rank == m.ranks[0]
	switch {
	case len(m.free) == 0 && !bound:
		return nil
	case len(m.free) == 0 || bound && earlier(m.bound[0], m.free[0]):
		return heap.Pop(&m.bound).(*lane)
	default:
		return heap.Pop(&m.free).(*lane)
	}
}

// advance drops the first entry of a lane that was taken and puts the lane back.
func (m *merger) advance(l *lane) {
	if r := l.entries[0].rank; r != 0 {
		m.left[r]--
		for len(m.ranks) > 0 && m.left[m.ranks[0]] == 0 {
			m.ranks = m.ranks[1:]
		}
	}
	l.entries = l.entries[1:]
	m.push(l)
}

// earlier compares the first entries of two lanes by the rules 3 and 4.
func earlier(a, b *lane) bool {
	if c := a.time().Compare(b.time()); c != 0 {
		return c < 0
	}
	return cmp.Or(cmp.Compare(a.process, b.process), cmp.Compare(a.session, b.session)) < 0
}

// heads is a heap of lanes by rank, then by time.
type heads []*lane

func (h heads) Len() int      { return len(h) }
func (h heads) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h heads) Less(i, j int) bool {
	a, b := h[i].entries[0].rank, h[j].entries[0].rank
	if a != b {
		return a < b
	}
	return earlier(h[i], h[j])
}

// Push implements heap.Interface.
func (h *heads) Push(x any) { *h = append(*h, x.(*lane)) }

// Pop implements heap.Interface.
func (h *heads) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	*h = (*h)[:last]
	return l
}
