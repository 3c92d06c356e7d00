package hedge_test

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/hedge"
)

func allow() bool { return true }

// trained returns a hedger with times of 50 to 149 ms, tokens and a share of 1.
func trained(p hedge.Policy) *hedge.Hedger {
	h := hedge.New(p)
	for i := range 100 {
		h.RecordRequest("r", "s", 1)
		h.RecordTime("r", time.Duration(50+i)*ms, 0)
	}
	return h
}

func everything() hedge.Policy { return hedge.Policy{Limit: hedge.Limit{Share: 1, Burst: 10}} }

// lateRequest is a request for which a copy is sent.
func lateRequest() hedge.Request {
	return hedge.Request{
		Route: "r", Service: "s", Repeatable: true, BodyKept: true, AttemptsLeft: 1, Elapsed: 2 * time.Second, TimeLeft: time.Second,
		First: hedge.Target{Expected: 100 * ms}, Second: &hedge.Target{Expected: 100 * ms, Slots: 4}, Nodes: 1,
	}
}

// Guards against copies of requests that must not run twice, that may crash targets or spoil a move,
// against copies beyond the limits, and against copies that only take room from first attempts.
func TestEachConditionHoldsACopyBack(t *testing.T) {
	require.Equal(t, hedge.Send, trained(everything()).Decide(lateRequest(), 0, allow).Action)
	for reason, change := range map[hedge.Reason]func(*hedge.Request){
		hedge.ReasonNotRepeatable: func(r *hedge.Request) { r.Repeatable = false },
		hedge.ReasonBody:          func(r *hedge.Request) { r.BodyKept = false },
		hedge.ReasonCrashSuspect:  func(r *hedge.Request) { r.CrashSuspect = true },
		hedge.ReasonMoveOpen:      func(r *hedge.Request) { r.MoveOpen = true },
		hedge.ReasonStopping:      func(r *hedge.Request) { r.Stopping = true },
		hedge.ReasonAttempts:      func(r *hedge.Request) { r.AttemptsLeft = 0 },
		hedge.ReasonFewSamples:    func(r *hedge.Request) { r.Route = "unknown" },
		hedge.ReasonNotLate:       func(r *hedge.Request) { r.Elapsed = 100 * ms },
		hedge.ReasonNoTarget:      func(r *hedge.Request) { r.Second = nil },
		hedge.ReasonTargetBusy:    func(r *hedge.Request) { r.Second.Load = 3 },
		hedge.ReasonFailing:       func(r *hedge.Request) { r.Second.FailureRate = 0.2 },
		hedge.ReasonTimeLeft:      func(r *hedge.Request) { r.TimeLeft = 90 * ms },
		hedge.ReasonFirstSooner:   func(r *hedge.Request) { r.TimeLeft, r.Second.Expected = 3*time.Second, 2*time.Second },
	} {
		r := lateRequest()
		change(&r)
		d := trained(everything()).Decide(r, 0, allow)
		require.NotEqual(t, hedge.Send, d.Action, reason)
		require.Equal(t, reason, d.Reason)
		if d.Action == hedge.Wait {
			require.Greater(t, d.After, r.Elapsed, "%s: a decision without progress", reason)
		}
	}
	require.Equal(t, hedge.ReasonRetryBudget, trained(everything()).Decide(lateRequest(), 0, func() bool { return false }).Reason)
	require.Equal(t, hedge.ReasonOff, trained(hedge.Policy{}).Decide(lateRequest(), 0, allow).Reason)
	require.Equal(t, hedge.ReasonFewSamples, trained(everything()).Decide(lateRequest(), time.Hour, allow).Reason, "old times show nothing")
}

// Guards against a copy before the first attempt takes longer than 95 % of the route's requests.
// The quantile of the times is 144 ms, with an error of up to 6 %.
func TestFirstDecisionTellsWhenToDecideAgain(t *testing.T) {
	r := lateRequest()
	r.Elapsed, r.First.Wait = 0, 30*ms
	d := trained(everything()).Decide(r, 0, allow)
	require.Equal(t, hedge.Wait, d.Action)
	require.InDelta(t, 174, d.After.Milliseconds(), 10)
	r.TimeLeft = 160 * ms
	require.Equal(t, hedge.Never, trained(everything()).Decide(r, 0, allow).Action, "the deadline comes first")
}

