package rpc_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/rpc"
)

type echo struct{}

func (echo) HandleRPC(_ context.Context, method string, params json.RawMessage) (any, error) {
	if method != "echo" {
		return nil, rpc.ErrUnknownMethod
	}
	return params, nil
}

func startServer(t *testing.T) (netip.AddrPort, *rpc.Counters) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	counters := &rpc.Counters{}
	server := rpc.NewServer(listener, echo{}, counters)
	done := make(chan error, 1)
	go func() { done <- server.Start(context.Background()) }()
	t.Cleanup(func() {
		_ = server.Stop(context.Background())
		require.NoError(t, <-done)
	})
	return netip.MustParseAddrPort(listener.Addr().String()), counters
}

// Guards against a response that is lost or delivered to another call.
func TestCallReturnsItsOwnResponse(t *testing.T) {
	peer, _ := startServer(t)
	counters := &rpc.Counters{}
	client := rpc.NewClient(counters, netip.Addr{})
	t.Cleanup(client.Close)
	results := make(chan error, 50)
	for i := range 50 {
		go func() {
			var got int
			err := client.Call(context.Background(), peer, "echo", i, &got)
			if err == nil && got != i {
				err = context.DeadlineExceeded
			}
			results <- err
		}()
	}
	for range 50 {
		require.NoError(t, <-results)
	}
	require.Positive(t, counters.Written.Load())
	require.ErrorIs(t, client.Call(context.Background(), peer, "other", 1, nil), rpc.ErrRemote)
}

// Guards against a caller that waits forever on an unresponsive connection, and
// against that connection being reused.
func TestUnresponsivePeerIsUnreachableInBoundedTime(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	client := rpc.NewClient(&rpc.Counters{}, netip.Addr{})
	t.Cleanup(client.Close)
	peer := netip.MustParseAddrPort(listener.Addr().String())
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		require.ErrorIs(t, client.Call(ctx, peer, "echo", 1, nil), rpc.ErrUnreachable)
		cancel()
		_ = (<-accepted).Close()
	}
}

// Guards against a malformed or oversized message that stops the server, and against
// memory being allocated for the length that an oversized message declares.
func TestMalformedMessageIsCountedAndServerContinues(t *testing.T) {
	peer, counters := startServer(t)
	for _, message := range [][]byte{
		binary.AppendUvarint(nil, rpc.MaxMessageSize+1),
		append(binary.AppendUvarint(nil, 5), "{oops"...),
	} {
		before := counters.Malformed.Load()
		conn, err := net.Dial("tcp", peer.String())
		require.NoError(t, err)
		_, err = conn.Write(message)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return counters.Malformed.Load() == before+1 }, 5*time.Second, time.Millisecond)
		_ = conn.Close()
	}
	client := rpc.NewClient(&rpc.Counters{}, netip.Addr{})
	t.Cleanup(client.Close)
	var got string
	require.NoError(t, client.Call(context.Background(), peer, "echo", "still here", &got))
	require.Equal(t, "still here", got)
}
