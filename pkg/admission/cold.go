package admission

import (
	"math"
	"time"
)

const (
	// coldBurstTime is the time over which a cold target may get the requests of its limit at once:
	// that between two checks of the requests that wait.
	coldBurstTime = 50 * time.Millisecond
	// rampStep, rampSteps and rampFactor tell how the load of a target rises once it is warm. In
	// the first second it gets less than twice the rate of a cold target, in case it is cold for
	// longer than it said.
	rampStep   = 500 * time.Millisecond
	rampSteps  = 5
	rampFactor = 1.5
	// rampIdleTime is the time without requests after which the load rises in these steps as well:
	// the target may have been replaced without a sign of it.
	rampIdleTime = 2 * time.Second
)

// ColdRate returns the requests per second that a target may get that is cold until a time and then
// takes perSecond from all nodes together. ok is false if there is no limit.
func ColdRate(perSecond float64, until, now time.Duration) (rate float64, ok bool) {
	switch step := (now - until) / rampStep; {
	case perSecond <= 0 || now >= until && step >= rampSteps:
		return 0, false
	case now < until:
		return perSecond, true
	default:
		return perSecond * math.Pow(rampFactor, float64(step+1)), true
	}
}

// ColdBurst returns the number of requests that a target may get at once at a rate.
func ColdBurst(perSecond float64) int {
	return max(1, int(math.Ceil(perSecond*coldBurstTime.Seconds())))
}

// ColdLimit limits the requests to a target while it is cold, and lets its load rise afterwards.
// The zero value does not limit. It is not safe for concurrent use.
type ColdLimit struct {
	bucket RateLimit
	// perSecond is the rate of a cold target, 0 for no limit, and until the end of the cold time.
	perSecond float64
	until     time.Duration
	// rampFrom is the time of the first request after an idle time.
	rampFrom time.Duration
	lastTake time.Duration
	started  bool
}

// Set sets the rate of a cold target, 0 for no limit, and the time until which it is cold. A target
// that becomes cold has no requests to spare.
func (l *ColdLimit) Set(perSecond float64, until, now time.Duration) {
	if !l.started {
		l.started, l.rampFrom, l.lastTake = true, now, now
	}
	l.perSecond, l.until = perSecond, until
	l.apply(now)
}

// apply sets the bucket to the rate that holds now.
func (l *ColdLimit) apply(now time.Duration) {
	if l.perSecond <= 0 {
		l.bucket.Clear()
		return
	}
	idle := now >= l.until && now-l.lastTake >= rampIdleTime
	if idle {
		l.rampFrom = now
	}
	rate, ok := ColdRate(l.perSecond, max(l.until, l.rampFrom), now)
	if !ok {
		l.bucket.Clear()
		return
	}
	_, limited := l.bucket.PerSecond()
	l.bucket.SetWithBurst(rate, ColdBurst(rate), now)
	if idle && !limited {
		// Nothing was sent for rampIdleTime.
		l.bucket.Fill()
	}
}

// Cold reports whether the target is cold.
func (l *ColdLimit) Cold(now time.Duration) bool { return l.perSecond > 0 && now < l.until }

// PerSecond returns the limit that holds now and the number of requests that it allows at once; ok
// is false without a limit.
func (l *ColdLimit) PerSecond(now time.Duration) (perSecond float64, burst int, ok bool) {
	l.apply(now)
	perSecond, ok = l.bucket.PerSecond()
	return perSecond, ColdBurst(perSecond), ok
}

// Available returns the number of requests that may be sent now. It is meaningful only with a limit.
func (l *ColdLimit) Available(now time.Duration) float64 {
	l.apply(now)
	return l.bucket.Available(now)
}

// Allows reports whether a request may be sent now.
func (l *ColdLimit) Allows(now time.Duration) bool {
	l.apply(now)
	return l.bucket.Allows(now)
}

// Take counts a request that is sent now.
func (l *ColdLimit) Take(now time.Duration) {
	l.apply(now)
	l.bucket.Take(now)
	l.lastTake = now
}

// Wait returns the time until the given number of requests may have been sent.
func (l *ColdLimit) Wait(requests int, now time.Duration) time.Duration {
	l.apply(now)
	return l.bucket.Wait(requests, now)
}
