package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/admission"
)

// Guards against a target that looks slow for long after a spell of disturbance of its
// machine (load pattern "noisy machines"): its speed is learned without the disturbance.
func TestSpellOfDisturbanceDoesNotChangeTheSpeedOfTheTarget(t *testing.T) {
	q := admission.NewQueue(1)
	var now time.Duration
	run := func(disturbance float64) {
		k, decision, _ := q.Submit(admission.Request{Rank: 2, ExpectedServiceTime: 50 * ms, FinishBy: now + time.Second}, now)
		require.Equal(t, admission.Admit, decision)
		now += time.Duration(disturbance * float64(75*ms))
		q.SetDisturbance(disturbance, now)
		q.Done(k, true, now)
	}
	for range 200 {
		run(1)
	}
	require.InDelta(t, 1.5, q.Slowdown(), 0.05)
	run(2.5)
	disturbed, _, ok := q.Disturbance().Report(now)
	require.True(t, ok)
	require.InDelta(t, 2.5, disturbed, 0)
	for range 20 {
		run(2.5)
	}
	require.InDelta(t, 1.5, q.Slowdown(), 0.1)
	require.InDelta(t, 75*ms, q.MeanServiceTime(), float64(5*ms))
	now += 3 * time.Second
	_, _, ok = q.Disturbance().Report(now)
	require.False(t, ok)
}

// Guards against admitting, during a spell of disturbance, requests that are then answered
// late, and against refusing them after the spell.
func TestAdmissionUsesThePresentDisturbance(t *testing.T) {
	for _, c := range []struct {
		reportedAt time.Duration
		want       admission.Decision
	}{{2 * time.Second, admission.Refuse}, {0, admission.Enqueue}} {
		q := admission.NewQueue(1)
		q.SetDisturbance(2.5, c.reportedAt)
		now := 2 * time.Second
		submit := func() admission.Decision {
			_, decision, _ := q.Submit(admission.Request{Rank: 2, ExpectedServiceTime: 50 * ms, FinishBy: now + 200*ms}, now)
			return decision
		}
		require.Equal(t, admission.Admit, submit())
		require.Equal(t, c.want, submit(), "reported at %s", c.reportedAt)
	}
}

// Guards against disturbances without bound, which would take a target out of use, and
// against a change for targets that do not tell it.
func TestDisturbanceIsBoundedAndDecays(t *testing.T) {
	require.InDelta(t, 1, admission.Disturbance{}.Factor(time.Second), 0)
	require.InDelta(t, 1, admission.NewDisturbance(0, 0).Factor(0), 0)
	d := admission.NewDisturbance(100, 0)
	require.LessOrEqual(t, d.Factor(0), 8.0)
	require.Positive(t, admission.NewDisturbance(1e-9, 0).Factor(0))
	require.InDelta(t, d.Factor(0), d.Factor(-time.Second), 0, "a report from the future has no age")
	previous := d.Factor(0)
	for now := 100 * ms; now <= 3*time.Second; now += 100 * ms {
		require.Less(t, d.Factor(now), previous)
		previous = d.Factor(now)
	}
	require.InDelta(t, 1, previous, 0.1)
}

// A request among organisations must expect the same longer wait at a disturbed machine as one
// without: otherwise it is admitted and answered late.
func TestDisturbanceLengthensTheWaitAmongOrganisations(t *testing.T) {
	wait := func(factor float64) time.Duration {
		q := admission.NewQueue(1)
		q.SetDisturbance(factor, 0)
		r := admission.Request{Rank: 2, Organisation: "o", ExpectedServiceTime: 50 * time.Millisecond, FinishBy: time.Minute}
		q.Submit(r, 0)
		q.Submit(r, 0)
		r.Organisation = "p"
		_, decision, wait := q.Submit(r, 0)
		require.Equal(t, admission.Enqueue, decision)
		return wait
	}
	require.InDelta(t, 2, float64(wait(2))/float64(wait(1)), 0.01)
}
