package membership

import (
	"slices"
	"strings"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// statement returns what the local node says about itself.
func (m *Machine) statement() Update {
	detail := m.detail
	u := Update{
		Node: m.cfg.Self.ID, Session: m.cfg.Self.Session,
		Incarnation: m.incarnation, State: Alive, Detail: &detail,
	}
	if detail.Leaving {
		u.State = Leaving
	}
	return u
}

// spreadSelf queues the local statement for the zone and for other zones.
func (m *Machine) spreadSelf() {
	m.rumors.add(m.statement())
	m.zones.enqueue(m.cfg.Self.ID, true)
	m.changed()
}

// restate spreads a changed local statement under a new incarnation.
func (m *Machine) restate() {
	m.incarnation++
	m.spreadSelf()
	if u := m.statement(); m.urgent(u) {
		m.forwardUrgent(u)
	}
}

// refute answers a statement by others about the local node that its own
// statement does not hold over. A statement about a former session is exceeded
// in the same way, so that the new session supersedes it.
func (m *Machine) refute(u Update) {
	own := m.statement()
	if u.compare(own) <= 0 && (u.Session == own.Session || u.Incarnation < m.incarnation) {
		return
	}
	m.incarnation = max(m.incarnation, u.Incarnation)
	m.restate()
}

// targetAnnounced takes over the announcement of the local target. Once the
// node leaves, its target stays leaving.
func (m *Machine) targetAnnounced(t mesh.Target) {
	if m.detail.Leaving {
		t.State = mesh.TargetLeaving
	}
	m.targetSeen = m.now
	if m.detail.Target != nil && *m.detail.Target == t {
		return
	}
	former := m.detail.Target
	m.detail.Target = &t
	u := m.statement()
	u.Detail.NACK = longestNACK
	if bytes := size(u); bytes > UpdateBytes || !u.valid() {
		m.detail.Target = former
		m.emit(TargetRejected{Target: t, Bytes: bytes})
		return
	}
	m.restate()
}

// longestNACK reserves room in an update for the longest reason.
var longestNACK = strings.Repeat("x", NACKBytes)

func (m *Machine) expireTarget() {
	if m.detail.Target == nil || m.now-m.targetSeen < TargetTimeout {
		return
	}
	m.emit(TargetExpired{Target: *m.detail.Target})
	m.detail.Target = nil
	m.restate()
}

func (m *Machine) leave() {
	if m.detail.Leaving {
		return
	}
	m.detail.Leaving = true
	if m.detail.Target != nil {
		t := *m.detail.Target
		t.State = mesh.TargetLeaving
		m.detail.Target = &t
	}
	m.restate()
}

// urgent reports whether an update says that a target takes no more work: it
// leaves, or its node, in the own zone, is dead.
func (m *Machine) urgent(u Update) bool {
	if u.State == Dead {
		k := m.table.members[u.Node]
		return k != nil && k.detail.Info.Zone == m.cfg.Self.Zone
	}
	return u.State == Leaving || (u.State == Alive && u.Detail.Target != nil && u.Detail.Target.State == mesh.TargetLeaving)
}

// forwardUrgent sends an update at once. Probes alone need over 4 s to reach
// 167 members. A leaving node is the root of a tree over the zone's members; two
// random members besides cover the subtree of a lost message. Several members
// declare a node dead at about the same time, so that there is no single root,
// and each one sends to random members only.
func (m *Machine) forwardUrgent(u Update) {
	to := m.urgentReceivers(u.Node)
	if u.State == Dead {
		to = m.pick(m.healthyPeers(), LeavingFanout)
	}
	for _, id := range to {
		m.send(m.table.members[id].detail.Info.RPCAddress, Message{Updates: []Update{u}})
	}
	m.zones.hurry()
}

func (m *Machine) urgentReceivers(root mesh.NodeID) []mesh.NodeID {
	peers := m.healthyPeers()
	self := m.cfg.Self.ID
	order := []mesh.NodeID{root}
	add := func(ids []mesh.NodeID) {
		for _, id := range mesh.RankNodes(string(root), ids) {
			if id != root {
				order = append(order, id)
			}
		}
	}
	add(append([]mesh.NodeID{self}, peers...))
	// Suspects come last, where they relay to nobody.
	add(m.table.list(m.cfg.Self.Zone, suspected))
	var to []mesh.NodeID
	for i, id := range order {
		if id != self {
			continue
		}
		for c := LeavingFanout*i + 1; c <= LeavingFanout*(i+1) && c < len(order); c++ {
			to = append(to, order[c])
		}
	}
	if self == root {
		return to
	}
	return append(to, m.pick(peers, urgentRandom)...)
}

// urgentRandom is how many random members hear of a leaving target from each
// member, besides those in the tree.
const urgentRandom = 2

func (m *Machine) applied(revision record.Revision, nack string) {
	m.detail.Revision, m.detail.NACK = revision, wireReason(nack)
}

// wireReason returns a reason with a bounded size in JSON: characters that need
// an escape are replaced.
func wireReason(reason string) string {
	plain := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' || strings.ContainsRune(`"\<>&`, r) {
			return '?'
		}
		return r
	}, reason)
	return plain[:min(len(plain), NACKBytes)]
}

// reports tracks what the zone's readers were told of the local revision.
type reports struct {
	next     time.Duration
	repeat   time.Duration
	revision record.Revision
	nack     string
	readers  []mesh.NodeID
}

// runReport tells the readers of the zone the local revision after a change.
func (m *Machine) runReport() {
	r := &m.reports
	if m.now < r.next {
		return
	}
	readers := m.readers(m.cfg.Self.Zone)
	due := r.revision != m.detail.Revision || r.nack != m.detail.NACK || !slices.Equal(r.readers, readers) ||
		m.now >= r.repeat
	if !due {
		return
	}
	*r = reports{
		revision: m.detail.Revision, nack: m.detail.NACK, readers: readers, repeat: m.now + ReportRepeat,
		next: m.now + max(ReportInterval, time.Duration(len(m.peers()))*time.Second/ReportsPerSecond),
	}
	for _, id := range readers {
		if k := m.table.members[id]; k != nil {
			m.send(k.detail.Info.RPCAddress, Message{})
		}
	}
}
