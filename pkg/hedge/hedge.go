package hedge

import (
	"math"
	"time"
)

const (
	// delayQuantile is the quantile of a route's times after which a copy is considered.
	delayQuantile = 0.95
	// minSamples is the least number of recent times for the quantile: with 20, one of them is
	// beyond it.
	minSamples = 20
	// minLongerSamples is the least number of times from which the remaining time is estimated.
	minLongerSamples = 5
	// replyMaxAge is how long the last reply of a target shows whether it has room.
	replyMaxAge = 4 * time.Second
	// maxWithoutRoom is the share of the targets that have a queue or refuse requests beyond which
	// room is short. Nodes hear mostly from targets of their own zone. With a third of them, copies
	// went on in a replay in which all targets are 2.5 times slower; with half of them, they made
	// p99.9 5 % slower beside a slow third, since most were sent while requests queued.
	maxWithoutRoom = 0.2
	// maxBusyShare is the share of the second target's slots that may be in use with the copy.
	// The rest stays free for first attempts.
	maxBusyShare = 0.75
	// maxFailureRate is the failure rate from which on a target gets no copies.
	maxFailureRate = 0.1
	// minRecheck is the least time between two decisions about a request. It grows by recheckRatio
	// of the time so far, so that a request that never gets a copy costs a few dozen decisions.
	minRecheck   = 10 * time.Millisecond
	recheckRatio = 0.25
	// maxServices and maxTargets limit the memory; a mesh has a few hundred targets.
	maxServices = 256
	maxTargets  = 1024
)

// Action is what to do about a copy.
type Action int

// Actions.
const (
	// Never send a copy.
	Never Action = iota
	// Wait and decide again.
	Wait
	// Send a copy now.
	Send
)

// Reason is why a copy is not sent, as logged and counted.
type Reason string

// Reasons.
const (
	ReasonOff           Reason = "off"
	ReasonNotRepeatable Reason = "not-repeatable"
	ReasonBody          Reason = "body"
	ReasonCrashSuspect  Reason = "crash-suspect"
	ReasonMoveOpen      Reason = "move-open"
	ReasonStopping      Reason = "node-stops"
	ReasonAttempts      Reason = "attempts"
	ReasonFewSamples    Reason = "few-samples"
	// ReasonNotLate means that the first attempt does not take longer than usual.
	ReasonNotLate     Reason = "not-late"
	ReasonTimeLeft    Reason = "time-left"
	ReasonRoomShort   Reason = "room-short"
	ReasonNoTarget    Reason = "no-target"
	ReasonTargetBusy  Reason = "target-busy"
	ReasonFailing     Reason = "target-failing"
	ReasonFirstSooner Reason = "first-sooner"
	ReasonLimit       Reason = "limit"
	ReasonRetryBudget Reason = "retry-budget"
)

// Target is what a node expects of a target.
type Target struct {
	// Wait is the expected queueing time, and Expected the expected response time with it.
	Wait, Expected time.Duration
	// Load is the number of requests at the target, and Slots how many run at once.
	Load  float64
	Slots int
	// FailureRate is the share of recent requests that failed there.
	FailureRate float64
}

// HasRoom reports whether the target has room for a copy beside first attempts.
func (t *Target) HasRoom() bool {
	return t.Wait <= 0 && t.Load+1 <= max(1, maxBusyShare*float64(t.Slots))
}

// Request is a request whose first attempt is running.
type Request struct {
	Route, Service string
	// Repeatable is set if the configuration in force allows the request to run again, and
	// BodyKept if its body can be sent again from the first byte.
	Repeatable, BodyKept bool
	// CrashSuspect is set if the request was running when a target crashed.
	CrashSuspect bool
	// MoveOpen is set while a move of the service to another version is open.
	MoveOpen bool
	// Stopping is set if the stop of the node has begun.
	Stopping bool
	// AttemptsLeft is the number of further targets that the request may be sent to.
	AttemptsLeft int
	// Elapsed is the time since the first attempt began, and TimeLeft the time until the deadline.
	Elapsed, TimeLeft time.Duration
	// First is what was expected of the first attempt when it began.
	First Target
	// Second is the target that would get the copy, nil if there is none. It is not used before
	// the first attempt takes longer than usual.
	Second *Target
	// Nodes is the number of nodes, which share the burst of a limit.
	Nodes int
}

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// After is the time since the beginning of the first attempt at which to decide again.
	After time.Duration
	// Reason is why no copy is sent now.
	Reason Reason
	// Delay is the time after which the first attempt takes longer than usual, and Remaining how
	// long it is still expected to take. They are zero if the decision did not depend on them.
	Delay, Remaining time.Duration
}

