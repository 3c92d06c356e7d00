package descriptors_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/conns"
	"heathercroft.example/heathercroft/internal/descriptors"
)

// Guards against callers that use up the descriptors of a process: beyond their part, no
// connection is accepted until another one is closed, and the process says that it is short.
func TestCallersCannotUseAllDescriptors(t *testing.T) {
	const limit, callers = 2000, 1000
	g := descriptors.NewGuard(limit, 0)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := g.Callers(inner)
	accepted := make(chan net.Conn, callers+1)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	clients := make([]net.Conn, callers+1)
	served := make([]net.Conn, callers)
	for i := range clients {
		clients[i], err = net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = clients[i].Close() })
		if i < callers {
			served[i] = <-accepted
		}
		if i == callers-2 {
			require.False(t, g.Short())
		}
	}
	select {
	case <-accepted:
		t.Fatal("a connection too many was accepted")
	case <-time.After(50 * time.Millisecond):
	}
	require.True(t, g.Short(), "before the next check")
	s, short, changed, err := g.Check()
	require.NoError(t, err)
	require.True(t, short && changed)
	require.Equal(t, descriptors.State{Open: s.Open, Limit: limit, Callers: callers, CallerLimit: callers}, s)
	require.Greater(t, s.Open, 2*callers)

	require.NoError(t, served[0].Close())
	require.Error(t, served[0].Close(), "a second close must free nothing")
	served[0] = <-accepted
	require.True(t, g.Short())
	for _, c := range served[:callers/2] {
		require.NoError(t, c.Close())
	}
	for _, c := range clients {
		_ = c.Close()
	}
	_, short, changed, err = g.Check()
	require.NoError(t, err)
	require.True(t, !short && changed)
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}

// Guards against an accept that is not ended by the close of a listener whose callers have
// all connections.
func TestFullListenerCanBeClosed(t *testing.T) {
	g := descriptors.NewGuard(2, 0)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := g.Callers(inner)
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	c, err := l.Accept()
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
	require.NoError(t, c.(interface{ CloseWrite() error }).CloseWrite())
	_, err = client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, client.Close())
	require.NoError(t, c.Close())
}

// Guards against a limit of callers that is ignored, or that takes descriptors which are
// reserved.
func TestLowerLimitOfCallersApplies(t *testing.T) {
	for _, test := range []struct{ limit, maxCallers, want int }{
		{0, 0, 0}, {0, 7, 7}, {4100, 0, 3076}, {4100, 10, 10}, {4100, 4096, 3076}, {1000, 0, 500},
	} {
		s, short, _, err := descriptors.NewGuard(test.limit, test.maxCallers).Check()
		require.NoError(t, err)
		require.Equal(t, test.want, s.CallerLimit)
		require.False(t, short)
	}
}

// Guards against callers that use up the descriptors through connections that are closed here, and
// that they leave open.
func TestClosedConnectionsCountUntilTheirDescriptorIsFree(t *testing.T) {
	const callers = 10
	g := descriptors.NewGuard(0, callers)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := g.Callers(conns.New().Listen(inner))
	t.Cleanup(func() { _ = l.Close() })
	for range callers {
		client, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		c, err := l.Accept()
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	require.True(t, g.Short())
	require.Eventually(t, func() bool { return !g.Short() }, 5*time.Second, 10*time.Millisecond)
}
