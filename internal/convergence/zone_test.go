package convergence

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

func settled(t testing.TB, seed uint64, zones, perZone int) *pump {
	p := newMesh(seed, zones, perZone)
	for i, id := range p.ids {
		p.nodes[id].target = target(i)
	}
	p.platform.append("first")
	_, ok := p.runUntil(time.Minute, func() bool { return p.complete() && len(p.behind(1)) == 0 })
	require.True(t, ok)
	p.runFor(10 * time.Second)
	return p
}

func (n *node) zone(name mesh.AvailabilityZone) membership.ZoneStatus {
	for _, z := range n.member.Zones() {
		if z.Zone == name {
			return z
		}
	}
	return membership.ZoneStatus{}
}

// TestZoneCut guards against a zone that stays in use while nobody reaches it,
// against endpoints that are lost with it, and against a mark that stays.
func TestZoneCut(t *testing.T) {
	p := settled(t, 21, 4, 5)
	p.faults.cut["zone-2"] = true
	marked := func(want bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(p.up(), func(n *node) bool {
				return n.info.Zone != "zone-2" && n.zone("zone-2").Reachable == want
			})
		}
	}
	took, ok := p.runUntil(time.Minute, marked(true))
	require.True(t, ok)
	t.Logf("unreachable known in %v", took)
	n := p.up()[0]
	require.Len(t, n.member.Endpoints(), 20)
	e, found := n.sees("zone-2-n001")
	require.True(t, found && e.Unreachable)
	p.runFor(30 * time.Second)
	z := n.zone("zone-2")
	require.True(t, z.ContactKnown)
	require.Less(t, z.LastContact, n.now()-30*time.Second)

	p.heal()
	took, ok = p.runUntil(time.Minute, marked(false))
	require.True(t, ok)
	t.Logf("reachable known in %v", took)
}

// TestSplitZone guards against the halves of a zone that hold each other for dead
// for ever after a cut inside the zone.
func TestSplitZone(t *testing.T) {
	for seed := range uint64(5) {
		p := settled(t, 50+seed, 1, 10)
		half := make(map[*node]bool)
		for _, n := range p.up()[:5] {
			half[n] = true
		}
		p.filter = func(from, to *node, msg any) (any, bool) { return msg, half[from] == half[to] }
		p.runFor(40 * time.Second)
		require.Len(t, p.up()[0].missing(), 5)
		last := p.platform.append("during the cut")
		p.runFor(9 * time.Second)
		require.Empty(t, p.behind(last), "each half has readers")
		p.filter = nil
		took, ok := p.runUntil(time.Minute, p.complete)
		require.True(t, ok)
		t.Logf("whole again in %v", took)
		require.Empty(t, p.violations)
	}
}

// TestSummary guards against an in-force report that hides a node that lags or
// cannot apply a record.
func TestSummary(t *testing.T) {
	p := settled(t, 22, 3, 5)
	old := p.nodes["zone-1-n002"]
	old.old = true
	p.platform.append(newRecord)
	last := p.platform.append("after")
	p.runFor(9 * time.Second)
	require.Equal(t, record.Revision(1), old.revision)
	require.Equal(t, []mesh.NodeID{"zone-1-n002"}, p.behind(last), "entries pass the node that cannot apply them")
	asker := p.nodes["zone-0-n004"]
	for range 2 {
		asker.stepMember(membership.RefreshZones{Now: asker.now()})
		p.runFor(200 * time.Millisecond)
	}
	s := asker.zone("zone-1").Summary
	require.Equal(t, 5, s.Members)
	require.Equal(t, []record.Revision{1, last}, []record.Revision{s.MinRevision, s.MaxRevision})
	require.Equal(t, 1, s.NACKCount)
	require.Equal(t, membership.NACK{Node: "zone-1-n002", Revision: 1, Reason: "unsupported record"}, s.NACKs[0])
	require.Equal(t, last, asker.zone("zone-2").Summary.MinRevision)
}

// TestPlatformCut guards against a zone that stays behind because it alone has
// lost the platform.
func TestPlatformCut(t *testing.T) {
	var samples []time.Duration
	for seed := range uint64(5) {
		p := settled(t, 30+seed, 4, 8)
		p.faults.noPlatform["zone-1"] = true
		p.runFor(5 * time.Second)
		samples = append(samples, p.spread(20*time.Second)...)
		require.Empty(t, p.violations)
	}
	report(t, "one zone without platform", 32, samples)
	require.Less(t, quantile(samples, 1), convergenceBound)
}

// TestZoneRestart guards against a zone that serves old state after all its
// nodes restarted during a platform outage and a cut, and against one that does
// not serve again once another zone is back.
func TestZoneRestart(t *testing.T) {
	p := settled(t, 23, 2, 4)
	p.platform.out = true
	p.faults.cut["zone-1"] = true
	for _, n := range p.zoneUp("zone-1") {
		n.kill()
	}
	for _, id := range p.ids {
		if n := p.nodes[id]; n.info.Zone == "zone-1" {
			n.start()
		}
	}
	p.runFor(30 * time.Second)
	for _, n := range p.zoneUp("zone-1") {
		require.False(t, n.ready, n.dist.Status())
	}
	p.heal()
	p.platform.out = true
	_, ok := p.runUntil(30*time.Second, func() bool {
		return !slices.ContainsFunc(p.zoneUp("zone-1"), func(n *node) bool { return !n.ready || n.revision < 1 })
	})
	require.True(t, ok, p.zoneUp("zone-1")[0].dist.Status())
}

// TestHerd guards against a zone that restarts together and does not get ready,
// with a trimmed log, so that each node needs a snapshot.
func TestHerd(t *testing.T) {
	p := settled(t, 24, 2, 40)
	for range 50 {
		p.platform.append("record")
	}
	p.platform.appendSnapshot()
	p.platform.first = p.platform.head()
	p.runFor(5 * time.Second)
	for _, n := range p.zoneUp("zone-1") {
		n.start()
	}
	took, ok := p.runUntil(time.Minute, func() bool {
		return !slices.ContainsFunc(p.up(), func(n *node) bool { return !n.ready }) && p.complete()
	})
	require.True(t, ok)
	require.Empty(t, p.violations)
	t.Logf("40 nodes ready and known again in %v", took)
}

// BenchmarkMeshCost prints the cost of membership and distribution together,
// with a record of 300 bytes every 8 s.
func BenchmarkMeshCost(b *testing.B) {
	for _, zones := range []int{1, 4, 15} {
		p := settled(b, 25, zones, 20)
		p.runFor(60 * time.Second)
		c := p.meter(b)
		for range 10 {
			p.platform.append(string(make([]byte, 300)))
			p.runFor(8 * time.Second)
		}
		mean, highest := c.perSecond(p, 80*time.Second)
		b.Logf("zones=%d nodes=%d bytes_per_s_mean=%.0f bytes_per_s_highest=%.0f", zones, 20*zones, mean, highest)
	}
}
