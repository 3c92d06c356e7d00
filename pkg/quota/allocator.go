package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// lease is a leased share of one lender in one slot.
type lease struct {
	share float64
	until time.Duration
}

// allocation is a slot of which this node is the allocator.
type allocation struct {
	since  time.Duration
	leases map[mesh.NodeID]lease
	// share is the sum of the leased shares, and nextEnd is not after the first end of a lease.
	share   float64
	nextEnd time.Duration
	// buckets holds the bucket of each capped organisation while share is above 0.
	buckets map[string]*bucket
}

// borrower is what an allocator knows of one lender.
type borrower struct {
	// next is when the next request is due.
	next time.Duration
	// released holds slots whose release has yet to be sent. Replies to requests up to
	// releasedAt do not count for a slot: the lender may have taken the share back since.
	released   SlotSet
	releasedAt [SlotCount]uint64
	sequence   uint64
	// unanswered is set while the last request has no reply.
	unanswered bool
	// spread is set once the renewals of this lender are at another time than those of others.
	spread bool
}

// allocator leases shares and grants tokens from them.
type allocator struct {
	slots   [SlotCount]*allocation
	lenders map[mesh.NodeID]*borrower
	// sequence is that of the last request to any lender. It goes on when a lender is forgotten: the
	// lender may remember the last request to it.
	sequence uint64
}

func newAllocator() *allocator {
	return &allocator{lenders: map[mesh.NodeID]*borrower{}}
}

// acquire makes this node the allocator of a slot.
func (a *allocator) acquire(slot Slot, now time.Duration) {
	a.slots[slot] = &allocation{since: now, leases: map[mesh.NodeID]lease{}, buckets: map[string]*bucket{}}
	for _, b := range a.lenders {
		b.next = now
	}
}

// release ends the use of the shares of a slot. All lenders are told: one whose reply has not
// arrived may have lent its share too.
func (a *allocator) release(slot Slot, now time.Duration) {
	for node := range a.lenders {
		a.returnShare(slot, node, now)
	}
	a.slots[slot] = nil
}

// returnShare has the lender told that its share is no longer used.
func (a *allocator) returnShare(slot Slot, node mesh.NodeID, now time.Duration) {
	if b, ok := a.lenders[node]; ok {
		b.released, b.next = b.released.with(slot), now
		b.releasedAt[slot] = b.sequence
	}
}

// owned returns the slots of this allocator.
func (a *allocator) owned() SlotSet {
	var s SlotSet
	for slot := range Slot(SlotCount) {
		if a.slots[slot] != nil {
			s = s.with(slot)
		}
	}
	return s
}

// expire removes the leases that have ended, in the order of their ends: a bucket fills with the
// rate that it had at each time.
func (a *allocator) expire(slot Slot, caps map[string]Cap, now time.Duration) {
	s := a.slots[slot]
	for now >= s.nextEnd && len(s.leases) > 0 {
		end := s.firstEnd()
		if end > now {
			s.nextEnd = end
			return
		}
		for node, l := range s.leases {
			if l.until == end {
				delete(s.leases, node)
			}
		}
		s.update(slot, caps, end)
	}
}

func (s *allocation) firstEnd() time.Duration {
	first := time.Duration(-1)
	for _, l := range s.leases {
		if first < 0 || l.until < first {
			first = l.until
		}
	}
	return first
}

// update applies a change of the leases or caps to the buckets.
func (s *allocation) update(slot Slot, caps map[string]Cap, now time.Duration) {
	// Whole numbers add up to the same sum in any order.
	const parts = 1e12
	sum := int64(0)
	for _, l := range s.leases {
		sum += int64(l.share * parts)
	}
	s.share = min(float64(sum)/parts, 1)
	if len(s.leases) == 0 {
		s.share = 0
		clear(s.buckets)
		return
	}
	for organisation := range s.buckets {
		if _, ok := caps[organisation]; !ok {
			delete(s.buckets, organisation)
		}
	}
	for organisation, c := range caps {
		if SlotOf(organisation) != slot {
			continue
		}
		if b, ok := s.buckets[organisation]; ok {
			b.set(c, s.share, now)
		} else {
			s.buckets[organisation] = newBucket(c, s.share, now)
		}
	}
}

