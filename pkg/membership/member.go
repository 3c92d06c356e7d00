package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// member is what the machine holds about another node.
type member struct {
	detail      Detail
	incarnation uint64
	state       State
	since       time.Duration
	// deadline is when a suspect is declared dead.
	deadline time.Duration
	// changes holds the times of the last state changes of the endpoint.
	changes     []time.Duration
	dampedUntil time.Duration
	// lastContacted is when this node last opened an inter-zone exchange with it.
	lastContacted time.Duration
}

func (k *member) update() Update {
	u := Update{
		Node: k.detail.Info.ID, Session: k.detail.Info.Session,
		Incarnation: k.incarnation, State: k.state,
	}
	if k.state != Dead {
		detail := k.detail
		u.Detail = &detail
	}
	return u
}

// endpointState is what a caller can observe of the member's target.
func (k *member) endpointState() string {
	switch {
	case k.state == Dead || k.detail.Target == nil:
		return "absent"
	case k.state == Suspect:
		return "suspect"
	case k.detail.Leaving || k.detail.Target.State == mesh.TargetLeaving:
		return "leaving"
	default:
		return "serving"
	}
}

// recordChange records a state change and damps the member if there were more
// than FlapThreshold changes within FlapWindow.
func (k *member) recordChange(now time.Duration) {
	k.changes = slices.DeleteFunc(k.changes, func(t time.Duration) bool { return now-t > FlapWindow })
	k.changes = append(k.changes, now)
	if len(k.changes) > FlapThreshold {
		k.dampedUntil = now + DampingDuration
		k.changes = k.changes[1:]
	}
}

// compareIncarnation orders the incarnations of one node, then its sessions.
func compareIncarnation(inc uint64, session mesh.SessionID, otherInc uint64, other mesh.SessionID) int {
	return cmp.Or(cmp.Compare(inc, otherInc), strings.Compare(string(session), string(other)))
}

var precedence = map[State]int{Alive: 1, Leaving: 2, Suspect: 3, Dead: 4}

// compare orders updates about one node; the greatest one takes effect.
func (u Update) compare(o Update) int {
	return cmp.Or(
		compareIncarnation(u.Incarnation, u.Session, o.Incarnation, o.Session),
		cmp.Compare(precedence[u.State], precedence[o.State]),
	)
}

// hash identifies the state that a node publishes about itself. It excludes
// suspicion, which is refuted or confirmed before an exchange could matter.
func (u Update) hash() uint64 {
	var inc [8]byte
	binary.LittleEndian.PutUint64(inc[:], u.Incarnation)
	d := xxhash.New()
	_, _ = d.WriteString(string(u.Node))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(u.Session))
	_, _ = d.Write(inc[:])
	return d.Sum64()
}

// table holds the other nodes. ids is sorted, so that iteration is
// deterministic.
type table struct {
	members map[mesh.NodeID]*member
	ids     []mesh.NodeID
	// suspected holds the members whose suspicion timeout runs on this node.
	suspected []mesh.NodeID
	// version is incremented when the set of healthy members of any zone changes.
	version uint64
	// nextExpiry is when expireMembers runs next.
	nextExpiry time.Duration
}

const expiryInterval = time.Second

func newTable() table { return table{members: make(map[mesh.NodeID]*member), version: 1} }

func (t *table) add(id mesh.NodeID, k *member) {
	t.members[id] = k
	if i, found := slices.BinarySearch(t.ids, id); !found {
		t.ids = slices.Insert(t.ids, i, id)
	}
}

func (t *table) remove(id mesh.NodeID) {
	delete(t.members, id)
	if i, found := slices.BinarySearch(t.ids, id); found {
		t.ids = slices.Delete(t.ids, i, i+1)
	}
}

// list returns the members of a zone for which keep holds, sorted.
func (t *table) list(zone mesh.AvailabilityZone, keep func(*member) bool) []mesh.NodeID {
	var ids []mesh.NodeID
	for _, id := range t.ids {
		if k := t.members[id]; k.detail.Info.Zone == zone && keep(k) {
			ids = append(ids, id)
		}
	}
	return ids
}

func anyState(*member) bool { return true }

func notDead(k *member) bool { return k.state != Dead }

func healthy(k *member) bool { return k.state != Dead && k.state != Suspect }

func suspected(k *member) bool { return k.state == Suspect }

