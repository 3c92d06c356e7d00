package control

import (
	"time"

	"heathercroft.example/heathercroft/pkg/directory"
)

const (
	// expiredProbeInterval is the time between two messages to nodes that have expired, one node
	// at a time. A partition may last longer than directory.MemberLifetime, and neither side
	// learns of the other one from the store, where nothing changes.
	expiredProbeInterval = 2 * time.Second
	// expiredRetention is how long an expired node is probed. Longer partitions end with a probe
	// of a node that is found later, or a restart.
	expiredRetention = 2 * time.Hour
	// maxExpired bounds the memory for expired nodes.
	maxExpired = 1024
)

// expiredNode is a node that was removed from the directory because it did not respond.
type expiredNode struct {
	directory.Announcement
	since time.Duration
}

// expireNodes removes the nodes that have not responded for directory.MemberLifetime.
func (c *Control) expireNodes(t Time) {
	for _, a := range c.dir.Expire(t.Now) {
		delete(c.peers, a.Node)
		delete(c.fetch.holders, a.Node)
		delete(c.unresponsiveReaders, a.Node)
		if !a.Leaving && len(c.expired) < maxExpired {
			c.expired = append(c.expired, expiredNode{a, t.Now})
		}
		c.log("node_expired", "peer", string(a.Node))
	}
	c.probeExpired(t)
}

// probeExpired sends the state to the next expired node, whose reply makes it known again.
func (c *Control) probeExpired(t Time) {
	if t.Now < c.nextExpiredProbe {
		return
	}
	c.nextExpiredProbe = t.Now + expiredProbeInterval
	for len(c.expired) > 0 {
		next := c.expired[0]
		c.expired = c.expired[1:]
		if _, known := c.dir.Get(next.Node); known || t.Now-next.since > expiredRetention || c.addressInUse(next.Announcement) {
			continue
		}
		c.expired = append(c.expired, next)
		c.emit(ProbeNode{To: next.Announcement, State: c.State(t)})
		return
	}
}

// addressInUse reports whether another node has the address of an expired one.
func (c *Control) addressInUse(a directory.Announcement) bool {
	owner, ok := c.dir.Owner(a.CallAddress)
	return ok && owner != a.Node || a.CallAddress == c.self.CallAddress
}
