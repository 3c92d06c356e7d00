package evaluation

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func smallConfig(workers int) Config {
	p := Parapluie()
	p.Durations = []time.Duration{5 * time.Minute}
	return Config{Seed: 1, Good: len(goodKinds), Bad: len(badKinds), Profiles: []Profile{p}, Methods: Methods("sequential"), Workers: workers}
}

// Guards against replays that depend on the number of workers, and against a
// product that takes back good versions or completes bad ones.
func TestReplaysAreRepeatable(t *testing.T) {
	rows, err := Run(context.Background(), smallConfig(4))
	require.NoError(t, err)
	again, err := Run(context.Background(), smallConfig(1))
	require.NoError(t, err)
	var a, b bytes.Buffer
	require.NoError(t, WriteRows(&a, rows))
	require.NoError(t, WriteRows(&b, again))
	require.Equal(t, a.String(), b.String())
	for _, r := range rows {
		if r.Scenario.Bad {
			require.Equal(t, Reversed, r.Result, r.Scenario.Kind)
		} else {
			require.True(t, r.InTime, r.Scenario.Kind)
		}
	}
}

// Guards against a bench that loses changes or exceeds the limit on appends.
func TestWaitsAnswerEachChange(t *testing.T) {
	rows := RunWaits(1)
	require.Equal(t, rows, RunWaits(1))
	changes := map[string]int{}
	for _, r := range rows {
		if changes[r.Load] == 0 {
			changes[r.Load] = r.Changes
		}
		require.Equal(t, changes[r.Load], r.Changes)
		require.LessOrEqual(t, r.PeakAppends, 100)
		require.LessOrEqual(t, r.DelayMax, r.Wait+time.Second)
	}
}
