package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the longest latency that is told apart, in microseconds.
	histogramMax = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits keeps percentiles within 0.1 %.
	histogramDigits = 3
)

// result is one request of a call with its retries.
type result struct {
	call    Call
	repeat  bool
	outcome Outcome
	retries int
	// response is the time from the intended send time to the end.
	response time.Duration
	// service is the time from the actual send time to the end.
	service time.Duration
	// lag is the time from the intended to the actual send time.
	lag time.Duration
}

// group is what is measured together.
type group struct {
	via  Via
	kind Kind
}

// samples are the latencies of a group. Only whole answers to first requests are
// in them: refusals and replayed answers are fast and would lower the figures.
type samples struct {
	response, service *hdrhistogram.Histogram
}

func newSamples() *samples {
	return &samples{response: newHistogram(), service: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// recorder collects the results of a run.
type recorder struct {
	mu     sync.Mutex
	counts map[Via]*Counts
	groups map[group]*samples
	lag    *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		counts: map[Via]*Counts{ViaNode: {}, ViaDirect: {}},
		groups: map[group]*samples{},
		lag:    newHistogram(),
	}
}

func (r *recorder) add(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[res.call.Via].add(res)
	record(r.lag, res.lag)
	if res.outcome != OutcomeAnswered || res.repeat {
		return
	}
	key := group{res.call.Via, res.call.Kind}
	if r.groups[key] == nil {
		r.groups[key] = newSamples()
	}
	record(r.groups[key].response, res.response)
	record(r.groups[key].service, res.service)
}

// record adds a latency; one beyond the range counts as the longest.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// Counts are the numbers of requests by outcome. Retries are counted apart: a
// request with its retries counts once.
type Counts struct {
	Sent        int64 `json:"sent"`
	Answered    int64 `json:"answered"`
	NotRun      int64 `json:"refused_not_run"`
	MayHaveRun  int64 `json:"refused_may_have_run"`
	Errors      int64 `json:"errors"`
	Broken      int64 `json:"broken"`
	Unreachable int64 `json:"unreachable"`
	Lost        int64 `json:"lost"`
	MixedUp     int64 `json:"mixed_up"`
	Truncated   int64 `json:"truncated_accepted_as_whole"`
	Retries     int64 `json:"retries"`
	// Repeats counts the second requests of keyed calls.
	Repeats int64 `json:"repeats"`
}

func (c *Counts) add(res result) {
	c.Sent++
	c.Retries += int64(res.retries)
	if res.repeat {
		c.Repeats++
	}
	switch res.outcome {
	case OutcomeAnswered:
		c.Answered++
	case OutcomeNotRun:
		c.NotRun++
	case OutcomeMayHaveRun:
		c.MayHaveRun++
	case OutcomeBroken:
		c.Broken++
	case OutcomeUnreachable:
		c.Unreachable++
	case OutcomeLost:
		c.Lost++
	case OutcomeMixedUp:
		c.MixedUp++
	case OutcomeTruncated:
		c.Truncated++
	default:
		c.Errors++
	}
}
