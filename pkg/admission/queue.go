package admission

import (
	"slices"
	"time"
)

// Rank orders waiting requests; lower ranks run first.
type Rank int

// AttemptKind is how a request came to the door.
type AttemptKind int

// The standings.
const (
	// FirstAttempt requests come for the first time.
	FirstAttempt AttemptKind = iota
	// ClientRetry requests were told to come back and can still be answered within
	// their objective.
	ClientRetry
	// LateClientRetry requests were told to come back and have missed their objective.
	LateClientRetry
)

// lateRank is behind all requests that can still make their objective.
const lateRank = 1 << 20

// RankOf returns the rank of a request. Calls that a target makes for a request
// in progress come first, since refusing them wastes the work already done.
// Among requests of the same priority, those that were told to come back are
// ahead of new ones. Late ones come last: under load, each of them would make
// a request late that is not yet, and so all that follow.
func RankOf(nested bool, priority int, kind AttemptKind) Rank {
	switch {
	case nested:
		return 0
	case kind == LateClientRetry:
		return Rank(lateRank + max(priority, 0))
	case kind == ClientRetry:
		return Rank(1 + 2*max(priority, 0))
	default:
		return Rank(2 + 2*max(priority, 0))
	}
}

// Request asks for a slot of the target.
type Request struct {
	Rank Rank
	// ExpectedServiceTime is the expected time at a target of average pace.
	ExpectedServiceTime time.Duration
	// FinishBy is the latest useful time of the answer, on the clock of the calls.
	FinishBy time.Duration
}

// Ticket is a request that runs or waits.
type Ticket struct {
	Request
	arrivedAt time.Duration
	startedAt time.Duration
	running   bool
}

// Decision is the decision on an arriving request.
type Decision int

// The verdicts.
const (
	// Admit means that a slot is taken and the request may be sent now.
	Admit Decision = iota
	// Enqueue means that the request is queued; Finish or Expire end the wait.
	Enqueue
	// Refuse means that the request would not be answered in time.
	Refuse
)

// Limits of the estimates.
const (
	// DefaultServiceTime stands for the time at the target until one was measured.
	DefaultServiceTime = 50 * time.Millisecond
	// ewmaWeight is the weight of one measurement in the moving average: about
	// the last 20 requests count, under a second of a busy target.
	ewmaWeight = 0.05
	// maxSlowdown bounds one measurement of the pace, so that a single lost answer
	// does not make the target look slow for long.
	maxSlowdown = 20.0
)

const (
	// waitMargin and needMargin are how much longer than expected a wait and an
	// execution may take for a request to be let in: half of all take longer
	// than expected, and a late answer is worth little.
	waitMargin        = 1.5
	serviceTimeMargin = 1.2
)

// WithMargins returns the time that an expected wait and an expected execution have to
// fit into for a request to be let in. Who chooses a target reckons with the same time:
// it would otherwise choose a fast one again and again that refuses it.
func WithMargins(wait, serviceTime time.Duration) time.Duration {
	return time.Duration(waitMargin*float64(wait) + serviceTimeMargin*float64(serviceTime))
}

// Queue is the admission of one target. It is not safe for concurrent use.
type Queue struct {
	slots   int
	running int
	waiting []*Ticket
	// meanServiceTime is the average time that a request holds a slot.
	meanServiceTime float64
	// slowdown is the average ratio of measured and expected time.
	slowdown float64
}

// NewQueue returns a queue for a target with a number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: max(slots, 1), meanServiceTime: float64(DefaultServiceTime), slowdown: 1}
}

// Resize follows the slots that the target announces. It returns the tickets
// that may now run.
func (q *Queue) Resize(slots int, now time.Duration) []*Ticket {
	q.slots = max(slots, 1)
	return q.startWaiting(now)
}

// Running and Waiting return how many requests hold a slot or wait for one.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// Slowdown returns how much longer the target takes than expected; 1 is as expected.
func (q *Queue) Slowdown() float64 { return q.slowdown }

// EstimateWait returns how long a request of the rank would wait if it came now.
func (q *Queue) EstimateWait(rank Rank) time.Duration {
	if q.running < q.slots && len(q.waiting) == 0 {
		return 0
	}
	ahead := 0
	for _, t := range q.waiting {
		if t.Rank <= rank {
			ahead++
		}
	}
	return time.Duration(float64(ahead+1) * q.meanServiceTime / float64(q.slots))
}

// Submit decides about a request. With Run and Wait the ticket must end in one
// call of Done or Withdraw.
func (q *Queue) Submit(r Request, now time.Duration) (*Ticket, Decision, time.Duration) {
	t := &Ticket{Request: r, arrivedAt: now}
	if q.running < q.slots && len(q.waiting) == 0 {
		q.start(t, now)
		return t, Admit, 0
	}
	wait := q.EstimateWait(r.Rank)
	if now+WithMargins(wait, q.expectedServiceTime(r)) > r.FinishBy || r.Rank >= lateRank && len(q.waiting) > 0 {
		return nil, Refuse, wait
	}
	at, _ := slices.BinarySearchFunc(q.waiting, r.Rank, func(w *Ticket, rank Rank) int {
		if w.Rank <= rank {
			return -1
		}
		return 1
	})
	q.waiting = slices.Insert(q.waiting, at, t)
	return t, Enqueue, wait
}

// expectedServiceTime is how long this target takes for the request.
func (q *Queue) expectedServiceTime(r Request) time.Duration {
	return time.Duration(float64(r.ExpectedServiceTime) * q.slowdown)
}

func (q *Queue) start(t *Ticket, now time.Duration) {
	q.running++
	t.running, t.startedAt = true, now
}

// Done frees the slot of a running ticket and returns the tickets that may run
// now. answered tells whether the target gave an answer, so that its time counts.
func (q *Queue) Done(t *Ticket, answered bool, now time.Duration) []*Ticket {
	if !t.running {
		return nil
	}
	t.running = false
	q.running--
	serviceTime := float64(now - t.startedAt)
	if answered || serviceTime > q.meanServiceTime {
		q.meanServiceTime += ewmaWeight * (serviceTime - q.meanServiceTime)
	}
	if answered && t.ExpectedServiceTime > 0 {
		q.slowdown += ewmaWeight * (min(serviceTime/float64(t.ExpectedServiceTime), maxSlowdown) - q.slowdown)
	}
	return q.startWaiting(now)
}

// Cancel takes a waiting ticket out. It reports whether the ticket was still
// waiting, so that the request certainly does not run.
func (q *Queue) Cancel(t *Ticket) bool {
	at := slices.Index(q.waiting, t)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Expire takes out the waiting tickets that can no longer be answered in time.
func (q *Queue) Expire(now time.Duration) []*Ticket {
	var late []*Ticket
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
		if now+q.expectedServiceTime(t.Request) <= t.FinishBy {
			return false
		}
		late = append(late, t)
		return true
	})
	return late
}

func (q *Queue) startWaiting(now time.Duration) []*Ticket {
	var ready []*Ticket
	for q.running < q.slots && len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.start(t, now)
		ready = append(ready, t)
	}
	return ready
}

// MeanServiceTime returns how long a request holds a slot on average.
func (q *Queue) MeanServiceTime() time.Duration { return time.Duration(q.meanServiceTime) }
