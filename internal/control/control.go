package control

import (
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/crashes"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

const (
	// maxMessageDelay is how long a message between nodes may be on its way. States that arrive
	// out of order are told by their numbers within it.
	maxMessageDelay = 5 * time.Second
	// TickInterval is the time between two ticks. It bounds the delay of the analysis
	// of evidence during a move.
	TickInterval = canary.EvidenceInterval
	// announceRetry is the minimum time between two writes of the announcement.
	announceRetry = 500 * time.Millisecond
	// rankDelay is the additional delay per rank before a node writes a value that any
	// node may write. Usually only the first node writes, and its loss costs little time.
	rankDelay = 200 * time.Millisecond
)

// Options are the settings of a node.
type Options struct {
	Self directory.Announcement
	// Address and Service are those of the local target.
	Address   string
	Service   string
	Heartbeat time.Duration
	// ConfigDeadline is how long after its confirmation a configuration may take to be in
	// force, 0 for the default.
	ConfigDeadline time.Duration
	// ExposeLimits are the limits of what a version on trial gets, zero for the default.
	ExposeLimits canary.Limits
	// Seed determines the node with which gossip starts.
	Seed uint64
}

// Control is the state machine of a node. It is not safe for concurrent use.
type Control struct {
	self      directory.Announcement
	announced directory.Announcement
	// announcedRead is set once the node has read its announcement since the last read of the
	// mesh feed.
	announcedRead bool
	// writing is the announcement that is being written.
	writing    directory.Announcement
	former     formerProcess
	departures departures
	// stopped holds what the records of other nodes that stopped are kept for.
	stopped     map[mesh.NodeID]stoppedRecord
	nextRemoval time.Duration
	local       directory.LocalTarget
	dir         *directory.Directory
	config      *published.Config
	moves       map[string]*moveState
	statuses    map[string]Status
	// summaries holds the newest summary of each open move that a reader sent.
	summaries map[string]receivedSummary
	peers     map[mesh.NodeID]PeerState
	caughtUp  [FeedCount]bool
	load      LoadMeasured
	evidence  canary.Evidence
	// recent holds the recent responses of the local target, sinceTick those since the
	// last tick.
	recent    canary.RecentCounts
	sinceTick canary.Counts
	crashes   *crashes.Table
	// crashesWrittenAt is the time of the last write of the announcement, ownCrashesRead the evidence in
	// this node's record that was read last.
	crashesWrittenAt time.Duration
	ownCrashesRead   crashes.Evidence
	// crashNumber is the number of crashes of the local target that this process has seen.
	crashNumber uint64
	signals     *directory.SignalTable
	meshSize    meshSize
	stopping    bool
	closing     bool
	// withdrawn is set once the announcement of a stopping node was deleted.
	withdrawn    bool
	exposeLimits canary.Limits
	// configDeadline is how long a configuration may take to be in force.
	configDeadline time.Duration
	storeLost      bool
	// storeEra is the era of the store, 0 if it names none. storeEraKnown is set once the store
	// was read.
	storeEra      uint64
	storeEraKnown bool
	// storedMoves holds the states of moves that this node has read or written in this era of the
	// store. movesUnverified is set after a restoration until the store has all moves again,
	// verifySince is when the node had read them.
	storedMoves     map[string]canary.Move
	movesUnverified bool
	verifySince     time.Duration
	// announcementsToRelay holds announcements that this reader received and that other
	// nodes may not know.
	announcementsToRelay []directory.Announcement
	// readers are the nodes that read the store for the whole mesh, as of the last tick.
	readers []mesh.NodeID
	// readerSince is when this node first selected each of them.
	readerSince map[mesh.NodeID]time.Duration
	// unresponsiveReaders holds readers that sent nothing for aliveTimeout, until their
	// next message.
	unresponsiveReaders map[mesh.NodeID]bool
	// expired holds the nodes that were removed from the directory, in the order in which they
	// are probed.
	expired          []expiredNode
	nextExpiredProbe time.Duration
	// nextReader selects the reader that gets the next gossip message, round robin.
	nextReader int
	// gossipRound counts the rounds of gossip.
	gossipRound  uint64
	gossipCursor uint64
	stateNumber  uint64

	// fresh is what the node knows of how recent its configuration is.
	fresh freshness
	fetch configFetch

	// zones is what the node knows of the orders for zones.
	zones zoneOrders
	// returned holds the targets of other nodes that are presumed cold.
	returned map[mesh.NodeID]returnedTarget
	closed   closedConnections
	// coldLogged is set while the local target is cold.
	coldLogged bool

	// unreadableMoves holds the services whose move in the store cannot be read and is not known.
	unreadableMoves map[string]bool

	nextGossip, nextAnnounce, nextContradict time.Duration
	pendingWrites                            map[string]bool

	// published is the last view.
	published *View

	effects []Effect
}

// New returns the initial state of a node.
func New(o Options) *Control {
	if o.ConfigDeadline == 0 {
		o.ConfigDeadline = defaultConfigDeadline
	}
	if o.ExposeLimits == (canary.Limits{}) {
		o.ExposeLimits = canary.DefaultLimits
	}
	return &Control{
		exposeLimits: o.ExposeLimits,
		self:         o.Self, configDeadline: o.ConfigDeadline, published: &View{},
		local: directory.LocalTarget{Address: o.Address, Service: o.Service, Interval: o.Heartbeat},
		dir:   directory.New(), moves: map[string]*moveState{}, statuses: map[string]Status{}, storedMoves: map[string]canary.Move{}, summaries: map[string]receivedSummary{},
		peers: map[mesh.NodeID]PeerState{}, evidence: canary.Evidence{}, gossipCursor: o.Seed,
		fresh: freshness{readAsOf: never, toldAsOf: never}, fetch: configFetch{holders: map[mesh.NodeID]published.Version{}}, unreadableMoves: map[string]bool{}, pendingWrites: map[string]bool{}, crashes: crashes.NewTable(), signals: directory.NewSignalTable(), unresponsiveReaders: map[mesh.NodeID]bool{},
		zones:  newZoneOrders(),
		former: formerProcess{answered: map[mesh.NodeID]bool{}, asked: map[mesh.NodeID]bool{}, awaited: map[mesh.NodeID]bool{}}, stopped: map[mesh.NodeID]stoppedRecord{},
	}
}

// Step processes an event and returns the resulting effects.
func (c *Control) Step(t Time, e Event) []Effect {
	c.effects = nil
	switch e := e.(type) {
	case Tick:
		c.handleTick(t)
	case HeartbeatReceived:
		c.handleHeartbeat(t, e.Heartbeat)
	case TargetLeaving:
		if c.local.MarkLeaving(e.ID, t.Now, t.UnixMS) {
			c.log("target_left", "target", e.ID)
		}
		c.keepDeparture(t, c.local.LeftProcess(e.ID), "delete")
		c.refreshAnnouncement(t)
	case TargetUnreachable:
		c.local.MarkUnreachable(t.Now)
		c.closed.suspected = directory.Process{}
		c.presumeCold(t, true, "unreachable")
		c.refreshAnnouncement(t)
	case TargetConnectionsClosed:
		c.handleClosedConnections(t)
	case TargetHealth:
		c.handleHealth(t, e)
	case TargetResponded:
		c.countResponse(e)
	case TargetSignaled:
		c.handleSignals(t, e)
	case TargetCrashed:
		c.recordCrash(t, e.Requests)
	case RequestCompleted:
		c.recordCompletion(t, e.Identity)
	case RequestAsked:
		c.crashes.Asked(t.Now, e.Identity)
	case ConfigPublished:
		c.applyConfig(t, e)
	case AnnouncementRead:
		e.Announcement = c.takeCrashes(t, e.Announcement)
		if a := e.Announcement; a.Node == c.self.Node && a.StartUnixMS == c.self.StartUnixMS {
			c.announced, c.announcedRead = a, true
			c.announced.Crashes = c.ownCrashesRead
			c.setKept(a.Sequence, "store")
		} else if a.Node == c.self.Node {
			// A write of a former process took effect late.
			c.announced = directory.Announcement{}
		}
		if c.updateDirectory(e.Announcement, t) {
			if c.caughtUp[MeshFeed] && c.isReader() {
				c.announcementsToRelay = append(c.announcementsToRelay, e.Announcement)
			}
			c.publishView(t)
		}
	case ZoneEvacuated:
		c.handleZoneRecord(t, ZoneOrder{Zone: e.Zone, Evacuated: true, Position: e.Position})
	case ZoneReturned:
		c.handleZoneRecord(t, ZoneOrder{Zone: e.Zone, Position: e.Position})
	case ZoneOrderUnreadable:
		c.handleUnreadableZone(e)
	case MoveOrdered:
		c.handleOrder(t, e.Order)
	case MoveRecorded:
		c.recordStored(e.Move)
		c.handleRecordedMove(t, e.Move)
	case RecordLost:
		c.handleLostRecord(t, e)
	case StatusRead:
		c.statuses[e.Status.Service] = e.Status
	case FeedRead:
		c.handleFeedRead(t, e)
	case ConfigChecked:
		c.handleConfigChecked(t, e)
	case FeedCaughtUp:
		if e.Feed == MoveFeed {
			c.verifySince = t.Now
		}
		first := !c.caughtUp[e.Feed]
		c.caughtUp[e.Feed] = true
		if first && e.Feed == MeshFeed {
			c.meshCaughtUp(t)
		}
		if e.Feed == OperatorFeed {
			c.learnZoneOrders(t, "store")
		}
	case StoreEraSeen:
		c.handleStoreEra(t, e)
	case StoreAvailability:
		c.handleStoreAvailability(t, e.Available)
	case PeerStateReceived:
		c.handlePeerState(t, e)
	case LoadMeasured:
		c.load = e
	case WriteCompleted:
		c.handleWriteCompleted(t, e)
	case Stopping:
		c.stopping = true
		c.refreshAnnouncement(t)
	case Closing:
		c.closing = true
		c.refreshAnnouncement(t)
	}
	c.checkFormer(t)
	c.awaitZoneOrders(t)
	c.logCold(t)
	return c.effects
}

func (c *Control) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Control) log(kind string, fields ...any) { c.emit(LogEvent{Kind: kind, Fields: fields}) }

