package directory

import "time"

// Heartbeat is what a target says of itself to the node beside it.
type Heartbeat struct {
	ID      string
	Address string
	Service string
	Version string
	Slots   int
	// Draining is set when the target is about to leave.
	Draining bool
	// Sequence increases with each heartbeat of one start of the target.
	Sequence uint64
	// StartUnixMS is the Unix time in milliseconds at which the target started, 0 if not known.
	StartUnixMS int64
	// ColdRemaining is how much longer the target is slow after its start.
	ColdRemaining time.Duration
}

// LocalTarget follows the target beside this node.
type LocalTarget struct {
	// Address and Service are what the settings say of the target.
	Address string
	Service string
	// Interval is the time between two heartbeats.
	Interval time.Duration

	last     Heartbeat
	known    bool
	heard    time.Duration
	leaving  bool
	brokenAt time.Duration
	broken   bool
	// left holds targets that left, with the Unix time in milliseconds up to which
	// a start of them is over.
	left map[string]int64
}

// missedHeartbeats is how many intervals without a heartbeat pass before the
// target counts as gone. A target that crashes sends nothing, and heartbeats may
// be late by seconds, so that requests decide earlier than this.
const missedHeartbeats = 4

// HandleHeartbeat takes a heartbeat and reports whether it is accepted. Late heartbeats of
// an earlier start, and those of other targets, are not. A target that has said
// once that it drains leaves, whatever a heartbeat that was overtaken says.
func (l *LocalTarget) HandleHeartbeat(h Heartbeat, now time.Duration, unixMS int64) (accepted bool) {
	if h.ID == "" || h.Address != l.Address || h.Service != l.Service {
		return false
	}
	if h.StartUnixMS == 0 {
		h.StartUnixMS = unixMS
		if l.known && l.last.ID == h.ID {
			h.StartUnixMS = l.last.StartUnixMS
		}
	}
	if at, ok := l.left[h.ID]; ok && h.StartUnixMS <= at {
		return false
	}
	same := l.known && h.ID == l.last.ID && h.StartUnixMS == l.last.StartUnixMS
	switch {
	case same && h.Sequence <= l.last.Sequence:
		l.leaving = l.leaving || h.Draining
		return h.Draining
	case l.known && !same && h.StartUnixMS < l.last.StartUnixMS:
		return false
	case !same:
		l.leaving = false
	}
	l.known, l.last, l.heard, l.broken = true, h, now, false
	l.leaving = l.leaving || h.Draining
	return true
}

// MarkLeaving takes the word of a target that it leaves, also of one that was not
// heard of before. It reports whether the target is the present one.
func (l *LocalTarget) MarkLeaving(id string, unixMS int64) bool {
	if l.left == nil || len(l.left) >= maxLeft {
		l.left = map[string]int64{}
	}
	if !l.known || l.last.ID != id {
		l.left[id] = unixMS
		return false
	}
	l.left[id] = l.last.StartUnixMS
	l.leaving = true
	return true
}

// maxLeft bounds the memory of targets that left; one address has few in a day.
const maxLeft = 64

// brokenFor is how long a target that refuses connections is passed over unless
// it sends a heartbeat.
const brokenFor = time.Second

// MarkUnreachable notes that the target refused a connection.
func (l *LocalTarget) MarkUnreachable(now time.Duration) { l.broken, l.brokenAt = true, now }

// Target returns the present target, or nil if none has announced itself.
func (l *LocalTarget) Target(now time.Duration, unixMS int64) *Target {
	if !l.known {
		return nil
	}
	t := &Target{ID: l.last.ID, Service: l.last.Service, Version: l.last.Version, Slots: l.last.Slots}
	silent := now-l.heard > missedHeartbeats*l.Interval
	refused := l.broken && now-l.brokenAt < brokenFor
	t.Serving = !l.leaving && !silent && !refused
	if l.last.ColdRemaining > 0 {
		t.ColdUntilUnixMS = unixMS - (now - l.heard).Milliseconds() + l.last.ColdRemaining.Milliseconds()
	}
	return t
}
