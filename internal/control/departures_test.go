package control

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

// startUnread starts a node that has read nothing yet.
func (m *testMesh) startUnread(i int) *testNode {
	id := mesh.NodeID(fmt.Sprintf("node-%d", i))
	n := &testNode{id: id, view: &View{}, Control: New(Options{
		Self:    directory.Announcement{Node: id, Zone: "a", StartUnixMS: m.now.Milliseconds(), RPCAddress: address(i), CallAddress: address(i)},
		Address: address(i).String(), Service: "s", Heartbeat: time.Hour, Seed: uint64(i),
	})}
	m.nodes = append(m.nodes, n)
	return n
}

// readFirst makes a node that was started by startUnread read the store.
func (m *testMesh) readFirst(n *testNode) {
	m.read(n)
	for f := range FeedCount {
		m.step(n, FeedCaughtUp{f})
		n.readEras[f] = m.era
	}
	m.step(n, StoreEraSeen{Era: m.era, Before: n.view.StoreEra})
}

func heartbeatOf(i int, target string, start int64, sequence uint64, draining bool) HeartbeatReceived {
	return HeartbeatReceived{directory.Heartbeat{
		ID: target, Address: address(i).String(), Service: "s", Version: "v1", Slots: 4, Sequence: sequence, StartUnixMS: start, Draining: draining,
	}}
}

// stop stops a node as planned. during is called before the node ends.
func (m *testMesh) stop(n *testNode, during func()) {
	m.step(n, Stopping{})
	m.run(time.Second)
	m.step(n, Closing{})
	if during != nil {
		during()
	}
	m.run(time.Second)
	m.kill(n)
}

func (m *testMesh) kill(n *testNode) {
	n.dead = true
	m.now += 100 * time.Millisecond
}

// requireOut checks that no node uses a target of node-0.
func (m *testMesh) requireOut(n *testNode) {
	m.t.Helper()
	require.True(m.t, n.view.Target == nil || !n.view.Target.Serving, "node-0 uses the target")
	for _, other := range m.nodes {
		if s := other.view.Endpoints["s"]; !other.dead && s != nil {
			for _, e := range s.Old {
				require.NotEqual(m.t, n.id, e.Node, "%s uses the target of %s", other.id, n.id)
			}
		}
	}
}

// Guards against a target that left and is in use again after planned stops and kills of its node,
// because a stop deleted the record with the departure, and a late heartbeat reaches a later process.
func TestTargetThatLeftStaysOutAfterPlannedStops(t *testing.T) {
	leave := TargetLeaving{ID: "t-0"}
	for name, end := range map[string]func(m *testMesh, n *testNode){
		"DELETE before the stop":      func(m *testMesh, n *testNode) { m.step(n, leave); m.stop(n, nil) },
		"draining before the stop":    func(m *testMesh, n *testNode) { m.step(n, heartbeatOf(0, "t-0", 1, 2, true)); m.stop(n, nil) },
		"DELETE in the stop":          func(m *testMesh, n *testNode) { m.stop(n, func() { m.step(n, leave) }) },
		"DELETE after the last write": func(m *testMesh, n *testNode) { m.stop(n, func() { m.run(500 * time.Millisecond); m.step(n, leave) }) },
		"two targets in one stop": func(m *testMesh, n *testNode) {
			m.stop(n, func() { m.step(n, leave); m.step(n, TargetLeaving{ID: "t-9"}) })
		},
		"a later target after it": func(m *testMesh, n *testNode) {
			m.step(n, leave)
			m.step(n, heartbeatOf(0, "t-8", m.now.Milliseconds()+1, 1, false))
			m.stop(n, nil)
		},
		"stop, then kill": func(m *testMesh, n *testNode) {
			m.step(n, leave)
			m.stop(n, nil)
			next := m.startUnread(0)
			m.readFirst(next)
			m.run(time.Second)
			m.kill(next)
		},
		"kill, then stop of a process without a heartbeat": func(m *testMesh, n *testNode) {
			m.step(n, leave)
			m.kill(n)
			next := m.startUnread(0)
			m.readFirst(next)
			m.run(time.Second)
			m.stop(next, nil)
		},
	} {
		for _, nodes := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d nodes", name, nodes), func(t *testing.T) {
				m := newTestMesh(t, []string{"v1", "v1", "v1"}[:nodes]...)
				m.now += time.Minute
				end(m, m.nodes[0])
				restarted := m.startUnread(0)
				m.step(restarted, heartbeatOf(0, "t-0", 1, 9, false))
				m.readFirst(restarted)
				m.run(time.Second)
				m.requireOut(restarted)
				m.step(restarted, heartbeatOf(0, "t-0", 1, 10, false))
				m.run(time.Second)
				m.requireOut(restarted)
				m.step(restarted, heartbeatOf(0, "t-0", m.now.Milliseconds(), 1, false))
				require.True(t, restarted.view.Target.Serving, "a later process under the same id serves at once")
			})
		}
	}
}

