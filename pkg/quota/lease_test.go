package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/quota"
)

func process(i int) quota.Process {
	return quota.Process{Node: mesh.NodeID(fmt.Sprintf("node-%d", i)), StartUnixMS: 100}
}

// members returns a mesh of nodes of which those in leaving leave.
func members(count int, leaving ...int) quota.Members {
	m := quota.Members{Count: count}
	for i := range count {
		m.Nodes = append(m.Nodes, quota.Member{Process: process(i)})
	}
	for _, i := range leaving {
		m.Nodes[i].Leaving = true
	}
	return m
}

const second = time.Second

// newNode returns node i of a mesh, with one capped organisation, some time after its start.
func newNode(i, count int, leaving ...int) *quota.Node {
	n := quota.New(process(i))
	n.SetCaps(0, map[string]quota.Cap{"org": {Rate: 100, Burst: 100}})
	n.SetMembers(0, members(count, leaving...))
	return n
}

// onlyAllocator returns members of which node 1 is the allocator of all slots.
func onlyAllocator(n *quota.Node, now time.Duration) {
	n.SetMembers(now, members(3, 0, 2))
}

// lease sends a lease request of node 1 for the slot of "org".
func lease(n *quota.Node, now time.Duration, sequence uint64, wanted, released bool) quota.LeaseReply {
	var slot quota.SlotSet = 1 << quota.SlotOf("org")
	r := quota.LeaseRequest{Node: "node-1", StartUnixMS: 100, Sequence: sequence}
	if wanted {
		r.Slots = slot
	}
	if released {
		r.Released = slot
	}
	return n.HandleLease(now, r)
}

// ownShareServes reports whether the node serves a request with its own share.
func ownShareServes(n *quota.Node, now time.Duration) bool {
	d, call := n.Request(now, "org")
	if d.Verdict == quota.Waiting {
		if call != nil {
			for _, r := range n.TakeFailed(now, call) {
				d = r.Decision
			}
		} else {
			d, _ = n.GiveUp(now, "org", d.Waiter)
		}
	}
	return d.Verdict == quota.Admitted
}

// Guards against a share that is used twice: by a node and by the allocator to which it, or its
// former process, lent it.
func TestShareIsNotUsedWhileItIsLent(t *testing.T) {
	n := newNode(0, 3)
	onlyAllocator(n, 0)
	require.False(t, ownShareServes(n, quota.LeaseTime-100*time.Millisecond), "a former process may have lent the share")
	require.Zero(t, lease(n, quota.LeaseTime-100*time.Millisecond, 1, true, false).Lent)
	require.True(t, ownShareServes(n, quota.LeaseTime+500*time.Millisecond))

	reply := lease(n, 4*second, 2, true, false)
	require.Equal(t, 1, reply.Lent.Len())
	require.InDelta(t, 1.0/3, reply.Share, 1e-9)
	require.False(t, ownShareServes(n, 4*second+quota.LeaseTime-100*time.Millisecond))
	require.False(t, ownShareServes(n, 4*second+quota.LeaseTime), "the bucket of a share that returns is empty")
	require.True(t, ownShareServes(n, 4*second+quota.LeaseTime+200*time.Millisecond))
}

// Guards against messages that arrive out of order: an old request must not renew a lease that was
// released, and an old release must not return a share that is in use.
func TestOldLeaseMessagesHaveNoEffect(t *testing.T) {
	n := newNode(0, 3)
	onlyAllocator(n, 0)
	lease(n, 4*second, 1, true, false)
	lease(n, 5*second, 3, false, true)
	require.Zero(t, lease(n, 5*second, 2, true, false).Lent)
	require.True(t, ownShareServes(n, 5200*time.Millisecond))

	lease(n, 6*second, 5, true, false)
	lease(n, 6*second, 4, false, true)
	require.False(t, ownShareServes(n, 6900*time.Millisecond))
}

