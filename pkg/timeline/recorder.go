package timeline

import (
	"sync"
	"time"
)

// Recorder keeps the newest events of one process in a ring buffer. It is safe for
// concurrent use.
type Recorder struct {
	process, zone, session string
	now                    func() time.Time

	mu      sync.Mutex
	ring    []Event
	last    uint64
	dropped uint64
	changed chan struct{}
}

// NewRecorder returns a recorder that keeps up to size events. If now is nil, it
// uses time.Now.
func NewRecorder(process, zone, session string, size int, now func() time.Time) *Recorder {
	if now == nil {
		now = time.Now
	}
	return &Recorder{
		process: process, zone: zone, session: session, now: now,
		ring: make([]Event, 0, max(size, 1)), changed: make(chan struct{}),
	}
}

// Record adds an event and returns it with its sequence. The caller must not modify
// fields afterwards. revision is 0 for an event that belongs to no log entry.
func (r *Recorder) Record(kind Kind, revision uint64, fields map[string]string) Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	e := Event{
		Process: r.process, Zone: r.zone, Session: r.session, Sequence: r.last,
		Time: r.now(), Revision: revision, Kind: kind, Fields: fields,
	}
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
	} else {
		r.ring[(r.last-1)%uint64(cap(r.ring))] = e
		r.dropped++
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return e
}

// Batch holds consecutive events in order of sequence.
type Batch struct {
	Process string `json:"process"`
	Session string `json:"session"`
	// Missed is the number of requested events that were already overwritten.
	Missed uint64  `json:"missed"`
	Events []Event `json:"events"`
}

// EventsAfter returns up to limit events with a sequence greater than after, oldest first.
func (r *Recorder) EventsAfter(after uint64, limit int) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := Batch{Process: r.process, Session: r.session, Events: []Event{}}
	oldest := r.last - uint64(len(r.ring)) + 1
	next := after + 1
	if next < oldest {
		b.Missed = oldest - next
		next = oldest
	}
	for ; next <= r.last && len(b.Events) < limit; next++ {
		b.Events = append(b.Events, r.ring[(next-1)%uint64(cap(r.ring))])
	}
	return b
}

// Dropped returns the number of events that were overwritten.
func (r *Recorder) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Changed returns a channel that is closed when the next event is recorded.
func (r *Recorder) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
