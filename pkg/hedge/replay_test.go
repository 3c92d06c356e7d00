package hedge_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/hedge"
	"heathercroft.example/heathercroft/pkg/mesh"
)

const ms = time.Millisecond

// replay runs the same requests against simulated targets. Each node has a caller's side, with a
// balancer and a hedger of its own, and a target behind an admission queue.
type replay struct {
	nodes int
	// perSecond is the rate of requests over all nodes, work their mean time at a usual target.
	perSecond float64
	work      time.Duration
	length    time.Duration
	limit     hedge.Limit
	// slowdown returns how much longer work takes that begins at a target at a time.
	slowdown func(target int, at time.Duration) float64
	seed     uint64
}

// outcome is the result of a replay.
type outcome struct {
	latencies                                 []time.Duration
	requests, copies, won, cancelled, refused int
	failed                                    int
	worked                                    time.Duration
	held                                      map[hedge.Reason]int
	// copyTimes holds when copies were sent, requestTimes when requests arrived.
	copyTimes, requestTimes []time.Duration
}

func (o *outcome) quantile(q float64) time.Duration {
	return o.latencies[min(int(math.Ceil(q*float64(len(o.latencies))))-1, len(o.latencies)-1)]
}

const (
	simulatedSlots    = 4
	networkDelay      = 1 * ms
	cancelDelay       = 5 * ms
	simulatedDeadline = 3 * time.Second
	simulatedGoal     = time.Second
	// warmUp is the time before the measurement.
	warmUp = 10 * time.Second
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type simulation struct {
	replay
	now       time.Duration
	seq       int
	queue     events
	endpoints []balance.Endpoint
	callers   []*simulatedCaller
	targets   []*simulatedTarget
	random    *rand.Rand
	// randomOfCopies keeps the choice of copies from changing that of first attempts.
	randomOfCopies *rand.Rand
	outcome        outcome
}

type simulatedCaller struct {
	balancer *balance.Balancer
	hedger   *hedge.Hedger
}

type simulatedTarget struct {
	index int
	queue *admission.Queue
	runs  map[*admission.Ticket]*attempt
}

// attempt is one attempt of a simulated request.
type attempt struct {
	request  *request
	target   *simulatedTarget
	endpoint balance.Endpoint
	began    time.Duration
	started  time.Duration
	ticket   *admission.Ticket
	isCopy   bool
	running  bool
	ended    bool
}

type request struct {
	index   int
	caller  *simulatedCaller
	arrived time.Duration
	tried   []mesh.NodeID
	open    []*attempt
	first   hedge.Target
	copied  bool
	done    bool
	reason  hedge.Reason
}

func (s *simulation) at(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{t, s.seq, run})
}

func (r replay) run() *outcome {
	s := &simulation{replay: r, random: rand.New(rand.NewPCG(r.seed, 1)), randomOfCopies: rand.New(rand.NewPCG(r.seed, 9))}
	s.outcome.held = map[hedge.Reason]int{}
	zones := []mesh.AvailabilityZone{"a", "b", "c"}
	for i := range r.nodes {
		e := balance.Endpoint{Node: mesh.NodeID(fmt.Sprintf("n%d", i)), Zone: zones[i%3], Service: "s", Target: fmt.Sprintf("t%d", i), Slots: simulatedSlots}
		s.endpoints = append(s.endpoints, e)
		s.callers = append(s.callers, &simulatedCaller{balance.New(e.Zone), hedge.New(hedge.Policy{Limit: r.limit})})
		s.targets = append(s.targets, &simulatedTarget{i, admission.NewQueue(simulatedSlots), map[*admission.Ticket]*attempt{}})
	}
	arrivals := rand.New(rand.NewPCG(r.seed, 2))
	for t, i := time.Duration(0), 0; ; i++ {
		t += time.Duration(arrivals.ExpFloat64() / r.perSecond * float64(time.Second))
		if t > r.length {
			break
		}
		q := &request{index: i, caller: s.callers[arrivals.IntN(r.nodes)], arrived: t}
		s.at(t, func() { s.arrive(q) })
	}
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.outcome.latencies)
	return &s.outcome
}