// Guards against a share that is lent to two allocators, and against one that stays lent to a
// process that has been replaced.
func TestShareIsLentToOneAllocator(t *testing.T) {
	n := newNode(0, 3)
	onlyAllocator(n, 0)
	lease(n, 4*second, 1, true, false)
	n.SetMembers(5*second, members(3, 0, 1))
	other := quota.LeaseRequest{Node: "node-2", StartUnixMS: 100, Sequence: 1, Slots: 1<<quota.SlotCount - 1}
	require.False(t, n.HandleLease(5*second, other).Lent&(1<<quota.SlotOf("org")) != 0)
	require.NotZero(t, lease(n, 5*second, 2, true, false).Refused, "the node would choose another allocator")

	m := members(3, 0, 1)
	m.Nodes[1].StartUnixMS = 200
	n.SetMembers(5500*time.Millisecond, m)
	other.Sequence = 2
	require.Equal(t, quota.SlotCount, n.HandleLease(5500*time.Millisecond, other).Lent.Len())
}

// Guards against an allocator that dies and whose shares stay lent until the leases end.
func TestRefusedConnectionReturnsTheShare(t *testing.T) {
	n := newNode(0, 3)
	onlyAllocator(n, 0)
	lease(n, 4*second, 1, true, false)
	n.ProcessRefused(4100*time.Millisecond, process(1))
	require.True(t, ownShareServes(n, 4300*time.Millisecond))
}

// Guards against a late reply that counts for a slot that was released since: its lender may have
// taken the share back.
func TestLateReplyDoesNotCountAfterARelease(t *testing.T) {
	a := newNode(1, 3)
	onlyAllocator(a, 0)
	calls := a.Tick(4 * second)
	a.SetMembers(4100*time.Millisecond, members(3, 0, 1))
	a.Tick(4100 * time.Millisecond)
	onlyAllocator(a, 4200*time.Millisecond)
	before := a.AllocatorShare(4200*time.Millisecond, "org")
	for _, call := range calls {
		a.LeaseAnswered(4200*time.Millisecond, call, quota.LeaseReply{Share: 1.0 / 3, Lent: call.Request.Slots})
	}
	require.Equal(t, before, a.AllocatorShare(4200*time.Millisecond, "org"))
}

// Guards against an allocator that uses leases after their end, counted from its request, and
// against a bucket that fills from them after that.
func TestAllocatorsLeaseEndsBeforeTheLenders(t *testing.T) {
	a := newNode(1, 3)
	onlyAllocator(a, 0)
	calls := a.Tick(4 * second)
	require.Len(t, calls, 2)
	for _, call := range calls {
		a.LeaseAnswered(5*second, call, quota.LeaseReply{Share: 1.0 / 3, Lent: call.Request.Slots})
	}
	require.InDelta(t, 1, a.AllocatorShare(4*second+quota.LeaseTime-100*time.Millisecond, "org"), 1e-9)
	require.Zero(t, a.AllocatorShare(4*second+quota.LeaseTime, "org"))
	require.True(t, a.HandleTake(20*second, quota.TakeRequest{Organisation: "org", Wanted: 1}).Unknown)
}

// Guards against nodes that hold several seconds' worth of tokens: they are lost after 200 ms, and
// at most what arrives in 100 ms is asked ahead.
func TestTokensAreAskedForWhatIsExpected(t *testing.T) {
	n := newNode(0, 3)
	onlyAllocator(n, 0)
	now := 4 * second
	wanted := 0
	for range 200 {
		now += 5 * time.Millisecond
		_, call := n.Request(now, "org")
		if call != nil {
			wanted = max(wanted, call.Request.Wanted)
			n.TakeAnswered(now, call, quota.TakeReply{Granted: call.Request.Wanted})
		}
	}
	require.Positive(t, wanted)
	require.LessOrEqual(t, wanted, 21)
	d, call := n.Request(now+250*time.Millisecond, "org")
	require.Equal(t, quota.Waiting, d.Verdict, "the tokens have expired")
	require.Equal(t, 1, call.Request.Wanted)
}

