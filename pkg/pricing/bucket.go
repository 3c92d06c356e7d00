package pricing

import (
	"math"
	"time"
)

// bucket is a token bucket; one token pays for one append.
type bucket struct {
	tokens float64
	// rate is in tokens per second.
	rate float64
	last time.Duration
	// depth is the least number of tokens that the bucket holds when full.
	depth float64
}

// burst is how many tokens a bucket holds: one second's worth, and at least
// depth, since a node of a large mesh gets one token in many seconds.
func (b *bucket) burst() float64 { return max(b.depth, b.rate) }

func (b *bucket) fill(now time.Duration) {
	if now > b.last {
		b.tokens = min(b.tokens+b.rate*(now-b.last).Seconds(), b.burst())
		b.last = now
	}
}

// setRate changes the rate from now on.
func (b *bucket) setRate(now time.Duration, rate float64) {
	b.fill(now)
	b.rate = rate
	b.tokens = min(b.tokens, b.burst())
}

// full allows for rounding, so that a wake-up at the computed time finds a token.
const full = 1 - 1e-6

func (b *bucket) take(now time.Duration) bool {
	b.fill(now)
	if b.tokens < full {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

// ready returns when the next token is there.
func (b *bucket) ready(now time.Duration) time.Duration {
	b.fill(now)
	if b.tokens >= full {
		return now
	}
	return now + time.Duration(math.Ceil((1-b.tokens)/b.rate*float64(time.Second)))
}
