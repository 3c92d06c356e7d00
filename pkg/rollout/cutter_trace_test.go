package rollout_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/rollout"
	"heathercroft.example/heathercroft/pkg/state"
)

// breakerTrace is a recorded sequence of a node's own evidence with the expected
// effects.
type breakerTrace struct {
	Guards string `json:"guards"`
	Events []struct {
		// Old and New are the calls and failures of a version in each of the seconds.
		Old     [2]int                `json:"old"`
		New     [2]int                `json:"new"`
		Seconds int                   `json:"seconds"`
		Notice  mesh.AvailabilityZone `json:"notice_from_zone"`
		Rollout uint64                `json:"rollout"`
		Status  state.RolloutStatus   `json:"status"`
	} `json:"events"`
	// Effects lists the expected effects, each with its second.
	Effects []string `json:"effects"`
}

// Guards against a change of the breaker that alters the outcome of a recorded
// sequence; each trace names the failure it covers.
func TestRecordedCuts(t *testing.T) {
	files, err := filepath.Glob("testdata/cutter/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			var tr breakerTrace
			require.NoError(t, json.Unmarshal(data, &tr))
			require.NotEmpty(t, tr.Guards)
			m := newBreaker()
			now := time.Duration(0)
			var got []string
			step := func(e rollout.Event) {
				for _, effect := range m.Step(e) {
					got = append(got, fmt.Sprintf("%d %s", now/time.Second, strings.TrimPrefix(fmt.Sprintf("%T", effect), "rollout.")))
				}
			}
			for _, e := range tr.Events {
				switch {
				case e.Status != "":
					r := openRollout(e.Rollout)
					r.Status = e.Status
					step(rollout.RolloutChanged{Now: now, Rollout: r})
				case e.Notice != "":
					step(rollout.CutReceived{Now: now, Cut: rollout.Cut{Rollout: openRollout(e.Rollout).ID, Service: "courier", Version: "v2", Node: "node-2", Zone: e.Notice}})
				}
				for range e.Seconds {
					now += time.Second
					step(rollout.LocalEvidence{Now: now, Delta: evidenceOf(e.Old, e.New)})
					step(rollout.Tick{Now: now})
				}
			}
			require.Equal(t, tr.Effects, got)
		})
	}
}

// evidenceOf returns evidence with the given calls and failures of both versions.
func evidenceOf(old, current [2]int) rollout.Evidence {
	e := rollout.Evidence{}
	for version, n := range map[string][2]int{"v1": old, "v2": current} {
		for i := range n[0] {
			key := rollout.Key{Service: "courier", Version: version, Route: "x", Zone: "casa-a"}
			e.AddCall(key, i < n[1], 10*time.Millisecond)
		}
	}
	return e
}
