package idempotency

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Handover holds the stored keys of an owner that is stopping. After sending it the owner
// executes no requests under these epochs.
type Handover struct {
	From    mesh.NodeID    `json:"from"`
	Session mesh.SessionID `json:"session"`
	Slots   []HandoverSlot `json:"slots"`
}

// HandoverSlot holds the keys of one slot.
type HandoverSlot struct {
	Slot  int           `json:"slot"`
	Epoch record.Epoch  `json:"epoch"`
	Keys  []HandoverKey `json:"keys,omitempty"`
}

// HandoverKey is a key with its result.
type HandoverKey struct {
	Key      string     `json:"key"`
	Digest   uint64     `json:"digest"`
	Kind     ResultKind `json:"kind"`
	Response Response   `json:"answer"`
}

// inheritedSlot holds the received keys of a slot until the slot is claimed.
type inheritedSlot struct {
	epoch   record.Epoch
	entries []*keyEntry
}

// stopPhase is the phase of a graceful stop.
type stopPhase int

const (
	phaseRunning stopPhase = iota
	// phaseFinishing: new keys are refused; running executions finish.
	phaseFinishing
	// phaseHandingOver: the handover was sent; nothing is executed any more.
	phaseHandingOver
	// phaseReleasing: the release of the slots was appended to the log.
	phaseReleasing
	phaseStopped
)

type stopState struct {
	phase     stopPhase
	successor mesh.NodeID
}

func (m *Machine) handleStopRequested(e StopRequested) []Effect {
	if m.stop.phase != phaseRunning {
		return nil
	}
	m.stop = stopState{phase: phaseFinishing, successor: e.Successor}
	return m.advanceStop(e.Now)
}

// advanceStop enters the next phase of a stop if its condition is met.
func (m *Machine) advanceStop(now time.Duration) []Effect {
	switch {
	case m.stop.phase == phaseFinishing && len(m.store.running) == 0:
		if m.OwnedSlots() == 0 {
			m.stop.phase = phaseStopped
			return []Effect{Stopped{}}
		}
		m.stop.phase = phaseHandingOver
		if m.stop.successor == "" {
			return m.release("")
		}
		return []Effect{SendHandover{To: m.stop.successor, Handover: m.buildHandover(now)}}
	case m.stop.phase == phaseReleasing && m.OwnedSlots() == 0:
		m.stop.phase = phaseStopped
		return []Effect{Stopped{}}
	default:
		return nil
	}
}

func (m *Machine) buildHandover(now time.Duration) Handover {
	h := Handover{From: m.config.Node, Session: m.config.Session}
	for i := range m.logSlots {
		// While this node refuses unknown keys after a takeover, its set of keys is
		// incomplete, and so would be that of its successor.
		if !m.owns(i) || now < m.slots[i].refuseUnknownUntil {
			continue
		}
		s := HandoverSlot{Slot: i, Epoch: m.logSlots[i].Epoch}
		for _, e := range m.store.finished {
			if e.slot == i && m.store.keys[e.key] == e {
				s.Keys = append(s.Keys, HandoverKey{Key: e.key, Digest: e.digest, Kind: e.kind, Response: e.response})
			}
		}
		h.Slots = append(h.Slots, s)
	}
	return h
}

func (m *Machine) handleHandoverReplied(e HandoverReplied) []Effect {
	if m.stop.phase != phaseHandingOver {
		return nil
	}
	if e.OK {
		return m.release(m.stop.successor)
	}
	return m.release("")
}

func (m *Machine) release(successor mesh.NodeID) []Effect {
	m.stop.phase = phaseReleasing
	return []Effect{AppendRecord{m.newRecord(record.ReleaseKeySlots{
		Node: string(m.config.Node), Session: string(m.config.Session), Successor: string(successor),
	}, 0)}}
}

// handleHandoverReceived stores the received keys until this node claims the slots. A handover
// that exceeds the limits is refused as a whole.
func (m *Machine) handleHandoverReceived(e HandoverReceived) []Effect {
	keys, bytes := 0, 0
	for _, s := range e.Handover.Slots {
		for _, k := range s.Keys {
			keys++
			bytes += entrySize(k.Key, k.Response)
		}
	}
	if m.stop.phase != phaseRunning || m.store.count()+keys > m.store.maxKeys || m.store.bytes+bytes > m.store.maxBytes {
		return []Effect{ReplyHandover{OK: false}}
	}
	for _, s := range e.Handover.Slots {
		if s.Slot < 0 || s.Slot >= len(m.slots) {
			continue
		}
		if old := m.slots[s.Slot].inherited; old != nil {
			m.store.dropInherited(old)
		}
		m.slots[s.Slot].inherited = m.store.addInherited(s, e.Now)
	}
	return []Effect{ReplyHandover{OK: true}}
}

// addInherited stores the received keys of a slot and counts them against the limits. Their
// retention restarts, so that they are kept longer than needed but never shorter.
func (ks *keyStore) addInherited(s HandoverSlot, now time.Duration) *inheritedSlot {
	in := &inheritedSlot{epoch: s.Epoch}
	for _, k := range s.Keys {
		e := &keyEntry{key: k.Key, slot: s.Slot, digest: k.Digest, kind: k.Kind, response: k.Response, size: entrySize(k.Key, k.Response)}
		e.expires = now + ks.retention
		ks.bytes += e.size
		ks.inheritedCount++
		in.entries = append(in.entries, e)
	}
	return in
}

// adoptInherited adds inherited keys to the active ones. Their expiry is raised to that of
// the last finished key, so that finished remains sorted by expiry.
func (ks *keyStore) adoptInherited(in *inheritedSlot) {
	var last time.Duration
	if len(ks.finished) > 0 {
		last = ks.finished[len(ks.finished)-1].expires
	}
	for _, e := range in.entries {
		ks.inheritedCount--
		if _, known := ks.keys[e.key]; known {
			ks.bytes -= e.size
			continue
		}
		e.expires = max(e.expires, last)
		ks.keys[e.key] = e
		ks.finished = append(ks.finished, e)
	}
	in.entries = nil
}

func (ks *keyStore) dropInherited(in *inheritedSlot) {
	for _, e := range in.entries {
		ks.inheritedCount--
		ks.bytes -= e.size
	}
	in.entries = nil
}
