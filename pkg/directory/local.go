package directory

import (
	"math"
	"time"
)

// Heartbeat is a message of a target to the node beside it.
type Heartbeat struct {
	ID      string
	Address string
	Service string
	Version string
	Slots   int
	// Draining is set once the target is shutting down.
	Draining bool
	// Sequence increases with each heartbeat of a target process.
	Sequence uint64
	// StartUnixMS is the Unix time in milliseconds at which the target process
	// started, 0 if not known.
	StartUnixMS int64
	// ColdRemaining is the remaining time of the target's cold start, during which
	// it is slow.
	ColdRemaining time.Duration
}

// LocalTarget tracks the target beside this node.
type LocalTarget struct {
	// Address and Service are those of the target in the settings.
	Address string
	Service string
	// Interval is the heartbeat interval.
	Interval time.Duration

	last          Heartbeat
	known         bool
	lastHeard     time.Duration
	leaving       bool
	unreachableAt time.Duration
	unreachable   bool
	// departed maps the IDs of targets that shut down to a Unix time in milliseconds.
	// Processes of the target that started at or before that time have ended.
	departed map[string]int64
	// superseded holds the processes that a later one has replaced. They never return.
	superseded map[Process]int64
	// candidate is a process with an earlier start than the current one, whose clock may
	// have been set back before it started.
	candidate   Process
	candidateAt time.Duration
	candidateNo uint64

	// coldUntil is the end of the cold time according to the target.
	coldUntil time.Duration
	presumed  presumedCold
}

// presumedCold is the presumption that the target is cold although its last report does not say so.
type presumedCold struct {
	active bool
	until  time.Duration
	// restarted is set if the process may have been replaced. A heartbeat may then be a late one of
	// the former process: the target has to confirm its state in a second one. confirmedAt is the
	// time of the first one, 0 if there was none.
	restarted   bool
	confirmedAt time.Duration
}

// Process identifies a process of a target. A target may start again under its id.
type Process struct {
	ID string `json:"id"`
	// StartUnixMS is the Unix time in milliseconds at which the process started.
	StartUnixMS int64 `json:"start,omitempty"`
}

// maxMissedHeartbeats is the number of intervals without a heartbeat after which
// the target counts as gone. Heartbeats may be late by seconds, so a crashed target
// is detected earlier by failed requests.
const maxMissedHeartbeats = 4

// HandleHeartbeat processes a heartbeat and reports whether it was accepted. It
// ignores heartbeats of other targets and late heartbeats of an earlier process.
// Once a target process has reported that it drains, no later or delayed heartbeat
// of that process changes that.
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
	if at, ok := l.departed[h.ID]; ok && h.StartUnixMS <= at {
		return false
	}
	if _, ok := l.superseded[Process{h.ID, h.StartUnixMS}]; ok {
		return false
	}
	same := l.known && h.ID == l.last.ID && h.StartUnixMS == l.last.StartUnixMS
	switch {
	case same && h.Sequence <= l.last.Sequence:
		l.leaving = l.leaving || h.Draining
		if h.Draining || !l.confirmCandidate(h, now) {
			return h.Draining
		}
	case l.known && !same && h.StartUnixMS < l.last.StartUnixMS && !l.confirmCandidate(h, now):
		return false
	case !same:
		l.supersede()
		l.leaving = false
	}
	l.confirmCold(same, now)
	l.coldUntil = 0
	if h.ColdRemaining > 0 {
		l.coldUntil = now + h.ColdRemaining
	}
	l.known, l.last, l.lastHeard, l.unreachable = true, h, now, false
	l.leaving = l.leaving || h.Draining
	return true
}

// presumptionStep is the least time by which a further sign extends a presumption.
const presumptionStep = 2 * time.Second

// PresumeCold records that the target is presumed cold until a heartbeat or a health response says
// otherwise. restarted is set if its process may have been replaced. The presumption ends at a time
// in any case: a target without heartbeats is not used.
func (l *LocalTarget) PresumeCold(restarted bool, until time.Duration) {
	if p := l.presumed; p.active && p.until > until-presumptionStep {
		// Repeated signs are one presumption, which other nodes learn once.
		until = p.until
	}
	if l.known {
		l.presumed = presumedCold{active: true, until: until, restarted: restarted || l.presumed.active && l.presumed.restarted}
	}
}

// PresumedRestarted reports whether the target is presumed cold because its process may have been
// replaced.
func (l *LocalTarget) PresumedRestarted() bool { return l.presumed.active && l.presumed.restarted }

// confirmCold processes a heartbeat of a target that is presumed cold.
func (l *LocalTarget) confirmCold(same bool, now time.Duration) {
	p := &l.presumed
	switch {
	case !p.active:
	case !same || !p.restarted || p.confirmedAt > 0 && now-p.confirmedAt >= l.Interval/2:
		l.presumed = presumedCold{}
	case p.confirmedAt == 0:
		p.confirmedAt = now
	}
}

// HandleHealth processes a health response of a process of the target, which says how long it is
// cold. It reports whether that ends a presumption.
func (l *LocalTarget) HandleHealth(p Process, coldRemaining, now time.Duration) bool {
	if !l.known || p != (Process{l.last.ID, l.last.StartUnixMS}) || !l.presumed.active || l.presumed.restarted {
		return false
	}
	l.presumed, l.coldUntil = presumedCold{}, now+coldRemaining
	return true
}

