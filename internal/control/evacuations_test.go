package control

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/logpos"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// zoneMesh starts nodes in zones "a", "b" and "c" in turn. Announcements name their zone.
func zoneMesh(t testing.TB, count int) *testMesh { return zoneMeshWith(t, count, 0) }

// zoneMeshWith does so for targets with an interval of heartbeats.
func zoneMeshWith(t testing.TB, count int, heartbeat time.Duration) *testMesh {
	m := newEmptyMesh(t)
	m.heartbeat = heartbeat
	m.zoneOf = func(i int) mesh.AvailabilityZone { return mesh.AvailabilityZone([]string{"a", "b", "c"}[i%3]) }
	for i := range count {
		m.start(i, "v1")
	}
	m.run(2 * time.Second)
	return m
}

// zonesUsed returns the zones of the endpoints of a node's view.
func (n *testNode) zonesUsed() []mesh.AvailabilityZone {
	var zones []mesh.AvailabilityZone
	if s := n.view.Endpoints["s"]; s != nil {
		for _, e := range s.Old {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

func at(era, offset uint64) logpos.Position { return logpos.Position{Era: era, Offset: offset} }

// readOrders delivers a read of the operator feed up to a position.
func (m *testMesh) readOrders(n *testNode, to logpos.Position, complete bool, events ...Event) {
	for _, e := range events {
		m.step(n, e)
	}
	m.step(n, FeedRead{Feed: OperatorFeed, AsOf: m.now, End: to, ReadTo: to, Complete: complete})
}

// logged returns the kinds of log lines of a step.
func (m *testMesh) logged(n *testNode, e Event) (kinds []string) {
	for _, effect := range n.Step(m.time(), e) {
		if l, ok := effect.(LogEvent); ok {
			kinds = append(kinds, l.Kind)
		}
		m.execute(n, effect)
	}
	return kinds
}

// Guards against targets of an evacuated zone that are selected, against a withdrawal that takes no
// effect, and against orders for two zones that replace each other.
func TestEvacuatedZonesAreNotSelected(t *testing.T) {
	m := zoneMesh(t, 6)
	n := m.nodes[0]
	require.Equal(t, []mesh.AvailabilityZone{"a", "b", "c"}, n.zonesUsed())
	require.Nil(t, n.view.Evacuated)
	require.Contains(t, m.logged(n, ZoneEvacuated{"b", at(1, 5)}), "zone_evacuated")
	require.Equal(t, []mesh.AvailabilityZone{"a", "c"}, n.zonesUsed())
	require.Equal(t, at(1, 5), n.view.Evacuated["b"].Position)
	require.Equal(t, m.time().UnixMS, n.view.Evacuated["b"].SinceUnixMS)
	m.step(n, ZoneEvacuated{"c", at(1, 6)})
	require.Equal(t, []mesh.AvailabilityZone{"a"}, n.zonesUsed())
	require.Contains(t, m.logged(n, ZoneEvacuated{"a", at(1, 7)}), "all_zones_evacuated")
	require.Empty(t, n.zonesUsed())
	require.Contains(t, m.logged(n, ZoneReturned{"b", at(1, 8)}), "zone_returned")
	require.Equal(t, []mesh.AvailabilityZone{"b"}, n.zonesUsed())
	m.step(n, ZoneEvacuated{"b", at(1, 5)})
	require.Equal(t, []mesh.AvailabilityZone{"b"}, n.zonesUsed(), "an older record changes nothing")
}

// Guards against an order for a zone without nodes that breaks something, and against one that is
// forgotten before nodes of the zone appear.
func TestOrderForAnUnknownZoneIsKept(t *testing.T) {
	m := zoneMesh(t, 2)
	require.Contains(t, m.logged(m.nodes[0], ZoneEvacuated{"c", at(1, 5)}), "zone_evacuated")
	require.Equal(t, []mesh.AvailabilityZone{"a", "b"}, m.nodes[0].zonesUsed())
	m.start(2, "v1")
	m.run(2 * time.Second)
	require.Equal(t, []mesh.AvailabilityZone{"a", "b"}, m.nodes[0].zonesUsed())
}

// Guards against an order that is dropped because its newest record cannot be read, and against one
// that stays although the record was deleted.
func TestUnreadableOrderChangesNothing(t *testing.T) {
	m := zoneMesh(t, 3)
	n := m.nodes[0]
	m.readOrders(n, at(1, 6), false, ZoneEvacuated{"b", at(1, 5)})
	require.Contains(t, m.logged(n, ZoneOrderUnreadable{"b", at(1, 6)}), "zone_order_unreadable")
	m.step(n, ZoneOrderUnreadable{"c", at(1, 7)})
	m.readOrders(n, at(1, 9), true, ZoneOrderUnreadable{"b", at(1, 6)}, ZoneOrderUnreadable{"c", at(1, 7)})
	require.Equal(t, []mesh.AvailabilityZone{"a", "c"}, n.zonesUsed())
	// A node that starts now has only the other nodes to tell it.
	late := m.start(3, "v1")
	m.readOrders(late, at(1, 9), true, ZoneOrderUnreadable{"b", at(1, 6)}, ZoneOrderUnreadable{"c", at(1, 7)})
	m.run(4 * time.Second)
	require.Equal(t, []mesh.AvailabilityZone{"a", "c"}, late.zonesUsed())
	m.readOrders(n, at(1, 12), true)
	require.Equal(t, []mesh.AvailabilityZone{"a", "b", "c"}, n.zonesUsed(), "the record was deleted and compacted")
}

// Guards against an order that takes effect after its withdrawal if both come in quick succession, of
// which a read may return only the last, and against targets that are presumed cold for nothing.
func TestOrderAndItsWithdrawalInQuickSuccession(t *testing.T) {
	m := coldMesh(t, 3, 15)
	n := m.nodes[1]
	require.Contains(t, m.logged(n, ZoneReturned{"b", at(1, 6)}), "zone_returned")
	require.Empty(t, m.logged(n, ZoneEvacuated{"b", at(1, 5)}), "a late read of the order")
	require.Nil(t, n.view.Evacuated)
	require.LessOrEqual(t, n.view.TargetColdUntil, m.now)
	m.run(4 * time.Second)
	for _, other := range m.nodes {
		require.Equal(t, []mesh.AvailabilityZone{"a", "b", "c"}, other.zonesUsed())
		require.Empty(t, other.coldRates())
	}
	m.step(n, ZoneEvacuated{"b", at(1, 7)})
	m.step(n, ZoneReturned{"b", at(1, 8)})
	require.Greater(t, n.view.TargetColdUntil, m.now, "its targets may have had no requests")
}

// Guards against a withdrawal that is missed because the store has compacted its record, and against
// the end of an order by a read that does not reach it.
func TestCompleteReadWithoutTheOrderEndsIt(t *testing.T) {
	m := zoneMesh(t, 3)
	n := m.nodes[0]
	m.step(n, ZoneEvacuated{"b", at(1, 5)})
	m.readOrders(n, at(1, 5), true)
	require.Equal(t, []mesh.AvailabilityZone{"a", "c"}, n.zonesUsed(), "the read ended before the order")
	m.readOrders(n, at(1, 20), true, ZoneEvacuated{"b", at(1, 5)})
	require.Equal(t, []mesh.AvailabilityZone{"a", "c"}, n.zonesUsed())
	m.readOrders(n, at(1, 20), false)
	require.Equal(t, []mesh.AvailabilityZone{"a", "c"}, n.zonesUsed(), "the read returned only what is new")
	m.readOrders(n, at(1, 21), true)
	require.Equal(t, []mesh.AvailabilityZone{"a", "b", "c"}, n.zonesUsed())
}

// Guards against requests to an evacuated zone after the store was restored from a copy without the
// order: the operator has not withdrawn it.
func TestOrderThatTheStoreHasLostStaysInForce(t *testing.T) {
	m := zoneMesh(t, 3)
	n := m.nodes[0]
	m.readOrders(n, at(1, 11), false, ZoneEvacuated{"b", at(1, 10)})
	m.era = 2
	m.step(n, StoreEraSeen{Era: 2, Before: 1})
	m.readOrders(n, at(2, 8), true)
	require.Equal(t, []mesh.AvailabilityZone{"a", "c"}, n.zonesUsed())
	// A node that starts on the restored store learns the order from another node.
	late := m.start(3, "v1")
	m.readOrders(late, at(2, 8), true)
	m.run(4 * time.Second)
	require.Equal(t, []mesh.AvailabilityZone{"a", "c"}, late.zonesUsed())
	// The operator's record, written again, makes the order one of this era, and its deletion ends
	// it everywhere.
	m.readOrders(n, at(2, 9), false, ZoneEvacuated{"b", at(2, 8)})
	m.readOrders(n, at(2, 20), true)
	m.run(4 * time.Second)
	require.Equal(t, []mesh.AvailabilityZone{"a", "b", "c"}, n.zonesUsed())
	require.Equal(t, []mesh.AvailabilityZone{"a", "b", "c"}, late.zonesUsed())
}

// Guards against a node without a path to the store that keeps an old order or misses a new one, and
// against its old state that replaces the newer one of others.
func TestNodesWithoutTheStoreLearnOrdersFromOthers(t *testing.T) {
	for _, count := range []int{6, 40} {
		m := zoneMesh(t, count)
		m.run(aliveTimeout)
		m.step(m.nodes[1], StoreAvailability{Available: false})
		for _, n := range m.nodes {
			if n.view.Reader && n != m.nodes[1] {
				m.readOrders(n, at(1, 6), false, ZoneEvacuated{"b", at(1, 5)})
			}
		}
		m.run(4 * time.Second)
		for _, n := range m.nodes {
			require.Equal(t, []mesh.AvailabilityZone{"a", "c"}, n.zonesUsed(), "%s of %d", n.id, count)
		}
		// The deletion is read by one node only.
		for _, n := range m.nodes {
			if n.view.Reader && n != m.nodes[1] {
				m.readOrders(n, at(1, 9), true)
				break
			}
		}
		m.run(6 * time.Second)
		for _, n := range m.nodes {
			require.Equal(t, []mesh.AvailabilityZone{"a", "b", "c"}, n.zonesUsed(), "%s of %d", n.id, count)
			require.Nil(t, n.view.Evacuated)
		}
	}
}

// Guards against a starting node that takes the order of a node with old knowledge although its own
// complete read shows that the order has ended.
func TestReadStoreContradictsOldKnowledge(t *testing.T) {
	m := zoneMesh(t, 3)
	m.step(m.nodes[1], ZoneEvacuated{"b", at(1, 5)})
	late := m.start(3, "v1")
	m.readOrders(late, at(1, 50), true)
	m.run(4 * time.Second)
	for _, n := range m.nodes {
		require.Equal(t, []mesh.AvailabilityZone{"a", "b", "c"}, n.zonesUsed(), "%s", n.id)
	}
}

// Guards against a starting node that serves an evacuated zone because it does not know the orders
// yet, and against one that never serves if nobody can tell.
func TestStartingNodeWaitsForTheOrders(t *testing.T) {
	m := zoneMesh(t, 2)
	start := func() *testNode {
		m.withoutOrders, m.muted = true, true
		defer func() { m.withoutOrders, m.muted = false, false }()
		return m.start(2, "v1")
	}
	n := start()
	require.False(t, n.view.Target.Serving, "neither the store nor a node has told the orders")
	require.True(t, n.State(m.time()).OrdersUnknown)
	m.step(m.nodes[0], ZoneEvacuated{"c", at(1, 5)})
	m.step(n, PeerStateReceived{State: m.nodes[0].State(m.time())})
	require.True(t, n.view.Target.Serving)
	require.True(t, n.view.IsEvacuated("c"))

	m = zoneMesh(t, 0)
	n = start()
	m.step(n, ConfigPublished{Config: preparedConfig(t, 1)})
	m.run(maxFormerWait - time.Second - m.now)
	require.False(t, n.view.Target.Serving)
	m.run(2 * time.Second)
	require.True(t, n.view.Target.Serving, "it waits no longer than for departures")
}

// Guards against messages and fields for orders in deployments that have none.
func TestMeshWithoutOrdersSendsNothingAboutThem(t *testing.T) {
	m := zoneMesh(t, 3)
	s := m.nodes[0].State(m.time())
	require.Nil(t, s.ZoneOrders)
	require.False(t, s.OrdersUnknown)
	require.Zero(t, m.nodes[0].ConfigFreshness(m.time()).Orders)
}

// Guards against nodes that disagree on the orders for ever: whatever each has read of the feed, all
// end with what the newest reader knows, in any order of messages.
func TestOrdersConvergeToTheNewestRead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type change struct {
			zone mesh.AvailabilityZone
			on   bool
		}
		zones := []mesh.AvailabilityZone{"a", "b", "c"}
		var feed []change
		for range rapid.IntRange(1, 12).Draw(rt, "records") {
			feed = append(feed, change{rapid.SampledFrom(zones).Draw(rt, "zone"), rapid.Bool().Draw(rt, "on")})
		}
		m := zoneMesh(t, 3)
		readTo := make([]int, len(m.nodes))
		read := func(i, to int, complete bool) {
			n := m.nodes[i]
			newest := map[mesh.AvailabilityZone]int{}
			from := readTo[i]
			if complete {
				from = 0
			}
			for k := from; k < to; k++ {
				newest[feed[k].zone] = k
			}
			var events []Event
			for zone, k := range newest {
				p := at(1, uint64(k))
				switch {
				case feed[k].on:
					events = append(events, ZoneEvacuated{zone, p})
				case !complete:
					events = append(events, ZoneReturned{zone, p})
				}
			}
			m.readOrders(n, at(1, uint64(to)), complete, events...)
			readTo[i] = max(readTo[i], to)
		}
		for range rapid.IntRange(0, 12).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(m.nodes)-1).Draw(rt, "node")
			if rapid.Bool().Draw(rt, "message") {
				other := rapid.IntRange(0, len(m.nodes)-1).Draw(rt, "from")
				m.step(m.nodes[i], PeerStateReceived{State: m.nodes[other].State(m.time())})
				continue
			}
			read(i, rapid.IntRange(readTo[i], len(feed)).Draw(rt, "to"), rapid.Bool().Draw(rt, "complete"))
		}
		// The last record is not one that only a torn read could miss.
		read(0, len(feed), false)
		read(0, len(feed), true)
		m.run(4 * time.Second)
		want := map[mesh.AvailabilityZone]bool{}
		for _, r := range feed {
			want[r.zone] = r.on
		}
		for _, n := range m.nodes {
			for _, zone := range zones {
				require.Equal(rt, want[zone], n.view.IsEvacuated(zone), "zone %s at %s", zone, n.id)
			}
		}
	})
}

