package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// Delays of the simulated network, one way.
const (
	zoneDelay     = 250 * time.Microsecond
	regionDelay   = 1500 * time.Microsecond
	wideDelay     = 30 * time.Millisecond
	platformDelay = 10 * time.Millisecond
)

// regions is the number of regions that zones are spread over.
const regions = 7

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

// Simulation runs the reducers of many nodes in one process with a virtual
// clock, a network with delays and a log service.
type Simulation struct {
	now    time.Duration
	rng    *rand.Rand
	jobs   jobs
	order  uint64
	nodes  []*simNode
	byRPC  map[netip.AddrPort]*simNode
	log    *simLog
	cut    map[mesh.AvailabilityZone]bool
	traces *traces
	// services is the number of services in the log.
	services int
	changes  int
	// submitter takes all changes; a random node does if it is nil.
	submitter *simNode
}

// NewSimulation starts zones of perZone nodes each, with a target beside each node.
func NewSimulation(seed uint64, zones, perZone int) *Simulation {
	s := &Simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), byRPC: map[netip.AddrPort]*simNode{},
		cut: map[mesh.AvailabilityZone]bool{}, traces: newTraces(),
	}
	s.log = newSimLog(s)
	s.services = max(1, zones*perZone*450/2500)
	s.configure()
	for z := range zones {
		for i := range perZone {
			s.add(z, i)
		}
	}
	for _, n := range s.nodes {
		n.start()
	}
	return s
}

func (s *Simulation) add(zone, i int) {
	number := len(s.nodes)
	rpc := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), byte(i >> 8), byte(i)}), 7001)
	n := &simNode{sim: s, traffic: map[string]traffic{}, service: fmt.Sprintf("service-%03d", number%s.services), info: mesh.NodeInfo{
		ID: mesh.NodeID(fmt.Sprintf("zone-%02d-node-%03d", zone, i)), Zone: zoneName(zone),
		Region: mesh.Region(fmt.Sprintf("region-%d", zone%regions)), RPCAddress: rpc, CallAddress: netip.AddrPortFrom(rpc.Addr(), 7002),
	}}
	s.nodes = append(s.nodes, n)
	s.byRPC[rpc] = n
}

func zoneName(zone int) mesh.AvailabilityZone {
	return mesh.AvailabilityZone(fmt.Sprintf("zone-%02d", zone))
}

func (s *Simulation) schedule(after time.Duration, run func()) {
	s.order++
	heap.Push(&s.jobs, job{at: s.now + after, order: s.order, run: run})
}

// Run lets virtual time pass.
func (s *Simulation) Run(d time.Duration) {
	end := s.now + d
	for len(s.jobs) > 0 && s.jobs[0].at <= end {
		j := heap.Pop(&s.jobs).(job)
		s.now = j.at
		j.run()
	}
	s.now = end
}

// RunUntil lets time pass until a condition holds, and returns how long that
// took and whether it held within the limit.
func (s *Simulation) RunUntil(limit time.Duration, holds func() bool) (time.Duration, bool) {
	const step = 50 * time.Millisecond
	start := s.now
	for !holds() {
		if s.now-start >= limit {
			return limit, false
		}
		s.Run(step)
	}
	return s.now - start, true
}

// delay is the one-way delay between two nodes with a jitter of up to a half.
func (s *Simulation) delay(a, b *simNode) time.Duration {
	base := wideDelay
	switch {
	case a.info.Zone == b.info.Zone:
		base = zoneDelay
	case a.info.Region == b.info.Region:
		base = regionDelay
	}
	return base + time.Duration(s.rng.Int64N(int64(base/2)))
}

func (s *Simulation) connected(a, b *simNode) bool {
	return a.info.Zone == b.info.Zone || (!s.cut[a.info.Zone] && !s.cut[b.info.Zone])
}

// transmit delivers a message and counts it at both ends.
func (s *Simulation) transmit(from *simNode, e core.Send) {
	to := s.byRPC[e.To]
	if to == nil || !to.up || !s.connected(from, to) {
		return
	}
	size, kind := messageBytes(e), kindOf(e)
	from.countMessage(kind, size)
	from.messages++
	event := eventOf(e)
	s.schedule(s.delay(from, to), func() {
		if to.up {
			to.countMessage(kind, size)
			to.step(event)
		}
	})
}

// Converged reports whether all nodes that are up serve, have the whole log in
// force and know each other.
func (s *Simulation) Converged() bool {
	alive := 0
	for _, n := range s.nodes {
		if n.up {
			alive++
		}
	}
	for _, n := range s.nodes {
		if n.up && (!n.ready || n.core.Revision() < s.log.head() || len(n.core.LiveNodes()) != alive) {
			return false
		}
	}
	return true
}

// InForce reports whether all nodes that are up serve with the whole log in force.
func (s *Simulation) InForce() bool {
	for _, n := range s.nodes {
		if n.up && (!n.ready || n.core.Revision() < s.log.head()) {
			return false
		}
	}
	return true
}
