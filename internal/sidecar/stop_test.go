package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
)

// startDrain stops a node and returns when the drain has ended.
func (n *testNode) startDrain(t *testing.T) (drained chan error) {
	drained = make(chan error, 1)
	go func() { drained <- n.drain(t.Context()) }()
	require.Eventually(t, n.refusing.Load, 5*time.Second, 5*time.Millisecond)
	return drained
}

// Guards against a request that arrives late in a planned stop and is passed on although the
// node ends before its deadline: its head came in time, its body did not. It would be given up
// while its target is at work.
func TestRequestWhoseBodyArrivesLateInAStopIsNotPassedOn(t *testing.T) {
	n := newMesh(t, 1)[0]
	n.settings.GracePeriod = 6 * time.Second
	config := testConfig()
	config.Version = 2
	for i := range config.Routes {
		config.Routes[i].Timeout = 10 * time.Second
	}
	require.NoError(t, config.Prepare())
	n.Step(control.ConfigPublished{Config: config})
	conn, err := net.Dial("tcp", n.outbound.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /write/x HTTP/1.1\r\nHost: shop.test\r\nX-Id: r1\r\nX-Left: 9000\r\nContent-Length: 4\r\n\r\nhe")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return n.inFlight.Load() == 1 }, time.Second, time.Millisecond)
	drained := n.startDrain(t)
	_, err = io.WriteString(conn, "re")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, n.target.runs.Load())
	require.NoError(t, <-drained)
}

// Guards against a connection that closes without a response at the end of a planned stop: a
// request that is still running is given up, and its caller is told that it may have run.
func TestRequestsAreAnsweredAtTheEndOfAStop(t *testing.T) {
	for _, remote := range []bool{false, true} {
		t.Run(fmt.Sprintf("remote=%v", remote), func(t *testing.T) {
			nodes := newMesh(t, 2)
			release := make(chan struct{})
			defer close(release)
			for _, n := range nodes {
				n.target.serve(func(http.ResponseWriter, *http.Request) { <-release })
			}
			leaving := 1
			if remote {
				leaving = 0
			}
			nodes[leaving].Step(control.TargetLeaving{ID: fmt.Sprintf("target-%d", leaving)})
			nodes[0].Step(control.PeerStateReceived{State: nodes[1].state()})
			drained := make(chan error, 1)
			go func() { drained <- nodes[0].drain(t.Context()) }()
			require.Eventually(t, nodes[0].stopping.Load, time.Second, time.Millisecond)
			time.Sleep(nodes[0].settings.GracePeriod/2 - 300*time.Millisecond)
			// The route allows 2 s, the node ends in less.
			status := make(chan int, 1)
			go func() {
				got, _, _ := nodes[0].call(t, http.MethodPost, "/write/x", "r1")
				status <- got
			}()
			require.NoError(t, <-drained)
			select {
			case got := <-status:
				require.Equal(t, http.StatusGatewayTimeout, got)
			case <-time.After(200 * time.Millisecond):
				t.Fatal("no response when the node ended")
			}
		})
	}
}

// Guards against a request that another node passes to the target of a stopping node too late
// to end there: it is refused as not run.
func TestStoppingNodeTakesNoRequestThatOutlastsIt(t *testing.T) {
	nodes := newMesh(t, 2)
	nodes[0].Step(control.TargetLeaving{ID: "target-0"})
	nodes[1].settings.GracePeriod = 6 * time.Second
	drained := make(chan error, 1)
	go func() { drained <- nodes[1].drain(t.Context()) }()
	require.Eventually(t, nodes[1].closing.Load, 5*time.Second, time.Millisecond)
	// The request may take 2 s.
	nodes[1].stopEnd.Store(int64(nodes[1].clock.now() + time.Second))
	status, header, body := nodes[0].call(t, http.MethodPost, "/write/x", "r2")
	require.Equal(t, http.StatusServiceUnavailable, status, body)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Zero(t, nodes[1].target.runs.Load())
	require.NoError(t, <-drained)
}

// Guards against requests of other nodes that cross the end of a stop: their connection would close
// before they are refused as not run.
func TestStopRefusesRequestsOfOtherNodesForAWhile(t *testing.T) {
	n := newMesh(t, 1)[0]
	drained := n.startDrain(t)
	require.Eventually(t, func() bool { return !n.view.Load().Target.Serving }, 5*time.Second, time.Millisecond)
	closing := time.Now()
	require.NoError(t, <-drained)
	require.GreaterOrEqual(t, time.Since(closing), closeNoticeTime-10*time.Millisecond)
}
