package conns_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/conns"
)

// serve serves a handler at a tracked listener and returns its address.
func serve(t *testing.T, tracker *conns.Tracker, handler http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: handler, ConnState: tracker.SetState, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(tracker.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func dial(t *testing.T, address, send string) *net.TCPConn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, send)
	require.NoError(t, err)
	return c.(*net.TCPConn)
}

func http2Client(t *testing.T) *http.Client {
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Guards the log line of a stop, which tells a response that was not sent from one that was
// not received, and both from connections that carry nothing.
func TestSummaryTellsWhatConnectionsCarry(t *testing.T) {
	const get = "GET /%s HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, test := range map[string]struct {
		open func(t *testing.T, address string)
		want func(conns.Summary) bool
	}{
		"new": {func(t *testing.T, a string) { dial(t, a, "") }, func(s conns.Summary) bool { return s == conns.Summary{Idle: 1} }},
		"idle": {
			func(t *testing.T, a string) {
				_, err := http.ReadResponse(bufio.NewReader(dial(t, a, fmt.Sprintf(get, ""))), nil)
				require.NoError(t, err)
			},
			func(s conns.Summary) bool { return s == conns.Summary{Idle: 1} },
		},
		"request": {
			func(t *testing.T, a string) { dial(t, a, fmt.Sprintf(get, "wait")) },
			func(s conns.Summary) bool { return s == conns.Summary{Requests: 1} },
		},
		"taken over": {
			func(t *testing.T, a string) { dial(t, a, fmt.Sprintf(get, "hijack")) },
			func(s conns.Summary) bool { return s == conns.Summary{Pipelined: 1} },
		},
		"stream": {
			func(t *testing.T, a string) {
				go func() {
					if resp, err := http2Client(t).Get("http://" + a + "/wait"); err == nil {
						_ = resp.Body.Close()
					}
				}()
			},
			func(s conns.Summary) bool { return s == conns.Summary{Streams: 1} },
		},
		"unacknowledged": {
			func(t *testing.T, a string) {
				require.NoError(t, dial(t, a, fmt.Sprintf(get, "large")).SetReadBuffer(4<<10))
			},
			func(s conns.Summary) bool {
				return s.Unacknowledged == 1 && s.UnacknowledgedBytes > 1<<10 && s.Carries()
			},
		},
		"unread": {
			func(t *testing.T, a string) {
				dial(t, a, "POST /wait HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"+string(make([]byte, 90000)))
			},
			func(s conns.Summary) bool { return s.Requests == 1 && s.Unread == 1 },
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, release := conns.New(), make(chan struct{})
			address := serve(t, tracker, func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/wait":
					<-release
				case "/large":
					_, _ = w.Write(make([]byte, 16<<20))
				case "/hijack":
					c, _, err := http.NewResponseController(w).Hijack()
					if err == nil {
						<-release
						_ = c.Close()
					}
				}
			})
			t.Cleanup(func() { close(release) })
			test.open(t, address)
			require.Eventually(t, func() bool { return test.want(tracker.Summary()) }, 5*time.Second, 5*time.Millisecond, "%+v", tracker)
			require.Equal(t, name != "new" && name != "idle", tracker.Summary().Carries())
		})
	}
}
