package node

import (
	"sync"
	"time"

	"heathercroft.example/heathercroft/pkg/rollout"
)

// coldStartTracker marks the requests that fall into the cold start of the local
// target. It is safe for concurrent use.
type coldStartTracker struct {
	mu     sync.Mutex
	filter rollout.ColdStartFilter
	now    func() time.Duration
}

func (c *coldStartTracker) observe() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.filter.Observe(c.now(), rollout.TargetSession{})
}

// reset begins a new cold start, since the target was restarted.
func (c *coldStartTracker) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.filter = rollout.ColdStartFilter{}
}
