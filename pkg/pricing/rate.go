package pricing

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the observed rate of changes.
const rateTimeConstant = 5 * time.Minute

// changeRate estimates the rate and the mean size of the changes at this node.
type changeRate struct {
	changes, bytes float64
	last           time.Duration
}

func (r *changeRate) decay(now time.Duration) float64 {
	return math.Exp(-float64(max(now-r.last, 0)) / float64(rateTimeConstant))
}

func (r *changeRate) observe(now time.Duration, size int) {
	d := r.decay(now)
	r.changes = r.changes*d + 1
	r.bytes = r.bytes*d + float64(size)
	r.last = now
}

// perSecond returns the rate of changes per second.
func (r *changeRate) perSecond(now time.Duration) float64 {
	return r.changes * r.decay(now) / rateTimeConstant.Seconds()
}

// meanSize returns the mean size of a change's body in bytes.
func (r *changeRate) meanSize() float64 {
	if r.changes == 0 {
		return 0
	}
	return r.bytes / r.changes
}
