package convergence

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// formed returns one zone whose nodes know each other and are ready.
func formed(t testing.TB, seed uint64, size int) *pump {
	p := newMesh(seed, 1, size)
	p.platform.append("first")
	_, ok := p.runUntil(time.Minute, func() bool {
		return len(p.behind(1)) == 0 && !slices.ContainsFunc(p.up(), func(n *node) bool { return !n.ready }) && p.complete()
	})
	require.True(t, ok)
	p.runFor(10 * time.Second)
	return p
}

func quantile(samples []time.Duration, q float64) time.Duration {
	slices.Sort(samples)
	return samples[min(len(samples)-1, int(q*float64(len(samples))))]
}

func report(t testing.TB, what string, size int, samples []time.Duration) {
	t.Logf("%s nodes=%d samples=%d p50=%v p99=%v max=%v", what, size, len(samples),
		quantile(samples, 0.5), quantile(samples, 0.99), quantile(samples, 1))
}

// spread appends a record and returns how long each node took to have it in
// force. Nodes that miss the limit count as the limit.
func (p *pump) spread(limit time.Duration) []time.Duration {
	revision := p.platform.append("change")
	start := p.now
	var samples []time.Duration
	done := make(map[mesh.NodeID]bool)
	for p.now-start < limit && len(done) < len(p.up()) {
		p.runFor(tickInterval / 10)
		for _, n := range p.up() {
			if n.revision >= revision && !done[n.info.ID] {
				done[n.info.ID] = true
				samples = append(samples, p.now-start)
			}
		}
	}
	for range len(p.up()) - len(done) {
		samples = append(samples, limit)
	}
	return samples
}

// reader returns the node that reads the log and ranks first.
func (p *pump) reader() *node {
	return p.nodes[mesh.RankNodes("zone-0", p.ids)[0]]
}

// scenarios are the deaths at the moment of a change.
var scenarios = []struct {
	name string
	kill func(*pump)
}{
	{"none dead", func(*pump) {}},
	{"one reader dead", func(p *pump) { p.reader().kill() }},
	{"both readers dead", func(p *pump) {
		p.nodes[mesh.RankNodes("zone-0", p.ids)[1]].kill()
		p.runFor(500 * time.Millisecond)
		p.reader().kill()
	}},
	{"one relay dead", func(p *pump) { p.relays()[0].kill() }},
	{"first level of relays dead", func(p *pump) {
		for _, n := range p.relays() {
			n.kill()
		}
	}},
	{"one reader dead, 2 % loss", func(p *pump) {
		p.faults.drop = 0.02
		p.reader().kill()
	}},
}

// measureConvergence prints the distribution of the time to convergence, and
// fails if its p99 is over the bound.
func measureConvergence(t testing.TB, size, seeds int) {
	for _, scenario := range scenarios {
		var samples []time.Duration
		for seed := range uint64(seeds) {
			p := formed(t, seed, size)
			scenario.kill(p)
			samples = append(samples, p.spread(20*time.Second)...)
			require.Empty(t, p.violations)
		}
		report(t, scenario.name, size, samples)
		require.Less(t, quantile(samples, 0.99), convergenceBound, scenario.name)
	}
}

// TestConvergence guards against a reader or relay whose death delays a change
// beyond the bound.
func TestConvergence(t *testing.T) {
	t.Parallel()
	measureConvergence(t, 40, 2)
}

// BenchmarkConvergence prints the distributions for the sizes of the design.
func BenchmarkConvergence(b *testing.B) {
	for _, size := range []int{40, 80, 167} {
		measureConvergence(b, size, 10)
	}
}

// relays returns the children of the first reader in its tree.
func (p *pump) relays() []*node {
	reader := p.reader().info.ID
	var ids []mesh.NodeID
	for _, n := range p.up() {
		ids = append(ids, n.info.ID)
	}
	order := slices.DeleteFunc(mesh.RankNodes(string(reader), ids), func(id mesh.NodeID) bool { return id == reader })
	var relays []*node
	for _, id := range order[:distribution.PushFanout] {
		relays = append(relays, p.nodes[id])
	}
	return relays
}

