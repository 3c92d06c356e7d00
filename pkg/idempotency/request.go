package idempotency

import (
	"heathercroft.example/heathercroft/pkg/state"
)

// mintedSlot is the slot number of keys minted by this session, which belong to no slot.
const mintedSlot = -1

func (m *Machine) handleRequest(e Request) []Effect {
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
	// A stored result is valid even if the lease has lapsed.
	if known, ok := m.store.keys[e.Key]; ok {
		return m.handleDuplicate(e, known)
	}
	if reason, mayHaveRun, ok := m.admit(slot, e); !ok {
		return refuse(e.ID, reason, mayHaveRun)
	}
	if !m.store.start(&keyEntry{key: e.Key, slot: slot, digest: e.Digest, executingID: e.ID}) {
		return refuse(e.ID, ReasonKeyMemoryFull, false)
	}
	return []Effect{Execute{ID: e.ID, Fence: m.fence(slot)}}
}

// admit decides whether a request with an unknown key may be executed.
func (m *Machine) admit(slot int, e Request) (reason Reason, mayHaveRun, ok bool) {
	switch {
	case m.stop.phase != phaseRunning:
		return ReasonStopping, false, false
	case slot == mintedSlot:
		return "", false, true
	case !m.owns(slot):
		return ReasonNotOwner, false, false
	case !m.mayExecute(slot, e.Now):
		return ReasonLeaseLapsed, false, false
	case e.Now < m.slots[slot].refuseUnknownUntil:
		return ReasonNoKeyHistory, true, false
	default:
		return "", false, true
	}
}

func (m *Machine) handleDuplicate(e Request, known *keyEntry) []Effect {
	switch {
	case known.digest != e.Digest:
		return refuse(e.ID, ReasonMismatch, false)
	case known.executingID != 0:
		if !m.store.addWaiter(known, e.ID) {
			return refuse(e.ID, ReasonTooManyWaiters, true)
		}
		return nil
	case known.kind == Done:
		return []Effect{Replay{ID: e.ID, Response: known.response}}
	default:
		return refuse(e.ID, ReasonOutcomeUnknown, true)
	}
}

func (m *Machine) handleExecutionFinished(e ExecutionFinished) []Effect {
	known, ok := m.store.running[e.ID]
	if !ok {
		return nil
	}
	waiters := known.waiters
	known.waiters = nil
	for _, id := range waiters {
		delete(m.store.waiting, id)
	}
	if e.Kind == NotRun {
		m.store.drop(known)
		return m.retryWaiters(e, known, waiters)
	}
	m.store.end(known, e.Kind, e.Response, e.Now)
	var effects []Effect
	for _, id := range waiters {
		effects = append(effects, m.handleDuplicate(Request{Now: e.Now, ID: id, Key: known.key, Digest: known.digest}, known)...)
	}
	return effects
}

// retryWaiters submits the waiting duplicates again, since the request they waited for did
// not run. The first one that is admitted is executed and the others wait for it.
func (m *Machine) retryWaiters(e ExecutionFinished, known *keyEntry, waiters []RequestID) []Effect {
	var effects []Effect
	for _, id := range waiters {
		effects = append(effects, m.handleRequest(Request{Now: e.Now, ID: id, Key: known.key, Digest: known.digest})...)
	}
	return effects
}

func refuse(id RequestID, reason Reason, mayHaveRun bool) []Effect {
	return []Effect{Refuse{ID: id, Reason: reason, MayHaveRun: mayHaveRun}}
}
