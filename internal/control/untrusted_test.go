package control

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// knowsTarget reports whether all nodes use the target beside a node as it is.
func (m *testMesh) knowsTarget(node *testNode) error {
	for _, n := range m.nodes {
		if n == node || n.dead {
			continue
		}
		a, ok := n.dir.Get(node.id)
		if !ok || a.Target == nil || a.Target.ID != node.self.Target.ID || a.CallAddress != node.self.CallAddress || !a.Target.Serving {
			return fmt.Errorf("%s knows %s as %+v", n.id, node.id, a)
		}
	}
	return nil
}

// Guards against a message that no node sends and that ends a process, names a target, or changes
// what the node knows of others.
func TestOddMessagesBetweenNodesAreRefused(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v2")
	m.order("v2", 1)
	m.run(2 * time.Second)
	good, err := json.Marshal(m.nodes[1].State(m.time()))
	require.NoError(t, err)
	for name, change := range map[string][2]string{
		"no node":              {`"node":"node-1"`, `"node":""`},
		"no zone":              {`"zone":"a"`, `"zone":""`},
		"port 0":               {`"rpc":"10.0.0.1:1000"`, `"rpc":"10.0.0.1:0"`},
		"start":                {`"start":0`, `"start":9223372036854775807`},
		"link":                 {`"call":"10.0.0.1:1000"`, `"call":"10.0.0.1:1000","link_mbps":1e308`},
		"slots":                {`"slots":4`, `"slots":-5`},
		"slots too large":      {`"slots":4`, `"slots":9000000000000000000`},
		"running":              {`"running":0`, `"running":-1`},
		"waiting":              {`"waiting":0`, `"waiting":9223372036854775807`},
		"crashes of nobody":    {`"waiting":0`, `"waiting":0,"crash_records":[{"request":1,"crashes":[{"node":"","start":1,"number":1}],"seen_ms":0}]`},
		"crashes seen":         {`"waiting":0`, `"waiting":0,"crash_records":[{"request":1,"crashes":[],"seen_ms":9223372036854775807}]`},
		"crashes too many":     {`"waiting":0`, `"waiting":0,"crash_records":[{"request":1,"crashes":[{"node":"a"},{"node":"a"},{"node":"a"},{"node":"a"},{"node":"a"}],"seen_ms":0}]`},
		"rate":                 {`"per_second":{"s":0}`, `"per_second":{"s":1e308}`},
		"evidence negative":    {`"waiting":0`, `"waiting":0,"evidence":{"r":{"n":-1,"f":0,"ms":0,"t":0}}`},
		"evidence too large":   {`"waiting":0`, `"waiting":0,"evidence":{"r":{"n":9223372036854775807,"f":0,"ms":1e308,"t":1}}`},
		"more failed than all": {`"waiting":0`, `"waiting":0,"evidence":{"r":{"n":1,"f":2,"ms":0,"t":0}}`},
		"recent":               {`"waiting":0`, `"waiting":0,"recent":{"n":-1e300,"f":0}`},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, string(good), change[0])
			var s PeerState
			require.NoError(t, json.Unmarshal([]byte(strings.Replace(string(good), change[0], change[1], 1)), &s))
			s.Number = math.MaxUint64
			before := *m.nodes[0].view
			refused := false
			for _, e := range m.nodes[0].Step(m.time(), PeerStateReceived{State: s}) {
				event, ok := e.(LogEvent)
				refused = refused || ok && event.Kind == "peer_state_refused"
			}
			require.True(t, refused)
			require.Equal(t, before, *m.nodes[0].view)
			require.NotEqual(t, s.Number, m.nodes[0].peers["node-1"].Number)
		})
	}
	// Odd parts about others are dropped, the rest of the message holds.
	var s PeerState
	require.NoError(t, json.Unmarshal(good, &s))
	odd := s.Announcement
	odd.Node, odd.CallAddress, odd.StartUnixMS = "odd", address(77), math.MaxInt64
	s.Number++
	s.Others = append(s.Others, odd)
	s.Moves = append(s.Moves, canary.Move{Order: canary.Order{Service: "t", Version: "v2"}, Revision: math.MaxInt})
	m.step(m.nodes[0], PeerStateReceived{State: s})
	require.Equal(t, s.Number, m.nodes[0].peers["node-1"].Number)
	require.NotContains(t, m.nodes[0].view.Announcements, mesh.NodeID("odd"))
	require.NotContains(t, m.nodes[0].moves, "t")
}

