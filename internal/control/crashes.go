package control

import "time"

const (
	// crashLimit is how many crashes in the mesh refuse a request. One crash is no
	// proof, since other requests ran at the target too.
	crashLimit = 2
	// crashRetention is how long a crash counts. Such a request comes again for as long
	// as its caller tries, and a target is back after some seconds.
	crashRetention = 60 * time.Second
	// maxCrashes bounds the memory and the messages between nodes.
	maxCrashes = 64
)

// crash is what this node saw of one request.
type crash struct {
	count int
	last  time.Duration
}

// recordCrash counts the requests that ran when the local target recordCrash.
func (c *Control) recordCrash(t Time, requests []uint64) {
	for _, f := range requests {
		if len(c.crashes) >= maxCrashes {
			c.dropOldestCrash()
		}
		k := c.crashes[f]
		c.crashes[f] = crash{k.count + 1, t.Now}
	}
	c.log("target_crashed", "requests", len(requests))
	c.publishView(t)
	c.broadcast(t)
}

func (c *Control) dropOldestCrash() {
	var oldest uint64
	at := time.Duration(-1)
	for f, k := range c.crashes {
		if at < 0 || k.last < at {
			oldest, at = f, k.last
		}
	}
	delete(c.crashes, oldest)
}

func (c *Control) expireCrashes(t Time) {
	for f, k := range c.crashes {
		if t.Now-k.last > crashRetention {
			delete(c.crashes, f)
		}
	}
}

// ownCrashes returns the counts that go to other nodes.
func (c *Control) ownCrashes() map[uint64]int {
	if len(c.crashes) == 0 {
		return nil
	}
	out := make(map[uint64]int, len(c.crashes))
	for f, k := range c.crashes {
		out[f] = k.count
	}
	return out
}

// crashingRequests returns the requests that crashed targets often enough anywhere.
func (c *Control) crashingRequests() map[uint64]bool {
	total := c.ownCrashes()
	for _, p := range c.peers {
		for f, count := range p.Crashes {
			if total == nil {
				total = map[uint64]int{}
			}
			total[f] += count
		}
	}
	var out map[uint64]bool
	for f, count := range total {
		if count >= crashLimit {
			if out == nil {
				out = map[uint64]bool{}
			}
			out[f] = true
		}
	}
	return out
}
