package distribution

import (
	"slices"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// peers is the local view of the members of all zones.
type peers struct {
	// live are the other members of the zone that are neither suspect nor dead,
	// suspects those that are suspect.
	live, suspects []mesh.NodeID
	// remoteReaders are the remoteReaders of each other zone, in order of the zones.
	remoteReaders [][]mesh.NodeID
	// ownReaders are the readers of the zone.
	ownReaders []mesh.NodeID
	reader     bool
	// primary is set on the reader that ranks primary of several.
	primary bool
}

func (m *Machine) setPeers(list []Peer) {
	p := peers{}
	zones := make(map[mesh.AvailabilityZone][]mesh.NodeID)
	for _, peer := range list {
		switch {
		case peer.ID == m.cfg.Self:
		case peer.Zone != m.cfg.Zone:
			if !peer.Suspect {
				zones[peer.Zone] = append(zones[peer.Zone], peer.ID)
			}
		case peer.Suspect:
			p.suspects = append(p.suspects, peer.ID)
		default:
			p.live = append(p.live, peer.ID)
		}
	}
	slices.Sort(p.live)
	slices.Sort(p.suspects)
	names := make([]mesh.AvailabilityZone, 0, len(zones))
	for name := range zones {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p.remoteReaders = append(p.remoteReaders, selectReaders(string(name), zones[name]))
	}
	p.ownReaders = selectReaders(string(m.cfg.Zone), append(slices.Clone(p.live), m.cfg.Self))
	p.reader = slices.Contains(p.ownReaders, m.cfg.Self)
	p.primary = len(p.ownReaders) > 1 && p.ownReaders[0] == m.cfg.Self
	switch {
	case p.reader && !m.peers.reader:
		m.log.readNow(m.now)
	case p.reader && !slices.Equal(p.ownReaders, m.peers.ownReaders):
		m.log.replacePending(m.now)
	}
	if len(m.peers.live) == 0 && len(p.live) > 0 {
		m.pulls.next = m.now
	}
	m.peers = p
}

func selectReaders(key string, ids []mesh.NodeID) []mesh.NodeID {
	ranked := mesh.RankNodes(key, ids)
	return ranked[:min(len(ranked), ReadersPerZone)]
}

// children returns the nodes below self in the tree of a root: the members of
// the zone in rendezvous order for the root, suspects last, where they have no
// children to relay to.
func (p *peers) children(root, self mesh.NodeID) []mesh.NodeID {
	order := []mesh.NodeID{root}
	add := func(ids []mesh.NodeID) {
		for _, id := range mesh.RankNodes(string(root), ids) {
			if id != root {
				order = append(order, id)
			}
		}
	}
	add(append(slices.Clone(p.live), self))
	add(p.suspects)
	at := slices.Index(order, self)
	from := min(PushFanout*at+1, len(order))
	return order[from:min(from+PushFanout, len(order))]
}
