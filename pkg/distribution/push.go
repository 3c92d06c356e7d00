package distribution

import (
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// pushKey identifies an entry in the push tree of one root.
type pushKey struct {
	root   mesh.NodeID
	offset record.Revision
}

// pushes tracks what was sent down the push trees.
type pushes struct {
	// forwarded holds what was forwarded. A node forwards an entry once in the
	// tree of each root. If it forwarded only entries that are new to it, then
	// of two trees that start at the same time each would stop where the other
	// arrived first, and nodes below that point in both would receive nothing.
	forwarded map[pushKey]bool
	// deferred are entries read by the second reader, which it pushes unless the
	// first reader pushes them before.
	deferred      []Entry
	deferredUntil time.Duration
}

func newPushes() pushes { return pushes{forwarded: make(map[pushKey]bool)} }

// handlePush relays entries, including those after a gap, so that a gap does not
// delay the nodes further down the tree.
func (m *Machine) handlePush(p Push) {
	if !m.inEra(p.Era, 0) {
		return
	}
	m.ingest(p.Entries)
	m.pushes.deferred = slices.DeleteFunc(m.pushes.deferred, func(e Entry) bool {
		return slices.ContainsFunc(p.Entries, func(o Entry) bool { return o.Offset == e.Offset })
	})
	m.relay(p.Root, p.Entries)
	if _, gap := m.buffer.gapEnd(); gap {
		m.pullFrom(p.From)
	}
}

// pushFromLog pushes what this reader read from the log down its tree, immediately if
// it ranks first.
func (m *Machine) pushFromLog(entries []Entry) {
	s := &m.pushes
	if m.peers.primary || len(m.peers.ownReaders) < 2 || len(s.deferred)+len(entries) > MaxHeldEntries {
		m.relay(m.cfg.Self, entries)
		return
	}
	if len(s.deferred) == 0 {
		s.deferredUntil = m.now + PushDelay
	}
	s.deferred = append(s.deferred, entries...)
}

func (m *Machine) runPushes() {
	s := &m.pushes
	if len(s.deferred) > 0 && m.now >= s.deferredUntil {
		entries := s.deferred
		s.deferred = nil
		m.relay(m.cfg.Self, entries)
	}
}

// relay sends entries to the children in the tree of a root, each one once.
func (m *Machine) relay(root mesh.NodeID, entries []Entry) {
	s := &m.pushes
	if len(s.forwarded) > MaxBufferEntries {
		clear(s.forwarded)
	}
	var fresh []Entry
	for _, e := range entries {
		if key := (pushKey{root, e.Offset}); !s.forwarded[key] {
			s.forwarded[key] = true
			fresh = append(fresh, e)
		}
	}
	if len(fresh) == 0 {
		return
	}
	children := m.peers.children(root, m.cfg.Self)
	for chunk := range chunks(fresh) {
		for _, id := range children {
			m.emit(SendPush{To: id, Push: Push{From: m.cfg.Self, Root: root, Entries: chunk, Era: m.era}})
		}
	}
}

// chunks splits entries into pushes of at most MaxResponseBytes, or of one larger
// entry.
func chunks(entries []Entry) func(yield func([]Entry) bool) {
	return func(yield func([]Entry) bool) {
		for start := 0; start < len(entries); {
			end, bytes := start+1, len(entries[start].Data)
			for end < len(entries) && bytes+len(entries[end].Data) <= MaxResponseBytes {
				bytes += len(entries[end].Data)
				end++
			}
			if !yield(slices.Clone(entries[start:end])) {
				return
			}
			start = end
		}
	}
}
