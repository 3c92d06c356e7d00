package core_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
	"heathercroft.example/heathercroft/pkg/snapshot"
)

// testMesh connects a few reducers through a simulated network with a virtual clock
// and a fake log.
type testMesh struct {
	t     require.TestingT
	rng   *rand.Rand
	now   time.Duration
	queue deliveries
	nodes []*testNode
	log   fakeLog
	// messageLoss is the share of messages between nodes that are dropped.
	messageLoss float64
	partitioned map[mesh.AvailabilityZone]bool
	// intercept replaces an event before its delivery, to verify that a check can fail.
	intercept func(core.Event) core.Event
}

type testNode struct {
	mesh *testMesh
	core *core.Core
	info mesh.NodeInfo
	up   bool
	// session counts the starts of the node.
	session  int
	start    time.Duration
	revision record.Revision
	ready    bool
	events   []core.TimelineEvent
}

// fakeLog simulates the platform: a totally ordered log with outages and lost
// responses.
type fakeLog struct {
	entries     []distribution.Entry
	snapshots   [][]byte
	unavailable bool
	// era is the number of restorations from an older copy.
	era uint64
	// lostResponseRate is the share of appends that succeed without a response.
	lostResponseRate float64
	polls            []poll
}

type poll struct {
	node    *testNode
	session int
	effect  core.ReadLog
	until   time.Duration
}

type delivery struct {
	at      time.Duration
	order   int
	node    *testNode
	session int
	event   core.Event
}

type deliveries struct {
	items []delivery
	order int
}

func (d *deliveries) Len() int { return len(d.items) }
func (d *deliveries) Less(i, j int) bool {
	if d.items[i].at != d.items[j].at {
		return d.items[i].at < d.items[j].at
	}
	return d.items[i].order < d.items[j].order
}
func (d *deliveries) Swap(i, j int) { d.items[i], d.items[j] = d.items[j], d.items[i] }
func (d *deliveries) Push(x any)    { d.items = append(d.items, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := d.items[len(d.items)-1]
	d.items = d.items[:len(d.items)-1]
	return last
}

func newMesh(t require.TestingT, seed uint64, zones, perZone int) *testMesh {
	m := &testMesh{t: t, rng: rand.New(rand.NewPCG(seed, 0)), partitioned: map[mesh.AvailabilityZone]bool{}}
	for zone := range zones {
		for i := range perZone {
			n := &testNode{mesh: m, info: mesh.NodeInfo{
				ID: mesh.NodeID(fmt.Sprintf("node-%d-%d", zone, i)), Zone: mesh.AvailabilityZone(fmt.Sprintf("zone-%d", zone)),
				RPCAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(zone + 1), byte(i + 1)}), 7001),
			}}
			n.info.CallAddress = netip.AddrPortFrom(n.info.RPCAddress.Addr(), 7002)
			m.nodes = append(m.nodes, n)
		}
	}
	for _, n := range m.nodes {
		n.boot()
	}
	return m
}

// boot starts the node with empty memory.
func (n *testNode) boot() {
	m := n.mesh
	n.session++
	n.up, n.ready, n.revision, n.start = true, false, 0, m.now
	n.info.Session = mesh.SessionID(fmt.Sprintf("s%04d", n.session))
	n.core = core.New(core.Config{
		Self: n.info, StartUnixMS: m.unixMS(), Seeds: []netip.AddrPort{m.nodes[0].info.RPCAddress, m.nodes[len(m.nodes)-1].info.RPCAddress},
		Seed: m.rng.Uint64(), Keys: idempotency.DefaultConfig(n.info.ID, n.info.Session),
	})
	n.step(core.Started{})
	m.post(n, m.jitter(core.TickInterval), core.Tick{})
}

func (n *testNode) kill() { n.up = false }

func (m *testMesh) unixMS() int64 { return 1_800_000_000_000 + m.now.Milliseconds() }

func (m *testMesh) jitter(limit time.Duration) time.Duration {
	return time.Millisecond + time.Duration(m.rng.Int64N(int64(limit)))
}

