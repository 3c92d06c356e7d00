package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/admission"
)

// sender is the load of one organisation on a target in a simulation without a network.
type sender struct {
	// organisation is "" for callers without one.
	organisation string
	priority     int
	nested       bool
	// rate is the number of new callers per second, serviceTime the mean time at the target.
	rate        float64
	serviceTime time.Duration
	// retries is the number of times that a refused caller sends its request again, after
	// retryAfter.
	retries    int
	retryAfter time.Duration
}

// served is the outcome of one sender.
type served struct {
	callers, inTime, expired int
	// busy is the time at the target, waited the sum of the queueing times of admitted requests,
	// started their number, and expected the sum of their queueing times as estimated.
	busy, waited, expected time.Duration
	started                int
}

func (s served) share() float64 { return float64(s.inTime) / float64(max(s.callers, 1)) }

func (s served) meanWait() time.Duration { return s.waited / time.Duration(max(s.started, 1)) }

type attempt struct {
	sender  int
	first   time.Duration
	tries   int
	arrived time.Duration
}

type shareEvent struct {
	at     time.Duration
	arrive *attempt
	done   *admission.Ticket
}

type shareHeap []shareEvent

func (h shareHeap) Len() int           { return len(h) }
func (h shareHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h shareHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *shareHeap) Push(x any)        { *h = append(*h, x.(shareEvent)) }
func (h *shareHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// eachSeed runs a test with some seeds, so that it does not depend on one order of arrivals.
func eachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { test(t, seed) })
	}
}

// share simulates a target for 40 s. Without fair, the queue is not told the organisations.
func share(seed uint64, slots int, objective time.Duration, senders []sender, fair bool) []served {
	const length = 40 * time.Second
	random := rand.New(rand.NewPCG(seed, 2))
	q := admission.NewQueue(slots)
	out := make([]served, len(senders))
	var events shareHeap
	for i, s := range senders {
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / s.rate * float64(time.Second))
			if at >= length {
				break
			}
			events = append(events, shareEvent{at: at, arrive: &attempt{sender: i, first: at}})
		}
	}
	heap.Init(&events)
	owners := map[*admission.Ticket]*attempt{}
	refuse := func(a *attempt, now time.Duration) {
		if s := senders[a.sender]; a.tries < s.retries {
			heap.Push(&events, shareEvent{at: now + s.retryAfter, arrive: &attempt{sender: a.sender, first: a.first, tries: a.tries + 1}})
		}
	}
	start := func(t *admission.Ticket, now time.Duration) {
		a := owners[t]
		duration := time.Duration(float64(senders[a.sender].serviceTime) * (0.6 + 0.8*random.Float64()))
		o := &out[a.sender]
		o.busy, o.waited, o.started = o.busy+duration, o.waited+now-a.arrived, o.started+1
		heap.Push(&events, shareEvent{at: now + duration, done: t})
	}
	for events.Len() > 0 {
		e := heap.Pop(&events).(shareEvent)
		for _, t := range q.Expire(e.at) {
			out[owners[t].sender].expired++
			refuse(owners[t], e.at)
		}
		if e.done != nil {
			if a := owners[e.done]; e.at-a.first <= objective {
				out[a.sender].inTime++
			}
			for _, t := range q.Done(e.done, true, e.at) {
				start(t, e.at)
			}
			continue
		}
		a := e.arrive
		a.arrived = e.at
		s := senders[a.sender]
		kind := admission.FirstAttempt
		switch {
		case a.tries == 0:
			out[a.sender].callers++
		case a.first+objective-e.at >= s.serviceTime:
			kind = admission.ClientRetry
		default:
			continue
		}
		r := admission.Request{Rank: admission.RankOf(s.nested, s.priority, kind), ExpectedServiceTime: s.serviceTime, FinishBy: a.first + objective}
		if fair {
			r.Organisation = s.organisation
		}
		t, decision, wait := q.Submit(r, e.at)
		if decision == admission.Refuse {
			refuse(a, e.at)
			continue
		}
		owners[t] = a
		out[a.sender].expected += wait
		if decision == admission.Admit {
			start(t, e.at)
		}
	}
	return out
}

// total adds the outcomes up.
func total(all []served) (sum served) {
	for _, s := range all {
		sum.callers, sum.inTime, sum.expired = sum.callers+s.callers, sum.inTime+s.inTime, sum.expired+s.expired
		sum.busy, sum.waited, sum.started, sum.expected = sum.busy+s.busy, sum.waited+s.waited, sum.started+s.started, sum.expected+s.expected
	}
	return sum
}

// requireNoneStarved checks that no sender is served less than a quarter as often as all.
func requireNoneStarved(t *testing.T, all []served) {
	want := total(all).share() / 4
	for i, s := range all {
		require.GreaterOrEqual(t, s.share(), want, "sender %d: %+v", i, s)
	}
}

// withHot returns ten organisations that send 6 requests a second each, behind a hot one. The
// target serves about 92 requests a second.
func withHot(hot sender) []sender {
	senders := []sender{hot}
	for i := range 10 {
		senders = append(senders, sender{organisation: fmt.Sprint("o", i), priority: 1, rate: 6, serviceTime: 130 * ms})
	}
	return senders
}

