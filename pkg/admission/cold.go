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
	// After idleTime without requests, the target may have been replaced without a sign of it, and its
	// first heartbeat tells so. For resumeTime it then gets at most resumeFactor times the rate of a
	// cold target, and what that allows in resumeBurstTime at once.
	idleTime        = 2 * time.Second
	resumeTime      = 1500 * time.Millisecond
	resumeFactor    = 1.5
	resumeBurstTime = 250 * time.Millisecond
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

// coldBurst returns the number of requests that a limit allows in a time.
func coldBurst(perSecond float64, over time.Duration) int {
	return max(1, int(math.Ceil(perSecond*over.Seconds())))
}

// ColdLimit limits the requests to a target while it is cold, and lets its load rise afterwards.
// The zero value does not limit. It is not safe for concurrent use.
type ColdLimit struct {
	bucket RateLimit
	burst  int
	// perSecond is the rate of a cold target, 0 for no limit, and until the end of the cold time.
	perSecond float64
	until     time.Duration
	// lastTake is the time of the last request, resumedAt that of the first one after an idle time.
	lastTake, resumedAt time.Duration
	started             bool
}

// Set sets the rate of a cold target, 0 for no limit, and the time until which it is cold. A target
// that becomes cold has no requests to spare.
func (l *ColdLimit) Set(perSecond float64, until, now time.Duration) {
	if !l.started {
		// The first heartbeat that a starting node gets may be a late one of a former process.
		l.started, l.lastTake, l.resumedAt = true, now-idleTime, now-resumeTime
	}
	l.perSecond, l.until = perSecond, until
	l.apply(now)
}

// current returns the limit that holds now and the number of requests that it allows at once.
func (l *ColdLimit) current(now time.Duration) (perSecond float64, burst int, ok bool) {
	if perSecond, ok = ColdRate(l.perSecond, l.until, now); ok && l.until > 0 {
		return perSecond, coldBurst(perSecond, coldBurstTime), true
	}
	if l.perSecond > 0 && now-l.resumedAt < resumeTime {
		perSecond = l.perSecond * resumeFactor
		return perSecond, coldBurst(perSecond, resumeBurstTime), true
	}
	return 0, 0, false
}

// apply sets the bucket to the limit that holds now.
func (l *ColdLimit) apply(now time.Duration) {
	perSecond, burst, ok := l.current(now)
	l.burst = burst
	if !ok {
		l.bucket.Clear()
		return
	}
	l.bucket.SetWithBurst(perSecond, burst, now)
}

// Cold reports whether the target is cold.
func (l *ColdLimit) Cold(now time.Duration) bool { return l.perSecond > 0 && now < l.until }

// PerSecond returns the limit that holds now and the number of requests that it allows at once; ok
// is false without a limit.
func (l *ColdLimit) PerSecond(now time.Duration) (perSecond float64, burst int, ok bool) {
	l.apply(now)
	perSecond, ok = l.bucket.PerSecond()
	return perSecond, l.burst, ok
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
	if _, limited := l.bucket.PerSecond(); !limited && l.perSecond > 0 && now-l.lastTake >= idleTime {
		l.resumedAt = now
		l.apply(now)
		// Nothing was sent for idleTime.
		l.bucket.Fill()
	}
	l.bucket.Take(now)
	l.lastTake = now
}

// Wait returns the time until the given number of requests may have been sent.
func (l *ColdLimit) Wait(requests int, now time.Duration) time.Duration {
	l.apply(now)
	return l.bucket.Wait(requests, now)
}