func (s *simulation) arrive(q *request) {
	s.outcome.requests++
	s.outcome.requestTimes = append(s.outcome.requestTimes, s.now)
	q.caller.hedger.RecordRequest("r", "s", s.nodes)
	s.at(q.arrived+simulatedDeadline, func() { s.finish(q, nil) })
	s.send(q)
}

func (s *simulation) balanceRequest(q *request) balance.Request {
	return balance.Request{ExpectedServiceTime: s.work, Objective: q.arrived + simulatedGoal - s.now, Bytes: 1000, Tried: q.tried, Senders: s.nodes}
}

// send sends the first attempt, or another one after a refusal.
func (s *simulation) send(q *request) {
	c, ok := q.caller.balancer.Choose(s.endpoints, s.balanceRequest(q), s.now, s.random.Float64)
	if !ok || len(q.tried) >= 4 {
		s.finish(q, nil)
		return
	}
	q.first = s.expected(q, c.Endpoint)
	a := s.begin(q, c.Endpoint, false)
	if !q.copied {
		s.decide(q, a)
	}
}

func (s *simulation) expected(q *request, e balance.Endpoint) hedge.Target {
	x := q.caller.balancer.Estimate(e, s.balanceRequest(q), s.now)
	return hedge.Target{Wait: x.Wait, Expected: x.Response, Load: x.Load, Slots: e.Slots, FailureRate: x.FailureRate}
}

