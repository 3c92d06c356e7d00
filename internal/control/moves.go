package control

import (
	"slices"
	"strings"
	"time"

	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// moveState is this node's state of a move of a service.
type moveState struct {
	move canary.Move
	// recorded is set once the store contains this state of the move.
	recorded bool
	analyzer *canary.Analyzer
	rates    routeRates
	// deadline is the end of the move on this node's steady clock, so that a step of the
	// clock does not change it.
	deadline time.Duration
	// ageUnknown is set if the order was among the first that the node has read: it may be old.
	ageUnknown bool
	// known is the summary of all nodes as of the last tick.
	known MoveSummary
	// cut is set while this node suspects the new version. It then sends no requests
	// to it, before the store holds a decision.
	cut       bool
	nextPhase canary.Phase
	// learnedAt is when this process learned of the move, mostTargets the greatest number of targets
	// of the new version since.
	learnedAt   time.Duration
	mostTargets int
	// reached holds the responses of the targets of the service that were counted since this
	// process learned of the move.
	reached map[reachedKey]reachedCounts
	// routeShares are the shares of single routes as of the last tick.
	routeShares map[string]float64
	// heldBy is why the move was not completed at the last tick.
	heldBy string
	// phaseSince is when this node learned the present phase.
	phaseSince time.Duration
	// nextPhaseSince and statusSince are the times at which a write became due.
	nextPhaseSince time.Duration
	statusSince    time.Duration
	pendingMove    canary.Move
}

func (c *Control) handleOrder(t Time, o canary.Order) {
	next := canary.NewMove(o, t.UnixMS)
	if m, ok := c.moves[o.Service]; ok {
		if !next.Later(m.move) {
			m.adoptPosition(o)
			return
		}
		next = m.move.Replace(o, t.UnixMS)
	}
	m := &moveState{move: next, analyzer: canary.NewAnalyzer(), nextPhaseSince: t.Now}
	m.deadline, m.ageUnknown = t.Now+o.Duration, !c.caughtUp[OperatorFeed]
	m.learnedAt = t.Now
	c.moves[o.Service] = m
	c.log("move_ordered", "service", o.Service, "version", o.Version, "number", next.Number,
		"era", o.Position.Era, "offset", o.Position.Offset, "duration_ms", o.Duration.Milliseconds())
	c.publishView(t)
}

// adoptPosition records where the order of the move stands in a later era of the store, so
// that the operator can give an equal order again there.
func (m *moveState) adoptPosition(o canary.Order) {
	if m.move.Same(o) && o.Position.Era > m.move.Position.Era {
		m.move.Position = o.Position
	}
}

func (c *Control) handleRecordedMove(t Time, m canary.Move) {
	if c.adoptMove(t, m) {
		if c.unreadableMoves[m.Service] {
			delete(c.unreadableMoves, m.Service)
			c.movesUnverified, c.verifySince = true, t.Now
		}
		c.log("move_phase", "service", m.Service, "version", m.Version, "phase", string(m.Phase), "revision", m.Revision)
		c.publishView(t)
		if c.large() && c.readerRank() == 0 {
			c.broadcast(t)
			return
		}
		c.confirmPhase(t, m)
	}
}

// confirmFanout is the number of nodes to which a phase is confirmed at once: the
// first ones in the order in which nodes write the next phase.
const confirmFanout = 2

// confirmPhase confirms the current phase to the nodes that will write the next one,
// which may require the confirmation of all nodes. Once all traffic is moved, a node
// beside the old version sends its counts to all nodes: nothing later can distinguish
// a fault of the new version from one that affects both.
func (c *Control) confirmPhase(t Time, m canary.Move) {
	if own := c.self.Target; !c.large() && m.Phase == canary.Shifted && own != nil && own.Service == m.Service && own.Version != m.Version {
		c.broadcast(t)
		return
	}
	var to []mesh.NodeID
	fanout := confirmFanout
	if c.large() {
		// All readers summarize the confirmations for the others.
		fanout = readerCount
	}
	for _, id := range c.moveWriters(t, moveKeyPrefix+m.Service) {
		if len(to) < fanout && id != c.self.Node {
			to = append(to, id)
		}
	}
	if len(to) > 0 {
		c.emit(SendState{To: to, State: c.State(t)})
	}
}

// adoptMove adopts a recorded state of a move unless it is outdated. It reports
// whether it did.
func (c *Control) adoptMove(t Time, m canary.Move) bool {
	if m.Service == "" || m.Version == "" {
		return false
	}
	s, ok := c.moves[m.Service]
	if ok && s.recorded && !m.Supersedes(s.move) {
		s.adoptPosition(m.Order)
		return false
	}
	if ok && !s.recorded && s.move.Later(m) {
		s.move = s.move.Follow(m)
		return false
	}
	switch {
	case !ok || m.Later(s.move):
		s = &moveState{analyzer: canary.NewAnalyzer(), learnedAt: t.Now}
		c.moves[m.Service] = s
	case s.move.Position.Era > m.Position.Era:
		m.Position = s.move.Position
	}
	if first := !s.recorded; first && (s.deadline == 0 || s.ageUnknown || !c.caughtUp[OperatorFeed]) {
		// The order may be old, as far as this node knows.
		s.deadline = t.Now + time.Duration(m.DeadlineUnixMS-t.UnixMS)*time.Millisecond
	}
	if s.move.Phase != m.Phase {
		s.phaseSince = t.Now
	}
	s.move, s.recorded = m, true
	return true
}

func (c *Control) moveOpen() bool {
	for _, m := range c.moves {
		if m.move.Open() {
			return true
		}
	}
	return false
}

// moveStatusDue reports whether a move is open or its status in the store is
// outdated.
func (c *Control) moveStatusDue() bool {
	for service, m := range c.moves {
		if m.move.Open() || c.statuses[service] != m.status() {
			return true
		}
	}
	return false
}

func (m *moveState) status() Status {
	return Status{Service: m.move.Service, Version: m.move.Version, State: statusOf(m.move.Phase)}
}

// addEndpoint adds an endpoint to the old or new targets of the service.
func (c *Control) addEndpoint(s *ServiceEndpoints, e balance.Endpoint) {
	m, ok := c.moves[e.Service]
	if ok && e.Version == m.move.Version {
		s.New = append(s.New, e)
		return
	}
	s.Old = append(s.Old, e)
}

// setNewShare sets the share of requests of the new version.
func (c *Control) setNewShare(service string, s *ServiceEndpoints, t Time) {
	m, ok := c.moves[service]
	if !ok {
		return
	}
	s.MoveOpen = m.move.Open()
	switch {
	case m.move.Phase == canary.Completed, !m.recorded && len(s.Old) == 0:
		if len(s.New) > 0 {
			s.Old = s.New
		}
		s.New, s.NewShare = nil, 0
	case !m.recorded:
		// The move may have been decided already. Send nothing to a version that may be
		// faulty.
		s.New, s.NewShare = nil, 0
	case m.stopped():
		s.New, s.NewShare = nil, 0
	case !c.followsTrial(t, m):
		// It may have been stopped elsewhere.
		s.New, s.NewShare = nil, 0
	default:
		if m.known.Number != m.move.Number {
			m.known = c.summaryOf(t, m.move)
		}
		s.NewShare = m.move.Share(m.known.PerSecond, t.Now-m.phaseSince)
		if m.move.Phase == canary.Observing {
			s.RouteShares = m.routeShares
		}
	}
}

// routes returns the traffic of each route of the service on which the versions can be compared, as far
// as its targets have counted it.
func (m *moveState) routes() map[string]canary.RouteTraffic {
	old, current := m.known.Old.Evidence, m.known.Current.Evidence
	all := float64(old.Total().Responses + current.Total().Responses)
	out := make(map[string]canary.RouteTraffic, len(old))
	for _, evidence := range []canary.Evidence{old, current} {
		for route, counts := range evidence {
			if !old[route].Comparable() {
				continue
			}
			traffic := out[route]
			traffic.Tried = current[route].Responses
			if perSecond, ok := m.rates.perSecond(route); ok {
				traffic.PerSecond = perSecond
			} else {
				traffic.PerSecond += m.known.PerSecond * float64(counts.Responses) / all
			}
			out[route] = traffic
		}
	}
	return out
}

// advanceMoves analyzes the evidence of each open move and emits the writes that are due.
func (c *Control) advanceMoves(t Time) {
	for service, m := range c.moves {
		if m.move.Open() {
			c.analyze(t, m)
		}
		c.recordNextPhase(t, service, m)
		c.writeStatus(t, service, m)
	}
	c.verifyMoves()
}

// updateSummary updates what is known of a move from all nodes.
func (c *Control) updateSummary(t Time, m *moveState) {
	before := m.known.Suspected && m.known.Number == m.move.Number
	m.known = c.summaryOf(t, m.move)
	if m.known.Suspected != before && c.large() && c.isReader() {
		// The others decide from the summary.
		c.broadcast(t)
	}
}

// adoptSuspicions stops the requests to the versions that another node suspects, without waiting
// for the next tick.
func (c *Control) adoptSuspicions(t Time, s PeerState) {
	for service := range s.Suspects {
		if m, ok := c.moves[service]; ok && m.move.Open() && !m.known.Suspected {
			c.updateSummary(t, m)
		}
	}
	for _, summary := range s.Summaries {
		if m, ok := c.moves[summary.Service]; ok && summary.Suspected && m.move.Open() && !m.known.Suspected {
			c.updateSummary(t, m)
		}
	}
}

func (c *Control) analyze(t Time, m *moveState) {
	c.updateSummary(t, m)
	known := m.known
	current, old := known.Current, known.Old
	m.rates.observe(t.Now, old.Evidence, current.Evidence)
	verdict, reason := m.analyzer.Observe(t.Now, current, old)
	total := current.Evidence.Total()
	if cut := verdict != canary.VerdictHealthy; cut != m.cut {
		m.cut = cut
		kind := "version_cut"
		if !cut {
			kind = "version_trusted_again"
		}
		c.log(kind, "service", m.move.Service, "version", m.move.Version, "reason", reason,
			"answers", total.Responses, "failed", total.Failed,
			"recent_failure_rate", current.Recent.FailureRate(), "old_recent_failure_rate", old.Recent.FailureRate())
		m.known.Suspected = m.known.Suspected || cut
		// The node beside a faulty target suspects it first.
		c.propagateChange(t)
	}
	routes := m.routes()
	m.routeShares = m.move.RouteShares(routes, m.known.PerSecond, m.deadline-t.Now, c.exposeLimits)
	s := canary.Snapshot{
		UnixMS: m.move.DeadlineUnixMS - (m.deadline - t.Now).Milliseconds(), Faulty: verdict == canary.VerdictFaulty,
		Suspected: verdict == canary.VerdictSuspected || known.Suspected, NewResponses: total.Responses,
		NewTargets: known.NewTargets, OldRequests: known.OldRequests,
		AcknowledgedByAll: known.AcknowledgedRevision >= m.move.Revision,
		Doubtful:          m.analyzer.Doubtful(), Untried: m.analyzer.Untried(routes), Uneven: m.analyzer.Uneven(), InPhase: t.Now - m.phaseSince,
	}
	if held := m.move.HeldBy(s); held != m.heldBy {
		m.heldBy = held
		c.log("move_held", "service", m.move.Service, "version", m.move.Version, "reason", held, "route", s.Untried, "left_ms", (m.deadline - t.Now).Milliseconds(),
			"answers", total.Responses, "failed", total.Failed, "old_requests", known.OldRequests, "acknowledged_revision", known.AcknowledgedRevision)
	}
	phase := m.move.Decide(s)
	if phase != m.nextPhase {
		m.nextPhase, m.nextPhaseSince = phase, t.Now
	}
}

const (
	moveKeyPrefix   = "move/"
	statusKeyPrefix = "status/"
)

// recordNextPhase writes the first state of a move or its next phase to the store, or the
// present one if the store was restored and lacks it.
func (c *Control) recordNextPhase(t Time, service string, m *moveState) {
	if !c.caughtUp[MoveFeed] || !c.caughtUp[OperatorFeed] || m.move.Number == 0 {
		return
	}
	next, since := m.move, m.nextPhaseSince
	switch {
	case !m.recorded:
	case m.nextPhase != "" && m.nextPhase != m.move.Phase && m.move.Open():
		next = m.move.Next(m.nextPhase)
	case c.movesUnverified && c.storedIsOutdated(m):
		since = max(since, c.verifySince)
	default:
		return
	}
	key := moveKeyPrefix + service
	if c.pendingWrites[key] || !c.mayWrite(t, key, since) {
		return
	}
	c.pendingWrites[key] = true
	m.pendingMove = next
	c.emit(RecordMove{Move: next})
}

// mayWrite reports whether this node's delay by rank has passed since a write became due.
func (c *Control) mayWrite(t Time, key string, since time.Duration) bool {
	rank := slices.Index(c.moveWriters(t, key), c.self.Node)
	return rank >= 0 && t.Now-since >= time.Duration(rank)*rankDelay
}

func (c *Control) moveWritten(t Time, key string) {
	if service, ok := strings.CutPrefix(key, moveKeyPrefix); ok {
		if m, ok := c.moves[service]; ok && m.pendingMove.Same(m.move.Order) {
			c.recordStored(m.pendingMove)
			c.handleRecordedMove(t, m.pendingMove)
		}
	}
}

// writeStatus writes the status of a move if the one in the store is outdated.
func (c *Control) writeStatus(t Time, service string, m *moveState) {
	rank := c.readerRank()
	if !m.recorded || !c.caughtUp[StatusFeed] || rank >= readerCount {
		return
	}
	want := m.status()
	if c.statuses[service] == want {
		m.statusSince = 0
		return
	}
	if m.statusSince == 0 {
		m.statusSince = t.Now
	}
	key := statusKeyPrefix + service
	if c.pendingWrites[key] || t.Now-m.statusSince < time.Duration(rank)*rankDelay {
		return
	}
	c.pendingWrites[key] = true
	c.emit(WriteStatus{Status: want})
}

func statusOf(p canary.Phase) StatusState {
	switch p {
	case canary.Completed:
		return StatusCompleted
	case canary.Reverted:
		return StatusReverted
	default:
		return StatusActive
	}
}