// Guards against a node that starts and uses its target before it knows what its former process
// confirmed: the store does not respond to it.
func TestNodeUsesItsTargetOnceItKnowsItsFormerProcess(t *testing.T) {
	for _, left := range []bool{true, false} {
		t.Run(fmt.Sprintf("left=%v", left), func(t *testing.T) {
			m := newTestMesh(t, "v1", "v1", "v1")
			if left {
				m.step(m.nodes[0], TargetLeaving{ID: "t-0"})
			}
			m.run(time.Second)
			m.kill(m.nodes[0])
			m.silentTo, m.muted = map[mesh.NodeID]bool{"node-0": true}, true
			restarted := m.startUnread(0)
			began := m.now
			m.step(restarted, heartbeatOf(0, "t-0", 1, 9, false))
			m.run(3 * time.Second)
			require.False(t, restarted.view.Target.Serving)
			// Another node responds. The clock of a node starts with its process.
			m.muted = false
			reply := m.nodes[1].Reply(m.time(), restarted.State(m.time()))
			for _, e := range restarted.Step(Time{Now: m.now - began, UnixMS: m.now.Milliseconds()}, PeerStateReceived{State: m.transfer(reply)}) {
				m.execute(restarted, e)
			}
			require.Equal(t, !left, restarted.view.Target.Serving)
		})
	}
}

// Guards against a start that waits although there is nothing to learn: the first start of a
// system, and of a node that never ran.
func TestFirstStartDoesNotWait(t *testing.T) {
	m := newEmptyMesh(t)
	m.muted = true
	for i := range 3 {
		n := m.startUnread(i)
		m.step(n, heartbeatOf(i, fmt.Sprintf("t-%d", i), 1, 1, false))
		m.readFirst(n)
		require.True(t, n.view.Target.Serving)
	}
}

// Guards against a departure that is confirmed while only one process knows it.
func TestDepartureIsKeptOutsideTheProcess(t *testing.T) {
	for _, report := range []Event{TargetLeaving{ID: "t-0"}, heartbeatOf(0, "t-0", 1, 2, true)} {
		t.Run(fmt.Sprintf("%T", report), func(t *testing.T) {
			m := newTestMesh(t, "v1", "v1", "v1")
			n := m.nodes[0]
			m.storeDown, m.muted = true, true
			m.step(n, report)
			m.run(time.Second)
			require.False(t, n.view.Target.Serving, "the node itself does not use the target")
			require.False(t, n.DepartureKept(report))
			m.muted = false
			m.run(time.Second)
			require.True(t, n.DepartureKept(report), "another node has it")
			m.step(n, report)
			require.True(t, n.DepartureKept(report), "a repeated report is confirmed at once")
			// The store has only the record from before.
			m.kill(n)
			m.storeDown = false
			restarted := m.startUnread(0)
			m.step(restarted, heartbeatOf(0, "t-0", 1, 9, false))
			m.readFirst(restarted)
			m.run(2 * time.Second)
			m.requireOut(restarted)
			require.True(t, restarted.DepartureKept(report))
		})
	}
}

// Guards against a departure in a large mesh that is confirmed late, and is unknown to the next
// process: without the store, a node tells only the readers of it at once.
func TestDepartureIsKeptByTheReadersOfALargeMesh(t *testing.T) {
	m := newTestMesh(t, manyTargets(30)...)
	var n *testNode
	for i, candidate := range m.nodes {
		if !candidate.view.Reader {
			n = m.nodes[i]
		}
	}
	m.storeDown = true
	target := *n.view.Target
	m.step(n, TargetLeaving{ID: target.ID})
	require.True(t, n.DepartureKept(TargetLeaving{ID: target.ID}))
	m.kill(n)
	m.storeDown = false
	var i int
	_, err := fmt.Sscanf(string(n.id), "node-%d", &i)
	require.NoError(t, err)
	restarted := m.startUnread(i)
	m.step(restarted, heartbeatOf(i, target.ID, target.StartUnixMS, 9, false))
	m.readFirst(restarted)
	m.run(2 * time.Second)
	m.requireOut(restarted)
}

