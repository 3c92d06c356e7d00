package directory

import "time"

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
	unreachableAt time.Duration
	unreachable   bool
	// ended holds the processes of the target that have ended or are shutting down.
	ended EndedProcesses
	// returning is the last heartbeat of a process that may have outlived the report that its target
	// has left.
	returning returningProcess
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

// returningProcess is a process whose heartbeats go on after a report that its target has left.
type returningProcess struct {
	heartbeat Heartbeat
	// firstAt is the time of the first of these heartbeats.
	firstAt time.Duration
	// shown is set once they cannot have been sent before the report.
	shown bool
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
	l.ended.Observe(now, unixMS)
	p, ok := l.ProcessOf(h, unixMS)
	if !ok {
		return false
	}
	h.StartUnixMS = p.StartUnixMS
	same := l.known && p == l.last.process()
	if l.ended.reported(p) {
		l.noteReturning(h, now)
		return false
	}
	if !same && l.ended.Has(p) {
		return false
	}
	switch {
	case same && h.Sequence <= l.last.Sequence:
		if h.Draining {
			l.ended.End(p)
			return true
		}
		if !l.confirmCandidate(h, now) {
			return false
		}
	case l.known && !same && h.StartUnixMS < l.last.StartUnixMS && !l.confirmCandidate(h, now):
		return false
	}
	l.accept(h, now)
	return true
}

// accept makes the sender of a heartbeat the current process.
func (l *LocalTarget) accept(h Heartbeat, now time.Duration) {
	p := h.process()
	same := l.known && p == l.last.process()
	if l.known && !same {
		l.ended.End(l.last.process())
	}
	l.confirmCold(same, now)
	l.coldUntil = 0
	if h.ColdRemaining > 0 {
		l.coldUntil = now + h.ColdRemaining
	}
	l.known, l.last, l.lastHeard, l.unreachable = true, h, now, false
	if h.Draining {
		l.ended.End(p)
	}
}

func (h Heartbeat) process() Process { return Process{h.ID, h.StartUnixMS} }

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
	if !l.known || p != l.last.process() || !l.presumed.active || l.presumed.restarted {
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

// MarkLeaving records a report that a target has left, which does not name its process: one that is
// known, or one that started before the report and was not heard of yet. It returns whether it is the
// current target.
func (l *LocalTarget) MarkLeaving(id string, now time.Duration, unixMS int64) bool {
	var known *Process
	if l.known && l.last.ID == id {
		p := l.last.process()
		known = &p
	}
	l.ended.Report(id, known, now, unixMS)
	l.returning = returningProcess{}
	return known != nil
}

// LeftProcess returns the last process of a target that may have been running when the target was
// reported to have left.
func (l *LocalTarget) LeftProcess(id string) Process { return Process{id, l.ended.Through(id)} }

// MarkSignaled records that a response said that the target is shutting down. p is the process to which
// the request was sent; a later one that was not heard of yet may have answered. It returns whether
// that is new and concerns the current target.
func (l *LocalTarget) MarkSignaled(p Process, now time.Duration, unixMS int64) bool {
	if !l.known || l.last.ID != p.ID {
		l.ended.End(p)
		return false
	}
	wasLeaving := l.ended.Has(l.last.process())
	if p.StartUnixMS < l.last.StartUnixMS {
		// The response of a former process that its successor has overtaken.
		l.ended.End(p)
		return false
	}
	l.MarkLeaving(p.ID, now, unixMS)
	l.ended.End(p)
	return !wasLeaving
}

// MarkDeparted records a departure that another process of this node, or a late heartbeat, reported:
// the processes of the target that started at or before the start of p have ended. It returns whether
// that is new and ends the current process.
func (l *LocalTarget) MarkDeparted(p Process, now time.Duration) bool {
	current := l.known && l.last.ID == p.ID && l.last.StartUnixMS <= p.StartUnixMS
	wasLeaving := current && l.ended.Has(l.last.process())
	return l.ended.ReportThrough(p, now) && current && !wasLeaving
}

// ProcessOf returns the process that sent a heartbeat, and false if it is not one of the target beside
// this node.
func (l *LocalTarget) ProcessOf(h Heartbeat, unixMS int64) (Process, bool) {
	if h.ID == "" || h.Address != l.Address || h.Service != l.Service {
		return Process{}, false
	}
	switch through := l.ended.Through(h.ID); {
	case h.StartUnixMS != 0:
	case l.known && l.last.ID == h.ID:
		h.StartUnixMS = l.last.StartUnixMS
	case through > 0:
		// It may have been sent before the target left.
		h.StartUnixMS = through
	default:
		h.StartUnixMS = unixMS
	}
	return h.process(), true
}

// noteReturning processes a heartbeat of a process that a report covers. The report may have been of
// an earlier process and late, or the clock was set back before the process started.
func (l *LocalTarget) noteReturning(h Heartbeat, now time.Duration) {
	p := h.process()
	if h.Draining {
		l.ended.End(p)
		l.returning = returningProcess{}
		return
	}
	from, several, possible := l.ended.ShownFrom(p)
	if !possible || now < from {
		return
	}
	r := &l.returning
	switch {
	case r.heartbeat.process() != p:
		*r = returningProcess{heartbeat: h, firstAt: now, shown: !several}
	case h.Sequence > r.heartbeat.Sequence:
		r.heartbeat = h
		r.shown = r.shown || now-r.firstAt >= l.Interval/2
	}
}

// Returning returns the process whose heartbeats show that it outlived the report that its target has
// left, and false if there is none. It is used once its health response confirms that.
func (l *LocalTarget) Returning() (Process, bool) {
	return l.returning.heartbeat.process(), l.returning.shown
}

// ConfirmReturn processes that a returning process says that it is healthy. It returns the
// last heartbeat of the process if it is used again.
func (l *LocalTarget) ConfirmReturn(p Process, now time.Duration) (Heartbeat, bool) {
	r := l.returning
	if !r.shown || r.heartbeat.process() != p {
		return Heartbeat{}, false
	}
	l.returning = returningProcess{}
	l.ended.Outlived(p)
	l.accept(r.heartbeat, now)
	return r.heartbeat, true
}

// unreachablePeriod is how long a target that refused a connection is avoided,
// unless it sends a heartbeat.
const unreachablePeriod = time.Second

// MarkUnreachable records that the target refused a connection.
func (l *LocalTarget) MarkUnreachable(now time.Duration) { l.unreachable, l.unreachableAt = true, now }

// Target returns the current target, or nil if no heartbeat was received yet.
func (l *LocalTarget) Target(now time.Duration, unixMS int64) *Target {
	l.ended.Observe(now, unixMS)
	if !l.known {
		return nil
	}
	leaving := l.ended.Has(l.last.process())
	t := &Target{ID: l.last.ID, StartUnixMS: l.last.StartUnixMS, Service: l.last.Service, Version: l.last.Version, Slots: l.last.Slots, Leaving: leaving}
	timedOut := now-l.lastHeard > maxMissedHeartbeats*l.Interval
	refused := l.unreachable && now-l.unreachableAt < unreachablePeriod
	t.Serving = !leaving && !timedOut && !refused
	if until := l.ColdUntil(now); until > 0 {
		t.ColdUntilUnixMS = unixMS + (until - now).Milliseconds()
	}
	return t
}
