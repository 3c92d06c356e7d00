package control

import (
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	// gossipFanout is the number of nodes to which a node sends its state in a round.
	// In a large mesh with an open move of which no reader sends summaries, it is the
	// number of nodes divided by gossipDivisor, if that is more. Exchanges are bidirectional, so in a small mesh
	// any two nodes exchange messages every 3 s.
	gossipFanout  = 4
	gossipDivisor = 10
	// idleFanout is the fan-out in a large mesh otherwise, in addition to one reader. Traffic between zones is billed, and rounds to a tenth of 78 nodes
	// were a sixth of its bytes.
	idleFanout = 2
	// crossZoneRounds is the interval, in rounds, at which a node of a large mesh gossips with
	// nodes of other zones than its own.
	crossZoneRounds = 4
	// gossipInterval is the time between two gossip rounds.
	gossipInterval = time.Second
	// moveGossipInterval is the interval while a move is open. A faulty version must
	// get no more traffic 5 s after its fiftieth bad response.
	moveGossipInterval = 500 * time.Millisecond
	// shiftedGossipInterval is the interval when all traffic of an open move has begun to go to the
	// new version, for shiftedGossipTime: a move is released soon after that, or something holds it for
	// longer.
	shiftedGossipInterval = TickInterval
	shiftedGossipTime     = 3 * time.Second
	// aliveTimeout is the time since its last message after which a node counts as
	// unresponsive. It exceeds one gossip cycle through the mesh.
	aliveTimeout = 6 * time.Second
	// aliveTimeoutWithoutReader replaces aliveTimeout on a node of a large mesh that
	// receives nothing from any reader. Such a node depends on direct exchanges, of which
	// each node starts only idleFanout in a round.
	aliveTimeoutWithoutReader = 30 * time.Second
)

// propagateChange sends a change of this node or its target to the other nodes. In a
// large mesh the readers relay it within a round; meanwhile the node itself refuses
// requests that its target must not get.
func (c *Control) propagateChange(t Time) {
	if len(c.readers) == 0 || c.isReader() {
		c.broadcast(t)
		return
	}
	c.emit(SendState{To: slices.Clone(c.readers), State: c.State(t)})
}

func (c *Control) broadcast(t Time) {
	var to []mesh.NodeID
	for _, a := range c.contacts() {
		to = append(to, a.Node)
	}
	if len(to) > 0 {
		c.emit(SendState{To: to, State: c.State(t)})
	}
}

// gossip sends the state to a few nodes in turn and to a reader, whose reply shows
// whether there is a newer configuration. The message includes the announcement of
// one other node. A reader that learned of new nodes sends to all.
func (c *Control) gossip(t Time) {
	all := c.contacts()
	if len(all) == 0 {
		return
	}
	partners := c.partners(t, all)
	state := c.State(t)
	state.Others = append(c.takeAnnouncementsToRelay(), all[(c.gossipCursor*7)%uint64(len(all))])
	count := c.fanout(t, len(all))
	if len(state.Others) > 1 || count > idleFanout {
		partners = all
	}
	if len(state.Others) > 1 {
		count = len(all)
	}
	count = min(count, len(partners))
	to := make([]mesh.NodeID, 0, count+1)
	for range count {
		c.gossipCursor++
		to = append(to, partners[c.gossipCursor%uint64(len(partners))].Node)
	}
	if c.moveShifted(t) {
		to = append(to, c.readers...)
	} else if len(c.readers) > 0 {
		c.nextReader++
		if r := c.readers[c.nextReader%len(c.readers)]; r != c.self.Node {
			to = append(to, r)
		}
	}
	slices.Sort(to)
	to = slices.DeleteFunc(slices.Compact(to), func(id mesh.NodeID) bool { return id == c.self.Node })
	c.emit(SendState{To: to, State: state})
}

// partners returns the nodes among which those to gossip with are chosen. Traffic between zones
// is billed. In a large mesh the readers, which each node contacts in turn, connect the zones;
// most rounds of other nodes stay in their zone while they hear from a reader.
func (c *Control) partners(t Time, all []directory.Announcement) []directory.Announcement {
	c.gossipRound++
	if !c.large() || c.isReader() || !c.readerHeard(t) || c.gossipRound%crossZoneRounds == 0 {
		return all
	}
	own := slices.DeleteFunc(slices.Clone(all), func(a directory.Announcement) bool { return a.Zone != c.self.Zone })
	if len(own) < idleFanout {
		return all
	}
	return own
}

// readerHeard reports whether a message of a reader arrived in the last rounds.
func (c *Control) readerHeard(t Time) bool {
	return slices.ContainsFunc(c.readers, func(id mesh.NodeID) bool { return id != c.self.Node && c.readerHeardFrom(id, t) })
}

// readerHeardFrom reports whether a message of the reader arrived in the last rounds.
func (c *Control) readerHeardFrom(id mesh.NodeID, t Time) bool {
	return c.dir.SinceLastMessage(id, t.Now) < readerCount*gossipInterval+readerTimeout
}

// moveShifted reports whether all traffic of an open move has begun to go to the new version. A fault
// that shows only then must be known within a second.
func (c *Control) moveShifted(t Time) bool {
	for _, m := range c.moves {
		if m.move.Phase == canary.Shifted && t.Now-m.phaseSince < shiftedGossipTime {
			return true
		}
	}
	return false
}

// fanout returns the number of nodes to which the state is sent in a round. In a large
// mesh the readers distribute changes and the evidence on a version. Nodes without their
// summaries need the evidence from each other.
func (c *Control) fanout(t Time, others int) int {
	switch {
	case !c.large():
		return gossipFanout
	case c.moveOpen() && !c.movesSummarized(t):
		return max(gossipFanout, others/gossipDivisor)
	default:
		return idleFanout
	}
}

// maxRelayedAnnouncements is the maximum number of relayed announcements in a message.
const maxRelayedAnnouncements = 64

// takeAnnouncementsToRelay removes and returns the oldest announcements to relay.
func (c *Control) takeAnnouncementsToRelay() []directory.Announcement {
	count := min(len(c.announcementsToRelay), maxRelayedAnnouncements)
	out := slices.Clone(c.announcementsToRelay[:count])
	c.announcementsToRelay = slices.Delete(c.announcementsToRelay, 0, count)
	return out
}

// alive returns this node and the other nodes that respond and are not leaving.
func (c *Control) alive(t Time) []mesh.NodeID {
	ids := []mesh.NodeID{c.self.Node}
	for _, a := range c.dir.All() {
		if !a.Leaving && !c.unresponsive(a.Node, t) {
			ids = append(ids, a.Node)
		}
	}
	return ids
}

// unresponsive reports whether a node is considered dead or partitioned. In a large
// mesh two nodes exchange messages only about every half minute, but each node hears
// from a reader every second, and a reader hears from all nodes.
func (c *Control) unresponsive(id mesh.NodeID, t Time) bool {
	age := c.dir.SinceLastMessage(id, t.Now)
	if age <= aliveTimeout {
		return false
	}
	if !c.large() || c.isReader() || c.unresponsiveReaders[id] {
		return true
	}
	readerHeard := false
	for _, r := range c.readers {
		if r != id && c.readerHeardFrom(r, t) {
			readerHeard = true
			if !slices.Contains(c.peers[r].Unresponsive, id) {
				return false
			}
		}
	}
	// Without reports of the readers, a node cannot distinguish a dead node from one
	// that it has not exchanged messages with for a while.
	return readerHeard || age > aliveTimeoutWithoutReader
}
