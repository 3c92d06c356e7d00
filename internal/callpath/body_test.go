package callpath_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/internal/callpath"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// replayBytes is the size of the prefix of a body that a node buffers.
const replayBytes = 16 << 10

// piecewise returns a body in pieces of the size.
type piecewise struct {
	rest  []byte
	piece int
}

func (p *piecewise) Read(to []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(to, p.rest[:min(p.piece, len(p.rest))])
	p.rest = p.rest[n:]
	return n, nil
}

// bodyRuns records the bodies that targets read to their end.
type bodyRuns struct {
	mu     sync.Mutex
	served int
	whole  [][]byte
	parts  [][]byte
}

// read reads up to limit bytes of a body, all of them if limit is negative.
func (b *bodyRuns) read(body io.Reader, limit int64) bool {
	if limit >= 0 {
		body = io.LimitReader(body, limit)
	}
	data, err := io.ReadAll(body)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil || limit >= 0 {
		b.parts = append(b.parts, data)
		return false
	}
	b.whole = append(b.whole, data)
	return true
}

func (b *bodyRuns) serve(w http.ResponseWriter, r *http.Request) {
	if !b.read(r.Body, -1) {
		panic(http.ErrAbortHandler)
	}
	b.mu.Lock()
	b.served++
	b.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// bodyTrouble are the ways in which a node or target of the test ends an attempt.
var bodyTrouble = []string{"serves", "no target", "leaves", "target down", "target refuses", "target resets"}

// addBodyNode starts a node whose target ends requests in the given way. The trouble that
// is not the target's own begins with the returned function, once all nodes know each other.
func addBodyNode(m *testMesh, id mesh.NodeID, trouble string, runs *bodyRuns, part int64) (begin func()) {
	handler := runs.serve
	switch trouble {
	case "target refuses":
		handler = func(w http.ResponseWriter, r *http.Request) {
			runs.read(r.Body, part)
			w.Header().Set(callpath.HeaderOutcome, "not-run")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case "target resets":
		handler = func(w http.ResponseWriter, r *http.Request) {
			runs.read(r.Body, part)
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				_ = conn.Close()
			}
		}
	}
	server := serve(m.t, http.HandlerFunc(handler))
	n := m.add(id, server.Listener.Addr().String(), fastSettings())
	return func() {
		switch trouble {
		case "target down":
			server.Close()
		case "leaves":
			leaving := *n.target.Load()
			leaving.State = mesh.TargetLeaving
			n.target.Store(&leaving)
		case "no target":
			n.target.Store(nil)
		}
	}
}

// Guards against a target that gets a body with a part missing, and takes it for
// whole, because an earlier attempt had read that part.
func TestTargetsGetTheWholeBodyOrSeeThatItIsBroken(t *testing.T) {
	const mostPieces = 80
	whole := make([]byte, replayBytes+(mostPieces+1)<<10)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(whole)
	rapid.Check(t, func(r *rapid.T) {
		over := rapid.IntRange(-2, mostPieces).Draw(r, "KiB over the buffer")
		body := whole[:replayBytes+over<<10+rapid.IntRange(-1, 1).Draw(r, "bytes over")]
		piece := rapid.IntRange(1, 40).Draw(r, "size of a piece in KiB") << 10
		http2 := rapid.Bool().Draw(r, "HTTP/2")
		chunked := rapid.Bool().Draw(r, "chunked")
		method := rapid.SampledFrom([]string{http.MethodPost, http.MethodPut}).Draw(r, "method")
		runs := &bodyRuns{}
		m := newMesh(checkTB{TB: t, check: r})
		entry := m.add("node-a", "", fastSettings())
		troubles := make([]string, 3)
		var begin []func()
		for i := range troubles {
			troubles[i] = rapid.SampledFrom(bodyTrouble).Draw(r, fmt.Sprintf("node %d", i))
			part := rapid.Int64Range(0, int64(len(body))).Draw(r, fmt.Sprintf("part read at %d", i))
			begin = append(begin, addBodyNode(m, mesh.NodeID(fmt.Sprintf("node-%d", i)), troubles[i], runs, part))
		}
		for _, f := range begin {
			f()
		}
		protocols := new(http.Protocols)
		protocols.SetHTTP1(!http2)
		protocols.SetUnencryptedHTTP2(http2)
		transport := &http.Transport{Protocols: protocols}
		r.Cleanup(transport.CloseIdleConnections)
		req, err := http.NewRequestWithContext(context.Background(), method, entry.caller.URL+"/courier", &piecewise{rest: body, piece: piece})
		require.NoError(r, err)
		if !chunked {
			req.ContentLength = int64(len(body))
		}
		req.Header.Set(callpath.HeaderDeadline, "3000")
		outcome, status := "", 0
		if resp, err := transport.RoundTrip(req); err == nil {
			outcome, status = resp.Header.Get(callpath.HeaderOutcome), resp.StatusCode
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		runs.mu.Lock()
		defer runs.mu.Unlock()
		for _, got := range runs.whole {
			require.True(r, bytes.Equal(body, got), "a target took %d of %d bytes for the whole body", len(got), len(body))
		}
		for _, got := range runs.parts {
			require.True(r, bytes.HasPrefix(body, got), "a target got bytes that do not follow each other")
		}
		switch {
		case status == http.StatusOK:
			require.Positive(r, runs.served)
		case outcome == "not-run":
			require.Zero(r, runs.served, "refused as not run")
		}
		if method == http.MethodPost {
			require.LessOrEqual(r, runs.served, 1)
		}
		if len(body) < replayBytes && slices.Contains(troubles, "serves") && !slices.Contains(troubles, "target resets") {
			require.Equal(r, http.StatusOK, status, "a buffered body is sent to each endpoint until one serves it")
		}
	})
}

// checkTB ends what a check of a property started at the end of the check.
type checkTB struct {
	testing.TB
	check *rapid.T
}

func (c checkTB) Cleanup(f func())                  { c.check.Cleanup(f) }
func (c checkTB) Errorf(format string, args ...any) { c.check.Errorf(format, args...) }
func (c checkTB) FailNow()                          { c.check.FailNow() }

// stalling returns a part of a body and then nothing until done is closed.
type stalling struct {
	rest []byte
	done <-chan struct{}
}

func (s *stalling) Read(to []byte) (int, error) {
	if len(s.rest) == 0 {
		<-s.done
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(to, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// Guards against a caller that stops in the middle of a body and gets no answer at its
// deadline, because the answer waits for the read of the body.
func TestCallerThatStopsInsideABodyIsAnsweredAtItsDeadline(t *testing.T) {
	const (
		left      = 800 * time.Millisecond
		tolerance = 500 * time.Millisecond
		declared  = 4 << 20
	)
	for _, sent := range []int{replayBytes / 2, 8 * replayBytes} {
		for _, http2 := range []bool{false, true} {
			for _, length := range []int64{-1, declared} {
				for _, trouble := range []string{"serves", "target refuses", "target resets", "no target", "target down"} {
					t.Run(fmt.Sprintf("%d/%t/%d/%s", sent, http2, length, trouble), func(t *testing.T) {
						runs := &bodyRuns{}
						m := newMesh(t)
						entry := m.add("node-a", "", fastSettings())
						addBodyNode(m, "node-b", trouble, runs, replayBytes/4)()
						ctx, cancel := context.WithTimeout(t.Context(), 2*left)
						defer cancel()
						protocols := new(http.Protocols)
						protocols.SetHTTP1(!http2)
						protocols.SetUnencryptedHTTP2(http2)
						transport := &http.Transport{Protocols: protocols}
						t.Cleanup(transport.CloseIdleConnections)
						body := &stalling{rest: make([]byte, sent), done: ctx.Done()}
						req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.caller.URL+"/courier", body)
						require.NoError(t, err)
						req.ContentLength = length
						req.Header.Set(callpath.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
						began := time.Now()
						resp, err := transport.RoundTrip(req)
						took := time.Since(began)
						require.NoError(t, err, "no answer after %s", took)
						cancel()
						_ = resp.Body.Close()
						require.Less(t, took, left+tolerance)
						require.GreaterOrEqual(t, resp.StatusCode, http.StatusInternalServerError)
						runs.mu.Lock()
						defer runs.mu.Unlock()
						require.Empty(t, runs.whole, "a target took a part for the whole body")
					})
				}
			}
		}
	}
}
