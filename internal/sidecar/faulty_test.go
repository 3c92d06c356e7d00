package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
)

// divertingListener gives connections to serve, if it is set, instead of to the server. The address
// of a target stays in use, so that no other test can take it.
type divertingListener struct {
	net.Listener
	serve atomic.Pointer[func(net.Conn)]
}

// Accept implements net.Listener.
func (l *divertingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		serve := l.serve.Load()
		if serve == nil {
			return conn, nil
		}
		go func() {
			defer func() { _ = conn.Close() }()
			(*serve)(conn)
		}()
	}
}

// serveConns replaces the target of a node by one that handles connections.
func (n *testNode) serveConns(serve func(net.Conn)) {
	n.target.listener.serve.Store(&serve)
	n.target.CloseClientConnections()
}

// serveRaw replaces the target of a node by one that answers with raw bytes. exchange is called with
// each request, its number on the connection from 0 on, and the connection.
func (n *testNode) serveRaw(exchange func(r *http.Request, number int, conn net.Conn) (keep bool)) {
	n.serveConns(func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for number := 0; ; number++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.ReadAll(r.Body); err != nil {
				return
			}
			if !exchange(r, number, conn) {
				return
			}
		}
	})
}

// Guards against telling a caller that its request did not run, or running it at a second
// target, because a faulty target wrote its refusal of an earlier request once more on a kept
// connection. The request may be the same one, sent again after the refusal.
func TestRepeatedRefusalIsNotTakenForTheNextRequest(t *testing.T) {
	for name, refusedID := range map[string]string{"with its id": "r0", "without an id": "", "of the same request": "r1"} {
		t.Run(name, func(t *testing.T) {
			nodes := newMesh(t, 2)
			refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
			if refusedID != "" {
				refusal += "X-Id: " + refusedID + "\r\n"
			}
			nodes[0].serveRaw(func(r *http.Request, number int, conn net.Conn) bool {
				id := r.Header.Get("X-Id")
				if number == 0 && strings.HasSuffix(r.URL.Path, "/refuse") {
					_, err := io.WriteString(conn, refusal+"\r\n")
					return err == nil
				}
				if number > 0 {
					_, err := io.WriteString(conn, refusal+"\r\n")
					require.NoError(t, err)
					time.Sleep(20 * time.Millisecond)
				}
				_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok", id)
				return err == nil
			})
			nodes[1].Step(control.TargetLeaving{ID: "target-1"})
			nodes[0].Step(control.PeerStateReceived{State: nodes[1].state()})
			first := "r0"
			if refusedID == "r1" {
				first = "r1"
			}
			status, _, _ := nodes[0].call(t, http.MethodPost, "/write/refuse", first)
			require.Equal(t, http.StatusServiceUnavailable, status)
			status, _, body := nodes[0].call(t, http.MethodPost, "/write/x", "r1")
			require.NotEqual(t, http.StatusServiceUnavailable, status, "the request ran: %s", body)
			require.Zero(t, nodes[1].target.runs.Load(), "a request that ran must not run at another target")
		})
	}
}

// Guards against a refusal without an id that follows complete responses on a kept connection:
// it may belong to any earlier request.
func TestRefusalWithoutAnIDOnAKeptConnectionProvesNothing(t *testing.T) {
	n := newMesh(t, 1)[0]
	n.serveRaw(func(r *http.Request, number int, conn net.Conn) bool {
		if number > 0 {
			_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("X-Id"))
		return err == nil
	})
	status, _, _ := n.call(t, http.MethodPost, "/write/x", "r0")
	require.Equal(t, http.StatusOK, status)
	status, _, body := n.call(t, http.MethodPost, "/write/x", "r1")
	require.NotEqual(t, http.StatusServiceUnavailable, status, "the request ran: %s", body)
}

// Guards against a success that is made of a response whose head breaks off: a target stops in
// the middle of the head and closes the connection, and what was read so far looks like a
// response without a body.
func TestResponseWhoseHeadBreaksOffIsNotDelivered(t *testing.T) {
	for name, framing := range map[string]string{
		"length": "Content-Length: 2\r\n", "chunked": "Transfer-Encoding: chunked\r\n", "until the end": "", "closing": "Connection: close\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\n" + framing + "\r\n"
			cuts := make(chan int, 1)
			n := newMesh(t, 1)[0]
			n.serveRaw(func(_ *http.Request, _ int, conn net.Conn) bool {
				_, _ = io.WriteString(conn, head[:<-cuts])
				return false
			})
			for cut := range len(head) {
				cuts <- cut
				status, _, body := n.call(t, http.MethodPost, "/write/x", "r1")
				require.Equal(t, http.StatusBadGateway, status, "cut after %q: %q", head[:cut], body)
			}
		})
	}
}
