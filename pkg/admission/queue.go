package admission

import (
	"slices"
	"time"
)

// Rank is the priority of a request in the queue. Lower ranks run first.
type Rank int

// AttemptKind tells first attempts from retries by the client.
type AttemptKind int

// Kinds of attempts.
const (
	// FirstAttempt is a request that is sent for the first time.
	FirstAttempt AttemptKind = iota
	// ClientRetry is a request that was refused with a time to retry after and that can
	// still meet its latency objective.
	ClientRetry
	// LateClientRetry is a request that was refused with a time to retry after and that
	// can no longer meet its latency objective.
	LateClientRetry
)

// NestedRank is the rank of nested calls, and of no other request.
const NestedRank Rank = 0

// lateRank is the first rank of late retries, behind all requests that can still meet
// their objective.
const lateRank = 1 << 20

// RankOf returns the rank of a request. Nested calls, which a target makes for a request
// in progress, come first, since refusing them wastes the work already done. Among
// requests of the same priority, client retries come before first attempts. Late retries
// come last: under load, each of them would delay a request that can still meet its
// objective, and the delays would propagate to all later requests.
func RankOf(nested bool, priority int, kind AttemptKind) Rank {
	switch {
	case nested:
		return NestedRank
	case kind == LateClientRetry:
		return Rank(lateRank + max(priority, 0))
	case kind == ClientRetry:
		return Rank(1 + 2*max(priority, 0))
	default:
		return Rank(2 + 2*max(priority, 0))
	}
}

// Request is a request for a slot of the target.
type Request struct {
	Rank Rank
	// Organisation is the organisation whose share the request counts for, "" for none.
	Organisation string
	// ExpectedServiceTime is the expected service time at a target with a slowdown of 1.
	ExpectedServiceTime time.Duration
	// FinishBy is the latest time at which the response is useful, on the caller's clock.
	FinishBy time.Duration
}

// Ticket represents a request that is running or queued.
type Ticket struct {
	Request
	arrivedAt time.Duration
	startedAt time.Duration
	running   bool
	// sequence is the order of arrival.
	sequence uint64
	// flow is the use of the target by the organisation, nil while no organisation is known,
	// and virtualArrival the virtual time of its level at the arrival.
	flow           *flow
	virtualArrival float64
	// demoted is set for a client retry that is queued among the first attempts, since its
	// organisation is ahead of its share.
	demoted bool
	// inOrder is set for a ticket that started because it had waited longest.
	inOrder bool
}

// Decision is the result of submitting a request.
type Decision int

// Decisions.
const (
	// Admit means that the request has a slot and may be sent now.
	Admit Decision = iota
	// Enqueue means that the request is queued until one of the methods that start tickets
	// returns its ticket, Expire returns it, or Cancel removes it.
	Enqueue
	// Refuse means that the response is not expected in time.
	Refuse
)

// Parameters of the estimates.
const (
	// DefaultServiceTime is the initial value of the mean service time.
	DefaultServiceTime = 50 * time.Millisecond
	// ewmaWeight is the weight of one measurement in the moving averages. They cover
	// about the last 20 requests, which is less than a second of a busy target.
	ewmaWeight = 0.05
	// maxSlowdown limits a single measurement of the slowdown, so that one very late
	// response does not make the target look slow for long.
	maxSlowdown = 20.0
)

const (
	// waitMargin and serviceTimeMargin multiply the expected queueing and service times
	// for the admission decision: half of all requests take longer than expected, and a
	// late response has little value.
	waitMargin        = 1.5
	serviceTimeMargin = 1.2
)

// WithMargins returns the time that must be left for a request with the expected queueing
// and service times to be admitted. Load balancing uses the same margins; otherwise it
// would choose a fast target again and again that refuses the request.
func WithMargins(wait, serviceTime time.Duration) time.Duration {
	return time.Duration(waitMargin*float64(wait) + serviceTimeMargin*float64(serviceTime))
}

// Queue controls admission to one target. It is not safe for concurrent use.
type Queue struct {
	slots   int
	running int
	waiting []*Ticket
	// rate is the limit of requests per second that the target names.
	rate TargetLimit
	// meanServiceTime is the moving average of the time a request holds a slot, in
	// nanoseconds.
	meanServiceTime float64
	// slowdown is the moving average of the ratio of measured to expected service time.
	slowdown float64
	// levels holds the organisations by level of urgency, nil while none is known.
	levels map[Rank]*level
	// sharing is the number of queued requests with an organisation, and passed the number of
	// requests in succession that started before the one that waited longest.
	sharing, passed int
	// sequence is the sequence of the last request.
	sequence uint64
	scan     uint64
	scanned  []*flow
}

// NewQueue returns a queue for a target with the given number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: max(slots, 1), meanServiceTime: float64(DefaultServiceTime), slowdown: 1}
}

// Resize sets the number of slots that the target announces. It returns the tickets that
// may now run.
func (q *Queue) Resize(slots int, now time.Duration) []*Ticket {
	q.slots = max(slots, 1)
	return q.startWaiting(now)
}

// SignalLimit applies the rate limit in a response of the target to a request that was sent at
// a time; limited is false if it names none. It returns the tickets that may now run.
func (q *Queue) SignalLimit(limited bool, perSecond float64, sentAt, now time.Duration) []*Ticket {
	q.rate.Signal(limited, perSecond, sentAt, now)
	return q.startWaiting(now)
}

// AdoptLimit applies a limit that another node knows, until SignalLimit is called.
func (q *Queue) AdoptLimit(perSecond float64, now time.Duration) { q.rate.Adopt(perSecond, now) }