// Guards against a Retry-After that is too early or far too late, and against rejected callers that
// all come back for the same token.
func TestRetryAfterIsWhenATokenIsDue(t *testing.T) {
	n := newNode(0, 3)
	onlyAllocator(n, 0)
	now := 4 * second
	d, call := n.Request(now, "org")
	require.Equal(t, quota.Waiting, d.Verdict)
	for range 3 {
		n.Request(now, "org")
	}
	out, _ := n.TakeAnswered(now, call, quota.TakeReply{RetryMS: 30, PerTokenMS: 10})
	require.Len(t, out, 4)
	for i, r := range out {
		require.Equal(t, quota.OverCap, r.Verdict)
		require.Equal(t, time.Duration(30+10*i)*time.Millisecond, r.RetryAfter)
	}
	d, call = n.Request(now+10*time.Millisecond, "org")
	require.Equal(t, quota.OverCap, d.Verdict)
	require.Nil(t, call, "no token is due")
	require.Equal(t, 60*time.Millisecond, d.RetryAfter)
	d, _ = n.Request(now+31*time.Millisecond, "org")
	require.Equal(t, quota.Waiting, d.Verdict)
}

// Guards against a request that does not run and still counts: its token serves the next one, but
// no later than 200 ms after it was asked for.
func TestTokenOfARequestThatDidNotRunIsUsedAgain(t *testing.T) {
	n := newNode(0, 3)
	onlyAllocator(n, 0)
	now := 4 * second
	_, call := n.Request(now, "org")
	out, _ := n.TakeAnswered(now, call, quota.TakeReply{Granted: 1})
	require.Equal(t, quota.Admitted, out[0].Verdict)
	n.Return(now+150*time.Millisecond, "org", out[0].Decision)
	d, _ := n.Request(now+190*time.Millisecond, "org")
	require.Equal(t, quota.Admitted, d.Verdict)
	n.Return(now+210*time.Millisecond, "org", d)
	d, _ = n.Request(now+210*time.Millisecond, "org")
	require.Equal(t, quota.Waiting, d.Verdict)
}

// Guards against nodes that choose different allocators from equal views, small machines that get
// as many slots as large ones, and slots that move without need when a node leaves.
func TestAllocatorsAreChosenByWeight(t *testing.T) {
	const count, slow, fast = 300, 10, 200
	m := quota.Members{Count: count}
	for i := range count {
		link := float64(slow)
		if i%2 == 0 {
			link = fast
		}
		m.Nodes = append(m.Nodes, quota.Member{Process: process(i), LinkMbps: link})
	}
	owners := map[quota.Slot]int{}
	slots := 0
	for i := range count {
		n := quota.New(process(i))
		n.SetMembers(0, m)
		slots += n.OwnedSlots().Len()
		for _, slot := range n.OwnedSlots().Slots() {
			owners[slot] = i
		}
	}
	require.Equal(t, quota.SlotCount, slots)
	require.Len(t, owners, quota.SlotCount)
	onSlow := 0
	for _, i := range owners {
		onSlow += i % 2
	}
	require.LessOrEqual(t, onSlow, 3)

	gone := owners[0]
	m.Nodes[gone].Leaving = true
	for i := range count {
		n := quota.New(process(i))
		n.SetMembers(0, m)
		for _, slot := range n.OwnedSlots().Slots() {
			require.True(t, owners[slot] == i || owners[slot] == gone)
		}
	}
}

// Guards against a count that two nodes confirm to each other forever, one that is forgotten too
// soon, and an older one that hides a newer one.
func TestMeshSizeIsTheGreatestOfTheLastTenMinutes(t *testing.T) {
	var a, b quota.MeshSize
	a.Observe(0, 83)
	for at := second; at < quota.SizeRetention; at += second {
		a.Observe(at, 40)
		b.Observe(at, 41)
		count, since := a.Max(at)
		b.Observe(since, count)
		count, since = b.Max(at)
		a.Observe(since, count)
		require.Equal(t, 83, count)
	}
	after := quota.SizeRetention + second
	count, _ := a.Max(after)
	require.Equal(t, 40, count)
	count, since := b.Max(after)
	require.Equal(t, 41, count)
	a.Observe(since, count)
	a.Observe(quota.SizeRetention, 20)
	count, at := a.Max(after)
	require.Equal(t, 41, count)
	require.Equal(t, since, at)
}

