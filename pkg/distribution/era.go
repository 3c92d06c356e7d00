package distribution

import "heathercroft.example/heathercroft/pkg/record"

// inEra reports whether what was received belongs to the era of this node's entries. Entries of
// different eras share offsets without being the same, and a revision of another era tells nothing
// about this node's.
func (m *Machine) inEra(era uint64, next record.Revision) bool {
	switch {
	case m.restored:
		return false
	case era == 0, era == m.era:
		return true
	case m.era == 0, era > m.era && m.buffer.contiguous == 0:
		m.era = era
		return true
	case era > m.era:
		m.logRestored(era, next)
	}
	return false
}

// logRestored stops the exchange of entries. The state in force cannot be taken back, and which
// records of it the log has lost is not known: the node keeps serving with it, and a new process
// starts from the restored log.
func (m *Machine) logRestored(era uint64, next record.Revision) {
	m.restored, m.newEra = true, era
	m.emit(LogRestored{Era: era, Before: m.era, Revision: m.buffer.contiguous, Next: next})
}
