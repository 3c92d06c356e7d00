package membership

import (
	"cmp"
	"encoding/json"
	"math/bits"
	"slices"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// rumor is an update that is still being disseminated.
type rumor struct {
	update Update
	bytes  int
	sent   int
	// order increases with each rumor, so that among equally often sent ones the
	// newest goes first.
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

// take returns the updates for one message: the given ones, then the pending ones
// that were sent least often. It drops an update after sending it limit times.
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
		// The receiver knows its own state; a suspect receiver gets the update
		// about itself in first.
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

// agreementsToDrop is how many acks with the same view as the local one stop the
// forwarding of an update. Otherwise a zone whose members all start together
// would repeat for minutes what every member knows.
const agreementsToDrop = 4

// recordAgreement records that a member knows all pending updates except
// suspicions.
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
