package retry

import (
	"sync"
	"time"
)

// Limits of the retry budget.
const (
	// BudgetWindow is the default length of the sliding window.
	BudgetWindow = 10 * time.Second
	// BudgetRatio is the maximum ratio of retries to calls in the window.
	BudgetRatio = 0.2
	// MinRetriesPerSecond is the number of retries in a bucket that are allowed regardless
	// of the ratio. A bucket of the default window is one second.
	MinRetriesPerSecond = 3
)

const (
	// bucketCount is the number of buckets that the window is divided into.
	bucketCount = 10
	// ringSize is the number of buckets that are kept: the window, the window before it,
	// and one more, whose end belongs to the time that the oldest bucket covers in part.
	ringSize = 2*bucketCount + 1
)

// Budget limits the retries of one service over a sliding window. It is safe for concurrent
// use.
type Budget struct {
	// Window is the length of the sliding window; 0 means BudgetWindow. It must not change
	// after the first use.
	Window time.Duration

	mu      sync.Mutex
	current int64
	buckets [ringSize]bucket
}

type bucket struct {
	calls   int
	retries int
}

// RecordCall counts a first attempt.
func (b *Budget) RecordCall(now time.Duration) {
	b.mu.Lock()
	b.advance(now).calls++
	b.mu.Unlock()
}

// Allow takes one retry from the budget and reports whether there was one.
func (b *Budget) Allow(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.advance(now)
	calls, retries := b.totals()
	if float64(retries+1) > BudgetRatio*float64(calls) && current.retries >= MinRetriesPerSecond {
		return false
	}
	current.retries++
	return true
}

// AllowNodeShare takes one retry from this node's share of a budget that is divided among
// nodes without coordination, so that the whole budget holds even if all nodes use up their
// shares at once. Retries may reach the given share of this node's calls, plus slack, in
// each window.
func (b *Budget) AllowNodeShare(now time.Duration, share, slack float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.advance(now)
	if !b.hasRoom(share, slack, 1) {
		return false
	}
	current.retries++
	return true
}

// HasRoom reports whether a number of further retries stays within this node's share. A
// request that is a retry itself makes its nested calls again, and these cannot be refused
// without losing its work: whoever runs it checks their room first.
func (b *Budget) HasRoom(now time.Duration, share, slack, further float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.hasRoom(share, slack, further)
}

// Left returns how many further retries stay within this node's share. It changes nothing.
func (b *Budget) Left(now time.Duration, share, slack float64) int {
	b.mu.Lock()
	copied := Budget{Window: b.Window, current: b.current, buckets: b.buckets}
	b.mu.Unlock()
	copied.advance(now)
	left := 0
	for copied.hasRoom(share, slack, float64(left+1)) {
		left++
	}
	return left
}

// hasRoom checks each window that contains the current bucket, since the shared budget
// holds for all of them. A window that began recently may have few calls so far; the calls
// of the window before it then count instead. mu must be held.
func (b *Budget) hasRoom(share, slack, further float64) bool {
	calls, retries := 0, b.last(0).retries
	before := 0
	for i := range bucketCount {
		before += b.last(i + 1).calls
	}
	for i := range bucketCount {
		calls += b.last(i).calls
		// The window begins within the bucket before.
		retries += b.last(i + 1).retries
		base := calls
		if i < bucketCount-1 {
			base = max(calls, before)
		}
		if float64(retries)+further > share*float64(base)+slack {
			return false
		}
		before += b.last(i+1+bucketCount).calls - b.last(i+1).calls
	}
	return true
}

// last returns the bucket that is age buckets older than the current one.
func (b *Budget) last(age int) bucket { return b.buckets[(b.current+ringSize-int64(age))%ringSize] }

const (
	// sharedBudgetSafetyFactor is the fraction of the shared ratio that nodes use, since the
	// window slides over requests that are not counted yet.
	sharedBudgetSafetyFactor = 0.9
	// slackSafetyFactor is the fraction of the shared slack that nodes use, since a
	// restarted node doesn't know how many retries it has made.
	slackSafetyFactor = 0.5
	// callerRetryFactor is the fraction of the budget available to requests whose callers
	// can retry themselves, which doesn't use the budget. Nested calls, which a target makes
	// for a request in progress, have no such caller: without a retry the work already done
	// is lost.
	callerRetryFactor = 0.2
)

// NodeShare returns the share of a shared budget that each node may use: a ratio of retries
// to its own calls, and the slack beyond it. callerCanRetry is set for a request that
// certainly did not run and whose caller can be told to retry.
func NodeShare(ratio, slack float64, nodes int, callerCanRetry bool) (share, nodeSlack float64) {
	share, nodeSlack = sharedBudgetSafetyFactor*ratio, slackSafetyFactor*slack/float64(max(nodes, 1))
	if callerCanRetry {
		share, nodeSlack = share*callerRetryFactor, nodeSlack*callerRetryFactor
	}
	return share, nodeSlack
}

// RecordRetry counts a retry that was made without a check of the budget.
func (b *Budget) RecordRetry(now time.Duration) {
	b.mu.Lock()
	b.advance(now).retries++
	b.mu.Unlock()
}

// Return gives back a retry that was taken at a time and did not reach a target.
func (b *Budget) Return(takenAt, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if index := b.index(takenAt); index > b.current-ringSize {
		b.buckets[index%ringSize].retries--
	}
}

// totals returns the calls and retries of the window.
func (b *Budget) totals() (calls, retries int) {
	for i := range bucketCount {
		counts := b.last(i)
		calls += counts.calls
		retries += counts.retries
	}
	return calls, retries
}

// index returns the number of the bucket of a time.
func (b *Budget) index(t time.Duration) int64 {
	window := b.Window
	if window <= 0 {
		window = BudgetWindow
	}
	return int64(t / (window / bucketCount))
}

// advance clears the buckets that have left the ring and returns the current one.
func (b *Budget) advance(now time.Duration) *bucket {
	index := b.index(now)
	if index > b.current {
		for i := max(b.current+1, index-ringSize+1); i <= index; i++ {
			b.buckets[i%ringSize] = bucket{}
		}
		b.current = index
	}
	return &b.buckets[b.current%ringSize]
}
