package quota

import (
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Outlook is what a node knows of the cap of an organisation.
type Outlook struct {
	// Capped is set if the organisation has a cap.
	Capped bool
	Cap    Cap
	// Decision is what a request that comes now gets. Waiting means that the allocator decides.
	Decision Decision
	// Allocator is the node that is asked for tokens, empty if there is none, and IsAllocator is set
	// if it is this node.
	Allocator   mesh.NodeID
	IsAllocator bool
	// AtHand is the number of tokens that this node got in advance and may still use.
	AtHand int
	// AllocatorTokens is the number of tokens left at this node as the allocator, and LeasedShare
	// the share of the cap that it has leased.
	AllocatorTokens, LeasedShare float64
	// OwnShare is the share of the cap that is this node's own, Lent is set while it is lent, and
	// OwnTokens is the number of tokens left of it while it is not.
	OwnShare  float64
	Lent      bool
	OwnTokens float64
	// NextTokenIn is when the allocator expects the next token, 0 if it said nothing.
	NextTokenIn time.Duration
}

// Outlook returns what a request of the organisation would get now. It takes no token and counts no
// request.
func (n *Node) Outlook(now time.Duration, organisation string) Outlook {
	c, ok := n.caps[organisation]
	if !ok {
		return Outlook{}
	}
	s := n.snapshot(now, organisation)
	slot := SlotOf(organisation)
	o := Outlook{Capped: true, Cap: c, OwnShare: s.share(now), Lent: s.lender.lent(slot, now), LeasedShare: s.AllocatorShare(now, organisation)}
	o.Allocator = s.allocatorOf(now, slot).Node
	o.IsAllocator = o.Allocator == s.self.Node
	if a := s.allocator.slots[slot]; a != nil {
		if b, ok := a.buckets[organisation]; ok {
			o.AllocatorTokens = b.available(now)
		}
	}
	if b, ok := s.lender.buckets[organisation]; ok && !o.Lent {
		o.OwnTokens = b.available(now)
	}
	if p, ok := s.pockets[organisation]; ok {
		p.expire(now)
		o.AtHand, o.NextTokenIn = len(p.tokens), max(0, p.retryAt-now)
	}
	o.Decision, _ = s.Request(now, organisation)
	return o
}

// snapshot returns a copy of the state that concerns one organisation.
func (n *Node) snapshot(now time.Duration, organisation string) *Node {
	s := *n
	slot := SlotOf(organisation)
	s.caps = map[string]Cap{organisation: n.caps[organisation]}
	s.events = nil
	s.pockets = map[string]*pocket{}
	if p, ok := n.pockets[organisation]; ok {
		copied := *p
		copied.tokens, copied.waiters = slices.Clone(p.tokens), slices.Clone(p.waiters)
		s.pockets[organisation] = &copied
	}
	s.lender = &lender{loans: n.lender.loans, buckets: copyBucket(n.lender.buckets, organisation, now)}
	s.allocator = newAllocator()
	if a := n.allocator.slots[slot]; a != nil {
		copied := *a
		copied.leases, copied.buckets = maps.Clone(a.leases), copyBucket(a.buckets, organisation, now)
		s.allocator.slots[slot] = &copied
	}
	return &s
}

// copyBucket returns a map with a copy of the bucket of one organisation, if it has one.
func copyBucket(buckets map[string]*bucket, organisation string, now time.Duration) map[string]*bucket {
	out := map[string]*bucket{}
	if b, ok := buckets[organisation]; ok {
		copied := newBucket(b.cap, b.share, now)
		// The new bucket is empty. Taking a negative number puts in what is left in the old one. The
		// tolerance is for the rounding error, as in take.
		copied.limiter.AllowN(bucketTime(now), -int(b.available(now)*tokenUnits+1e-3))
		out[organisation] = copied
	}
	return out
}
