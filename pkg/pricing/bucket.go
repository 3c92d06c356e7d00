package pricing

import (
	"math"
	"time"
)

// tokenBucket limits the rate of appends; each append costs one token.
type tokenBucket struct {
	tokens float64
	// rate is in tokens per second.
	rate float64
	last time.Duration
	// minCapacity is the least number of tokens that the bucket holds when full.
	minCapacity float64
}

// capacity is how many tokens a bucket holds: one second's worth, and at least
// minCapacity, since a node of a large mesh gets one token in many seconds.
func (b *tokenBucket) capacity() float64 { return max(b.minCapacity, b.rate) }

func (b *tokenBucket) refill(now time.Duration) {
	if now > b.last {
		b.tokens = min(b.tokens+b.rate*(now-b.last).Seconds(), b.capacity())
		b.last = now
	}
}

// setRate changes the rate from now on.
func (b *tokenBucket) setRate(now time.Duration, rate float64) {
	b.refill(now)
	b.rate = rate
	b.tokens = min(b.tokens, b.capacity())
}

// wholeToken allows for rounding, so that a timer set for the computed time finds a
// token.
const wholeToken = 1 - 1e-6

func (b *tokenBucket) take(now time.Duration) bool {
	b.refill(now)
	if b.tokens < wholeToken {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

// nextTokenAt returns when the next token is available.
func (b *tokenBucket) nextTokenAt(now time.Duration) time.Duration {
	b.refill(now)
	if b.tokens >= wholeToken {
		return now
	}
	return now + time.Duration(math.Ceil((1-b.tokens)/b.rate*float64(time.Second)))
}