func (c *Control) handleHeartbeat(t Time, h directory.Heartbeat) {
	before := c.self.Target
	accepted := c.local.HandleHeartbeat(h, t.Now, t.UnixMS)
	if p, ok := c.local.ProcessOf(h, t.UnixMS); ok && h.Draining {
		if !accepted {
			c.local.MarkDeparted(p, t.Now)
		}
		c.keepDeparture(t, p, "draining")
	}
	if !accepted {
		if c.departures.changed {
			c.refreshAnnouncement(t)
		}
		c.log("heartbeat_ignored", "target", h.ID, "target_start", h.StartUnixMS, "sequence", h.Sequence, "draining", h.Draining)
		c.probeReturning()
		return
	}
	c.targetAccepted(t, before, h)
}

// targetAccepted handles the state of the local target after a heartbeat was accepted. before is the
// announced state until then.
func (c *Control) targetAccepted(t Time, before *directory.Target, h directory.Heartbeat) {
	c.logWait(h.ID)
	c.checkSuspected(t)
	c.refreshAnnouncement(t)
	after := c.self.Target
	if before == nil || after == nil || before.ID != after.ID || before.Serving != after.Serving {
		c.log("target_state", "target", h.ID, "target_start", h.StartUnixMS, "service", h.Service, "version", h.Version, "draining", h.Draining)
		if before == nil || after == nil || before.ID != after.ID {
			// The counts belong to the previous target.
			c.evidence, c.recent, c.sinceTick = canary.Evidence{}, canary.RecentCounts{}, canary.Counts{}
		}
	}
}

