package callpath_test

import (
	"bufio"
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

// refusesMalformed checks that a response reaches no caller, that the caller is told at once that its
// request may have run unless a second target can respond, and that the connection is used no more.
func refusesMalformed(t *testing.T, response string) {
	t.Parallel()
	var reused atomic.Int64
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	b := m.add("node-b", rawTarget(t, respondTo(response, &reused)), fastSettings())
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

// abortsMalformed checks that a response whose body was delivered before its malformed end does not
// look complete.
func abortsMalformed(t *testing.T, response string) {
	t.Parallel()
	var reused atomic.Int64
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	b := m.add("node-b", rawTarget(t, respondTo(response, &reused)), fastSettings())
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
			m := newMesh(t)
			a := m.add("node-a", "", fastSettings())
			b := m.add("node-b", rawTarget(t, respondTo(response, &reused)), fastSettings())
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
