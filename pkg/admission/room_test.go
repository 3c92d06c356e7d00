package admission_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/admission"
)

// sheddingTarget decides whether a target takes a request, given the number that it works on.
type sheddingTarget func(working int, now time.Duration, random *rand.Rand) bool

// shedOutcome counts the requests of a run.
type shedOutcome struct {
	arrived, inTime, refusedByTarget, refusedAtTheDoor int
	// after counts those that arrived from recovered on.
	afterArrived, afterInTime int
	// tookFull is when the target first worked on as many requests as it has slots from
	// recovered on.
	tookFull time.Duration
}

type shedEvent struct {
	at  time.Duration
	run func(now time.Duration)
}

type shedEvents []shedEvent

func (h shedEvents) Len() int           { return len(h) }
func (h shedEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h shedEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *shedEvents) Push(x any)        { *h = append(*h, x.(shedEvent)) }
func (h *shedEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const shedSlots = 12

// runShedding sends requests at random times through the queue of a target that sheds load.
// learns is set if the queue learns of the refusals.
func runShedding(takes sheddingTarget, rate float64, length, recovered time.Duration, learns bool, seed uint64) shedOutcome {
	const serviceTime, objective = 130 * ms, 400 * ms
	random, sizes := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	q := admission.NewQueue(shedSlots)
	out := shedOutcome{tookFull: math.MaxInt64}
	var events shedEvents
	working := 0
	began := map[*admission.Ticket]time.Duration{}
	var start func(k *admission.Ticket, now time.Duration)
	finish := func(k *admission.Ticket, responded bool, now time.Duration) {
		for _, next := range q.Done(k, responded, now) {
			start(next, now)
		}
	}
	start = func(k *admission.Ticket, now time.Duration) {
		if !takes(working, now, random) {
			out.refusedByTarget++
			heap.Push(&events, shedEvent{now + 2*ms, func(now time.Duration) {
				if !learns {
					finish(k, false, now)
					return
				}
				for _, next := range q.Refused(k, now) {
					start(next, now)
				}
			}})
			return
		}
		working++
		if now >= recovered && working >= shedSlots {
			out.tookFull = min(out.tookFull, now)
		}
		heap.Push(&events, shedEvent{now + time.Duration((0.6+0.8*sizes.Float64())*float64(serviceTime)), func(now time.Duration) {
			working--
			if now-began[k] <= objective {
				out.inTime++
				if began[k] >= recovered {
					out.afterInTime++
				}
			}
			finish(k, true, now)
		}})
	}
	for at := time.Duration(0); at < length; {
		at += time.Duration(sizes.ExpFloat64() / rate * float64(time.Second))
		heap.Push(&events, shedEvent{at, func(now time.Duration) {
			out.arrived++
			if now >= recovered {
				out.afterArrived++
			}
			k, decision, _ := q.Submit(admission.Request{Rank: 2, ExpectedServiceTime: serviceTime, FinishBy: now + objective}, now)
			if decision == admission.Refuse {
				out.refusedAtTheDoor++
				return
			}
			began[k] = now
			if decision == admission.Admit {
				start(k, now)
			}
		}})
	}
	for at := 20 * ms; at < length; at += 20 * ms {
		heap.Push(&events, shedEvent{at, func(now time.Duration) {
			for _, next := range q.Resume(now) {
				start(next, now)
			}
			out.refusedAtTheDoor += len(q.Expire(now))
		}})
	}
	for events.Len() > 0 {
		e := heap.Pop(&events).(shedEvent)
		e.run(e.at)
	}
	return out
}

// Guards against sending requests to a target that is going to refuse them, and against
// refusing at the door what the target would have taken, for targets that shed beyond a number
// of requests, at random, or beyond a rate (load pattern "targets shed load").
func TestRoomOfSheddingTarget(t *testing.T) {
	always := time.Duration(math.MaxInt64)
	bucket := func(perSecond float64) sheddingTarget {
		tokens, at := 0.0, time.Duration(0)
		return func(_ int, now time.Duration, _ *rand.Rand) bool {
			tokens, at = min(3, tokens+perSecond*(now-at).Seconds()), now
			if tokens < 1 {
				return false
			}
			tokens--
			return true
		}
	}
	beyond := func(room int) sheddingTarget {
		return func(working int, _ time.Duration, _ *rand.Rand) bool { return working < room }
	}
	random := func(share float64) sheddingTarget {
		return func(_ int, _ time.Duration, random *rand.Rand) bool { return random.Float64() >= share }
	}
	const length = 20 * time.Second
	for _, c := range []struct {
		name   string
		target func() sheddingTarget
		// byNumber is set if the target sheds beyond a number of requests, which can be learned.
		byNumber bool
	}{
		{"beyond 1", func() sheddingTarget { return beyond(1) }, true},
		{"beyond 3", func() sheddingTarget { return beyond(3) }, true},
		{"beyond 8", func() sheddingTarget { return beyond(8) }, true},
		{"20 % at random", func() sheddingTarget { return random(0.2) }, false},
		{"55 % at random", func() sheddingTarget { return random(0.55) }, false},
		{"90 % at random", func() sheddingTarget { return random(0.9) }, false},
		{"all", func() sheddingTarget { return random(1) }, false},
		{"over 10 a second", func() sheddingTarget { return bucket(10) }, false},
		{"over 40 a second", func() sheddingTarget { return bucket(40) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				for _, rate := range []float64{20, 60, 120} {
					before := runShedding(c.target(), rate, length, always, false, seed)
					now := runShedding(c.target(), rate, length, always, true, seed)
					t.Logf("%3.0f/s before %+v\n      now    %+v", rate, before, now)
					// The random numbers of the targets differ between the runs.
					noise := 2 * math.Sqrt(float64(before.inTime))
					require.GreaterOrEqual(t, float64(now.inTime), float64(before.inTime)-noise)
					require.LessOrEqual(t, float64(now.refusedByTarget), float64(before.refusedByTarget)+noise)
					if c.byNumber {
						// The room grows by all slots in 1.5 s; each step is tried with one request. The
						// requests of a second or two may be refused before the room is known.
						tried := shedSlots/1.5*length.Seconds() + 2*rate
						require.LessOrEqual(t, float64(now.refusedByTarget), tried)
					}
				}
			}
		})
	}
}

// Guards against a room that stays small after the target has ended to shed load.
func TestRoomRecoversWithinTwoSeconds(t *testing.T) {
	const end = 10 * time.Second
	shedding := func(working int, now time.Duration, _ *rand.Rand) bool { return now >= end || working < 2 }
	out := runShedding(shedding, 150, 20*time.Second, end, true, 1)
	require.LessOrEqual(t, out.tookFull, end+2*time.Second)
	without := runShedding(shedding, 150, 20*time.Second, end, false, 1)
	const perSecond = shedSlots / 0.13
	require.GreaterOrEqual(t, float64(out.afterInTime), float64(without.afterInTime)-perSecond, "the recovery costs no more than a second of work")
}

// Guards against a target that is taken out of use: one request may always be there.
func TestRoomIsNeverUnderOne(t *testing.T) {
	q := admission.NewQueue(4)
	for now := time.Duration(0); now < time.Second; now += ms {
		k, decision, _ := q.Submit(admission.Request{Rank: 2, ExpectedServiceTime: ms, FinishBy: now + time.Second}, now)
		require.Equal(t, admission.Admit, decision)
		q.Refused(k, now)
		require.GreaterOrEqual(t, q.Room(now), 1)
	}
	require.Equal(t, 4, q.Room(3*time.Second))
}
