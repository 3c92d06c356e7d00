package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/settings"
	"heathercroft.example/heathercroft/internal/testbed"
)

// Guards against heads and bodies of the platform without end: the request must fail, and the
// bytes must not be kept. A node has 32 MB for control.
func TestEndlessResponseOfThePlatformIsAnError(t *testing.T) {
	const maxHeap = 32 << 20
	for name, test := range map[string]struct{ head, repeated string }{
		"header field":     {"HTTP/1.1 200 OK\r\nX-Pad: ", "x"},
		"header fields":    {"HTTP/1.1 200 OK\r\n", "X: \r\n"},
		"interim response": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"length":           {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		"no length":        {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"trailer":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-Pad: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			ended := make(chan struct{}, 8)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { ended <- struct{}{} }()
						defer func() { _ = conn.Close() }()
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
							return
						}
						_, err := io.WriteString(conn, test.head)
						for block := strings.Repeat(test.repeated, 32<<10/len(test.repeated)); err == nil; {
							_, err = io.WriteString(conn, block)
						}
					}()
				}
			}()
			client := platformClient(settings.Platform{
				URL: settings.BaseURL{Address: netip.MustParseAddrPort(listener.Addr().String())}, AppendTimeout: settings.Duration(time.Second),
			}, netip.Addr{})
			peak := testbed.HeapGrowth()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err = client.Read(ctx, "s", 0, 10, time.Second)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "the end of the time must not be what ends the request")
			require.Less(t, peak(), int64(maxHeap))
			select {
			case <-ended:
			case <-time.After(time.Second):
				t.Fatal("the connection must be closed")
			}
		})
	}
}