// putOrder writes a record of the operator that all nodes read which read the feed.
func (m *testMesh) putOrder(zone mesh.AvailabilityZone, evacuated bool) {
	if m.zoneRecords == nil {
		m.zoneRecords = map[mesh.AvailabilityZone]Event{}
	}
	m.zoneRecords[zone] = ZoneReturned{zone, at(m.era, m.operatorEnd)}
	if evacuated {
		m.zoneRecords[zone] = ZoneEvacuated{zone, at(m.era, m.operatorEnd)}
	}
	m.operatorEnd++
}

// evacuationTime is the time from the confirmation of an order until all nodes with a path to the
// store act on it.
const evacuationTime = 5 * time.Second

// Guards against an order that takes effect late at some nodes with a path to the store: in a small
// and in a large mesh, if the store fails the readers, if these are cut off, and if messages between
// nodes are lost.
func TestOrdersAreInForceInTime(t *testing.T) {
	for name, disturb := range map[string]func(m *testMesh, readers []mesh.NodeID){
		"undisturbed": func(*testMesh, []mesh.NodeID) {},
		"store silent to the readers": func(m *testMesh, readers []mesh.NodeID) {
			m.silentTo = map[mesh.NodeID]bool{}
			for _, id := range readers {
				m.silentTo[id] = true
			}
		},
		"readers cut off": func(m *testMesh, readers []mesh.NodeID) {
			for _, id := range readers {
				m.partitioned[id] = true
			}
		},
		"no messages": func(m *testMesh, _ []mesh.NodeID) { m.muted = true },
	} {
		for _, count := range []int{6, 60} {
			m := zoneMesh(t, count)
			m.config = preparedConfig(t, 1)
			m.run(aliveTimeout)
			readers := m.readers()
			if count == 6 {
				readers = readers[:2]
			}
			disturb(m, readers)
			for _, evacuated := range []bool{true, false} {
				m.putOrder("b", evacuated)
				m.run(evacuationTime)
				for _, n := range m.nodes {
					if !m.silentTo[n.id] || count == 60 {
						require.Equal(t, evacuated, n.view.IsEvacuated("b"), "%s of %d, %s", n.id, count, name)
					}
				}
			}
		}
	}
}

