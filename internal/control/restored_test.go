package control

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// storeCopy is an older copy of the store of a testMesh.
type storeCopy struct {
	announcements               map[mesh.NodeID]directory.Announcement
	moves                       map[string]canary.Move
	statuses                    map[string]Status
	meshEnd, moveEnd, statusEnd int
}

func (m *testMesh) copyStore() storeCopy {
	return storeCopy{
		maps.Clone(m.announcements), maps.Clone(m.moves), maps.Clone(m.statuses), m.meshEnd, m.moveEnd, m.statusEnd,
	}
}

// restore replaces the content of the store by an older copy. A node learns of it when it next
// reads, and then reads the feeds that it follows again.
func (m *testMesh) restore(c storeCopy) {
	m.announcements, m.moves, m.statuses = maps.Clone(c.announcements), maps.Clone(c.moves), maps.Clone(c.statuses)
	m.meshEnd, m.moveEnd, m.statusEnd = c.meshEnd, c.moveEnd, c.statusEnd
	m.writtenStatuses = nil
	m.era++
}

// decideMove moves the service of a mesh to the version, which is faulty or not.
func decideMove(m *testMesh, version string, number uint64, faulty bool) Status {
	m.order(version, number)
	m.runWith(11*time.Second, moveTraffic(m, version, faulty))
	want := Status{Service: "s", Version: version, State: StatusCompleted}
	if faulty {
		want.State = StatusReverted
	}
	require.Equal(m.t, want, m.statuses["s"])
	return want
}

func moveTraffic(m *testMesh, version string, faulty bool) func() {
	return func() {
		m.countResponses("v1", 5, false)
		m.countResponses(version, 2, faulty)
	}
}

// Guards against a decided move that starts again after the store was restored from an older
// copy. The operator's order comes again at another offset, the recorded move and its status are
// lost, and nodes that restart meanwhile know nothing of either.
func TestDecidedMoveStaysDecidedAfterARestoration(t *testing.T) {
	for _, nodes := range []int{4, 30} {
		for _, faulty := range []bool{false, true} {
			for _, number := range []uint64{2, 3, 4} {
				t.Run(fmt.Sprintf("nodes=%d faulty=%v number=%d", nodes, faulty, number), func(t *testing.T) {
					var versions []string
					for i := range nodes {
						versions = append(versions, []string{"v1", "v2"}[i%2])
					}
					m := newTestMesh(t, versions...)
					older := m.copyStore()
					want := decideMove(m, "v2", 3, faulty)
					m.restore(older)
					m.order("v2", number)
					m.nodes[0].dead, m.nodes[1].dead = true, true
					for i := range 2 {
						restarted := m.start(100+i, versions[i])
						m.step(restarted, MoveOrdered{m.newOrder("s", "v2", number)})
					}
					m.runWith(15*time.Second, moveTraffic(m, "v2", faulty))
					require.Equal(t, want, m.statuses["s"], "the status that operators have read")
					require.NotContains(t, states(m.writtenStatuses), StatusActive)
					require.Equal(t, statusOf(m.moves["s"].Phase), want.State)
					for _, n := range m.nodes {
						if !n.dead {
							require.Empty(t, n.view.Endpoints["s"].New, "%s", n.id)
						}
					}
				})
			}
		}
	}
}

// Guards against an order that is never carried out since its offset in a restored store is
// not above that of an earlier order.
func TestNewOrderAfterARestorationIsCarriedOut(t *testing.T) {
	for _, number := range []uint64{3, 8, 9, 10} {
		t.Run(fmt.Sprintf("number=%d", number), func(t *testing.T) {
			m := newTestMesh(t, "v1", "v1", "v2", "v2")
			older := m.copyStore()
			decideMove(m, "v2", 9, true)
			m.restore(older)
			m.order("v2", 2)
			m.run(3 * time.Second)
			m.start(9, "v3")
			m.run(2 * time.Second)
			decideMove(m, "v3", number, false)
		})
	}
}

