package control

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	// readerCount is how many nodes of a large mesh follow the store for all. One is
	// enough, but a reader may be cut off or die at the moment at which it is needed.
	// Each call of the store is paid for, and with all 76 nodes of a mesh reading, calls
	// were the largest price of a quiet day.
	readerCount = 3
	// maxSmallMeshNodes is the size up to which all nodes follow the store themselves: there
	// the calls cost less than a hundredth of what the requests are worth.
	maxSmallMeshNodes = 24
	// readerTimeout is how long a node goes without a word of a reader until it follows
	// the store itself. It asks one each gossipInterval.
	readerTimeout = 2500 * time.Millisecond
	// fastLinkMbps is the bandwidth of links over which a reader can pass a
	// configuration on to many nodes at once.
	fastLinkMbps = 100
)

// large reports whether a few nodes read the store for all.
func (c *Control) large() bool { return c.dir.Len() >= maxSmallMeshNodes }

// chooseReaders settles which nodes follow the store: of those that live and that the
// store answers, the first in an order that all nodes share, fast links before slow ones.
func (c *Control) chooseReaders(t Time) {
	for _, id := range c.readers {
		// Each node asks each reader within a few rounds.
		if id != c.self.Node && t.Now-c.readerSince[id] > aliveTimeout && c.dir.SinceLastMessage(id, t.Now) > aliveTimeout {
			c.unresponsiveReaders[id] = true
		}
	}
	c.readers = nil
	if !c.large() {
		return
	}
	var able, fast []mesh.NodeID
	for _, id := range c.alive(t) {
		mbps, lost := c.self.LinkMbps, c.storeLost
		if id != c.self.Node {
			known, _ := c.dir.Get(id)
			mbps, lost = known.LinkMbps, c.peers[id].StoreLost
		}
		if lost {
			continue
		}
		able = append(able, id)
		if mbps == 0 || mbps >= fastLinkMbps {
			fast = append(fast, id)
		}
	}
	if len(fast) >= readerCount {
		able = fast
	}
	ranked := mesh.RankNodes("store-reader", able)
	c.readers = ranked[:min(readerCount, len(ranked))]
	since := make(map[mesh.NodeID]time.Duration, len(c.readers))
	for _, id := range c.readers {
		since[id] = t.Now
		if before, ok := c.readerSince[id]; ok {
			since[id] = before
		}
	}
	c.readerSince = since
}

// handleStoreAvailability takes whether the store answers this node. All are told at once if that
// changes who reads.
func (c *Control) handleStoreAvailability(t Time, ok bool) {
	before := c.isReader()
	c.storeLost = !ok
	c.chooseReaders(t)
	c.publishView(t)
	if c.large() && (before || c.isReader()) {
		c.broadcast(t)
	}
}

// isReader reports whether this node follows the store for all.
func (c *Control) isReader() bool { return c.readerRank() < readerCount }

// readerRank returns the place of this node among the readers. In a small mesh all
// are the first.
func (c *Control) readerRank() int {
	if !c.large() {
		return 0
	}
	for i, id := range c.readers {
		if id == c.self.Node {
			return i
		}
	}
	return readerCount
}

// readsOperator reports whether this node follows the operator's records itself.
func (c *Control) readsOperator(t Time) bool {
	if c.isReader() || c.configVersion() == 0 {
		return true
	}
	if c.missingVersion > c.configVersion() && t.Now-c.missingSince >= fetchDelay {
		return true
	}
	for _, id := range c.readers {
		if c.dir.SinceLastMessage(id, t.Now) < readerTimeout {
			return false
		}
	}
	return true
}
