package membership

import (
	"net/netip"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// probe is a probe that has not been acknowledged yet.
type probe struct {
	sequence uint64
	node     mesh.NodeID
	deadline time.Duration
	indirect bool
}

// relay is a probe on behalf of another node.
type relay struct {
	sequence       uint64
	origin         netip.AddrPort
	originSequence uint64
	deadline       time.Duration
}

// prober probes the members of the zone in rounds of random order, so that each
// one is probed within a bounded time.
type prober struct {
	next     time.Duration
	sequence uint64
	round    []mesh.NodeID
	pending  []probe
	relays   []relay
}

// maxRelays bounds the concurrent probes on behalf of other nodes.
const maxRelays = 64

func newProber(first time.Duration) prober { return prober{next: first} }

func (p *prober) clearPending() { p.pending = nil }

func (m *Machine) runProbes() {
	m.expireProbes()
	p := &m.prober
	p.relays = slices.DeleteFunc(p.relays, func(r relay) bool { return m.now >= r.deadline })
	if m.now < p.next {
		return
	}
	p.next = max(p.next+ProbeInterval, m.now+ProbeInterval/2)
	if id, ok := m.nextMember(); ok {
		m.probe(id)
	}
}

// nextMember returns the next member of the round. New members join the
// following round.
func (m *Machine) nextMember() (mesh.NodeID, bool) {
	p := &m.prober
	for range 2 {
		for len(p.round) > 0 {
			id := p.round[0]
			p.round = p.round[1:]
			if k := m.table.members[id]; k != nil && k.state != Dead {
				return id, true
			}
		}
		p.round = slices.Clone(m.peers())
		m.rng.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
	}
	return "", false
}

func (m *Machine) probe(id mesh.NodeID) {
	p := &m.prober
	p.sequence++
	p.pending = append(p.pending, probe{sequence: p.sequence, node: id, deadline: m.now + ProbeTimeout})
	m.sendGossip(m.table.members[id].detail.Info.RPCAddress, id, Message{Probe: &Probe{Sequence: p.sequence}})
}

func (m *Machine) expireProbes() {
	p := &m.prober
	pending := p.pending
	p.pending = nil
	for _, o := range pending {
		k := m.table.members[o.node]
		switch {
		case k == nil || k.state == Dead:
		case m.now < o.deadline:
			p.pending = append(p.pending, o)
		case !o.indirect:
			o.indirect, o.deadline = true, m.now+ProbeTimeout
			p.pending = append(p.pending, o)
			m.probeIndirectly(o)
		case k.state == Suspect:
			// The suspect must receive the suspicion to be able to refute it.
			m.probe(o.node)
		default:
			m.declare(o.node, Suspect)
			m.probe(o.node)
		}
	}
}

func (m *Machine) probeIndirectly(o probe) {
	others := slices.DeleteFunc(m.healthyPeers(), func(id mesh.NodeID) bool { return id == o.node })
	for _, id := range m.pick(others, IndirectProbeCount) {
		m.sendGossip(m.table.members[id].detail.Info.RPCAddress, id,
			Message{Indirect: &IndirectProbe{Sequence: o.sequence, Node: o.node}})
	}
}

func (m *Machine) acknowledgeProbe(from Header, p Probe) {
	m.sendGossip(from.RPCAddress, from.Node, Message{Ack: &ProbeAck{Sequence: p.Sequence, View: m.view()}})
}

func (m *Machine) handleAck(a ProbeAck) {
	m.compareView(a.View)
	p := &m.prober
	p.pending = slices.DeleteFunc(p.pending, func(o probe) bool { return o.sequence == a.Sequence })
	for i, r := range p.relays {
		if r.sequence == a.Sequence {
			p.relays = slices.Delete(p.relays, i, i+1)
			m.send(r.origin, Message{Ack: &ProbeAck{Sequence: r.originSequence}})
			return
		}
	}
}

func (m *Machine) relayProbe(from Header, i IndirectProbe) {
	k := m.table.members[i.Node]
	p := &m.prober
	if k == nil || len(p.relays) >= maxRelays {
		return
	}
	p.sequence++
	p.relays = append(p.relays, relay{
		sequence: p.sequence, origin: from.RPCAddress, originSequence: i.Sequence, deadline: m.now + 2*ProbeTimeout,
	})
	m.sendGossip(k.detail.Info.RPCAddress, i.Node, Message{Probe: &Probe{Sequence: p.sequence}})
}

// pick returns up to n random ids.
func (m *Machine) pick(ids []mesh.NodeID, n int) []mesh.NodeID {
	ids = slices.Clone(ids)
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

// peers returns the other members of the zone that are not dead.
func (m *Machine) peers() []mesh.NodeID { return m.table.list(m.cfg.Self.Zone, notDead) }

// healthyPeers returns the other members of the zone that are neither suspect
// nor dead.
func (m *Machine) healthyPeers() []mesh.NodeID { return m.table.list(m.cfg.Self.Zone, healthy) }