// Guards against an order of before that is carried out again because a restored store has lost
// the order that replaced it, until the operator writes that one again.
func TestEarlierOrderThatARestorationBringsBackIsNotCarriedOut(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v2", "v2")
	decideMove(m, "v2", 5, true)
	older := m.copyStore()
	m.start(9, "v3")
	m.run(2 * time.Second)
	want := decideMove(m, "v3", 7, false)
	m.restore(older)
	m.order("v2", 5)
	restarted := m.start(10, "v1")
	m.step(restarted, MoveOrdered{m.newOrder("s", "v2", 5)})
	m.runWith(5*time.Second, moveTraffic(m, "v3", false))
	require.Equal(t, want, m.statuses["s"])
	m.order("v3", 6)
	m.runWith(12*time.Second, moveTraffic(m, "v3", false))
	require.Equal(t, want, m.statuses["s"])
	require.NotContains(t, states(m.writtenStatuses), StatusActive)
}

// Guards against what only the nodes wrote and a restored store has lost: announcements, the
// state of an open move, its status. Nodes that start later find the others through the store only.
func TestLostWritesAreRepeatedAfterARestoration(t *testing.T) {
	for _, nodes := range []int{4, 30} {
		t.Run(fmt.Sprintf("nodes=%d", nodes), func(t *testing.T) {
			m := newEmptyMesh(t)
			empty := m.copyStore()
			for i := range nodes {
				m.start(i, []string{"v1", "v2"}[i%2])
			}
			m.run(2 * time.Second)
			m.order("v2", 3)
			m.runWith(3*time.Second, moveTraffic(m, "v2", false))
			m.step(m.nodes[2], TargetLeaving{ID: "t-2"})
			m.run(time.Second)
			announced, move, status := maps.Clone(m.announcements), m.moves["s"], m.statuses["s"]
			require.True(t, move.Open())
			m.restore(empty)
			m.order("v2", 1)
			m.runWith(2500*time.Millisecond, moveTraffic(m, "v2", false))
			require.Len(t, m.announcements, len(announced))
			require.True(t, m.announcements[m.nodes[2].id].Target.Leaving, "a departure that was confirmed")
			require.Equal(t, move.Phase, m.moves["s"].Phase)
			require.Equal(t, move.DeadlineUnixMS, m.moves["s"].DeadlineUnixMS)
			require.Equal(t, status, m.statuses["s"])
			m.runWith(6*time.Second, moveTraffic(m, "v2", false))
			require.Equal(t, StatusCompleted, m.statuses["s"].State)
		})
	}
}

// Guards against a node that was cut off from the store and from the others with an open state
// of a move that was decided, or was recorded only in records that the store has lost.
func TestDecisionHoldsAgainstANodeThatMissedTheRestoration(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		t.Run(fmt.Sprintf("faulty=%v", faulty), func(t *testing.T) {
			m := newTestMesh(t, "v1", "v1", "v2", "v2", "v1")
			older := m.copyStore()
			m.order("v2", 3)
			m.run(time.Second)
			cut := m.nodes[4]
			m.partitioned[cut.id] = true
			m.runWith(10*time.Second, moveTraffic(m, "v2", faulty))
			want := m.statuses["s"]
			require.NotEqual(t, StatusActive, want.State)
			m.restore(older)
			m.order("v2", 2)
			m.run(3 * time.Second)
			m.partitioned[cut.id] = false
			m.runWith(10*time.Second, moveTraffic(m, "v2", faulty))
			require.Equal(t, want, m.statuses["s"])
			require.Equal(t, want.State, statusOf(cut.moves["s"].move.Phase))
			require.NotContains(t, states(m.writtenStatuses), StatusActive)
		})
	}
}

// Guards against a first restoration that goes unnoticed since the store counts its eras from 0, or
// names none before it: what only the nodes wrote must be written again.
func TestFirstRestorationOfAStoreInEraZeroIsNoticed(t *testing.T) {
	m := newEmptyMesh(t)
	m.era = 0
	older := m.copyStore()
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		m.start(i, version)
	}
	m.run(2 * time.Second)
	want := decideMove(m, "v2", 1, false)
	require.Len(t, m.announcements, 4)
	m.restore(older)
	m.run(3 * time.Second)
	require.Len(t, m.announcements, 4)
	require.Equal(t, want, m.statuses["s"])
	require.Equal(t, canary.Completed, m.moves["s"].Phase)
}
