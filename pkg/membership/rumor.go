package membership

import (
	"cmp"
	"encoding/json"
	"math/bits"
	"slices"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// rumor is an update that still has to be forwarded.
type rumor struct {
	update Update
	bytes  int
	sent   int
	// order grows with each rumor, so that of equal ones the newest goes first.
	order uint64
}

// rumors holds at most one update per node.
type rumors struct {
	pending map[mesh.NodeID]*rumor
	order   uint64
}

func newRumors() rumors { return rumors{pending: make(map[mesh.NodeID]*rumor)} }

// encodedSize returns the encoded encodedSize of an update in bytes.
func encodedSize(u Update) int {
	data, err := json.Marshal(u)
	if err != nil {
		return MaxUpdateBytes + 1
	}
	return len(data) + 1
}

func (r *rumors) add(u Update) {
	if len(r.pending) >= MaxRumors && r.pending[u.Node] == nil {
		return
	}
	bytes := encodedSize(u)
	if bytes > MaxUpdateBytes {
		return
	}
	r.order++
	r.pending[u.Node] = &rumor{update: u, bytes: bytes, order: r.order}
}

// take returns the updates for one message, first the given ones, then those
// that were sent least often. It drops an update once it was sent limit times.
func (r *rumors) take(first []Update, receiver mesh.NodeID, limit int) []Update {
	room := MaxUpdateBytes
	for _, u := range first {
		room -= encodedSize(u)
	}
	if len(r.pending) == 0 {
		return first
	}
	waiting := make([]*rumor, 0, len(r.pending))
	for _, w := range r.pending {
		waiting = append(waiting, w)
	}
	slices.SortFunc(waiting, func(a, b *rumor) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.order, a.order))
	})
	updates := first
	for _, w := range waiting {
		// The receiver knows itself, and a suspect one got its statement above.
		if w.bytes > room || w.update.Node == receiver {
			continue
		}
		room -= w.bytes
		updates = append(updates, w.update)
		if w.sent++; w.sent >= limit {
			delete(r.pending, w.update.Node)
		}
	}
	return updates
}

// agreementsToDrop is how many probed members with the same view as the local one
// end the forwarding of an update. Otherwise a zone that started as a whole would
// repeat for minutes what all its members know.
const agreementsToDrop = 4

// recordAgreement notes that a member knows all waiting updates but suspicions.
func (r *rumors) recordAgreement(limit int) {
	for id, w := range r.pending {
		if w.update.State == Suspect {
			continue
		}
		if w.sent += (limit + agreementsToDrop - 1) / agreementsToDrop; w.sent >= limit {
			delete(r.pending, id)
		}
	}
}

// forwardLimit is how often one node forwards an update. With 2 log2(n) sends
// by each of n nodes, the expected number of nodes that miss it is far below 1.
func (m *Machine) forwardLimit() int {
	return 2 * bits.Len(uint(len(m.peers())+1))
}
