package callpath

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against reuse of a connection while the HTTP client has buffered a second
// response to the last request.
func TestPoolSkipsConnectionsWithUnsolicitedResponses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go respondTwice(conn)
		}
	}()
	p := newPool(DefaultSettings())
	t.Cleanup(p.close)
	for i := range 2000 {
		conn, err := p.get(context.Background(), l.Addr().String(), false)
		require.NoError(t, err)
		path := "/" + strconv.Itoa(i)
		req, err := http.NewRequest("GET", "http://"+l.Addr().String()+path, nil)
		require.NoError(t, err)
		resp, err := conn.client.RoundTrip(req)
		if err != nil {
			// An unsolicited response that is detected in time costs only the
			// connection.
			p.put(conn, false)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, path, string(body))
		p.put(conn, true)
	}
}

func respondTwice(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
		_, _ = io.WriteString(conn, response+response)
	}
}

// Guards against uploads that take all slots or all places in the queue.
func TestUploadsLeaveSlotsForOthers(t *testing.T) {
	l := &limiter{now: func() time.Duration { return 0 }}
	l.resize(4)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 2 {
		require.Nil(t, l.acquire(ctx, true, 0))
	}
	require.Equal(t, CodeDeadline, l.acquire(ctx, true, DefaultSettings().QueueTimeout).Code)
	require.Equal(t, CodeQueueTimeout, l.acquire(context.Background(), true, 0).Code)
	for range 2 {
		require.Nil(t, l.acquire(ctx, false, 0))
	}
	inFlight, slots := l.load()
	require.Equal(t, []int{4, 4}, []int{inFlight, slots})
	l.release(true)
	require.Nil(t, l.acquire(ctx, false, 0), "a slot that an upload gave back")
	for range 3 {
		l.release(false)
	}
}

// Guards against bytes that arrive before a request was written and are taken for
// its response.
func TestBytesBeforeTheRequestAreRefused(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	conn := newWatchedConn(near, time.Second)
	go func() { _, _ = far.Write([]byte("HTTP/1.1 200 OK\r\n")) }()
	_, err := conn.Read(make([]byte, 64))
	require.ErrorIs(t, err, errUnsolicitedResponse)
	go func() { _, _ = io.CopyN(io.Discard, far, 4) }()
	_, err = conn.Write([]byte("GET "))
	require.NoError(t, err)
	go func() { _, _ = far.Write([]byte("HTTP/1.1 200 OK\r\n")) }()
	n, err := conn.Read(make([]byte, 64))
	require.NoError(t, err)
	require.Positive(t, n)
	conn.resetTimeout(time.Second)
	go func() { _, _ = far.Write([]byte("HTTP/1.1 200 OK\r\n")) }()
	_, err = conn.Read(make([]byte, 64))
	require.ErrorIs(t, err, errUnsolicitedResponse)
}
