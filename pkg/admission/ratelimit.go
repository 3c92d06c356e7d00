package admission

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is the time over which a target may get the requests of its limit at once.
	// In any window, it gets at most the limit times the window and this time, and one.
	burstTime = time.Second
	// minRequestsPerSecond applies to lower limits, down to 0. Only a response tells that a
	// limit has ended, so that some requests must be sent.
	minRequestsPerSecond = 0.25
	// maxRequestsPerSecond is the highest limit that has an effect.
	maxRequestsPerSecond = 1e6
)

// RateLimit is a limit of requests per second. The zero value does not limit. It is not safe
// for concurrent use.
type RateLimit struct {
	// bucket is nil without a limit.
	bucket *rate.Limiter
	// perSecond is the limit that was set.
	perSecond float64
}

// Set sets the limit. A new limit begins without requests to spare: how many were sent
// before is not known.
func (l *RateLimit) Set(perSecond float64, now time.Duration) {
	l.SetWithBurst(perSecond, max(1, int(effectiveRate(perSecond)*burstTime.Seconds())), now)
}

func effectiveRate(perSecond float64) float64 {
	return min(max(perSecond, minRequestsPerSecond), maxRequestsPerSecond)
}

// SetWithBurst sets the limit and the number of requests that may be sent at once.
func (l *RateLimit) SetWithBurst(perSecond float64, burst int, now time.Duration) {
	if l.bucket != nil && l.perSecond == perSecond && l.bucket.Burst() == burst {
		return
	}
	l.perSecond = perSecond
	effective := effectiveRate(perSecond)
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(effective), burst)
		l.bucket.AllowN(bucketTime(now), burst)
		return
	}
	l.bucket.SetLimitAt(bucketTime(now), rate.Limit(effective))
	l.bucket.SetBurstAt(bucketTime(now), burst)
}

// Fill lets as many requests be sent now as the limit allows at once.
func (l *RateLimit) Fill() {
	if l.bucket != nil {
		l.bucket = rate.NewLimiter(l.bucket.Limit(), l.bucket.Burst())
	}
}

// Clear ends the limit.
func (l *RateLimit) Clear() { l.bucket, l.perSecond = nil, 0 }

// PerSecond returns the limit; ok is false if there is none.
func (l *RateLimit) PerSecond() (perSecond float64, ok bool) {
	return l.perSecond, l.bucket != nil
}

// Available returns the number of requests that may be sent now, a fraction if the next one
// has to wait. It is meaningful only with a limit.
func (l *RateLimit) Available(now time.Duration) float64 {
	if l.bucket == nil {
		return 0
	}
	return l.bucket.TokensAt(bucketTime(now))
}

// Allows reports whether a request may be sent now.
func (l *RateLimit) Allows(now time.Duration) bool { return l.bucket == nil || l.Available(now) >= 1 }

// Take counts a request that is sent now.
func (l *RateLimit) Take(now time.Duration) {
	if l.bucket != nil {
		l.bucket.AllowN(bucketTime(now), 1)
	}
}

// Wait returns the time until the given number of requests may have been sent.
func (l *RateLimit) Wait(requests int, now time.Duration) time.Duration {
	if l.bucket == nil {
		return 0
	}
	missing := float64(requests) - l.Available(now)
	return max(0, time.Duration(missing/float64(l.bucket.Limit())*float64(time.Second)))
}

// bucketTime converts a time of the caller's clock for the bucket, which only compares times.
func bucketTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// TargetLimit is the rate limit that one process of a target names in its responses. The zero
// value does not limit. It is not safe for concurrent use.
type TargetLimit struct {
	RateLimit
	// signaled is set once the target has answered with or without a limit.
	signaled bool
	// limitedAt is the time of the last response that named a limit.
	limitedAt time.Duration
}

// Signal applies the limit in a response to a request that was sent at a time; limited is
// false if it names none. Responses may be read in another order than the target wrote them
// in: a limit ends or rises only with the response to a request that was sent after the limit
// was last named.
func (l *TargetLimit) Signal(limited bool, perSecond float64, sentAt, now time.Duration) {
	current, active := l.PerSecond()
	inOrder := !active || !l.signaled || sentAt >= l.limitedAt
	l.signaled = true
	switch {
	case !limited && inOrder:
		l.Clear()
	case limited && (inOrder || perSecond <= current):
		l.limitedAt = now
		l.Set(perSecond, now)
	}
}

// Adopt applies a limit that another node knows from a response of the target, until the
// target has answered a request through this node.
func (l *TargetLimit) Adopt(perSecond float64, now time.Duration) {
	if !l.signaled {
		l.Set(perSecond, now)
	}
}