func (c *Control) countResponse(e TargetResponded) {
	if e.CallFailed {
		// Counted for the old version, these failures would hide those of the new one.
		return
	}
	if len(c.evidence) > maxEvidenceRoutes {
		c.evidence = canary.Evidence{}
	}
	counts := canary.Counts{Responses: 1}
	if e.Failed {
		counts.Failed = 1
	} else if !e.Cold {
		counts = canary.Latency(e.Latency)
	}
	c.evidence[e.Route] = c.evidence[e.Route].Add(counts)
	c.sinceTick = c.sinceTick.Add(counts)
}

// handleSignals processes what a target said about itself. A target that is shutting down
// gets no more requests through this node, even if the node beside it has restarted and
// forgotten that it leaves.
func (c *Control) handleSignals(t Time, e TargetSignaled) {
	if !c.signals.Update(e.Target, e.Signals) {
		return
	}
	if e.Signals.Leaving && c.local.MarkSignaled(e.Target, t.Now, t.UnixMS) {
		c.log("target_left", "target", e.Target.ID)
		c.keepDeparture(t, c.local.LeftProcess(e.Target.ID), "signal")
		c.refreshAnnouncement(t)
	}
	c.publishView(t)
}

// maxEvidenceRoutes bounds the memory used by the evidence. A target has few routes.
const maxEvidenceRoutes = 256

