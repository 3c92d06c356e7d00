package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Node is the part of a node that enforces the caps: it lends its shares, is the allocator of
// some slots, and decides about the requests of its callers. It is not safe for concurrent use.
//
// All times are on the node's clock, which starts at 0 with the process and includes the time in
// which the process or the machine is suspended.
type Node struct {
	self    Process
	caps    map[string]Cap
	members map[mesh.NodeID]*member
	// ordered holds the members in the order of their names.
	ordered []*member
	count   int
	// nextChoice is when the allocators are determined again without a change of the members.
	nextChoice time.Duration
	// chosen holds the allocator of each slot as this node chooses it.
	chosen    [SlotCount]Process
	lender    *lender
	allocator *allocator
	pockets   map[string]*pocket
	lastID    WaiterID
	events    []Event
}

// member is what the node knows of another node or itself.
type member struct {
	Member
	scores [SlotCount]float64
	// heardAt is the time of the last message, heard is set once there was one.
	heardAt time.Duration
	heard   bool
	// chosenSince is when the node was chosen as an allocator, while isChosen is set.
	chosenSince time.Duration
	isChosen    bool
	// silent is set for a node that should have sent a message or an answer, until the next
	// message of it, or until it has restarted.
	silent bool
}

// Event is a change of the leases, for logs.
type Event struct {
	// Kind is one of the constants below.
	Kind  EventKind
	Slots []Slot
	// Node is the other node: the allocator as of now, the one that is silent, or the borrower.
	Node mesh.NodeID
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	// AllocatorChosen reports the allocator of slots, AllocatorSilent a node that is no longer
	// considered, and ShareTakenBack that the node uses its own share again since the process
	// of the allocator is gone.
	AllocatorChosen EventKind = "quota_allocator"
	AllocatorSilent EventKind = "quota_allocator_silent"
	ShareTakenBack  EventKind = "quota_share_taken_back"
	// SlotAcquired and SlotReleased report that this node begins and ceases to be the allocator.
	SlotAcquired EventKind = "quota_slot_acquired"
	SlotReleased EventKind = "quota_slot_released"
)

// New returns the state of a node at its start.
func New(self Process) *Node {
	return &Node{
		self: self, caps: map[string]Cap{}, members: map[mesh.NodeID]*member{},
		lender: newLender(), allocator: newAllocator(), pockets: map[string]*pocket{},
	}
}

// Events returns and removes the events since the last call.
func (n *Node) Events() []Event {
	out := n.events
	n.events = nil
	return out
}

// SetCaps applies the caps of a configuration, by organisation.
func (n *Node) SetCaps(now time.Duration, caps map[string]Cap) {
	if maps.Equal(n.caps, caps) {
		return
	}
	for slot := range Slot(SlotCount) {
		if s := n.allocator.slots[slot]; s != nil {
			n.allocator.expire(slot, n.caps, now)
			s.update(slot, caps, now)
		}
	}
	if len(n.caps) == 0 {
		// Without caps no allocator has sent messages, so that its silence shows nothing.
		for _, m := range n.members {
			m.chosenSince = now
		}
	}
	n.caps = caps
	n.lender.retain(n.caps, n.members)
}

// SetMembers applies what the node knows of the mesh.
func (n *Node) SetMembers(now time.Duration, m Members) {
	n.count = m.Count
	known := make(map[mesh.NodeID]*member, len(m.Nodes))
	for _, o := range m.Nodes {
		before, ok := n.members[o.Node]
		if !ok {
			before = &member{}
		}
		if !ok || before.LinkMbps != o.LinkMbps {
			for slot := range before.scores {
				before.scores[slot] = score(Slot(slot), o.Node, o.LinkMbps)
			}
		}
		if o.StartUnixMS > before.StartUnixMS {
			n.processGone(now, o.Node, o.StartUnixMS)
			before.silent, before.heard = false, false
		}
		before.Member = o
		known[o.Node] = before
		if o.Node == n.self.Node && o.StartUnixMS != n.self.StartUnixMS {
			// The lenders take this for another process, and have taken their shares back.
			n.self, n.allocator = o.Process, newAllocator()
		}
	}
	n.members = known
	n.ordered = slices.SortedFunc(maps.Values(known), func(a, b *member) int { return cmp.Compare(a.Node, b.Node) })
	for node := range n.allocator.lenders {
		if _, ok := known[node]; !ok {
			delete(n.allocator.lenders, node)
		}
	}
	n.lender.retain(n.caps, n.members)
	n.choose(now)
}

