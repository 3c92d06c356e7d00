package pipeline_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"heathercroft.example/heathercroft/internal/pipeline"
)

const testTimeout = 5 * time.Second

// fixture is a server whose responses the test releases by the path of the request.
type fixture struct {
	*httptest.Server
	mu      sync.Mutex
	gates   map[string]chan struct{}
	running map[string]bool
	left    map[string]bool
	ran     []string
	closes  atomic.Bool
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{gates: map[string]chan struct{}{}, running: map[string]bool{}, left: map[string]bool{}}
	handler := pipeline.NewHandler(http.HandlerFunc(f.serve), pipeline.Options{
		Concurrent:  func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/safe") },
		MaxRequests: 4, MaxHeaderBytes: 8 << 10, HeaderTimeout: testTimeout, IdleTimeout: testTimeout,
		Logger: slog.New(slog.DiscardHandler),
	})
	f.Server = httptest.NewUnstartedServer(handler)
	f.Listener = pipeline.Listen(f.Listener)
	f.Config.ConnContext = pipeline.ConnContext
	f.Start()
	t.Cleanup(f.Close)
	return f
}

func (f *fixture) gate(path string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gates[path] == nil {
		f.gates[path] = make(chan struct{})
	}
	return f.gates[path]
}

func (f *fixture) release(path string) { close(f.gate(path)) }

func (f *fixture) isRunning(path string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[path]
}

func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	body, err := io.ReadAll(r.Body)
	f.mu.Lock()
	f.running[path] = true
	f.ran = append(f.ran, path)
	f.mu.Unlock()
	select {
	case <-f.gate(path):
	case <-r.Context().Done():
		f.mu.Lock()
		f.left[path] = true
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	switch {
	case strings.HasSuffix(path, "abort"):
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(path, "panic"):
		panic("unexpected")
	case strings.HasSuffix(path, "short"):
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "short")
		return
	case strings.HasSuffix(path, "chunked"):
		_, _ = io.WriteString(w, "chunked ")
	}
	if f.closes.Load() || strings.HasSuffix(path, "close") {
		w.Header().Set("Connection", "close")
	}
	text := path + string(body)
	if !strings.HasSuffix(path, "chunked") {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	}
	if err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
	}
	if r.Method != http.MethodHead {
		_, _ = io.WriteString(w, text)
	}
}

type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial(t *testing.T) *client {
	conn, err := net.Dial("tcp", f.Listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = conn.Close() })
	return &client{t, conn, bufio.NewReader(conn)}
}

func (c *client) send(requests ...string) {
	var text strings.Builder
	for _, r := range requests {
		method, path, _ := strings.Cut(r, " ")
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: h\r\n", method, path)
		if method == "POST" {
			text.WriteString("Content-Length: 5\r\n\r\n+body")
			continue
		}
		text.WriteString("\r\n")
	}
	_, err := io.WriteString(c, text.String())
	require.NoError(c.t, err)
}

func (c *client) receive() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func (c *client) expect(bodies ...string) (last *http.Response) {
	for _, want := range bodies {
		resp, body, err := c.receive()
		require.NoError(c.t, err)
		require.Equal(c.t, want, body)
		last = resp
	}
	return last
}

func (f *fixture) waitRunning(t *testing.T, paths ...string) {
	for _, p := range paths {
		require.Eventually(t, func() bool { return f.isRunning(p) }, testTimeout, time.Millisecond, p)
	}
}

// Guards against requests that wait for the response to the one before them, and against
// responses in another order than the requests.
func TestRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	for name, send := range map[string]func(*client){
		"in one segment": func(c *client) { c.send("GET /safe/1", "GET /safe/2", "GET /safe/3chunked") },
		"one by one": func(c *client) {
			for _, r := range []string{"GET /safe/1", "GET /safe/2", "GET /safe/3chunked"} {
				c.send(r)
				time.Sleep(10 * time.Millisecond)
			}
		},
		"byte by byte": func(c *client) {
			for _, b := range []byte("GET /safe/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /safe/2 HTTP/1.1\r\nHost: h\r\n\r\nGET /safe/3chunked HTTP/1.1\r\nHost: h\r\n\r\n") {
				_, err := c.Write([]byte{b})
				require.NoError(c.t, err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c := f.dial(t)
			send(c)
			f.waitRunning(t, "/safe/1", "/safe/2", "/safe/3chunked")
			f.release("/safe/3chunked")
			f.release("/safe/2")
			time.Sleep(10 * time.Millisecond)
			f.release("/safe/1")
			c.expect("/safe/1", "/safe/2", "chunked /safe/3chunked")
			f.release("/safe/4")
			c.send("GET /safe/4")
			c.expect("/safe/4")
		})
	}
}

