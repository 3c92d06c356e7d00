package snapshot

import (
	"strconv"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// RecordInterval is the number of records after which the next snapshot is due.
const RecordInterval = 4096

// ScheduleInput is the input of Due.
type ScheduleInput struct {
	// Revision is the one in force, LastSnapshot that of the newest known snapshot.
	Revision, LastSnapshot record.Revision
	// SinceLast is the time since the newest known snapshot was appended or, if
	// none is known, since the process started.
	SinceLast time.Duration
	// Retention is how long the platform keeps an entry, 0 if unknown.
	Retention time.Duration
}

// Due reports whether a snapshot has to be appended: RecordInterval records or a
// quarter of the retention time have passed since the last one. A state that
// has not changed is appended again before retention drops its snapshot.
func Due(s ScheduleInput) bool {
	if s.Revision == 0 || s.Revision < s.LastSnapshot {
		return false
	}
	if s.Revision-s.LastSnapshot >= RecordInterval {
		return true
	}
	return s.Retention > 0 && s.SinceLast >= s.Retention/4
}

// SelectAuthor returns the reader that appends the snapshot of a revision, and false
// if there are no readers. Readers that disagree about their zone's members
// append it twice, which is harmless.
func SelectAuthor(revision record.Revision, readers []mesh.NodeID) (mesh.NodeID, bool) {
	if len(readers) == 0 {
		return "", false
	}
	return mesh.RankNodes("snapshot/"+strconv.FormatUint(uint64(revision), 10), readers)[0], true
}