// Guards against a bucket that fills from a lease after its end, because nothing was asked of the
// allocator at that time.
func TestBucketFillsOnlyFromLeasesInForce(t *testing.T) {
	a := newNode(1, 3)
	a.SetCaps(0, map[string]quota.Cap{"org": {Rate: 90, Burst: 10_000}})
	onlyAllocator(a, 0)
	take := quota.TakeRequest{Organisation: "org", Wanted: 10_000}
	answer := func(now time.Duration, calls []quota.LeaseCall) {
		for _, call := range calls {
			a.LeaseAnswered(now, call, quota.LeaseReply{Share: 1.0 / 3, Lent: call.Request.Slots})
		}
	}
	answer(4*second, a.Tick(4*second))
	renewed := 4*second + quota.LeaseTime - 500*time.Millisecond
	a.HandleTake(renewed, take)
	// One of three leases is renewed.
	calls := a.Tick(renewed)
	answer(renewed, calls[:1])
	// 0.5 s with three shares and 1 s with two: the node renewed its own as well.
	granted := a.HandleTake(renewed+1500*time.Millisecond, take).Granted
	require.InDelta(t, 45+60, granted, 2)
}

// Guards against a share that cannot be leased any more: the allocator forgets a lender that it has not
// heard for long, learns of it again, and the lender has kept the allocator.
func TestShareIsLentAfterTheAllocatorForgotTheLender(t *testing.T) {
	a, l := newNode(1, 3), newNode(0, 3)
	onlyAllocator(a, 0)
	onlyAllocator(l, 0)
	lease := func(now time.Duration) (lent quota.SlotSet) {
		for _, call := range a.Tick(now) {
			if call.To.Node == "node-0" {
				reply := l.HandleLease(now, call.Request)
				a.LeaseAnswered(now, call, reply)
				lent |= reply.Lent
			}
		}
		return lent
	}
	for now := 4 * second; now < 10*second; now += 100 * time.Millisecond {
		lease(now)
	}
	without := members(3, 0, 2)
	without.Nodes = without.Nodes[1:]
	a.SetMembers(10*second, without)
	onlyAllocator(a, 11*second)
	var lent quota.SlotSet
	for now := 11 * second; now < 13*second; now += 100 * time.Millisecond {
		lent |= lease(now)
	}
	require.Equal(t, quota.SlotCount, lent.Len())
}

// Guards against a share that is idle until its loan ends: an allocator that ceases to use it because the lender
// has chosen another one must say so, although it remains the allocator for other lenders.
func TestRefusedAllocatorReturnsTheShareAtOnce(t *testing.T) {
	a := newNode(1, 3)
	onlyAllocator(a, 0)
	now := 4 * second
	var to quota.LeaseCall
	for _, call := range a.Tick(now) {
		a.LeaseAnswered(now, call, quota.LeaseReply{Share: 1.0 / 3, Lent: call.Request.Slots})
		to = call
	}
	now += quota.RenewInterval
	for _, call := range a.Tick(now) {
		if call.To == to.To {
			a.LeaseAnswered(now, call, quota.LeaseReply{Refused: call.Request.Slots})
		}
	}
	released := false
	for _, call := range a.Tick(now) {
		released = released || call.To == to.To && call.Request.Released == to.Request.Slots
	}
	require.True(t, released)
}

// Guards against allocators that are taken for dead because no node sent messages while there were no caps.
func TestAllocatorsAreKeptWhenCapsReturn(t *testing.T) {
	n := newNode(0, 3)
	onlyAllocator(n, 0)
	lease(n, 4*second, 1, true, false)
	n.Tick(4 * second)
	n.Events()
	caps := map[string]quota.Cap{"org": {Rate: 100, Burst: 100}}
	n.SetCaps(5*second, map[string]quota.Cap{})
	n.SetCaps(60*second, caps)
	onlyAllocator(n, 60*second)
	n.Tick(60 * second)
	for _, e := range n.Events() {
		require.NotEqual(t, quota.AllocatorSilent, e.Kind)
	}
	d, call := n.Request(60*second, "org")
	require.Equal(t, quota.Waiting, d.Verdict)
	require.Equal(t, process(1), call.To)
}