// ResetLimit forgets the limit of a former process of the target. It returns the tickets that
// may now run.
func (q *Queue) ResetLimit(now time.Duration) []*Ticket {
	q.rate = TargetLimit{}
	return q.startWaiting(now)
}

// RateLimit returns the limit and the number of requests that it allows now beyond those
// that wait, which is negative if some have to wait. ok is false without a limit.
func (q *Queue) RateLimit(now time.Duration) (perSecond, available float64, ok bool) {
	perSecond, ok = q.rate.PerSecond()
	return perSecond, q.rate.Available(now) - float64(len(q.waiting)), ok
}

// Resume returns the queued tickets that may now run because time has passed.
func (q *Queue) Resume(now time.Duration) []*Ticket { return q.startWaiting(now) }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// Slowdown returns the mean ratio of measured to expected service time.
func (q *Queue) Slowdown() float64 { return q.slowdown }

// EstimateWait returns the expected queueing time of a request of the rank that arrives
// now, if no organisation shares the target.
func (q *Queue) EstimateWait(rank Rank, now time.Duration) time.Duration {
	if q.startsAtOnce(now) {
		return 0
	}
	ahead := 0
	for _, t := range q.waiting {
		if t.Rank <= rank {
			ahead++
		}
	}
	wait := q.rate.Wait(ahead+1, now)
	if q.running >= q.slots {
		wait = max(wait, time.Duration(float64(ahead+1)*q.meanServiceTime/float64(q.slots)))
	}
	return wait
}

// startsAtOnce reports whether a request that arrives now runs without waiting.
func (q *Queue) startsAtOnce(now time.Duration) bool {
	return q.running < q.slots && len(q.waiting) == 0 && q.rate.Allows(now)
}

// Submit decides whether a request runs, waits or is refused, and returns its expected
// queueing time. The ticket of an admitted request must be passed to Done; that of a queued
// request stays in the queue until Done, Resize, Resume or a change of the rate limit starts
// it, Expire returns it, or Cancel removes it.
func (q *Queue) Submit(r Request, now time.Duration) (*Ticket, Decision, time.Duration) {
	q.sequence++
	t := &Ticket{Request: r, arrivedAt: now, sequence: q.sequence, flow: q.flowOf(r.Rank, r.Organisation)}
	if t.flow != nil {
		t.virtualArrival = t.flow.level.virtual
	}
	if q.startsAtOnce(now) {
		q.start(t, now)
		return t, Admit, 0
	}
	if r.Organisation != "" && isClientRetry(r.Rank) && t.flow.ahead() {
		// Otherwise the retries of organisations whose requests are refused for their share would
		// start before the first attempts of all others.
		t.Rank, t.demoted = r.Rank+1, true
	}
	wait := q.estimate(t, now)
	if !q.inTime(r, wait, now) || r.Rank >= lateRank && len(q.waiting) > 0 {
		return nil, Refuse, wait
	}
	q.insert(t)
	return t, Enqueue, wait
}

// estimate returns the expected queueing time of a request that arrives now.
func (q *Queue) estimate(t *Ticket, now time.Duration) time.Duration {
	if q.sharing == 0 && t.Organisation == "" {
		return q.EstimateWait(t.Rank, now)
	}
	return q.estimateShared(t, now)
}

// inTime reports whether a request with the expected queueing time is expected to be useful.
func (q *Queue) inTime(r Request, wait, now time.Duration) bool {
	return now+WithMargins(wait, q.expectedServiceTime(r)) <= r.FinishBy
}

// expectedServiceTime returns the expected service time of the request at this target.
func (q *Queue) expectedServiceTime(r Request) time.Duration {
	return time.Duration(float64(r.ExpectedServiceTime) * q.slowdown)
}

func (q *Queue) start(t *Ticket, now time.Duration) {
	q.running++
	q.rate.Take(now)
	q.charge(t)
	t.running, t.startedAt = true, now
}

// Done releases the slot of a running ticket and returns the tickets that may now run.
// The service time of a request that the target did not answer only counts if it exceeds
// the mean.
func (q *Queue) Done(t *Ticket, responded bool, now time.Duration) []*Ticket {
	if !t.running {
		return nil
	}
	t.running = false
	q.running--
	serviceTime := float64(now - t.startedAt)
	if responded || serviceTime > q.meanServiceTime {
		q.meanServiceTime += ewmaWeight * (serviceTime - q.meanServiceTime)
	}
	if responded && t.ExpectedServiceTime > 0 {
		q.slowdown += ewmaWeight * (min(serviceTime/float64(t.ExpectedServiceTime), maxSlowdown) - q.slowdown)
	}
	return q.startWaiting(now)
}

// Cancel removes a queued ticket. It reports whether the ticket was still queued, in which
// case the request certainly does not run.
func (q *Queue) Cancel(t *Ticket) bool {
	at := slices.Index(q.waiting, t)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	q.removed(t)
	return true
}

// Expire removes and returns the queued tickets that can no longer be answered in time.
func (q *Queue) Expire(now time.Duration) []*Ticket {
	var late []*Ticket
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
		if now+q.expectedServiceTime(t.Request) <= t.FinishBy {
			return false
		}
		late = append(late, t)
		q.removed(t)
		return true
	})
	return late
}

func (q *Queue) startWaiting(now time.Duration) []*Ticket {
	var ready []*Ticket
	for q.running < q.slots && len(q.waiting) > 0 && q.rate.Allows(now) {
		at := q.next(now)
		t := q.waiting[at]
		q.waiting = slices.Delete(q.waiting, at, at+1)
		q.removed(t)
		q.start(t, now)
		ready = append(ready, t)
	}
	return ready
}

// MeanServiceTime returns the mean time a request holds a slot.
func (q *Queue) MeanServiceTime() time.Duration { return time.Duration(q.meanServiceTime) }