// acceptUpdates applies the updates of a message. It returns corrections for
// those of an exchange that are older than the known state.
func (m *Machine) acceptUpdates(msg Message) []Update {
	foreign := msg.From.Zone != m.cfg.Self.Zone
	spread := !msg.Exchange || foreign || len(msg.Updates) <= maxSpreadUpdates
	var corrections []Update
	for _, u := range msg.Updates {
		if !u.valid() {
			m.malformed++
			continue
		}
		if u.Node == m.cfg.Self.ID {
			m.refute(u)
			continue
		}
		if m.accept(u) {
			if spread {
				m.rumors.add(m.table.members[u.Node].update())
			}
			if spread && m.urgent(u) {
				m.forwardUrgent(u)
			}
		} else if k := m.table.members[u.Node]; k != nil && msg.Exchange && k.update().compare(u) > 0 {
			corrections = append(corrections, k.update())
		}
	}
	return corrections
}

// maxSpreadUpdates is the number of updates of one exchange message up to which they
// are disseminated in the zone. More are treated as the backlog of the receiver.
const maxSpreadUpdates = 8

// accept applies an update about another node if it supersedes the known state,
// and reports whether it did.
func (m *Machine) accept(u Update) bool {
	k := m.table.members[u.Node]
	before, state, home := "absent", Dead, mesh.AvailabilityZone("")
	if k == nil {
		if u.Detail == nil {
			return false
		}
		k = &member{}
		m.table.add(u.Node, k)
	} else {
		if u.compare(k.update()) <= 0 {
			return false
		}
		before, state, home = k.endpointState(), k.state, k.detail.Info.Zone
	}
	first := k.detail.Info.ID == ""
	m.overwrite(k, u)
	if after := k.endpointState(); !first && before != after {
		k.recordChange(m.now)
	}
	if first || state != k.state {
		k.since = m.now
		m.emit(MemberStateChanged{Node: u.Node, Session: u.Session, State: u.State})
	}
	if state != k.state || home != k.detail.Info.Zone {
		m.table.version++
	}
	m.trackSuspicion(u.Node, k)
	m.zones.enqueue(u.Node, k.detail.Info.Zone == m.cfg.Self.Zone)
	m.changed()
	return true
}

func (m *Machine) overwrite(k *member, u Update) {
	revision, nack, session := k.detail.Revision, k.detail.NACK, k.detail.Info.Session
	if u.Detail != nil {
		k.detail = *u.Detail
	}
	if session == u.Session && revision > k.detail.Revision {
		k.detail.Revision, k.detail.NACK = revision, nack
	}
	k.detail.Info.Session = u.Session
	k.incarnation, k.state = u.Incarnation, u.State
}

// trackSuspicion starts or stops the timeout of a suspect. Only members of the
// same zone declare a member dead.
func (m *Machine) trackSuspicion(id mesh.NodeID, k *member) {
	i := slices.Index(m.table.suspected, id)
	switch {
	case k.state == Suspect && k.detail.Info.Zone == m.cfg.Self.Zone:
		k.deadline = m.now + SuspicionTimeout
		if i < 0 {
			m.table.suspected = append(m.table.suspected, id)
		}
	case i >= 0:
		m.table.suspected = slices.Delete(m.table.suspected, i, i+1)
	}
}

func (m *Machine) expireSuspects() {
	for _, id := range slices.Clone(m.table.suspected) {
		if k := m.table.members[id]; m.now >= k.deadline {
			m.declare(id, Dead)
		}
	}
}

// declare marks a member suspect or dead and disseminates the update.
func (m *Machine) declare(id mesh.NodeID, state State) {
	u := m.table.members[id].update()
	u.State = state
	if state == Dead {
		u.Detail = nil
	}
	if m.accept(u) {
		m.rumors.add(u)
		if state == Dead {
			m.forwardUrgent(u)
		}
	}
}

// expireMembers removes members that have been dead for DeadRetention, and ends
// damping. It scans all members, so it runs only once per expiryInterval.
func (m *Machine) expireMembers() {
	if m.now < m.table.nextExpiry {
		return
	}
	m.table.nextExpiry = m.now + expiryInterval
	clear(m.correctedNodes)
	for _, id := range slices.Clone(m.table.ids) {
		k := m.table.members[id]
		if k.state == Dead && m.now-k.since >= DeadRetention {
			m.table.remove(id)
			m.changed()
			continue
		}
		if k.dampedUntil > 0 && m.now >= k.dampedUntil {
			k.dampedUntil = 0
			m.changed()
		}
	}
}
