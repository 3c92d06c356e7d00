package sidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
)

// pausingBody calls atPause once after the first part of the body, before it goes on.
type pausingBody struct {
	first, second *bytes.Reader
	atPause       func() error
	paused        bool
}

func (b *pausingBody) Read(p []byte) (int, error) {
	if b.first.Len() > 0 {
		return b.first.Read(p)
	}
	if !b.paused {
		b.paused = true
		if err := b.atPause(); err != nil {
			return 0, err
		}
	}
	return b.second.Read(p)
}

// Guards against a target that takes a body for whole whose transfer broke off behind the part that
// nodes buffer: between the caller and its node, or between that node and the one of the target.
func TestBodyThatBreaksOffIsNeverRunAsWhole(t *testing.T) {
	body := testBody(maxBufferedBodyBytes + 2<<20)
	const sentFirst = maxBufferedBodyBytes + 1<<20
	errCut := errors.New("the caller stops")
	for name, cut := range map[string]func(n *testNode) error{
		"by the caller": func(*testNode) error { return errCut },
		"between the nodes": func(n *testNode) error {
			for _, c := range n.connMonitor.idleSince(nodeAddress(n), n.clock.now()+time.Hour) {
				_ = c.Close()
			}
			return nil
		},
	} {
		for _, length := range []int64{-1, int64(len(body))} {
			t.Run(name, func(t *testing.T) {
				runs := &bodyRuns{}
				nodes := newBodyMesh(t, 2, runs)
				nodes[0].Step(control.TargetLeaving{ID: nodes[0].target.id})
				reached := make(chan struct{})
				inner := nodes[1].target
				inner.serve(func(w http.ResponseWriter, r *http.Request) {
					close(reached)
					if !runs.read(r.Body, -1) {
						panic(http.ErrAbortHandler)
					}
					w.Header().Set("X-Signature", "s")
				})
				req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, nodes[0].outbound.URL+"/write/x", &pausingBody{
					first: bytes.NewReader(body[:sentFirst]), second: bytes.NewReader(body[sentFirst:]),
					atPause: func() error {
						<-reached
						return cut(nodes[0])
					},
				})
				require.NoError(t, err)
				req.Host, req.ContentLength = "shop.test", length
				req.Header.Set("X-Id", "r1")
				if resp, err := newBodyClient(t, "HTTP/1.1").RoundTrip(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					require.GreaterOrEqual(t, resp.StatusCode, http.StatusInternalServerError)
				}
				require.Eventually(t, func() bool {
					runs.mu.Lock()
					defer runs.mu.Unlock()
					return len(runs.parts)+len(runs.whole) > 0
				}, 5*time.Second, 10*time.Millisecond)
				runs.mu.Lock()
				defer runs.mu.Unlock()
				require.Empty(t, runs.whole, "a target took a part of the body for the whole")
			})
		}
	}
}

// nodeAddress returns the address at which the only peer of a node gets requests.
func nodeAddress(n *testNode) string {
	for id, a := range n.view.Load().Announcements {
		if id != n.settings.Node {
			return a.CallAddress.String()
		}
	}
	return ""
}
