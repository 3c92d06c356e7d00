package membership

import (
	"net/netip"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// joiner contacts nodes that are known by address but not alive: seeds, nodes
// that the log names, and dead members.
type joiner struct {
	next     time.Duration
	attempts int
	// joined is set once an exchange was answered.
	joined    bool
	announced map[mesh.NodeID]mesh.NodeInfo
}

func newJoiner() joiner { return joiner{announced: make(map[mesh.NodeID]mesh.NodeInfo)} }

func (j *joiner) announce(node mesh.NodeInfo, self mesh.NodeID) {
	if node.ID != self && node.RPC.IsValid() {
		j.announced[node.ID] = node
	}
}

// runJoin contacts one candidate. A node without live peers waits with full
// jitter and a bound that doubles from JoinDelayMin to JoinDelayMax, so that
// a herd that restarts together spreads out.
func (m *Machine) runJoin() {
	j := &m.joiner
	if m.now < j.next {
		return
	}
	alone := !j.joined || len(m.peers()) == 0
	to, ok := m.candidate()
	if alone {
		bound := min(JoinDelayMax, 2*JoinDelayMin<<min(j.attempts, 10))
		j.attempts++
		j.next = m.now + m.jitter(JoinDelayMin, bound)
	} else {
		j.attempts = 0
		j.next = m.now + m.jitter(ContactInterval/2, ContactInterval*3/2)
	}
	if ok {
		m.send(to, Message{Digest: &Digest{Zones: m.digests(m.cfg.Self.Zone, nil), Join: alone}})
	}
}

func (m *Machine) joinDeclined(b Busy) {
	retry := time.Duration(b.RetryMS) * time.Millisecond
	if !m.joiner.joined {
		m.joiner.next = m.now + min(max(retry, JoinDelayMin), JoinDelayMax)
	}
}

// candidate returns a random address to contact, half of the time one of the
// own zone if there is any.
func (m *Machine) candidate() (netip.AddrPort, bool) {
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
			add(info.RPC, info.Zone)
		} else {
			alive[info.RPC] = true
		}
	}
	for _, id := range sortedKeys(m.joiner.announced) {
		node := m.joiner.announced[id]
		add(node.RPC, node.Zone)
	}
	for _, seed := range m.cfg.Seeds {
		add(seed, "")
	}
	unwanted := func(to netip.AddrPort) bool { return alive[to] || to == m.cfg.Self.RPC }
	near, far = slices.DeleteFunc(near, unwanted), slices.DeleteFunc(far, unwanted)
	if len(near) > 0 && (len(far) == 0 || m.rng.IntN(2) == 0) {
		return near[m.rng.IntN(len(near))], true
	}
	if len(far) > 0 {
		return far[m.rng.IntN(len(far))], true
	}
	return netip.AddrPort{}, false
}
