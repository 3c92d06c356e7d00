package state

import (
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"heathercroft.example/heathercroft/pkg/record"
)

func hashKey(key string) uint64 { return xxhash.Sum64String(key) }

// claimKeySlot grants a slot if it has not changed since the claimant last read
// it. A renewal by the current owner that precedes the claim in the log wins.
func (s *State) claimKeySlot(rec record.Record, b record.ClaimKeySlot) Outcome {
	if b.Slot < 0 || b.Slot >= KeySlotCount || b.Node == "" || b.Session == "" {
		return rejected(fmt.Sprintf("key slot %d, node %q, session %q", b.Slot, b.Node, b.Session))
	}
	slot := s.KeySlots[b.Slot]
	if rec.ExpectedRevision != slot.Renewal {
		return conflict(fmt.Sprintf("key slot %d is owned by %q", b.Slot, slot.Owner), slot.Renewal)
	}
	s.KeySlots[b.Slot] = KeySlot{
		Owner: b.Node, Session: b.Session,
		Epoch: record.Epoch(s.Revision), Renewal: s.Revision,
	}
	return accepted()
}

func (s *State) renewKeySlots(b record.RenewKeySlots) Outcome {
	renewed := false
	for i, slot := range s.KeySlots {
		if !slot.ownedBy(b.Node, b.Session) {
			continue
		}
		slot.Renewal = s.Revision
		slot.RenewalNonce = b.Nonce
		s.KeySlots[i] = slot
		renewed = true
	}
	if !renewed {
		return rejected(fmt.Sprintf("node %q session %q owns no key slot", b.Node, b.Session))
	}
	return accepted()
}

func (s *State) releaseKeySlots(b record.ReleaseKeySlots) Outcome {
	for i, slot := range s.KeySlots {
		if !slot.ownedBy(b.Node, b.Session) {
			continue
		}
		slot.Renewal = s.Revision
		slot.Released = true
		slot.Successor = b.Successor
		s.KeySlots[i] = slot
	}
	return accepted()
}

func (k KeySlot) ownedBy(node, session string) bool {
	return k.Epoch != 0 && !k.Released && k.Owner == node && k.Session == session
}

func (s *State) announceNode(b record.NodeAnnounced) Outcome {
	if !ValidName(b.Node) || b.Session == "" || b.RPCAddress == "" {
		return rejected(fmt.Sprintf("announcement of node %.64q lacks a name, session or address", b.Node))
	}
	for _, text := range []string{b.Session, b.Zone, b.Region, b.RPCAddress, b.CallAddress} {
		if len(text) > maxNameLength {
			return rejected(fmt.Sprintf("announcement of node %q holds a text of %d bytes", b.Node, len(text)))
		}
	}
	for _, address := range []string{b.RPCAddress, b.CallAddress} {
		if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 {
			return rejected(fmt.Sprintf("announcement of node %q: %q is no IP address with a port", b.Node, address))
		}
	}
	s.Nodes[b.Node] = Node{NodeAnnounced: b, Revision: s.Revision}
	s.pruneNodes()
	return accepted()
}

// maxNodes bounds the announced nodes in the state. With 2,500 nodes and 480
// replacements a day under new names, an announcement is kept for more than three
// days.
const maxNodes = 4096

func (s *State) pruneNodes() {
	if len(s.Nodes) <= maxNodes {
		return
	}
	oldest := ""
	for name, n := range s.Nodes {
		if oldest == "" || n.Revision < s.Nodes[oldest].Revision {
			oldest = name
		}
	}
	delete(s.Nodes, oldest)
}
