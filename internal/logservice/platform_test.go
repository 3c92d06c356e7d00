package logservice

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/internal/logclient"
	"heathercroft.example/heathercroft/pkg/record"
)

// longPoll is far longer than any test, so that a poll that is not woken shows as a hang.
const longPoll = time.Minute

func start(t *testing.T, change func(*Settings)) (*Server, *logclient.Client, string) {
	t.Helper()
	s := DefaultSettings()
	if change != nil {
		change(s)
	}
	require.NoError(t, s.Validate())
	server := New(s, slog.New(slog.DiscardHandler))
	web := httptest.NewServer(server)
	t.Cleanup(web.Close)
	t.Cleanup(server.Close)
	return server, logclient.New(web.URL, new(http.Client)), web.URL
}

func control(t *testing.T, base, body string, want int) {
	t.Helper()
	res, err := http.Post(base+"/control", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, want, res.StatusCode, body)
}

// Nodes count on offsets from 1 without gaps, and on each stream having its own.
func TestAppendAndRead(t *testing.T) {
	_, client, _ := start(t, nil)
	for i, data := range []string{"a", "b", "c"} {
		offset, err := client.Append(t.Context(), "s", []byte(data))
		require.NoError(t, err)
		require.EqualValues(t, i+1, offset)
	}
	offset, err := client.Append(t.Context(), "other", []byte("x"))
	require.NoError(t, err)
	require.EqualValues(t, 1, offset)
	page, err := client.Read(t.Context(), "s", 2, 1, 0)
	require.NoError(t, err)
	require.EqualValues(t, 1, page.First)
	require.EqualValues(t, 4, page.Next)
	require.Len(t, page.Entries, 1)
	require.Equal(t, "b", string(page.Entries[0].Data))
}

// A poll that misses an append would delay a change until the end of its wait.
func TestLongPollWakesOnAppend(t *testing.T) {
	_, client, _ := start(t, nil)
	pages := make(chan logclient.Page, 1)
	go func() {
		page, _ := client.Read(context.WithoutCancel(t.Context()), "s", 1, 10, longPoll)
		pages <- page
	}()
	_, err := client.Append(t.Context(), "s", []byte("a"))
	require.NoError(t, err)
	require.Len(t, (<-pages).Entries, 1)
}

// Stream.read must agree with a plain list under any appends, trims and reads.
func TestStreamAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keep := retention{records: rapid.IntRange(0, 5).Draw(t, "records"), age: 10 * time.Second}
		now := time.UnixMilli(0)
		s := newStream(1)
		var times []time.Time
		first := 0
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			if rapid.Bool().Draw(t, "append") {
				times = append(times, now)
				require.EqualValues(t, len(times), s.append([]byte{byte(len(times))}, now, keep))
			}
			for first < len(times) && (now.Sub(times[first]) > keep.age || (keep.records > 0 && len(times)-first > keep.records)) {
				first++
			}
			from := rapid.IntRange(1, len(times)+2).Draw(t, "from")
			limit := rapid.IntRange(1, 4).Draw(t, "limit")
			page, held, _ := s.read(record.Revision(from), limit, now, keep)
			require.EqualValues(t, first+1, page.First)
			require.EqualValues(t, len(times)+1, page.Next)
			require.Equal(t, from > first && from <= len(times)+1, held)
			if held {
				require.Len(t, page.Entries, min(limit, len(times)+1-from))
			}
			for i, e := range page.Entries {
				require.Equal(t, []byte{byte(from + i)}, e.Data)
			}
		}
	})
}

// Trimmed offsets must be reported, since a reader must never go on from a gap.
func TestRetentionReportsOutOfRange(t *testing.T) {
	_, client, base := start(t, nil)
	for range 5 {
		_, err := client.Append(t.Context(), "s", []byte("a"))
		require.NoError(t, err)
	}
	control(t, base, `{"retention_records": 2}`, http.StatusOK)
	_, err := client.Read(t.Context(), "s", 3, 10, longPoll)
	var outOfRange *logclient.OutOfRangeError
	require.True(t, errors.As(err, &outOfRange), err)
	require.Equal(t, logclient.OutOfRangeError{First: 4, Next: 6, Era: 1}, *outOfRange)
	_, err = client.Read(t.Context(), "s", 7, 10, longPoll)
	require.True(t, errors.As(err, &outOfRange), err)
}

// An append over the rate limit must not have an effect, as its answer says so.
func TestRateLimitAppendsNothing(t *testing.T) {
	server, client, _ := start(t, func(s *Settings) { s.AppendsPerSecond, s.AppendBurst = 1e-6, 2 })
	var refused int
	for range 5 {
		if _, err := client.Append(t.Context(), "s", []byte("a")); err != nil {
			require.True(t, errors.Is(err, logclient.ErrUnavailable), err)
			refused++
		}
	}
	require.Equal(t, 3, refused)
	page, err := client.Read(t.Context(), "s", 1, 10, 0)
	require.NoError(t, err)
	require.Len(t, page.Entries, 2)
	require.EqualValues(t, 3, server.Status().Counters.Limited)
}

// The limit of a record is 256 KiB, not a byte less or more.
func TestRecordSizeLimit(t *testing.T) {
	_, client, _ := start(t, nil)
	_, err := client.Append(t.Context(), "s", make([]byte, record.MaxSize))
	require.NoError(t, err)
	for _, size := range []int{0, record.MaxSize + 1} {
		_, err = client.Append(t.Context(), "s", make([]byte, size))
		require.True(t, errors.Is(err, logclient.ErrRejected), err)
	}
}