// Guards against running a request twice: one that must not run twice counts as not read
// if a response before it closes the connection, so that it must not have started.
func TestRequestThatMustNotRunTwiceWaitsForTheResponsesBeforeIt(t *testing.T) {
	f := newFixture(t)
	c := f.dial(t)
	c.send("GET /safe/1", "GET /safe/2close", "POST /once/3")
	f.waitRunning(t, "/safe/1", "/safe/2close")
	time.Sleep(20 * time.Millisecond)
	require.False(t, f.isRunning("/once/3"))
	f.release("/once/3")
	f.release("/safe/1")
	f.release("/safe/2close")
	resp := c.expect("/safe/1", "/safe/2close")
	require.True(t, resp.Close)
	_, err := c.reader.Peek(1)
	require.ErrorIs(t, err, io.EOF, "the connection must close after the response that says so")
	require.False(t, f.isRunning("/once/3"))
}

// Guards against closing the connection before the requests that were started have their
// responses: a planned stop makes each response ask for it.
func TestOnlyTheLastResponseClosesTheConnection(t *testing.T) {
	f := newFixture(t)
	c := f.dial(t)
	c.send("GET /safe/1", "GET /safe/2", "GET /safe/3")
	f.waitRunning(t, "/safe/1", "/safe/2", "/safe/3")
	f.closes.Store(true)
	for _, p := range []string{"/safe/1", "/safe/2", "/safe/3"} {
		f.release(p)
		require.Equal(t, p == "/safe/3", c.expect(p).Close, p)
	}
	_, err := c.reader.Peek(1)
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a response that breaks off and looks complete, and against answering a
// request with the rest of another response: the connection ends, and work behind it too.
func TestIncompleteResponseEndsTheConnection(t *testing.T) {
	for _, kind := range []string{"abort", "short", "panic"} {
		t.Run(kind, func(t *testing.T) {
			f := newFixture(t)
			c := f.dial(t)
			c.send("GET /safe/1", "GET /safe/"+kind, "GET /safe/3")
			f.waitRunning(t, "/safe/1", "/safe/"+kind, "/safe/3")
			f.release("/safe/" + kind)
			f.release("/safe/1")
			c.expect("/safe/1")
			_, _, err := c.receive()
			require.Error(t, err)
			require.Eventually(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.left["/safe/3"]
			}, testTimeout, time.Millisecond, "work for a response that cannot be delivered must end")
			other := f.dial(t)
			f.release("/safe/4")
			other.send("GET /safe/4")
			other.expect("/safe/4")
		})
	}
}

// Guards against work for a client that left.
func TestWorkEndsWhenTheClientLeaves(t *testing.T) {
	f := newFixture(t)
	c := f.dial(t)
	c.send("GET /safe/1", "GET /safe/2")
	f.waitRunning(t, "/safe/1", "/safe/2")
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.left["/safe/1"] && f.left["/safe/2"]
	}, 500*time.Millisecond, time.Millisecond)
}

// Guards against unbounded memory for the requests of one connection.
func TestRequestsBeyondTheLimitWait(t *testing.T) {
	f := newFixture(t)
	c := f.dial(t)
	c.send("GET /safe/1", "GET /safe/2", "GET /safe/3", "GET /safe/4", "GET /safe/5")
	f.waitRunning(t, "/safe/1", "/safe/2", "/safe/3", "/safe/4")
	time.Sleep(20 * time.Millisecond)
	require.False(t, f.isRunning("/safe/5"))
	f.release("/safe/1")
	f.waitRunning(t, "/safe/5")
	for i := 2; i <= 5; i++ {
		f.release(fmt.Sprint("/safe/", i))
	}
	c.expect("/safe/1", "/safe/2", "/safe/3", "/safe/4", "/safe/5")
}

