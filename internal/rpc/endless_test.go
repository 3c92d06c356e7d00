package rpc_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/rpc"
	"heathercroft.example/heathercroft/internal/testbed"
)

// maxEndlessHeap is the most memory in bytes that a message of any length may need.
const maxEndlessHeap = 32 << 20

// message returns a text with its length in front.
func message(text string) string {
	return string(binary.AppendUvarint(nil, uint64(len(text)))) + text
}

// endlessMessages are bytes without end that are no response, by name: head is sent once,
// repeated until the connection is closed.
var endlessMessages = map[string]struct{ head, repeated string }{
	"length":               {"", "\xff"},
	"too long":             {string(binary.AppendUvarint(nil, 1<<40)), "x"},
	"string":               {string(binary.AppendUvarint(nil, rpc.MaxMessageSize)) + `{"jsonrpc":"2.0","id":0,"result":"`, "x"},
	"spaces":               {string(binary.AppendUvarint(nil, rpc.MaxMessageSize)), " "},
	"nesting":              {string(binary.AppendUvarint(nil, rpc.MaxMessageSize)) + `{"jsonrpc":"2.0","id":0,"result":`, "["},
	"responses to no call": {"", message(`{"jsonrpc":"2.0","id":77,"result":"x"}`)},
	"notifications":        {"", message(`{"jsonrpc":"2.0","method":"x","params":"x"}`)},
	"requests":             {"", message(`{"jsonrpc":"2.0","id":1,"method":"x","params":"x"}`)},
}

// Guards against a peer that sends bytes without end instead of a response: the call must end
// in time, and the bytes must be neither kept nor read for ever.
func TestEndlessBytesOfAPeerEndTheCall(t *testing.T) {
	for name, test := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			ended := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer close(ended)
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, test.head)
				for block := strings.Repeat(test.repeated, 32<<10/len(test.repeated)); err == nil; {
					_, err = io.WriteString(conn, block)
				}
			}()
			client := rpc.NewClient(&rpc.Counters{}, netip.Addr{})
			t.Cleanup(client.Close)
			peak := testbed.HeapGrowth()
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			began := time.Now()
			err = client.Call(ctx, netip.MustParseAddrPort(listener.Addr().String()), "echo", 1, nil)
			require.ErrorIs(t, err, rpc.ErrUnreachable)
			require.Less(t, time.Since(began), 2*time.Second)
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection must be closed")
			}
			require.Less(t, peak(), int64(maxEndlessHeap))
		})
	}
}

// Guards against bytes without end from a peer that use up the memory of the node that it
// calls, or its attention for the calls of others.
func TestEndlessBytesToTheServerLeaveOthersServed(t *testing.T) {
	for name, test := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			peer, _ := startServer(t)
			peak := testbed.HeapGrowth()
			conn, err := net.Dial("tcp", peer.String())
			require.NoError(t, err)
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				_, err := io.WriteString(conn, test.head)
				for block := strings.Repeat(test.repeated, 32<<10/len(test.repeated)); err == nil; {
					_, err = io.WriteString(conn, block)
				}
			}()
			client := rpc.NewClient(&rpc.Counters{}, netip.Addr{})
			t.Cleanup(client.Close)
			duration := 500 * time.Millisecond
			if name == "requests" {
				// Their responses are not read, until a write fails.
				duration = 2500 * time.Millisecond
			}
			for began := time.Now(); time.Since(began) < duration; {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				var got string
				require.NoError(t, client.Call(ctx, peer, "echo", "still here", &got))
				cancel()
			}
			_ = conn.Close()
			<-stopped
			require.Less(t, peak(), int64(maxEndlessHeap))
		})
	}
}
