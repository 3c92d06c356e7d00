package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/settings"
)

// A plan with wrong shares or a drifting rate would compare nodes and targets under
// different loads.
func TestPlanFollowsTheSettings(t *testing.T) {
	s := DefaultSettings()
	s.Nodes, s.Direct, s.Paths = []string{"n"}, []string{"d"}, []string{"/a", "/b"}
	s.Rate, s.Duration, s.DirectShare = 1000, settings.Duration(20*time.Second), 0.4
	s.Mix = Mix{Read: 2, Keyed: 1, Upload: 1, KeyedBytes: 3, UploadBytes: 5, ConcurrentShare: 0.5}
	plan := newPlanner(s, "run", 1)
	ids, kinds, vias, paths, repeats := map[string]bool{}, map[Kind]float64{}, map[Via]float64{}, map[string]float64{}, 0.0
	last := time.Duration(0)
	for call, ok := plan.next(); ok; call, ok = plan.next() {
		require.False(t, ids[call.ID])
		ids[call.ID] = true
		require.GreaterOrEqual(t, call.Start, last)
		last = call.Start
		require.Equal(t, call.Kind == KindKeyed, call.Key != "")
		kinds[call.Kind]++
		vias[call.Via]++
		paths[call.Path]++
		if call.Repeat != RepeatNever {
			require.Equal(t, []any{KindKeyed, ViaNode}, []any{call.Kind, call.Via})
			repeats++
		}
	}
	total := float64(len(ids))
	require.InEpsilon(t, 20_000, total, 0.05)
	require.InEpsilon(t, 0.5, kinds[KindRead]/total, 0.05)
	require.InEpsilon(t, 0.25, kinds[KindUpload]/total, 0.05)
	require.InEpsilon(t, 0.4, vias[ViaDirect]/total, 0.05)
	require.InEpsilon(t, 0.5, paths["/a"]/total, 0.05)
	require.InEpsilon(t, 0.25*0.6*0.5, repeats/total, 0.1)
}