// Guards against panics caused by messages between nodes with any numbers.
func TestArbitraryNumbersInMessagesCauseNoPanic(t *testing.T) {
	m := newTestMesh(t, "v1", "v2")
	m.order("v2", 1)
	m.run(time.Second)
	rapid.Check(t, func(t *rapid.T) {
		s := m.nodes[1].State(m.time())
		s.Number = rapid.Uint64().Draw(t, "number")
		s.Announcement.StartUnixMS = rapid.Int64().Draw(t, "start")
		s.Announcement.Sequence = rapid.Uint64().Draw(t, "sequence")
		s.Announcement.Target = &directory.Target{ID: "t", Service: "s", Version: "v2", Slots: rapid.Int().Draw(t, "slots"), ColdUntilUnixMS: rapid.Int64().Draw(t, "cold")}
		s.ConfigAgeMS, s.StoreEra = rapid.Int64().Draw(t, "age"), rapid.Uint64().Draw(t, "era")
		s.Evidence = canary.Evidence{"r": {
			Responses: rapid.Int().Draw(t, "responses"), Failed: rapid.Int().Draw(t, "failed"),
			LatencySumMS: rapid.Float64().Draw(t, "latency"), LatencyCount: rapid.Int().Draw(t, "count"),
		}}
		s.Moves = []canary.Move{{
			Order: canary.Order{Service: "s", Version: "v2", Number: rapid.Uint64().Draw(t, "order"), Duration: time.Duration(rapid.Int64().Draw(t, "duration"))},
			Phase: canary.Shifted, Revision: rapid.Int().Draw(t, "revision"), DeadlineUnixMS: rapid.Int64().Draw(t, "deadline"),
		}}
		n := New(Options{Self: m.nodes[0].self, Address: address(0).String(), Service: "s", Heartbeat: time.Second})
		n.Step(m.time(), PeerStateReceived{State: s, RoundTrip: time.Duration(rapid.Int64().Draw(t, "round trip"))})
		n.Step(m.time(), Tick{})
	})
}

// Guards against an entry of another writer under a node's name that is newer than the node's own
// and stays: the node must learn of it and exceed it, whether it reads the store or not.
func TestTrueAnnouncementExceedsAnOddOne(t *testing.T) {
	for _, nodes := range []int{5, 40} {
		for name, change := range map[string]func(a *directory.Announcement){
			"sequence": func(a *directory.Announcement) { a.Sequence = math.MaxUint64 },
			"start":    func(a *directory.Announcement) { a.StartUnixMS += directory.MaxClockLead.Milliseconds() },
		} {
			t.Run(fmt.Sprintf("%d nodes %s", nodes, name), func(t *testing.T) {
				m := newTestMesh(t, manyTargets(nodes)...)
				m.run(4 * time.Second)
				victim := m.nodes[nodes-1]
				if victim.view.Reader && nodes > maxSmallMeshNodes {
					victim = m.nodes[nodes-2]
				}
				odd := victim.self
				odd.Target = &directory.Target{ID: "odd", Service: "s", Version: "v1", Slots: 9, Serving: true}
				change(&odd)
				for _, n := range m.nodes {
					if n != victim && n.view.Reader {
						m.step(n, AnnouncementRead{odd})
					}
				}
				m.run(10 * time.Second)
				require.NoError(t, m.knowsTarget(victim))
			})
		}
	}
}

// Guards against a node that keeps an odd entry although the node itself tells it another one: the
// true node must learn of the entry to exceed it.
func TestNodeIsToldWhatIsSaidOfIt(t *testing.T) {
	m := newTestMesh(t, manyTargets(40)...)
	m.run(4 * time.Second)
	m.muted = true
	victim, other := m.nodes[38], m.nodes[39]
	odd := victim.self
	odd.Sequence, odd.Target = math.MaxUint64, nil
	m.step(other, AnnouncementRead{odd})
	m.muted = false
	m.step(other, PeerStateReceived{State: victim.State(m.time())})
	require.True(t, victim.self.Supersedes(odd))
	m.step(other, PeerStateReceived{State: victim.State(m.time())})
	known, _ := other.dir.Get(victim.id)
	require.Equal(t, victim.self, known)
}

