package admission

import (
	"math"
	"slices"
	"time"
)

// Requests of organisations that wait at the same rank are ordered by start-time fair queueing:
// each organisation has a virtual finish time, which advances by the expected service time of each
// of its requests that starts, and the request with the least virtual start time starts next. An
// organisation that sends more than its share therefore waits behind its own requests only.
//
// Requests without an organisation share as one organisation does. Without any organisation the
// order is that of ranks and arrivals, and none of this state exists.

const (
	// maxPassed is the number of requests in succession that may start before the one that has
	// waited longest. One start in four is thus in order of arrival, whatever the rank, and no
	// organisation or rank is served less than a quarter as often as without any order.
	maxPassed = 3
	// minCost is the least cost of a request in virtual time.
	minCost = time.Millisecond
	// overtakenWeight is the weight of one start in the moving average of how often requests of
	// an organisation are overtaken, and overtakenDecay the time after which an average without
	// starts has lost most of its value.
	overtakenWeight = 0.05
	overtakenDecay  = time.Second
	// maxOvertaken limits the average, so that the expected wait remains finite.
	maxOvertaken = 0.9
	// maxFlows is the number of organisations at one level of urgency above which those that have
	// used no more than their share are forgotten.
	maxFlows = 256
)

// level holds the organisations whose requests share one level of urgency: nested calls, the
// requests of one priority, or late client retries of one priority.
type level struct {
	// virtual is the virtual start time of the last request that started, in nanoseconds of
	// service.
	virtual float64
	flows   map[string]*flow
}

// flow is the use of a target by one organisation at one level of urgency.
type flow struct {
	level *level
	// finish is the virtual finish time of the last request that started.
	finish float64
	// waiting is the number of queued requests.
	waiting int
	// overtaken is the moving average of the share of starts, while requests of the organisation
	// waited, that went to later requests of others.
	overtaken   float64
	overtakenAt time.Duration
	// scan, tag and passed are used while the queue is scanned: scan identifies the last scan
	// that met the organisation.
	scan   uint64
	tag    float64
	passed bool
}

// levelOf returns the level of urgency of a rank. First attempts and client retries of one
// priority have the same level.
func levelOf(r Rank) Rank {
	if r >= lateRank {
		return r
	}
	return (r + 1) / 2
}

// isClientRetry reports whether the rank is that of a client retry that has precedence.
func isClientRetry(r Rank) bool { return r != NestedRank && r < lateRank && r%2 == 1 }

// flowOf returns the flow of an organisation, nil while no organisation is known.
func (q *Queue) flowOf(rank Rank, organisation string) *flow {
	if q.levels == nil {
		if organisation == "" {
			return nil
		}
		q.levels = map[Rank]*level{}
		for _, t := range q.waiting {
			t.flow = q.flowOf(t.Rank, t.Organisation)
			t.flow.waiting++
		}
	}
	l := q.levels[levelOf(rank)]
	if l == nil {
		l = &level{flows: map[string]*flow{}}
		q.levels[levelOf(rank)] = l
	}
	f := l.flows[organisation]
	if f == nil {
		if len(l.flows) >= maxFlows {
			l.forget()
		}
		f = &flow{level: l}
		l.flows[organisation] = f
	}
	return f
}

// forget removes the organisations whose requests would be queued as if they were new.
func (l *level) forget() {
	for name, f := range l.flows {
		if f.waiting == 0 && f.finish <= l.virtual {
			delete(l.flows, name)
		}
	}
}

// virtualStart returns the virtual start time of the ticket if it is the next of its flow.
func (t *Ticket) virtualStart() float64 { return max(t.virtualArrival, t.flow.finish) }

// ahead reports whether the organisation has had its share, or will have it with the requests that
// it has in the queue.
func (f *flow) ahead() bool { return f.waiting > 0 || f.finish > f.level.virtual }

// cost returns the cost of a request in virtual time.
func (q *Queue) cost(r Request) float64 {
	if r.ExpectedServiceTime <= 0 {
		return q.meanServiceTime
	}
	return float64(max(r.ExpectedServiceTime, minCost))
}

// charge advances the virtual time of the organisation of a ticket that starts.
func (q *Queue) charge(t *Ticket) {
	if t.flow == nil {
		return
	}
	start := t.virtualStart()
	t.flow.finish = start + q.cost(t.Request)
	if !t.inOrder {
		// The organisation of a request that starts in order of arrival may be far ahead of the
		// others. New requests must not be queued behind its virtual time.
		t.flow.level.virtual = max(t.flow.level.virtual, start)
	}
}

// beginScan starts a scan of the queue.
func (q *Queue) beginScan() { q.scan++ }

// meets reports whether the scan meets the organisation of the ticket for the first time.
func (q *Queue) meets(t *Ticket) bool {
	if t.flow.scan == q.scan {
		return false
	}
	t.flow.scan = q.scan
	return true
}