// Guards the others against a hot organisation inside its cap, which sends ten times as much as each
// of them and more than the target can serve: it must pay for it with its own waiting.
func TestHotOrganisationPaysWithItsOwnWaiting(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		senders := withHot(sender{organisation: "hot", priority: 1, rate: 60, serviceTime: 130 * ms})
		fair, before := share(seed, 12, time.Second, senders, true), share(seed, 12, time.Second, senders, false)
		others, othersBefore := total(fair[1:]), total(before[1:])
		t.Logf("hot %+v others %+v; without sharing %+v, %+v", fair[0], others, before[0], othersBefore)
		require.GreaterOrEqual(t, others.share(), 0.99)
		require.Less(t, othersBefore.share(), others.share()-0.1)
		require.Greater(t, fair[0].meanWait(), 3*others.meanWait())
		require.GreaterOrEqual(t, total(fair).inTime, total(before).inTime*95/100, "sharing must not cost goodput")
		requireNoneStarved(t, fair)
	})
}

// Guards the others against a herd of retries: callers of the hot organisation that do not wait
// before they send a refused request again. Retries have precedence over first attempts, but
// only within the share of their organisation.
func TestHerdOfRetriesDoesNotDisplaceOthers(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		senders := withHot(sender{organisation: "hot", priority: 1, rate: 90, serviceTime: 130 * ms, retries: 20, retryAfter: 5 * ms})
		fair, before := share(seed, 12, 500*ms, senders, true), share(seed, 12, 500*ms, senders, false)
		others, othersBefore := total(fair[1:]), total(before[1:])
		t.Logf("hot %+v others %+v; without sharing %+v, %+v", fair[0], others, before[0], othersBefore)
		require.GreaterOrEqual(t, others.share(), 0.99)
		require.Less(t, othersBefore.share(), 0.6)
		requireNoneStarved(t, fair)
	})
}

// Guards small organisations, most of which send a request now and then, against large ones on a
// target that gets 1.3 times what it can serve: 84 organisations with skew 1.2.
func TestSkewedOrganisationsShareAnOverloadedTarget(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		const count, skew, rate = 84, 1.2, 120.0
		senders, sum := make([]sender, count), 0.0
		for i := range senders {
			sum += math.Pow(float64(i+1), -skew)
		}
		for i := range senders {
			senders[i] = sender{organisation: fmt.Sprint("o", i), priority: 1, rate: rate * math.Pow(float64(i+1), -skew) / sum, serviceTime: 130 * ms, retries: 2, retryAfter: 60 * ms}
		}
		all := share(seed, 12, 600*ms, senders, true)
		small := total(all[10:])
		t.Logf("largest %+v small %+v all %+v", all[0], small, total(all))
		require.GreaterOrEqual(t, small.share(), 0.99)
		require.GreaterOrEqual(t, float64(total(all).inTime), 0.9*92*40, "sharing must not cost goodput")
		requireNoneStarved(t, all)
	})
}

// Guards against counting requests instead of their length: of two organisations that overload a
// target, the one whose work takes four times as long must not get four times the target.
func TestOrganisationsShareTheTimeOfTheTarget(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		long := sender{organisation: "long", priority: 1, rate: 30, serviceTime: 880 * ms}
		short := sender{organisation: "short", priority: 1, rate: 120, serviceTime: 220 * ms}
		all := share(seed, 12, 4*time.Second, []sender{long, short}, true)
		t.Logf("long %+v short %+v", all[0], all[1])
		// Every fourth start is in order of arrival.
		require.InEpsilon(t, float64(all[0].busy), float64(all[1].busy), 0.25)
		requireNoneStarved(t, all)
	})
}

// Guards less urgent requests against starvation: urgent organisations, and nested calls, that alone
// send more than the target can serve must leave some of it to the others.
func TestLessUrgentRequestsAreNotStarved(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		all := share(seed, 12, time.Second, []sender{
			{organisation: "urgent", priority: 0, rate: 70, serviceTime: 130 * ms},
			{organisation: "nested", nested: true, rate: 50, serviceTime: 130 * ms},
			{organisation: "normal", priority: 2, rate: 15, serviceTime: 130 * ms},
			{organisation: "idle", priority: 5, rate: 5, serviceTime: 130 * ms},
			{organisation: "", priority: 9, rate: 10, serviceTime: 130 * ms},
		}, true)
		t.Logf("%+v", all)
		requireNoneStarved(t, all)
		require.Greater(t, all[0].share(), all[2].share(), "priorities still count")
	})
}