func (m *testMesh) post(n *testNode, delay time.Duration, e core.Event) {
	m.queue.order++
	heap.Push(&m.queue, delivery{at: m.now + delay, order: m.queue.order, node: n, session: n.session, event: e})
}

// run advances the virtual time.
func (m *testMesh) run(d time.Duration) {
	end := m.now + d
	for m.queue.Len() > 0 && m.queue.items[0].at <= end {
		next := heap.Pop(&m.queue).(delivery)
		m.now = next.at
		if !next.node.up || next.session != next.node.session {
			continue
		}
		if _, ok := next.event.(core.Tick); ok {
			m.post(next.node, core.TickInterval, core.Tick{})
			m.expirePolls()
		}
		next.node.step(next.event)
	}
	m.now = end
}

func (n *testNode) step(e core.Event) {
	m := n.mesh
	if m.intercept != nil {
		e = m.intercept(e)
	}
	for _, effect := range n.core.Step(core.Time{Now: m.now - n.start, UnixMS: m.unixMS()}, e) {
		n.apply(effect)
	}
	revision := n.core.Revision()
	require.GreaterOrEqual(m.t, revision, n.revision, "node %s went back", n.info.ID)
	n.revision = revision
}

func (n *testNode) apply(effect core.Effect) {
	m := n.mesh
	switch e := effect.(type) {
	case core.Send:
		m.send(n, e.To, e.Method, e.Params)
	case core.SendSnapshot:
		data, err := snapshot.Encode(n.core.State())
		require.NoError(m.t, err)
		e.Response.Snapshot = &distribution.Snapshot{Revision: n.core.Revision(), Data: data}
		m.send(n, e.To, core.MethodPullResponse, e.Response)
		m.post(n, m.jitter(20*time.Millisecond), core.TransferDone{To: e.Node})
	case core.ReadLog:
		m.read(n, e)
	case core.ReadSnapshots:
		m.readSnapshots(n, e)
	case core.Append:
		m.append(n, e)
	case core.AppendSnapshot:
		m.appendSnapshot(n)
	case core.PublishReady:
		n.ready = e.Ready
	case core.TimelineEvent:
		n.events = append(n.events, e)
	}
}

// reachable reports whether a node can reach another zone or the platform ("").
func (m *testMesh) reachable(from, to mesh.AvailabilityZone) bool {
	return from == to || (!m.partitioned[from] && !m.partitioned[to])
}

func (m *testMesh) send(from *testNode, to netip.AddrPort, method string, params any) {
	for _, n := range m.nodes {
		if n.info.RPCAddress != to {
			continue
		}
		if !m.reachable(from.info.Zone, n.info.Zone) || m.rng.Float64() < m.messageLoss {
			return
		}
		data, err := json.Marshal(params)
		require.NoError(m.t, err)
		if event := decodeMessage(m.t, method, data); event != nil {
			m.post(n, m.jitter(10*time.Millisecond), event)
		}
	}
}

func decodeMessage(t require.TestingT, method string, data []byte) core.Event {
	switch method {
	case core.MethodMembership:
		return core.MembershipReceived{Message: decodeInto[membership.Message](t, data)}
	case core.MethodPush:
		return core.PushReceived{Push: decodeInto[distribution.Push](t, data)}
	case core.MethodPull:
		return core.PullReceived{Request: decodeInto[distribution.PullRequest](t, data)}
	case core.MethodPullResponse:
		return core.PullResponseReceived{Response: decodeInto[core.PullResponse](t, data)}
	case core.MethodHolderStatus:
		return core.HolderStatusReceived{Status: decodeInto[core.HolderStatus](t, data)}
	case core.MethodEvidence:
		return core.EvidenceReceived{Report: decodeInto[core.EvidenceReport](t, data)}
	case core.MethodCut:
		return core.CutReceived{Cut: decodeInto[rollout.Cut](t, data)}
	case core.MethodHandover:
		return core.HandoverReceived{Handover: decodeInto[idempotency.Handover](t, data)}
	case core.MethodHandoverReply:
		return core.HandoverReplied{Reply: decodeInto[core.HandoverReply](t, data)}
	default:
		require.FailNow(t, "unknown method", method)
		return nil
	}
}

