package control

import (
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	// gossipFanout is how many nodes get the state of a node in a round, and
	// gossipPart the part of the mesh where that is more. Each exchange goes both
	// ways, so that in a small mesh two nodes hear of each other every 3 s.
	gossipFanout  = 4
	gossipDivisor = 10
	// idleFanout is that of a large mesh without a move, beside a reader. Bytes between
	// zones are paid for, and rounds to a tenth of 78 nodes were a sixth of them.
	idleFanout = 2
	// gossipInterval is the time between two rounds.
	gossipInterval = time.Second
	// moveGossipInterval is the interval while a move is open: a bad version must be out
	// 5 s after its fiftieth bad answer.
	moveGossipInterval = 500 * time.Millisecond
	// aliveTimeout is how long ago a node was heard of to count as alive: over one
	// round through the mesh.
	aliveTimeout = 6 * time.Second
	// aliveTimeoutWithoutReader is that time for a node of a large mesh that hears of no reader: two
	// nodes meet in calmFanout rounds of all others.
	aliveTimeoutWithoutReader = 30 * time.Second
)

// propagateChange tells the others of a change of this node or its target. In a large mesh the
// readers pass it on within a round: meanwhile the node itself refuses what its target
// may not get.
func (c *Control) propagateChange(t Time) {
	if len(c.readers) == 0 || c.isReader() {
		c.broadcast(t)
		return
	}
	c.emit(SendState{To: slices.Clone(c.readers), State: c.State(t)})
}

func (c *Control) broadcast(t Time) {
	var to []mesh.NodeID
	for _, a := range c.dir.All() {
		to = append(to, a.Node)
	}
	if len(to) > 0 {
		c.emit(SendState{To: to, State: c.State(t)})
	}
}

// gossip sends the state to a few nodes in turn, and to a reader, whose answer tells
// whether there is a newer configuration. A random announcement goes along. A reader
// that has read of new nodes tells all.
func (c *Control) gossip(t Time) {
	all := c.dir.All()
	if len(all) == 0 {
		return
	}
	state := c.State(t)
	state.Others = append(c.takeAnnouncementsToRelay(), all[(c.gossipCursor*7)%uint64(len(all))])
	count := min(c.fanout(len(all)), len(all))
	if len(state.Others) > 1 {
		count = len(all)
	}
	to := make([]mesh.NodeID, 0, count+1)
	for range count {
		c.gossipCursor++
		to = append(to, all[c.gossipCursor%uint64(len(all))].Node)
	}
	if len(c.readers) > 0 {
		c.nextReader++
		if r := c.readers[c.nextReader%len(c.readers)]; r != c.self.Node {
			to = append(to, r)
		}
	}
	slices.Sort(to)
	c.emit(SendState{To: slices.Compact(to), State: state})
}

// probeUnheardNodes sends the state to the nodes that are known but not heard: they show by their
// answers whether they live. Of two nodes that start together one is enough.
func (c *Control) probeUnheardNodes(t Time) {
	var to []mesh.NodeID
	for _, a := range c.dir.All() {
		if c.dir.SinceLastMessage(a.Node, t.Now) > aliveTimeout {
			to = append(to, a.Node)
		}
	}
	if len(to) > 0 {
		c.emit(SendState{To: to, State: c.State(t)})
	}
}

// fanout returns to how many nodes the state goes in a round. In a large mesh the
// readers tell what matters, but for the evidence on a version, which all need.
func (c *Control) fanout(others int) int {
	switch {
	case !c.large():
		return gossipFanout
	case c.moveOpen():
		return max(gossipFanout, others/gossipDivisor)
	default:
		return idleFanout
	}
}

// maxRelayedAnnouncements bounds the announcements in one message.
const maxRelayedAnnouncements = 64

// takeAnnouncementsToRelay returns the oldest announcements that are to be passed on.
func (c *Control) takeAnnouncementsToRelay() []directory.Announcement {
	count := min(len(c.announcementsToRelay), maxRelayedAnnouncements)
	out := slices.Clone(c.announcementsToRelay[:count])
	c.announcementsToRelay = slices.Delete(c.announcementsToRelay, 0, count)
	return out
}

// alive returns the other nodes that live, and this one.
func (c *Control) alive(t Time) []mesh.NodeID {
	ids := []mesh.NodeID{c.self.Node}
	for _, a := range c.dir.All() {
		if !a.Leaving && !c.unresponsive(a.Node, t) {
			ids = append(ids, a.Node)
		}
	}
	return ids
}

// unresponsive reports whether a node is taken for dead or cut off. In a large mesh two nodes
// hear of each other directly only each half minute or so, but each hears of the readers
// each second, and a reader hears of all.
func (c *Control) unresponsive(id mesh.NodeID, t Time) bool {
	age := c.dir.SinceLastMessage(id, t.Now)
	if age <= aliveTimeout {
		return false
	}
	if !c.large() || c.isReader() || c.unresponsiveReaders[id] {
		return true
	}
	heard := false
	for _, r := range c.readers {
		if r != id && c.dir.SinceLastMessage(r, t.Now) < readerCount*gossipInterval+readerTimeout {
			heard = true
			if !slices.Contains(c.peers[r].Unresponsive, id) {
				return false
			}
		}
	}
	// Without a word of the readers, a node cannot tell who is dead from whom it has not
	// met for a while.
	return heard || age > aliveTimeoutWithoutReader
}