// Guards against charging the shared retry budget for copies that are not sent, and the limit for
// copies that the budget refuses.
func TestOnlySentCopiesAreCharged(t *testing.T) {
	h := trained(hedge.Policy{Limit: hedge.Limit{Share: 0.01, Burst: 1}})
	require.Equal(t, hedge.ReasonRetryBudget, h.Decide(lateRequest(), 0, func() bool { return false }).Reason)
	require.Equal(t, hedge.Send, h.Decide(lateRequest(), 0, allow).Action)
	charged := false
	d := h.Decide(lateRequest(), 0, func() bool { charged = true; return true })
	require.Equal(t, hedge.ReasonLimit, d.Reason)
	require.False(t, charged)
}

// Guards against limits that bind the wrong requests, and against a lowered limit that does not bind
// at once.
func TestTheNarrowestLimitApplies(t *testing.T) {
	p := hedge.Policy{
		Limit:    hedge.Limit{Share: 0.5, Burst: 2},
		Routes:   map[string]hedge.Limit{"r": {Share: 0}},
		Services: map[string]hedge.Limit{"s": {Share: 1, Burst: 3}},
	}
	require.True(t, p.Enabled())
	h := hedge.New(p)
	require.False(t, h.Covers("r", "s"), "the table of the route switches it off")
	require.True(t, h.Covers("q", "s"))
	require.True(t, h.Covers("q", "t"))
	require.False(t, hedge.Policy{Services: p.Routes}.Enabled())

	h = trained(everything())
	h.SetPolicy(hedge.Policy{Limit: hedge.Limit{Share: 0.001, Burst: 1}})
	require.Equal(t, hedge.Send, h.Decide(lateRequest(), 0, allow).Action)
	require.Equal(t, hedge.ReasonLimit, h.Decide(lateRequest(), 0, allow).Reason)
}

// Guards the sum over all nodes: at every moment, the copies of all nodes since their starts are at
// most the share of their requests, with any traffic and any restarts; within any interval they are
// at most the share of the requests in it plus the burst, or one copy for each node.
func TestTheLimitHoldsInSumOverNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 30).Draw(t, "nodes")
		l := hedge.Limit{Share: rapid.Float64Range(0.001, 0.5).Draw(t, "share"), Burst: rapid.Float64Range(1, 60).Draw(t, "burst")}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		hedgers := make([]*hedge.Hedger, nodes)
		start := func(i int) {
			hedgers[i] = hedge.New(hedge.Policy{Limit: l})
			for range 100 {
				hedgers[i].RecordTime("r", 50*ms, 0)
			}
		}
		for i := range hedgers {
			start(i)
		}
		requests, copies, excess, least := 0, 0, 0.0, 0.0
		for range 2000 {
			// Few nodes get most of the traffic, and all send copies in spells.
			i := int(float64(nodes) * random.Float64() * random.Float64())
			switch {
			case random.IntN(100) == 0:
				start(i)
			case random.IntN(3) > 0:
				hedgers[i].RecordRequest("r", "s", nodes)
				requests++
			case requests/200%2 == 1:
				r := lateRequest()
				r.Nodes = nodes
				if hedgers[i].Decide(r, 0, allow).Action == hedge.Send {
					copies++
				}
			}
			now := float64(copies) - l.Share*float64(requests)
			least = min(least, now)
			excess = max(excess, now-least)
		}
		require.LessOrEqual(t, float64(copies), l.Share*float64(requests)+1e-6)
		require.LessOrEqual(t, excess, max(float64(nodes), l.Burst)+1e-6)
	})
}