// Guards the framing of requests: a body belongs to its request, and what follows it is the
// next request.
func TestBodiesOnATakenOverConnection(t *testing.T) {
	f := newFixture(t)
	c := f.dial(t)
	c.send("GET /safe/1", "GET /safe/2", "POST /once/3", "GET /safe/4", "HEAD /safe/5", "GET /safe/6")
	for i, kind := range []string{"safe", "safe", "once", "safe", "safe", "safe"} {
		f.release(fmt.Sprintf("/%s/%d", kind, i+1))
	}
	c.expect("/safe/1", "/safe/2", "/once/3+body", "/safe/4")
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	require.NoError(t, err)
	require.EqualValues(t, len("/safe/5"), resp.ContentLength)
	c.expect("/safe/6")
	once := slices.Index(f.ran, "/once/3")
	require.Less(t, slices.Index(f.ran, "/safe/1"), once)
	require.Less(t, slices.Index(f.ran, "/safe/2"), once)
}

// Guards against endless or malformed heads behind a request: they get an error after the
// responses before them, and nothing behind them is read.
func TestUnreadableRequestIsAnsweredInTurn(t *testing.T) {
	for name, test := range map[string]struct {
		head   string
		status int
	}{
		"malformed": {"nonsense\r\n\r\n", http.StatusBadRequest},
		"no host":   {"GET /safe/x HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"too large": {"GET /safe/x HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c := f.dial(t)
			c.send("GET /safe/1", "GET /safe/2")
			f.waitRunning(t, "/safe/1", "/safe/2")
			_, err := io.WriteString(c, test.head)
			require.NoError(t, err)
			f.release("/safe/1")
			f.release("/safe/2")
			c.expect("/safe/1", "/safe/2")
			resp, _, err := c.receive()
			require.NoError(t, err)
			require.Equal(t, test.status, resp.StatusCode)
			require.True(t, resp.Close)
		})
	}
}

// Guards against goroutines that outlive their connection.
func TestNoGoroutineIsLeft(t *testing.T) {
	existing := goleak.IgnoreCurrent()
	f := newFixture(t)
	for i, f2 := range []func(*client){
		func(c *client) { require.NoError(t, c.Close()) },
		func(c *client) {
			f.release("/safe/1-1")
			f.release("/safe/1-2close")
			c.expect("/safe/1-1", "/safe/1-2close")
		},
	} {
		c := f.dial(t)
		first, second := fmt.Sprintf("/safe/%d-1", i), fmt.Sprintf("/safe/%d-2close", i)
		c.send("GET "+first, "GET "+second)
		f.waitRunning(t, first, second)
		f2(c)
		_ = c.Close()
	}
	f.Close()
	goleak.VerifyNone(t, existing)
}

// Measures the requests of one connection with 8 of them sent ahead.
func BenchmarkPipelinedRequests(b *testing.B) {
	handler := pipeline.NewHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
	}), pipeline.Options{
		Concurrent: func(*http.Request) bool { return true }, MaxRequests: 16, MaxHeaderBytes: 8 << 10,
		HeaderTimeout: testTimeout, IdleTimeout: testTimeout, Logger: slog.New(slog.DiscardHandler),
	})
	server := httptest.NewUnstartedServer(handler)
	server.Listener = pipeline.Listen(server.Listener)
	server.Config.ConnContext = pipeline.ConnContext
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(b, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	const ahead = 8
	request := strings.Repeat("GET /x HTTP/1.1\r\nHost: h\r\n\r\n", ahead)
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(conn, request)
		require.NoError(b, err)
		for range ahead {
			resp, err := http.ReadResponse(reader, nil)
			require.NoError(b, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	b.ReportMetric(float64(b.N*ahead)/b.Elapsed().Seconds(), "requests/s")
}