func (s *simulation) decide(q *request, first *attempt) {
	if q.done || q.copied || first.ended {
		return
	}
	r := hedge.Request{
		Route: "r", Service: "s", Repeatable: true, BodyKept: true, AttemptsLeft: 1, Elapsed: s.now - first.began,
		TimeLeft: q.arrived + simulatedDeadline - s.now, First: q.first, Nodes: s.nodes,
	}
	if s.now == first.began {
		s.consider(q, first, r, balance.Endpoint{})
		return
	}
	var free []balance.Endpoint
	for _, e := range s.endpoints {
		if t := s.expected(q, e); t.HasRoom() {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		free = s.endpoints
	}
	second, ok := q.caller.balancer.Choose(free, s.balanceRequest(q), s.now, s.randomOfCopies.Float64)
	if ok {
		t := s.expected(q, second.Endpoint)
		r.Second = &t
	}
	s.consider(q, first, r, second.Endpoint)
}

// consider sends a copy to the endpoint if that is decided.
func (s *simulation) consider(q *request, first *attempt, r hedge.Request, second balance.Endpoint) {
	d := q.caller.hedger.Decide(r, s.now, func() bool { return true })
	q.reason = d.Reason
	switch d.Action {
	case hedge.Wait:
		s.at(first.began+d.After, func() { s.decide(q, first) })
	case hedge.Send:
		q.copied = true
		s.outcome.copies++
		s.outcome.copyTimes = append(s.outcome.copyTimes, s.now)
		s.begin(q, second, true)
	}
}

func (s *simulation) begin(q *request, e balance.Endpoint, isCopy bool) *attempt {
	index := slices.IndexFunc(s.endpoints, func(o balance.Endpoint) bool { return o.Node == e.Node })
	a := &attempt{request: q, target: s.targets[index], endpoint: e, began: s.now, isCopy: isCopy}
	q.tried = append(q.tried, e.Node)
	q.open = append(q.open, a)
	q.caller.balancer.Begin(e, 1000)
	s.at(s.now+networkDelay, func() { s.reachTarget(a) })
	return a
}

func (s *simulation) reachTarget(a *attempt) {
	if a.ended {
		return
	}
	rank := admission.RankOf(false, 0, admission.FirstAttempt)
	if a.isCopy {
		rank = admission.RankOf(false, 0, admission.LateClientRetry)
	}
	ticket, verdict, _ := a.target.queue.Submit(admission.Request{Rank: rank, ExpectedServiceTime: s.work, FinishBy: a.request.arrived + simulatedGoal}, s.now)
	switch verdict {
	case admission.Refuse:
		s.at(s.now+networkDelay, func() { s.reply(a, true) })
	case admission.Admit:
		a.ticket = ticket
		s.start(a)
	default:
		a.ticket = ticket
		a.target.runs[ticket] = a
	}
}

// start starts the work of an attempt. Its length depends on the request and the attempt, not on
// the order of events.
func (s *simulation) start(a *attempt) {
	a.running, a.started = true, s.now
	base := rand.New(rand.NewPCG(s.seed^uint64(a.request.index), 3)).NormFloat64()
	own := rand.New(rand.NewPCG(s.seed^uint64(a.request.index), uint64(4+a.target.index))).NormFloat64()
	length := float64(s.work) * math.Exp(0.3*base+0.3*own-0.09) * s.slowdown(a.target.index, s.now)
	s.at(s.now+time.Duration(length), func() {
		if a.running {
			s.stop(a, true)
			s.at(s.now+networkDelay, func() { s.reply(a, false) })
		}
	})
}

// stop frees the slot of an attempt.
func (s *simulation) stop(a *attempt, responded bool) {
	a.running = false
	s.outcome.worked += s.now - a.started
	for _, t := range a.target.queue.Done(a.ticket, responded, s.now) {
		if next, ok := a.target.runs[t]; ok {
			delete(a.target.runs, t)
			s.start(next)
		}
	}
}

func (s *simulation) reply(a *attempt, refused bool) {
	if a.ended {
		return
	}
	q, c := a.request, a.request.caller
	a.ended = true
	c.balancer.End(a.endpoint, 1000)
	queue := a.target.queue
	c.balancer.UpdateLoad(a.endpoint, balance.LoadReport{
		Running: queue.Running(), Waiting: queue.Waiting(), MeanServiceTime: queue.MeanServiceTime(), Slowdown: queue.Slowdown(),
	}, s.now)
	c.hedger.RecordReply("s", a.endpoint.Target, hedge.Reply{Refused: refused, Queued: queue.Waiting() > 0}, s.now)
	q.open = slices.DeleteFunc(q.open, func(o *attempt) bool { return o == a })
	if !refused {
		c.hedger.RecordTime("r", s.now-a.started-networkDelay, s.now)
		s.finish(q, a)
		return
	}
	s.outcome.refused++
	switch {
	case q.done:
	case len(q.open) == 0:
		s.send(q)
	case a.isCopy:
		q.copied = false
		s.decide(q, q.open[0])
	}
}

// finish ends a request and cancels its other attempts. winner is nil if there was no response.
func (s *simulation) finish(q *request, winner *attempt) {
	if q.done {
		return
	}
	q.done = true
	for _, a := range q.open {
		a.ended = true
		q.caller.balancer.End(a.endpoint, 1000)
		if winner != nil {
			s.outcome.cancelled++
			q.caller.hedger.RecordCancelled("r", s.now-a.began, s.now)
		}
		s.at(s.now+cancelDelay, func() {
			if a.running {
				s.stop(a, false)
			} else if a.ticket != nil {
				a.target.queue.Cancel(a.ticket)
				delete(a.target.runs, a.ticket)
			}
		})
	}
	if !q.copied && q.reason != "" && q.reason != hedge.ReasonNotLate {
		s.outcome.held[q.reason]++
	}
	if winner != nil && winner.isCopy {
		s.outcome.won++
	}
	if q.arrived < warmUp {
		return
	}
	if winner == nil {
		s.outcome.failed++
	}
	s.outcome.latencies = append(s.outcome.latencies, s.now-q.arrived)
}

func usualSpeed(int, time.Duration) float64 { return 1 }

// slowThird makes every third target take 2.5 times as long.
func slowThird(target int, _ time.Duration) float64 {
	if target%3 == 0 {
		return 2.5
	}
	return 1
}

// noisy makes work take 2.5 times as long in spells of 600 ms, 15 % of the time, at different times
// for each target.
func noisy(target int, at time.Duration) float64 {
	const spell, period = 600 * ms, 4 * time.Second
	index := uint64(at / period)
	offset := time.Duration(rand.New(rand.NewPCG(index, uint64(target))).Int64N(int64(period - spell)))
	if in := at % period; in >= offset && in < offset+spell {
		return 2.5
	}
	return 1
}

// stalling makes one run in a hundred take ten times as long, as after a pause of a process.
func stalling(target int, at time.Duration) float64 {
	if rand.New(rand.NewPCG(uint64(at), uint64(target))).IntN(100) == 0 {
		return 10
	}
	return noisy(target, at)
}

// stuckTarget makes the first target not respond at all from 20 s on.
func stuckTarget(target int, at time.Duration) float64 {
	if target == 0 && at >= 20*time.Second {
		return 1000
	}
	return 1
}

// mesh24 is a mesh of 24 targets at a bit under half of their capacity.
func mesh24(slowdown func(int, time.Duration) float64, share float64) replay {
	return replay{nodes: 24, perSecond: 330, work: 100 * ms, length: 100 * time.Second, slowdown: slowdown, limit: hedge.Limit{Share: share, Burst: 96}, seed: 7}
}

// replaySeeds is the number of seeds of the table of shares. With one, p99.9 varies by some per cent.
var replaySeeds = flag.Uint64("seeds", 1, "replays for each share")

// combined returns the result of replays with several seeds.
func combined(r replay, seeds uint64) *outcome {
	total := &outcome{held: map[hedge.Reason]int{}}
	for seed := range seeds {
		r.seed = 7 + seed
		o := r.run()
		total.latencies = append(total.latencies, o.latencies...)
		total.requests += o.requests
		total.copies += o.copies
		total.won += o.won
		total.cancelled += o.cancelled
		total.refused += o.refused
		total.failed += o.failed
		total.worked += o.worked
		for reason, count := range o.held {
			total.held[reason] += count
		}
	}
	slices.Sort(total.latencies)
	return total
}

// Reports what copies change. Guards against more copies than the share, and against copies that
// make the slowest answers slower than without them by more than the noise of a replay.
func TestReplayOfShares(t *testing.T) {
	// The ratios of two replays with one seed vary by up to these, also with the rounding of the
	// processor.
	noise := map[float64]float64{0.5: 1.1, 0.99: 1.15, 0.999: 1.3}
	for _, c := range []struct {
		name     string
		slowdown func(int, time.Duration) float64
	}{{"usual", usualSpeed}, {"slow third", slowThird}, {"noisy", noisy}, {"noisy, 1 % of runs stall", stalling}, {"stuck target", stuckTarget}} {
		t.Run(c.name, func(t *testing.T) {
			var without *outcome
			for _, share := range []float64{0, 0.01, 0.02, 0.05} {
				o := combined(mesh24(c.slowdown, share), *replaySeeds)
				if share == 0 {
					without = o
					require.Zero(t, o.copies)
				}
				t.Logf("share %.2f: p50 %4d p99 %4d p99.9 %4d ms, copies %.2f %%, won %d, cancelled %d, failed %d, refused %d, work %+.2f %%, held %v",
					share, o.quantile(0.5).Milliseconds(), o.quantile(0.99).Milliseconds(), o.quantile(0.999).Milliseconds(),
					100*float64(o.copies)/float64(o.requests), o.won, o.cancelled, o.failed, o.refused,
					100*(float64(o.worked)/float64(without.worked)-1), o.held)
				require.LessOrEqual(t, float64(o.copies), share*float64(o.requests))
				if c.name == "stuck target" {
					// The slowest answers come from this target alone. Cancelling them frees its slots, so
					// that more requests meet it, and p99 rises by the time until their copies are sent.
					require.LessOrEqual(t, o.failed, without.failed)
					continue
				}
				for q, ratio := range noise {
					require.LessOrEqual(t, float64(o.quantile(q)), ratio*float64(without.quantile(q)), "quantile %g", q)
				}
				if c.name == "noisy, 1 % of runs stall" && share == 0.05 {
					require.Less(t, float64(o.quantile(0.999)), 0.85*float64(without.quantile(0.999)), "copies do not help")
				}
			}
		})
	}
}
