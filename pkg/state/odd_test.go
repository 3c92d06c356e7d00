package state_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Guards against an odd entry of another writer in the log that stops all nodes there, or replaces
// what a node announced.
func TestOddRecordsAreSkipped(t *testing.T) {
	l := newCourierLog(t)
	const good = `{"node":"n1","session":"s","zone":"z","region":"r","rpc_address":"10.0.0.1:1","call_address":"10.0.0.1:2"}`
	entry := func(kind, body string) string {
		return fmt.Sprintf(`{"schema":1,"id":"id-%d","kind":%q,"base":%d,"body":%s}`, l.state.Revision, kind, l.state.Revision, body)
	}
	apply := func(data string) state.Outcome {
		res, err := l.state.Apply(l.state.Revision+1, []byte(data))
		require.NoError(t, err, "%.200s", data)
		return res.Outcome
	}
	require.Equal(t, state.Accepted, apply(entry("node-announced", good)).Code)
	announced := l.state.Nodes["n1"]
	deep := strings.Repeat("[", 100_000)
	for name, data := range map[string]string{
		"empty":            "",
		"null":             "null",
		"nested deeply":    deep,
		"nested body":      entry("node-announced", deep),
		"schema":           `{"schema":9000000000000000000,"id":"a","kind":"put-service","body":{}}`,
		"schema too large": `{"schema":1e400,"id":"a","kind":"put-service","body":{}}`,
		"kind of words":    entry("Some other kind!", good),
		"kind too long":    entry(strings.Repeat("k", 65), good),
		"kind in a batch":  entry("batch", `[{"kind":"Some other kind!","body":{}}]`),
		"port 0":           entry("node-announced", strings.Replace(good, ":1", ":0", 1)),
		"port 99999":       entry("node-announced", strings.Replace(good, ":1", ":99999", 1)),
		"no address":       entry("node-announced", strings.Replace(good, "10.0.0.1:2", "", 1)),
		"no session":       entry("node-announced", strings.Replace(good, `"session":"s"`, `"session":""`, 1)),
		"long zone":        entry("node-announced", strings.Replace(good, `"zone":"z"`, `"zone":"`+strings.Repeat("z", 100_000)+`"`, 1)),
		"long region":      entry("node-announced", strings.Replace(good, `"region":"r"`, `"region":"`+strings.Repeat("z", 100_000)+`"`, 1)),
		"base":             `{"schema":1,"id":"b","kind":"put-service","base":18446744073709551615,"body":{"name":"x","version":"v"}}`,
		"key slot":         entry("claim-key-slot", `{"slot":9223372036854775807,"node":"n1","session":"s"}`),
		"weight":           entry("step-rollout", `{"rollout":1,"weight_bp":9223372036854775807}`),
	} {
		t.Run(name, func(t *testing.T) {
			o := apply(data)
			require.NotEqual(t, state.Accepted, o.Code)
			require.Less(t, len(o.Reason), 1000)
			require.Equal(t, announced, l.state.Nodes["n1"])
		})
	}
}

// Guards against a record whose numbers end the process, or leave shares that are none.
func TestArbitraryNumbersInRecordsCauseNoPanic(t *testing.T) {
	number := rapid.OneOf(rapid.Int64(), rapid.SampledFrom([]int64{math.MinInt64, -1, 0, 1, 10_000, math.MaxInt64}))
	rapid.Check(t, func(t *rapid.T) {
		l, id := startedRollout(t)
		epoch := record.Epoch(l.put(record.ClaimRollout{Rollout: id, Holder: "node-1"}, 0).Outcome.Offset)
		draw := func(name string) int64 { return number.Draw(t, name) }
		rollout := rapid.SampledFrom([]record.RolloutID{id, 0, math.MaxUint64}).Draw(t, "rollout")
		body := rapid.SampledFrom([]record.Body{
			record.StartRollout{Service: "courier", From: "v2", To: "v1", StartUnixMS: draw("start"), DeadlineUnixMS: draw("deadline")},
			record.StepRollout{Rollout: rollout, Weight: record.BasisPoints(draw("weight"))},
			record.RolloutVerdict{Rollout: rollout, Weight: record.BasisPoints(draw("verdict"))},
			record.ClaimRollout{Rollout: rollout, Holder: "node-2"},
			record.ClaimKeySlot{Slot: int(draw("slot")), Node: "node-1", Session: "s"},
			record.RenewKeySlots{Node: "node-1", Session: "s", Nonce: uint64(draw("nonce"))},
			record.RollBackRollout{Rollout: rollout},
			record.CompleteRollout{Rollout: rollout},
		}).Draw(t, "body")
		l.append(record.Record{
			ID: "odd", Author: "node-1", Base: record.Revision(draw("base")), ExpectedRevision: record.Revision(draw("expected")),
			Epoch: rapid.SampledFrom([]record.Epoch{epoch, 0, math.MaxUint64}).Draw(t, "epoch"), Body: body,
		})
		for service, svc := range l.state.Services {
			sum := record.BasisPoints(0)
			for _, weight := range svc.Weights {
				require.Positive(t, weight, service)
				sum += weight
			}
			require.Equal(t, record.FullWeight, sum, service)
		}
	})
}