func (c *Control) applyConfig(t Time, e ConfigPublished) {
	config := e.Config
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	fields := []any{"version", uint64(config.Version), "routes", len(config.Routes), "source", "store"}
	if e.From != "" {
		fields[len(fields)-1] = string(e.From)
	}
	if c.behind() {
		fields = append(fields, "behind_ms", (t.Now - c.fetch.missingSince).Milliseconds())
	}
	c.config = config
	c.fetch.configApplied(config.Version)
	c.adoptPendingClaim()
	c.log("config_in_force", fields...)
	c.refreshAnnouncement(t)
	c.publishView(t)
	if c.isReader() && c.large() {
		c.broadcast(t)
	}
}

func (c *Control) updateDirectory(a directory.Announcement, t Time) bool {
	if a.Node == c.self.Node {
		c.adoptFormer(t, a)
		c.supersedeFormer(t, a)
		return false
	}
	if a.CallAddress == c.self.CallAddress {
		return false
	}
	c.dir.RecordDepartures(a, t.UnixMS)
	return c.dir.Update(a, t.Now)
}

// supersedeFormer makes the announcement of this process newer than that of a former one.
// The clock may have been set back between them, and other nodes would ignore this process.
func (c *Control) supersedeFormer(t Time, former directory.Announcement) {
	if former.StartUnixMS < c.self.StartUnixMS || former.StartUnixMS == c.self.StartUnixMS && former.Sequence <= c.self.Sequence {
		return
	}
	c.log("clock_behind_former_process", "start", c.self.StartUnixMS, "former_start", former.StartUnixMS)
	c.self.StartUnixMS = former.StartUnixMS + 1
	c.announced = directory.Announcement{}
	c.self.Sequence++
	c.propagateChange(t)
	c.writeAnnouncement(t)
}

// refreshAnnouncement updates the node's own announcement and propagates a change.
func (c *Control) refreshAnnouncement(t Time) {
	target := c.local.Target(t.Now, t.UnixMS)
	if target != nil && (c.closing || !c.former.known || !c.zones.known || c.coldRateUnknown(t)) {
		target.Serving = false
	}
	if sameTarget(target, c.self.Target) && c.self.Leaving == c.stopping && c.self.Stopped == c.closing && !c.departures.changed && c.self.Sequence > 0 &&
		!c.coldChanged(t, target) {
		return
	}
	c.self.Target, c.departures.changed = target, false
	c.self.Leaving, c.self.Stopped = c.stopping, c.closing
	c.self.Sequence++
	c.nextAnnounce = 0
	c.publishView(t)
	c.propagateChange(t)
	c.writeAnnouncement(t)
}

// sameTarget compares the fields that affect other nodes. It ignores the end of the
// cold start, which varies by milliseconds with each heartbeat.
func sameTarget(a, b *directory.Target) bool {
	if a == nil || b == nil {
		return a == b
	}
	x, y := *a, *b
	x.ColdUntilUnixMS, y.ColdUntilUnixMS = 0, 0
	return x == y
}

const (
	announceKey = "announcement"
	// announceDelay is how long a starting node waits for its target before it announces
	// itself without one, which saves a second write. Targets send their first heartbeat
	// within a second.
	announceDelay = time.Second
)

// writeAnnouncement writes the announcement to the store after the start of the node, after
// a change of its target's identity, and when its target leaves. Other changes are sent between nodes:
// the store only serves discovery, and each write to it is read by all.
func (c *Control) writeAnnouncement(t Time) {
	// A node first reads what its former process announced. Its writes are in order: none is begun
	// before the one before it has ended.
	if !c.caughtUp[MeshFeed] || c.pendingWrites[announceKey] || t.Now < c.nextAnnounce {
		return
	}
	record := c.withCrashes(t, c.self)
	withdraws := c.closing && len(directory.MergeDepartures(c.self.Departed, nil, t.UnixMS)) == 0 && !record.Crashes.Unrefuted()
	switch {
	case withdraws && c.withdrawn, !withdraws && sameRecord(c.announced, c.self) && !c.crashWriteDue(t, record.Crashes):
		return
	case withdraws:
		c.writing = directory.Announcement{}
		c.emit(WithdrawAnnouncement{})
	case c.self.Target == nil && t.Now < announceDelay && len(c.self.Departed) == 0 && len(record.Crashes.Requests) == 0:
		return
	default:
		c.writing = record
		c.emit(WriteAnnouncement{Announcement: record})
	}
	c.pendingWrites[announceKey] = true
	c.nextAnnounce = t.Now + announceRetry
}