// insert adds a ticket to the queue, which is ordered by rank and arrival. Client retries that lost
// their precedence are in front of the first attempts of their own organisation.
func (q *Queue) insert(t *Ticket) {
	at, _ := slices.BinarySearchFunc(q.waiting, t.Rank, func(w *Ticket, rank Rank) int {
		if w.Rank <= rank {
			return -1
		}
		return 1
	})
	if t.demoted {
		for i := at - 1; i >= 0 && q.waiting[i].Rank == t.Rank; i-- {
			if w := q.waiting[i]; w.flow == t.flow && !w.demoted {
				at = i
			}
		}
	}
	q.waiting = slices.Insert(q.waiting, at, t)
	if t.flow != nil {
		t.flow.waiting++
	}
	if t.Organisation != "" {
		q.sharing++
	}
}

// removed updates the counts after a ticket has left the queue.
func (q *Queue) removed(t *Ticket) {
	if t.flow != nil {
		t.flow.waiting--
	}
	if t.Organisation != "" {
		q.sharing--
	}
}

// next returns the index of the queued ticket that starts next.
func (q *Queue) next(now time.Duration) int {
	if q.sharing == 0 {
		q.passed = 0
		return 0
	}
	oldest, best, least := 0, 0, math.Inf(1)
	q.beginScan()
	for i, t := range q.waiting {
		if t.sequence < q.waiting[oldest].sequence {
			oldest = i
		}
		if t.Rank != q.waiting[0].Rank || !q.meets(t) {
			continue
		}
		if start := t.virtualStart(); start < least {
			best, least = i, start
		}
	}
	inOrder := best != oldest && q.passed >= maxPassed
	if best == oldest || inOrder {
		q.passed = 0
		best = oldest
	} else {
		q.passed++
	}
	q.waiting[best].inOrder = inOrder
	q.recordOvertaking(q.waiting[best], now)
	return best
}

// recordOvertaking records for each organisation with queued requests whether the ticket that
// starts overtakes one of them.
func (q *Queue) recordOvertaking(started *Ticket, now time.Duration) {
	q.beginScan()
	q.scanned = q.scanned[:0]
	for _, t := range q.waiting {
		if q.meets(t) {
			t.flow.passed = false
			q.scanned = append(q.scanned, t.flow)
		}
		t.flow.passed = t.flow.passed || t.sequence < started.sequence && t.flow != started.flow
	}
	for _, f := range q.scanned {
		overtaken := 0.0
		if f.passed {
			overtaken = 1
		}
		f.overtaken = f.overtakenShare(now)
		f.overtaken += overtakenWeight * (overtaken - f.overtaken)
		f.overtakenAt = now
	}
}

// overtakenShare returns the share of starts that are expected to go to later requests of others.
func (f *flow) overtakenShare(now time.Duration) float64 {
	return f.overtaken * math.Exp2(-float64(now-f.overtakenAt)/float64(overtakenDecay))
}

// estimateShared returns the expected queueing time of a request among organisations.
func (q *Queue) estimateShared(t *Ticket, now time.Duration) time.Duration {
	if q.startsAtOnce(now) {
		return 0
	}
	ahead, work := 0, 0.0
	add := func(w *Ticket) {
		ahead++
		work += q.cost(w.Request) * q.slowdown
	}
	start := t.virtualStart()
	for _, w := range q.waiting {
		if w.flow == t.flow && (w.Rank < t.Rank || w.Rank == t.Rank && (w.demoted || !t.demoted)) {
			start += q.cost(w.Request)
		}
	}
	q.beginScan()
	for _, w := range q.waiting {
		switch {
		case w.Rank > t.Rank:
		case w.Rank < t.Rank:
			add(w)
		case w.flow == t.flow:
			if w.demoted || !t.demoted {
				add(w)
			}
		default:
			if q.meets(w) {
				w.flow.tag = w.virtualStart()
			}
			if w.flow.tag <= start {
				add(w)
			}
			w.flow.tag += q.cost(w.Request)
		}
	}
	// One start in maxPassed+1 goes to the request that has waited longest.
	inOrder := (len(q.waiting) + 1) * (maxPassed + 1)
	slowed := 1 - min(t.flow.overtakenShare(now), maxOvertaken)
	wait := min(float64(q.rate.Wait(ahead+1, now))/slowed, float64(q.rate.Wait(inOrder, now)))
	if q.running >= q.slots {
		byShare := (work + q.meanServiceTime) / float64(q.slots) / slowed
		byArrival := float64(inOrder) * q.meanServiceTime / float64(q.slots)
		wait = max(wait, min(byShare, byArrival))
	}
	return time.Duration(wait)
}

// ExceedsShare reports whether a refused request was refused for the share of its organisation: one
// of an organisation without other requests would have been admitted.
func (q *Queue) ExceedsShare(r Request, now time.Duration) bool {
	if r.Organisation == "" || r.Rank >= lateRank || q.levels == nil {
		return false
	}
	l := q.levels[levelOf(r.Rank)]
	if l == nil {
		return false
	}
	t := &Ticket{Request: r, virtualArrival: l.virtual, flow: &flow{level: l}}
	return q.inTime(r, q.estimateShared(t, now), now)
}