// Hedger holds what a node knows about the times of routes and the room of services. It is not safe
// for concurrent use.
type Hedger struct {
	policy   Policy
	buckets  map[scope]*bucket
	routes   map[string]*routeTimes
	pressure map[string]*pressure
}

// New returns a hedger without samples.
func New(p Policy) *Hedger {
	return &Hedger{policy: p, buckets: map[scope]*bucket{}, routes: map[string]*routeTimes{}, pressure: map[string]*pressure{}}
}

// SetPolicy replaces the limits. Samples are kept, and so are earned copies as far as the new
// limits allow.
func (h *Hedger) SetPolicy(p Policy) {
	before := h.buckets
	h.policy, h.buckets = p, map[scope]*bucket{}
	for s, b := range before {
		if now, _ := p.limitOf(s.route, s.service); now == s {
			h.buckets[s] = b
		}
	}
}

// Covers reports whether a limit allows copies of the requests of a route to a service.
func (h *Hedger) Covers(route, service string) bool {
	_, l := h.policy.limitOf(route, service)
	return l.Share > 0
}

// bucketOf returns the bucket and the limit of the requests of a route to a service. Limits that
// the policy names bound the number of buckets.
func (h *Hedger) bucketOf(route, service string) (*bucket, Limit) {
	s, l := h.policy.limitOf(route, service)
	b, ok := h.buckets[s]
	if !ok {
		b = &bucket{}
		h.buckets[s] = b
	}
	return b, l
}

// RecordRequest counts a request that may be repeated.
func (h *Hedger) RecordRequest(route, service string, nodes int) {
	b, l := h.bucketOf(route, service)
	b.earn(l, nodes)
}

// RecordTime records how long a request of the route took at a target.
func (h *Hedger) RecordTime(route string, d, now time.Duration) { h.recordTime(route, d, false, now) }

// RecordCancelled records how long an attempt took until it was cancelled. Without these times, the
// quantile would fall as copies overtake slow attempts.
func (h *Hedger) RecordCancelled(route string, d, now time.Duration) {
	h.recordTime(route, d, true, now)
}

func (h *Hedger) recordTime(route string, d time.Duration, cancelled bool, now time.Duration) {
	r, ok := h.routes[route]
	if !ok {
		if len(h.routes) >= maxRoutes {
			h.evictRoute()
		}
		r = newRouteTimes(now)
		h.routes[route] = r
	}
	r.record(d, cancelled, now)
}

// evictRoute deletes the route whose last sample is the oldest.
func (h *Hedger) evictRoute() {
	oldest, at := "", time.Duration(math.MaxInt64)
	for name, r := range h.routes {
		if r.lastUsed < at {
			oldest, at = name, r.lastUsed
		}
	}
	delete(h.routes, oldest)
}

// Reply is the reply of a target's node to a request.
type Reply struct {
	// Refused is set if there was no room for the request, Queued if others wait at the target.
	Refused, Queued bool
}

// RecordReply records a reply of the node of a target of the service.
func (h *Hedger) RecordReply(service, target string, r Reply, now time.Duration) {
	p, ok := h.pressure[service]
	if !ok {
		if len(h.pressure) >= maxServices {
			clear(h.pressure)
		}
		p = &pressure{replies: map[string]timedReply{}}
		h.pressure[service] = p
	}
	p.record(target, r, now)
}

// pressure holds the last reply of each target of a service.
type pressure struct{ replies map[string]timedReply }

type timedReply struct {
	Reply
	at time.Duration
}

