package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/admission"
)

// Guards against more requests in any window than the rate limit of the target allows, for
// random arrivals, service times, and changes of the limit: a window may hold the highest
// limit in it for the window and one second more, and one request.
func TestRateLimitHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admission.NewQueue(rapid.IntRange(1, 12).Draw(t, "slots"))
		limits := rapid.SampledFrom([]float64{0, 0.5, 3, 20})
		highest := limits.Draw(t, "limit")
		var now time.Duration
		q.SignalLimit(true, highest, now, now)
		var starts []time.Duration
		var running []*admission.Ticket
		begin := func(tickets []*admission.Ticket) {
			for _, k := range tickets {
				starts, running = append(starts, now), append(running, k)
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				limit := limits.Draw(t, "limit")
				highest = max(highest, limit)
				begin(q.SignalLimit(true, limit, now, now))
			case 1:
				if len(running) > 0 {
					k := running[0]
					running = running[1:]
					begin(q.Done(k, true, now))
				}
			case 2:
				begin(q.Resume(now))
			default:
				k, decision, _ := q.Submit(admission.Request{Rank: 2, ExpectedServiceTime: 20 * ms, FinishBy: now + 5*time.Second}, now)
				if decision == admission.Admit {
					begin([]*admission.Ticket{k})
				}
			}
		}
		for i, began := range starts {
			for j := i; j < len(starts); j++ {
				// Limits below 0.25 a second let through 0.25 a second.
				allowed := max(highest, 0.25)*(starts[j]-began+time.Second).Seconds() + 1
				require.LessOrEqual(t, float64(j-i+1), allowed+1e-6)
			}
		}
	})
}

// Guards against holding a request that a rate limit keeps from running in time, and against
// an expected wait, sent to callers as the time to come back, that is too short.
func TestRequestBeyondTheRateLimitIsRefusedWithItsWait(t *testing.T) {
	q := admission.NewQueue(12)
	q.SignalLimit(true, 2, 0, 0)
	submit := func(finishBy, now time.Duration) (admission.Decision, time.Duration) {
		_, decision, wait := q.Submit(admission.Request{Rank: 2, ExpectedServiceTime: 50 * ms, FinishBy: finishBy}, now)
		return decision, wait
	}
	decision, wait := submit(300*ms, 0)
	require.Equal(t, admission.Refuse, decision, "nothing is left of a new limit")
	require.InDelta(t, 500*ms, wait, float64(ms))
	decision, _ = submit(2*time.Second, 0)
	require.Equal(t, admission.Enqueue, decision)
	_, wait = submit(300*ms, 0)
	require.InDelta(t, time.Second, wait, float64(ms), "one request is in front")
	require.Empty(t, q.Resume(499*ms))
	require.Len(t, q.Resume(501*ms), 1)
	// The end of the limit starts what waits.
	decision, _ = submit(5*time.Second, 502*ms)
	require.Equal(t, admission.Enqueue, decision)
	require.Len(t, q.SignalLimit(false, 0, 503*ms, 503*ms), 1)
	decision, _ = submit(600*ms, 504*ms)
	require.Equal(t, admission.Admit, decision)
}

// Guards against never noticing the end of a limit of 0: only a response tells it.
func TestRateLimitOfZeroLetsARequestThroughNowAndThen(t *testing.T) {
	q := admission.NewQueue(4)
	q.SignalLimit(true, 0, 0, 0)
	admitted := 0
	for now := time.Duration(0); now < 20*time.Second; now += 100 * ms {
		for _, k := range q.Resume(now) {
			admitted++
			q.Done(k, true, now+ms)
		}
		q.Expire(now)
		k, decision, _ := q.Submit(admission.Request{Rank: 2, ExpectedServiceTime: ms, FinishBy: now + 200*ms}, now)
		if decision == admission.Admit {
			admitted++
			q.Done(k, true, now+ms)
		}
	}
	require.InDelta(t, 4, admitted, 1)
}
