package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/retry"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\n\r\n"
	// resetTries is the number of uploads of a test in which the order of a read and a write on one
	// connection is left to chance.
	resetTries = 16
)

// reset closes a connection without an orderly end.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// finishThenReset ends the sending direction in order and then resets the connection.
func finishThenReset(conn net.Conn) {
	_ = conn.(*net.TCPConn).CloseWrite()
	time.Sleep(20 * time.Millisecond)
	reset(conn)
}

// respondEarly returns a handler of connections that responds to each request once it has read its
// head, and then ends the connection, or reads on if end is nil. The response depends on the number of
// the connection, from 0 on.
func respondEarly(response func(number int64) string, end func(net.Conn)) func(net.Conn) {
	var connections atomic.Int64
	return func(conn net.Conn) {
		text := response(connections.Add(1) - 1)
		reader := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, text)
			time.Sleep(5 * time.Millisecond)
			if end != nil {
				end(conn)
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
		}
	}
}

// earlyTarget starts a target that responds early and returns a client of it.
func earlyTarget(t *testing.T, response string, end func(net.Conn)) *targetClient {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := respondEarly(func(int64) string { return response }, end)
	diverting := &divertingListener{Listener: listener}
	diverting.serve.Store(&serve)
	go func() { _, _ = diverting.Accept() }()
	start := time.Now()
	return &targetClient{address: listener.Addr().String(), headers: testHeaders, now: func() time.Duration { return time.Since(start) }}
}

// Guards against a truncated response that looks complete: the write of the request finds the
// reset of the connection, and the read of the response then finds an end without an error.
func TestResetFoundByTheWriteIsNotTheEndOfAResponse(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		end      func(net.Conn)
		complete bool
	}{
		"reset after the head":            {unframedHead, reset, false},
		"reset in the body":               {unframedHead + "part", reset, false},
		"end and then reset, no body":     {unframedHead, finishThenReset, true},
		"end and then reset, with a body": {unframedHead + "part", finishThenReset, true},
	} {
		t.Run(name, func(t *testing.T) {
			client := earlyTarget(t, test.response, test.end)
			conn, err := client.get(t.Context(), true)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://shop.test/x", nil)
			require.NoError(t, err)
			req.Header.Set("X-Id", "r1")
			_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: shop.test\r\nContent-Length: 1000000\r\n\r\n")
			for err == nil {
				time.Sleep(time.Millisecond)
				_, err = io.WriteString(conn, "more")
			}
			r, closes, err := client.read(conn, req, nil)
			if !test.complete {
				require.Error(t, err, "body %q", bodyOf(r))
				require.True(t, connectionLost(err), err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, strings.TrimPrefix(test.response, unframedHead), bodyOf(r))
			require.True(t, closes)
		})
	}
}

func bodyOf(r *response) string {
	if r == nil {
		return ""
	}
	return string(r.body)
}

// upload is a request with a body that arrives in pieces.
type upload struct {
	length  int
	chunked bool
	// sent is the number of bytes that the caller sends before it stalls, 0 for all.
	sent int
}

var uploads = map[string]upload{
	"long":                   {length: 4 << 20},
	"long in chunks":         {length: 4 << 20, chunked: true},
	"long that stalls":       {length: 4 << 20, sent: 1200 << 10},
	"buffered":               {length: 512 << 10},
	"buffered in chunks":     {length: 512 << 10, chunked: true},
	"written before reading": {length: 12 << 10},
}

