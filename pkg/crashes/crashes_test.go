package crashes_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/crashes"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// Guards against a request that crashes targets and is never refused, since harmless ones pass for it, and
// against harmless ones that are refused in its place.
func TestIdentityTellsRequestsApart(t *testing.T) {
	start := strings.Repeat("x", 6<<10)
	base := crashes.Request{Method: "POST", Host: "h", URI: "/a", Caller: "s", Body: []byte(start + "1")}
	large := base
	large.Body = []byte(strings.Repeat("x", crashes.MaxBodyBytes))
	different := map[string]crashes.Request{"base": base, "large": large}
	for name, change := range map[string]func(r *crashes.Request){
		"method":               func(r *crashes.Request) { r.Method = "PUT" },
		"host":                 func(r *crashes.Request) { r.Host = "i" },
		"path":                 func(r *crashes.Request) { r.URI = "/b" },
		"caller":               func(r *crashes.Request) { r.Caller = "t" },
		"key":                  func(r *crashes.Request) { r.Key = "k" },
		"end of the body":      func(r *crashes.Request) { r.Body = []byte(start + "2") },
		"length":               func(r *crashes.Request) { r.Body = []byte(start + "11") },
		"no body":              func(r *crashes.Request) { r.Body = nil },
		"large, more follows":  func(r *crashes.Request) { *r = large; r.More = true },
		"bytes of other field": func(r *crashes.Request) { r.URI, r.Caller = "/as", "" },
		"separator in a field": func(r *crashes.Request) { r.URI, r.Caller = "/a\x00s", "" },
	} {
		r := base
		change(&r)
		different[name] = r
	}
	seen := map[uint64]string{}
	for name, r := range different {
		require.Empty(t, seen[r.Identity()], name)
		seen[r.Identity()] = name
	}
	// However much of a large body is buffered.
	more := large
	more.Body, more.More = append(slices.Clone(large.Body), "tail"...), false
	more2 := large
	more2.More = true
	require.Equal(t, more.Identity(), more2.Identity())
}

func crash(node string, number uint64) crashes.Crash {
	return crashes.Crash{Node: mesh.NodeID(node), StartUnixMS: 1, Number: number}
}

func all(crashes.Crash) bool { return true }

// Guards against the loss of evidence when several requests crash targets at the same time, each beside
// other requests: one is refused after its second crash.
func TestRequestsThatCrashAtTheSameTimeAreRefused(t *testing.T) {
	const poisons, bystanders, interval = 20, 12, 4 * time.Second
	table := crashes.NewTable()
	number, other := uint64(0), uint64(1_000)
	runs := map[uint64]int{}
	for now := time.Duration(0); now < time.Minute; now += interval / poisons {
		poison := 1 + number%poisons
		number++
		table.Asked(now, poison)
		if table.Suspects()[poison].Proven {
			continue
		}
		runs[poison]++
		requests := []uint64{poison}
		for range bystanders {
			other++
			requests = append(requests, other)
		}
		table.Crashed(now, crash("n", number), requests)
		table.Expire(now)
	}
	require.Len(t, runs, poisons)
	for poison, count := range runs {
		require.Equal(t, 3, count, "request %d", poison)
	}
	require.LessOrEqual(t, table.Len(), crashes.MaxRequests)
}

// Guards against a request that crashes targets four times in five and is let through again after each
// completion, and against harmless ones that run at many crashes and are refused for it.
func TestFlakyRequestIsRefusedAndAFrequentOneIsNot(t *testing.T) {
	for seed := range 5 {
		table := crashes.NewTable()
		runs, crashed := 0, 0
		for i := range 200 {
			now := time.Duration(i) * time.Second
			table.Asked(now, 1)
			if table.Suspects()[1].Proven {
				continue
			}
			runs++
			if (i+seed)%5 == 0 {
				table.Completed(1)
				continue
			}
			crashed++
			table.Crashed(now, crash("n", uint64(i)), []uint64{1, 2})
			// Request 2 is frequent: it completes elsewhere soon after.
			table.Completed(2)
			require.False(t, table.Suspects()[2].Refused)
		}
		require.LessOrEqual(t, crashed, 5, "seed %d: %d runs", seed, runs)
	}
}

