// Package convergence tests membership and distribution together: nodes that
// consist of both reducers are connected by an in-memory message pump with a
// virtual clock.
package convergence

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

const tickInterval = 100 * time.Millisecond

// job is something that happens at a virtual time.
type job struct {
	at    time.Duration
	order uint64
	run   func()
}

type jobs []job

func (j jobs) Len() int { return len(j) }
func (j jobs) Less(a, b int) bool {
	return j[a].at < j[b].at || (j[a].at == j[b].at && j[a].order < j[b].order)
}
func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)   { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}

// faults is what the pump does to messages.
type faults struct {
	drop, duplicate float64
	delay           time.Duration
	// cut holds the zones that reach only themselves, noPlatform those that do
	// not reach the platform.
	cut        map[mesh.AvailabilityZone]bool
	noPlatform map[mesh.AvailabilityZone]bool
}

// pump connects the nodes.
type pump struct {
	now      time.Duration
	rng      *rand.Rand
	jobs     jobs
	order    uint64
	nodes    map[mesh.NodeID]*node
	ids      []mesh.NodeID
	byRPC    map[netip.AddrPort]*node
	platform platform
	faults   faults
	// announcements are the nodes that the log names.
	announcements []mesh.NodeInfo
	// membershipOnly leaves distribution out.
	membershipOnly bool
	// filter, if set, drops or changes messages between nodes. Tests use it to
	// break a rule deliberately.
	filter func(from, to *node, msg any) (any, bool)
	// sent, if set, is called with each message between nodes.
	sent func(from, to *node, msg any)
	// violations are the invariants that did not hold.
	violations []string
}

func newPump(seed uint64) *pump {
	p := &pump{
		rng:   rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[mesh.NodeID]*node),
		byRPC: make(map[netip.AddrPort]*node),
	}
	p.platform = newPlatform(p)
	p.heal()
	return p
}

// newMesh starts zones of a number of nodes each, with one seed per zone.
func newMesh(seed uint64, zones, perZone int) *pump {
	p := newPump(seed)
	p.addZones(zones, perZone)
	return p
}

func (p *pump) addZones(zones, perZone int) {
	for z := range zones {
		for i := range perZone {
			p.add(mesh.AvailabilityZone(fmt.Sprintf("zone-%d", z)), i)
		}
	}
	for _, id := range p.ids {
		p.nodes[id].start()
	}
}

func (p *pump) add(zone mesh.AvailabilityZone, i int) {
	id := mesh.NodeID(fmt.Sprintf("%s-n%03d", zone, i))
	number := len(p.ids)
	rpc := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7400)
	n := &node{pump: p, info: mesh.NodeInfo{
		ID: id, Zone: zone, Region: "region", RPCAddress: rpc, CallAddress: netip.AddrPortFrom(rpc.Addr(), 7401),
	}}
	p.nodes[id], p.byRPC[rpc] = n, n
	p.ids = append(p.ids, id)
}

func (p *pump) heal() {
	p.faults = faults{cut: make(map[mesh.AvailabilityZone]bool), noPlatform: make(map[mesh.AvailabilityZone]bool)}
	p.platform.out = false
}

func (p *pump) schedule(at time.Duration, run func()) {
	p.order++
	heap.Push(&p.jobs, job{at: at, order: p.order, run: run})
}

// runFor lets virtual time pass.
func (p *pump) runFor(d time.Duration) {
	end := p.now + d
	for len(p.jobs) > 0 && p.jobs[0].at <= end {
		j := heap.Pop(&p.jobs).(job)
		p.now = j.at
		j.run()
	}
	p.now = end
}

// runUntil lets time pass until a condition holds, and returns how long that
// took to within half a percent of the limit. It gives up after the limit.
func (p *pump) runUntil(limit time.Duration, holds func() bool) (time.Duration, bool) {
	start := p.now
	for !holds() {
		if p.now-start >= limit {
			return limit, false
		}
		p.runFor(limit / 200)
	}
	return p.now - start, true
}

func (p *pump) latency() time.Duration {
	d := time.Millisecond + time.Duration(p.rng.Int64N(int64(2*time.Millisecond)))
	if p.faults.delay > 0 {
		d += time.Duration(p.rng.Int64N(int64(p.faults.delay)))
	}
	return d
}

// transmit delivers a message between nodes, subject to the faults.
func (p *pump) transmit(from, to *node, msg any) {
	if to == nil {
		return
	}
	if p.filter != nil {
		var pass bool
		if msg, pass = p.filter(from, to, msg); !pass {
			return
		}
	}
	if p.sent != nil {
		p.sent(from, to, msg)
	}
	a, b := from.info.Zone, to.info.Zone
	if a != b && (p.faults.cut[a] || p.faults.cut[b]) {
		return
	}
	copies := 1
	if p.rng.Float64() < p.faults.duplicate {
		copies++
	}
	for range copies {
		if p.rng.Float64() < p.faults.drop {
			continue
		}
		p.schedule(p.now+p.latency(), func() { to.handle(func() { to.receive(msg) }) })
	}
}

func (p *pump) up() []*node {
	var up []*node
	for _, id := range p.ids {
		if p.nodes[id].up {
			up = append(up, p.nodes[id])
		}
	}
	return up
}

func (p *pump) zoneUp(zone mesh.AvailabilityZone) []*node {
	return slices.DeleteFunc(p.up(), func(n *node) bool { return n.info.Zone != zone })
}

// behind returns the nodes that are up and below a revision.
func (p *pump) behind(revision record.Revision) []mesh.NodeID {
	var ids []mesh.NodeID
	for _, n := range p.up() {
		if n.revision < revision {
			ids = append(ids, n.info.ID)
		}
	}
	return ids
}