// Guards against a message of an odd node that evacuates a zone for ever or fills the memory and the
// log, and against an order that is dropped because the clock of another node is wrong.
func TestOddOrdersOfOtherNodes(t *testing.T) {
	m := zoneMesh(t, 3)
	n, from := m.nodes[0], m.nodes[1]
	m.readOrders(n, at(1, 10), true)
	receive := func(orders ...ZoneOrder) (kinds []string) {
		s := from.State(m.time())
		s.ZoneOrders = orders
		return m.logged(n, PeerStateReceived{State: s})
	}
	receive(
		ZoneOrder{Zone: "", Evacuated: true, Position: at(1, 11)},
		ZoneOrder{Zone: mesh.AvailabilityZone(strings.Repeat("z", mesh.MaxNameBytes+1)), Evacuated: true, Position: at(1, 11)},
		ZoneOrder{Zone: "a", Evacuated: true, Position: at(1, 10+2*maxOrderLead)},
		ZoneOrder{Zone: "b", Evacuated: true, Position: at(maxEraStep+2, 1)},
		ZoneOrder{Zone: "c", Evacuated: true, Position: at(2, math.MaxUint64)},
	)
	require.Nil(t, n.view.Evacuated)
	require.Empty(t, n.zones.byZone)
	receive(ZoneOrder{Zone: "c", Evacuated: true, Position: at(1, 11), SinceUnixMS: math.MaxInt64})
	require.Equal(t, m.time().UnixMS, n.view.Evacuated["c"].SinceUnixMS)
	var many []ZoneOrder
	for i := range 2 * maxZoneOrders {
		many = append(many, ZoneOrder{Zone: mesh.AvailabilityZone(fmt.Sprint(i)), Evacuated: true, Position: at(1, 12)})
	}
	require.Equal(t, 1, count(receive(many...), "zone_order_ignored"))
	require.Len(t, n.zones.byZone, maxZoneOrders)
	require.Zero(t, count(receive(many...), "zone_order_ignored"))
	require.Equal(t, []mesh.AvailabilityZone{"a", "b"}, n.zonesUsed())
}

func count(kinds []string, kind string) (n int) {
	for _, k := range kinds {
		if k == kind {
			n++
		}
	}
	return n
}
