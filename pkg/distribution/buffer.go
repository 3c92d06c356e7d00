package distribution

import (
	"slices"

	"heathercroft.example/heathercroft/pkg/record"
)

// buffer holds the newest entries of the log without a gap, and entries after a
// gap until it is filled.
type buffer struct {
	// contiguous is the offset of the last entry, up to which nothing is missing.
	contiguous record.Revision
	entries    []Entry
	bytes      int
	held       map[record.Revision]Entry
	// heldBytes is the size of the data held back.
	heldBytes int
}

func newBuffer() buffer { return buffer{held: make(map[record.Revision]Entry)} }

// first returns the offset of the oldest entry, or contiguous+1 if there is none.
func (b *buffer) first() record.Revision {
	return b.contiguous + 1 - record.Revision(len(b.entries))
}

// add adds entries in any order. It returns the new ones, and drops those that
// exceed the limits; a later pull fetches them again. Entries that are not yet
// applied are not trimmed.
func (b *buffer) add(entries []Entry, applied record.Revision) []Entry {
	var fresh []Entry
	for _, e := range entries {
		switch {
		case e.Offset <= b.contiguous:
		case e.Offset == b.contiguous+1:
			if b.full(applied) {
				return fresh
			}
			b.push(e)
			fresh = append(fresh, e)
			b.releaseHeld(applied)
		case b.hold(e):
			fresh = append(fresh, e)
		}
	}
	b.trim(applied)
	return fresh
}

func (b *buffer) push(e Entry) {
	b.contiguous = e.Offset
	b.entries = append(b.entries, e)
	b.bytes += len(e.Data)
}

// full reports whether the entries that are not yet applied fill the buffer.
func (b *buffer) full(applied record.Revision) bool {
	return b.first() > applied && (len(b.entries) >= MaxBufferEntries || b.bytes >= MaxBufferBytes)
}

func (b *buffer) hold(e Entry) bool {
	if _, known := b.held[e.Offset]; known || len(b.held) >= MaxHeldEntries || b.heldBytes+len(e.Data) > MaxBufferBytes {
		return false
	}
	b.held[e.Offset] = e
	b.heldBytes += len(e.Data)
	return true
}

// releaseHeld moves the held entries that now follow without a gap to entries.
func (b *buffer) releaseHeld(applied record.Revision) {
	for !b.full(applied) {
		e, ok := b.held[b.contiguous+1]
		if !ok {
			return
		}
		b.dropHeld(e.Offset)
		b.push(e)
	}
}

func (b *buffer) dropHeld(offset record.Revision) {
	b.heldBytes -= len(b.held[offset].Data)
	delete(b.held, offset)
}

// gapEnd returns the lowest offset held back.
func (b *buffer) gapEnd() (record.Revision, bool) {
	var lowest record.Revision
	for offset := range b.held {
		if lowest == 0 || offset < lowest {
			lowest = offset
		}
	}
	return lowest, lowest > 0
}

// trim drops the oldest applied entries until the buffer is within its limits.
func (b *buffer) trim(applied record.Revision) {
	n := 0
	for len(b.entries)-n > MaxBufferEntries || b.bytes > MaxBufferBytes {
		if len(b.entries) == n || b.entries[n].Offset > applied {
			break
		}
		b.bytes -= len(b.entries[n].Data)
		n++
	}
	if n > 0 {
		b.entries = slices.Clone(b.entries[n:])
	}
}

// rebase continues after a snapshot.
func (b *buffer) rebase(revision record.Revision) {
	if revision <= b.contiguous {
		return
	}
	b.contiguous, b.entries, b.bytes = revision, nil, 0
	for offset := range b.held {
		if offset <= revision {
			b.dropHeld(offset)
		}
	}
	b.releaseHeld(revision)
}

// after returns the entries from an offset to the one before limit, bounded by
// count and by MaxResponseBytes, but at least one. A limit of 0 means no limit.
func (b *buffer) after(have, limit record.Revision, count int) []Entry {
	if have >= b.contiguous || have+1 < b.first() {
		return nil
	}
	from := b.entries[have+1-b.first():]
	n, bytes := 0, 0
	for n < len(from) && n < count && (limit == 0 || from[n].Offset < limit) {
		bytes += len(from[n].Data)
		if n > 0 && bytes > MaxResponseBytes {
			break
		}
		n++
	}
	return slices.Clone(from[:n])
}
