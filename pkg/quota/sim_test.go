package quota_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/quota"
)

// simulation runs nodes that exchange messages over a network that loses and delays them.
type simulation struct {
	random *rand.Rand
	now    time.Duration
	queue  eventQueue
	order  uint64
	nodes  []*simNode
	caps   map[string]quota.Cap
	// loss is the probability that a message is lost, and delays the bounds of its delay.
	loss     float64
	minDelay time.Duration
	maxDelay time.Duration
	// part holds the part of the mesh in which each node is. Messages between parts are lost.
	part []int
	// readDelay is how long a starting node needs to read the list of the nodes.
	readDelay time.Duration
	// quiet is the time without requests between two spells of load of a second each.
	quiet time.Duration
	// retries is set if callers come back when they are told to.
	retries bool

	// used holds the times at which tokens were used, by organisation.
	used     map[string][]time.Duration
	verdicts map[string]map[quota.Verdict]int
	// leases and takes count the messages.
	leases, takes int
	// sharesInUse is the greatest sum of the shares of a cap that were in use at one time.
	sharesInUse float64
	// encoded is called with each message, if it is set.
	encoded func(method string, message any)
}

type simNode struct {
	s     *simulation
	index int
	id    mesh.NodeID
	quota *quota.Node
	// process is the number of the process, which is down if quota is nil.
	process     int64
	startedAt   time.Duration
	pausedUntil time.Duration
	leaving     bool
	waiting     map[quota.WaiterID]string
	// contact holds when each other node was reachable last.
	contact []time.Duration
	// nextMembers is when the node next learns of changes of the mesh.
	nextMembers time.Duration
}

type simEvent struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	simTick            = 50 * time.Millisecond
	simMembersInterval = 300 * time.Millisecond
	// simContactShare is the probability that two nodes exchange their states in simMembersInterval.
	simContactShare = 0.2
	simAliveTimeout = 6 * time.Second
	simLeaseTimeout = time.Second
	simTakeTimeout  = 500 * time.Millisecond
)

func newSimulation(seed uint64, nodes int, caps map[string]quota.Cap) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), caps: caps, part: make([]int, nodes), readDelay: 300 * time.Millisecond,
		minDelay: time.Millisecond, maxDelay: 4 * time.Millisecond, used: map[string][]time.Duration{}, verdicts: map[string]map[quota.Verdict]int{},
	}
	for o := range caps {
		s.verdicts[o] = map[quota.Verdict]int{}
	}
	for i := range nodes {
		n := &simNode{s: s, index: i, id: mesh.NodeID(fmt.Sprintf("node-%d", i)), contact: make([]time.Duration, nodes)}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		n.start()
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{s.now + d, s.order, run})
}

// watchShares records the sum of the shares in use. It must not exceed 1 at any time, also while
// nodes are paused: they go on with what they have when they resume.
func (s *simulation) watchShares(interval, until time.Duration) {
	for organisation := range s.caps {
		sum := 0.0
		for _, n := range s.nodes {
			if n.quota != nil {
				sum += n.quota.OwnShare(n.clock(), organisation) + n.quota.AllocatorShare(n.clock(), organisation)
			}
		}
		s.sharesInUse = max(s.sharesInUse, sum)
	}
	if s.now < until {
		s.after(interval, func() { s.watchShares(interval, until) })
	}
}

// run runs the simulation until a time.
func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = until
}

func (s *simulation) encode(method string, message any) {
	if s.encoded != nil {
		s.encoded(method, message)
	}
}

func (s *simulation) delay() time.Duration {
	return s.minDelay + time.Duration(s.random.Int64N(int64(s.maxDelay-s.minDelay)+1))
}

func (s *simulation) reachable(a, b *simNode) bool { return s.part[a.index] == s.part[b.index] }

