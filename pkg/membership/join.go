package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// joiner contacts nodes that are known by address but not alive: seeds, nodes
// announced in the log, and dead members.
type joiner struct {
	next     time.Duration
	attempts int
	// joined is set once an exchange was answered.
	joined    bool
	announced map[mesh.NodeID]mesh.NodeInfo
	// lastContacted holds when an address was last contacted.
	lastContacted map[netip.AddrPort]time.Duration
}

func newJoiner() joiner {
	return joiner{announced: make(map[mesh.NodeID]mesh.NodeInfo), lastContacted: make(map[netip.AddrPort]time.Duration)}
}

func (j *joiner) announce(node mesh.NodeInfo, self mesh.NodeID) {
	if node.ID != self && node.RPCAddress.IsValid() {
		j.announced[node.ID] = node
	}
}

// runJoin contacts candidates. A node without live peers waits with full
// jitter and a bound that doubles from JoinDelayMin to JoinDelayMax, so that
// nodes that restart together do not join at the same time.
func (m *Machine) runJoin() {
	j := &m.joiner
	if m.now < j.next {
		return
	}
	isolated := !j.joined || len(m.peers()) == 0
	contacts := 1
	if isolated {
		contacts = JoinContacts
		bound := min(JoinDelayMax, 2*JoinDelayMin<<min(j.attempts, 10))
		j.attempts++
		j.next = m.now + m.jitter(JoinDelayMin, bound)
	} else {
		j.attempts = 0
		j.next = m.now + m.jitter(ReconnectInterval/2, ReconnectInterval*3/2)
	}
	for _, to := range m.candidates(contacts) {
		m.send(to, Message{Digest: &Digest{Zones: m.digests(m.cfg.Self.Zone, nil), Join: isolated}})
	}
}

func (m *Machine) handleBusy(b Busy) {
	retry := time.Duration(b.RetryAfterMS) * time.Millisecond
	if !m.joiner.joined {
		m.joiner.next = m.now + min(max(retry, JoinDelayMin), JoinDelayMax)
	}
}

// candidates returns up to n addresses to contact, each from the local zone with
// probability 1/2 if there is any. The least recently contacted come first, ties
// in random order, so that every address is contacted within a bounded time.
func (m *Machine) candidates(n int) []netip.AddrPort {
	var near, far []netip.AddrPort
	add := func(to netip.AddrPort, zone mesh.AvailabilityZone) {
		if zone == m.cfg.Self.Zone {
			near = append(near, to)
		} else {
			far = append(far, to)
		}
	}
	alive := make(map[netip.AddrPort]bool)
	for _, id := range m.table.ids {
		info := m.table.members[id].detail.Info
		if m.table.members[id].state == Dead {
			add(info.RPCAddress, info.Zone)
		} else {
			alive[info.RPCAddress] = true
		}
	}
	for _, id := range sortedKeys(m.joiner.announced) {
		node := m.joiner.announced[id]
		add(node.RPCAddress, node.Zone)
	}
	for _, seed := range m.cfg.Seeds {
		add(seed, "")
	}
	excluded := func(to netip.AddrPort) bool { return alive[to] || to == m.cfg.Self.RPCAddress }
	near, far = slices.DeleteFunc(near, excluded), slices.DeleteFunc(far, excluded)
	m.sortByLastContact(near)
	m.sortByLastContact(far)
	var chosen []netip.AddrPort
	for len(chosen) < n && len(near)+len(far) > 0 {
		from := &far
		if len(near) > 0 && (len(far) == 0 || m.rng.IntN(2) == 0) {
			from = &near
		}
		chosen = append(chosen, (*from)[0])
		*from = (*from)[1:]
	}
	slices.SortFunc(chosen, netip.AddrPort.Compare)
	chosen = slices.Compact(chosen)
	for _, to := range chosen {
		m.joiner.lastContacted[to] = m.now
	}
	return chosen
}

func (m *Machine) sortByLastContact(to []netip.AddrPort) {
	m.rng.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	slices.SortStableFunc(to, func(a, b netip.AddrPort) int {
		return cmp.Compare(m.joiner.lastContacted[a], m.joiner.lastContacted[b])
	})
}
