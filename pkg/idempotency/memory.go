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

func (ks *keyStore) count() int { return len(ks.keys) + ks.inheritedCount }

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
func (ks *keyStore) start(e *keyEntry) bool {
	e.size = entrySize(e.key, Response{})
	if ks.count() >= ks.maxKeys || ks.bytes+e.size > ks.maxBytes {
		return false
	}
	ks.bytes += e.size
	ks.keys[e.key] = e
	ks.running[e.executingID] = e
	return true
}

// end stores the result of an execution. A response that exceeds the size limit is stored
// without its header and body.
func (ks *keyStore) end(e *keyEntry, kind ResultKind, a Response, now time.Duration) {
	delete(ks.running, e.executingID)
	e.executingID = 0
	e.kind = kind
	if kind == Done {
		if grown := entrySize(e.key, a); ks.bytes-e.size+grown <= ks.maxBytes {
			ks.bytes += grown - e.size
			e.size = grown
		} else {
			a = Response{Status: a.Status, Oversized: true}
		}
		e.response = a
	}
	e.expires = now + ks.retention
	ks.finished = append(ks.finished, e)
}

// drop deletes a key whose request certainly did not run.
func (ks *keyStore) drop(e *keyEntry) {
	delete(ks.running, e.executingID)
	delete(ks.keys, e.key)
	ks.bytes -= e.size
}

func (ks *keyStore) expire(now time.Duration) {
	n := 0
	for n < len(ks.finished) && ks.finished[n].expires <= now {
		e := ks.finished[n]
		if ks.keys[e.key] == e {
			delete(ks.keys, e.key)
			ks.bytes -= e.size
		}
		n++
	}
	if n > 0 {
		clear(ks.finished[:n])
		ks.finished = ks.finished[n:]
	}
}

func (ks *keyStore) addWaiter(e *keyEntry, id RequestID) bool {
	if len(e.waiters) >= maxWaiters {
		return false
	}
	e.waiters = append(e.waiters, id)
	ks.waiting[id] = e
	return true
}

func (ks *keyStore) dropWaiter(id RequestID) {
	e, ok := ks.waiting[id]
	if !ok {
		return
	}
	delete(ks.waiting, id)
	for i, w := range e.waiters {
		if w == id {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			return
		}
	}
}
