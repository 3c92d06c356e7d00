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
	"heathercroft.example/heathercroft/internal/testbed"
)

// endlessAfter reads one request, and writes head once and then repeated until the connection
// is closed, which it reports to ended.
func endlessAfter(head, repeated string, ended chan<- struct{}) func(net.Conn) {
	return func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err := io.WriteString(conn, head)
		block := strings.Repeat(repeated, 32<<10/len(repeated))
		for err == nil {
			_, err = io.WriteString(conn, block)
		}
		ended <- struct{}{}
	}
}

// maxEndlessHeap is more memory in bytes than two nodes need for a response of any length.
const maxEndlessHeap = 32 << 20

// Guards against a target that sends a head without end: a request without a deadline must
// end, and the connection must be closed.
func TestEndlessHeadEndsTheRequest(t *testing.T) {
	for name, test := range map[string]struct{ head, repeated string }{
		"header field":     {"HTTP/1.1 200 OK\r\nX-Pad: ", "x"},
		"header fields":    {"HTTP/1.1 200 OK\r\n", "X-Pad: x\r\n"},
		"status line":      {"", "x"},
		"continue":         {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim response": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	} {
		for _, entry := range []string{"node of the caller", "node of the target"} {
			t.Run(name+" via "+entry, func(t *testing.T) {
				ended := make(chan struct{}, 4)
				m := newMesh(t)
				a := m.add("node-a", "", fastSettings())
				b := m.add("node-b", rawTarget(t, endlessAfter(test.head, test.repeated, ended)), fastSettings())
				node := map[string]*testNode{"node of the caller": a, "node of the target": b}[entry]
				peak, result := testbed.HeapGrowth(), make(chan reply, 1)
				go func() { result <- m.do(node, "POST", "/courier", "") }()
				select {
				case got := <-result:
					require.NoError(t, got.err)
					require.Equal(t, http.StatusBadGateway, got.status, got.body)
					require.Equal(t, "may-have-run", got.header.Get(callpath.HeaderOutcome))
				case <-time.After(2 * time.Second):
					t.Fatal("the request does not end")
				}
				require.Less(t, peak(), int64(maxEndlessHeap))
				select {
				case <-ended:
				case <-time.After(time.Second):
					t.Fatal("the connection to the target must be closed")
				}
			})
		}
	}
}

// Guards against a node that keeps the bytes of a body without end. The caller gets what
// arrives until it leaves; then the connection to the target is closed.
func TestEndlessBodyIsNotKept(t *testing.T) {
	for name, test := range map[string]struct {
		head, repeated string
		// aborts is set if the node notices that the body is malformed.
		aborts bool
	}{
		"length":          {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x", false},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n", false},
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x", true},
		"trailer":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-Pad: x\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{}, 4)
			m := newMesh(t)
			a := m.add("node-a", "", fastSettings())
			m.add("node-b", rawTarget(t, endlessAfter(test.head, test.repeated, ended)), fastSettings())
			peak := testbed.HeapGrowth()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, "POST", a.caller.URL+"/courier", nil)
			require.NoError(t, err)
			resp, err := http.DefaultTransport.RoundTrip(req)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			if test.aborts {
				require.NoError(t, ctx.Err(), "the node must end the response")
				require.True(t, err != nil || resp.StatusCode == http.StatusBadGateway)
			} else {
				require.ErrorIs(t, err, context.DeadlineExceeded)
			}
			_ = resp.Body.Close()
			require.Less(t, peak(), int64(maxEndlessHeap))
			select {
			case <-ended:
			case <-time.After(time.Second):
				t.Fatal("the connection to the target must be closed")
			}
		})
	}
}

// Guards against bytes without end behind a complete response that fill the buffers of an
// idle connection.
func TestEndlessBytesAfterAResponseCloseTheConnection(t *testing.T) {
	ended := make(chan struct{}, 4)
	var first atomic.Bool
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	m.add("node-b", rawTarget(t, func(conn net.Conn) {
		if first.CompareAndSwap(false, true) {
			endlessAfter(responseFor("/courier"), "x", ended)(conn)
			return
		}
		respondWith(responseFor("/courier"))(conn)
	}), fastSettings())
	require.Equal(t, http.StatusOK, m.do(a, "POST", "/courier", "").status)
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the connection to the target must be closed")
	}
	require.Equal(t, http.StatusOK, m.do(a, "POST", "/courier", "").status)
}
