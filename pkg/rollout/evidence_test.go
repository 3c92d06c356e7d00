package rollout_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/rollout"
)

func drawEvidence(t *rapid.T) rollout.Evidence {
	var c rollout.Collector
	for range rapid.IntRange(1, 20).Draw(t, "calls") {
		key := rollout.Key{Service: "courier", Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"), Route: "x", Zone: "casa-a"}
		latency := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "latency"))
		c.Count(key, rapid.Bool().Draw(t, "failed"), latency)
	}
	return c.Totals("courier")
}

// Guards against counts that change when merged, subtracted or encoded.
func TestEvidenceAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawEvidence(t), drawEvidence(t)
		sum := rollout.Evidence{}
		sum.Merge(a)
		sum.Merge(b)
		diff, ok := sum.Subtract(a)
		require.True(t, ok)
		require.Equal(t, b, diff)
		data, err := json.Marshal(sum)
		require.NoError(t, err)
		var decoded rollout.Evidence
		require.NoError(t, json.Unmarshal(data, &decoded))
		require.Equal(t, sum, decoded)
		_, ok = a.Subtract(sum)
		require.False(t, ok)
	})
}

// Guards against malformed evidence of another node being accepted as counts.
func TestMalformedEvidenceIsRefused(t *testing.T) {
	for _, data := range []string{
		`{`, `[{"calls":1,"failures":2,"latency":[]}]`, `[{"calls":1,"latency":[64,1]}]`,
		`[{"calls":1,"latency":[1]}]`, `[{"calls":1,"latency":[1,1,1,1]}]`, `[{"calls":1},{"calls":2}]`,
	} {
		var e rollout.Evidence
		require.Error(t, json.Unmarshal([]byte(data), &e), data)
	}
}

// Guards against counting calls of a cold target, and against treating a restarted
// target as the same session.
func TestColdStartIsLeftOut(t *testing.T) {
	var c rollout.ColdStartFilter
	target := rollout.TargetSession{Node: "n", Session: "1", Service: "courier", Version: "v2"}
	for range rollout.ColdStartCalls {
		require.False(t, c.Observe(0, target))
	}
	require.True(t, c.Observe(0, target))
	target.Session = "2"
	require.False(t, c.Observe(time.Second, target))
	require.True(t, c.Observe(time.Second+rollout.ColdStartTime, target))
}

// Guards against counting calls twice that two readers of a zone report.
func TestOverlappingReadersCountOnce(t *testing.T) {
	p := newTracePlayer(trace{DurationMS: testDuration.Milliseconds()})
	p.play(t, traceEvent{Live: []mesh.NodeID{"node-1"}, ForMS: 20_000})
	send := func(source mesh.NodeID, sequence uint64, calls int) uint64 {
		totals := rollout.Evidence{}
		for range calls {
			totals.AddCall(rollout.Key{Service: "courier", Version: "v2", Route: "x", Zone: "casa-b"}, false, time.Millisecond)
		}
		p.now += time.Second
		require.NoError(t, p.send(rollout.EvidenceReceived{
			Now: p.now, Source: source, Session: "s", Zone: "casa-b", Sequence: sequence, Totals: totals, Aggregate: true,
		}))
		require.NoError(t, p.send(rollout.Tick{Now: p.now, UnixMS: p.unixMS()}))
		return p.machine.(mutated).machine.(*rollout.Controller).Report().Calls
	}
	before := send("reader-1", 1, 10)
	send("reader-2", 1, 10)
	send("reader-1", 2, 30)
	require.Equal(t, before+20, send("reader-2", 2, 30))
}
