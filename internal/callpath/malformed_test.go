package callpath_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/callpath"
	"heathercroft.example/heathercroft/internal/testbed"
)

// respondTo responds to each request of a connection with raw bytes. It counts the requests after
// the first one.
func respondTo(response string, reused *atomic.Int64) func(net.Conn) {
	return func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for number := int64(0); ; number++ {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			reused.Add(min(number, 1))
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
		}
	}
}

// newRawMesh starts a node without a target and one whose target handles raw connections.
func newRawMesh(t *testing.T, handle func(net.Conn)) (m *testMesh, a, b *testNode) {
	m = newMesh(t)
	return m, m.add("node-a", "", fastSettings()), m.add("node-b", rawTarget(t, handle), fastSettings())
}

// refusesMalformed checks that a response reaches no caller, that the caller is told at once that its
// request may have run unless a second target can respond, and that the connection is used no more.
func refusesMalformed(t *testing.T, response string) {
	t.Parallel()
	var reused atomic.Int64
	m, a, b := newRawMesh(t, respondTo(response, &reused))
	for _, entry := range []*testNode{a, b} {
		for range 3 {
			began := time.Now()
			got := m.do(entry, "POST", "/courier", "")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusBadGateway, got.status, got.body)
			require.Equal(t, "may-have-run", got.header.Get(callpath.HeaderOutcome))
			require.NotContains(t, got.body, testbed.ResponseBody)
			require.Less(t, time.Since(began), time.Second, "the stall timeout is 1.5 s")
		}
	}
	require.Zero(t, reused.Load(), "the connection must not be used again")

	m.add("node-c", target(t, ok), fastSettings())
	for range 4 {
		got := m.do(a, "GET", "/courier", "")
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, "a request that may run twice is sent to a second target: %s", got.body)
	}
}

// Guards against a response without a valid status that is passed on, that ends the connection of
// the caller without a response, or that makes the caller wait.
func TestMalformedStatusIsNotDelivered(t *testing.T) {
	for name, response := range testbed.MalformedStatuses("") {
		t.Run(name, func(t *testing.T) { refusesMalformed(t, response) })
	}
}

// Guards against a field that is not read as the one that it looks like, so that the caller gets
// other bytes than the body, and against one that is passed on.
func TestMalformedFieldIsNotDelivered(t *testing.T) {
	for name, response := range testbed.MalformedFields("") {
		t.Run(name, func(t *testing.T) {
			if strings.HasSuffix(name, "trailer") {
				abortsMalformed(t, response)
				return
			}
			refusesMalformed(t, response)
		})
	}
}

// Guards against a malformed response that the caller and the operator cannot tell from a lost one.
func TestMalformedResponseIsNamed(t *testing.T) {
	for name, response := range map[string]string{
		"status":        "HTTP/1.1 000 Zero\r\nContent-Length: 0\r\n\r\n",
		"field":         "HTTP/1.1 200 OK\r\nX Own: v\r\nContent-Length: 0\r\n\r\n",
		"interim field": "HTTP/1.1 103 Early Hints\r\nX Own: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"protocol":      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			m, a, b := newRawMesh(t, respondWith(response))
			for _, entry := range []*testNode{a, b} {
				got := m.do(entry, "POST", "/courier", "")
				require.NoError(t, got.err)
				require.Equal(t, "bad-answer", got.header.Get(callpath.HeaderReason), got.body)
				require.Contains(t, got.body, "malformed response")
			}
		})
	}
}

// abortsMalformed checks that a response whose body was delivered before its malformed end does not
// look complete.
func abortsMalformed(t *testing.T, response string) {
	t.Parallel()
	var reused atomic.Int64
	m, a, b := newRawMesh(t, respondTo(response, &reused))
	for _, entry := range []*testNode{a, b} {
		for range 3 {
			got := m.do(entry, "POST", "/courier", "")
			require.Error(t, got.err, "the body looks complete: %q", got.body)
		}
	}
	require.Zero(t, reused.Load(), "the connection must not be used again")
}

