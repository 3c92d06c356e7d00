package idempotency

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Handover is the memory of an owner that stops. The owner executes nothing
// under these epochs after it has sent one.
type Handover struct {
	From    mesh.NodeID    `json:"from"`
	Session mesh.SessionID `json:"session"`
	Slots   []HandoverSlot `json:"slots"`
}

// HandoverSlot is the memory of one slot.
type HandoverSlot struct {
	Slot  int           `json:"slot"`
	Epoch record.Epoch  `json:"epoch"`
	Keys  []HandoverKey `json:"keys,omitempty"`
}

// HandoverKey is one remembered key.
type HandoverKey struct {
	Key      string     `json:"key"`
	Digest   uint64     `json:"digest"`
	Kind     ResultKind `json:"kind"`
	Response Response   `json:"answer"`
}

// inheritance is a slot's memory before the slot is claimed.
type inheritance struct {
	epoch   record.Epoch
	entries []*entry
}

// phase is where a graceful stop stands.
type phase int

const (
	running phase = iota
	// finishing: no new keys; executions end.
	finishing
	// handingOver: the memory was sent; nothing executes any more.
	handingOver
	// releasing: the release was appended.
	releasing
	stopped
)

type stopState struct {
	phase     phase
	successor mesh.NodeID
}

func (m *Machine) stopRequested(e StopRequested) []Effect {
	if m.stop.phase != running {
		return nil
	}
	m.stop = stopState{phase: finishing, successor: e.Successor}
	return m.proceedStop(e.Now)
}

// proceedStop takes the next step of a stop if it is due.
func (m *Machine) proceedStop(now time.Duration) []Effect {
	switch {
	case m.stop.phase == finishing && len(m.memory.running) == 0:
		if m.OwnedSlots() == 0 {
			m.stop.phase = stopped
			return []Effect{Stopped{}}
		}
		m.stop.phase = handingOver
		if m.stop.successor == "" {
			return m.release("")
		}
		return []Effect{SendHandover{To: m.stop.successor, Handover: m.handover(now)}}
	case m.stop.phase == releasing && m.OwnedSlots() == 0:
		m.stop.phase = stopped
		return []Effect{Stopped{}}
	default:
		return nil
	}
}

func (m *Machine) handover(now time.Duration) Handover {
	h := Handover{From: m.config.Node, Session: m.config.Session}
	for i := range m.view {
		// While this node refuses the keys of an earlier owner, its memory is not
		// whole, and neither would be that of its successor.
		if !m.owns(i) || now < m.slots[i].refuseUntil {
			continue
		}
		s := HandoverSlot{Slot: i, Epoch: m.view[i].Epoch}
		for _, e := range m.memory.ended {
			if e.slot == i && m.memory.keys[e.key] == e {
				s.Keys = append(s.Keys, HandoverKey{Key: e.key, Digest: e.digest, Kind: e.kind, Response: e.answer})
			}
		}
		h.Slots = append(h.Slots, s)
	}
	return h
}

func (m *Machine) handoverAnswered(e HandoverReplied) []Effect {
	if m.stop.phase != handingOver {
		return nil
	}
	if e.OK {
		return m.release(m.stop.successor)
	}
	return m.release("")
}

func (m *Machine) release(successor mesh.NodeID) []Effect {
	m.stop.phase = releasing
	return []Effect{AppendRecord{m.newRecord(record.ReleaseKeySlots{
		Node: string(m.config.Node), Session: string(m.config.Session), Successor: string(successor),
	}, 0)}}
}

// handoverReceived keeps the memory until this node claims the slots. A
// handover that does not fit is refused as a whole.
func (m *Machine) handoverReceived(e HandoverReceived) []Effect {
	keys, bytes := 0, 0
	for _, s := range e.Handover.Slots {
		for _, k := range s.Keys {
			keys++
			bytes += sizeOf(k.Key, k.Response)
		}
	}
	if m.stop.phase != running || m.memory.count()+keys > m.memory.maxKeys || m.memory.bytes+bytes > m.memory.maxBytes {
		return []Effect{ReplyHandover{OK: false}}
	}
	for _, s := range e.Handover.Slots {
		if s.Slot < 0 || s.Slot >= len(m.slots) {
			continue
		}
		if old := m.slots[s.Slot].inherited; old != nil {
			m.memory.forgetInheritance(old)
		}
		m.slots[s.Slot].inherited = m.memory.inherit(s, e.Now)
	}
	return []Effect{ReplyHandover{OK: true}}
}

// inherit counts the keys of a slot against the limits. Their time starts
// again, which keeps them longer than needed but never shorter.
func (m *memory) inherit(s HandoverSlot, now time.Duration) *inheritance {
	in := &inheritance{epoch: s.Epoch}
	for _, k := range s.Keys {
		e := &entry{key: k.Key, slot: s.Slot, digest: k.Digest, kind: k.Kind, answer: k.Response, size: sizeOf(k.Key, k.Response)}
		e.expires = now + m.keep
		m.bytes += e.size
		m.reserved++
		in.entries = append(in.entries, e)
	}
	return in
}

// adopt moves inherited keys into use. They expire from now on, so that the
// order of ended stays the order of expiry.
func (m *memory) adopt(in *inheritance) {
	var last time.Duration
	if len(m.ended) > 0 {
		last = m.ended[len(m.ended)-1].expires
	}
	for _, e := range in.entries {
		m.reserved--
		if _, known := m.keys[e.key]; known {
			m.bytes -= e.size
			continue
		}
		e.expires = max(e.expires, last)
		m.keys[e.key] = e
		m.ended = append(m.ended, e)
	}
	in.entries = nil
}

func (m *memory) forgetInheritance(in *inheritance) {
	for _, e := range in.entries {
		m.reserved--
		m.bytes -= e.size
	}
	in.entries = nil
}