// Guards against holding requests that cannot be served in time: a hot organisation must be refused
// on arrival by the wait that it will have, which is longer than that of the others.
func TestEstimateIsTheWaitOfTheOrganisation(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		senders := withHot(sender{organisation: "hot", priority: 1, rate: 120, serviceTime: 130 * ms})
		all := share(seed, 12, 600*ms, senders, true)
		hot, others := all[0], total(all[1:])
		t.Logf("hot %+v others %+v", hot, others)
		require.InEpsilon(t, float64(hot.waited), float64(hot.expected), 0.35)
		require.Less(t, hot.expired, (hot.callers-hot.started)/10, "refused on arrival, not after a wait")
		require.Zero(t, others.expired)
	})
}

// Guards against lost or repeated tickets, against an idle slot while requests wait, and against a
// request that is passed over without end, for random sequences of operations.
func TestSharingPassesNoRequestOverWithoutEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := admission.NewQueue(slots)
		var now time.Duration
		var running, waiting []*admission.Ticket
		// passed counts the starts since a ticket became the one that has waited longest.
		passed := 0
		start := func(tickets []*admission.Ticket) {
			for _, k := range tickets {
				at := slices.Index(waiting, k)
				require.GreaterOrEqual(t, at, 0, "only a waiting ticket may be started")
				if passed++; at == 0 {
					passed = 0
				}
				require.Less(t, passed, 4, "the longest waiting request was passed over")
				waiting = slices.Delete(waiting, at, at+1)
				running = append(running, k)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				k, decision, _ := q.Submit(admission.Request{
					Organisation: rapid.SampledFrom([]string{"a", "a", "a", "b", "c"}).Draw(t, "organisation"),
					Rank: admission.RankOf(rapid.Bool().Draw(t, "nested"), rapid.IntRange(0, 2).Draw(t, "priority"),
						admission.AttemptKind(rapid.IntRange(0, 2).Draw(t, "kind"))),
					ExpectedServiceTime: time.Duration(rapid.IntRange(0, 200).Draw(t, "length")) * ms, FinishBy: now + 10*time.Second,
				}, now)
				switch decision {
				case admission.Admit:
					running = append(running, k)
				case admission.Enqueue:
					waiting = append(waiting, k)
				}
			case 3, 4:
				if len(running) > 0 {
					at := rapid.IntRange(0, len(running)-1).Draw(t, "running")
					k := running[at]
					running = slices.Delete(running, at, at+1)
					start(q.Done(k, true, now))
				}
			case 5:
				if len(waiting) > 0 {
					at := rapid.IntRange(0, len(waiting)-1).Draw(t, "waiting")
					require.True(t, q.Cancel(waiting[at]))
					waiting = slices.Delete(waiting, at, at+1)
					if at == 0 {
						passed = 0
					}
				}
			}
			require.Equal(t, len(running), q.Running())
			require.Equal(t, len(waiting), q.Waiting())
			require.True(t, len(waiting) == 0 || len(running) == slots, "a slot is idle while requests wait")
		}
	})
}

// Guards deployments without organisations: requests must start in order of rank and arrival, also on
// a target that served organisations before.
func TestRequestsWithoutOrganisationsStartByRankAndArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admission.NewQueue(1)
		organisation := ""
		if rapid.Bool().Draw(t, "organisation before") {
			organisation = "a"
		}
		runs, _, _ := q.Submit(admission.Request{Rank: 2, Organisation: organisation, ExpectedServiceTime: ms, FinishBy: time.Hour}, 0)
		var waiting []*admission.Ticket
		for range rapid.IntRange(0, 30).Draw(t, "requests") {
			r := admission.Request{
				Rank: admission.RankOf(rapid.Bool().Draw(t, "nested"), rapid.IntRange(0, 2).Draw(t, "priority"),
					admission.AttemptKind(rapid.IntRange(0, 1).Draw(t, "kind"))),
				ExpectedServiceTime: time.Duration(rapid.IntRange(0, 200).Draw(t, "length")) * ms, FinishBy: time.Hour,
			}
			k, decision, wait := q.Submit(r, 0)
			require.Equal(t, admission.Enqueue, decision)
			ahead := 0
			for _, w := range waiting {
				if w.Rank <= r.Rank {
					ahead++
				}
			}
			require.Equal(t, time.Duration(ahead+1)*admission.DefaultServiceTime, wait)
			waiting = append(waiting, k)
		}
		slices.SortStableFunc(waiting, func(a, b *admission.Ticket) int { return int(a.Rank - b.Rank) })
		for _, want := range waiting {
			started := q.Done(runs, false, 0)
			require.Equal(t, []*admission.Ticket{want}, started)
			runs = want
		}
	})
}

// BenchmarkSharedQueue measures a request through a queue in which 84 organisations wait. Nodes have
// a sixth of a core.
func BenchmarkSharedQueue(b *testing.B) {
	q := admission.NewQueue(12)
	var running []*admission.Ticket
	submit := func(i int) {
		t, decision, _ := q.Submit(admission.Request{Rank: 4, Organisation: fmt.Sprint("o", i%84), ExpectedServiceTime: 100 * ms, FinishBy: time.Hour}, 0)
		if decision == admission.Admit {
			running = append(running, t)
		}
	}
	for i := range 96 {
		submit(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		running = append(running[1:], q.Done(running[0], false, 0)...)
		submit(i)
	}
}