// Each outage must fail in its own way and leave nothing in the log.
func TestOutages(t *testing.T) {
	for mode, mark := range map[OutageMode]error{
		OutageUnavailable: logclient.ErrUnavailable,
		OutageReset:       logclient.ErrUnknown,
	} {
		t.Run(string(mode), func(t *testing.T) {
			server, client, base := start(t, nil)
			control(t, base, `{"outage":"`+string(mode)+`"}`, http.StatusOK)
			_, err := client.Append(t.Context(), "s", []byte("a"))
			require.True(t, errors.Is(err, mark), err)
			_, err = client.Read(t.Context(), "s", 1, 10, longPoll)
			require.True(t, errors.Is(err, logclient.ErrUnavailable), err)
			control(t, base, `{"outage":"none"}`, http.StatusOK)
			page, err := client.Read(t.Context(), "s", 1, 10, 0)
			require.NoError(t, err)
			require.Empty(t, page.Entries)
			require.Zero(t, server.Status().Counters.Appends)
		})
	}
}

// A held append has no effect after hang, and takes effect after stall.
func TestHeldAppends(t *testing.T) {
	for mode, appends := range map[OutageMode]int64{OutageHang: 0, OutageStall: 1} {
		t.Run(string(mode), func(t *testing.T) {
			server, client, base := start(t, nil)
			control(t, base, `{"outage":"`+string(mode)+`"}`, http.StatusOK)
			errs := make(chan error, 1)
			go func() {
				_, err := client.Append(context.WithoutCancel(t.Context()), "s", []byte("a"))
				errs <- err
			}()
			require.Eventually(t, func() bool { return server.Status().Held == 1 }, longPoll, time.Millisecond)
			control(t, base, `{"outage":"none"}`, http.StatusOK)
			err := <-errs
			require.Equal(t, appends == 0, errors.Is(err, logclient.ErrUnavailable), err)
			require.Equal(t, appends, server.Status().Counters.Appends)
		})
	}
}

// An outage must reach the polls that wait already, as it would on a real log.
func TestOutageEndsLongPolls(t *testing.T) {
	server, client, base := start(t, nil)
	errs := make(chan error, 1)
	go func() {
		_, err := client.Read(context.WithoutCancel(t.Context()), "s", 1, 10, longPoll)
		errs <- err
	}()
	require.Eventually(t, func() bool { return server.Status().Polling == 1 }, longPoll, time.Millisecond)
	control(t, base, `{"outage":"unavailable"}`, http.StatusOK)
	require.True(t, errors.Is(<-errs, logclient.ErrUnavailable))
}

// A lost answer must leave its record in the log; else the trial shows no doubt at all.
func TestLostAnswerTakesEffect(t *testing.T) {
	_, client, base := start(t, nil)
	control(t, base, `{"lost_share":1}`, http.StatusOK)
	_, err := client.Append(t.Context(), "s", []byte("a"))
	require.True(t, errors.Is(err, logclient.ErrUnknown), err)
	page, err := client.Read(t.Context(), "s", 1, 10, 0)
	require.NoError(t, err)
	require.Len(t, page.Entries, 1)
}

// A mistyped control must be refused whole, or a trial would run without its fault.
func TestControlIsStrict(t *testing.T) {
	server, _, base := start(t, nil)
	before := server.Status().Control
	for _, body := range []string{
		``, `[]`, `{"outtage":"hang"}`, `{"outage":"x"}`, `{"lost_share":2}`, `{"lost_share":0.5}x`,
		`{"delay_ms":-1}`, `{"jitter_ms":1e9}`, `{"append_burst":0}`, `{"appends_per_second":0}`, `{"retention_ms":-1}`,
	} {
		control(t, base, body, http.StatusBadRequest)
	}
	require.Equal(t, before, server.Status().Control)
}

// A delay holds the answer back, and not the effect.
func TestDelayHoldsBackTheAnswer(t *testing.T) {
	server, client, base := start(t, nil)
	control(t, base, `{"delay_ms":600000}`, http.StatusOK)
	ctx, cancel := context.WithCancel(t.Context())
	var done atomic.Bool
	errs := make(chan error, 1)
	go func() {
		_, err := client.Append(ctx, "s", []byte("a"))
		done.Store(true)
		errs <- err
	}()
	require.Eventually(t, func() bool { return server.Status().Counters.Appends == 1 }, longPoll, time.Millisecond)
	require.False(t, done.Load())
	cancel()
	require.True(t, errors.Is(<-errs, logclient.ErrUnknown))
}

// Nodes tell by the era that offsets were given out again after a restoration from an older copy.
func TestRestorationRaisesTheEra(t *testing.T) {
	server, client, base := start(t, nil)
	for range 3 {
		_, err := client.Append(t.Context(), "s", []byte("a"))
		require.NoError(t, err)
	}
	page, err := client.Read(t.Context(), "s", 1, 10, 0)
	require.NoError(t, err)
	require.EqualValues(t, 1, page.Era)
	server.Restore(2)
	_, err = client.Read(t.Context(), "s", 4, 10, 0)
	var lost *logclient.OutOfRangeError
	require.ErrorAs(t, err, &lost)
	require.Equal(t, logclient.OutOfRangeError{First: 1, Next: 2, Era: 2}, *lost)
	offset, err := client.Append(t.Context(), "s", []byte("b"))
	require.NoError(t, err)
	require.EqualValues(t, 2, offset)
	page, err = client.Read(t.Context(), "s", 2, 10, 0)
	require.NoError(t, err)
	require.EqualValues(t, 2, page.Era)
	for body, want := range map[string]int{`{"records":1}`: http.StatusOK, `{"records":-1}`: http.StatusBadRequest, `{`: http.StatusBadRequest} {
		res, err := http.Post(base+"/restore", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		require.Equal(t, want, res.StatusCode, body)
	}
}
