package control

import (
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	// readerCount is the number of nodes that read the store for a large mesh. One is
	// enough, but a reader may be partitioned or crash when it is needed. Calls of the
	// store are billed, and with all 76 nodes of a mesh reading, they were the largest
	// cost of a quiet day.
	readerCount = 3
	// maxSmallMeshNodes is the size up to which all nodes of a mesh read the store
	// themselves: there the calls cost less than a hundredth of the value of the requests.
	maxSmallMeshNodes = 24
	// readerTimeout is added to a round of messages to all readers for the time after which
	// one of them counts as not heard.
	readerTimeout = 2500 * time.Millisecond
	// fastLinkMbps is the bandwidth in Mbit/s from which a reader can send a
	// configuration to many nodes at once.
	fastLinkMbps = 100
)

// large reports whether the mesh is so large that a few nodes read the store for all.
func (c *Control) large() bool { return c.dir.Len() >= maxSmallMeshNodes }

// chooseReaders selects the nodes that read the store: of the alive nodes with access
// to the store, the first ones in an order that all nodes share. Nodes with slow links
// are selected only if fewer than readerCount nodes have fast ones.
func (c *Control) chooseReaders(t Time) {
	for _, id := range c.readers {
		// A node contacts each reader within a few rounds.
		if id != c.self.Node && t.Now-c.readerSince[id] > aliveTimeout && c.dir.SinceLastMessage(id, t.Now) > aliveTimeout {
			c.unresponsiveReaders[id] = true
		}
	}
	before := c.readers
	c.readers = nil
	if !c.large() {
		return
	}
	var eligible, fast []mesh.NodeID
	for _, id := range c.alive(t) {
		mbps, lost := c.self.LinkMbps, c.storeLost
		if id != c.self.Node {
			known, _ := c.dir.Get(id)
			mbps, lost = known.LinkMbps, c.peers[id].StoreLost
		}
		if lost {
			continue
		}
		eligible = append(eligible, id)
		if mbps == 0 || mbps >= fastLinkMbps {
			fast = append(fast, id)
		}
	}
	if len(fast) >= readerCount {
		eligible = fast
	}
	ranked := mesh.RankNodes("store-reader", eligible)
	c.readers = ranked[:min(readerCount, len(ranked))]
	if !slices.Equal(before, c.readers) {
		c.log("readers_changed", "readers", c.readers, "eligible", len(eligible))
	}
	since := make(map[mesh.NodeID]time.Duration, len(c.readers))
	for _, id := range c.readers {
		since[id] = t.Now
		if before, ok := c.readerSince[id]; ok {
			since[id] = before
		}
	}
	c.readerSince = since
}

// handleStoreAvailability records whether the store responds to this node. In a large
// mesh a node that is or becomes a reader informs all nodes at once.
func (c *Control) handleStoreAvailability(t Time, ok bool) {
	before := c.isReader()
	c.storeLost = !ok
	c.chooseReaders(t)
	c.publishView(t)
	if c.large() && (before || c.isReader()) {
		c.broadcast(t)
	}
}

// isReader reports whether this node reads the store for the whole mesh.
func (c *Control) isReader() bool { return c.readerRank() < readerCount }

// readerRank returns the rank of this node among the readers, or readerCount if it is
// none. In a small mesh all nodes have rank 0.
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

// readsOperatorFeed reports whether this node itself reads the operator feed: as a reader, or
// since no other node proves that its configuration is the newest one.
func (c *Control) readsOperatorFeed(t Time) bool {
	if c.isReader() || c.configVersion() == 0 || !c.configFresh(t) {
		return true
	}
	return c.behind() && t.Now-c.fetch.missingSince >= fetchDelay
}

// pollWait returns the long-poll time of the operator feed, 0 if this node is no reader.
func (c *Control) pollWait() time.Duration {
	switch {
	case !c.large():
		return maxPollWait
	case c.isReader(), c.configVersion() == 0:
		return c.readerPollWait()
	default:
		return 0
	}
}