// processGone takes back what was lent to a process of a node that started before startUnixMS.
func (n *Node) processGone(now time.Duration, node mesh.NodeID, startUnixMS int64) {
	if node == n.self.Node {
		return
	}
	if slots := n.lender.gone(node, startUnixMS, now); slots != 0 {
		n.event(Event{Kind: ShareTakenBack, Slots: slots.Slots(), Node: node})
	}
}

func (n *Node) event(e Event) {
	if len(n.events) < maxEvents {
		n.events = append(n.events, e)
	}
}

// maxEvents bounds the events that are not yet read.
const maxEvents = 256

// share returns the part of each cap that is the node's own.
func (n *Node) share(now time.Duration) float64 {
	if n.count <= 0 || now < LeaseTime {
		return 0
	}
	return 1 / float64(max(n.count, len(n.members)))
}

// eligible reports whether a node may be chosen as an allocator. A node that has just started has
// heard of no other one. If it took them for dead, all nodes that start together would ask each
// other for all shares.
func (m *member) eligible(now time.Duration) bool {
	if m.Leaving || m.silent {
		return false
	}
	return !m.Unresponsive || now < LeaseTime || m.heard && now-m.heardAt < silenceLimit
}

// choiceInterval is the time after which the silence of nodes is examined again.
const choiceInterval = 200 * time.Millisecond

// choose determines the allocators.
func (n *Node) choose(now time.Duration) {
	n.nextChoice = now + choiceInterval
	for _, m := range n.ordered {
		since := m.chosenSince
		if m.heard {
			since = max(since, m.heardAt)
		}
		if m.isChosen && m.Node != n.self.Node && !m.silent && now-since > silenceLimit {
			n.markSilent(m)
		}
	}
	var best [SlotCount]*member
	for _, m := range n.ordered {
		if !m.eligible(now) && m.Node != n.self.Node || m.Leaving {
			continue
		}
		for slot, b := range best {
			if b == nil || m.scores[slot] > b.scores[slot] {
				best[slot] = m
			}
		}
	}
	changes := map[Process]SlotSet{}
	for slot, b := range best {
		var p Process
		if b != nil {
			p = b.Process
		}
		if p != n.chosen[slot] {
			changes[p] = changes[p].with(Slot(slot))
		}
		n.chosen[slot] = p
	}
	n.updateChosen(now)
	n.updateSlots(now)
	for _, p := range slices.SortedFunc(maps.Keys(changes), compareProcesses) {
		n.event(Event{Kind: AllocatorChosen, Slots: changes[p].Slots(), Node: p.Node})
	}
}

func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.StartUnixMS, b.StartUnixMS))
}

func (n *Node) updateChosen(now time.Duration) {
	for _, m := range n.ordered {
		chosen := slices.Contains(n.chosen[:], m.Process)
		if chosen && !m.isChosen {
			m.chosenSince = now
		}
		m.isChosen = chosen
	}
}

// updateSlots begins and ceases to be the allocator of slots.
func (n *Node) updateSlots(now time.Duration) {
	var acquired, released SlotSet
	for slot := range Slot(SlotCount) {
		switch is, was := n.chosen[slot] == n.self, n.allocator.slots[slot] != nil; {
		case is && !was:
			n.allocator.acquire(slot, now)
			acquired = acquired.with(slot)
		case was && !is:
			n.allocator.release(slot, now)
			released = released.with(slot)
		}
	}
	if acquired != 0 {
		n.event(Event{Kind: SlotAcquired, Slots: acquired.Slots()})
	}
	if released != 0 {
		n.event(Event{Kind: SlotReleased, Slots: released.Slots()})
	}
}

