package idempotency

import (
	"time"
)

// entryOverheadBytes is the memory used by an entry besides its key and response.
const entryOverheadBytes = 256

// maxWaiters limits the duplicate requests that wait for one execution.
const maxWaiters = 16

// keyEntry is the stored state of a key.
type keyEntry struct {
	key    string
	slot   int
	digest uint64
	// executingID is the request being executed, 0 if there is none.
	executingID RequestID
	kind        ResultKind
	response    Response
	waiters     []RequestID
	// expires is set when the execution has finished.
	expires time.Duration
	size    int
}

// keyStore holds the keys of this session. A key is kept for at least the retry horizon
// after its execution finished.
type keyStore struct {
	maxKeys   int
	maxBytes  int
	retention time.Duration
	keys      map[string]*keyEntry
	running   map[RequestID]*keyEntry
	waiting   map[RequestID]*keyEntry
	// finished holds the entries with a result, sorted by expiry.
	finished []*keyEntry
	bytes    int
	// inheritedCount is the number of inherited keys that are not in keys yet.
	inheritedCount int
}

func newKeyStore(c Config) keyStore {
	return keyStore{
		maxKeys: c.MaxKeys, maxBytes: c.MaxBytes, retention: c.RetryHorizon + c.RetryHorizon/driftDivisor,
		keys: map[string]*keyEntry{}, running: map[RequestID]*keyEntry{}, waiting: map[RequestID]*keyEntry{},
	}
}

func (m *keyStore) count() int { return len(m.keys) + m.inheritedCount }

func entrySize(key string, a Response) int {
	size := entryOverheadBytes + len(key) + len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// start adds a key whose execution begins. It returns false if a limit is reached.
func (m *keyStore) start(e *keyEntry) bool {
	e.size = entrySize(e.key, Response{})
	if m.count() >= m.maxKeys || m.bytes+e.size > m.maxBytes {
		return false
	}
	m.bytes += e.size
	m.keys[e.key] = e
	m.running[e.executingID] = e
	return true
}

// end stores the result of an execution. A response that exceeds the size limit is stored
// without its header and body.
func (m *keyStore) end(e *keyEntry, kind ResultKind, a Response, now time.Duration) {
	delete(m.running, e.executingID)
	e.executingID = 0
	e.kind = kind
	if kind == Done {
		if grown := entrySize(e.key, a); m.bytes-e.size+grown <= m.maxBytes {
			m.bytes += grown - e.size
			e.size = grown
		} else {
			a = Response{Status: a.Status, Oversized: true}
		}
		e.response = a
	}
	e.expires = now + m.retention
	m.finished = append(m.finished, e)
}

// drop deletes a key whose request certainly did not run.
func (m *keyStore) drop(e *keyEntry) {
	delete(m.running, e.executingID)
	delete(m.keys, e.key)
	m.bytes -= e.size
}

func (m *keyStore) expire(now time.Duration) {
	n := 0
	for n < len(m.finished) && m.finished[n].expires <= now {
		e := m.finished[n]
		if m.keys[e.key] == e {
			delete(m.keys, e.key)
			m.bytes -= e.size
		}
		n++
	}
	if n > 0 {
		clear(m.finished[:n])
		m.finished = m.finished[n:]
	}
}

func (m *keyStore) addWaiter(e *keyEntry, id RequestID) bool {
	if len(e.waiters) >= maxWaiters {
		return false
	}
	e.waiters = append(e.waiters, id)
	m.waiting[id] = e
	return true
}

func (m *keyStore) dropWaiter(id RequestID) {
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
