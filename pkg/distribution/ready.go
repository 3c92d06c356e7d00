package distribution

import (
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Reasons why a node is not ready.
const (
	ReasonPlatformNotRead = "platform head not read since start"
	ReasonBehindPlatform  = "revision is behind the platform head"
	ReasonNoPeer          = "platform is out and no zone peer answered"
	ReasonPeersMissing    = "platform is out and not all zone peers answered"
	ReasonNoReadyPeer     = "platform is out and no ready node answered"
	ReasonBehindPeers     = "revision is behind that of zone peers"
)

// peerStatus is the last status received from a peer since the start of this node.
type peerStatus struct {
	// id is the id of the request, so that a late answer does not replace the
	// answer to a newer request.
	id       uint64
	members  []mesh.NodeID
	received bool
	// at is when the answer arrived.
	at time.Duration
}

// readiness decides whether the local revision is known to be at least as new as
// the one that the zone had in force. Once ready, a node stays ready, since
// revisions never decrease.
type readiness struct {
	ready    bool
	reason   string
	reported bool
	statuses map[mesh.NodeID]peerStatus
	// highestApplied is the highest revision in force at any node that answered.
	highestApplied record.Revision
	// readyPeer is set once a ready node answered.
	readyPeer bool
	nextAsk   time.Duration
}

func newReadiness() readiness { return readiness{statuses: make(map[mesh.NodeID]peerStatus)} }

func (r *readiness) recordStatus(p PullResponse, status bool, now time.Duration) {
	if r.ready {
		return
	}
	if status && p.ID >= r.statuses[p.From].id {
		r.statuses[p.From] = peerStatus{id: p.ID, members: p.Members, received: true, at: now}
	}
	r.highestApplied = max(r.highestApplied, p.Applied)
	r.readyPeer = r.readyPeer || p.Ready
}

func (m *Machine) updateReadiness() {
	r := &m.ready
	if r.ready {
		return
	}
	m.askStatus()
	reason := m.notReadyReason()
	r.ready = reason == ""
	if r.ready {
		r.statuses = nil
	}
	if !r.reported || reason != r.reason {
		r.reason, r.reported = reason, true
		m.emit(SetReady{Ready: r.ready, Reason: reason})
	}
}

// notReadyReason returns why the node is not ready, or "" if it is. A node is
// ready if the platform's head was read after the start and is applied or, while
// the platform is unavailable, if all zone members known to be alive answered, at
// least one, and the highest revision among them is applied. Nodes that are not
// ready themselves may have lost what was in force; a zone in which none is ready
// waits for a ready node of another zone.
func (m *Machine) notReadyReason() string {
	l := &m.log
	switch {
	case l.headKnown && m.applied >= l.head:
		return ""
	case l.headKnown && !l.unavailable(m.now):
		return ReasonBehindPlatform
	case !l.unavailable(m.now):
		return ReasonPlatformNotRead
	}
	required := m.requiredPeers()
	r := &m.ready
	switch {
	case len(required) == 0:
		return ReasonNoPeer
	case slices.ContainsFunc(required, func(id mesh.NodeID) bool { return !r.statuses[id].received }):
		return ReasonPeersMissing
	case !r.readyPeer:
		return ReasonNoReadyPeer
	case m.applied < r.highestApplied:
		return ReasonBehindPeers
	default:
		return ""
	}
}

// requiredPeers returns the zone members that this node, or a zone member that
// answered, knows to be alive. The local list may be incomplete shortly after a
// start.
func (m *Machine) requiredPeers() []mesh.NodeID {
	ids := append(slices.Clone(m.peers.live), m.peers.suspects...)
	for _, id := range slices.Clone(ids) {
		ids = append(ids, m.ready.statuses[id].members...)
	}
	slices.Sort(ids)
	return slices.DeleteFunc(slices.Compact(ids), func(id mesh.NodeID) bool { return id == m.cfg.Self })
}

// askStatus asks the zone members for their revision while reads from the platform
// fail: those without an answer every StatusInterval, the others every
// StatusRepeatInterval, since their member lists change. Only MemberListRequests of
// them are asked for their lists; asking all would cost 400 KB/s per node in a zone
// of 167 nodes that restarts during an outage.
func (m *Machine) askStatus() {
	r := &m.ready
	if !m.log.failing || m.now < r.nextAsk {
		return
	}
	r.nextAsk = m.now + StatusInterval
	for i, id := range m.requiredPeers() {
		if a := r.statuses[id]; !a.received || m.now-a.at >= StatusRepeatInterval {
			m.pull(id, PullRequest{StatusOnly: true, WantMembers: i < MemberListRequests})
		}
	}
}