// Guards against an entry of another writer that takes the address of a living node, whose target
// would get no more requests.
func TestOddEntryDoesNotTakeTheAddressOfALivingNode(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1")
	odd := m.nodes[1].self
	odd.Node, odd.StartUnixMS = "odd", m.now.Milliseconds()+1000
	odd.Target = &directory.Target{ID: "odd", Service: "s", Version: "v1", Slots: 9, Serving: true}
	for _, n := range m.nodes {
		m.step(n, AnnouncementRead{odd})
		require.Len(t, n.view.Endpoints["s"].Old, 3, "%s", n.id)
	}
	require.NoError(t, m.knowsTarget(m.nodes[1]))
}

// Guards against a message with a number that the node does not reach for long: its later states
// would be ignored.
func TestStatesAfterAnOddNumberAreTaken(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1")
	odd := m.nodes[1].State(m.time())
	odd.Number = math.MaxUint64
	odd.Running = 77
	m.step(m.nodes[0], PeerStateReceived{State: odd})
	m.run(maxMessageDelay + 4*time.Second)
	require.Zero(t, m.nodes[0].peers["node-1"].Running)
}

// Guards against records of the nodes that another writer replaces by ones that cannot be read:
// nodes that start later would find neither the node nor the decided move.
func TestUnreadableRecordsAreWrittenAgain(t *testing.T) {
	for _, nodes := range []int{4, 30} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			var versions []string
			for i := range nodes {
				versions = append(versions, []string{"v1", "v2"}[i%2])
			}
			m := newTestMesh(t, versions...)
			status := decideMove(m, "v2", 1, false)
			move := m.moves["s"]
			victim := m.nodes[1]
			if victim.view.Reader && nodes > maxSmallMeshNodes {
				victim = m.nodes[2]
			}
			delete(m.announcements, victim.id)
			delete(m.moves, "s")
			delete(m.statuses, "s")
			for _, n := range m.nodes {
				if n.view.Reader {
					m.step(n, RecordLost{MeshFeed, string(victim.id)})
					m.step(n, RecordLost{MoveFeed, "s"})
					m.step(n, RecordLost{StatusFeed, "s"})
				}
			}
			m.run(3 * time.Second)
			require.Equal(t, victim.self.Target.ID, m.announcements[victim.id].Target.ID)
			require.Equal(t, move, m.moves["s"])
			require.Equal(t, status, m.statuses["s"])
		})
	}
}

// Guards against a move that stays unreadable since the node that finds it so learns of the move
// only afterwards.
func TestUnreadableMoveIsWrittenAgainByANodeThatLearnsOfItLater(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v2", "v2")
	status := decideMove(m, "v2", 1, false)
	move := m.moves["s"]
	delete(m.moves, "s")
	m.muted = true
	n := m.startFor(9, "s", "v2")
	m.step(n, RecordLost{MoveFeed, "s"})
	m.run(time.Second)
	require.Empty(t, n.Control.moves)
	m.muted = false
	m.run(3 * time.Second)
	require.Equal(t, move, m.moves["s"])
	require.Equal(t, status, m.statuses["s"])
}

// Guards against a process that no node which starts later finds: the withdrawal of its former
// process got no response, took effect after it had announced itself, and deleted the announcement.
func TestAnnouncementThatALateWithdrawalDeletedIsWrittenAgain(t *testing.T) {
	for name, read := range map[string]Event{
		"the deletion is read":         RecordLost{MeshFeed, "node-1"},
		"only what remains is read":    FeedRead{Feed: MeshFeed, Complete: true},
		"what came since then is read": nil,
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMesh(t, "v1", "v1", "v1")
			m.step(m.nodes[1], FeedRead{Feed: MeshFeed, Complete: true})
			delete(m.announcements, "node-1")
			if read != nil {
				m.step(m.nodes[1], read)
			} else {
				m.step(m.nodes[1], FeedRead{Feed: MeshFeed})
			}
			m.run(time.Second)
			require.Equal(t, read != nil, m.announcements["node-1"].Node != "")
			m.step(m.nodes[1], Closing{})
			delete(m.announcements, "node-1")
			m.step(m.nodes[1], RecordLost{MeshFeed, "node-1"})
			m.run(time.Second)
			require.NotContains(t, m.announcements, mesh.NodeID("node-1"), "a stopping node has withdrawn itself")
		})
	}
}

// Guards against limits of a version on trial that rest on a count that no node reports.
func TestSummaryWithImpossibleCountsIsDropped(t *testing.T) {
	valid := MoveSummary{Service: "s", Number: 1, Reached: 100}
	require.True(t, valid.valid())
	for _, reached := range []int{-1, maxReportedCount + 1} {
		wrong := valid
		wrong.Reached = reached
		require.False(t, wrong.valid(), "%d", reached)
	}
}
