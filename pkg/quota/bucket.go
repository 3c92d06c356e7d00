package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Cap is the usage cap of an organisation, for all nodes together.
type Cap struct {
	// Rate is the number of requests per second, Burst the number that may be sent at once.
	Rate, Burst float64
}

const (
	// tokenUnits is the number of units in a token. rate.Limiter counts whole units, and the
	// parts of a cap are smaller than a token.
	tokenUnits = 1000
	// extraTokens are saved beyond the burst, over all nodes together. Small organisations send
	// their few requests in irregular bursts: with a rate and burst of 1, a bucket of one token
	// loses a quarter of the cap.
	extraTokens = 4
	// minTokenShare is the share of a cap from which a bucket holds at least one token. At most
	// 12 buckets have as much. These and extraTokens are fewer than the 20 requests by which a
	// cap may be exceeded.
	minTokenShare = 1.0 / 12
	// shareTolerance is the rounding error of a sum of shares.
	shareTolerance = 1e-9
)

// capacity returns how many tokens a share of the cap may save. A smaller burst than what
// arrives in askAheadTime could not be granted in the batches in which nodes ask.
func (c Cap) capacity(share float64) float64 {
	tokens := (max(c.Burst, c.Rate*askAheadTime.Seconds()) + extraTokens) * share
	if share >= minTokenShare-shareTolerance {
		tokens = max(tokens, 1)
	}
	return tokens
}

// bucket is the token bucket of a share of a cap.
type bucket struct {
	cap     Cap
	share   float64
	limiter *rate.Limiter
}

// newBucket returns an empty bucket: its share may have been used elsewhere until now.
func newBucket(c Cap, share float64, now time.Duration) *bucket {
	b := &bucket{cap: c, share: share}
	units := b.units()
	b.limiter = rate.NewLimiter(b.limit(), units)
	b.limiter.AllowN(bucketTime(now), units)
	return b
}

// bucketTime converts a time of the caller's clock for the limiter, which only compares times.
func bucketTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

func (b *bucket) limit() rate.Limit { return rate.Limit(b.perSecond() * tokenUnits) }

// units returns the capacity. The tolerance keeps rounding errors from costing a whole token.
func (b *bucket) units() int {
	return int(math.Ceil(min(b.cap.capacity(b.share), math.MaxInt32)*tokenUnits - 1e-3))
}

func (b *bucket) perSecond() float64 { return b.cap.Rate * b.share }

// set changes the cap and the share. Saved tokens beyond the new capacity are lost.
func (b *bucket) set(c Cap, share float64, now time.Duration) {
	if b.cap == c && math.Abs(b.share-share) < shareTolerance {
		return
	}
	b.cap, b.share = c, share
	b.limiter.SetLimitAt(bucketTime(now), b.limit())
	b.limiter.SetBurstAt(bucketTime(now), b.units())
}

// serves reports whether the bucket can ever hold a token.
func (b *bucket) serves() bool { return b.units() >= tokenUnits }

// available returns the number of tokens in the bucket.
func (b *bucket) available(now time.Duration) float64 {
	return min(b.limiter.TokensAt(bucketTime(now)), float64(b.units())) / tokenUnits
}

// take takes up to n tokens and returns how many it took.
func (b *bucket) take(n int, now time.Duration) int {
	n = min(n, int(b.available(now)+1e-6))
	for n > 0 && !b.limiter.AllowN(bucketTime(now), n*tokenUnits) {
		n--
	}
	return max(n, 0)
}

// untilToken returns the time until the next token.
func (b *bucket) untilToken(now time.Duration) time.Duration {
	missing := 1 - b.available(now)
	if missing <= 0 {
		return 0
	}
	// The limiter counts in steps of its own; a caller that comes back a step too early is
	// rejected again.
	return time.Duration(math.Ceil(missing/b.perSecond()*float64(time.Second))) + time.Millisecond
}

// perToken returns the time in which one token arrives.
func (b *bucket) perToken() time.Duration {
	return time.Duration(float64(time.Second) / b.perSecond())
}
