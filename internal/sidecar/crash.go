package sidecar

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/control"
)

// crashWindow is the longest time from a lost response to a refused connection for which
// the request counts as running when the target crashed.
const crashWindow = 2 * time.Second

const (
	// crashProbeDelay is the time from a lost response to the check whether the target
	// still listens.
	crashProbeDelay = 20 * time.Millisecond
	// crashProbeInterval limits the rate of these checks, since each new connection
	// occupies a slot briefly.
	crashProbeInterval = 500 * time.Millisecond
)

// maxLostRequests limits the memory; a target runs a few dozen requests at once.
const maxLostRequests = 256

// crashDetector finds the requests that were running when the local target crashed: their
// responses were lost, and the target refused connections afterwards.
type crashDetector struct {
	mu        sync.Mutex
	lost      map[uint64]time.Duration
	lastProbe time.Duration
}

func newCrashDetector() *crashDetector { return &crashDetector{lost: map[uint64]time.Duration{}} }

// recordLost records a request whose response was lost.
func (d *crashDetector) recordLost(identity uint64, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.lost) >= maxLostRequests {
		clear(d.lost)
	}
	d.lost[identity] = now
}

// probeDue reports whether to check the target now, at most once per crashProbeInterval.
func (d *crashDetector) probeDue(now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastProbe > 0 && now-d.lastProbe < crashProbeInterval {
		return false
	}
	d.lastProbe = now
	return true
}

// takeLost returns the requests that were lost within crashWindow, and clears the list.
func (d *crashDetector) takeLost(now time.Duration) []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []uint64
	for f, at := range d.lost {
		if now-at <= crashWindow {
			out = append(out, f)
		}
	}
	clear(d.lost)
	return out
}

// handleLostResponse records a request whose response was lost and checks whether the
// target crashed, because there may be no later request that finds out.
func (n *Node) handleLostResponse(identity uint64) {
	now := n.clock.now()
	n.crashDetector.recordLost(identity, now)
	if !n.crashDetector.probeDue(now) {
		return
	}
	time.AfterFunc(crashProbeDelay, func() {
		conn, err := net.DialTimeout("tcp", n.target.address, targetDialTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
		n.handleTargetDialError(err)
	})
}

// handleTargetDialError handles a failed connection to the target. Only a refused
// connection shows that the target no longer listens; a reset means that it has too many
// connections.
func (n *Node) handleTargetDialError(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	n.step(control.TargetUnreachable{})
	if requests := n.crashDetector.takeLost(n.clock.now()); len(requests) > 0 {
		n.step(control.TargetCrashed{Requests: requests})
	}
}

const (
	// trialRankDelay is the time between the trials of two nodes: that in which the others hear of
	// the crash that a trial has caused.
	trialRankDelay = 2 * time.Second
	// seenInterval is the time between two reports that callers ask for a request.
	seenInterval = time.Second
	// maxTrials limits the memory, which is cleared beyond it.
	maxTrials = 256
)

// crashTrials decides when a refused request runs once more, and when to report that callers ask
// for one.
type crashTrials struct {
	mu     sync.Mutex
	refuse map[uint64]refusedCrash
	seen   map[uint64]time.Duration
}

// refusedCrash is a request that this node refuses.
type refusedCrash struct {
	since, lastTrial time.Duration
	tried            bool
}

func newCrashTrials() *crashTrials {
	return &crashTrials{refuse: map[uint64]refusedCrash{}, seen: map[uint64]time.Duration{}}
}

// allow reports whether a refused request runs once more. The nodes that callers ask take turns.
func (c *crashTrials) allow(identity uint64, suspect control.CrashSuspect, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.refuse[identity]
	if !ok {
		if len(c.refuse) >= maxTrials {
			clear(c.refuse)
		}
		r.since = now
	}
	due := suspect.MayBeTried() && now-r.since >= time.Duration(suspect.TrialRank+1)*trialRankDelay &&
		(!r.tried || now-r.lastTrial >= maxTrialTurns*trialRankDelay)
	if due {
		r.tried, r.lastTrial = true, now
	}
	c.refuse[identity] = r
	return due
}

// maxTrialTurns is the number of turns after which a node tries a request again, if its last trial
// neither completed nor crashed a target.
const maxTrialTurns = 4

// seenDue reports whether to report that callers ask for a request.
func (c *crashTrials) seenDue(identity uint64, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last, ok := c.seen[identity]; ok && now-last < seenInterval {
		return false
	}
	if len(c.seen) >= maxTrials {
		clear(c.seen)
	}
	c.seen[identity] = now
	return true
}

// recordSeen reports that a caller asks for a request that was running at a crash.
func (n *Node) recordSeen(identity uint64) {
	if n.crashTrials.seenDue(identity, n.clock.now()) {
		n.step(control.RequestAsked{Identity: identity})
	}
}
