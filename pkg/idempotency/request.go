package idempotency

import (
	"heathercroft.example/heathercroft/pkg/state"
)

// mintedSlot stands for keys that this session minted: they need no slot.
const mintedSlot = -1

func (m *Machine) request(e Request) []Effect {
	slot := state.SlotOf(e.Key)
	if minted, ok := ParseMinted(e.Key); ok {
		if minted.Node != m.config.Node {
			return refuse(e.ID, ReasonNotOwner, false)
		}
		if minted.Session != m.config.Session {
			return refuse(e.ID, ReasonSessionGone, true)
		}
		slot = mintedSlot
	}
	// What is remembered is true whether or not the lease still holds.
	if known, ok := m.memory.keys[e.Key]; ok {
		return m.repeat(e, known)
	}
	if reason, mayHaveRun, ok := m.admit(slot, e); !ok {
		return refuse(e.ID, reason, mayHaveRun)
	}
	if !m.memory.start(&entry{key: e.Key, slot: slot, digest: e.Digest, runID: e.ID}) {
		return refuse(e.ID, ReasonKeyMemoryFull, false)
	}
	return []Effect{Execute{ID: e.ID, Fence: m.fence(slot)}}
}

// admit decides about a key that is not remembered.
func (m *Machine) admit(slot int, e Request) (reason Reason, mayHaveRun, ok bool) {
	switch {
	case m.stop.phase != running:
		return ReasonStopping, false, false
	case slot == mintedSlot:
		return "", false, true
	case !m.owns(slot):
		return ReasonNotOwner, false, false
	case !m.mayExecute(slot, e.Now):
		return ReasonLeaseLapsed, false, false
	case e.Now < m.slots[slot].refuseUntil:
		return ReasonNoKeyHistory, true, false
	default:
		return "", false, true
	}
}

func (m *Machine) repeat(e Request, known *entry) []Effect {
	switch {
	case known.digest != e.Digest:
		return refuse(e.ID, ReasonMismatch, false)
	case known.runID != 0:
		if !m.memory.addWaiter(known, e.ID) {
			return refuse(e.ID, ReasonTooManyWaiters, true)
		}
		return nil
	case known.kind == Done:
		return []Effect{Replay{ID: e.ID, Response: known.answer}}
	default:
		return refuse(e.ID, ReasonOutcomeUnknown, true)
	}
}

func (m *Machine) finished(e ExecutionFinished) []Effect {
	known, ok := m.memory.running[e.ID]
	if !ok {
		return nil
	}
	waiters := known.waiters
	known.waiters = nil
	for _, id := range waiters {
		delete(m.memory.waiting, id)
	}
	if e.Kind == NotRun {
		m.memory.drop(known)
		return m.runNext(e, known, waiters)
	}
	m.memory.end(known, e.Kind, e.Response, e.Now)
	var effects []Effect
	for _, id := range waiters {
		effects = append(effects, m.repeat(Request{Now: e.Now, ID: id, Key: known.key, Digest: known.digest}, known)...)
	}
	return effects
}

// runNext lets the first waiting repeat execute, since the request that it
// waited for did not run.
func (m *Machine) runNext(e ExecutionFinished, known *entry, waiters []RequestID) []Effect {
	var effects []Effect
	for _, id := range waiters {
		effects = append(effects, m.request(Request{Now: e.Now, ID: id, Key: known.key, Digest: known.digest})...)
	}
	return effects
}

func refuse(id RequestID, reason Reason, mayHaveRun bool) []Effect {
	return []Effect{Refuse{ID: id, Reason: reason, MayHaveRun: mayHaveRun}}
}
