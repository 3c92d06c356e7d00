package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/admission"
)

// loadPattern is a load on one target in a model without network: callers come at
// random, wait as they are told when refused, and come back once.
type loadPattern struct {
	slots     int
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	length    time.Duration
	// perSecond is the rate of new callers at a time.
	perSecond func(at time.Duration) float64
	// pace is how much longer the target takes at a time.
	pace func(at time.Duration) float64
}

// outcome counts how the callers of a run fared.
type outcome struct {
	callers, inTime, late, refused, refusedTwice int
	// lastInTime is the share in time among callers of the last fifth of the run.
	lastInTime float64
}

type policy func(returning bool, first, now time.Duration, p loadPattern) (rank admission.Rank, finish time.Duration)

// currentPolicy is the policy of the nodes.
func currentPolicy(returning bool, first, now time.Duration, p loadPattern) (admission.Rank, time.Duration) {
	switch {
	case !returning:
		return admission.RankOf(false, 1, admission.FirstAttempt), now + p.objective
	case first+p.objective-now >= p.work:
		return admission.RankOf(false, 1, admission.ClientRetry), first + p.objective
	default:
		return admission.RankOf(false, 1, admission.LateClientRetry), first + p.deadline
	}
}

// retriesFirstPolicy is the former policy: callers that come back go first, with their
// whole deadline as limit.
func retriesFirstPolicy(returning bool, first, now time.Duration, p loadPattern) (admission.Rank, time.Duration) {
	if returning {
		return admission.RankOf(false, 1, admission.ClientRetry), first + p.deadline
	}
	return admission.RankOf(false, 1, admission.FirstAttempt), now + p.objective
}

// fifoPolicy is the naive policy: one queue in order of arrival, limited by the deadline.
func fifoPolicy(_ bool, first, _ time.Duration, p loadPattern) (admission.Rank, time.Duration) {
	return 2, first + p.deadline
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
		at += time.Duration(random.ExpFloat64() / p.perSecond(at) * float64(time.Second))
		heap.Push(&events, event{at: at, arrive: &caller{firstSent: at}})
	}
	var out outcome
	owners := map[*admission.Ticket]*caller{}
	lastCallers, lastInTime := 0, 0
	start := func(t *admission.Ticket, now time.Duration) {
		took := time.Duration(float64(p.work) * p.pace(now) * (0.6 + 0.8*random.Float64()))
		heap.Push(&events, event{at: now + took, done: t})
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
		t, verdict, _ := q.Submit(admission.Request{Rank: rank, ExpectedServiceTime: p.work, FinishBy: finish}, e.at)
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

func constantly(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

func stepBetween(from, to time.Duration, inside, outside float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return inside
		}
		return outside
	}
}

// basePattern is a target of 12 slots that serves about 92 requests a second.
func basePattern() loadPattern {
	return loadPattern{
		slots: 12, work: 130 * ms, objective: 300 * ms, deadline: 1200 * ms, length: 40 * time.Second,
		perSecond: constantly(75), pace: constantly(1),
	}
}

// Guards goodput under each load pattern: the share of what the target can serve
// that is served in time, and no worse than the former and the naive policy.
func TestGoodputUnderLoadPatterns(t *testing.T) {
	const capacity = 92.0
	for name, c := range map[string]struct {
		change func(*loadPattern)
		// want is the least part of the work that fits which is answered in time.
		want float64
		fits float64
	}{
		"steady overload": {func(p *loadPattern) { p.perSecond = constantly(140) }, 0.8, capacity},
		"burst":           {func(p *loadPattern) { p.perSecond = stepBetween(10*time.Second, 15*time.Second, 200, 60) }, 0.85, 64},
		"slow target":     {func(p *loadPattern) { p.pace = stepBetween(10*time.Second, 20*time.Second, 2.5, 1) }, 0.6, 75},
		"herd restart":    {func(p *loadPattern) { p.perSecond = stepBetween(0, 2*time.Second, 400, 60) }, 0.8, 62},
		"cold target":     {func(p *loadPattern) { p.pace = stepBetween(0, 3*time.Second, 2, 1) }, 0.85, 75},
		"long overload":   {func(p *loadPattern) { p.perSecond = constantly(240) }, 0.75, capacity},
	} {
		t.Run(name, func(t *testing.T) {
			p := basePattern()
			c.change(&p)
			now, former, naive := simulate(p, currentPolicy, 1), simulate(p, retriesFirstPolicy, 1), simulate(p, fifoPolicy, 1)
			t.Logf("present %+v", now)
			t.Logf("former  %+v", former)
			t.Logf("naive   %+v", naive)
			require.GreaterOrEqual(t, float64(now.inTime), c.want*c.fits*p.length.Seconds())
			require.GreaterOrEqual(t, now.inTime, former.inTime*95/100)
			require.GreaterOrEqual(t, now.inTime, naive.inTime*95/100)
		})
	}
}

// Guards against a metastable state: when the load is back to normal, so is the
// share of callers that are answered in time.
func TestRecoversAfterBurst(t *testing.T) {
	p := basePattern()
	p.perSecond = stepBetween(10*time.Second, 20*time.Second, 300, 60)
	require.GreaterOrEqual(t, simulate(p, currentPolicy, 2).lastInTime, 0.97)
}
