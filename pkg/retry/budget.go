package retry

import (
	"sync"
	"time"
)

// Limits of the budget.
const (
	// BudgetWindow is the time over which calls are counted.
	BudgetWindow = 10 * time.Second
	// BudgetShare is the share of the calls in the window that may be retries.
	BudgetShare = 0.2
	// BudgetPerSecond is how many retries a second are allowed beyond the share.
	BudgetPerSecond = 3
)

const bucketCount = int(BudgetWindow / time.Second)

// Budget bounds the retries of one service. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	second  int64
	buckets [bucketCount]bucket
}

type bucket struct {
	calls   int
	retries int
}

// Call counts a first attempt.
func (b *Budget) Call(now time.Duration) {
	b.mu.Lock()
	b.advance(now).calls++
	b.mu.Unlock()
}

// Allow spends one retry if the budget has one.
func (b *Budget) Allow(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.advance(now)
	calls, retries := b.sums()
	if float64(retries+1) > BudgetShare*float64(calls) && current.retries >= BudgetPerSecond {
		return false
	}
	current.retries++
	return true
}

// AllowPart spends one retry of a budget that many nodes share without talking:
// the part of each is safe when all spend theirs at once. It allows share of the
// calls of this node, and slack retries beyond.
func (b *Budget) AllowPart(now time.Duration, share, slack float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.advance(now)
	calls, retries := b.sums()
	if float64(retries+1) > share*float64(calls)+slack {
		return false
	}
	current.retries++
	return true
}

// Spend counts a retry that was made without asking.
func (b *Budget) Spend(now time.Duration) {
	b.mu.Lock()
	b.advance(now).retries++
	b.mu.Unlock()
}

func (b *Budget) sums() (calls, retries int) {
	for _, k := range b.buckets {
		calls += k.calls
		retries += k.retries
	}
	return calls, retries
}

// advance clears the buckets that left the window and returns the current one.
func (b *Budget) advance(now time.Duration) *bucket {
	second := int64(now / time.Second)
	if second > b.second {
		for s := max(b.second+1, second-int64(bucketCount)+1); s <= second; s++ {
			b.buckets[s%int64(bucketCount)] = bucket{}
		}
		b.second = second
	}
	return &b.buckets[b.second%int64(bucketCount)]
}
