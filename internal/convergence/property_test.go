package convergence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// machine drives a small mesh through random faults, any number of them at
// once, among them faults during the recovery from others.
type machine struct {
	p      *pump
	zones  int
	paused map[mesh.NodeID]time.Duration
}

func newMachine(t *rapid.T) *machine {
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	p := newMesh(rapid.Uint64().Draw(t, "seed"), zones, rapid.IntRange(2, 9).Draw(t, "nodes"))
	p.platform.append("first")
	p.runFor(12 * time.Second)
	return &machine{p: p, zones: zones, paused: make(map[mesh.NodeID]time.Duration)}
}

func (m *machine) node(t *rapid.T) *node {
	return m.p.nodes[rapid.SampledFrom(m.p.ids).Draw(t, "node")]
}

func (m *machine) zone(t *rapid.T) mesh.AvailabilityZone { return m.node(t).info.Zone }

func (m *machine) actions() map[string]func(*rapid.T) {
	p := m.p
	return map[string]func(*rapid.T){
		"append": func(t *rapid.T) {
			for range rapid.IntRange(1, 20).Draw(t, "records") {
				p.platform.append("record")
			}
		},
		"wait": func(t *rapid.T) {
			p.runFor(time.Duration(rapid.IntRange(50, 6000).Draw(t, "ms")) * time.Millisecond)
		},
		"kill":    func(t *rapid.T) { m.node(t).kill() },
		"restart": func(t *rapid.T) { m.node(t).start() },
		"pause": func(t *rapid.T) {
			if n := m.node(t); n.up {
				n.pause()
			}
		},
		"resume": func(t *rapid.T) {
			if n := m.node(t); n.up && n.paused {
				n.resume()
			}
		},
		"cut zone":      func(t *rapid.T) { p.faults.cut[m.zone(t)] = true },
		"cut platform":  func(t *rapid.T) { p.faults.noPlatform[m.zone(t)] = true },
		"platform out":  func(*rapid.T) { p.platform.out = true },
		"platform back": func(*rapid.T) { p.platform.out = false },
		"lossy": func(t *rapid.T) {
			p.faults.drop = float64(rapid.IntRange(0, 10).Draw(t, "drop")) / 100
			p.faults.duplicate = float64(rapid.IntRange(0, 20).Draw(t, "duplicate")) / 100
			p.faults.delay = time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond
		},
		"trim": func(*rapid.T) {
			p.platform.appendSnapshot()
			p.platform.first = p.platform.head()
		},
		"": func(t *rapid.T) { require.Empty(t, p.violations) },
	}
}

// recover ends all faults and checks that every node that is up converges and
// knows all others.
func (m *machine) recover(t *rapid.T) {
	p := m.p
	p.heal()
	for _, n := range p.up() {
		if n.paused {
			n.resume()
		}
	}
	revision := p.platform.append("last")
	_, ok := p.runUntil(convergenceBound, func() bool { return len(p.behind(revision)) == 0 })
	require.True(t, ok, "behind: %v", p.behind(revision))
	p.runFor(membershipBound)
	requireComplete(t, p)
	for _, n := range p.up() {
		require.True(t, n.ready, "%s: %+v", n.info.ID, n.dist.Status())
		requireDeadKnown(t, n)
	}
	require.Empty(t, p.violations)
}

// requireDeadKnown fails unless a node holds those that are down as dead. The
// members of a zone without a live one are kept, and the zone is unreachable.
func requireDeadKnown(t require.TestingT, n *node) {
	reachable := make(map[mesh.AvailabilityZone]bool)
	for _, z := range n.member.Zones() {
		reachable[z.Zone] = z.Reachable
	}
	for _, k := range n.member.Members() {
		up := n.pump.nodes[k.Info.ID].up
		if len(n.pump.zoneUp(k.Info.Zone)) == 0 {
			require.False(t, reachable[k.Info.Zone], "%s holds %s as reachable", n.info.ID, k.Info.Zone)
			continue
		}
		require.True(t, reachable[k.Info.Zone], "%s holds %s as unreachable", n.info.ID, k.Info.Zone)
		require.Equal(t, up, k.State != membership.Dead, "%s holds %s as %s", n.info.ID, k.Info.ID, k.State)
	}
}

const (
	// convergenceBound is the design's bound after the end of all faults.
	convergenceBound = 9 * time.Second
	// membershipBound is added for nodes that were taken for dead. It covers
	// the longest time between two attempts to reach a dead member.
	membershipBound = 30 * time.Second
)

// TestRandomFaults guards the invariants of harness and recover: no revision
// decreases within a session, states are those of the log, a ready node is no
// older than its zone was, all nodes converge after the faults, and no live node
// stays dead.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(m.actions())
		m.recover(t)
	})
}
