package callpath_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/callpath"
)

// Guards against telling a caller that its request did not run, or running it at a second
// target, because a faulty target wrote its refusal of an earlier request once more on a kept
// connection, when the next request was already on its way.
func TestRepeatedRefusalIsNotTakenForTheNextRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + callpath.HeaderOutcome + ": not-run\r\nContent-Length: 0\r\n\r\n"
	var runs atomic.Int64
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	m.add("node-b", rawTarget(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for refused := false; ; {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if strings.HasSuffix(req.URL.Path, "/refuse") {
				refused = true
				_, _ = io.WriteString(conn, refusal)
				continue
			}
			runs.Add(1)
			if refused {
				_, _ = io.WriteString(conn, refusal)
				time.Sleep(20 * time.Millisecond)
			}
			_, _ = io.WriteString(conn, responseFor(req.URL.Path))
		}
	}), fastSettings())
	for range 5 {
		got := m.do(a, "POST", "/courier/refuse", "")
		require.Equal(t, "not-run", got.header.Get(callpath.HeaderOutcome))
		before := runs.Load()
		got = m.do(a, "POST", "/courier/next", "")
		require.NoError(t, got.err)
		require.NotEqual(t, "not-run", got.header.Get(callpath.HeaderOutcome), "the request ran")
		require.Equal(t, before+1, runs.Load())
	}
}

// Guards against a success that is made of a response whose head breaks off.
func TestResponseWhoseHeadBreaksOffIsNotDelivered(t *testing.T) {
	for name, framing := range map[string]string{
		"length": "Content-Length: 2\r\n", "empty": "Content-Length: 0\r\n", "chunked": "Transfer-Encoding: chunked\r\n",
		"until the end": "", "closing": "Connection: close\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\nX-Id: r1\r\n" + framing + "\r\n"
			var cut atomic.Int64
			m := newMesh(t)
			a := m.add("node-a", "", fastSettings())
			b := m.add("node-b", rawTarget(t, func(conn net.Conn) { respondWith(head[:cut.Load()])(conn) }), fastSettings())
			for i := range len(head) {
				cut.Store(int64(i))
				for _, entry := range []*testNode{a, b} {
					got := m.do(entry, "POST", "/courier", "")
					require.NoError(t, got.err)
					require.Equal(t, http.StatusBadGateway, got.status, "cut after %q: %q", head[:i], got.body)
					require.Equal(t, "may-have-run", got.header.Get(callpath.HeaderOutcome))
				}
			}
		})
	}
}

// Guards against a connection that closes without a response when the drain of a node reaches
// its limit: a request that is still running is given up, and its caller is told that it may
// have run.
func TestRequestsAreAnsweredAtTheEndOfADrain(t *testing.T) {
	for _, remote := range []bool{false, true} {
		arrived, release := make(chan struct{}), make(chan struct{})
		defer close(release)
		slow := target(t, func(http.ResponseWriter, *http.Request) {
			close(arrived)
			<-release
		})
		m := newMesh(t)
		s := fastSettings()
		s.TargetStallTimeout = time.Minute
		at := map[bool]string{true: "", false: slow}
		a := m.add("node-a", at[remote], s)
		if remote {
			m.add("node-b", slow, s)
		}
		result := make(chan reply, 1)
		go func() { result <- m.do(a, "POST", "/courier", "body") }()
		<-arrived
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		require.Equal(t, 1, a.Drain(ctx))
		select {
		case got := <-result:
			require.NoError(t, got.err)
			require.Equal(t, http.StatusGatewayTimeout, got.status)
			require.Equal(t, "may-have-run", got.header.Get(callpath.HeaderOutcome))
			require.Equal(t, "node-stopped", got.header.Get(callpath.HeaderReason))
		case <-time.After(time.Second):
			t.Fatal("no response at the end of the drain")
		}
	}
}
