package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// zone is the local state of one zone.
type zone struct {
	lastContact  time.Duration
	contactKnown bool
	// failures counts the consecutive unanswered exchanges of this node.
	failures int
	// lastOpened is when this node last opened an exchange.
	lastOpened time.Duration
	// lastAccepted is when the zone last opened an exchange with this node.
	lastAccepted time.Duration
	link         ZoneLink
	linkSends    int
	summary      ZoneSummary
}

// attempt is an exchange with another zone that has not been answered yet.
type attempt struct {
	zone     mesh.AvailabilityZone
	deadline time.Duration
}

// zones is the state of the inter-zone exchange.
type zones struct {
	byName   map[mesh.AvailabilityZone]*zone
	next     time.Duration
	attempts []attempt
	// pendingMembers are the members of the local zone whose updates have to
	// be sent to other zones.
	pendingMembers     map[mesh.NodeID]bool
	nextFlush          time.Duration
	nextRefresh        time.Duration
	readerCache        map[mesh.AvailabilityZone][]mesh.NodeID
	readerCacheVersion uint64
}

// flushDelay batches updates that arrive together into one inter-zone message.
const flushDelay = 500 * time.Millisecond

// refreshInterval bounds how often a reader contacts all zones on request.
const refreshInterval = time.Second

func newZones() zones {
	return zones{
		byName:         make(map[mesh.AvailabilityZone]*zone),
		pendingMembers: make(map[mesh.NodeID]bool),
		readerCache:    make(map[mesh.AvailabilityZone][]mesh.NodeID),
	}
}

func (z *zones) get(name mesh.AvailabilityZone) *zone {
	if z.byName[name] == nil {
		z.byName[name] = &zone{link: ZoneLink{Zone: name, Reachable: true}}
	}
	return z.byName[name]
}

func (z *zones) recordContact(name mesh.AvailabilityZone, now time.Duration) {
	s := z.get(name)
	s.lastContact, s.contactKnown = now, true
}

func (z *zones) clearAttempts() { z.attempts = nil }

// enqueue queues the update of a member of the local zone for the other zones.
func (z *zones) enqueue(id mesh.NodeID, own bool) {
	if own {
		z.pendingMembers[id] = true
	}
}

func (z *zones) flushNow() { z.nextFlush = 0 }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// knownZones returns all zones, including the local one, in order.
func (m *Machine) knownZones() []mesh.AvailabilityZone {
	m.zones.get(m.cfg.Self.Zone)
	for _, k := range m.table.members {
		m.zones.get(k.detail.Info.Zone)
	}
	return sortedKeys(m.zones.byName)
}

// readers returns the first ReadersPerZone healthy members of a zone. The
// selection needs no coordination: nodes with the same view select the same ones.
func (m *Machine) readers(name mesh.AvailabilityZone) []mesh.NodeID {
	z := &m.zones
	if z.readerCacheVersion != m.table.version {
		z.readerCacheVersion = m.table.version
		clear(z.readerCache)
	}
	if readers, ok := z.readerCache[name]; ok {
		return readers
	}
	ids := m.table.list(name, healthy)
	if name == m.cfg.Self.Zone {
		ids = append(ids, m.cfg.Self.ID)
	}
	readers := mesh.RankNodes(string(name), ids)
	readers = readers[:min(len(readers), ReadersPerZone)]
	z.readerCache[name] = readers
	return readers
}

func (m *Machine) isReader() bool {
	return slices.Contains(m.readers(m.cfg.Self.Zone), m.cfg.Self.ID)
}

// runZones opens the exchanges of a reader with other zones: the one whose last
// exchange is the oldest and, to detect an outage early, the failing one with the
// fewest failures since its last answer.
func (m *Machine) runZones() {
	m.expireAttempts()
	z := &m.zones
	if m.now < z.next {
		return
	}
	z.next = m.now + ZoneExchangeInterval
	if !m.isReader() {
		z.attempts = nil
		for _, s := range z.byName {
			s.failures = 0
		}
		return
	}
	others := m.otherZones()
	if len(others) == 0 {
		return
	}
	next := m.nextZone(others)
	m.contactZone(next)
	if again, ok := m.failingZone(others); ok && again != next {
		m.contactZone(again)
	}
}

// nextZone returns the zone whose last exchange with this node, opened by
// either side, is the oldest. Counting those opened by the other side halves
// the time until a partitioned zone is contacted. They do not count for a zone
// that is marked unreachable, since only an answer to this node clears the mark.
func (m *Machine) nextZone(others []mesh.AvailabilityZone) mesh.AvailabilityZone {
	order := slices.Clone(others)
	m.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return slices.MinFunc(order, func(a, b mesh.AvailabilityZone) int {
		return cmp.Compare(m.zones.get(a).lastExchange(), m.zones.get(b).lastExchange())
	})
}

func (z *zone) lastExchange() time.Duration {
	if !z.link.Reachable {
		return z.lastOpened
	}
	return max(z.lastAccepted, z.lastOpened)
}

// otherZones returns the zones with members, except the local one. A zone whose
// members are all dead is contacted for as long as these are kept.
func (m *Machine) otherZones() []mesh.AvailabilityZone {
	return slices.DeleteFunc(m.knownZones(), func(name mesh.AvailabilityZone) bool {
		return name == m.cfg.Self.Zone || len(m.table.list(name, anyState)) == 0
	})
}

