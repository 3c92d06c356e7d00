package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/admission"
)

// loadPattern describes the load on one target in a simulation without a network. Callers
// arrive at random, and retry once after 60 ms if they are refused.
type loadPattern struct {
	slots       int
	serviceTime time.Duration
	objective   time.Duration
	deadline    time.Duration
	length      time.Duration
	// arrivalRate is the number of new callers per second.
	arrivalRate func(at time.Duration) float64
	// slowdown is the factor by which the service time of the target is longer.
	slowdown func(at time.Duration) float64
}

// outcome counts the callers of a run by result.
type outcome struct {
	callers, inTime, late, refused, refusedTwice int
	// lastInTime is the share of callers in the last fifth of the run that were answered
	// in time.
	lastInTime float64
}

type policy func(retrying bool, firstSent, now time.Duration, p loadPattern) (rank admission.Rank, finish time.Duration)

// currentPolicy is the policy that the nodes use.
func currentPolicy(retrying bool, firstSent, now time.Duration, p loadPattern) (admission.Rank, time.Duration) {
	switch {
	case !retrying:
		return admission.RankOf(false, 1, admission.FirstAttempt), now + p.objective
	case firstSent+p.objective-now >= p.serviceTime:
		return admission.RankOf(false, 1, admission.ClientRetry), firstSent + p.objective
	default:
		return admission.RankOf(false, 1, admission.LateClientRetry), firstSent + p.deadline
	}
}

// retriesFirstPolicy is the former policy: client retries come first and may finish up to
// the deadline.
func retriesFirstPolicy(retrying bool, firstSent, now time.Duration, p loadPattern) (admission.Rank, time.Duration) {
	if retrying {
		return admission.RankOf(false, 1, admission.ClientRetry), firstSent + p.deadline
	}
	return admission.RankOf(false, 1, admission.FirstAttempt), now + p.objective
}

// fifoPolicy queues requests in order of arrival and lets them finish up to the deadline.
func fifoPolicy(_ bool, firstSent, _ time.Duration, p loadPattern) (admission.Rank, time.Duration) {
	return 2, firstSent + p.deadline
}

type caller struct {
	firstSent time.Duration
	retrying  bool
}

type event struct {
	at     time.Duration
	arrive *caller
	done   *admission.Ticket
}

type eventHeap []event

func (t eventHeap) Len() int           { return len(t) }
func (t eventHeap) Less(i, j int) bool { return t[i].at < t[j].at }
func (t eventHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *eventHeap) Push(x any)        { *t = append(*t, x.(event)) }
func (t *eventHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func simulate(p loadPattern, decide policy, seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	q := admission.NewQueue(p.slots)
	var events eventHeap
	for at := time.Duration(0); at < p.length; {
		at += time.Duration(random.ExpFloat64() / p.arrivalRate(at) * float64(time.Second))
		heap.Push(&events, event{at: at, arrive: &caller{firstSent: at}})
	}
	var out outcome
	owners := map[*admission.Ticket]*caller{}
	lastCallers, lastInTime := 0, 0
	start := func(t *admission.Ticket, now time.Duration) {
		duration := time.Duration(float64(p.serviceTime) * p.slowdown(now) * (0.6 + 0.8*random.Float64()))
		heap.Push(&events, event{at: now + duration, done: t})
	}
	refuse := func(c *caller, now time.Duration) {
		if c.retrying {
			out.refusedTwice++
			return
		}
		out.refused++
		heap.Push(&events, event{at: now + 60*time.Millisecond, arrive: &caller{c.firstSent, true}})
	}
	for events.Len() > 0 {
		e := heap.Pop(&events).(event)
		for _, t := range q.Expire(e.at) {
			refuse(owners[t], e.at)
		}
		if e.done != nil {
			c := owners[e.done]
			if e.at-c.firstSent <= p.objective {
				out.inTime++
				if c.firstSent > p.length*4/5 {
					lastInTime++
				}
			} else if e.at-c.firstSent <= p.deadline {
				out.late++
			}
			for _, t := range q.Done(e.done, true, e.at) {
				start(t, e.at)
			}
			continue
		}
		c := e.arrive
		if !c.retrying {
			out.callers++
			if c.firstSent > p.length*4/5 {
				lastCallers++
			}
		}
		rank, finish := decide(c.retrying, c.firstSent, e.at, p)
		t, verdict, _ := q.Submit(admission.Request{Rank: rank, ExpectedServiceTime: p.serviceTime, FinishBy: finish}, e.at)
		switch verdict {
		case admission.Refuse:
			refuse(c, e.at)
		case admission.Admit:
			owners[t] = c
			start(t, e.at)
		case admission.Enqueue:
			owners[t] = c
		}
	}
	out.lastInTime = float64(lastInTime) / float64(max(lastCallers, 1))
	return out
}

func steady(x float64) func(time.Duration) float64 { return func(time.Duration) float64 { return x } }

func stepBetween(from, to time.Duration, inside, outside float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return inside
		}
		return outside
	}
}

// basePattern has a target with 12 slots that serves about 92 requests a second.
func basePattern() loadPattern {
	return loadPattern{
		slots: 12, serviceTime: 130 * ms, objective: 300 * ms, deadline: 1200 * ms, length: 40 * time.Second,
		arrivalRate: steady(75), slowdown: steady(1),
	}
}

// Guards the goodput under each load pattern: requests answered in time, relative to the
// capacity of the target, to the former policy and to a FIFO queue.
func TestGoodputUnderLoadPatterns(t *testing.T) {
	const capacity = 92.0
	for name, c := range map[string]struct {
		change func(*loadPattern)
		// want is the minimum of requests answered in time, as a share of servable, the number
		// of requests a second that the target can serve.
		want     float64
		servable float64
	}{
		"steady overload": {func(p *loadPattern) { p.arrivalRate = steady(140) }, 0.8, capacity},
		"burst":           {func(p *loadPattern) { p.arrivalRate = stepBetween(10*time.Second, 15*time.Second, 200, 60) }, 0.85, 64},
		"slow target":     {func(p *loadPattern) { p.slowdown = stepBetween(10*time.Second, 20*time.Second, 2.5, 1) }, 0.6, 75},
		"herd restart":    {func(p *loadPattern) { p.arrivalRate = stepBetween(0, 2*time.Second, 400, 60) }, 0.8, 62},
		"cold target":     {func(p *loadPattern) { p.slowdown = stepBetween(0, 3*time.Second, 2, 1) }, 0.85, 75},
		"long overload":   {func(p *loadPattern) { p.arrivalRate = steady(240) }, 0.75, capacity},
	} {
		t.Run(name, func(t *testing.T) {
			p := basePattern()
			c.change(&p)
			current, former, fifo := simulate(p, currentPolicy, 1), simulate(p, retriesFirstPolicy, 1), simulate(p, fifoPolicy, 1)
			t.Logf("current %+v", current)
			t.Logf("former  %+v", former)
			t.Logf("fifo    %+v", fifo)
			require.GreaterOrEqual(t, float64(current.inTime), c.want*c.servable*p.length.Seconds())
			require.GreaterOrEqual(t, current.inTime, former.inTime*95/100)
			require.GreaterOrEqual(t, current.inTime, fifo.inTime*95/100)
		})
	}
}

// Guards against a metastable failure: once the load is back to normal, the share of
// callers that are answered in time must recover too.
func TestRecoversAfterBurst(t *testing.T) {
	p := basePattern()
	p.arrivalRate = stepBetween(10*time.Second, 20*time.Second, 300, 60)
	require.GreaterOrEqual(t, simulate(p, currentPolicy, 2).lastInTime, 0.97)
}
