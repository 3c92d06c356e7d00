package callpath_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/app"
	"heathercroft.example/heathercroft/internal/callpath"
)

// Guards against an HTTP server of the daemons whose response writer lacks what
// the call path needs: flushing, full duplex and read deadlines.
func TestDaemonServerSupportsCallPath(t *testing.T) {
	m := newMesh(t)
	m.add("node-b", rawTarget(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 100000\r\n\r\npart")
			_, _ = io.Copy(io.Discard, conn)
		}
	}), fastSettings())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := app.HTTPServer("callers", listener, m.nodes["node-b"].CallHandler())
	callpath.ConfigureServer(server.Server.Server)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Start(context.Background()) }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.NoError(t, <-stopped)
	})
	reader, writer := io.Pipe()
	t.Cleanup(func() { _ = writer.Close() })
	req, err := http.NewRequest("POST", "http://"+listener.Addr().String()+"/courier", reader)
	require.NoError(t, err)
	go func() { _, _ = writer.Write([]byte("start")) }()
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	first := make([]byte, 4)
	_, err = io.ReadFull(resp.Body, first)
	require.NoError(t, err, "the first part is flushed")
	// The response is too long for prefetch. The target makes no further progress,
	// so the response must end with an error.
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
}