// Guards against a memory leak by routes, services and targets of many configurations.
func TestMemoryIsBounded(t *testing.T) {
	h := hedge.New(everything())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 4000 {
		name := strconv.Itoa(i)
		h.RecordRequest(name, name, 1)
		h.RecordTime(name, 50*ms, time.Duration(i))
		h.RecordReply(name, name, hedge.Reply{}, time.Duration(i))
		h.RecordReply("s", name, hedge.Reply{}, time.Duration(i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(8<<20))
	runtime.KeepAlive(h)
}

// Guards against a quantile that falls as copies overtake slow attempts, so that ever more requests
// count as late: cancelled attempts count with the time until then.
func TestCancelledAttemptsCountAsSlow(t *testing.T) {
	delay := func(cancelled time.Duration) time.Duration {
		h := hedge.New(everything())
		for range 180 {
			h.RecordTime("r", 50*ms, 0)
		}
		for range 20 {
			if cancelled > 0 {
				h.RecordCancelled("r", cancelled, 0)
			}
		}
		r := lateRequest()
		r.Elapsed = 0
		return h.Decide(r, 0, allow).After
	}
	require.Less(t, delay(0), 60*ms)
	require.Greater(t, delay(300*ms), 280*ms)
}

// Guards against first attempts at a stuck target that get no copy, or get it ever later: the times
// that others took until they were cancelled are no times after which attempts end.
func TestAttemptsAtAStuckTargetGetCopies(t *testing.T) {
	h := trained(everything())
	r := lateRequest()
	decide := func(now time.Duration) time.Duration {
		r.Elapsed, r.TimeLeft = 0, time.Minute
		for {
			d := h.Decide(r, now, allow)
			if d.Action == hedge.Send {
				return r.Elapsed
			}
			require.Equal(t, hedge.Wait, d.Action, d.Reason)
			r.Elapsed = d.After
		}
	}
	first := decide(0)
	require.Less(t, first, 400*ms, "the longest time is 149 ms, and a copy takes 100 ms")
	for range 5 {
		h.RecordCancelled("r", first+100*ms, 0)
	}
	require.LessOrEqual(t, decide(time.Second), first)
}

// Guards against copies while room is short in many targets of the service, and against a single
// target that lacks room and stops the copies that would overtake it.
func TestLackOfRoomAtManyTargetsStopsCopies(t *testing.T) {
	for _, c := range []struct {
		refusing, queueing int
		want               hedge.Action
	}{{0, 0, hedge.Send}, {1, 0, hedge.Send}, {1, 1, hedge.Send}, {2, 1, hedge.Wait}, {3, 1, hedge.Wait}, {4, 0, hedge.Wait}, {0, 3, hedge.Wait}} {
		h := trained(everything())
		for i := range 10 {
			h.RecordReply("s", strconv.Itoa(i), hedge.Reply{Refused: i < c.refusing, Queued: i < c.refusing+c.queueing}, 0)
		}
		d := h.Decide(lateRequest(), time.Second, allow)
		require.Equal(t, c.want, d.Action, c)
		require.Equal(t, hedge.Send, h.Decide(lateRequest(), 6*time.Second, allow).Action, "replies become old")
	}
}

// Guards against copies when all targets become slow: they would delay the requests that are the
// reason for them.
func TestCopiesGoToZeroWhenAllTargetsAreSlow(t *testing.T) {
	const slowFrom = 30 * time.Second
	r := mesh24(func(_ int, at time.Duration) float64 {
		if at < slowFrom {
			return 1
		}
		return 2.5
	}, 0.05)
	o := r.run()
	late := func(times []time.Duration) (count int) {
		for _, at := range times {
			if at >= slowFrom+10*time.Second {
				count++
			}
		}
		return count
	}
	t.Logf("%d copies, %d of them later than 10 s into the slowness, held %v", o.copies, late(o.copyTimes), o.held)
	require.LessOrEqual(t, float64(late(o.copyTimes)), 0.001*float64(late(o.requestTimes)))
}

// Guards against requests that wait for a stuck target until their deadline although others have
// room.
func TestStuckTargetIsOvertaken(t *testing.T) {
	const seeds = 3
	without, with := combined(mesh24(stuckTarget, 0), seeds), combined(mesh24(stuckTarget, 0.05), seeds)
	t.Logf("failed %d without and %d with copies, %d copies", without.failed, with.failed, with.copies)
	require.Less(t, with.failed, without.failed/2)
}

// Guards against copies to the slow third of the targets, or of requests that only take the usual
// time of such a target: they cost work and answer no sooner.
func TestSlowThirdGetsFewCopies(t *testing.T) {
	o := mesh24(slowThird, 0.05).run()
	t.Logf("%d copies of %d requests", o.copies, o.requests)
	require.LessOrEqual(t, float64(o.copies), 0.005*float64(o.requests))
	require.True(t, slices.IsSorted(o.latencies))
}

// Measures a decision before and after the usual time of a route, with samples in between.
func BenchmarkDecide(b *testing.B) {
	for name, elapsed := range map[string]time.Duration{"begin": 0, "late": 160 * ms} {
		b.Run(name, func(b *testing.B) {
			h := trained(everything())
			r := lateRequest()
			r.Elapsed = elapsed
			b.ReportAllocs()
			for i := range b.N {
				// 200 requests a second.
				now := time.Duration(i) * 5 * ms
				h.RecordRequest("r", "s", 1)
				h.RecordTime("r", time.Duration(50+i%100)*ms, now)
				h.Decide(r, now, allow)
			}
		})
	}
}
