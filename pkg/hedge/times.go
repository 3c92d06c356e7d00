package hedge

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSections is the number of sections of the sliding window and sectionTime the length
	// of one. In a mesh with 11 requests a second at each node, a route with a tenth of them has
	// some 30 samples in the window.
	windowSections = 3
	sectionTime    = 10 * time.Second
	// timeUnit is the resolution of the recorded times, and maxTime the longest one.
	timeUnit = 100 * time.Microsecond
	maxTime  = time.Minute
	// significantDigits gives errors of up to 6 %, with some 2 KB for each of the eight histograms
	// of a route.
	significantDigits = 1
	// maxRoutes limits the memory to a few megabytes.
	maxRoutes = 256
	// refreshInterval is how long a merged window is used.
	refreshInterval = 200 * time.Millisecond
)

// routeTimes holds the recent times of a route at its targets.
type routeTimes struct {
	// all holds all times, completed those of attempts that were not cancelled.
	all, completed *hdrhistogram.WindowedHistogram
	// sectionStart is when the current section began.
	sectionStart time.Duration
	// mergedAll and mergedCompleted are the windows as of mergedAt, nil if they must be merged.
	mergedAll, mergedCompleted *hdrhistogram.Histogram
	mergedAt                   time.Duration
	lastUsed                   time.Duration
}

func newRouteTimes(now time.Duration) *routeTimes {
	window := func() *hdrhistogram.WindowedHistogram {
		return hdrhistogram.NewWindowed(windowSections, 1, int64(maxTime/timeUnit), significantDigits)
	}
	return &routeTimes{all: window(), completed: window(), sectionStart: now}
}

func (r *routeTimes) advance(now time.Duration) {
	for i := 0; now-r.sectionStart >= sectionTime; i++ {
		if i == windowSections {
			r.sectionStart = now
			return
		}
		r.all.Rotate()
		r.completed.Rotate()
		r.sectionStart += sectionTime
		r.mergedAll = nil
	}
}

func (r *routeTimes) record(d time.Duration, cancelled bool, now time.Duration) {
	r.advance(now)
	r.lastUsed = now
	// A value in the range is always recorded.
	v := int64(min(max(d, timeUnit), maxTime-timeUnit) / timeUnit)
	_ = r.all.Current.RecordValue(v)
	if !cancelled {
		_ = r.completed.Current.RecordValue(v)
	}
}

// merge updates the merged windows.
func (r *routeTimes) merge(now time.Duration) {
	r.advance(now)
	if r.mergedAll == nil || now-r.mergedAt >= refreshInterval {
		r.mergedAll, r.mergedCompleted, r.mergedAt = r.all.Merge(), r.completed.Merge(), now
	}
}

// quantile returns a quantile of the recent times. ok is false if there are too few.
func (r *routeTimes) quantile(q float64, now time.Duration) (d time.Duration, ok bool) {
	r.merge(now)
	if r.mergedAll.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(r.mergedAll.ValueAtQuantile(q*100)) * timeUnit, true
}

// remaining estimates how long an attempt that has taken a time so far will take beyond it, from
// the recent attempts that took longer: the time that they took beyond it, divided by the number
// of those that completed. Cancelled attempts count with the time until then, so that attempts at
// a target that does not respond raise the estimate. If hardly any attempt took longer, it is
// taken from the longest ones. An attempt that takes longer than any completed one is expected to
// take as much again as it is longer.
func (r *routeTimes) remaining(soFar, now time.Duration) time.Duration {
	r.merge(now)
	all, from := r.mergedAll.Distribution(), soFar
	longest := int64(0)
	for _, bar := range slices.Backward(all) {
		if longest += bar.Count; longest >= minLongerSamples {
			from = min(from, time.Duration(bar.From)*timeUnit)
			break
		}
	}
	var completed int64
	var last time.Duration
	for _, bar := range r.mergedCompleted.Distribution() {
		if bar.Count > 0 {
			last = time.Duration(bar.To) * timeUnit
		}
		if middle(bar) > from {
			completed += bar.Count
		}
	}
	beyond := soFar - from
	for _, bar := range all {
		beyond += time.Duration(bar.Count) * max(middle(bar)-from, 0)
	}
	return max(beyond/time.Duration(max(completed, 1)), soFar-last)
}

// middle returns the time in the middle of a bar of a distribution.
func middle(b hdrhistogram.Bar) time.Duration { return time.Duration(b.From+b.To) * timeUnit / 2 }