// Guards against the report of a departure that is lost because the write of the announcement
// before it was under way, and against writes that overtake each other.
func TestDepartureDuringAWriteIsWritten(t *testing.T) {
	m := newEmptyMesh(t)
	n := m.startUnread(0)
	writes := func(e Event) (written []directory.Announcement) {
		for _, effect := range n.Step(m.time(), e) {
			if w, ok := effect.(WriteAnnouncement); ok {
				written = append(written, w.Announcement)
			}
		}
		return written
	}
	writes(FeedCaughtUp{MeshFeed})
	require.Len(t, writes(heartbeatOf(0, "t-0", 1, 1, false)), 1)
	require.Empty(t, writes(TargetLeaving{ID: "t-0"}), "the first write is under way")
	require.False(t, n.DepartureKept(TargetLeaving{ID: "t-0"}))
	next := writes(WriteCompleted{announceKey, true})
	require.Len(t, next, 1)
	require.True(t, directory.Covers(next[0].Departed, directory.Process{ID: "t-0", StartUnixMS: 1}))
	require.False(t, n.DepartureKept(TargetLeaving{ID: "t-0"}))
	writes(WriteCompleted{announceKey, true})
	require.True(t, n.DepartureKept(TargetLeaving{ID: "t-0"}))
}

// Guards against records of stopped nodes that stay in the store for ever, and against nodes that
// contact or select a stopped node.
func TestRecordOfAStoppedNodeIsKeptForItsDepartures(t *testing.T) {
	for _, nodes := range []int{4, 30} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			m := newTestMesh(t, manyTargets(nodes)...)
			m.stop(m.nodes[1], nil)
			require.NotContains(t, m.announcements, mesh.NodeID("node-1"), "nothing is kept")
			m.step(m.nodes[0], TargetLeaving{ID: "t-0"})
			m.stop(m.nodes[0], nil)
			require.True(t, m.announcements["node-0"].Stopped)
			for _, n := range m.nodes[2:] {
				a, ok := n.dir.Get("node-0")
				require.False(t, ok && !a.Stopped, "%s", n.id)
			}
			for _, n := range m.nodes[2:] {
				n.broadcast(m.time())
				n.gossip(m.time())
				for _, e := range n.effects {
					if s, ok := e.(SendState); ok {
						require.NotContains(t, s.To, mesh.NodeID("node-0"))
					}
				}
			}
			started := m.start(100, "v1")
			m.run(time.Second)
			_, known := started.dir.Get("node-0")
			require.False(t, known)
			// In a restored store the record may be lost; the nodes remember the departure.
			require.NotEmpty(t, m.nodes[2].dir.Departures("node-0"))
			m.now += directory.DepartureRetention
			m.run(12 * time.Second)
			require.NotContains(t, m.announcements, mesh.NodeID("node-0"))
			require.Empty(t, m.nodes[2].dir.Departures("node-0"))
		})
	}
}

// Guards against a departure that a restored store has lost, and that the next process of the node
// does not find.
func TestDepartureIsWrittenAgainAfterARestoration(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1")
	older := m.copyStore()
	m.step(m.nodes[0], TargetLeaving{ID: "t-0"})
	m.step(m.nodes[0], heartbeatOf(0, "t-8", m.now.Milliseconds(), 1, false))
	m.run(time.Second)
	m.restore(older)
	m.run(2500 * time.Millisecond)
	require.True(t, directory.Covers(m.announcements["node-0"].Departed, directory.Process{ID: "t-0", StartUnixMS: 1}))
	m.stop(m.nodes[0], nil)
	m.restore(older)
	restarted := m.startUnread(0)
	m.step(restarted, heartbeatOf(0, "t-0", 1, 9, false))
	m.readFirst(restarted)
	m.run(2 * time.Second)
	m.requireOut(restarted)
}

// Guards against the report of a departure that makes other nodes refuse the announcement, and
// against departures that are announced for ever.
func TestAnnouncementStaysValidWithAnyDeparture(t *testing.T) {
	m := newTestMesh(t, "v1", "v1")
	n := m.nodes[0]
	odd := TargetLeaving{ID: strings.Repeat("t", mesh.MaxNameBytes+1)}
	m.step(n, odd)
	for i := range 3 * directory.MaxDepartures {
		m.now += time.Millisecond
		m.step(n, TargetLeaving{ID: fmt.Sprint("other-", i)})
	}
	m.run(time.Second)
	require.NoError(t, n.self.Validate(m.time().UnixMS))
	require.Len(t, n.self.Departed, directory.MaxDepartures)
	require.True(t, n.DepartureKept(odd), "no target can be used under this id")
	require.True(t, n.view.Target.Serving)
	m.now += directory.DepartureRetention
	writes := m.meshEnd
	m.run(time.Second)
	require.Empty(t, n.self.Departed)
	require.Equal(t, writes, m.meshEnd, "nothing is written for that")
}

