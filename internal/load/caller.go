package load

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

const (
	// firstBackoff is the longest wait before the first retry; it doubles with each one.
	firstBackoff = 10 * time.Millisecond
	// repeatCount is how many requests a keyed call has at most.
	repeatCount = 2
)

// caller carries out calls.
type caller struct {
	settings *Settings
	sender   *sender
	recorder *recorder
	logger   *slog.Logger
}

// do carries out one call. start is its intended send time.
func (c *caller) do(ctx context.Context, call Call, start time.Time) {
	switch call.Repeat {
	case RepeatConcurrent:
		var group sync.WaitGroup
		for n := range repeatCount {
			group.Go(func() { c.one(ctx, call, n, start) })
		}
		group.Wait()
	case RepeatAfter:
		c.one(ctx, call, 0, start)
		c.one(ctx, call, 1, time.Now())
	default:
		outcome := c.one(ctx, call, 0, start)
		if call.Kind == KindKeyed && call.Via == ViaNode && c.settings.Mix.RepeatFailed && outcome.failed() {
			c.one(ctx, call, 1, time.Now())
		}
	}
}

// one sends the nth request of a call, with retries after not-run, and records it.
func (c *caller) one(ctx context.Context, call Call, n int, start time.Time) Outcome {
	sent := time.Now()
	urls := c.urls(call.Via)
	a := attempt{
		Call: call, id: requestID(call, n),
		deadline: start.Add(c.settings.Deadline.Std()),
	}
	if call.Key != "" {
		a.siblings = []string{requestID(call, 0), requestID(call, 1)}
	}
	var v verdict
	retries := 0
	for {
		a.base = urls[(call.First+n+retries)%len(urls)]
		v = c.sender.send(ctx, a)
		if !v.outcome.retryable() || retries == c.settings.MaxRetries || !backoff(ctx, retries, a.deadline) {
			break
		}
		retries++
	}
	end := time.Now()
	c.recorder.add(result{
		call: call, repeat: n > 0, outcome: v.outcome, retries: retries,
		response: end.Sub(start), service: end.Sub(sent), lag: sent.Sub(start),
	})
	c.log(a, v)
	return v.outcome
}

// log writes a line for each call that was not answered.
func (c *caller) log(a attempt, v verdict) {
	level := slog.LevelInfo
	switch v.outcome {
	case OutcomeAnswered:
		return
	case OutcomeLost, OutcomeMixedUp, OutcomeTruncated:
		level = slog.LevelError
	}
	c.logger.Log(context.Background(), level, "call was not answered",
		"event", "load_call", "outcome", string(v.outcome), "reason", v.reason, "request_id", a.id,
		"key", a.Key, "kind", string(a.Kind), "via", string(a.Via), "url", a.base+a.Path)
}

func (c *caller) urls(via Via) []string {
	if via == ViaDirect {
		return c.settings.Direct
	}
	return c.settings.Nodes
}

// requestID returns the id of the nth request of a call.
func requestID(call Call, n int) string {
	if n == 0 {
		return call.ID
	}
	return call.ID + ".r" + strconv.Itoa(n)
}

// backoff waits before a retry and reports whether there is time for one.
func backoff(ctx context.Context, retries int, deadline time.Time) bool {
	d := rand.N(firstBackoff << min(retries, 10))
	if time.Now().Add(d).After(deadline) {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
