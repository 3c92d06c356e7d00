package quota

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// loan is the state of the node's own share in a slot.
type loan struct {
	to Process
	// until is the end of the loan. From freeSince on the node uses the share itself.
	until, freeSince time.Duration
}

// lender lends the node's shares and uses those that are not lent.
type lender struct {
	loans [SlotCount]loan
	// buckets holds the buckets of the node's own shares that are not lent, by organisation.
	buckets map[string]*bucket
	// sequences holds the newest message of each allocator. An older one that arrives later
	// must neither renew a lease that was released nor release one that was renewed.
	sequences map[mesh.NodeID]sequence
}

type sequence struct {
	startUnixMS int64
	number      uint64
}

func newLender() *lender {
	l := &lender{buckets: map[string]*bucket{}, sequences: map[mesh.NodeID]sequence{}}
	for slot := range l.loans {
		// A former process of the node may have lent its shares until then.
		l.loans[slot].freeSince = LeaseTime
	}
	return l
}

// lent reports whether the share of a slot is lent.
func (l *lender) lent(slot Slot, now time.Duration) bool {
	o := &l.loans[slot]
	if o.to == (Process{}) {
		return false
	}
	if now < o.until {
		return true
	}
	o.to, o.freeSince = Process{}, max(o.freeSince, o.until)
	return false
}

// takeBack ends the loan of a slot. The borrower has ceased to use the share.
func (l *lender) takeBack(slot Slot, now time.Duration) {
	if l.lent(slot, now) {
		l.loans[slot] = loan{freeSince: max(now, LeaseTime)}
	}
}

// gone takes back what was lent to processes of a node that started before startUnixMS, and
// returns the slots.
func (l *lender) gone(node mesh.NodeID, startUnixMS int64, now time.Duration) SlotSet {
	var slots SlotSet
	for slot := range Slot(SlotCount) {
		if to := l.loans[slot].to; to.Node == node && to.StartUnixMS < startUnixMS && l.lent(slot, now) {
			l.takeBack(slot, now)
			slots = slots.with(slot)
		}
	}
	return slots
}

// accept reports whether a message is the newest of its sender.
func (l *lender) accept(r LeaseRequest) bool {
	last := l.sequences[r.Node]
	if r.StartUnixMS < last.startUnixMS || r.StartUnixMS == last.startUnixMS && r.Sequence <= last.number {
		return false
	}
	l.sequences[r.Node] = sequence{r.StartUnixMS, r.Sequence}
	return true
}

// handle processes a lease request. share is the node's share, and chosen returns the allocator
// that it would choose.
func (l *lender) handle(now time.Duration, r LeaseRequest, share float64, chosen func(Slot) Process) LeaseReply {
	from := Process{r.Node, r.StartUnixMS}
	if !l.accept(r) {
		return LeaseReply{}
	}
	l.gone(r.Node, r.StartUnixMS, now)
	for _, slot := range r.Released.Slots() {
		if l.loans[slot].to == from {
			l.takeBack(slot, now)
		}
	}
	var reply LeaseReply
	for _, slot := range r.Slots.Slots() {
		lent := l.lent(slot, now)
		switch {
		case chosen(slot) != from:
			reply.Refused = reply.Refused.with(slot)
		case share > 0 && (!lent || l.loans[slot].to == from):
			l.loans[slot].to, l.loans[slot].until = from, now+LeaseTime
			l.dropBuckets(slot)
			reply.Lent, reply.Share = reply.Lent.with(slot), share
		}
	}
	return reply
}

func (l *lender) dropBuckets(slot Slot) {
	for organisation := range l.buckets {
		if SlotOf(organisation) == slot {
			delete(l.buckets, organisation)
		}
	}
}

// take takes one token from the node's own share, if that is not lent.
func (l *lender) take(now time.Duration, organisation string, c Cap, share float64) bool {
	slot := SlotOf(organisation)
	if share <= 0 || l.lent(slot, now) {
		return false
	}
	b, ok := l.buckets[organisation]
	if !ok {
		b = newBucket(c, share, l.loans[slot].freeSince)
		l.buckets[organisation] = b
	}
	b.set(c, share, now)
	return b.take(1, now) == 1
}

// retain forgets organisations without a cap and nodes that are gone from the mesh.
func (l *lender) retain(caps map[string]Cap, nodes map[mesh.NodeID]*member) {
	for organisation := range l.buckets {
		if _, ok := caps[organisation]; !ok {
			delete(l.buckets, organisation)
		}
	}
	for node := range l.sequences {
		if _, ok := nodes[node]; !ok {
			delete(l.sequences, node)
		}
	}
}
