package evaluation

import (
	"time"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
)

// The baseline's rule: take the version back if in the last window over
// rampFailureLimit of its calls failed, or its 95th percentile is over
// rampLatencyFactor times the old version's.
const (
	rampWindow        = time.Minute
	rampMinCalls      = 50
	rampFailureLimit  = 0.05
	rampLatencyFactor = 2
	// rampPart is the part of the time after which the share is full.
	rampPart = 0.9
)

// ramp raises the share linearly and compares with a fixed threshold.
type ramp struct {
	duration  time.Duration
	weight    record.BasisPoints
	window    [2]rollout.Counts
	windowEnd time.Duration
	end       Result
}

func newRamp(s Scenario) *ramp {
	return &ramp{duration: s.Duration, end: Open, windowEnd: rampWindow}
}

func (r *ramp) share(int) record.BasisPoints { return r.weight }

func (r *ramp) counted(c call) {
	version := 0
	if c.key.Version == newVersion {
		version = 1
	}
	r.window[version].AddCall(c.failed, c.latency)
}

func (r *ramp) tick(now time.Duration, _ int64) {
	if r.end != Open {
		return
	}
	if r.breached() {
		r.end, r.weight = Reversed, 0
		return
	}
	if now >= r.windowEnd && r.window[1].Calls >= rampMinCalls {
		r.window, r.windowEnd = [2]rollout.Counts{}, now+rampWindow
	}
	part := float64(now) / (rampPart * float64(r.duration))
	r.weight = min(record.BasisPoints(part*float64(record.FullWeight)), record.FullWeight)
	if now >= time.Duration((rampPart+1)/2*float64(r.duration)) {
		r.end = Done
	}
}

func (r *ramp) breached() bool {
	old, fresh := &r.window[0], &r.window[1]
	if fresh.Calls < rampMinCalls {
		return false
	}
	if float64(fresh.Failures) > rampFailureLimit*float64(fresh.Calls) {
		return true
	}
	oldTail, ok := old.Latency.Quantile(0.95)
	freshTail, ok2 := fresh.Latency.Quantile(0.95)
	if !ok || !ok2 || old.Calls < rampMinCalls {
		return false
	}
	return float64(rollout.BucketBound(freshTail)) > rampLatencyFactor*float64(rollout.BucketBound(oldTail))
}

func (r *ramp) result() Result { return r.end }

func (r *ramp) reason() string { return "" }

func (r *ramp) warned() time.Duration { return 0 }
