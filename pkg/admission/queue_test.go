package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/admission"
)

const ms = time.Millisecond

// Guards against more running requests than slots, and against tickets that are lost or
// started twice, for random sequences of operations.
func TestSlotsAreNeverExceededAndNoTicketIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := admission.NewQueue(slots)
		var now time.Duration
		running, waiting := map[*admission.Ticket]bool{}, map[*admission.Ticket]bool{}
		start := func(tickets []*admission.Ticket) {
			for _, k := range tickets {
				require.True(t, waiting[k], "only a waiting ticket may be started")
				delete(waiting, k)
				running[k] = true
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				k, verdict, _ := q.Submit(admission.Request{
					Rank: admission.RankOf(rapid.Bool().Draw(t, "inner"), rapid.IntRange(0, 3).Draw(t, "priority"),
						admission.AttemptKind(rapid.IntRange(0, 2).Draw(t, "standing"))),
					ExpectedServiceTime: 20 * ms, FinishBy: now + time.Duration(rapid.IntRange(0, 500).Draw(t, "finish"))*ms,
				}, now)
				switch verdict {
				case admission.Admit:
					running[k] = true
				case admission.Enqueue:
					waiting[k] = true
				}
			case 1:
				for k := range running {
					delete(running, k)
					start(q.Done(k, true, now))
					break
				}
			case 2:
				for k := range waiting {
					require.True(t, q.Cancel(k))
					delete(waiting, k)
					break
				}
			case 3:
				for _, k := range q.Expire(now) {
					require.True(t, waiting[k])
					delete(waiting, k)
				}
			}
			require.Equal(t, len(running), q.Running())
			require.Equal(t, len(waiting), q.Waiting())
			require.LessOrEqual(t, q.Running(), slots)
		}
	})
}

// Guards the order of the queue: nested calls first, then by priority with client retries
// before first attempts, and late retries last.
func TestRankOrder(t *testing.T) {
	order := []admission.Rank{
		admission.RankOf(true, 9, admission.LateClientRetry),
		admission.RankOf(false, 0, admission.ClientRetry),
		admission.RankOf(false, 0, admission.FirstAttempt),
		admission.RankOf(false, 1, admission.ClientRetry),
		admission.RankOf(false, 1, admission.FirstAttempt),
		admission.RankOf(false, 0, admission.LateClientRetry),
		admission.RankOf(false, 1, admission.LateClientRetry),
	}
	require.IsIncreasing(t, order)
}

// Guards against a slow target that admits requests by the mean service time of all
// targets and then answers late.
func TestAdmissionUsesMeasuredSlowdown(t *testing.T) {
	q := admission.NewQueue(1)
	var now time.Duration
	for range 200 {
		k, verdict, _ := q.Submit(admission.Request{Rank: 2, ExpectedServiceTime: 50 * ms, FinishBy: now + time.Second}, now)
		require.Equal(t, admission.Admit, verdict)
		now += 100 * ms
		q.Done(k, true, now)
	}
	require.InDelta(t, 2, q.Slowdown(), 0.1)
	_, verdict, _ := q.Submit(admission.Request{Rank: 2, ExpectedServiceTime: 50 * ms, FinishBy: now + 220*ms}, now)
	require.Equal(t, admission.Admit, verdict)
	_, verdict, wait := q.Submit(admission.Request{Rank: 2, ExpectedServiceTime: 50 * ms, FinishBy: now + 220*ms}, now)
	require.Equal(t, admission.Refuse, verdict, "100 ms of queueing and 100 ms of service leave no margin")
	require.InDelta(t, 100, wait.Milliseconds(), 10)
}