// start starts a new process of the node.
func (n *simNode) start() {
	n.process++
	n.startedAt, n.pausedUntil, n.leaving = n.s.now, 0, false
	n.waiting = map[quota.WaiterID]string{}
	n.quota = quota.New(n.self())
	// A starting node has heard of no other node yet.
	for i := range n.contact {
		n.contact[i] = n.s.now - 10*time.Second
	}
	n.quota.SetCaps(0, n.s.caps)
	n.nextMembers = 0
	process := n.process
	n.s.after(time.Duration(n.s.random.Int64N(int64(simTick))), func() { n.tick(process) })
}

func (n *simNode) kill() { n.quota = nil }

func (n *simNode) self() quota.Process {
	return quota.Process{Node: n.id, StartUnixMS: 1000 + n.process}
}

// clock returns the time on the node's clock, which starts with the process.
func (n *simNode) clock() time.Duration { return n.s.now - n.startedAt }

// act runs a function in a process, when it is not paused, if it still lives then.
func (n *simNode) act(process int64, run func()) {
	if n.quota == nil || n.process != process {
		return
	}
	if left := n.pausedUntil - n.s.now; left > 0 {
		n.s.after(left, func() { n.act(process, run) })
		return
	}
	run()
}

func (n *simNode) tick(process int64) {
	n.act(process, func() {
		n.s.after(simTick, func() { n.tick(process) })
		if n.s.now >= n.nextMembers {
			n.nextMembers = n.s.now + simMembersInterval
			n.quota.SetMembers(n.clock(), n.members())
		}
		for _, call := range n.quota.Tick(n.clock()) {
			n.sendLease(call)
		}
		n.quota.Events()
	})
}

func (n *simNode) members() quota.Members {
	var m quota.Members
	for i, o := range n.s.nodes {
		if o == n || o.quota != nil && n.s.reachable(n, o) && n.s.random.Float64() < simContactShare {
			n.contact[i] = n.s.now
		}
		m.Nodes = append(m.Nodes, quota.Member{
			Process: o.self(), LinkMbps: float64(10 + i%3*50), Leaving: o.leaving,
			Unresponsive: n.s.now-n.contact[i] > simAliveTimeout,
		})
	}
	if n.clock() >= n.s.readDelay {
		m.Count = len(m.Nodes)
	}
	return m
}

// send delivers a message. refused is called if the process is down, timeout if no answer comes.
func (n *simNode) send(to *simNode, handle func() any, answered func(any), refused, timeout func(), limit time.Duration) {
	s, sender, done := n.s, n.process, false
	finish := func(run func()) {
		n.act(sender, func() {
			if !done {
				done = true
				run()
			}
		})
	}
	s.after(limit, func() { finish(timeout) })
	if s.random.Float64() < s.loss {
		return
	}
	s.after(s.delay(), func() {
		if !s.reachable(n, to) {
			return
		}
		if to.quota == nil {
			s.after(s.delay(), func() {
				if s.reachable(n, to) {
					finish(refused)
				}
			})
			return
		}
		to.act(to.process, func() {
			reply := handle()
			n.s.encode("", reply)
			if s.random.Float64() < s.loss {
				return
			}
			s.after(s.delay(), func() {
				if s.reachable(n, to) {
					finish(func() { answered(reply) })
				}
			})
		})
	})
}

func (n *simNode) peer(p quota.Process) *simNode {
	for _, o := range n.s.nodes {
		if o.id == p.Node {
			return o
		}
	}
	panic("unknown node " + p.Node)
}

func (n *simNode) sendLease(call quota.LeaseCall) {
	to := n.peer(call.To)
	n.s.leases++
	n.s.encode("quota.lease", call.Request)
	n.send(to, func() any { return to.quota.HandleLease(to.clock(), call.Request) },
		func(r any) { n.quota.LeaseAnswered(n.clock(), call, r.(quota.LeaseReply)) },
		func() { n.quota.ProcessRefused(n.clock(), call.To) }, func() {}, simLeaseTimeout)
}

