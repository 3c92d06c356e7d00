package sidecar

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/retry"
)

// usualHop returns the metadata of a usual request and its reply.
func usualHop() (hopRequest, result) {
	h := hopRequest{
		ID: "454a1197bb9d1055", URI: "/search/stays?city=casa&page=2", Target: "finder-rabat-a-1-7", TargetStart: 1796548793123, Service: "finder", Route: "stay-search", Caller: "finder",
		Rank: 4, Identity: 12297829382473034410, Retryable: true, TimeLeftMS: 984.123457, SoftTimeLeftMS: 391.876543, ExpectedServiceTimeMS: 131.456789,
	}
	return h, result{
		outcome: retry.ResponseReceived, targetTime: 132456789, loadKnown: true, signals: &directory.Signals{}, process: h.process(),
		load: balance.LoadReport{Running: 3, Waiting: 1, MeanServiceTime: 129123456, Slowdown: 1.0345678901234567, LinkUtilization: 0.012345678901234567, FailureRate: 0.0012345678901234567},
	}
}

func hopSizes(t *testing.T, h hopRequest, res result) (request, reply int) {
	header := http.Header{}
	h.write(header)
	text, err := json.Marshal(res.withoutKnown(h).hopReply())
	require.NoError(t, err)
	t.Logf("%s\n%s", header.Get(hopHeader), text)
	return len(header.Get(hopHeader)), len(text)
}

// Guards against bytes between nodes that tell nothing: digits beyond the precision of
// estimates, and the absence of signals that the sender does not expect. What callers send in a request between zones is often no more than this.
func TestHopsCarryNoNeedlessDigits(t *testing.T) {
	h, res := usualHop()
	request, reply := hopSizes(t, h, res)
	t.Logf("request %d, reply %d bytes", request, reply)
	require.LessOrEqual(t, request, 310)
	require.LessOrEqual(t, reply, 120)

	header := http.Header{}
	h.write(header)
	read, err := readHopRequest(header)
	require.NoError(t, err)
	require.InDelta(t, h.TimeLeftMS, read.TimeLeftMS, 0.05)
	require.InDelta(t, h.SoftTimeLeftMS, read.SoftTimeLeftMS, 0.05)
	text, err := json.Marshal(res.hopReply())
	require.NoError(t, err)
	back, err := readHopReply(http.Header{hopHeader: {string(text)}})
	require.NoError(t, err)
	require.InDelta(t, res.targetTime, back.targetTime, float64(time.Millisecond)/10)
	require.InDelta(t, res.load.Slowdown, back.load.Slowdown, 0.005)
}

// Guards against omitting that a target no longer names a limit, or names one, or leaves: the
// sender would keep what it knows.
func TestRepliesTellChangedSignals(t *testing.T) {
	h, res := usualHop()
	require.Nil(t, res.withoutKnown(h).signals)
	limit := 5.0
	h.KnownLimit = &limit
	require.Equal(t, &directory.Signals{}, res.withoutKnown(h).signals, "the limit has ended")
	h.KnownLimit = nil
	for _, s := range []directory.Signals{{Limited: true}, {Leaving: true}} {
		res.signals = &s
		require.Equal(t, &s, res.withoutKnown(h).signals)
		require.Equal(t, h.process(), res.withoutKnown(h).process)
	}
}

// Guards against a mesh of this build and the one before it, since nodes are replaced one at a
// time: replies of the former build are read with all that they tell, and the fields that it
// needs in a request are sent.
func TestHopsOfTheFormerBuildAreUnderstood(t *testing.T) {
	former := `{"outcome":"refused","reason":"queue","wait_ms":81.234567,"running":4,"waiting":7,"pace":1.2345678,"mean_ms":129.123456,` +
		`"link_use":0.25,"failing":0.5,"limit":{"per_s":5,"available":-1.5},"signals":{"limited":true,"limit_per_s":5},"process":{"id":"t","start":7}}`
	res, err := readHopReply(http.Header{hopHeader: {former}})
	require.NoError(t, err)
	require.Equal(t, result{
		outcome: retry.RefusedByNode, reason: "queue", expectedWait: 81234567, loadKnown: true,
		signals: &directory.Signals{Limited: true, RateLimit: 5}, process: directory.Process{ID: "t", StartUnixMS: 7},
		load: balance.LoadReport{
			Running: 4, Waiting: 7, Slowdown: 1.2345678, MeanServiceTime: 129123456, LinkUtilization: 0.25, FailureRate: 0.5,
			RateLimited: true, RateLimit: 5, RateAvailable: -1.5,
		},
	}, res)
	h, _ := usualHop()
	header := http.Header{}
	h.write(header)
	var fields map[string]any
	require.NoError(t, json.Unmarshal([]byte(header.Get(hopHeader)), &fields))
	for _, name := range []string{"id", "uri", "target", "target_start", "service", "route", "caller", "rank", "fingerprint", "repeatable", "left_ms", "useful_ms", "need_ms"} {
		require.Contains(t, fields, name)
	}
}
