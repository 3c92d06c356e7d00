package conns

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// stopPollInterval is the time between two checks of the connections of a server that stops.
	stopPollInterval = 5 * time.Millisecond
	// settledChecks is the number of checks in succession that find nothing under way:
	// net/http counts a stream as ended shortly before it writes the last frames.
	settledChecks = 3
	// firstBytesTime is how long a server that stops waits for the first bytes of a new
	// connection, and headTime for the next bytes of a request.
	firstBytesTime = 50 * time.Millisecond
	headTime       = 250 * time.Millisecond
)

// Stop closes the listener and the connections of a server when they carry nothing more. It
// answers requests that were read, and returns when the peers have received all responses, or
// with the error of ctx. shutdown is the Shutdown of the http.Server.
func (t *Tracker) Stop(ctx context.Context, shutdown func(context.Context) error) error {
	if err := t.stopAccepting(ctx); err != nil {
		return err
	}
	// After Shutdown, net/http no longer answers the HTTP/1 requests that it reads.
	poll := time.NewTicker(stopPollInterval)
	defer poll.Stop()
	for t.closeIdle() > 0 && wait(ctx, poll) {
	}
	shutdownCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- shutdown(shutdownCtx) }()
	for checks := 0; checks < settledChecks && wait(ctx, poll); checks++ {
		if !t.settled() {
			checks = -1
		}
	}
	// Shutdown waits for HTTP/2 connections that carry nothing.
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "shut down")
	}
	return ctx.Err()
}

// wait waits for the next check. It reports false if ctx has ended.
func wait(ctx context.Context, poll *time.Ticker) bool {
	select {
	case <-ctx.Done():
		return false
	case <-poll.C:
		return true
	}
}

func (t *Tracker) isStopping() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopping
}

func (t *Tracker) stopAccepting(ctx context.Context) error {
	t.mu.Lock()
	t.stopping = true
	t.stopEnd = time.Now().Add(unsentTimeout)
	if end, ok := ctx.Deadline(); ok {
		t.stopEnd = end
	}
	t.mu.Unlock()
	return errors.Wrap(t.listener.Close(), "close listener")
}

// closeIdle closes the HTTP/1 connections that carry nothing, and returns the number of those
// that remain.
func (t *Tracker) closeIdle() (left int) {
	for _, c := range t.list() {
		if c.carriesHTTP1() {
			left++
			continue
		}
		if !c.isHTTP2() {
			// The connection is closed in any case.
			_ = c.Close()
		}
	}
	return left
}

// settled reports whether no connection carries anything.
func (t *Tracker) settled() bool {
	for _, c := range t.list() {
		if !c.settled() {
			return false
		}
	}
	return true
}

func (c *conn) isHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http2
}

// carriesHTTP1 reports whether an HTTP/1 connection that is not closed has a request, or a part
// of one, or may receive its first one at this moment.
func (c *conn) carriesHTTP1() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.http2 {
		return false
	}
	if c.state == http.StateActive {
		return true
	}
	silent := time.Since(c.lastReceived)
	if !c.begun {
		return silent < firstBytesTime
	}
	_, unread := c.queued()
	return (unread > 0 || c.received) && silent < headTime
}

// settled reports whether the end of the process loses nothing that the connection carries.
func (c *conn) settled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		// linger ends when the peer has received everything.
		return false
	}
	unsent, unread := c.queued()
	return c.state != http.StateActive && unsent == 0 && unread == 0
}