func (p *pressure) record(target string, r Reply, now time.Duration) {
	if _, ok := p.replies[target]; !ok && len(p.replies) >= maxTargets {
		clear(p.replies)
	}
	p.replies[target] = timedReply{r, now}
}

// short reports whether many of the targets that replied recently lack room. Counting targets, and
// not replies, keeps a single slow target from stopping the copies that would overtake it.
func (p *pressure) short(now time.Duration) bool {
	if p == nil {
		return false
	}
	var recent, withoutRoom float64
	for target, r := range p.replies {
		if now-r.at >= replyMaxAge {
			delete(p.replies, target)
			continue
		}
		recent++
		if r.Refused || r.Queued {
			withoutRoom++
		}
	}
	return withoutRoom > maxWithoutRoom*recent
}

// Decide decides whether to send a copy of a request. allow takes a retry from the shared budget;
// it is called last, so that only a copy that is sent is charged.
func (h *Hedger) Decide(r Request, now time.Duration, allow func() bool) Decision {
	if reason := h.excluded(r); reason != "" {
		return Decision{Action: Never, Reason: reason}
	}
	times, ok := h.routes[r.Route]
	if !ok {
		return Decision{Action: Never, Reason: ReasonFewSamples}
	}
	usual, ok := times.quantile(delayQuantile, now)
	if !ok {
		return Decision{Action: Never, Reason: ReasonFewSamples}
	}
	d := Decision{Action: Wait, Delay: usual + r.First.Wait}
	if d.Delay >= r.Elapsed+r.TimeLeft {
		d.Action, d.Reason = Never, ReasonNotLate
		return d
	}
	if r.Elapsed < d.Delay {
		d.After, d.Reason = d.Delay, ReasonNotLate
		return d
	}
	d.Remaining = times.expectedRemaining(r, now)
	d.Reason = h.heldBack(r, d.Remaining, now)
	if d.Reason == "" {
		b, l := h.bucketOf(r.Route, r.Service)
		switch {
		case !b.available(l, r.Nodes):
			d.Reason = ReasonLimit
		case !allow():
			d.Reason = ReasonRetryBudget
		default:
			b.take()
			d.Action = Send
			return d
		}
	}
	d.After = r.Elapsed + max(minRecheck, time.Duration(recheckRatio*float64(r.Elapsed)))
	if d.Reason == ReasonTimeLeft || d.After >= r.Elapsed+r.TimeLeft {
		d.Action, d.After = Never, 0
	}
	return d
}

// excluded returns why a request never gets a copy.
func (h *Hedger) excluded(r Request) Reason {
	switch {
	case !h.Covers(r.Route, r.Service):
		return ReasonOff
	case !r.Repeatable:
		return ReasonNotRepeatable
	case !r.BodyKept:
		return ReasonBody
	case r.CrashSuspect:
		return ReasonCrashSuspect
	case r.MoveOpen:
		return ReasonMoveOpen
	case r.Stopping:
		return ReasonStopping
	case r.AttemptsLeft < 1:
		return ReasonAttempts
	default:
		return ""
	}
}

// heldBack returns why a request that is late gets no copy now.
func (h *Hedger) heldBack(r Request, remaining, now time.Duration) Reason {
	s := r.Second
	switch {
	case h.pressure[r.Service].short(now):
		return ReasonRoomShort
	case s == nil:
		return ReasonNoTarget
	case !s.HasRoom():
		return ReasonTargetBusy
	case s.FailureRate >= maxFailureRate:
		return ReasonFailing
	case s.Expected >= r.TimeLeft:
		return ReasonTimeLeft
	case s.Expected >= remaining:
		return ReasonFirstSooner
	default:
		return ""
	}
}

// expectedRemaining returns how long the first attempt is still expected to take, by the estimate
// for its target or by the recent times of the route, whichever is longer.
func (r *routeTimes) expectedRemaining(q Request, now time.Duration) time.Duration {
	return max(q.First.Expected-q.Elapsed, r.remaining(max(q.Elapsed-q.First.Wait, 0), now))
}
