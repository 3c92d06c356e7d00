package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/retry"
)

func always() bool { return true }

// Checks the decision for each outcome against the table of the design.
func TestDecisionTable(t *testing.T) {
	const (
		repeat     = retry.Retry
		notRun     = retry.RefuseNotRun
		mayHaveRun = retry.RefuseMayHaveRun
	)
	for _, c := range []struct {
		outcome                               retry.Outcome
		get, post, consumed, keyed, keyedBody retry.Action
	}{
		{retry.NotSent, repeat, repeat, notRun, repeat, notRun},
		{retry.ConnectionRefused, repeat, repeat, notRun, repeat, notRun},
		{retry.RefusedByNode, repeat, repeat, notRun, repeat, notRun},
		{retry.RefusedByTarget, repeat, repeat, notRun, notRun, notRun},
		{retry.ResetBeforeWrite, repeat, repeat, notRun, repeat, notRun},
		{retry.ResetAfterWrite, repeat, mayHaveRun, mayHaveRun, mayHaveRun, mayHaveRun},
		{retry.TimedOut, repeat, mayHaveRun, mayHaveRun, mayHaveRun, mayHaveRun},
		{retry.MayHaveRun, repeat, mayHaveRun, mayHaveRun, mayHaveRun, mayHaveRun},
		{retry.ResponseReceived, retry.Deliver, retry.Deliver, retry.Deliver, retry.Deliver, retry.Deliver},
		{retry.ShortBody, retry.Abort, retry.Abort, retry.Abort, retry.Abort, retry.Abort},
	} {
		decide := func(method string, consumed, keyed bool) retry.Action {
			return retry.Decide(retry.Attempt{Outcome: c.outcome, Method: method, BodyConsumed: consumed, Keyed: keyed, TimeLeft: time.Second}, always)
		}
		require.Equal(t, c.get, decide("GET", false, false), "GET %s", c.outcome)
		require.Equal(t, c.post, decide("POST", false, false), "POST %s", c.outcome)
		require.Equal(t, c.consumed, decide("PUT", true, false), "consumed PUT %s", c.outcome)
		require.Equal(t, c.keyed, decide("PUT", false, true), "keyed PUT %s", c.outcome)
		require.Equal(t, c.keyedBody, decide("PUT", true, true), "keyed consumed PUT %s", c.outcome)
	}
}

// Guards against retries beyond a limit, and against RefuseNotRun for an attempt that may
// have run, for random attempts.
func TestDecisionsKeepTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := retry.Attempt{
			Outcome:      retry.Outcome(rapid.IntRange(0, 9).Draw(t, "outcome")),
			Method:       rapid.SampledFrom([]string{"GET", "POST", "PATCH", "PUT"}).Draw(t, "method"),
			BodyConsumed: rapid.Bool().Draw(t, "consumed"), Keyed: rapid.Bool().Draw(t, "keyed"),
			Retries: rapid.IntRange(0, 3).Draw(t, "retries"), InheritedRetries: rapid.IntRange(0, 3).Draw(t, "inherited"),
			TimeLeft: time.Duration(rapid.IntRange(-5, 20).Draw(t, "left")) * time.Millisecond,
		}
		allowed := rapid.Bool().Draw(t, "allowed")
		switch retry.Decide(a, func() bool { return allowed }) {
		case retry.Retry:
			require.True(t, allowed && !a.BodyConsumed && a.Retries+a.InheritedRetries < retry.MaxRetries && a.TimeLeft >= retry.MinTimeLeft)
			require.True(t, a.Outcome.NotRun() || !a.Keyed && a.InheritedRetries == 0 && retry.Idempotent(a.Method))
		case retry.RefuseNotRun:
			require.True(t, a.Outcome.NotRun())
		}
	})
}

// Guards against a budget that allows more retries than its ratio, or that counts calls
// outside of the window.
func TestBudget(t *testing.T) {
	b := &retry.Budget{}
	for range 100 {
		b.RecordCall(0)
	}
	granted := func(now time.Duration) int {
		n := 0
		for b.Allow(now) {
			n++
		}
		return n
	}
	require.Equal(t, 20, granted(0))
	require.Equal(t, 3, granted(time.Second), "the minimum per second, in the next second")
	require.Equal(t, 3, granted(retry.BudgetWindow+5*time.Second), "calls outside of the window are not counted")
	require.Equal(t, 3, granted(10*time.Hour))
}

// Guards against a deadline that grows when it is passed on, and against invalid headers.
func TestDeadlineHeader(t *testing.T) {
	left, ok, err := retry.ParseDeadline(retry.FormatDeadline(1999 * time.Microsecond))
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, time.Millisecond, left)
	_, ok, err = retry.ParseDeadline("")
	require.NoError(t, err)
	require.False(t, ok)
	for _, bad := range []string{"-1", "1.5", "x", "86400001", "99999999999999999999"} {
		_, _, err := retry.ParseDeadline(bad)
		require.ErrorIs(t, err, retry.ErrBadDeadline, bad)
	}
}

// Guards against nested calls that fail because requests whose callers can retry have used
// up the shared budget (load pattern "calls behind requests", with targets that refuse half
// of all requests). Each refused nested call loses the work done for its request.
func TestNestedCallsGetMostOfSharedBudget(t *testing.T) {
	for name, c := range map[string]struct {
		ratio, slack float64
		nodes        int
	}{"12 nodes": {0.2, 56, 12}, "76 nodes": {0.2, 190, 76}} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			b := &retry.Budget{}
			sent, refusedCalls, repeatedCalls, repeats := 0, 0, 0, 0
			for at := time.Duration(0); at < retry.BudgetWindow; at += 20 * time.Millisecond {
				for i := range 5 {
					call := i != 0
					b.RecordCall(at)
					sent++
					if random.Float64() < 0.5 {
						continue
					}
					share, slack := retry.NodeShare(c.ratio, c.slack, c.nodes, !call)
					ok := b.AllowNodeShare(at, share, slack)
					if ok {
						repeats++
					}
					if call {
						refusedCalls++
						if ok {
							repeatedCalls++
						}
					}
				}
			}
			require.LessOrEqual(t, float64(repeats), c.ratio*float64(sent)+c.slack/float64(c.nodes), "the shared budget")
			require.Greater(t, float64(repeatedCalls), 0.9*float64(repeats))
			t.Logf("%d of %d refused calls repeated, %d repeats of %d requests", repeatedCalls, refusedCalls, repeats, sent)
		})
	}
}

// Guards against a budget that ignores the configured window: calls outside of it must not
// be counted.
func TestBudgetUsesConfiguredWindow(t *testing.T) {
	b := &retry.Budget{Window: 4 * time.Second}
	for range 10 {
		b.RecordCall(0)
	}
	require.True(t, b.AllowNodeShare(3*time.Second, 0.1, 0))
	require.False(t, b.AllowNodeShare(4100*time.Millisecond, 0.1, 0))
}

// Guards against a budget that stays charged for retries that reached no target, and against a return
// that makes room in a later window.
func TestReturnedRetryIsNotCharged(t *testing.T) {
	var b retry.Budget
	const second = time.Second
	require.True(t, b.AllowNodeShare(0, 0, 1))
	require.False(t, b.AllowNodeShare(second, 0, 1))
	b.Return(0, second)
	require.True(t, b.AllowNodeShare(second, 0, 1))
	require.False(t, b.AllowNodeShare(2*second, 0, 1))
	b.Return(0, 60*second)
	require.True(t, b.AllowNodeShare(60*second, 0, 1))
	require.False(t, b.AllowNodeShare(60*second, 0, 1))
}
