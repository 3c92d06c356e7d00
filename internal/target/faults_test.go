package target

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/settings"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// A fault that reaches other requests than its own spoils a trial.
func TestFaultsConcernTheirRequests(t *testing.T) {
	r := request{version: "v2", path: "/search/x", inFlight: 5, sinceSwitch: time.Second}
	for _, c := range []struct {
		fault Fault
		want  bool
	}{
		{Fault{}, true},
		{Fault{Version: "v2"}, true},
		{Fault{Version: "v1"}, false},
		{Fault{PathPrefix: "/search"}, true},
		{Fault{PathPrefix: "/photo"}, false},
		{Fault{AboveInFlight: 4}, true},
		{Fault{AboveInFlight: 5}, false},
		{Fault{StartAfterMS: 1000}, true},
		{Fault{StartAfterMS: 1001}, false},
		{Fault{Version: "v2", PathPrefix: "/photo"}, false},
	} {
		c.fault.ErrorShare, c.fault.LatencyMS = 1, 7
		got := Control{Faults: []Fault{c.fault, c.fault}}.effectOn(r)
		require.Equal(t, c.want, got.fail, "%+v", c.fault)
		require.Equal(t, c.want, got.latency == 14*time.Millisecond, "%+v", c.fault)
	}
}

// A truncated answer must show as broken on the wire, with and without a body.
func TestTruncatedAnswer(t *testing.T) {
	f := start(t, nil)
	f.control(t, `{"faults":[{"truncate_share":1}]}`, http.StatusOK)
	for _, path := range []string{"/", "/?response_bytes=100000"} {
		res, err := http.DefaultClient.Do(f.request(t, t.Context(), path, nil, ""))
		require.NoError(t, err)
		data, err := io.ReadAll(res.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.NotEmpty(t, data)
		require.NoError(t, res.Body.Close())
	}
}

// A silent connection must stay silent after the fault is switched off, and end with its caller.
func TestSilentConnection(t *testing.T) {
	f := start(t, nil)
	f.control(t, `{"faults":[{"silent_share":1}]}`, http.StatusOK)
	release := f.hold(t, "/")
	f.control(t, `{"faults":[]}`, http.StatusOK)
	require.Equal(t, 1, f.Status().InFlight)
	release()
	require.Eventually(t, func() bool { return f.Status().InFlight == 0 }, limit, time.Millisecond)
}

// Only a marked request ends the process, and only when the fault is switched on.
func TestCrashOnHeader(t *testing.T) {
	f := start(t, nil)
	codes := make(chan int, 10)
	f.crash = func(code int) { codes <- code }
	marked := map[string]string{HeaderCrash: "1"}
	f.call(t, "/", marked, "")
	f.control(t, `{"crash_on_header":true}`, http.StatusOK)
	f.call(t, "/", nil, "")
	require.Empty(t, codes)
	f.call(t, "/", marked, "")
	require.Equal(t, crashCode, <-codes)
}

// A mistyped control must be refused whole; a change of one key keeps the others.
func TestControlIsStrict(t *testing.T) {
	f := start(t, nil)
	f.control(t, `{"faults":[{"error_share":0.5}],"health":"ok"}`, http.StatusOK)
	before := f.Status().Control
	for _, body := range []string{
		``, `{"fault":[]}`, `{"faults":[{"share":1}]}`, `{"faults":[{"error_share":1.5}]}`, `{"health":"x"}`,
		`{"report_lag_ms":-1}`, `{"load_factor":-1}`, `{"faults":[{"latency_ms":-1}]}`, `{"load_factor":1}{}`,
	} {
		f.control(t, body, http.StatusBadRequest)
	}
	require.Equal(t, before, f.Status().Control)
	f.control(t, `{"load_factor":2}`, http.StatusOK)
	require.Equal(t, before.Faults, f.Status().Control.Faults)
	require.Equal(t, HealthAlwaysOK, f.Status().Control.Health)
}

// The nodes act on what a target says in its responses; a draining one must say so in all.
func TestTargetSaysWhatItAsksOfItsCallers(t *testing.T) {
	f := start(t, nil)
	res, _ := f.call(t, "/", nil, "")
	require.Empty(t, res.Header.Get(HeaderRateLimit)+res.Header.Get(HeaderLeaving))
	f.control(t, `{"rate_limit":2.5}`, http.StatusOK)
	f.control(t, `{"rate_limit":-1}`, http.StatusBadRequest)
	res, _ = f.call(t, "/", nil, "")
	require.Equal(t, "2.5", res.Header.Get(HeaderRateLimit))
	f.control(t, `{"rate_limit":null,"signal_leaving":true}`, http.StatusOK)
	res, _ = f.call(t, "/", nil, "")
	require.Empty(t, res.Header.Get(HeaderRateLimit))
	require.Equal(t, "1", res.Header.Get(HeaderLeaving))
	f.control(t, `{"signal_leaving":false}`, http.StatusOK)
	require.NoError(t, f.Drain(t.Context()))
	res, _ = f.call(t, "/", nil, "")
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.Equal(t, "1", res.Header.Get(HeaderLeaving))
}

// Reports are read with the age asked for; a fresher one would not mislead anybody.
func TestHistoryLags(t *testing.T) {
	h := new(history)
	_, ok := h.before(time.UnixMilli(0))
	require.False(t, ok)
	for i := range 3 {
		h.add(sample{at: time.UnixMilli(int64(100 * i)), inFlight: i})
	}
	for ms, want := range map[int64]int{-50: 0, 0: 0, 150: 1, 200: 2, 900: 2} {
		got, ok := h.before(time.UnixMilli(ms))
		require.True(t, ok)
		require.Equal(t, want, got.inFlight, "at %d ms", ms)
	}
	h.add(sample{at: time.UnixMilli(100).Add(maxReportLag + time.Millisecond)})
	require.Len(t, h.samples, 2)
}

// The endpoints must mislead only when told to.
func TestHealthAndLoad(t *testing.T) {
	f := start(t, nil)
	defer f.hold(t, "/?work_ms=600000")()
	get := func(path string) (int, string) {
		res, err := http.Get(f.url + path)
		require.NoError(t, err)
		data, err := io.ReadAll(res.Body)
		require.NoError(t, errors.Join(err, res.Body.Close()))
		return res.StatusCode, string(data)
	}
	code, _ := get("/healthz")
	require.Equal(t, http.StatusOK, code)
	_, load := get("/load")
	require.JSONEq(t, `{"in_flight":1,"slots":12}`, load)
	f.control(t, `{"health":"failing","load_factor":3}`, http.StatusOK)
	code, _ = get("/healthz")
	require.Equal(t, http.StatusServiceUnavailable, code)
	_, load = get("/load")
	require.JSONEq(t, `{"in_flight":3,"slots":12}`, load)
	f.history.add(sample{at: time.Now().Add(-time.Hour), state: mesh.TargetServing})
	f.gate.leave()
	f.control(t, `{"health":"truth"}`, http.StatusOK)
	code, _ = get("/healthz")
	require.Equal(t, http.StatusServiceUnavailable, code)
	f.control(t, `{"report_lag_ms":60000}`, http.StatusOK)
	code, _ = get("/healthz")
	require.Equal(t, http.StatusOK, code)
}

// Cold starts are excluded from comparisons, which a trial can only show if they occur.
func TestColdStart(t *testing.T) {
	cold := func(c ColdStart) *Server {
		return start(t, func(s *Settings) {
			s.ServiceTime.Base, s.ColdStart = settings.Duration(time.Second), c
		}).Server
	}
	extra := settings.Duration(time.Minute)
	byCount := cold(ColdStart{Requests: 2, Extra: extra})
	require.Equal(t, time.Minute+time.Second, byCount.serviceTime(callOptions{}, 2))
	require.Equal(t, time.Second, byCount.serviceTime(callOptions{}, 3))
	byTime := cold(ColdStart{Duration: settings.Duration(time.Hour), Extra: extra})
	require.Equal(t, time.Minute+time.Second, byTime.serviceTime(callOptions{}, 1000))
	require.Equal(t, time.Minute, byTime.serviceTime(callOptions{hasWork: true}, 1000))
}
