package callpath

import (
	"sync"
	"sync/atomic"
	"time"

	"heathercroft.example/heathercroft/pkg/crashes"
)

// Limits of the protection against requests that crash targets.
const (
	// CrashThreshold is the number of crashes after which a fingerprint is refused.
	CrashThreshold = 2
	// CrashBlockDuration is how long a fingerprint is refused, and how long its
	// crashes are remembered.
	CrashBlockDuration = 10 * time.Minute
	// fingerprintBytes is the length of the part of a body that is part of a fingerprint: as much as is kept
	// of a body that may be sent again.
	fingerprintBytes = maxReplayBytes
	// crashWindow is the longest time between a lost connection and the end of the
	// target's announcement for the two to count as one crash.
	crashWindow = 5 * time.Second
	// maxFingerprints bounds the memory. Beyond it the oldest lost request is
	// dropped, and crashes of new fingerprints are not counted.
	maxFingerprints = 1024
	// completedSlots is the size of the table of completed fingerprints, 8 KiB. Two
	// fingerprints in one slot replace each other.
	completedSlots = 1024
)

// Fingerprint identifies equal requests by a hash of the method, the path with
// query, and the key or, without a key, the first 16 KiB of the body.
type Fingerprint uint64

func fingerprintOf(method, uri, key string, head []byte) Fingerprint {
	r := crashes.Request{Method: method, URI: uri, Key: key}
	if key == "" {
		r.Body = head
	}
	return Fingerprint(r.Identity())
}

// crashGuard refuses requests whose fingerprint has crashed targets. It is safe
// for concurrent use.
type crashGuard struct {
	mu sync.Mutex
	// lost holds requests whose connection to the target was lost, possibly because
	// of a crash.
	lost    []lostRequest
	crashes map[Fingerprint]crashRecord
	// completed holds fingerprints to which the current target has sent a complete response.
	// An equal request that was in flight when the target crashed is not suspected:
	// otherwise two crashes would block the most frequent requests of the zone.
	completed [completedSlots]atomic.Uint64
}

type lostRequest struct {
	fingerprint Fingerprint
	at          time.Duration
}

type crashRecord struct {
	count int
	last  time.Duration
}

func newCrashGuard() *crashGuard {
	return &crashGuard{crashes: map[Fingerprint]crashRecord{}}
}

// recordLost records a request whose connection to the target was lost.
func (g *crashGuard) recordLost(f Fingerprint, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.lost) >= maxFingerprints {
		g.lost = g.lost[1:]
	}
	g.lost = append(g.lost, lostRequest{f, now})
}

// targetCrashed returns the suspected fingerprints that were in flight when the
// target crashed, and resets the state for the next target.
func (g *crashGuard) targetCrashed(now time.Duration) []Fingerprint {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []Fingerprint
	seen := map[Fingerprint]bool{}
	for _, r := range g.lost {
		completed := g.completed[r.fingerprint%completedSlots].Load() == uint64(r.fingerprint)
		if now-r.at <= crashWindow && !seen[r.fingerprint] && !completed {
			seen[r.fingerprint] = true
			found = append(found, r.fingerprint)
		}
	}
	g.lost = nil
	for i := range g.completed {
		g.completed[i].Store(0)
	}
	return found
}

// recordCompleted records a request whose response was received completely.
func (g *crashGuard) recordCompleted(f Fingerprint) {
	g.completed[f%completedSlots].Store(uint64(f))
}

// recordCrash counts a crash of any target in the zone.
func (g *crashGuard) recordCrash(f Fingerprint, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for other, r := range g.crashes {
		if now-r.last > CrashBlockDuration {
			delete(g.crashes, other)
		}
	}
	if _, known := g.crashes[f]; !known && len(g.crashes) >= maxFingerprints {
		return
	}
	r := g.crashes[f]
	g.crashes[f] = crashRecord{count: r.count + 1, last: now}
}

// anyBlocked reports whether any fingerprint is refused. While none is, requests
// need not be hashed.
func (g *crashGuard) anyBlocked(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.crashes {
		if r.blocks(now) {
			return true
		}
	}
	return false
}

func (g *crashGuard) blocked(f Fingerprint, now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes[f].blocks(now)
}

func (r crashRecord) blocks(now time.Duration) bool {
	return r.count >= CrashThreshold && now-r.last <= CrashBlockDuration
}

// checkCrash refuses a request that crashed targets before. The start of the body
// is read only while some fingerprint is refused.
func (n *Node) checkCrash(c *call) *Refusal {
	now := n.deps.Now()
	if !n.crash.anyBlocked(now) {
		return nil
	}
	var head []byte
	if c.key == "" {
		head = c.body.peek(fingerprintBytes)
	}
	if !n.crash.blocked(fingerprintOf(c.req.Method, c.req.URL.RequestURI(), c.key, head), now) {
		return nil
	}
	return MayHaveRun(CodeCrashing, "equal requests crashed targets; refused for 10 min")
}

// recordLostRequest records the fingerprint of a request whose connection was
// lost.
func (n *Node) recordLostRequest(c *call) {
	head := c.body.buffered(fingerprintBytes)
	n.crash.recordLost(fingerprintOf(c.req.Method, c.req.URL.RequestURI(), c.key, head), n.deps.Now())
}

// recordCompletedRequest records the fingerprint of a request whose response was
// received completely, unless the request body is still being read.
func (n *Node) recordCompletedRequest(c *call) {
	if head, ok := c.body.tryBuffered(fingerprintBytes); ok {
		n.crash.recordCompleted(fingerprintOf(c.req.Method, c.req.URL.RequestURI(), c.key, head))
	}
}

// TargetExpired reports that the local target's announcement ended without a
// drain. Requests whose connections were lost shortly before are reported to
// Events and counted as a crash.
func (n *Node) TargetExpired() {
	now := n.deps.Now()
	found := n.crash.targetCrashed(now)
	for _, f := range found {
		n.crash.recordCrash(f, now)
	}
	if len(found) > 0 && n.deps.Events != nil {
		n.deps.Events.Crashed(found)
	}
}

// RecordRemoteCrash counts a crash of another target in the zone.
func (n *Node) RecordRemoteCrash(f Fingerprint) { n.crash.recordCrash(f, n.deps.Now()) }