// Guards against refusing responses that are unusual but proper.
func TestUnusualResponsesAreDelivered(t *testing.T) {
	for name, response := range testbed.WellFormedResponses("X-Own: v\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var reused atomic.Int64
			m, a, b := newRawMesh(t, respondTo(response, &reused))
			for _, entry := range []*testNode{a, b} {
				for range 2 {
					got := m.do(entry, "POST", "/courier", "")
					require.NoError(t, got.err)
					want := http.StatusOK
					if text, ok := strings.CutPrefix(name, "status "); ok {
						_, err := fmt.Sscan(text, &want)
						require.NoError(t, err)
					}
					require.Equal(t, want, got.status, got.body)
					require.Equal(t, testbed.ResponseBody, got.body)
					require.Equal(t, "v", got.header.Get("X-Own"))
				}
			}
		})
	}
}

// slowBody is a request body that arrives in pieces.
type slowBody struct{ left int }

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, io.EOF
	}
	time.Sleep(50 * time.Microsecond)
	n := min(len(p), b.left, 4<<10)
	b.left -= n
	return n, nil
}

// Guards against a success that is made of a part of a response: a target responds to an upload
// before it has read it and resets the connection while the upload is still written.
func TestResetDuringAnUploadIsNotASuccess(t *testing.T) {
	const tries = 16
	for name, response := range map[string]string{
		"no response":       "",
		"part of the head":  "HTTP/1.1 200 OK\r\nContent-",
		"after the head":    "HTTP/1.1 200 OK\r\n\r\n",
		"in the body":       "HTTP/1.1 200 OK\r\n\r\npart",
		"closing":           "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\npart",
		"short of a length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"short of a chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, a, b := newRawMesh(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, response)
				time.Sleep(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			for name, entry := range map[string]*testNode{"caller's node": a, "target's node": b} {
				for range tries {
					req, err := http.NewRequestWithContext(t.Context(), "POST", entry.caller.URL+"/courier", &slowBody{4 << 20})
					require.NoError(t, err)
					got := roundTrip(req)
					if got.err == nil {
						require.Equal(t, http.StatusBadGateway, got.status, "%s: %q", name, got.body)
					}
				}
			}
		})
	}
}

// Guards against a target that crashes while it reads an upload, whose caller is then said to have
// left: the request must count as one that was running at the crash.
func TestCrashDuringAnUploadIsRecorded(t *testing.T) {
	for range 4 {
		m := newMesh(t)
		b := m.add("node-b", rawTarget(t, func(conn net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_ = conn.(*net.TCPConn).SetLinger(0)
		}), fastSettings())
		req, err := http.NewRequestWithContext(t.Context(), "POST", b.caller.URL+"/courier", &slowBody{4 << 20})
		require.NoError(t, err)
		roundTrip(req)
		b.TargetExpired()
		select {
		case found := <-b.events.crashed:
			require.Len(t, found, 1)
		case <-time.After(time.Second):
			t.Fatal("no request is suspected")
		}
	}
}

// Guards against a caller that leaves in the middle of its upload and is taken for one whose target
// lost the connection: its request would be suspected of a crash.
func TestCallerThatLeavesAnUploadIsNotALostTarget(t *testing.T) {
	m := newMesh(t)
	b := m.add("node-b", target(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }), fastSettings())
	for i := range 64 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(2+i%8)*time.Millisecond)
		req, err := http.NewRequestWithContext(ctx, "POST", b.caller.URL+"/courier", &slowBody{4 << 20})
		require.NoError(t, err)
		require.Error(t, roundTrip(req).err)
		cancel()
	}
	time.Sleep(50 * time.Millisecond)
	b.TargetExpired()
	select {
	case found := <-b.events.crashed:
		t.Fatalf("%d requests are suspected", len(found))
	case <-time.After(50 * time.Millisecond):
	}
}
