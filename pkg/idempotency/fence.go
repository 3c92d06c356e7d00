package idempotency

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// FencingToken identifies the claim under which a request is executed. Slot is negative for
// a minted key, whose owner never changes.
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

// FenceView is a snapshot of the slot owners known to a target's node. It is immutable, so
// that the call path can read it through a pointer.
type FenceView struct {
	slots       Slots
	confirmedAt time.Duration
	lease       time.Duration
}

// FenceView returns a view of the current state.
func (m *Machine) FenceView() *FenceView {
	return &FenceView{slots: m.logSlots, confirmedAt: m.confirmedAt, lease: m.config.Lease}
}

// FenceResult is the result of the check of a fencing token.
type FenceResult int

// Results of a fence check. All except FencePass mean that the request does not run.
const (
	FencePass FenceResult = iota
	// FenceStale: the owner was replaced or has released the slot.
	FenceStale
	// FenceUnconfirmed: the view was last confirmed longer than a lease ago, or does not
	// include the claim yet.
	FenceUnconfirmed
)

// Check decides whether a keyed request may be passed to the target now.
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

// Location is the node session that executes requests with a key.
type Location struct {
	Node    mesh.NodeID
	Session mesh.SessionID
	// Minted is set if the key names its owner. If that session has ended, it can't be
	// determined whether the key has run.
	Minted bool
}

// Locate returns the owner of a key according to the log. ok is false if there is none.
func Locate(key string, slots *Slots) (l Location, ok bool) {
	if k, minted := ParseMinted(key); minted {
		return Location{Node: k.Node, Session: k.Session, Minted: true}, true
	}
	s := slots[state.SlotOf(key)]
	return Location{Node: mesh.NodeID(s.Owner), Session: mesh.SessionID(s.Session)}, s.Epoch != 0 && !s.Released
}
