package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// maxWantNodes is how many updates one message asks for or carries: about 50 KB.
const maxWantNodes = 128

// exchange schedules the exchanges inside the zone and admits joining nodes.
type exchange struct {
	next time.Duration
	// accelerated is set while the last exchange found differences.
	accelerated bool
	// mismatches counts the consecutive acks whose view differed.
	mismatches int
	// admitted holds the times of the joins that are being served.
	admitted []time.Duration
}

// joinDuration is how long an admitted join counts against MaxConcurrentJoins.
const joinDuration = time.Second

// runExchange opens a full exchange with one random peer of the zone.
func (m *Machine) runExchange() {
	e := &m.exchange
	busy := e.accelerated || len(m.rumors.pending) > RumorBacklogThreshold
	if busy && e.next > m.now+FastExchangeInterval {
		e.next = m.now + m.jitter(FastExchangeInterval/2, FastExchangeInterval)
	}
	if m.now < e.next {
		return
	}
	e.next = m.now + m.jitter(ExchangeInterval*3/4, ExchangeInterval*5/4)
	e.accelerated = false
	for _, id := range m.pick(m.peers(), 1) {
		m.send(m.table.members[id].detail.Info.RPCAddress, Message{
			Digest: &Digest{Zones: m.digests(m.cfg.Self.Zone, nil)}, Links: m.zones.allLinks(true),
		})
	}
}

// compareView stops forwarding what probed members know, and brings the next
// exchange forward if their views keep differing from the local one. Updates in
// flight explain only a short difference.
func (m *Machine) compareView(theirs uint64) {
	e := &m.exchange
	if theirs == 0 {
		return
	}
	if theirs == m.view() {
		e.mismatches = 0
		m.rumors.recordAgreement(m.forwardLimit())
		return
	}
	if e.mismatches++; e.mismatches >= ViewMismatchThreshold {
		e.mismatches, e.accelerated = 0, true
	}
}

// cachedView is the hash of all zones at one generation.
type cachedView struct {
	generation uint64
	hash       uint64
}

// view returns a hash over the updates of all members that are not dead, and over
// the unreachable zones.
func (m *Machine) view() uint64 {
	if m.viewCache.generation != m.generation {
		hash := m.selfUpdate().hash()
		for _, id := range m.table.ids {
			if k := m.table.members[id]; k.state != Dead {
				hash ^= k.update().hash()
			}
		}
		for name, z := range m.zones.byName {
			if !z.link.Reachable {
				hash ^= xxhash.Sum64String("unreachable/" + string(name))
			}
		}
		m.viewCache = cachedView{generation: m.generation, hash: hash}
	}
	return m.viewCache.hash
}

// digests returns the digests of all zones for a receiver in a zone. Nodes of the
// same zone get all summaries. Nodes of another zone get that of the local zone,
// and that of their own zone if theirs has an older version, so that after a
// restart of the whole zone its readers continue above that version.
func (m *Machine) digests(receiver mesh.AvailabilityZone, theirs []ZoneDigest) []ZoneDigest {
	own := m.cfg.Self.Zone
	m.updateOwnSummary()
	byZone := make(map[mesh.AvailabilityZone]*ZoneDigest)
	digest := func(zone mesh.AvailabilityZone) *ZoneDigest {
		if byZone[zone] == nil {
			byZone[zone] = &ZoneDigest{Zone: zone}
		}
		return byZone[zone]
	}
	add := func(zone mesh.AvailabilityZone, u Update) {
		d := digest(zone)
		d.Count++
		d.Hash ^= u.hash()
	}
	add(own, m.selfUpdate())
	for _, id := range m.table.ids {
		if k := m.table.members[id]; k.state != Dead {
			add(k.detail.Info.Zone, k.update())
		}
	}
	for _, zone := range m.knownZones() {
		d := digest(zone)
		z := m.zones.get(zone)
		d.ContactAgeMS = m.contactAge(zone)
		outdated := slices.ContainsFunc(theirs, func(t ZoneDigest) bool {
			return t.Zone == zone && (t.Summary == nil || t.Summary.Version < z.summary.Version)
		})
		if z.summary.Version > 0 && (receiver == own || zone == own || (zone == receiver && outdated)) {
			summary := z.summary
			d.Summary = &summary
		}
	}
	result := make([]ZoneDigest, 0, len(byZone))
	for _, zone := range m.knownZones() {
		result = append(result, *byZone[zone])
	}
	return result
}