// ColdUntil returns the time until which the target is cold or presumed so, 0 if it is not.
func (l *LocalTarget) ColdUntil(now time.Duration) time.Duration {
	switch {
	case l.presumed.active && now < l.presumed.until:
		return max(l.presumed.until, l.coldUntil)
	default:
		return l.coldUntil
	}
}

// confirmCandidate reports whether a heartbeat with an earlier start, or an earlier sequence number
// of the same process, shows the present state: the clock may have been set back before the process
// started, or another writer sent a heartbeat whose number the process does not reach. There must
// have been two such heartbeats some time apart and none like the last accepted one meanwhile.
// Delayed heartbeats arrive together or beside later ones.
func (l *LocalTarget) confirmCandidate(h Heartbeat, now time.Duration) bool {
	p := Process{h.ID, h.StartUnixMS}
	if l.candidate != p || l.candidateAt < l.lastHeard {
		l.candidate, l.candidateAt, l.candidateNo = p, now, h.Sequence
		return false
	}
	return h.Sequence > l.candidateNo && now-l.candidateAt >= l.Interval/2 && now-l.lastHeard >= l.Interval
}

// supersede records that the current process was replaced.
func (l *LocalTarget) supersede() {
	if !l.known {
		return
	}
	if l.superseded == nil {
		l.superseded = map[Process]int64{}
	}
	p := Process{l.last.ID, l.last.StartUnixMS}
	rememberStart(l.superseded, p, p.StartUnixMS)
}

// MarkLeaving records that a target is shutting down, also if no heartbeat of it
// was received yet. It reports whether it is the current target.
func (l *LocalTarget) MarkLeaving(id string, unixMS int64) bool {
	if !l.known || l.last.ID != id {
		l.remember(id, max(unixMS, l.departed[id]))
		return false
	}
	l.remember(id, max(l.last.StartUnixMS, l.departed[id]))
	l.leaving = true
	return true
}

// LeftProcess returns the last process of a target that is known to have left.
func (l *LocalTarget) LeftProcess(id string) Process { return Process{id, l.departed[id]} }

// ProcessOf returns the process that sent a heartbeat which was handled, and false if it is not one
// of the target beside this node.
func (l *LocalTarget) ProcessOf(h Heartbeat, unixMS int64) (Process, bool) {
	if h.ID == "" || h.Address != l.Address || h.Service != l.Service {
		return Process{}, false
	}
	switch {
	case h.StartUnixMS != 0:
	case l.known && l.last.ID == h.ID:
		h.StartUnixMS = l.last.StartUnixMS
	default:
		h.StartUnixMS = unixMS
	}
	return Process{h.ID, h.StartUnixMS}, true
}

// remember records that the processes of a target that started at or before a time have
// ended.
func (l *LocalTarget) remember(id string, startUnixMS int64) {
	if l.departed == nil {
		l.departed = map[string]int64{}
	}
	rememberStart(l.departed, id, startUnixMS)
}

// rememberStart adds a former process to a memory of at most maxDeparted, from which it drops
// the one that started first.
func rememberStart[K comparable](starts map[K]int64, key K, startUnixMS int64) {
	if _, known := starts[key]; !known && len(starts) >= maxDeparted {
		var oldest K
		first := int64(math.MaxInt64)
		for k, at := range starts {
			if at < first {
				oldest, first = k, at
			}
		}
		delete(starts, oldest)
	}
	starts[key] = startUnixMS
}

// MarkProcessLeaving records that a process of the target is shutting down. It reports
// whether that is new and it is the current process. A later process under the same id is not
// affected. A process whose start is not known counts as the current one.
func (l *LocalTarget) MarkProcessLeaving(p Process, unixMS int64) bool {
	wasLeaving := l.leaving
	if p.StartUnixMS == 0 || l.known && p.ID == l.last.ID && l.last.StartUnixMS <= p.StartUnixMS {
		l.remember(p.ID, max(p.StartUnixMS, l.departed[p.ID]))
		return l.MarkLeaving(p.ID, unixMS) && !wasLeaving
	}
	l.remember(p.ID, max(p.StartUnixMS, l.departed[p.ID]))
	return false
}

// maxDeparted bounds the number of remembered former targets. An address has few
// of them in a day.
const maxDeparted = 64

// unreachablePeriod is how long a target that refused a connection is avoided,
// unless it sends a heartbeat.
const unreachablePeriod = time.Second

// MarkUnreachable records that the target refused a connection.
func (l *LocalTarget) MarkUnreachable(now time.Duration) { l.unreachable, l.unreachableAt = true, now }

// Target returns the current target, or nil if no heartbeat was received yet.
func (l *LocalTarget) Target(now time.Duration, unixMS int64) *Target {
	if !l.known {
		return nil
	}
	t := &Target{ID: l.last.ID, StartUnixMS: l.last.StartUnixMS, Service: l.last.Service, Version: l.last.Version, Slots: l.last.Slots, Leaving: l.leaving}
	timedOut := now-l.lastHeard > maxMissedHeartbeats*l.Interval
	refused := l.unreachable && now-l.unreachableAt < unreachablePeriod
	t.Serving = !l.leaving && !timedOut && !refused
	if until := l.ColdUntil(now); until > 0 {
		t.ColdUntilUnixMS = unixMS + (until - now).Milliseconds()
	}
	return t
}
