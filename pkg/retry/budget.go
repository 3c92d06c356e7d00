package retry

import (
	"sync"
	"time"
)

// Limits of the budget.
const (
	// BudgetWindow is the time over which calls are counted.
	BudgetWindow = 10 * time.Second
	// BudgetRatio is the share of the calls in the window that may be retries.
	BudgetRatio = 0.2
	// MinRetriesPerSecond is how many retries a second are allowed beyond the share.
	MinRetriesPerSecond = 3
)

const bucketCount = 10

// Budget bounds the retries of one service. It is safe for concurrent use.
type Budget struct {
	// Window is the time over which calls are counted, BudgetWindow if it is not set. It
	// must not change after the first call.
	Window time.Duration

	mu      sync.Mutex
	current int64
	buckets [bucketCount]bucket
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

// Allow spends one retry if the budget has one.
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

// AllowNodeShare spends one retry of a budget that many nodes share without talking:
// the part of each is safe when all spend theirs at once. It allows share of the
// calls of this node, and slack retries beyond.
func (b *Budget) AllowNodeShare(now time.Duration, share, slack float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.advance(now)
	calls, retries := b.totals()
	if float64(retries+1) > share*float64(calls)+slack {
		return false
	}
	current.retries++
	return true
}

const (
	// sharedBudgetSafetyFactor is the part of the shared budget that nodes use: its window slides
	// over requests that are not counted yet.
	sharedBudgetSafetyFactor = 0.9
	// slackSafetyFactor is the part of the fixed slack: a node that restarts does not know
	// what it has spent.
	slackSafetyFactor = 0.5
	// callerRetryFactor is the part of the budget that requests may use whose callers can come
	// back instead, which costs nothing of it. Calls that targets make for a request in
	// progress cannot: without a second send the work already done is lost.
	callerRetryFactor = 0.2
)

// NodeShare returns the part of a shared budget that each of some nodes may use: a share of
// its own calls, and slack retries beyond. canReturn is set for a request that certainly
// did not run and whose caller can be told to come back.
func NodeShare(ratio, slack float64, nodes int, callerCanRetry bool) (share, nodeSlack float64) {
	share, nodeSlack = sharedBudgetSafetyFactor*ratio, slackSafetyFactor*slack/float64(max(nodes, 1))
	if callerCanRetry {
		share, nodeSlack = share*callerRetryFactor, nodeSlack*callerRetryFactor
	}
	return share, nodeSlack
}

// RecordRetry counts a retry that was made without asking.
func (b *Budget) RecordRetry(now time.Duration) {
	b.mu.Lock()
	b.advance(now).retries++
	b.mu.Unlock()
}

func (b *Budget) totals() (calls, retries int) {
	for _, k := range b.buckets {
		calls += k.calls
		retries += k.retries
	}
	return calls, retries
}

// advance clears the buckets that left the window and returns the current one.
func (b *Budget) advance(now time.Duration) *bucket {
	window := b.Window
	if window <= 0 {
		window = BudgetWindow
	}
	at := int64(now / (window / bucketCount))
	if at > b.current {
		for i := max(b.current+1, at-int64(bucketCount)+1); i <= at; i++ {
			b.buckets[i%int64(bucketCount)] = bucket{}
		}
		b.current = at
	}
	return &b.buckets[b.current%int64(bucketCount)]
}