func (n *simNode) sendTake(call *quota.TakeCall) {
	if call == nil {
		return
	}
	to := n.peer(call.To)
	n.s.takes++
	n.s.encode("quota.take", call.Request)
	failed := func() { n.resolve(n.quota.TakeFailed(n.clock(), call)) }
	n.send(to, func() any { return to.quota.HandleTake(to.clock(), call.Request) },
		func(r any) {
			out, next := n.quota.TakeAnswered(n.clock(), call, r.(quota.TakeReply))
			n.resolve(out)
			n.sendTake(next)
		},
		func() { n.quota.ProcessRefused(n.clock(), call.To); failed() }, failed, simTakeTimeout)
}

func (n *simNode) resolve(all []quota.Resolution) {
	for _, r := range all {
		organisation := n.waiting[r.Waiter]
		delete(n.waiting, r.Waiter)
		n.decided(organisation, r.Decision)
	}
}

// request is a request of a caller at the node.
func (n *simNode) request(organisation string) {
	if n.quota == nil {
		return
	}
	process := n.process
	n.act(process, func() {
		d, call := n.quota.Request(n.clock(), organisation)
		if d.Verdict == quota.Waiting {
			n.waiting[d.Waiter] = organisation
			n.s.after(quota.AnswerTime, func() {
				n.act(process, func() {
					if late, ok := n.quota.GiveUp(n.clock(), organisation, d.Waiter); ok {
						delete(n.waiting, d.Waiter)
						n.decided(organisation, late)
					}
				})
			})
		} else {
			n.decided(organisation, d)
		}
		n.sendTake(call)
	})
}

func (n *simNode) decided(organisation string, d quota.Decision) {
	n.s.verdicts[organisation][d.Verdict]++
	switch {
	case d.Verdict == quota.Admitted:
		n.s.used[organisation] = append(n.s.used[organisation], n.s.now)
	case d.Verdict == quota.OverCap && n.s.retries:
		n.s.after(d.RetryAfter, func() { n.request(organisation) })
	}
}

// load sends Poisson requests of an organisation at the rate, to nodes that pick chooses.
func (s *simulation) load(organisation string, perSecond float64, until time.Duration, pick func() *simNode) {
	if s.now >= until || perSecond <= 0 {
		return
	}
	gap := time.Duration(-math.Log(1-s.random.Float64()) / perSecond * float64(time.Second))
	s.after(gap, func() {
		if s.quiet == 0 || s.now%(time.Second+s.quiet) < time.Second {
			pick().request(organisation)
		}
		s.load(organisation, perSecond, until, pick)
	})
}

func (s *simulation) anyNode() *simNode { return s.nodes[s.random.IntN(len(s.nodes))] }

const capWindow = 5 * time.Second

// allowed is the greatest number of requests in capWindow.
func allowed(c quota.Cap) float64 { return (c.Rate*capWindow.Seconds()+c.Burst)*1.1 + 20 }

// worstWindow returns the greatest number of tokens used in capWindow, and its end, among the
// windows that begin at or after from.
func worstWindow(used []time.Duration, from time.Duration) (count int, end time.Duration) {
	first := 0
	for i, at := range used {
		for used[first] <= at-capWindow {
			first++
		}
		if at-capWindow >= from && i-first+1 > count {
			count, end = i-first+1, at
		}
	}
	return count, end
}

func usedSince(used []time.Duration, from time.Duration) int {
	n := 0
	for _, at := range used {
		if at >= from {
			n++
		}
	}
	return n
}

func requireCap(t testingT, s *simulation, organisation string, c quota.Cap, from time.Duration) {
	if n, end := worstWindow(s.used[organisation], from); float64(n) > allowed(c) {
		t.Fatalf("%s: %d requests in the 5 s before %s, allowed are %.1f (rate %g, burst %g)", organisation, n, end, allowed(c), c.Rate, c.Burst)
	}
}

type testingT interface {
	Fatalf(format string, args ...any)
}

var _ testingT = (*testing.T)(nil)
