package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/bounded"
	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/published"
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

// Guards against callers whose requests never end, also if the published limits name no size:
// the bytes must not fill the memory of the node, the connection must end, and the requests
// of others must go on.
func TestEndlessRequestsOfCallersAreBounded(t *testing.T) {
	const atOnce = 4
	// As in the process; garbage would be most of the heap otherwise.
	defer debug.SetGCPercent(debug.SetGCPercent(15))
	const post = "POST /write/x HTTP/1.1\r\nHost: shop.test\r\nX-Id: endless\r\nX-Left: 1000\r\n"
	for name, test := range map[string]struct{ head, repeated string }{
		"header field":    {"GET /read/x HTTP/1.1\r\nHost: shop.test\r\nX-Pad: ", "x"},
		"header fields":   {"GET /read/x HTTP/1.1\r\nHost: shop.test\r\n", "X: \r\n"},
		"request line":    {"GET /", "x"},
		"empty lines":     {"", "\r\n"},
		"length":          {post + "Content-Length: 1000000000000\r\n\r\n", "x"},
		"chunks":          {post + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"tiny chunks":     {post + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk extension": {post + "Transfer-Encoding: chunked\r\n\r\n5;", "x"},
		"trailer":         {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: x\r\n"},
		"unread":          {"POST /none HTTP/1.1\r\nHost: shop.test\r\nX-Id: endless\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			n := newMesh(t, 1)[0]
			n.messages = bounded.NewMemory(int64(messageMemoryShare * processMemory))
			config := testConfig()
			config.Version, config.Limits = 2, published.Limits{}
			require.NoError(t, config.Prepare())
			n.Step(control.ConfigPublished{Config: config})
			// The endless requests must not hold all slots.
			n.Step(control.HeartbeatReceived{Heartbeat: directory.Heartbeat{
				ID: n.target.id, Address: n.settings.Target.String(), Service: "shop", Version: "v1", Slots: 4 * atOnce, Sequence: 2, StartUnixMS: 1,
			}})
			n.target.serve(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Signature", "s")
				if r.Header.Get("X-Id") == "endless" {
					_, _ = io.Copy(io.Discard, r.Body)
				}
			})
			peak := watchHeap()
			var all sync.WaitGroup
			for range atOnce {
				conn, err := net.Dial("tcp", n.outbound.Listener.Addr().String())
				require.NoError(t, err)
				require.NoError(t, conn.SetDeadline(time.Now().Add(4*time.Second)))
				all.Go(func() { _, _ = io.Copy(io.Discard, conn) })
				all.Go(func() {
					defer func() { _ = conn.Close() }()
					_, err := io.WriteString(conn, test.head)
					for block := strings.Repeat(test.repeated, 32<<10/len(test.repeated)); err == nil; {
						_, err = io.WriteString(conn, block)
					}
					assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the node must end the connection")
				})
			}
			began := time.Now()
			for i := 0; time.Since(began) < 500*time.Millisecond; i++ {
				status, header, body := n.call(t, http.MethodGet, "/read/x", fmt.Sprint("other", i))
				require.Equal(t, http.StatusOK, status, "request %d after %s: %v %s", i, time.Since(began), header, body)
				time.Sleep(5 * time.Millisecond)
			}
			all.Wait()
			require.Less(t, peak(), uint64(processMemory))
			require.Eventually(t, func() bool { return n.messages.Held() == 0 }, time.Second, time.Millisecond)
		})
	}
}

// Guards against another node whose responses never end.
func TestEndlessResponsesOfANodeAreBounded(t *testing.T) {
	const reply = `{"outcome":"answered"}`
	block := bytes.Repeat([]byte("x"), 32<<10)
	for name, respond := range map[string]func(w http.ResponseWriter, ended <-chan struct{}){
		"body": func(w http.ResponseWriter, _ <-chan struct{}) {
			w.Header().Set(hopHeader, reply)
			for {
				if _, err := w.Write(block); err != nil {
					return
				}
			}
		},
		"header fields": func(w http.ResponseWriter, _ <-chan struct{}) {
			w.Header().Set(hopHeader, reply)
			for i := range 100_000 {
				w.Header().Set(fmt.Sprint("X-", i), "x")
			}
		},
		"interim responses": func(w http.ResponseWriter, ended <-chan struct{}) {
			for {
				select {
				case <-ended:
					return
				default:
					w.WriteHeader(http.StatusEarlyHints)
				}
			}
		},
		"trailer": func(w http.ResponseWriter, _ <-chan struct{}) {
			w.Header().Set(hopHeader, reply)
			_, _ = io.WriteString(w, "x")
			for i := range 100_000 {
				w.Header().Set(fmt.Sprint(http.TrailerPrefix, "X-", i), "x")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			faulty := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == hopPath {
					respond(w, r.Context().Done())
				}
			}))
			n, other := newTestNode(t, 0), newTestNode(t, 1)
			n.messages = bounded.NewMemory(int64(messageMemoryShare * processMemory))
			config := testConfig()
			require.NoError(t, config.Prepare())
			n.Step(control.ConfigPublished{Config: config})
			other.heartbeat(1, 1)
			state := other.state()
			state.Announcement.CallAddress = addressOf(t, faulty)
			n.Step(control.PeerStateReceived{State: state})
			peak := watchHeap()
			began := time.Now()
			status, _, body := n.call(t, http.MethodPost, "/write/x", "r1")
			// net/http does not report trailers over its limit, so that the deadline ends them.
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, status, body)
			require.Less(t, time.Since(began), 2500*time.Millisecond, "the deadline is 2 s")
			require.Less(t, peak(), uint64(processMemory))
			require.Eventually(t, func() bool { return n.messages.Held() == 0 }, time.Second, time.Millisecond)
		})
	}
}
