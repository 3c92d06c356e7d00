package control

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/quota"
)

// Limits of the numbers in a message of another node.
const (
	maxReportedRequests = 1 << 20
	maxReportedRate     = 1e7
	maxReportedCount    = 1 << 40
	maxReportedMS       = 1e15
	maxReportedLogs     = 1 << 60
)

// validate reports what makes a message one that no node sends. It drops parts that are invalid on
// their own, such as the announcement of another node that the sender read from the store.
func (s *PeerState) validate(t Time) error {
	if err := s.Announcement.Validate(t.UnixMS); err != nil {
		return err
	}
	if !inRange(s.Running, maxReportedRequests) || !inRange(s.Waiting, maxReportedRequests) {
		return errors.Newf("%d running and %d waiting requests", s.Running, s.Waiting)
	}
	if !inRange(s.MeshSize, maxMeshSize) || s.MeshSizeAgeMS < 0 || s.MeshSizeAgeMS > quota.SizeRetention.Milliseconds() {
		return errors.Newf("%d nodes, observed %d ms ago", s.MeshSize, s.MeshSizeAgeMS)
	}
	if err := s.CrashEvidence.Validate(); err != nil {
		return err
	}
	if len(s.Crashes) > maxCrashRecords {
		return errors.Newf("%d crashing requests", len(s.Crashes))
	}
	for _, r := range s.Crashes {
		if err := r.validate(); err != nil {
			return err
		}
	}
	for service, rate := range s.PerSecond {
		if !(rate >= 0 && rate <= maxReportedRate) {
			return errors.Newf("a rate of %g for service %q", rate, service)
		}
	}
	if !validEvidence(s.Evidence, s.Recent) {
		return errors.New("the evidence is out of range")
	}
	s.Others = slices.DeleteFunc(s.Others, func(a directory.Announcement) bool { return a.Validate(t.UnixMS) != nil })
	if s.Receiver != nil && directory.ValidateDepartures(s.Receiver.Departed, t.UnixMS) != nil {
		s.Receiver = nil
	}
	s.ZoneOrders = slices.DeleteFunc(s.ZoneOrders, func(o ZoneOrder) bool { return !o.valid() })
	s.Moves = slices.DeleteFunc(s.Moves, func(m canary.Move) bool { return m.Validate(t.UnixMS) != nil })
	s.Summaries = slices.DeleteFunc(s.Summaries, func(m MoveSummary) bool { return !m.valid() })
	return nil
}

func inRange(n, limit int) bool { return n >= 0 && n <= limit }

func validEvidence(e canary.Evidence, r canary.RecentCounts) bool {
	if len(e) > maxEvidenceRoutes+1 || !r.Valid() {
		return false
	}
	for _, counts := range e {
		if !validCounts(counts) {
			return false
		}
	}
	return true
}

func validCounts(c canary.Counts) bool {
	return inRange(c.Responses, maxReportedCount) && inRange(c.Failed, c.Responses) && inRange(c.LatencyCount, c.Responses) &&
		c.LatencySumMS >= 0 && c.LatencySumMS <= maxReportedMS && inRange(c.LogCount, c.LatencyCount) &&
		c.LogSum >= 0 && c.LogSum <= maxReportedLogs && c.LogSquares >= 0 && c.LogSquares <= maxReportedLogs
}

func (s MoveSummary) valid() bool {
	return s.Service != "" && s.PerSecond >= 0 && s.PerSecond <= maxReportedRate && inRange(s.NewTargets, maxReportedRequests) &&
		inRange(s.OldRequests, maxReportedRequests) && inRange(s.Reached, maxReportedCount) && s.AcknowledgedRevision >= 0 &&
		validEvidence(s.Current.Evidence, s.Current.Recent) && validEvidence(s.Old.Evidence, s.Old.Recent) &&
		validSpreads(s.Current.Spreads) && validSpreads(s.Old.Spreads)
}

func validSpreads(spreads map[string]canary.Spreads) bool {
	if len(spreads) > maxEvidenceRoutes+1 {
		return false
	}
	for _, s := range spreads {
		if !s.Valid() {
			return false
		}
	}
	return true
}

// contradictInterval is the minimum time between two messages that tell a node what others say of
// it.
const contradictInterval = time.Second

// contradict tells a node that others have a newer announcement of it than it sends. If it did not
// write that one, it announces itself as newer.
func (c *Control) contradict(t Time, sent directory.Announcement) {
	known, ok := c.dir.Get(sent.Node)
	if !ok || t.Now < c.nextContradict || !known.Supersedes(sent) {
		return
	}
	c.nextContradict = t.Now + contradictInterval
	state := c.State(t)
	state.Others = []directory.Announcement{known}
	// The address may be wrong in what is known.
	c.emit(ContradictState{To: sent, State: state})
}

// handleLostRecord writes again what the nodes know of a record that is lost. A process may find
// that its announcement was deleted by the withdrawal of its former process, which took effect late.
func (c *Control) handleLostRecord(t Time, e RecordLost) {
	switch e.Feed {
	case MeshFeed:
		delete(c.stopped, mesh.NodeID(e.Name))
		c.rewriteAnnouncement(t, e.Name)
	case MoveFeed:
		delete(c.storedMoves, e.Name)
		c.movesUnverified, c.verifySince = true, t.Now
		if _, known := c.moves[e.Name]; !known {
			c.unreadableMoves[e.Name] = true
		}
	case StatusFeed:
		delete(c.statuses, e.Name)
	}
	c.publishView(t)
}

// rewriteAnnouncement writes the announcement of a node again. In a small mesh each node reads and
// writes its own. In a large one the first reader does it for those that do not read.
func (c *Control) rewriteAnnouncement(t Time, name string) {
	if name == string(c.self.Node) {
		if !c.withdrawn {
			c.announced = directory.Announcement{}
		}
		return
	}
	for _, a := range c.dir.All() {
		if string(a.Node) == name && !a.Leaving && c.large() && c.readerRank() == 0 {
			c.emit(RewriteAnnouncement{Announcement: c.withCrashes(t, a)})
		}
	}
}