// Guards against a message whose statement about the receiver no node makes: it confirms no
// departure and takes no target out of use.
func TestOddKnowledgeOfTheReceiverIsIgnored(t *testing.T) {
	good := directory.Departure{Process: directory.Process{ID: "t-0", StartUnixMS: 1}, AtUnixMS: 1}
	for name, odd := range map[string]ReceiverKnowledge{
		"sequence":   {Sequence: math.MaxUint64},
		"start":      {Departed: []directory.Departure{{Process: directory.Process{ID: "t-0", StartUnixMS: math.MaxInt64}, AtUnixMS: 1}}},
		"at":         {Departed: []directory.Departure{{Process: directory.Process{ID: "t-0", StartUnixMS: 1}, AtUnixMS: math.MaxInt64}}},
		"no start":   {Departed: []directory.Departure{{Process: directory.Process{ID: "t-0"}, AtUnixMS: 1}}},
		"no target":  {Departed: []directory.Departure{{Process: directory.Process{StartUnixMS: 1}, AtUnixMS: 1}}},
		"too many":   {Departed: make([]directory.Departure, directory.MaxDepartures+1)},
		"one is odd": {Departed: []directory.Departure{good, {}}},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMesh(t, "v1", "v1")
			n := m.nodes[0]
			m.storeDown, m.muted = true, true
			state := m.nodes[1].State(m.time())
			odd.StartUnixMS = n.self.StartUnixMS
			state.Receiver = &odd
			m.step(n, PeerStateReceived{State: state})
			require.True(t, n.view.Target.Serving)
			m.step(n, TargetLeaving{ID: "t-0"})
			state.Number++
			state.Receiver = &odd
			m.step(n, PeerStateReceived{State: state})
			require.False(t, n.DepartureKept(TargetLeaving{ID: "t-0"}))
		})
	}
}

// Guards against a start that waits for the answers of machines that are gone: after an outage of
// all machines, all targets would wait.
func TestStartDoesNotWaitForMachinesThatAreGone(t *testing.T) {
	for _, left := range []bool{true, false} {
		t.Run(fmt.Sprintf("left=%v", left), func(t *testing.T) {
			m := newTestMesh(t, "v1", "v1", "v1")
			if left {
				m.step(m.nodes[1], TargetLeaving{ID: "t-1"})
			}
			m.run(time.Second)
			m.kill(m.nodes[1])
			m.kill(m.nodes[0])
			restarted := m.startUnread(0)
			m.step(restarted, heartbeatOf(0, "t-0", 1, 9, false))
			m.readFirst(restarted)
			require.Equal(t, left, restarted.view.Target.Serving)
			m.run(formerAnswerTime + TickInterval)
			require.True(t, restarted.view.Target.Serving)
		})
	}
}

// Guards against a target that gets no requests for long after a start of all nodes while the
// announcements in the store cannot be read.
func TestTargetIsUsedWithoutTheAnnouncementsAfterAWhile(t *testing.T) {
	m := newEmptyMesh(t)
	m.silentTo = map[mesh.NodeID]bool{"node-0": true, "node-1": true}
	nodes := []*testNode{m.startUnread(0), m.startUnread(1)}
	for i, n := range nodes {
		config := &published.Config{Version: 1}
		require.NoError(t, config.Prepare())
		m.step(n, ConfigPublished{Config: config})
		m.step(n, heartbeatOf(i, fmt.Sprint("t-", i), 1, 1, false))
		m.step(n, PeerStateReceived{State: nodes[1-i].State(m.time())})
	}
	m.run(maxFormerWait - 2*time.Second)
	for _, n := range nodes {
		require.False(t, n.view.Target.Serving, "%s", n.id)
	}
	m.run(3 * time.Second)
	for _, n := range nodes {
		require.True(t, n.view.Target.Serving, "%s", n.id)
	}
}

// Guards against the loss of a confirmed departure when a write of the former process takes effect
// after that of this one.
func TestAnnouncementIsWrittenAgainAfterALateWriteOfTheFormerProcess(t *testing.T) {
	m := newTestMesh(t, "v1")
	former := m.announcements["node-0"]
	m.kill(m.nodes[0])
	n := m.startUnread(0)
	m.readFirst(n)
	m.step(n, heartbeatOf(0, "t-0", 1, 2, false))
	m.step(n, TargetLeaving{ID: "t-0"})
	m.run(time.Second)
	require.Len(t, m.announcements["node-0"].Departed, 1)
	m.announcements["node-0"] = former
	m.meshEnd++
	m.run(3 * time.Second)
	require.Len(t, m.announcements["node-0"].Departed, 1)
}