func (m *Machine) failingZone(others []mesh.AvailabilityZone) (mesh.AvailabilityZone, bool) {
	failing := slices.DeleteFunc(slices.Clone(others), func(name mesh.AvailabilityZone) bool {
		return m.zones.get(name).failures == 0
	})
	if len(failing) == 0 {
		return "", false
	}
	return slices.MinFunc(failing, func(a, b mesh.AvailabilityZone) int {
		x, y := m.zones.get(a), m.zones.get(b)
		return cmp.Or(cmp.Compare(min(x.failures, ZoneFailureThreshold), min(y.failures, ZoneFailureThreshold)), cmp.Compare(x.lastOpened, y.lastOpened))
	}), true
}

// contactZone opens an exchange with the least recently contacted reader of a
// zone or, after a failure, with the least recently contacted of its members.
func (m *Machine) contactZone(name mesh.AvailabilityZone) {
	s := m.zones.get(name)
	to := m.readers(name)
	if s.failures > 0 || len(to) == 0 {
		to = m.table.list(name, notDead)
	}
	if len(to) == 0 {
		to = m.table.list(name, anyState)
	}
	s.lastOpened = m.now
	to = m.pick(to, len(to))
	slices.SortStableFunc(to, func(a, b mesh.NodeID) int {
		return cmp.Compare(m.table.members[a].lastContacted, m.table.members[b].lastContacted)
	})
	for _, id := range to[:min(1, len(to))] {
		m.table.members[id].lastContacted = m.now
		m.zones.attempts = append(m.zones.attempts, attempt{zone: name, deadline: m.now + ZoneExchangeInterval})
		m.send(m.table.members[id].detail.Info.RPCAddress, Message{Digest: &Digest{Zones: m.digests(name, nil)}})
	}
}

func (m *Machine) expireAttempts() {
	z := &m.zones
	pending := z.attempts
	z.attempts = nil
	for _, a := range pending {
		if m.now < a.deadline {
			z.attempts = append(z.attempts, a)
			continue
		}
		s := z.get(a.zone)
		if s.failures++; s.failures == ZoneFailureThreshold && s.link.Reachable {
			m.setLink(ZoneLink{Zone: a.zone, Reachable: false, Version: s.link.Version + 1})
		}
	}
}

// zoneResponded handles the answer to an exchange.
func (m *Machine) zoneResponded(name mesh.AvailabilityZone) {
	z := &m.zones
	z.attempts = slices.DeleteFunc(z.attempts, func(a attempt) bool { return a.zone == name })
	s := z.get(name)
	s.failures = 0
	if name != m.cfg.Self.Zone && !s.link.Reachable {
		m.setLink(ZoneLink{Zone: name, Reachable: true, Version: s.link.Version + 1})
	}
}

// acceptLinks applies newer zone links.
func (m *Machine) acceptLinks(links []ZoneLink) {
	for _, l := range links {
		if validID(string(l.Zone)) && l.Zone != m.cfg.Self.Zone && l.supersedes(m.zones.get(l.Zone).link) {
			m.setLink(l)
		}
	}
}

// supersedes orders the links to a zone. Two readers may publish the same version
// concurrently; then the one that reaches the zone is right.
func (l ZoneLink) supersedes(o ZoneLink) bool {
	return l.Version > o.Version || (l.Version == o.Version && l.Reachable && !o.Reachable)
}

func (m *Machine) setLink(l ZoneLink) {
	s := m.zones.get(l.Zone)
	if s.link.Reachable != l.Reachable {
		m.emit(ZoneReachabilityChanged{Zone: l.Zone, Reachable: l.Reachable})
		m.changed()
	}
	s.link, s.linkSends = l, 0
}

// takeLinks returns the links that are still being disseminated.
func (z *zones) takeLinks(limit int) []ZoneLink {
	var links []ZoneLink
	for _, name := range sortedKeys(z.byName) {
		if s := z.byName[name]; s.link.Version > 0 && s.linkSends < limit {
			s.linkSends++
			links = append(links, s.link)
		}
	}
	return links
}

func (z *zones) allLinks(own bool) []ZoneLink {
	var links []ZoneLink
	for _, name := range sortedKeys(z.byName) {
		if own && z.byName[name].link.Version > 0 {
			links = append(links, z.byName[name].link)
		}
	}
	return links
}

// forwardToZones sends the queued updates of the local zone to one reader of each
// other zone. Only the first reader does so; lost updates are repaired by the
// periodic exchange.
func (m *Machine) forwardToZones() {
	z := &m.zones
	if len(z.pendingMembers) == 0 || m.now < z.nextFlush {
		return
	}
	z.nextFlush = m.now + flushDelay
	ids := sortedKeys(z.pendingMembers)
	clear(z.pendingMembers)
	readers := m.readers(m.cfg.Self.Zone)
	if len(readers) == 0 || readers[0] != m.cfg.Self.ID {
		return
	}
	var updates []Update
	for _, id := range ids {
		if u, ok := m.lookup(id); ok {
			updates = append(updates, u)
		}
	}
	for _, name := range m.otherZones() {
		for _, id := range m.pick(m.readers(name), 1) {
			m.sendUpdates(m.table.members[id].detail.Info.RPCAddress, updates)
		}
	}
}

// refreshZones asks the first reader of the zone for its summaries. A reader
// contacts all zones itself.
func (m *Machine) refreshZones() {
	if m.isReader() {
		m.contactAllZones()
		return
	}
	for _, id := range m.readers(m.cfg.Self.Zone)[:1] {
		m.send(m.table.members[id].detail.Info.RPCAddress,
			Message{Digest: &Digest{Zones: m.digests(m.cfg.Self.Zone, nil), Refresh: true}})
	}
}

func (m *Machine) contactAllZones() {
	z := &m.zones
	if !m.isReader() || m.now < z.nextRefresh {
		return
	}
	z.nextRefresh = m.now + refreshInterval
	for _, name := range m.otherZones() {
		m.contactZone(name)
	}
}
