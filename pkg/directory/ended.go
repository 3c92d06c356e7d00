package directory

import "time"

// EndedProcesses holds which processes of targets have ended or are shutting down. It alone decides
// whether a process may be used. The zero value is empty. It is not safe for concurrent use.
type EndedProcesses struct {
	// exact holds the processes that were replaced by another one, or that said themselves that they
	// shut down. They never return.
	exact map[Process]int64
	// reports holds the latest report on each target that did not come with its process.
	reports map[string]endReport
	clock   latestReading
}

// endReport is a report that a target has left. It does not say which process that was: one that the
// node knows, or one that started before the report and whose first heartbeat is late.
type endReport struct {
	// atUnixMS is the latest Unix time in milliseconds that the wall clock had shown by the report.
	atUnixMS int64
	// throughUnixMS is the Unix time in milliseconds up to which a process may have started that was
	// running at the report.
	throughUnixMS int64
	// at is the time of the report on the node's clock.
	at time.Duration
	// outlivedBy is the start of the process that is known to have outlived the report, 0 if there is none.
	outlivedBy int64
}

const (
	// maxHeartbeatDelay is the time after which a heartbeat that arrives was sent after a report that
	// the target left. Heartbeats may be late by seconds.
	maxHeartbeatDelay = 8 * time.Second
	// clockTolerance is the difference of two readings of the clock by processes on one machine.
	clockTolerance = 100 * time.Millisecond
	// reportRepeatTime is the time within which a report on a target is a repetition. A target waits a
	// second for the confirmation, and after it serves for longer than this.
	reportRepeatTime = 1500 * time.Millisecond
)

// Observe processes a reading of the clocks. It should be called at least every few seconds.
func (e *EndedProcesses) Observe(now time.Duration, unixMS int64) { e.clock.observe(now, unixMS) }

// End records that a process has ended or shuts down, as it said itself or as its successor shows.
func (e *EndedProcesses) End(p Process) {
	if e.exact == nil {
		e.exact = map[Process]int64{}
	}
	evictOldest(e.exact, p, func(startUnixMS int64) int64 { return startUnixMS })
	e.exact[p] = p.StartUnixMS
}

// Report records a report that a target has left, which does not name its process: it ends the known
// process of the target, if there is one, and each that started before the report.
func (e *EndedProcesses) Report(id string, known *Process, now time.Duration, unixMS int64) {
	e.clock.observe(now, unixMS)
	before, reported := e.reports[id]
	if reported && now-before.at < reportRepeatTime && (known == nil || e.Has(*known)) {
		return
	}
	r := endReport{atUnixMS: e.clock.unixMS(), at: now}
	r.throughUnixMS = r.atUnixMS + clockTolerance.Milliseconds()
	if known != nil {
		r.throughUnixMS = max(r.throughUnixMS, known.StartUnixMS)
	}
	e.setReport(id, r)
}

// ReportThrough records a report that a process of a target and all before it have ended. It returns
// false if that is known.
func (e *EndedProcesses) ReportThrough(p Process, now time.Duration) bool {
	if p.StartUnixMS <= e.Through(p.ID) {
		return false
	}
	e.setReport(p.ID, endReport{atUnixMS: p.StartUnixMS, at: now, throughUnixMS: p.StartUnixMS})
	return true
}

func (e *EndedProcesses) setReport(id string, r endReport) {
	if e.reports == nil {
		e.reports = map[string]endReport{}
	}
	r.throughUnixMS = max(r.throughUnixMS, e.reports[id].throughUnixMS)
	evictOldest(e.reports, id, func(r endReport) int64 { return r.throughUnixMS })
	e.reports[id] = r
}

// reported reports whether a report covers a process.
func (e *EndedProcesses) reported(p Process) bool {
	r, ok := e.reports[p.ID]
	return ok && p.StartUnixMS <= r.throughUnixMS && (r.outlivedBy == 0 || r.outlivedBy != p.StartUnixMS)
}

// Has reports whether a process has ended or shuts down.
func (e *EndedProcesses) Has(p Process) bool {
	_, exact := e.exact[p]
	return exact || e.reported(p)
}

// Through returns the Unix time in milliseconds up to which processes of a target that started have
// ended, 0 if no report is known.
func (e *EndedProcesses) Through(id string) int64 { return e.reports[id].throughUnixMS }

// ShownFrom returns the time from which heartbeats of a process show that it outlived the report that
// covers it, and whether several are needed. It is false if nothing can show that.
func (e *EndedProcesses) ShownFrom(p Process) (from time.Duration, several, possible bool) {
	r := e.reports[p.ID]
	switch _, exact := e.exact[p]; {
	case exact:
		return 0, false, false
	case p.StartUnixMS > r.atUnixMS:
		// It says that it started after the report.
		return r.at, false, true
	default:
		return r.at + maxHeartbeatDelay, true, true
	}
}

// Outlived records that a process runs on after the report that covers it.
func (e *EndedProcesses) Outlived(p Process) {
	if r, ok := e.reports[p.ID]; ok {
		r.outlivedBy = p.StartUnixMS
		e.reports[p.ID] = r
	}
}

// Forget drops what is known of a process whose start is not known: a later one cannot be told from it.
func (e *EndedProcesses) Forget(p Process) { delete(e.exact, p) }

// maxDeparted bounds the number of processes and reports that are remembered. An address has few of
// them in a day.
const maxDeparted = 64

// evictOldest makes room for a key in a memory of at most maxDeparted entries: it drops the one with
// the earliest start.
func evictOldest[K comparable, V any](m map[K]V, key K, start func(V) int64) {
	if _, known := m[key]; known || len(m) < maxDeparted {
		return
	}
	var oldest K
	found := false
	for k, v := range m {
		if !found || start(v) < start(m[oldest]) {
			oldest, found = k, true
		}
	}
	delete(m, oldest)
}

// clockWindow is how long an earlier reading of the wall clock counts. A process whose first heartbeat
// is late has started within that time.
const clockWindow = 10 * time.Second

// latestReading is the latest reading of the wall clock within clockWindow. It exceeds the present one
// after the clock was set back: a process may have started at a time that the clock has yet to reach.
type latestReading struct {
	// since is the start of the current window.
	since             time.Duration
	current, previous int64
}

func (l *latestReading) observe(now time.Duration, unixMS int64) {
	if passed := now - l.since; passed >= clockWindow {
		l.previous = 0
		if passed < 2*clockWindow {
			l.previous = l.current
		}
		l.since, l.current = now, 0
	}
	l.current = max(l.current, unixMS)
}

func (l *latestReading) unixMS() int64 { return max(l.current, l.previous) }
