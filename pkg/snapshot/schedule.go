package snapshot

import (
	"strconv"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Interval is how many records may follow a snapshot before the next one.
const Interval = 4096

// Schedule is the input of Due.
type Schedule struct {
	// Revision is the one in force, Last that of the newest known snapshot.
	Revision, Last record.Revision
	// SinceLast is the time since the newest known snapshot was appended or, if
	// none is known, since the process started.
	SinceLast time.Duration
	// Retention is how long the platform keeps an entry, 0 if unknown.
	Retention time.Duration
}

// Due reports whether a snapshot has to be appended: Interval records or a
// quarter of the retention time have passed since the last one. A state that
// has not changed is appended again before the platform drops its snapshot.
func Due(s Schedule) bool {
	if s.Revision == 0 || s.Revision < s.Last {
		return false
	}
	if s.Revision-s.Last >= Interval {
		return true
	}
	return s.Retention > 0 && s.SinceLast >= s.Retention/4
}

// Author returns the reader that appends the snapshot of a revision, and false
// if there are no readers. Readers that disagree about their zone's members
// append it twice, which is harmless.
func Author(revision record.Revision, readers []mesh.NodeID) (mesh.NodeID, bool) {
	if len(readers) == 0 {
		return "", false
	}
	return mesh.RankNodes("snapshot/"+strconv.FormatUint(uint64(revision), 10), readers)[0], true
}