func (m *Machine) answerDigest(from Header, d Digest) {
	if d.Join && !m.admitJoin() {
		retry := m.jitter(JoinDelayMin, JoinDelayMax)
		m.send(from.RPCAddress, Message{Busy: &Busy{RetryAfterMS: retry.Milliseconds()}})
		return
	}
	m.acceptDigests(from.Zone, d.Zones)
	m.zones.get(from.Zone).lastAccepted = m.now
	mine := m.digests(from.Zone, d.Zones)
	answer := &Entries{Zones: mine}
	for _, zone := range differingZones(mine, d.Zones) {
		answer.Entries = append(answer.Entries, m.entries(zone)...)
	}
	m.send(from.RPCAddress, Message{Entries: answer, Links: m.zones.allLinks(from.Zone == m.cfg.Self.Zone)})
	if d.Refresh && from.Zone == m.cfg.Self.Zone {
		m.contactAllZones()
	}
}

// admitJoin bounds the concurrent joins.
func (m *Machine) admitJoin() bool {
	e := &m.exchange
	e.admitted = slices.DeleteFunc(e.admitted, func(t time.Duration) bool { return m.now-t >= joinDuration })
	if len(e.admitted) >= MaxConcurrentJoins {
		return false
	}
	e.admitted = append(e.admitted, m.now)
	return true
}

// differingZones returns the zones whose members differ between two sets of digests.
func differingZones(mine, theirs []ZoneDigest) []mesh.AvailabilityZone {
	type sum struct {
		count int
		hash  uint64
	}
	sums := make(map[mesh.AvailabilityZone]sum)
	for _, d := range theirs {
		sums[d.Zone] = sum{d.Count, d.Hash}
	}
	var zones []mesh.AvailabilityZone
	for _, d := range mine {
		if sums[d.Zone] != (sum{d.Count, d.Hash}) {
			zones = append(zones, d.Zone)
		}
		delete(sums, d.Zone)
	}
	for _, d := range theirs {
		if s, left := sums[d.Zone]; left && s.count > 0 {
			zones = append(zones, d.Zone)
		}
	}
	return zones
}

// entries lists the update versions of the members of a zone that are not dead.
func (m *Machine) entries(zone mesh.AvailabilityZone) []Entry {
	var entries []Entry
	add := func(u Update) {
		entries = append(entries, Entry{Zone: zone, Node: u.Node, Incarnation: u.Incarnation, Hash: u.hash()})
	}
	if zone == m.cfg.Self.Zone {
		add(m.selfUpdate())
	}
	for _, id := range m.table.list(zone, notDead) {
		add(m.table.members[id].update())
	}
	return entries
}

// compareEntries requests the updates that are newer at the sender, and sends
// those that are newer locally.
func (m *Machine) compareEntries(from Header, e Entries) {
	m.acceptDigests(from.Zone, e.Zones)
	m.zoneResponded(from.Zone)
	m.joiner.joined = true
	var want []mesh.NodeID
	var newer []Update
	listed := make(map[mesh.NodeID]bool, len(e.Entries))
	for _, entry := range e.Entries {
		listed[entry.Node] = true
		mine, ok := m.lookup(entry.Node)
		switch {
		case !ok || entry.Incarnation > mine.Incarnation:
			want = append(want, entry.Node)
		case entry.Incarnation < mine.Incarnation || mine.State == Dead:
			newer = append(newer, mine)
		case entry.Hash != mine.hash():
			want = append(want, entry.Node)
		}
	}
	for _, zone := range differingZones(m.digests(from.Zone, nil), e.Zones) {
		for _, entry := range m.entries(zone) {
			if u, ok := m.lookup(entry.Node); ok && !listed[entry.Node] {
				newer = append(newer, u)
			}
		}
	}
	m.exchange.accelerated = m.exchange.accelerated || len(want) > 0 || len(newer) > 0
	for chunk := range slices.Chunk(want, maxWantNodes) {
		m.send(from.RPCAddress, Message{Want: &Want{Nodes: chunk}})
	}
	m.sendUpdates(from.RPCAddress, newer)
}

func (m *Machine) lookup(id mesh.NodeID) (Update, bool) {
	if id == m.cfg.Self.ID {
		return m.selfUpdate(), true
	}
	if k := m.table.members[id]; k != nil {
		return k.update(), true
	}
	return Update{}, false
}

func (m *Machine) answerWant(from Header, w Want) {
	var updates []Update
	for _, id := range w.Nodes[:min(len(w.Nodes), maxWantNodes)] {
		if u, ok := m.lookup(id); ok {
			updates = append(updates, u)
		}
	}
	m.sendUpdates(from.RPCAddress, updates)
}

// sendUpdates sends updates as part of an exchange.
func (m *Machine) sendUpdates(to netip.AddrPort, updates []Update) {
	for chunk := range slices.Chunk(updates, maxWantNodes) {
		m.send(to, Message{Updates: chunk, Exchange: true})
	}
}
