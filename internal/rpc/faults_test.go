package rpc_test

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/rpc"
)

// panicking panics for the method "panic".
type panicking struct{}

func (panicking) HandleRPC(_ context.Context, method string, params json.RawMessage) (any, error) {
	if method == "panic" {
		panic("unexpected")
	}
	return params, nil
}

// failingListener fails its first accepts.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against a message of a peer, or a lack of file descriptors, that takes the whole
// process down: the call fails, and later ones succeed on the same connection.
func TestPanicAndFailedAcceptDoNotStopTheServer(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &failingListener{Listener: inner}
	listener.failures.Store(3)
	counters := &rpc.Counters{}
	server := rpc.NewServer(listener, panicking{}, counters)
	done := make(chan error, 1)
	go func() { done <- server.Start(context.Background()) }()
	client := rpc.NewClient(&rpc.Counters{}, netip.Addr{})
	defer client.Close()
	address := netip.MustParseAddrPort(inner.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for range 2 {
		err = client.Call(ctx, address, "panic", "x", nil)
		require.True(t, errors.Is(err, rpc.ErrRemote), "%v", err)
		var reply string
		require.NoError(t, client.Call(ctx, address, "echo", "y", &reply))
		require.Equal(t, "y", reply)
	}
	require.EqualValues(t, 2, counters.Panics.Load())
	require.NoError(t, server.Stop(ctx))
	require.NoError(t, <-done)
}
