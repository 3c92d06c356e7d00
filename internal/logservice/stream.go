package logservice

import (
	"sync"
	"time"

	"heathercroft.example/heathercroft/internal/logclient"
	"heathercroft.example/heathercroft/pkg/record"
)

// maxPageBytes ends a page after this many bytes of records, so that an answer stays bounded.
const maxPageBytes = 4 << 20

// retention bounds what a stream keeps; a zero field sets no bound.
type retention struct {
	records int
	age     time.Duration
}

// stream is one append-only sequence of records.
type stream struct {
	mu      sync.Mutex
	entries []logclient.Entry
	next    record.Revision
	era     uint64
	// appended is closed and replaced on every append.
	appended chan struct{}
}

func newStream(era uint64) *stream {
	return &stream{next: 1, era: era, appended: make(chan struct{})}
}

// restore drops the newest records, whose offsets are given out again, and ends waiting reads.
func (s *stream) restore(records int, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := len(s.entries) - min(records, len(s.entries))
	s.next -= record.Revision(len(s.entries) - kept)
	clear(s.entries[kept:])
	s.entries, s.era = s.entries[:kept:kept], era
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *stream) append(data []byte, now time.Time, keep retention) record.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.next
	s.entries = append(s.entries, logclient.Entry{Offset: offset, TimeUnixMS: now.UnixMilli(), Data: data})
	s.next++
	s.trim(now, keep)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// trim drops the entries that retention no longer covers.
func (s *stream) trim(now time.Time, keep retention) {
	drop := 0
	if keep.records > 0 {
		drop = max(0, len(s.entries)-keep.records)
	}
	if keep.age > 0 {
		oldest := now.Add(-keep.age).UnixMilli()
		for drop < len(s.entries) && s.entries[drop].TimeUnixMS < oldest {
			drop++
		}
	}
	clear(s.entries[:drop])
	s.entries = s.entries[drop:]
}

// read returns a page, whether the offset is held, and a channel that is closed on the next append.
func (s *stream) read(from record.Revision, limit int, now time.Time, keep retention) (logclient.Page, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trim(now, keep)
	first := s.next - record.Revision(len(s.entries))
	page := logclient.Page{Era: s.era, First: first, Next: s.next, Entries: []logclient.Entry{}}
	if from < first || from > s.next {
		return page, false, s.appended
	}
	size := 0
	for _, e := range s.entries[from-first:] {
		size += len(e.Data)
		if len(page.Entries) == limit || (size > maxPageBytes && len(page.Entries) > 0) {
			break
		}
		page.Entries = append(page.Entries, e)
	}
	return page, true, s.appended
}
