package logclient_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/logclient"
)

func newTestClient(t *testing.T, handler http.HandlerFunc) *logclient.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return logclient.New(server.URL, new(http.Client))
}

func respondWith(code int, outcome, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if outcome != "" {
			w.Header().Set(logclient.OutcomeHeader, outcome)
		}
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	}
}

// With a wrong mark, a node would report an append as rejected although it took
// effect, or would not retry an append that can safely be repeated.
func TestAppendMarksItsErrors(t *testing.T) {
	all := []error{logclient.ErrUnavailable, logclient.ErrUnknown, logclient.ErrRejected, logclient.ErrMalformed}
	cases := map[string]struct {
		handler http.HandlerFunc
		marks   []error
	}{
		"503 without effect":      {respondWith(503, "not-run", "{}"), []error{logclient.ErrUnavailable}},
		"429 without effect":      {respondWith(429, "not-run", "{}"), []error{logclient.ErrUnavailable}},
		"503 that says nothing":   {respondWith(503, "", "{}"), []error{logclient.ErrUnknown}},
		"500 that says no effect": {respondWith(500, "not-run", "{}"), []error{logclient.ErrUnknown}},
		"too large":               {respondWith(413, "", "{}"), []error{logclient.ErrRejected}},
		"no JSON":                 {respondWith(200, "", "x"), []error{logclient.ErrUnknown, logclient.ErrMalformed}},
		"no offset":               {respondWith(200, "", "{}"), []error{logclient.ErrUnknown, logclient.ErrMalformed}},
		"endless answer": {
			respondWith(200, "", strings.Repeat(" ", 9<<20)),
			[]error{logclient.ErrUnknown, logclient.ErrMalformed},
		},
		"connection closed":   {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, []error{logclient.ErrUnknown}},
		"answer cut in words": {sendTruncatedResponse, []error{logclient.ErrUnknown}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := newTestClient(t, c.handler).Append(t.Context(), "s", []byte("x"))
			for _, mark := range all {
				require.Equal(t, contains(c.marks, mark), errors.Is(err, mark), "%v: %v", mark, err)
			}
		})
	}
}

func contains(list []error, e error) bool {
	for _, x := range list {
		if x == e {
			return true
		}
	}
	return false
}

func sendTruncatedResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"offset":1}`))
	panic(http.ErrAbortHandler)
}

// A refused connection must not count as an append that may have taken effect.
func TestAppendWithoutConnectionHasNoEffect(t *testing.T) {
	// Port 1 has no listener: tests and daemons listen on ports from 1024.
	_, err := logclient.New("http://127.0.0.1:1", new(http.Client)).Append(t.Context(), "s", []byte("x"))
	require.True(t, errors.Is(err, logclient.ErrUnavailable), err)
	require.False(t, errors.Is(err, logclient.ErrUnknown), err)
}

// An append that the caller cancels after the request was sent may have taken effect.
func TestAppendCancelledAfterSendingIsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	client := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	_, err := client.Append(ctx, "s", nil)
	require.True(t, errors.Is(err, logclient.ErrUnknown), err)
	require.False(t, errors.Is(err, logclient.ErrUnavailable), err)
}

// A gap, a repeated entry or a page for another offset must not reach the reducer.
func TestReadRejectsNonContiguousPages(t *testing.T) {
	for name, body := range map[string]string{
		"gap":            `{"first":1,"next":9,"records":[{"offset":2},{"offset":4}]}`,
		"other offset":   `{"first":1,"next":9,"records":[{"offset":1}]}`,
		"beyond next":    `{"first":1,"next":2,"records":[{"offset":2}]}`,
		"too many":       `{"first":1,"next":9,"records":[{"offset":2},{"offset":3},{"offset":4}]}`,
		"no first":       `{"next":9,"records":[]}`,
		"next too small": `{"first":5,"next":4,"records":[]}`,
		"no JSON":        `{"first":1`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newTestClient(t, respondWith(200, "", body)).Read(t.Context(), "s", 2, 2, 0)
			require.True(t, errors.Is(err, logclient.ErrMalformed), err)
			require.True(t, errors.Is(err, logclient.ErrUnavailable), err)
		})
	}
}

// The reader restarts from a snapshot only on this error, so it must contain both offsets.
func TestReadOutOfRange(t *testing.T) {
	_, err := newTestClient(t, respondWith(410, "", `{"first":7,"next":9}`)).Read(t.Context(), "s", 2, 2, 0)
	var outOfRange *logclient.OutOfRangeError
	require.True(t, errors.As(err, &outOfRange), err)
	require.Equal(t, logclient.OutOfRangeError{First: 7, Next: 9}, *outOfRange)
}

// Control traffic is a reported figure, in bytes. Counting only bodies would
// understate it.
func TestTrafficCountsWholeMessages(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/v1/streams/a%2Fb/records", r.URL.EscapedPath())
		respondWith(200, "", `{"offset":3}`)(w, r)
	})
	offset, err := client.Append(t.Context(), "a/b", make([]byte, 1000))
	require.NoError(t, err)
	require.EqualValues(t, 3, offset)
	require.Greater(t, client.Traffic.Out.Load(), uint64(1000+len("POST /v1/streams/a%2Fb/records HTTP/1.1")))
	require.Greater(t, client.Traffic.In.Load(), uint64(len(`{"offset":3}`)+len("HTTP/1.1 200 OK")))
}

// The wait time must be part of the request. Without it, the reader would poll in a
// busy loop.
func TestReadSendsItsQuery(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "from=2&max=3&wait_ms=1500", r.URL.RawQuery)
		respondWith(200, "", `{"first":1,"next":3,"records":[{"offset":2,"time_unix_ms":5,"data":"eA=="}]}`)(w, r)
	})
	page, err := client.Read(t.Context(), "s", 2, 3, 1500*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, []logclient.Entry{{Offset: 2, TimeUnixMS: 5, Data: []byte("x")}}, page.Entries)
}
