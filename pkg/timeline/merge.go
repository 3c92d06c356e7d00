package timeline

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// Merge orders the events of several processes so that causes precede effects even
// if their clocks differ. The result does not depend on the order of the input, and
// duplicate events are removed.
//
// The first rule that applies decides:
//
//  1. Events of one session keep the order of their sequence.
//  2. Of two events with a revision, the one with the lower revision comes first;
//     of the same revision, KindAppended comes before all other kinds.
//  3. The event with the earlier time comes first, where the time is that of the
//     process's wall clock minus the offset from EstimateOffsets.
//  4. Events are ordered by process, session and sequence.
//
// If rule 2 would put an event before an earlier one of the same session, as when a
// process reports on an old change, it contradicts rule 1, and the revision of the
// event is ignored. The remaining revisions do not decrease within a session, so
// rules 1 and 2 cannot form a cycle.
//
// The algorithm repeatedly outputs one of the first events of all sessions: the
// earliest by rules 3 and 4 of those without a revision and of those with the lowest
// rank by rule 2 that remains in any session. It takes O(n log s) steps for n events
// of s sessions.
func Merge(events []Event) []Event {
	queues := groupBySession(events)
	m := newMerger(queues, EstimateOffsets(events))
	out := make([]Event, 0, len(events))
	for q := m.next(); q != nil; q = m.next() {
		out = append(out, q.entries[0].event)
		m.advance(q)
	}
	return out
}

// entry is an event with its sort key.
type entry struct {
	event Event
	// rank orders the event by rule 2. It is 0 if the event is not ordered by revision.
	rank uint64
}

// sessionQueue holds the remaining events of one session, in order of sequence.
type sessionQueue struct {
	process, session string
	offset           time.Duration
	entries          []entry
}

func (q *sessionQueue) time() time.Time { return q.entries[0].event.Time.Add(-q.offset) }

// groupBySession groups the events by session, removes duplicates and sets the rank
// of each event whose rank is not below that of an earlier event of the session.
func groupBySession(events []Event) []*sessionQueue {
	type key struct{ process, session string }
	byKey := map[key]*sessionQueue{}
	for _, e := range events {
		k := key{e.Process, e.Session}
		if byKey[k] == nil {
			byKey[k] = &sessionQueue{process: e.Process, session: e.Session}
		}
		byKey[k].entries = append(byKey[k].entries, entry{event: e})
	}
	queues := slices.Collect(maps.Values(byKey))
	for _, q := range queues {
		slices.SortStableFunc(q.entries, func(a, b entry) int { return cmp.Compare(a.event.Sequence, b.event.Sequence) })
		q.entries = slices.CompactFunc(q.entries, func(a, b entry) bool { return a.event.Sequence == b.event.Sequence })
		highest := uint64(0)
		for i, e := range q.entries {
			if r := revisionRank(e.event); r != 0 && r >= highest {
				q.entries[i].rank = r
				highest = r
			}
		}
	}
	return queues
}

// revisionRank returns the rank of an event by rule 2, 0 if it has no revision.
func revisionRank(e Event) uint64 {
	switch {
	case e.Revision == 0:
		return 0
	case e.Kind == KindAppended:
		return 2 * e.Revision
	default:
		return 2*e.Revision + 1
	}
}

// merger holds the session queues, ordered by their first entries.
type merger struct {
	unranked queueHeap // first entries without a rank
	ranked   queueHeap // first entries with a rank, the lowest first
	// ranks holds the ranks that remain in any queue in increasing order, remaining
	// the number of entries with each of them.
	ranks     []uint64
	remaining map[uint64]int
}

func newMerger(queues []*sessionQueue, offsets map[string]time.Duration) *merger {
	m := &merger{remaining: map[uint64]int{}}
	for _, q := range queues {
		q.offset = offsets[q.process]
		for _, e := range q.entries {
			if e.rank != 0 {
				m.remaining[e.rank]++
			}
		}
		m.push(q)
	}
	m.ranks = slices.Sorted(maps.Keys(m.remaining))
	return m
}

func (m *merger) push(q *sessionQueue) {
	if len(q.entries) == 0 {
		return
	}
	if q.entries[0].rank == 0 {
		heap.Push(&m.unranked, q)
	} else {
		heap.Push(&m.ranked, q)
	}
}

// next removes and returns the queue whose first entry comes next, or returns nil if
// all queues are empty.
func (m *merger) next() *sessionQueue {
	rankedReady := len(m.ranked) > 0 && m.ranked[0].entries[0].rank == m.ranks[0]
	switch {
	case len(m.unranked) == 0 && !rankedReady:
		return nil
	case len(m.unranked) == 0 || rankedReady && earlier(m.ranked[0], m.unranked[0]):
		return heap.Pop(&m.ranked).(*sessionQueue)
	default:
		return heap.Pop(&m.unranked).(*sessionQueue)
	}
}

// advance removes the first entry of a queue returned by next and reinserts the queue.
func (m *merger) advance(q *sessionQueue) {
	if r := q.entries[0].rank; r != 0 {
		m.remaining[r]--
		for len(m.ranks) > 0 && m.remaining[m.ranks[0]] == 0 {
			m.ranks = m.ranks[1:]
		}
	}
	q.entries = q.entries[1:]
	m.push(q)
}

// earlier compares the first entries of two queues by rules 3 and 4.
func earlier(a, b *sessionQueue) bool {
	if c := a.time().Compare(b.time()); c != 0 {
		return c < 0
	}
	return cmp.Or(cmp.Compare(a.process, b.process), cmp.Compare(a.session, b.session)) < 0
}

// queueHeap is a heap of queues by rank, then by time.
type queueHeap []*sessionQueue

func (h queueHeap) Len() int      { return len(h) }
func (h queueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h queueHeap) Less(i, j int) bool {
	a, b := h[i].entries[0].rank, h[j].entries[0].rank
	if a != b {
		return a < b
	}
	return earlier(h[i], h[j])
}

// Push implements heap.Interface.
func (h *queueHeap) Push(x any) { *h = append(*h, x.(*sessionQueue)) }

// Pop implements heap.Interface.
func (h *queueHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	*h = (*h)[:last]
	return q
}
