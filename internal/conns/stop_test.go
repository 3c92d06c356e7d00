package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/conns"
)

// stopLimit is the limit of the stops that must end by themselves.
const stopLimit = 10 * time.Second

// stoppable serves a handler and returns its address and a function that stops it.
func stoppable(t *testing.T, handler http.HandlerFunc) (address string, stop func(limit time.Duration) error, tracker *conns.Tracker) {
	tracker = conns.New()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: handler, ConnState: tracker.SetState, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	served := make(chan error, 1)
	go func() { served <- server.Serve(tracker.Listen(l)) }()
	t.Cleanup(func() {
		_ = server.Close()
		require.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	stop = func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		return tracker.Stop(ctx, server.Shutdown)
	}
	return l.Addr().String(), stop, tracker
}

const getRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// Guards against a stop that takes its whole time although nothing waits for it: idle HTTP/2
// connections stay open for a second after GOAWAY, and callers may keep theirs for ever.
func TestStopEndsEarlyWhenNothingIsUnderWay(t *testing.T) {
	address, stop, tracker := stoppable(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	resp, err := http2Client(t).Get("http://" + address)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	kept := dial(t, address, getRequest)
	_, err = http.ReadResponse(bufio.NewReader(kept), nil)
	require.NoError(t, err)
	dial(t, address, "")
	require.Eventually(t, func() bool { return tracker.Summary() == conns.Summary{Idle: 3} }, 5*time.Second, time.Millisecond)
	started := time.Now()
	require.NoError(t, stop(stopLimit))
	require.Less(t, time.Since(started), 900*time.Millisecond)
}

// Guards against a request that net/http reads during its Shutdown and drops: a request that
// has begun to arrive when the stop begins is answered.
func TestStopAnswersARequestThatIsArriving(t *testing.T) {
	address, stop, _ := stoppable(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := dial(t, address, getRequest[:10])
	time.Sleep(20 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- stop(stopLimit) }()
	time.Sleep(50 * time.Millisecond)
	_, err := io.WriteString(c, getRequest[10:])
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NoError(t, <-stopped)
}

// Guards against a stop that ends before a slow peer has received its response, and against one
// that waits for ever for a peer that does not read.
func TestStopWaitsForPeersThatReceive(t *testing.T) {
	const size = 1 << 20
	for _, reads := range []bool{true, false} {
		t.Run(fmt.Sprintf("reads=%v", reads), func(t *testing.T) {
			address, stop, tracker := stoppable(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
			c := dial(t, address, getRequest)
			require.NoError(t, c.SetReadBuffer(64<<10))
			require.Eventually(t, func() bool { return tracker.Summary().Unacknowledged == 1 }, 5*time.Second, time.Millisecond)
			if !reads {
				require.ErrorIs(t, stop(500*time.Millisecond), context.DeadlineExceeded)
				// The log of the exit tells that the response was cut, whether it is written before
				// or after the connection is released at the same limit.
				for range 20 {
					summary := tracker.Summary()
					require.Equal(t, 1, summary.Unacknowledged, summary)
					require.Positive(t, summary.UnacknowledgedBytes)
					require.True(t, summary.Carries())
					time.Sleep(10 * time.Millisecond)
				}
				return
			}
			stopped := make(chan error, 1)
			go func() { stopped <- stop(stopLimit) }()
			time.Sleep(300 * time.Millisecond)
			select {
			case <-stopped:
				t.Fatal("the stop ended before the response was received")
			default:
			}
			// A request behind the response must not reset the connection.
			_, err := io.WriteString(c, getRequest)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			n, err := io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			require.EqualValues(t, size, n)
			require.NoError(t, c.Close())
			require.NoError(t, <-stopped)
		})
	}
}

// Guards against a peer that is gone and delays the stop.
func TestStopDoesNotWaitForAPeerThatIsGone(t *testing.T) {
	address, stop, tracker := stoppable(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) })
	c := dial(t, address, getRequest)
	require.NoError(t, c.SetReadBuffer(4<<10))
	require.Eventually(t, func() bool { return tracker.Summary().Unacknowledged == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, c.CloseWrite())
	time.Sleep(20 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- stop(stopLimit) }()
	time.Sleep(100 * time.Millisecond)
	// The close resets the connection, since bytes are unread.
	require.NoError(t, c.Close())
	started := time.Now()
	require.NoError(t, <-stopped)
	require.Less(t, time.Since(started), time.Second)
}

// Guards against the reset of a connection whose request was refused before it was read: the
// response may be on its way.
func TestCloseReadsTheRestOfARefusedRequest(t *testing.T) {
	address, stop, tracker := stoppable(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	const size = 4 << 20
	c := dial(t, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size))
	sent := make(chan error, 1)
	go func() { _, err := c.Write(make([]byte, size)); sent <- err }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.NoError(t, stop(stopLimit))
	require.NoError(t, <-sent)
	require.Zero(t, tracker.Summary().ClosedUnread)
}