func target(i int) *mesh.Target {
	return &mesh.Target{
		Service: "finder", Version: "v1", Slots: 12, Connections: 100, State: mesh.TargetServing,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080),
	}
}

// sees reports whether n holds the endpoint of another node, and its flags.
func (n *node) sees(id mesh.NodeID) (membership.Endpoint, bool) {
	for _, e := range n.member.Endpoints() {
		if e.Node == id {
			return e, true
		}
	}
	return membership.Endpoint{}, false
}

const leavingBound = 3 * time.Second

// leave lets a node with a target leave, and returns how long each other node
// took to know, the limit if it did not.
func (p *pump) leave(n *node, limit time.Duration) []time.Duration {
	start := p.now
	n.stepMember(membership.Leave{Now: n.now()})
	n.target = nil
	var samples []time.Duration
	known := map[mesh.NodeID]bool{n.info.ID: true}
	for p.now-start < limit && len(known) < len(p.up()) {
		p.runFor(tickInterval / 10)
		for _, other := range p.up() {
			if known[other.info.ID] {
				continue
			}
			if e, found := other.sees(n.info.ID); !found || e.Leaving {
				known[other.info.ID] = true
				samples = append(samples, p.now-start)
			}
		}
	}
	for range len(p.up()) - len(known) {
		samples = append(samples, limit)
	}
	return samples
}

func withTargets(t testing.TB, seed uint64, size int) *pump {
	p := newPump(seed)
	p.membershipOnly = true
	p.addZones(1, size)
	for i, id := range p.ids {
		p.nodes[id].target = target(i)
	}
	_, ok := p.runUntil(time.Minute, func() bool { return p.complete() && len(p.up()[0].member.Endpoints()) == size })
	require.True(t, ok)
	p.runFor(10 * time.Second)
	return p
}

// TestLeaving guards against a leaving target that gets new work for over 3 s,
// with up to a tenth of the messages lost.
func TestLeaving(t *testing.T) {
	t.Parallel()
	for _, size := range []int{10, 167} {
		p := withTargets(t, 11, size)
		for at, drop := range []float64{0, 0.02, 0.1} {
			p.faults.drop = drop
			var samples []time.Duration
			for i := range 3 {
				samples = append(samples, p.leave(p.nodes[p.ids[(3*at+i)*size/10]], 20*time.Second)...)
				p.runFor(2 * time.Second)
			}
			report(t, fmt.Sprintf("leaving known, loss %v", drop), size, samples)
			require.LessOrEqual(t, quantile(samples, 1), leavingBound)
		}
	}
}

const (
	// deadBound is the mean time to a probe, its timeouts, and suspicion, plus
	// dissemination; the time to the first probe has a tail.
	deadBound = 10 * time.Second
)

// TestDeadNode guards against dead nodes that stay in use, and against live
// ones that are taken for dead by a lossy network.
func TestDeadNode(t *testing.T) {
	t.Parallel()
	for _, size := range []int{10, 167} {
		p := withTargets(t, 5, size)
		p.faults.drop = 0.01
		var samples []time.Duration
		for i := range 4 {
			n := p.nodes[p.ids[i*size/4]]
			n.kill()
			samples = append(samples, p.deathKnown(n, 40*time.Second)...)
		}
		report(t, "death known", size, samples)
		require.Less(t, quantile(samples, 1), deadBound)
		p.runFor(20 * time.Second)
		requireComplete(t, p)
	}
}

// deathKnown returns how long each node took to hold one as dead.
func (p *pump) deathKnown(n *node, limit time.Duration) []time.Duration {
	start := p.now
	var samples []time.Duration
	known := make(map[mesh.NodeID]bool)
	for p.now-start < limit && len(known) < len(p.up()) {
		p.runFor(tickInterval)
		for _, other := range p.up() {
			if known[other.info.ID] {
				continue
			}
			if _, found := other.sees(n.info.ID); !found {
				known[other.info.ID] = true
				samples = append(samples, p.now-start)
			}
		}
	}
	for range len(p.up()) - len(known) {
		samples = append(samples, limit)
	}
	return samples
}