// lent processes the reply of a lender to a request.
func (a *allocator) lent(now time.Duration, call LeaseCall, reply LeaseReply, caps map[string]Cap) {
	node := call.To.Node
	b, ok := a.lenders[node]
	if !ok {
		return
	}
	if reply.WaitMS > 0 {
		b.next = now + min(max(fromMilliseconds(min(reply.WaitMS, maxRetryMS)), collectInterval), RenewInterval)
	}
	b.unanswered = false
	until := call.SentAt + LeaseTime
	for _, slot := range call.Request.Slots.Slots() {
		s := a.slots[slot]
		if s == nil || call.Request.Sequence <= b.releasedAt[slot] {
			continue
		}
		a.expire(slot, caps, now)
		before, had := s.leases[node]
		switch {
		case reply.Refused.has(slot) && had:
			// The lender wants another allocator to have its share.
			delete(s.leases, node)
			a.returnShare(slot, node, now)
			s.update(slot, caps, now)
		case reply.Lent.has(slot) && reply.Share > 0 && reply.Share <= 1 && now < until && (!had || until >= before.until):
			if len(s.leases) == 0 {
				s.nextEnd = until
			}
			s.leases[node] = lease{reply.Share, until}
			s.nextEnd = min(s.nextEnd, until)
			if !had || before.share != reply.Share {
				s.update(slot, caps, now)
			}
		}
	}
}

// due returns whether a request to a lender is due, and when the one after it is.
func (a *allocator) due(node mesh.NodeID, now time.Duration) bool {
	b, ok := a.lenders[node]
	if !ok {
		b = &borrower{next: now}
		for slot := range b.releasedAt {
			// A reply to a request before it was forgotten may be older than a release.
			b.releasedAt[slot] = a.sequence
		}
		a.lenders[node] = b
	}
	return now >= b.next && (a.owned() != 0 || b.released != 0)
}

// request returns the next request to a lender.
func (a *allocator) request(self Process, node mesh.NodeID, now time.Duration) LeaseRequest {
	b := a.lenders[node]
	a.sequence++
	b.sequence = a.sequence
	r := LeaseRequest{Node: self.Node, StartUnixMS: self.StartUnixMS, Sequence: b.sequence, Slots: a.owned(), Released: b.released}
	b.released = 0
	b.next = now + a.interval(node, now)
	if b.unanswered {
		b.next = now + RenewInterval
	}
	b.unanswered = true
	return r
}

// interval returns the time until the next request to a lender.
func (a *allocator) interval(node mesh.NodeID, now time.Duration) time.Duration {
	b := a.lenders[node]
	for _, s := range a.slots {
		if s == nil || now-s.since >= collectTime {
			continue
		}
		if _, ok := s.leases[node]; !ok {
			return collectInterval
		}
	}
	if !b.spread {
		// Otherwise all renewals of an allocator would be sent at once.
		b.spread = true
		return time.Duration(xxhash.Sum64String(string(node)) % uint64(RenewInterval))
	}
	return RenewInterval
}

// take grants tokens of an organisation.
func (a *allocator) take(now time.Duration, r TakeRequest, caps map[string]Cap) TakeReply {
	slot := SlotOf(r.Organisation)
	s := a.slots[slot]
	if s == nil {
		return TakeReply{Unknown: true}
	}
	a.expire(slot, caps, now)
	b, ok := s.buckets[r.Organisation]
	if !ok || !b.serves() {
		return TakeReply{Unknown: true}
	}
	wanted := max(0, min(r.Wanted, maxWanted))
	reply := TakeReply{Granted: b.take(wanted, now)}
	if reply.Granted < wanted {
		reply.RetryMS, reply.PerTokenMS = milliseconds(b.untilToken(now)), milliseconds(b.perToken())
	}
	return reply
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