// Guards against a request that is refused for good since it was running at two crashes by chance, and
// against one that is forgotten while callers ask for it.
func TestRefusalEndsWithACompletionOrWithTime(t *testing.T) {
	table := crashes.NewTable()
	table.Crashed(0, crash("a", 1), []uint64{1, 2, 3})
	require.Equal(t, crashes.Suspect{Crashes: 1}, table.Suspects()[1])
	table.Crashed(0, crash("b", 1), []uint64{1, 2})
	require.Equal(t, crashes.Suspect{Crashes: 2, Refused: true}, table.Suspects()[1])
	refused, changed := table.Completed(1)
	require.True(t, refused && changed)
	require.NotContains(t, table.Suspects(), uint64(1))
	_, changed = table.Completed(1)
	require.False(t, changed)
	table.Expire(crashes.SuspicionRetention + 1)
	require.NotContains(t, table.Suspects(), uint64(3))
	require.True(t, table.Suspects()[2].Refused, "a refused one comes again after a minute")
	table.Asked(crashes.RefusalRetention, 2)
	table.Expire(2 * crashes.RefusalRetention)
	require.True(t, table.Suspects()[2].Refused)
	table.Expire(2*crashes.RefusalRetention + 1)
	require.Zero(t, table.Len())
}

// Guards against nodes that differ in what they refuse after they have exchanged their evidence in any
// order, and against evidence that does not survive its encoding.
func TestEvidenceConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*crashes.Table{crashes.NewTable(), crashes.NewTable(), crashes.NewTable()}
		for i := range rapid.IntRange(1, 20).Draw(t, "events") {
			table := rapid.IntRange(0, 2).Draw(t, "table")
			identity := rapid.Uint64Range(1, 4).Draw(t, "request")
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				tables[table].Completed(identity)
			} else {
				tables[table].Crashed(0, crash(fmt.Sprint(table), uint64(i)), []uint64{identity, 9})
			}
		}
		for range 3 {
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				e := tables[i].Evidence(0, all)
				require.NoError(t, e.Validate())
				data, err := json.Marshal(e)
				require.NoError(t, err)
				var decoded crashes.Evidence
				require.NoError(t, json.Unmarshal(data, &decoded))
				require.Equal(t, e, decoded)
				for _, other := range tables {
					other.Merge(0, 0, decoded)
				}
			}
		}
		for _, table := range tables[1:] {
			for identity, s := range tables[0].Suspects() {
				// With more crashes than are kept, nodes may keep different ones.
				require.Equal(t, s.Refused, table.Suspects()[identity].Refused, "request %d", identity)
			}
			require.Equal(t, slices.Sorted(maps.Keys(tables[0].Suspects())), slices.Sorted(maps.Keys(table.Suspects())))
		}
	})
}

// Guards against evidence of another writer that stops the node or names a request: what is out of range
// is refused, and ages by a clock that was set do not count as negative.
func TestEvidenceOutOfRangeIsRefused(t *testing.T) {
	good := crashes.Evidence{Crashes: []crashes.Crash{crash("n", 1)}, Requests: []crashes.EvidenceOfRequest{{Identity: 1, In: []int{0}}}}
	require.NoError(t, good.Validate())
	for name, change := range map[string]func(e *crashes.Evidence){
		"index":      func(e *crashes.Evidence) { e.Requests[0].In = []int{1} },
		"refuted":    func(e *crashes.Evidence) { e.Requests[0].Refuted = []int{-1} },
		"age":        func(e *crashes.Evidence) { e.Requests[0].AskedMS = -1 },
		"completion": func(e *crashes.Evidence) { e.Requests[0].Completions = -1 },
		"node":       func(e *crashes.Evidence) { e.Crashes[0].Node = "" },
		"time":       func(e *crashes.Evidence) { e.AtUnixMS = -1 },
		"number":     func(e *crashes.Evidence) { e.Requests = make([]crashes.EvidenceOfRequest, crashes.MaxRequests+1) },
	} {
		e := crashes.Evidence{Crashes: slices.Clone(good.Crashes), Requests: slices.Clone(good.Requests)}
		change(&e)
		require.Error(t, e.Validate(), name)
	}
	later := good
	later.AtUnixMS = 9_000
	table := crashes.NewTable()
	require.True(t, table.Merge(time.Second, 1_000, later), "the clock was set back since")
	require.Len(t, table.Suspects(), 1)
	require.False(t, crashes.NewTable().Merge(time.Second, 9_001+crashes.SuspicionRetention.Milliseconds(), later), "too old")
}
