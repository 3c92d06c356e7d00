package node

import (
	"sync"
	"time"

	"heathercroft.example/heathercroft/pkg/rollout"
)

// coldStart marks the requests that fall into the cold start of the local
// target. It is safe for concurrent use.
type coldStart struct {
	mu  sync.Mutex
	age rollout.ColdStartFilter
	now func() time.Duration
}

func (c *coldStart) count() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.age.Observe(c.now(), rollout.TargetSession{})
}

// reset begins a new cold start, since the target was restarted.
func (c *coldStart) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.age = rollout.ColdStartFilter{}
}
