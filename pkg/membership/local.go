package membership

import (
	"slices"
	"strings"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// selfUpdate returns the update that describes the local node.
func (m *Machine) selfUpdate() Update {
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

// enqueueSelf queues the local update for the zone and for other zones.
func (m *Machine) enqueueSelf() {
	m.rumors.add(m.selfUpdate())
	m.zones.enqueue(m.cfg.Self.ID, true)
	m.changed()
}

// reissue disseminates a changed local update with a new incarnation.
func (m *Machine) reissue() {
	m.incarnation++
	m.enqueueSelf()
	if u := m.selfUpdate(); m.urgent(u) {
		m.forwardUrgent(u)
	}
}

// refute overrides an update by others about the local node that its own update
// does not supersede. An update about a previous session is overridden in the
// same way, so that the new session supersedes it.
func (m *Machine) refute(u Update) {
	own := m.selfUpdate()
	if u.compare(own) <= 0 && (u.Session == own.Session || u.Incarnation < m.incarnation) {
		return
	}
	m.incarnation = max(m.incarnation, u.Incarnation)
	m.reissue()
}

// targetAnnounced applies the announcement of the local target. Once the node is
// leaving, its target stays leaving.
func (m *Machine) targetAnnounced(t mesh.Target) {
	if m.detail.Leaving {
		t.State = mesh.TargetLeaving
	}
	m.targetLastSeen = m.now
	if m.detail.Target != nil && *m.detail.Target == t {
		return
	}
	former := m.detail.Target
	m.detail.Target = &t
	u := m.selfUpdate()
	u.Detail.NACK = longestNACK
	if bytes := encodedSize(u); bytes > MaxUpdateBytes || !u.valid() {
		m.detail.Target = former
		m.emit(TargetRejected{Target: t, Bytes: bytes})
		return
	}
	m.reissue()
}

// longestNACK reserves room in an update for the longest reason.
var longestNACK = strings.Repeat("x", MaxNACKBytes)

func (m *Machine) expireTarget() {
	if m.detail.Target == nil || m.now-m.targetLastSeen < TargetTimeout {
		return
	}
	m.emit(TargetExpired{Target: *m.detail.Target})
	m.detail.Target = nil
	m.reissue()
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
	m.reissue()
}

// urgent reports whether an update means that a target accepts no more work: it
// is leaving, or its node is in the local zone and dead.
func (m *Machine) urgent(u Update) bool {
	if u.State == Dead {
		k := m.table.members[u.Node]
		return k != nil && k.detail.Info.Zone == m.cfg.Self.Zone
	}
	return u.State == Leaving || (u.State == Alive && u.Detail.Target != nil && u.Detail.Target.State == mesh.TargetLeaving)
}

// forwardUrgent sends an update immediately. Probes alone need over 4 s to reach
// 167 members. A leaving node is the root of a tree over the zone's members; every
// other member also sends to two random members, which cover the subtree of a lost
// message. Several members declare a node dead at about the same time, so there is
// no single root, and each one sends to random members only.
func (m *Machine) forwardUrgent(u Update) {
	to := m.urgentReceivers(u.Node)
	if u.State == Dead {
		to = m.pick(m.healthyPeers(), UrgentFanout)
	}
	for _, id := range to {
		m.send(m.table.members[id].detail.Info.RPCAddress, Message{Updates: []Update{u}})
	}
	m.zones.flushNow()
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
	// Suspects come last, where they have no children to relay to.
	add(m.table.list(m.cfg.Self.Zone, suspected))
	var to []mesh.NodeID
	for i, id := range order {
		if id != self {
			continue
		}
		for c := UrgentFanout*i + 1; c <= UrgentFanout*(i+1) && c < len(order); c++ {
			to = append(to, order[c])
		}
	}
	if self == root {
		return to
	}
	return append(to, m.pick(peers, urgentRandomPeers)...)
}

// urgentRandomPeers is how many random members each member but the root sends an
// urgent update to, in addition to its children in the tree.
const urgentRandomPeers = 2

func (m *Machine) applied(revision record.Revision, nack string) {
	m.detail.Revision, m.detail.NACK = revision, sanitizeNACK(nack)
}

// sanitizeNACK truncates a reason and replaces the characters that need an escape
// in JSON, so that its encoded size is bounded.
func sanitizeNACK(reason string) string {
	plain := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' || strings.ContainsRune(`"\<>&`, r) {
			return '?'
		}
		return r
	}, reason)
	return plain[:min(len(plain), MaxNACKBytes)]
}

// reports tracks what was last reported to the readers of the zone.
type reports struct {
	next       time.Duration
	nextRepeat time.Duration
	revision   record.Revision
	nack       string
	readers    []mesh.NodeID
}

// runReport reports the local revision to the readers of the zone after a change.
func (m *Machine) runReport() {
	r := &m.reports
	if m.now < r.next {
		return
	}
	readers := m.readers(m.cfg.Self.Zone)
	due := r.revision != m.detail.Revision || r.nack != m.detail.NACK || !slices.Equal(r.readers, readers) ||
		m.now >= r.nextRepeat
	if !due {
		return
	}
	*r = reports{
		revision: m.detail.Revision, nack: m.detail.NACK, readers: readers, nextRepeat: m.now + ReportRepeatInterval,
		next: m.now + max(ReportInterval, time.Duration(len(m.peers()))*time.Second/MaxReportsPerSecond),
	}
	for _, id := range readers {
		if k := m.table.members[id]; k != nil {
			m.send(k.detail.Info.RPCAddress, Message{})
		}
	}
}
