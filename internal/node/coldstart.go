package node

import (
	"sync"
	"time"

	"heathercroft.example/heathercroft/pkg/rollout"
)

// coldStartTracker detects the requests that fall into the cold start of the local
// target. It is safe for concurrent use.
type coldStartTracker struct {
	mu     sync.Mutex
	filter rollout.ColdStartFilter
	now    func() time.Duration
}

// observe counts a request and reports whether it falls into the cold start.
func (c *coldStartTracker) observe() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.filter.Observe(c.now(), rollout.TargetSession{})
}

// reset starts a new cold start after a restart of the target.
func (c *coldStartTracker) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.filter = rollout.ColdStartFilter{}
}
