package target

import (
	"strings"
	"sync"
)

// maxLedgerEntries bounds the memory of the execution counts.
const maxLedgerEntries = 1_000_000

// Executions tells how often the target executed each key and each request.
type Executions struct {
	Target string `json:"target"`
	// Session changes when the target restarts, which resets the counts.
	Session string `json:"session"`
	// Keys counts executions by Idempotency-Key.
	Keys map[string]int `json:"keys"`
	// Requests counts executions by X-Request-Id.
	Requests map[string]int `json:"requests"`
	// Uncounted is how many executions came after the counts were full.
	Uncounted int `json:"uncounted"`
}

// ledger counts executions.
type ledger struct {
	mu        sync.Mutex
	keys      map[string]int
	requests  map[string]int
	uncounted int
}

func newLedger() *ledger {
	return &ledger{keys: map[string]int{}, requests: map[string]int{}}
}

// record counts one execution; an empty key or request id is not counted.
func (l *ledger) record(key, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !count(l.keys, key) || !count(l.requests, request) {
		l.uncounted++
	}
}

func count(counts map[string]int, name string) bool {
	if _, known := counts[name]; !known && len(counts) >= maxLedgerEntries {
		return false
	}
	if name != "" {
		counts[name]++
	}
	return true
}

// list returns the counts of names with a prefix that are at least least.
func (l *ledger) list(prefix string, least int) Executions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Executions{
		Keys:      filter(l.keys, prefix, least),
		Requests:  filter(l.requests, prefix, least),
		Uncounted: l.uncounted,
	}
}

func filter(counts map[string]int, prefix string, least int) map[string]int {
	found := map[string]int{}
	for name, n := range counts {
		if n >= least && strings.HasPrefix(name, prefix) {
			found[name] = n
		}
	}
	return found
}