func decodeInto[T any](t require.TestingT, data []byte) T {
	var v T
	require.NoError(t, json.Unmarshal(data, &v))
	return v
}

func (m *testMesh) read(n *testNode, e core.ReadLog) {
	if m.log.unavailable || m.partitioned[n.info.Zone] {
		m.post(n, m.jitter(200*time.Millisecond), core.LogReadFailed{Read: e.Read, Reason: "outage"})
		return
	}
	if int(e.From) <= len(m.log.entries) || e.Wait == 0 {
		m.sendPage(n, e)
		return
	}
	m.log.polls = append(m.log.polls, poll{n, n.session, e, m.now + e.Wait})
}

func (m *testMesh) sendPage(n *testNode, e core.ReadLog) {
	next := record.Revision(len(m.log.entries) + 1)
	page := core.LogPage{Read: e.Read, Era: m.log.era + 1, First: 1, Next: next}
	for i := int(e.From); i < int(next) && len(page.Entries) < e.Max; i++ {
		page.Entries = append(page.Entries, m.log.entries[i-1])
	}
	m.post(n, m.jitter(5*time.Millisecond), page)
}

// expirePolls completes the long polls that timed out or have entries.
func (m *testMesh) expirePolls() {
	kept := m.log.polls[:0]
	for _, p := range m.log.polls {
		switch {
		case m.log.unavailable || m.partitioned[p.node.info.Zone]:
			if p.node.session == p.session {
				m.post(p.node, m.jitter(time.Second), core.LogReadFailed{Read: p.effect.Read, Reason: "outage"})
			}
		case int(p.effect.From) <= len(m.log.entries) || m.now >= p.until:
			if p.node.session == p.session {
				m.sendPage(p.node, p.effect)
			}
		default:
			kept = append(kept, p)
		}
	}
	m.log.polls = kept
}

func (m *testMesh) append(n *testNode, e core.Append) {
	if m.log.unavailable || m.partitioned[n.info.Zone] {
		m.post(n, m.jitter(200*time.Millisecond), core.AppendResult{ID: e.ID, NotRun: true, Reason: "outage"})
		return
	}
	m.log.entries = append(m.log.entries, distribution.Entry{Offset: record.Revision(len(m.log.entries) + 1), Data: e.Data})
	if m.rng.Float64() < m.log.lostResponseRate {
		m.post(n, time.Second, core.AppendResult{ID: e.ID, Reason: "answer lost"})
		return
	}
	m.post(n, m.jitter(10*time.Millisecond), core.AppendResult{ID: e.ID, Offset: record.Revision(len(m.log.entries))})
}

func (m *testMesh) appendSnapshot(n *testNode) {
	data, err := snapshot.Encode(n.core.State())
	require.NoError(m.t, err)
	parts, err := snapshot.Split(n.core.Revision(), data)
	require.NoError(m.t, err)
	m.log.snapshots = append(m.log.snapshots, parts...)
	m.post(n, m.jitter(20*time.Millisecond), core.SnapshotAppended{Revision: n.core.Revision()})
}

func (m *testMesh) readSnapshots(n *testNode, e core.ReadSnapshots) {
	if m.log.unavailable || m.partitioned[n.info.Zone] {
		m.post(n, m.jitter(200*time.Millisecond), core.LogReadFailed{Read: e.Read, Reason: "outage"})
		return
	}
	revision, data, _ := snapshot.Join(m.log.snapshots)
	m.post(n, m.jitter(20*time.Millisecond), core.SnapshotRead{Read: e.Read, Snapshot: distribution.Snapshot{Revision: revision, Data: data}})
}

// submit submits an operator's change to a node.
func (n *testNode) submit(id string, body record.Body, expected record.Revision) {
	n.step(core.ChangeSubmitted{Submission: core.Submission{ID: id, Body: body, ExpectedRevision: expected}})
}

// laggingNodes returns the nodes that are up and not at the head of the log.
func (m *testMesh) laggingNodes() []string {
	var list []string
	for _, n := range m.nodes {
		if n.up && int(n.revision) < len(m.log.entries) {
			list = append(list, fmt.Sprintf("%s at %d of %d", n.info.ID, n.revision, len(m.log.entries)))
		}
	}
	return list
}