// sameRecord reports whether the announcement in the store need not be replaced by another one.
func sameRecord(stored, a directory.Announcement) bool {
	return stored.Sequence > 0 && targetID(stored) == targetID(a) && targetLeaving(stored) == targetLeaving(a) && stored.Stopped == a.Stopped &&
		slices.Equal(stored.Departed, a.Departed)
}

func targetID(a directory.Announcement) string {
	if a.Target == nil {
		return ""
	}
	return a.Target.ID
}

func targetLeaving(a directory.Announcement) bool { return a.Target != nil && a.Target.Leaving }

func (c *Control) handleWriteCompleted(t Time, e WriteCompleted) {
	delete(c.pendingWrites, e.Key)
	if e.Key == announceKey {
		if e.OK {
			c.announced, c.withdrawn = c.writing, c.writing.Node == ""
			c.crashesWrittenAt = t.Now
			c.setKept(c.writing.Sequence, "store")
			if c.withdrawn {
				c.log("announcement_withdrawn", "process", c.self.StartUnixMS)
			}
		}
		c.writeAnnouncement(t)
		return
	}
	if e.OK {
		c.moveWritten(t, e.Key)
	}
}

func (c *Control) handlePeerState(t Time, e PeerStateReceived) {
	s := e.State
	a := s.Announcement
	if err := s.validate(t); err != nil {
		c.log("peer_state_refused", "peer", string(a.Node), "error", err.Error())
		return
	}
	if a.Node == c.self.Node {
		return
	}
	if s.Receiver != nil {
		c.receiverKnowledge(t, a, *s.Receiver)
		s.Receiver = nil
	}
	c.dir.RecordDepartures(a, t.UnixMS)
	s.receivedAt = t.Now
	if last, ok := c.peers[a.Node]; ok && last.Announcement.StartUnixMS == a.StartUnixMS && s.Number < last.Number && t.Now-last.receivedAt < maxMessageDelay {
		c.dir.MarkAlive(a.Node, t.Now)
		return
	}
	changed := c.dir.UpdateFromNode(a, t.Now)
	c.contradict(t, a)
	if changed && c.large() && c.isReader() {
		c.announcementsToRelay = append(c.announcementsToRelay, a)
	}
	changed = c.adoptCrashes(t, s) || changed
	delete(c.unresponsiveReaders, a.Node)
	c.adoptPeerEra(t, s)
	if known, ok := c.dir.Get(a.Node); ok && known.StartUnixMS == a.StartUnixMS {
		c.dir.MarkAlive(a.Node, t.Now)
		c.peers[a.Node] = s
	}
	for _, o := range s.Others {
		if c.updateDirectory(o, t) {
			changed = true
		}
	}
	for _, m := range s.Moves {
		c.handleRecordedMove(t, m)
	}
	c.adoptMeshSize(t, s)
	ordersChanged := c.adoptPeerOrders(t, s)
	c.adoptSummaries(t, s.Summaries)
	c.adoptSuspicions(t, s)
	if ordersChanged {
		c.zoneOrdersChanged(t)
	}
	if changed || len(s.Suspects) > 0 || len(s.Summaries) > 0 {
		c.publishView(t)
	}
	if e.RoundTrip > 0 {
		c.adoptClaim(t, s.freshness(), e.RoundTrip)
		if slices.Contains(c.readers, a.Node) && c.provesRecent(s.freshness(), e.RoundTrip) {
			c.fresh.check.provedAt = t.Now
		}
	}
	c.fetchMissingConfig(t, s.Config, a)
}

