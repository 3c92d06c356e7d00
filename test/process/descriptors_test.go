package process_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/testbed"
)

// keptCall sends a call on a connection that stays open.
func keptCall(conn net.Conn, reader *bufio.Reader, path string) (int, error) {
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: node\r\n\r\n", path); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against a node that says that it is ready while its callers have all connections
// that they may have, so that it accepts no other.
func TestNodeWithoutConnectionsForCallersIsNotReady(t *testing.T) {
	const connections = 12
	m := newFleet(t, fmt.Sprintf("\n[limits]\nconnections = %d\n", connections))
	m.add("courier", "v1", 1, 2)
	m.configure("courier")
	member := m.Members()[0]
	isReady := func() error { return testbed.Get(member.AdminURL()+"/heathercroft/v1/ready", nil) }
	require.NoError(t, isReady())
	conns, readers := make([]net.Conn, connections), make([]*bufio.Reader, connections)
	for i := range conns {
		var err error
		conns[i], err = net.Dial("tcp", strings.TrimPrefix(member.CallerURL(), "http://"))
		require.NoError(t, err)
		defer func() { _ = conns[i].Close() }()
		readers[i] = bufio.NewReader(conns[i])
		status, err := keptCall(conns[i], readers[i], "/courier")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	require.ErrorContains(t, isReady(), "503")
	for i := range conns {
		status, err := keptCall(conns[i], readers[i], "/courier")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	for _, conn := range conns[:connections/2] {
		require.NoError(t, conn.Close())
	}
	require.NoError(t, testbed.WaitFor(generous, isReady))
}
