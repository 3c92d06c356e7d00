package idempotency

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// FencingToken is the claim under which a request executes. Slot is negative for a
// minted key, which has one owner for ever.
type FencingToken struct {
	Slot  int
	Epoch record.Epoch
}

func (m *Machine) fence(slot int) FencingToken {
	if slot == mintedSlot {
		return FencingToken{Slot: mintedSlot}
	}
	return FencingToken{Slot: slot, Epoch: m.logSlots[slot].Epoch}
}

// FenceView is what a target's node knows about the owners of slots. It is
// immutable, so that the call path can read it through a pointer.
type FenceView struct {
	slots       Slots
	confirmedAt time.Duration
	lease       time.Duration
}

// FenceView returns the present view.
func (m *Machine) FenceView() *FenceView {
	return &FenceView{slots: m.logSlots, confirmedAt: m.confirmedAt, lease: m.config.Lease}
}

// FenceResult is the answer of a target's node to a keyed request.
type FenceResult int

// The verdicts of a fence check. All but FencePass mean that the request does not run.
const (
	FencePass FenceResult = iota
	// FenceStale: the owner has been replaced or has released the slot.
	FenceStale
	// FenceUnconfirmed: the view is older than a lease, or older than the claim.
	FenceUnconfirmed
)

// Check decides whether a keyed request may reach the target now.
func (v *FenceView) Check(key string, f FencingToken, now time.Duration) FenceResult {
	if _, minted := ParseMinted(key); minted && f.Slot < 0 {
		return FencePass
	}
	if f.Slot != state.SlotOf(key) {
		return FenceStale
	}
	slot := v.slots[f.Slot]
	switch {
	case now >= v.confirmedAt+v.lease:
		return FenceUnconfirmed
	case f.Epoch > slot.Epoch:
		return FenceUnconfirmed
	case f.Epoch < slot.Epoch || slot.Released:
		return FenceStale
	default:
		return FencePass
	}
}

// Location says which node session executes a key.
type Location struct {
	Node    mesh.NodeID
	Session mesh.SessionID
	// Minted is set if the key names its owner; if that session is gone, the
	// key may have run and nobody can tell.
	Minted bool
}

// Locate returns the owner of a key by the log. ok is false if there is none.
func Locate(key string, slots *Slots) (l Location, ok bool) {
	if k, minted := ParseMinted(key); minted {
		return Location{Node: k.Node, Session: k.Session, Minted: true}, true
	}
	s := slots[state.SlotOf(key)]
	return Location{Node: mesh.NodeID(s.Owner), Session: mesh.SessionID(s.Session)}, s.Epoch != 0 && !s.Released
}
