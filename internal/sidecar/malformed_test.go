package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/testbed"
)

const responseFields = "X-Id: r1\r\nX-Signature: s\r\n"

// refusesMalformed checks that a response reaches no caller: a request that must not run twice gets
// a 502 at once, another one the response of a second target, and the connection is used no more.
func refusesMalformed(t *testing.T, response string) {
	t.Parallel()
	for _, remote := range []bool{false, true} {
		nodes := newUploadMesh(t, remote)
		faulty := nodes[len(nodes)-1]
		var reused atomic.Int64
		faulty.serveRaw(func(_ *http.Request, number int, conn net.Conn) bool {
			reused.Add(int64(number))
			_, err := io.WriteString(conn, response)
			return err == nil
		})
		for range 3 {
			began := time.Now()
			status, header, body := nodes[0].call(t, http.MethodPost, "/write/x", "r1")
			require.Equal(t, http.StatusBadGateway, status, body)
			require.NotContains(t, body, testbed.ResponseBody)
			require.Empty(t, header.Get("X-Signature"))
			require.Empty(t, header.Get("Retry-After"), "the request may have run")
			require.Less(t, time.Since(began), time.Second, "the deadline is 2 s")
		}
		require.Zero(t, reused.Load(), "the connection must not be used again")
	}

	nodes := newMesh(t, 2)
	nodes[0].serveRaw(func(_ *http.Request, _ int, conn net.Conn) bool {
		_, err := io.WriteString(conn, response)
		return err == nil
	})
	for range 4 {
		status, _, body := nodes[0].call(t, http.MethodGet, "/read/x", "r1")
		require.Equal(t, http.StatusOK, status, body)
		require.Equal(t, "answer of target-1", body)
	}
}

// Guards against a response without a valid status that is passed on, or taken for an interim
// response, so that the caller gets what follows it or waits until its deadline.
func TestMalformedStatusIsNotDelivered(t *testing.T) {
	for name, response := range testbed.MalformedStatuses(responseFields) {
		t.Run(name, func(t *testing.T) { refusesMalformed(t, response) })
	}
}

// Guards against a field that is not read as the one that it looks like, so that the caller gets
// other bytes than the body, and against one that is passed on.
func TestMalformedFieldIsNotDelivered(t *testing.T) {
	for name, response := range testbed.MalformedFields(responseFields) {
		t.Run(name, func(t *testing.T) { refusesMalformed(t, response) })
	}
}

// Guards against a malformed response that an operator cannot tell from a lost one, that does not
// count against its target, or that counts as a crash of a target that goes on.
func TestMalformedResponseIsAFailureOfItsTarget(t *testing.T) {
	var mu sync.Mutex
	var logs bytes.Buffer
	nodes := newLoggingMesh(t, 2, slog.New(slog.NewJSONHandler(lockedWriter{&mu, &logs}, nil)))
	for _, n := range nodes {
		n.serveRaw(func(_ *http.Request, _ int, conn net.Conn) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 000 Zero\r\n"+responseFields+"Content-Length: 0\r\n\r\n")
			return err == nil
		})
	}
	for range 6 {
		status, _, body := nodes[0].call(t, http.MethodGet, "/read/x", "r1")
		require.Equal(t, http.StatusBadGateway, status)
		require.Contains(t, body, "answer-malformed")
	}
	for _, n := range nodes {
		require.Positive(t, n.targetFailureRate())
	}
	time.Sleep(3 * crashProbeDelay)
	for _, n := range nodes {
		require.Empty(t, n.view.Load().CrashSuspects)
	}
	mu.Lock()
	defer mu.Unlock()
	require.Regexp(t, `"msg":"target_failed".*"outcome":"may-have-run","reason":"answer-malformed","error":"status 0: malformed response"`, logs.String())
}

// Guards against refusing responses that are unusual but proper.
func TestUnusualResponsesAreDelivered(t *testing.T) {
	for name, response := range testbed.WellFormedResponses(responseFields) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, remote := range []bool{false, true} {
				nodes := newUploadMesh(t, remote)
				nodes[len(nodes)-1].serveRaw(func(_ *http.Request, _ int, conn net.Conn) bool {
					_, err := io.WriteString(conn, response)
					return err == nil
				})
				for range 2 {
					status, header, body := nodes[0].call(t, http.MethodPost, "/write/x", "r1")
					want := http.StatusOK
					if text, ok := strings.CutPrefix(name, "status "); ok {
						_, err := fmt.Sscan(text, &want)
						require.NoError(t, err)
					}
					require.Equal(t, want, status, body)
					require.Equal(t, testbed.ResponseBody, body)
					require.Equal(t, "s", header.Get("X-Signature"))
				}
			}
		})
	}
}
