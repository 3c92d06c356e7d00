package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
	"heathercroft.example/heathercroft/pkg/state"
)

func containsText(err error, text string) bool { return strings.Contains(err.Error(), text) }

func openRollout(id uint64) state.Rollout {
	return state.Rollout{
		ID: 10 + record.RolloutID(id), Service: "courier", From: "v1", To: "v2", Status: state.RolloutProgressing,
		StartUnixMS: testStart, DeadlineUnixMS: testStart + testDuration.Milliseconds(), Weight: 500,
	}
}

// runBreaker sends evidence of a healthy version, then of one that fails every call,
// then other events, and returns the rule that the machine violated.
func runBreaker(choose chooser, m machine) error {
	now := time.Duration(0)
	m.Step(rollout.RolloutChanged{Now: now, Rollout: openRollout(0)})
	local := func(failures int) []rollout.Effect {
		now += time.Second
		e := rollout.Evidence{}
		for i := range 100 {
			version := "v1"
			if i < 5 {
				version = "v2"
			}
			key := rollout.Key{Service: "courier", Version: version, Route: "x", Zone: "casa-a"}
			e.AddCall(key, i < failures, 10*time.Millisecond)
		}
		return m.Step(rollout.LocalEvidence{Now: now, Delta: e})
	}
	for range choose.choose(100) {
		if effects := local(0); len(effects) > 0 {
			return fmt.Errorf("effect on healthy evidence: %v", effects)
		}
	}
	cut := false
	for range 3 {
		for _, e := range local(5) {
			_, is := e.(rollout.CutVersion)
			cut = cut || is
		}
	}
	if !cut {
		return fmt.Errorf("no cut within 3 s of a version that fails every call")
	}
	return checkCutHolds(choose, m, now)
}

// checkCutHolds sends events that must not lift the cut, then one that must.
func checkCutHolds(choose chooser, m machine, now time.Duration) error {
	r := openRollout(0)
	for range 20 {
		now += time.Second
		var e rollout.Event = rollout.Tick{Now: now}
		switch choose.choose(4) {
		case 0:
			r.Revision++
			r.Status = []state.RolloutStatus{state.RolloutPaused, state.RolloutProgressing, state.RolloutRolledBack}[choose.choose(3)]
			e = rollout.RolloutChanged{Now: now, Rollout: r}
		case 1:
			e = rollout.LocalEvidence{Now: now, Delta: rollout.Evidence{}}
		case 2:
			e = rollout.CutReceived{Now: now, Cut: rollout.Cut{Rollout: r.ID, Service: "courier", Version: "v2", Zone: "casa-b"}}
		}
		for _, effect := range m.Step(e) {
			if _, ok := effect.(rollout.LiftCut); ok {
				return fmt.Errorf("cut lifted by %T", e)
			}
		}
	}
	for _, effect := range m.Step(rollout.RolloutChanged{Now: now, Rollout: openRollout(1)}) {
		if _, ok := effect.(rollout.LiftCut); ok {
			return nil
		}
	}
	return fmt.Errorf("cut not lifted by a later rollout")
}

func newBreaker() machine {
	return rollout.NewBreaker(rollout.BreakerConfig{Self: "node-1", Zone: "casa-a"})
}

// Guards against a cut that comes late, or that is lifted by anything but a later
// rollout.
func TestCutIsPromptAndHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, runBreaker(rapidChooser{t}, newBreaker()))
	})
}

// Guards against checks of the breaker that pass whatever it does.
func TestChecksCatchBrokenCutters(t *testing.T) {
	withoutCut := mutated{newBreaker(), func(_ rollout.Event, effects []rollout.Effect) []rollout.Effect {
		for i, e := range effects {
			if _, ok := e.(rollout.CutVersion); ok {
				return append(effects[:i:i], effects[i+1:]...)
			}
		}
		return effects
	}}
	choose := seededChooser{rand.New(rand.NewPCG(1, 1))}
	require.ErrorContains(t, runBreaker(choose, withoutCut), "no cut within")
	lifting := mutated{newBreaker(), func(e rollout.Event, effects []rollout.Effect) []rollout.Effect {
		if _, ok := e.(rollout.Tick); ok {
			return append(effects, rollout.LiftCut{Service: "courier", Version: "v2"})
		}
		return effects
	}}
	require.ErrorContains(t, runBreaker(choose, lifting), "cut lifted by")
}
