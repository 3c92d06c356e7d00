package control

import "time"

const (
	// crashThreshold is the number of crashes in the mesh after which a request is refused.
	// One crash proves nothing, since other requests ran on the target too.
	crashThreshold = 2
	// crashRetention is how long a crash counts. A client may keep retrying such a
	// request, and a crashed target is back after some seconds.
	crashRetention = 60 * time.Second
	// maxCrashes bounds the tracked requests, and with them memory and message size.
	maxCrashes = 64
)

// crash counts the crashes of the local target while one request ran.
type crash struct {
	count int
	last  time.Duration
}

// recordCrash records a crash of the local target for each request that ran on it.
func (c *Control) recordCrash(t Time, requests []uint64) {
	for _, f := range requests {
		if len(c.crashes) >= maxCrashes {
			c.dropOldestCrash()
		}
		entry := c.crashes[f]
		c.crashes[f] = crash{entry.count + 1, t.Now}
	}
	c.log("target_crashed", "requests", len(requests))
	c.publishView(t)
	c.broadcast(t)
}

func (c *Control) dropOldestCrash() {
	var oldest uint64
	at := time.Duration(-1)
	for f, entry := range c.crashes {
		if at < 0 || entry.last < at {
			oldest, at = f, entry.last
		}
	}
	delete(c.crashes, oldest)
}

func (c *Control) expireCrashes(t Time) {
	for f, entry := range c.crashes {
		if t.Now-entry.last > crashRetention {
			delete(c.crashes, f)
		}
	}
}

// ownCrashes returns the crash counts of the local target by request fingerprint.
func (c *Control) ownCrashes() map[uint64]int {
	if len(c.crashes) == 0 {
		return nil
	}
	out := make(map[uint64]int, len(c.crashes))
	for f, entry := range c.crashes {
		out[f] = entry.count
	}
	return out
}

// crashingRequests returns the fingerprints of requests with at least crashThreshold
// crashes in the whole mesh.
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
		if count >= crashThreshold {
			if out == nil {
				out = map[uint64]bool{}
			}
			out[f] = true
		}
	}
	return out
}
