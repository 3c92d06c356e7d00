package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/admission"
)

// Bounds that users state for a cold target: in any second it gets at most coldOver times the rate
// that it takes and coldSlack requests.
const (
	coldOver  = 1.5
	coldSlack = 8
)

// mostInAnySecond returns the greatest number of starts in any window of a second.
func mostInAnySecond(starts []time.Duration) (most int) {
	first := 0
	for i, at := range starts {
		for at-starts[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a burst at a cold target for random arrivals and service times: at its start, when
// it becomes cold again, and when it is cold for up to a second longer than it said.
func TestColdLimitHoldsInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admission.NewQueue(rapid.IntRange(1, 40).Draw(t, "slots"))
		rate := rapid.SampledFrom([]float64{0.5, 3, 15, 80}).Draw(t, "rate")
		now := rapid.SampledFrom([]time.Duration{0, time.Minute}).Draw(t, "begin")
		until := now + time.Duration(rapid.IntRange(100, 4000).Draw(t, "cold"))*ms
		var starts []time.Duration
		var running []*admission.Ticket
		begin := func(tickets []*admission.Ticket) {
			for _, k := range tickets {
				starts, running = append(starts, now), append(running, k)
			}
		}
		begin(q.SetCold(rate, until, now))
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			if now > until+time.Second-100*ms {
				break
			}
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				if len(running) > 0 {
					k := running[0]
					running = running[1:]
					begin(q.Done(k, true, now))
				}
			case 1:
				begin(q.Resume(now))
			case 2:
				// A heartbeat tells again.
				begin(q.SetCold(rate, until+time.Duration(rapid.IntRange(-20, 20).Draw(t, "jitter"))*ms, now))
			default:
				k, decision, _ := q.Submit(admission.Request{Rank: 2, ExpectedServiceTime: 20 * ms, FinishBy: now + 2*time.Second}, now)
				if decision == admission.Admit {
					begin([]*admission.Ticket{k})
				}
			}
		}
		require.LessOrEqual(t, float64(mostInAnySecond(starts)), rate*coldOver+coldSlack)
	})
}

// arrive submits a request every millisecond for a time and returns when each began. They end at
// once.
func arrive(q *admission.Queue, from, to time.Duration) (starts []time.Duration) {
	for now := from; now < to; now += ms {
		for _, k := range q.Resume(now) {
			starts = append(starts, now)
			q.Done(k, true, now)
		}
		q.Expire(now)
		k, decision, _ := q.Submit(admission.Request{Rank: 2, ExpectedServiceTime: ms, FinishBy: now + 20*ms}, now)
		if decision == admission.Admit {
			starts = append(starts, now)
			q.Done(k, true, now)
		}
	}
	return starts
}

// Guards against a load that returns at once when a target becomes warm, against a rate that is not
// used while it is cold, and against a limit that stays.
func TestLoadRisesInStepsOnceATargetIsWarm(t *testing.T) {
	q := admission.NewQueue(40)
	q.SetCold(15, 3*time.Second, 0)
	perStep := func(step int) float64 {
		from := 3*time.Second + time.Duration(step)*500*ms
		return float64(len(arrive(q, from, from+500*ms))) * 2
	}
	require.InDelta(t, 45, len(arrive(q, 0, 3*time.Second)), 2)
	for step, want := range []float64{22.5, 33.75, 50.6, 75.9, 113.9} {
		require.InDelta(t, want, perStep(step), 10, "step %d", step)
	}
	require.InDelta(t, 1000, perStep(5), 5, "some waited, and there is no limit any more")
	_, _, limited := q.RateLimit(5500 * ms)
	require.False(t, limited)
}

// Guards against a burst at a target that was replaced while nothing was sent to it, and against a
// delay of the single requests that an idle target gets now and then.
func TestLoadIsLimitedAfterAnIdleTime(t *testing.T) {
	q := admission.NewQueue(40)
	q.SetCold(15, 0, 0)
	started := arrive(q, 0, 1500*ms)
	require.LessOrEqual(t, float64(mostInAnySecond(started)), 15*coldOver+coldSlack, "what the target got before is not known")
	require.InDelta(t, 1000, len(arrive(q, 1500*ms, 2500*ms)), 5)
	resumed := arrive(q, 10*time.Second, 11500*ms)
	require.LessOrEqual(t, float64(mostInAnySecond(resumed)), 15*coldOver+coldSlack)
	require.Greater(t, len(resumed), 30)
	require.InDelta(t, 1000, len(arrive(q, 11500*ms, 12500*ms)), 5)
	_, _, limited := q.RateLimit(20 * time.Second)
	require.False(t, limited)
	for now := 20 * time.Second; now < 40*time.Second; now += 3 * time.Second {
		k, decision, _ := q.Submit(admission.Request{Rank: 2, ExpectedServiceTime: ms, FinishBy: now + 20*ms}, now)
		require.Equal(t, admission.Admit, decision)
		q.Done(k, true, now)
	}
}

// Guards against a limit in deployments that name no rate, and against one that outlives the process
// of the target or the configuration.
func TestNoColdLimitWithoutARate(t *testing.T) {
	q := admission.NewQueue(40)
	q.SetCold(0, time.Hour, 0)
	require.Len(t, arrive(q, 0, time.Second), 1000)
	q.SetCold(15, time.Hour, time.Second)
	require.InDelta(t, 15, len(arrive(q, time.Second, 2*time.Second)), 1)
	perSecond, available, limited := q.RateLimit(2 * time.Second)
	require.True(t, limited)
	require.InDelta(t, 15, perSecond, 0)
	require.Less(t, available, 1.0)
	require.True(t, q.HeldByCold(2*time.Second))
	q.SignalLimit(true, 5, 2*time.Second, 2*time.Second)
	perSecond, _, _ = q.RateLimit(2 * time.Second)
	require.InDelta(t, 5, perSecond, 0, "the lower one of both limits is reported")
	q.ResetLimit(2 * time.Second)
	require.Len(t, arrive(q, 2*time.Second, 3*time.Second), 1000)
	q.SetCold(15, time.Hour, 3*time.Second)
	q.SetCold(0, time.Hour, 3*time.Second)
	require.Len(t, arrive(q, 3*time.Second, 4*time.Second), 1000)
}
