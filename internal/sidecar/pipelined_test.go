package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pipeline sends the requests of one connection at once and returns its reader.
func (n *testNode) pipeline(t *testing.T, paths ...string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", n.outbound.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	for i, p := range paths {
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.test\r\nX-Id: p%d\r\nX-Left: 2000\r\n\r\n", p, i)
		require.NoError(t, err)
	}
	return conn, bufio.NewReader(conn)
}

func readPipelined(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

// Guards against requests that lose their time behind a slow response on their connection:
// each has its deadline from its own arrival, and responses keep their order.
func TestPipelinedRequestsDoNotWaitForEachOther(t *testing.T) {
	n := newMesh(t, 1)[0]
	release := make(chan struct{})
	n.target.serve(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/0" {
			<-release
		}
		w.Header().Set("X-Signature", "s")
		_, _ = io.WriteString(w, r.URL.Path)
	})
	_, reader := n.pipeline(t, "/read/0", "/read/1", "/read/2", "/none/3")
	running := assert.Eventually(t, func() bool { return n.target.runs.Load() == 3 }, time.Second, time.Millisecond)
	close(release)
	require.True(t, running)
	for i, want := range []string{"/read/0", "/read/1", "/read/2", ""} {
		resp, body := readPipelined(t, reader)
		require.Equal(t, fmt.Sprint("p", i), resp.Header.Get("X-Id"))
		if want == "" {
			require.Equal(t, http.StatusNotFound, resp.StatusCode)
			continue
		}
		require.Equal(t, want, body)
	}
}

// Guards against a request that times out and takes the responses behind it with it.
func TestPipelinedRequestsBehindATimeoutAreAnswered(t *testing.T) {
	n := newMesh(t, 1)[0]
	n.target.serve(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/0" {
			<-r.Context().Done()
			return
		}
		w.Header().Set("X-Signature", "s")
		_, _ = io.WriteString(w, r.URL.Path)
	})
	_, reader := n.pipeline(t, "/read/0", "/read/1")
	resp, _ := readPipelined(t, reader)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	_, body := readPipelined(t, reader)
	require.Equal(t, "/read/1", body)
}

// Guards against cutting off requests that were just accepted: in a planned stop, the
// connection closes after the last of them is answered.
func TestPlannedStopAnswersPipelinedRequests(t *testing.T) {
	n := newMesh(t, 1)[0]
	release := make(chan struct{})
	n.target.serve(func(w http.ResponseWriter, r *http.Request) {
		<-release
		w.Header().Set("X-Signature", "s")
		_, _ = io.WriteString(w, r.URL.Path)
	})
	_, reader := n.pipeline(t, "/read/0", "/read/1", "/read/2")
	running := assert.Eventually(t, func() bool { return n.target.runs.Load() == 3 }, time.Second, time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- n.drain(t.Context()) }()
	closing := assert.Eventually(t, n.closing.Load, 5*time.Second, time.Millisecond)
	close(release)
	require.True(t, running && closing)
	for i := range 3 {
		resp, body := readPipelined(t, reader)
		require.Equal(t, fmt.Sprint("/read/", i), body)
		require.Equal(t, i == 2, resp.Close)
	}
	_, err := reader.Peek(1)
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, <-drained)
}