// Guards against a target that has left and is in use again after a start without the store: the
// first node that answered had not heard of the departure, which another one had acknowledged.
func TestStartWithoutTheStoreAsksAllNodes(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1", "v1")
	m.storeDown, m.muted = true, true
	former := m.nodes[0]
	m.step(former, TargetLeaving{ID: "t-0"})
	// Only node-3 hears of it.
	state := former.State(m.time())
	m.step(m.nodes[3], PeerStateReceived{State: m.transfer(state)})
	m.step(former, PeerStateReceived{State: m.transfer(m.nodes[3].Reply(m.time(), state)), RoundTrip: time.Millisecond})
	require.True(t, former.DepartureKept(TargetLeaving{ID: "t-0"}))
	m.kill(former)
	m.run(2 * time.Second)
	restarted := m.startUnread(0)
	m.step(restarted, heartbeatOf(0, "t-0", 1, 1, false))
	m.muted = false
	// The restarted node knows one other node, as from its seeds.
	m.step(restarted, PeerStateReceived{State: m.transfer(m.nodes[1].Reply(m.time(), restarted.State(m.time())))})
	require.False(t, restarted.view.Target.Serving)
	for range 20 {
		m.run(TickInterval)
		require.False(t, restarted.view.Target.Serving)
	}
}

// Guards against a process of a target that has left and that its first heartbeat, which is late, puts
// into use: it started again under its id, and the report that it leaves does not name a process. The
// same holds after its node was killed, whatever the store and the other nodes know.
func TestTargetThatLeftBeforeItsFirstHeartbeatStaysOut(t *testing.T) {
	for name, leave := range map[string]Event{
		"report":               TargetLeaving{ID: "t-0"},
		"signal in a response": TargetSignaled{Target: directory.Process{ID: "t-0", StartUnixMS: 1}, Signals: directory.Signals{Leaving: true}},
	} {
		for _, killed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, node killed: %v", name, killed), func(t *testing.T) {
				m := newTestMesh(t, "v1", "v1", "v1")
				n := m.nodes[0]
				m.now += 10 * time.Second
				started := m.now.Milliseconds()
				m.now += 500 * time.Millisecond
				m.step(n, leave)
				m.run(time.Second)
				require.True(t, n.DepartureKept(TargetLeaving{ID: "t-0"}))
				if killed {
					m.kill(n)
					n = m.startUnread(0)
					m.step(n, heartbeatOf(0, "t-0", started, 1, false))
					m.readFirst(n)
				}
				m.step(n, heartbeatOf(0, "t-0", started, 2, false))
				m.run(2 * time.Second)
				m.requireOut(n)
				// A process that starts after the report is used.
				m.step(n, heartbeatOf(0, "t-0", m.now.Milliseconds(), 1, false))
				require.True(t, n.view.Target.Serving)
			})
		}
	}
}

// Guards against a target that is out of use for good since the report that a former process of it left
// came late: it is used again once its heartbeats go on and it says that it is healthy.
func TestTargetIsUsedAgainAfterALateReportOfItsFormerProcess(t *testing.T) {
	m := newEmptyMesh(t)
	m.heartbeat = time.Second
	m.start(0, "v1")
	m.start(1, "v1")
	n := m.nodes[0]
	m.step(n, ConfigPublished{Config: &published.Config{
		Version: 1, Services: map[string]published.Service{"s": {HealthPath: "/health"}},
	}})
	m.run(2 * time.Second)
	started := m.now.Milliseconds()
	m.step(n, heartbeatOf(0, "t-0", started, 1, false))
	m.step(n, TargetLeaving{ID: "t-0"})
	m.run(time.Second)
	m.requireOut(n)
	var probes []time.Duration
	left := m.now
	for sequence := uint64(2); sequence < 20; sequence++ {
		m.run(time.Second)
		for _, e := range n.Step(m.time(), heartbeatOf(0, "t-0", started, sequence, false)) {
			if p, ok := e.(ProbeHealth); ok {
				probes = append(probes, m.now-left)
				// Its slots are taken, or it is shutting down, until later.
				m.step(n, TargetHealth{Target: p.Target, Healthy: len(probes) > 2})
			}
		}
	}
	require.Len(t, probes, 3, "%s", probes)
	require.GreaterOrEqual(t, probes[0], 7*time.Second)
	m.run(time.Second)
	require.True(t, n.view.Target.Serving)
	old := m.nodes[1].view.Endpoints["s"].Old
	require.Len(t, old, 1, "the other target sends no heartbeats")
	require.Equal(t, n.id, old[0].Node)
}
