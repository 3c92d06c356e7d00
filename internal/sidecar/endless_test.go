package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/bounded"
)

// processMemory is the memory limit of the process in these tests.
const processMemory = 64 << 20

// watchHeap samples the heap until the returned function is called, which returns the
// highest value.
func watchHeap() (peak func() uint64) {
	runtime.GC()
	stop, highest := make(chan struct{}), make(chan uint64)
	go func() {
		var max uint64
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			if m.HeapAlloc > max {
				max = m.HeapAlloc
			}
			select {
			case <-stop:
				highest <- max
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return func() uint64 { close(stop); return <-highest }
}

// Guards against a target whose response never ends: the bytes must not fill the memory of
// the node, and the request must not be held until its deadline.
func TestEndlessResponseIsBounded(t *testing.T) {
	for name, test := range map[string]struct {
		head, repeated string
	}{
		"header field":     {"HTTP/1.1 200 OK\r\nX-Pad: ", "x"},
		"header fields":    {"HTTP/1.1 200 OK\r\n", "X-Pad: x\r\n"},
		"status line":      {"", "x"},
		"interim response": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"chunk extension":  {"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
		"trailer":          {"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: x\r\n"},
		"body":             {"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\n\r\n", "x"},
		"chunks":           {"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"other responses":  {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			nodes := newMesh(t, 2)
			n := nodes[0]
			for _, n := range nodes {
				n.messages = bounded.NewMemory(int64(messageMemoryShare * processMemory))
			}
			ended := make(chan struct{}, 4)
			faulty := func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { ended <- struct{}{} }()
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, test.head)
				block := strings.Repeat(test.repeated, 32<<10/len(test.repeated))
				for err == nil {
					_, err = io.WriteString(conn, block)
				}
			}
			n.target.serve(faulty)
			nodes[1].target.serve(faulty)
			peak := watchHeap()
			began := time.Now()
			status, _, body := n.call(t, http.MethodPost, "/write/x", "r1")
			// Tiny chunks are slow to parse, so that the deadline may end them.
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, status, body)
			require.Less(t, time.Since(began), 2500*time.Millisecond, "the deadline is 2 s")
			require.Less(t, peak(), uint64(processMemory))
			select {
			case <-ended:
			case <-time.After(time.Second):
				t.Fatal("the connection to the target must be closed")
			}
			// At the deadline, the response comes before the node of the target has stopped
			// reading.
			require.Eventually(t, func() bool {
				return n.messages.Held() == 0 && nodes[1].messages.Held() == 0
			}, time.Second, time.Millisecond, "the memory must be released")
			n.target.serve(nil)
			nodes[1].target.serve(nil)
			for i := range 3 {
				status, _, _ = n.call(t, http.MethodPost, "/write/x", fmt.Sprint("next", i))
				require.Equal(t, http.StatusOK, status)
			}
		})
	}
}

// Guards against the responses of many requests that fill the memory together: a node whose
// share is in use refuses further requests for its target, as not run.
func TestFullMemoryRefusesRequestsAsNotRun(t *testing.T) {
	n := newMesh(t, 1)[0]
	n.messages = bounded.NewMemory(1 << 20)
	// Large messages alone cannot fill it.
	others := make([]*bounded.Lease, 15)
	for i := range others {
		others[i] = n.messages.Lease()
		require.NoError(t, others[i].Grow(60<<10))
	}
	status, header, _ := n.call(t, http.MethodPost, "/write/x", "r1")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Zero(t, n.target.runs.Load())
	for _, l := range others {
		l.Release()
	}
	status, _, _ = n.call(t, http.MethodPost, "/write/x", "r2")
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return n.messages.Held() == 0 }, time.Second, time.Millisecond)
}

// Guards against a few responses without end that use up the memory of all requests: those
// of other clients were refused, or lost their responses, until the endless ones reached
// their deadlines.
func TestRequestsGoOnBesideEndlessResponses(t *testing.T) {
	const endless = 3
	n := newMesh(t, 1)[0]
	n.messages = bounded.NewMemory(int64(messageMemoryShare * processMemory))
	n.target.serve(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signature", "s")
		if !strings.HasPrefix(r.Header.Get("X-Id"), "endless") {
			_, _ = io.WriteString(w, "answer")
			return
		}
		// The first bytes arrive at once, and enough follow for the response to stay alive.
		block := make([]byte, 64<<10)
		for sent := 0; ; sent += len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
			if sent > int(messageMemoryShare*processMemory)/endless {
				_ = http.NewResponseController(w).Flush()
				time.Sleep(20 * time.Millisecond)
			}
		}
	})
	var all sync.WaitGroup
	peak := watchHeap()
	for i := range endless {
		all.Go(func() {
			status, _, _ := n.call(t, http.MethodPost, "/write/x", fmt.Sprint("endless", i))
			assert.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, status)
		})
	}
	began := time.Now()
	for i := 0; time.Since(began) < 1500*time.Millisecond; i++ {
		status, header, body := n.call(t, http.MethodPost, "/write/x", fmt.Sprint("other", i))
		require.Equal(t, http.StatusOK, status, "request %d after %s: %v %s", i, time.Since(began), header, body)
		time.Sleep(5 * time.Millisecond)
	}
	all.Wait()
	require.Less(t, peak(), uint64(processMemory))
	require.Eventually(t, func() bool { return n.messages.Held() == 0 }, time.Second, time.Millisecond)
}