func (n *Node) markSilent(m *member) {
	m.silent = true
	n.event(Event{Kind: AllocatorSilent, Node: m.Node})
}

// heardFrom records a message of a process.
func (n *Node) heardFrom(now time.Duration, p Process) {
	m, ok := n.members[p.Node]
	if !ok || p.StartUnixMS < m.StartUnixMS {
		return
	}
	m.heardAt, m.heard = now, true
	if !m.silent && p.StartUnixMS == m.StartUnixMS {
		return
	}
	if p.StartUnixMS > m.StartUnixMS {
		n.processGone(now, p.Node, p.StartUnixMS)
		m.StartUnixMS = p.StartUnixMS
	}
	m.silent = false
	n.choose(now)
}

// Tick returns the lease requests that are due. It is called several times a second.
func (n *Node) Tick(now time.Duration) []LeaseCall {
	if now >= n.nextChoice {
		n.choose(now)
	}
	for organisation, p := range n.pockets {
		if p.isIdle(now) {
			delete(n.pockets, organisation)
		}
	}
	var out []LeaseCall
	for _, m := range n.ordered {
		node := m.Node
		if !n.allocator.due(node, now) {
			continue
		}
		call := LeaseCall{To: m.Process, Request: n.allocator.request(n.self, node, now), SentAt: now}
		if node == n.self.Node {
			n.LeaseAnswered(now, call, n.HandleLease(now, call.Request))
			continue
		}
		out = append(out, call)
	}
	return out
}

// HandleLease processes the lease request of an allocator.
func (n *Node) HandleLease(now time.Duration, r LeaseRequest) LeaseReply {
	if r.Node != n.self.Node {
		n.heardFrom(now, Process{r.Node, r.StartUnixMS})
	}
	reply := n.lender.handle(now, r, n.share(now), func(slot Slot) Process { return n.chosen[slot] })
	if now < LeaseTime {
		reply.WaitMS = milliseconds(LeaseTime - now)
	}
	return reply
}

// LeaseAnswered processes the reply to a lease request.
func (n *Node) LeaseAnswered(now time.Duration, call LeaseCall, reply LeaseReply) {
	if call.Request.StartUnixMS != n.self.StartUnixMS {
		return
	}
	n.allocator.lent(now, call, reply, n.caps)
}

// ProcessRefused reports that a process refused a connection: it is gone.
func (n *Node) ProcessRefused(now time.Duration, p Process) {
	m, ok := n.members[p.Node]
	if !ok || m.StartUnixMS != p.StartUnixMS || p.Node == n.self.Node {
		return
	}
	if !m.silent {
		n.markSilent(m)
	}
	n.processGone(now, p.Node, p.StartUnixMS+1)
	n.choose(now)
}

// HandleTake processes the request of a node for tokens.
func (n *Node) HandleTake(now time.Duration, r TakeRequest) TakeReply {
	return n.allocator.take(now, r, n.caps)
}

// AllocatorShare returns the share of the caps that this node has leased as the allocator of an
// organisation.
func (n *Node) AllocatorShare(now time.Duration, organisation string) float64 {
	slot := SlotOf(organisation)
	s := n.allocator.slots[slot]
	if s == nil {
		return 0
	}
	n.allocator.expire(slot, n.caps, now)
	return s.share
}

// OwnShare returns the share of the cap that the node itself may use: its base share, or 0 while
// that is lent.
func (n *Node) OwnShare(now time.Duration, organisation string) float64 {
	if n.lender.lent(SlotOf(organisation), now) {
		return 0
	}
	return n.share(now)
}

// OwnedSlots returns the slots of which this node is the allocator.
func (n *Node) OwnedSlots() SlotSet { return n.allocator.owned() }

// LentSlots returns the slots whose share the node has lent.
func (n *Node) LentSlots(now time.Duration) SlotSet {
	var s SlotSet
	for slot := range Slot(SlotCount) {
		if n.lender.lent(slot, now) {
			s = s.with(slot)
		}
	}
	return s
}
