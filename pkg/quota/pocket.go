package quota

import (
	"slices"
	"time"
)

// WaiterID names a request that waits for the allocator.
type WaiterID uint64

// pocket holds what a node has of one organisation: tokens, waiting requests and what it knows of
// the next token.
type pocket struct {
	// tokens holds the times until which the tokens may be used, in order.
	tokens []time.Duration
	// waiters are the requests that wait for the call in progress, in order of arrival.
	waiters []WaiterID
	call    *TakeCall
	// arrivals and former count the requests since windowStart and in the askAheadTime before it.
	arrivals, former int
	windowStart      time.Duration
	// retryAt is when the next token is expected, perToken the time in which one arrives, and
	// rejected the number of requests that were told of this.
	retryAt, perToken time.Duration
	rejected          int
	// failedUntil is when an allocator that did not answer is asked again.
	failedUntil time.Duration
	usedAt      time.Duration
}

// countArrival counts a request.
func (p *pocket) countArrival(now time.Duration) {
	p.turnWindow(now)
	p.arrivals++
	p.usedAt = now
}

func (p *pocket) turnWindow(now time.Duration) {
	switch age := now - p.windowStart; {
	case age >= 2*askAheadTime:
		p.former, p.arrivals, p.windowStart = 0, 0, now
	case age >= askAheadTime:
		p.former, p.arrivals, p.windowStart = p.arrivals, 0, p.windowStart+askAheadTime
	}
}

// expected returns the number of requests expected in askAheadTime, from those in the last one.
func (p *pocket) expected(now time.Duration) int {
	p.turnWindow(now)
	left := 1 - float64(now-p.windowStart)/float64(askAheadTime)
	return int(float64(p.former)*left) + p.arrivals
}

// expire drops the tokens whose time is over.
func (p *pocket) expire(now time.Duration) {
	n := 0
	for n < len(p.tokens) && p.tokens[n] <= now {
		n++
	}
	p.tokens = p.tokens[n:]
}

// put adds tokens that may be used until a time.
func (p *pocket) put(n int, until, now time.Duration) {
	p.expire(now)
	if until <= now {
		return
	}
	at, _ := slices.BinarySearch(p.tokens, until+1)
	p.tokens = slices.Insert(p.tokens, at, slices.Repeat([]time.Duration{until}, n)...)
}

// pop takes the token that ends first.
func (p *pocket) pop(now time.Duration) (until time.Duration, ok bool) {
	p.expire(now)
	if len(p.tokens) == 0 {
		return 0, false
	}
	until = p.tokens[0]
	p.tokens = p.tokens[1:]
	return until, true
}

// maxRetrySpread bounds how much later than the next token a rejected request is told to come
// back.
const maxRetrySpread = time.Second

// retryAfter returns when a rejected request may come back: the first one when the next token is
// due, each further one a token later.
func (p *pocket) retryAfter(now time.Duration) time.Duration {
	after := max(p.retryAt-now, 0) + min(time.Duration(p.rejected)*p.perToken, maxRetrySpread)
	p.rejected++
	return after
}

// isIdle reports whether the state of the pocket has no effect any more.
func (p *pocket) isIdle(now time.Duration) bool {
	return now-p.usedAt > idlePocketTime && p.call == nil && len(p.waiters) == 0
}

// idlePocketTime is how long the state of an organisation without requests is kept. All that
// it holds ends sooner.
const idlePocketTime = 10 * time.Second