func (p *pump) violate(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf("%v: ", p.now)+fmt.Sprintf(format, args...))
}

// node is one process: the two reducers and what stands for the state.
type node struct {
	pump    *pump
	info    mesh.NodeInfo
	runs    int
	up      bool
	started time.Duration
	member  *membership.Machine
	dist    *distribution.Machine
	// paused nodes keep what arrives for later.
	paused  bool
	pauses  int
	backlog []func()

	revision record.Revision
	digest   uint64
	ready    bool
	// floor holds the nodes of the zone that were running when this one started,
	// and the revisions that they had in force.
	floor []floor
	// old is set on a binary that does not support newRecord.
	old       bool
	rangeLost int
	// target, if set, announces itself every second.
	target *mesh.Target
}

// floor is the revision in force at a node when another one started.
type floor struct {
	node        *node
	run, pauses int
	revision    record.Revision
}

func (n *node) now() time.Duration { return n.pump.now - n.started }

// start runs a new session without memory of the former one.
func (n *node) start() {
	p := n.pump
	n.floor = nil
	for _, other := range p.zoneUp(n.info.Zone) {
		if !other.paused {
			n.floor = append(n.floor, floor{other, other.runs, other.pauses, other.revision})
		}
	}
	n.runs++
	n.info.Session = mesh.SessionID(fmt.Sprintf("%s/%d", n.info.ID, n.runs))
	n.up, n.paused, n.backlog, n.ready = true, false, nil, false
	n.revision, n.digest, n.started = 0, 0, p.now
	n.member = membership.New(membership.Config{
		Self: n.info, Seeds: p.seeds(), Source: rand.NewPCG(p.rng.Uint64(), 2),
	})
	n.dist = distribution.New(distribution.Config{
		Self: n.info.ID, Zone: n.info.Zone, Source: rand.NewPCG(p.rng.Uint64(), 3),
	})
	n.announce()
	n.every(p.rng.Int64N(int64(tickInterval)), tickInterval, n.tick)
	n.every(p.rng.Int64N(int64(time.Second)), time.Second, func() {
		if n.target != nil {
			n.stepMember(membership.TargetAnnounced{Now: n.now(), Target: *n.target})
		}
	})
}

// announce stands for the announcements in the log: a node that reaches the
// platform announces itself once per start and hears of the others.
func (n *node) announce() {
	announced, read := false, 0
	n.every(int64(500*time.Millisecond), time.Second, func() {
		p := n.pump
		if p.platform.unreachable(n) {
			return
		}
		if !announced {
			p.announcements = append(p.announcements, n.info)
			announced = true
		}
		for ; read < len(p.announcements); read++ {
			n.stepMember(membership.NodeAnnounced{Now: n.now(), Node: p.announcements[read]})
		}
	})
}

// seeds are the first two nodes of each zone.
func (p *pump) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	count := make(map[mesh.AvailabilityZone]int)
	for _, id := range p.ids {
		info := p.nodes[id].info
		if count[info.Zone]++; count[info.Zone] <= 2 {
			seeds = append(seeds, info.RPCAddress)
		}
	}
	return seeds
}

// every repeats run while the session lasts.
func (n *node) every(first int64, interval time.Duration, run func()) {
	session := n.runs
	var again func()
	again = func() {
		if !n.up || n.runs != session {
			return
		}
		if !n.paused {
			run()
		}
		n.pump.schedule(n.pump.now+interval, again)
	}
	n.pump.schedule(n.pump.now+time.Duration(first), again)
}

func (n *node) kill() { n.up = false }

func (n *node) pause() {
	n.paused = true
	n.pauses++
}

func (n *node) resume() {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	n.tick()
	for _, run := range backlog {
		run()
	}
}

// handle runs an input now, later if the node is paused, never if it is down.
func (n *node) handle(run func()) {
	switch {
	case !n.up:
	case n.paused:
		n.backlog = append(n.backlog, run)
	default:
		run()
	}
}

func (n *node) tick() {
	n.stepMember(membership.Tick{Now: n.now()})
	if !n.pump.membershipOnly {
		n.stepDist(distribution.Tick{Now: n.now()})
	}
}

func (n *node) receive(msg any) {
	switch m := msg.(type) {
	case membership.Message:
		n.stepMember(membership.MessageReceived{Now: n.now(), Message: m})
	case distribution.Push:
		n.stepDist(distribution.PushReceived{Now: n.now(), Push: m})
	case distribution.PullRequest:
		n.stepDist(distribution.PullReceived{Now: n.now(), Request: m})
	case distribution.PullResponse:
		n.stepDist(distribution.PullResponseReceived{Now: n.now(), Response: m})
	}
}

func (n *node) stepMember(e membership.Event) {
	for _, effect := range n.member.Step(e) {
		switch f := effect.(type) {
		case membership.SendMessage:
			n.pump.transmit(n, n.pump.byRPC[f.To], f.Message)
		case membership.ViewChanged:
			if !n.pump.membershipOnly {
				n.stepDist(distribution.MembersChanged{Now: n.now(), Peers: n.peers()})
			}
		}
	}
}

func (n *node) peers() []distribution.Peer {
	var peers []distribution.Peer
	for _, k := range n.member.Members() {
		if k.State != membership.Dead {
			peers = append(peers, distribution.Peer{
				ID: k.Info.ID, Session: k.Info.Session, Zone: k.Info.Zone, Suspect: k.State == membership.Suspect,
			})
		}
	}
	return peers
}