// send sends the request until a response arrives, and returns it.
func (u upload) send(t *testing.T, n *testNode) (status int, body string) {
	const piece, interval = 4 << 10, 50 * time.Microsecond
	conn, err := net.Dial("tcp", n.outbound.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	framing, before, after := fmt.Sprintf("Content-Length: %d", u.length), "", ""
	if u.chunked {
		framing, before, after = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", piece), "\r\n"
	}
	_, err = fmt.Fprintf(conn, "POST /write/x HTTP/1.1\r\nHost: shop.test\r\nX-Id: r1\r\nX-Left: 2000\r\n%s\r\n\r\n", framing)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var sending sync.WaitGroup
	sending.Go(func() {
		for sent := 0; sent < u.length && (u.sent == 0 || sent < u.sent) && ctx.Err() == nil; sent += piece {
			if _, err := io.WriteString(conn, before+strings.Repeat("x", piece)+after); err != nil {
				return
			}
			if sent > maxBufferedBodyBytes {
				time.Sleep(interval)
			}
		}
		if u.chunked && u.sent == 0 {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	})
	defer sending.Wait()
	defer cancel()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(data)
}

// Guards against a success that is made of a part of a response: a target responds to an upload
// before it has read it and resets the connection while the upload is still written. The caller is
// told so at once, not at its deadline.
func TestResetDuringAnUploadIsNotASuccess(t *testing.T) {
	for name, u := range uploads {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, remote %v", name, remote), func(t *testing.T) {
				t.Parallel()
				nodes := newUploadMesh(t, remote)
				target := nodes[len(nodes)-1]
				response := func(number int64) string { return [...]string{unframedHead, unframedHead + "part"}[number%2] }
				target.serveConns(respondEarly(response, reset))
				for i := range resetTries {
					began := time.Now()
					status, body := u.send(t, nodes[0])
					require.Equal(t, http.StatusBadGateway, status, "upload %d: %q", i, body)
					require.NotContains(t, body, "part")
					require.Less(t, time.Since(began), time.Second, "the deadline is 2 s")
				}
			})
		}
	}
}

// Guards against refusing a response that is complete before the target has read the request: by its
// length, or by an orderly end if it has none.
func TestEarlyResponseThatIsCompleteIsDelivered(t *testing.T) {
	framedHead := strings.TrimSuffix(unframedHead, "\r\n") + "Content-Length: 5\r\n\r\n"
	for name, test := range map[string]struct {
		response string
		end      func(net.Conn)
	}{
		"end, and the target reads on": {unframedHead + "whole", func(conn net.Conn) {
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}},
		"end, and the target reads no more": {unframedHead + "whole", func(conn net.Conn) {
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(100 * time.Millisecond)
		}},
		"end and then reset":        {unframedHead + "whole", finishThenReset},
		"length, kept connection":   {framedHead + "whole", nil},
		"length and then reset":     {strings.Replace(framedHead, "\r\n", "\r\nConnection: close\r\n", 1) + "whole", reset},
		"chunks, kept connection":   {strings.TrimSuffix(unframedHead, "\r\n") + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", nil},
		"interim, then no length":   {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + unframedHead + "whole", finishThenReset},
		"HTTP/1.0 without a length": {strings.Replace(unframedHead, "HTTP/1.1", "HTTP/1.0", 1) + "whole", finishThenReset},
	} {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, remote %v", name, remote), func(t *testing.T) {
				t.Parallel()
				nodes := newUploadMesh(t, remote)
				target := nodes[len(nodes)-1]
				target.serveConns(respondEarly(func(int64) string { return test.response }, test.end))
				for kind, u := range uploads {
					status, body := u.send(t, nodes[0])
					require.Equal(t, http.StatusOK, status, "%s: %s", kind, body)
					require.Equal(t, "whole", body)
				}
			})
		}
	}
}

// newUploadMesh starts nodes that allow long bodies. If remote is set, the first one has no target
// that serves.
func newUploadMesh(t *testing.T, remote bool) []*testNode {
	count := 1
	if remote {
		count = 2
	}
	nodes := newMesh(t, count)
	config := testConfig()
	config.Version, config.Limits.BodyBytes = 2, 8<<20
	require.NoError(t, config.Prepare())
	for _, n := range nodes {
		n.Step(control.ConfigPublished{Config: config})
	}
	if remote {
		nodes[0].Step(control.TargetLeaving{ID: "target-0"})
		nodes[1].Step(control.PeerStateReceived{State: nodes[0].state()})
	}
	return nodes
}

// Guards against a reset that is told to the wrong one: the outcome of a request that was sent is
// that it may have run.
func TestResetOfAnEarlyResponseMayHaveRun(t *testing.T) {
	client := earlyTarget(t, unframedHead+"part", reset)
	body := &requestBody{head: []byte("first"), size: -1, rest: &endlessBody{}, interrupt: func() {}}
	attempt, ok := body.open()
	require.True(t, ok)
	_, outcome, err := client.do(t.Context(), &targetRequest{method: http.MethodPost, host: "shop.test", uri: "/x", header: http.Header{"X-Id": {"r1"}}, body: attempt})
	require.Error(t, err)
	require.Equal(t, retry.ResetAfterWrite, outcome)
	body.end()
}

// endlessBody gives a piece of a body at a time, without end.
type endlessBody struct{}

// Read implements io.Reader.
func (*endlessBody) Read(p []byte) (int, error) {
	time.Sleep(50 * time.Microsecond)
	return len(p), nil
}