func (c *Control) configVersion() published.Version {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

func (c *Control) handleTick(t Time) {
	c.recent, c.sinceTick = c.recent.Update(c.sinceTick), canary.Counts{}
	c.refreshAnnouncement(t)
	c.writeAnnouncement(t)
	c.expireDepartures(t)
	c.expireNodes(t)
	c.observeMeshSize(t)
	c.crashes.Expire(t.Now)
	c.chooseReaders(t)
	c.removeStopped(t)
	c.checkFreshness(t)
	c.retryMissingConfig(t)
	c.advanceMoves(t)
	if t.Now >= c.nextGossip {
		c.nextGossip = t.Now + gossipInterval
		switch {
		case c.moveShifted(t):
			c.nextGossip = t.Now + shiftedGossipInterval
		case c.moveOpen():
			c.nextGossip = t.Now + moveGossipInterval
		}
		c.gossip(t)
	}
	c.publishView(t)
}

// State returns the state that the node sends to its peers.
func (c *Control) State(t Time) PeerState {
	c.stateNumber++
	s := PeerState{
		Number: c.stateNumber, ZoneOrders: c.zones.list(), OrdersUnknown: !c.zones.known,
		Announcement: c.self, Config: c.configVersion(), Running: c.load.Running, Waiting: c.load.Waiting,
		Asks: c.asks(), Starting: c.startsWithoutStore(t), CrashEvidence: c.crashEvidence(t), StoreLost: c.storeLost, StoreEra: c.storeEra, ConfigAgeMS: c.configAgeMS(t), ConfigPosition: c.fresh.position,
	}
	s.Crashes = crashRecords(s.CrashEvidence)
	if c.large() && c.isReader() {
		for _, a := range c.dir.All() {
			if c.dir.SinceLastMessage(a.Node, t.Now) > aliveTimeout {
				s.Unresponsive = append(s.Unresponsive, a.Node)
			}
		}
	}
	s.MeshSize, s.MeshSizeAgeMS = c.reportedMeshSize(t)
	s.Summaries, s.Suspects = c.ownSummaries(), c.suspects()
	for service, m := range c.moves {
		if m.recorded {
			s.Moves = append(s.Moves, m.move)
		}
		if s.PerSecond == nil {
			s.PerSecond = map[string]float64{}
		}
		s.PerSecond[service] = c.load.PerSecond[service]
		if c.self.Target != nil && c.self.Target.Service == service {
			s.Evidence = maps.Clone(c.evidence)
			s.Recent = c.recent.Update(c.sinceTick)
		}
	}
	return s
}

// Config returns the configuration in force, or nil.
func (c *Control) Config() *published.Config { return c.config }

// CaughtUp reports whether a feed has been read to its end.
func (c *Control) CaughtUp(f Feed) bool { return c.caughtUp[f] }

// Announcements returns the announcements of all known nodes.
func (c *Control) Announcements() []directory.Announcement { return c.dir.All() }

// SinceLastMessage returns the time since the last message of another node.
func (c *Control) SinceLastMessage(t Time, node mesh.NodeID) time.Duration {
	return c.dir.SinceLastMessage(node, t.Now)
}

func (c *Control) publishView(t Time) {
	suspects, refused := c.crashingRequests(t)
	v := &View{
		Config: c.config, Target: c.self.Target, Stopping: c.stopping, StoreEra: c.storeEra, CrashingRequests: refused, CrashSuspects: suspects,
		Reader: c.isReader(), ConfigPollWait: c.pollWait(), VouchesForConfig: c.large() && c.isReader(), ReadsOperatorFeed: c.readsOperatorFeed(t), FollowsMoves: c.followsMoves(t), StatusDue: c.moveStatusDue(),
		Evacuated: c.zones.inForce(), TargetStopped: c.targetStopped(), Trial: c.trial(t),
		Signals: c.signals.All(), Endpoints: map[string]*ServiceEndpoints{}, Announcements: map[mesh.NodeID]directory.Announcement{},
	}
	if own := c.self.Target; own != nil {
		v.TargetColdRate, v.TargetColdUntil = c.service(own.Service).ColdRate, c.local.ColdUntil(t.Now)
	}
	for _, a := range append(c.dir.All(), c.self) {
		v.Announcements[a.Node] = a
		if c.zones.evacuated(a.Zone) || a.Target == nil || !a.Target.Serving || c.signals.Of(a.Target.Process()).Leaving {
			continue
		}
		e := balance.Endpoint{
			Node: a.Node, Zone: a.Zone, Service: a.Target.Service, Version: a.Target.Version,
			Target: a.Target.ID, StartUnixMS: a.Target.StartUnixMS, Slots: a.Target.Slots, Cold: a.Target.ColdUntilUnixMS > t.UnixMS,
		}
		if a.Node != c.self.Node {
			e.LinkMbps = a.LinkMbps
		}
		if e.ColdRate = c.coldRate(t, a); e.ColdRate > 0 {
			e.Cold = e.Cold || c.coldUntil(t, a) > t.Now
		}
		e.Leaving = a.Leaving && a.Node != c.self.Node
		e.Unresponsive = a.Node != c.self.Node && c.unresponsive(a.Node, t)
		s, ok := v.Endpoints[e.Service]
		if !ok {
			s = &ServiceEndpoints{}
			v.Endpoints[e.Service] = s
		}
		c.addEndpoint(s, e)
	}
	for service, s := range v.Endpoints {
		c.setNewShare(service, s, t)
	}
	c.addMeshSize(v, t)
	c.published = v
	c.emit(PublishView{View: v})
}
