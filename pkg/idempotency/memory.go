package idempotency

import (
	"time"
)

// entryBytes is what a key costs in memory besides its text and answer.
const entryBytes = 256

// maxWaiters bounds the repeats that wait for one execution.
const maxWaiters = 16

// entry is what the owner remembers of a key.
type entry struct {
	key    string
	slot   int
	digest uint64
	// runID is the request that executes, 0 if none does.
	runID   RequestID
	kind    ResultKind
	answer  Response
	waiters []RequestID
	// expires is set once the execution has ended.
	expires time.Duration
	size    int
}

// memory holds the keys of this session. A key is never forgotten before the
// horizon after its execution ended.
type memory struct {
	maxKeys  int
	maxBytes int
	keep     time.Duration
	keys     map[string]*entry
	running  map[RequestID]*entry
	waiting  map[RequestID]*entry
	// ended holds entries in the order of their expiry.
	ended []*entry
	bytes int
	// reserved counts inherited keys that are not in keys.
	reserved int
}

func newMemory(c Config) memory {
	return memory{
		maxKeys: c.MaxKeys, maxBytes: c.MaxBytes, keep: c.RetryHorizon + c.RetryHorizon/driftShare,
		keys: map[string]*entry{}, running: map[RequestID]*entry{}, waiting: map[RequestID]*entry{},
	}
}

func (m *memory) count() int { return len(m.keys) + m.reserved }

func sizeOf(key string, a Response) int {
	size := entryBytes + len(key) + len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// start remembers a key that executes now. It returns false if the memory is full.
func (m *memory) start(e *entry) bool {
	e.size = sizeOf(e.key, Response{})
	if m.count() >= m.maxKeys || m.bytes+e.size > m.maxBytes {
		return false
	}
	m.bytes += e.size
	m.keys[e.key] = e
	m.running[e.runID] = e
	return true
}

// end stores how an execution ended. An answer that does not fit is kept
// without its body and header.
func (m *memory) end(e *entry, kind ResultKind, a Response, now time.Duration) {
	delete(m.running, e.runID)
	e.runID = 0
	e.kind = kind
	if kind == Done {
		if grown := sizeOf(e.key, a); m.bytes-e.size+grown <= m.maxBytes {
			m.bytes += grown - e.size
			e.size = grown
		} else {
			a = Response{Status: a.Status, Oversized: true}
		}
		e.answer = a
	}
	e.expires = now + m.keep
	m.ended = append(m.ended, e)
}

// drop forgets a key whose execution certainly did not happen.
func (m *memory) drop(e *entry) {
	delete(m.running, e.runID)
	delete(m.keys, e.key)
	m.bytes -= e.size
}

func (m *memory) expire(now time.Duration) {
	n := 0
	for n < len(m.ended) && m.ended[n].expires <= now {
		e := m.ended[n]
		if m.keys[e.key] == e {
			delete(m.keys, e.key)
			m.bytes -= e.size
		}
		n++
	}
	if n > 0 {
		clear(m.ended[:n])
		m.ended = m.ended[n:]
	}
}

func (m *memory) addWaiter(e *entry, id RequestID) bool {
	if len(e.waiters) >= maxWaiters {
		return false
	}
	e.waiters = append(e.waiters, id)
	m.waiting[id] = e
	return true
}

func (m *memory) dropWaiter(id RequestID) {
	e, ok := m.waiting[id]
	if !ok {
		return
	}
	delete(m.waiting, id)
	for i, w := range e.waiters {
		if w == id {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			return
		}
	}
}
