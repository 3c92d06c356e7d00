package control

import (
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

const (
	// TickInterval is the time between two ticks. It bounds how late evidence is
	// looked at during a move.
	TickInterval = canary.EvidenceInterval
	// gossipFanout is how many nodes get the state of a node in a round, and
	// gossipPart the part of the mesh where that is more. Each exchange goes both
	// ways, so that in a small mesh two nodes hear of each other every 3 s.
	gossipFanout = 4
	gossipPart   = 10
	// calmFanout is that of a large mesh without a move, beside a reader. Bytes between
	// zones are paid for, and rounds to a tenth of 78 nodes were about half of them.
	calmFanout = 2
	// gossipInterval is the time between two rounds.
	gossipInterval = time.Second
	// moveGossipInterval is the interval while a move is open: a bad version must be out
	// 5 s after its fiftieth bad answer.
	moveGossipInterval = 500 * time.Millisecond
	// announceRetry is the time between two writes of the announcement.
	announceRetry = 500 * time.Millisecond
	// fetchAfter is how long a node that reads the store waits for a configuration
	// that another node has, and how long others wait for the copy of another node
	// until they read the store. A configuration takes a tenth of a second on a slow link.
	fetchAfter = 900 * time.Millisecond
	// fetchInterval bounds the requests for a newer configuration.
	fetchInterval = time.Second
	// rankDelay is how much later each further node in the order writes what any
	// node may write, so that one write is usual and the loss of a node costs little.
	rankDelay = 200 * time.Millisecond
	// aliveWithin is how long ago a node was heard of to count as alive: over one
	// round through the mesh.
	aliveWithin = 6 * time.Second
	// unmetWithin is that time for a node of a large mesh that hears of no reader: two
	// nodes meet in calmFanout rounds of all others.
	unmetWithin = 30 * time.Second
)

// Options are what the settings say of a node.
type Options struct {
	Self directory.Announcement
	// Address and Service are those of the local target.
	Address   string
	Service   string
	Heartbeat time.Duration
	// Seed orders the rounds of gossip.
	Seed uint64
}

// Control is the state of a node. It is not safe for concurrent use.
type Control struct {
	self      directory.Announcement
	announced directory.Announcement
	local     directory.Local
	dir       *directory.Directory
	config    *published.Config
	moves     map[string]*moveState
	statuses  map[string]Status
	peers     map[mesh.NodeID]PeerState
	current   [feedCount]bool
	load      LoadCounted
	evidence  canary.Evidence
	// recent are the newest answers of the local target, lately those since the last tick.
	recent    canary.Recent
	lately    canary.Counts
	crashes   map[uint64]crash
	stopping  bool
	closing   bool
	storeLost bool
	// news are announcements that reached this reader and that the others may not know.
	news []directory.Announcement
	// readers are the nodes that follow the store for all, as of the last tick.
	readers []mesh.NodeID
	// unanswered are readers that did not answer for aliveWithin, until they are heard.
	unanswered map[mesh.NodeID]bool
	// readerTurn picks the reader that this node asks next.
	readerTurn int
	rounds     uint64
	states     uint64

	// behind is the oldest version that other nodes were found to have and this one
	// lacks, and behindSince when that was.
	behind      published.Version
	behindSince time.Duration

	nextGossip, nextAnnounce, nextFetch time.Duration
	writing                             map[string]bool

	effects []Effect
}

// New returns the state of a node that knows nothing yet.
func New(o Options) *Control {
	return &Control{
		self:  o.Self,
		local: directory.Local{Address: o.Address, Service: o.Service, Interval: o.Heartbeat},
		dir:   directory.New(), moves: map[string]*moveState{}, statuses: map[string]Status{},
		peers: map[mesh.NodeID]PeerState{}, evidence: canary.Evidence{}, rounds: o.Seed,
		writing: map[string]bool{}, crashes: map[uint64]crash{}, unanswered: map[mesh.NodeID]bool{},
	}
}

// Step takes an event and returns the effects.
func (c *Control) Step(t Time, e Event) []Effect {
	c.effects = nil
	switch e := e.(type) {
	case Tick:
		c.tick(t)
	case HeartbeatReceived:
		c.heartbeat(t, e.Heartbeat)
	case TargetLeft:
		if c.local.Leave(e.ID, t.UnixMS) {
			c.note("target_left", "target", e.ID)
		}
		c.refresh(t)
	case TargetBroken:
		c.local.Broken(t.Now)
		c.refresh(t)
	case TargetAnswered:
		c.answered(e)
	case TargetCrashed:
		c.crashed(t, e.Requests)
	case ConfigPublished:
		c.publish(t, e.Config)
	case Announced:
		if c.learn(e.Announcement, t) {
			if c.current[MeshFeed] && c.isReader() {
				c.news = append(c.news, e.Announcement)
			}
			c.view(t)
		}
	case MoveOrdered:
		c.ordered(t, e.Order)
	case MoveRecorded:
		c.recorded(t, e.Move)
	case StatusRead:
		c.statuses[e.Status.Service] = e.Status
	case FeedCurrent:
		if e.Feed == MeshFeed && !c.current[e.Feed] {
			c.greet(t)
		}
		c.current[e.Feed] = true
	case StoreReached:
		c.storeReached(t, e.OK)
	case PeerStateReceived:
		c.peer(t, e.State)
	case LoadCounted:
		c.load = e
	case WriteEnded:
		c.written(t, e)
	case Stopping:
		c.stopping = true
		c.refresh(t)
	case Closing:
		c.closing = true
		c.refresh(t)
	}
	return c.effects
}

func (c *Control) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Control) note(kind string, fields ...any) { c.emit(Note{Kind: kind, Fields: fields}) }

func (c *Control) heartbeat(t Time, h directory.Heartbeat) {
	before := c.self.Target
	if !c.local.Beat(h, t.Now, t.UnixMS) {
		c.note("heartbeat_ignored", "target", h.ID, "sequence", h.Sequence, "draining", h.Draining)
		return
	}
	c.refresh(t)
	after := c.self.Target
	if before == nil || after == nil || before.ID != after.ID || before.Serving != after.Serving {
		c.note("target_state", "target", h.ID, "service", h.Service, "version", h.Version, "draining", h.Draining)
		if before == nil || after == nil || before.ID != after.ID {
			// The counts are those of an earlier target.
			c.evidence, c.recent, c.lately = canary.Evidence{}, canary.Recent{}, canary.Counts{}
		}
	}
}

func (c *Control) answered(e TargetAnswered) {
	if len(c.evidence) > maxEvidenceRoutes {
		c.evidence = canary.Evidence{}
	}
	counts := canary.Counts{Answers: 1}
	if e.Failed {
		counts.Failed = 1
	} else if !e.Cold {
		counts.TimeMS, counts.Timed = float64(e.Took)/float64(time.Millisecond), 1
	}
	c.evidence[e.Route] = c.evidence[e.Route].Add(counts)
	c.lately = c.lately.Add(counts)
}

// maxEvidenceRoutes bounds the memory of the evidence; a target has few routes.
const maxEvidenceRoutes = 256

func (c *Control) publish(t Time, config *published.Config) {
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.config = config
	c.note("config_in_force", "version", uint64(config.Version), "routes", len(config.Routes))
	c.view(t)
	if c.isReader() && c.large() {
		c.broadcast(t)
	}
}

func (c *Control) learn(a directory.Announcement, t Time) bool {
	return a.Node != c.self.Node && c.dir.Learn(a, t.Now)
}

// refresh brings the node's own announcement up to date and spreads a change.
func (c *Control) refresh(t Time) {
	target := c.local.Target(t.Now, t.UnixMS)
	if target != nil && c.closing {
		target.Serving = false
	}
	if sameTarget(target, c.self.Target) && c.self.Leaving == c.stopping && c.self.Sequence > 0 {
		return
	}
	c.self.Target = target
	c.self.Leaving = c.stopping
	c.self.Sequence++
	c.nextAnnounce = 0
	c.view(t)
	c.spread(t)
	c.announce(t)
}

// sameTarget compares what others act on. The end of the cold start moves by
// milliseconds with each heartbeat.
func sameTarget(a, b *directory.Target) bool {
	if a == nil || b == nil {
		return a == b
	}
	x, y := *a, *b
	x.ColdUntil, y.ColdUntil = 0, 0
	return x == y
}

const (
	announceKey = "announcement"
	// announceWait is how long a node that started waits for its target before it
	// announces itself without, which saves a second write. Targets send their first
	// heartbeat within a second.
	announceWait = time.Second
)

// announce writes the announcement to the store once the node has started and
// when its target is another one. Other changes go from node to node: the store
// only tells who is there, and each write is read by all.
func (c *Control) announce(t Time) {
	same := c.announced.Sequence > 0 && targetID(c.announced) == targetID(c.self)
	if same || c.writing[announceKey] || t.Now < c.nextAnnounce || c.self.Target == nil && t.Now < announceWait {
		return
	}
	c.writing[announceKey] = true
	c.nextAnnounce = t.Now + announceRetry
	c.emit(Announce{Announcement: c.self})
}

func targetID(a directory.Announcement) string {
	if a.Target == nil {
		return ""
	}
	return a.Target.ID
}

func (c *Control) written(t Time, e WriteEnded) {
	delete(c.writing, e.Key)
	if e.Key == announceKey {
		if e.OK {
			c.announced = c.self
		}
		return
	}
	if e.OK {
		c.moveWritten(t, e.Key)
	}
}

func (c *Control) peer(t Time, s PeerState) {
	a := s.Announcement
	if a.Node == c.self.Node {
		return
	}
	if last, ok := c.peers[a.Node]; ok && last.Announcement.Start == a.Start && s.Number < last.Number {
		c.dir.Heard(a.Node, t.Now)
		return
	}
	changed := c.learn(a, t)
	if changed && c.large() && c.isReader() {
		c.news = append(c.news, a)
	}
	delete(c.unanswered, a.Node)
	if known, ok := c.dir.Get(a.Node); ok && known.Start == a.Start {
		c.dir.Heard(a.Node, t.Now)
		changed = changed || len(s.Crashes) > 0
		c.peers[a.Node] = s
	}
	for _, o := range s.Others {
		if c.learn(o, t) {
			changed = true
		}
	}
	for _, m := range s.Moves {
		c.recorded(t, m)
	}
	if changed {
		c.view(t)
	}
	c.missing(t, s.Config, a)
}

// missing asks a node for its configuration if the store did not give it to this
// node for a while.
func (c *Control) missing(t Time, version published.Version, from directory.Announcement) {
	if version <= c.configVersion() {
		return
	}
	if c.configVersion() == 0 {
		// A node without configuration refuses all: it does not wait.
		c.behind, c.behindSince = 1, t.Now-fetchAfter
	}
	if c.behind <= c.configVersion() {
		c.behind, c.behindSince = version, t.Now
	}
	late := t.Now-c.behindSince >= fetchAfter
	if !late && c.readsOperator(t) || t.Now < c.nextFetch {
		return
	}
	c.nextFetch = t.Now + fetchInterval
	c.emit(FetchConfig{From: from})
}

func (c *Control) configVersion() published.Version {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

func (c *Control) tick(t Time) {
	c.recent, c.lately = c.recent.Next(c.lately), canary.Counts{}
	c.refresh(t)
	c.announce(t)
	for _, id := range c.dir.Expire(t.Now) {
		delete(c.peers, id)
		delete(c.unanswered, id)
		c.note("node_expired", "peer", string(id))
	}
	c.forgetCrashes(t)
	c.chooseReaders(t)
	c.moveTick(t)
	if t.Now >= c.nextGossip {
		c.nextGossip = t.Now + gossipInterval
		if c.moveOpen() {
			c.nextGossip = t.Now + moveGossipInterval
		}
		c.gossip(t)
	}
	c.view(t)
}

// State returns the state that the node tells others.
func (c *Control) State(t Time) PeerState {
	c.states++
	s := PeerState{
		Number:       c.states,
		Announcement: c.self, Config: c.configVersion(), Running: c.load.Running, Waiting: c.load.Waiting,
		Crashes: c.ownCrashes(), StoreLost: c.storeLost,
	}
	if c.large() && c.isReader() {
		for _, a := range c.dir.All() {
			if c.dir.SilentFor(a.Node, t.Now) > aliveWithin {
				s.Silent = append(s.Silent, a.Node)
			}
		}
	}
	for service, m := range c.moves {
		if m.recorded {
			s.Moves = append(s.Moves, m.move)
		}
		if s.PerSecond == nil {
			s.PerSecond = map[string]float64{}
		}
		s.PerSecond[service] = c.load.PerSecond[service]
		if c.self.Target != nil && c.self.Target.Service == service {
			s.Evidence = c.evidence
			s.Recent = c.recent.Next(c.lately)
		}
	}
	return s
}

// spread tells the others of a change of this node or its target. In a large mesh the
// readers pass it on within a round: meanwhile the node itself refuses what its target
// may not get.
func (c *Control) spread(t Time) {
	if len(c.readers) == 0 || c.isReader() {
		c.broadcast(t)
		return
	}
	c.emit(SendState{To: slices.Clone(c.readers), State: c.State(t)})
}

func (c *Control) broadcast(t Time) {
	var to []mesh.NodeID
	for _, a := range c.dir.All() {
		to = append(to, a.Node)
	}
	if len(to) > 0 {
		c.emit(SendState{To: to, State: c.State(t)})
	}
}

// gossip sends the state to a few nodes in turn, and to a reader, whose answer tells
// whether there is a newer configuration. A random announcement goes along. A reader
// that has read of new nodes tells all.
func (c *Control) gossip(t Time) {
	all := c.dir.All()
	if len(all) == 0 {
		return
	}
	state := c.State(t)
	state.Others = append(c.takeNews(), all[(c.rounds*7)%uint64(len(all))])
	count := min(c.fanout(len(all)), len(all))
	if len(state.Others) > 1 {
		count = len(all)
	}
	to := make([]mesh.NodeID, 0, count+1)
	for range count {
		c.rounds++
		to = append(to, all[c.rounds%uint64(len(all))].Node)
	}
	if len(c.readers) > 0 {
		c.readerTurn++
		if r := c.readers[c.readerTurn%len(c.readers)]; r != c.self.Node {
			to = append(to, r)
		}
	}
	slices.Sort(to)
	c.emit(SendState{To: slices.Compact(to), State: state})
}

// greet sends the state to the nodes that are known but not heard: they show by their
// answers whether they live. Of two nodes that start together one is enough.
func (c *Control) greet(t Time) {
	var to []mesh.NodeID
	for _, a := range c.dir.All() {
		if c.dir.SilentFor(a.Node, t.Now) > aliveWithin {
			to = append(to, a.Node)
		}
	}
	if len(to) > 0 {
		c.emit(SendState{To: to, State: c.State(t)})
	}
}

// fanout returns to how many nodes the state goes in a round. In a large mesh the
// readers tell what matters, but for the evidence on a version, which all need.
func (c *Control) fanout(others int) int {
	switch {
	case !c.large():
		return gossipFanout
	case c.moveOpen():
		return max(gossipFanout, others/gossipPart)
	default:
		return calmFanout
	}
}

// maxNews bounds the announcements in one message.
const maxNews = 64

// takeNews returns the oldest announcements that are to be passed on.
func (c *Control) takeNews() []directory.Announcement {
	count := min(len(c.news), maxNews)
	out := slices.Clone(c.news[:count])
	c.news = slices.Delete(c.news, 0, count)
	return out
}

// Config returns the configuration in force, or nil.
func (c *Control) Config() *published.Config { return c.config }

// Current reports whether a feed was read up to its end.
func (c *Control) Current(f Feed) bool { return c.current[f] }

// Announcements returns all that is known of other nodes.
func (c *Control) Announcements() []directory.Announcement { return c.dir.All() }

// alive returns the other nodes that live, and this one.
func (c *Control) alive(t Time) []mesh.NodeID {
	ids := []mesh.NodeID{c.self.Node}
	for _, a := range c.dir.All() {
		if !a.Leaving && !c.silent(a.Node, t) {
			ids = append(ids, a.Node)
		}
	}
	return ids
}

// silent reports whether a node is taken for dead or cut off. In a large mesh two nodes
// hear of each other directly only each half minute or so, but each hears of the readers
// each second, and a reader hears of all.
func (c *Control) silent(id mesh.NodeID, t Time) bool {
	age := c.dir.SilentFor(id, t.Now)
	if age <= aliveWithin {
		return false
	}
	if !c.large() || c.isReader() || c.unanswered[id] {
		return true
	}
	heard := false
	for _, r := range c.readers {
		if r != id && c.dir.SilentFor(r, t.Now) < readerCount*gossipInterval+readerSilence {
			heard = true
			if !slices.Contains(c.peers[r].Silent, id) {
				return false
			}
		}
	}
	// Without a word of the readers, a node cannot tell who is dead from whom it has not
	// met for a while.
	return heard || age > unmetWithin
}

func (c *Control) view(t Time) {
	v := &View{
		Config: c.config, Target: c.self.Target, Stopping: c.stopping, Crashing: c.crashing(),
		Reader: c.isReader(), ReadsOperator: c.readsOperator(t), MoveOpen: c.moveOpen(), ReportDue: c.movesNeedReports(),
		Endpoints: map[string]*ServiceEndpoints{}, Calls: map[mesh.NodeID]directory.Announcement{},
	}
	for _, a := range append(c.dir.All(), c.self) {
		v.Calls[a.Node] = a
		if a.Target == nil || !a.Target.Serving {
			continue
		}
		e := balance.Endpoint{
			Node: a.Node, Zone: a.Zone, Service: a.Target.Service, Version: a.Target.Version,
			Target: a.Target.ID, Slots: a.Target.Slots, Cold: a.Target.ColdUntil > t.UnixMS,
		}
		if a.Node != c.self.Node {
			e.LinkMbps = a.LinkMbps
		}
		e.Leaving = a.Leaving && a.Node != c.self.Node
		e.Silent = a.Node != c.self.Node && c.silent(a.Node, t)
		s, ok := v.Endpoints[e.Service]
		if !ok {
			s = &ServiceEndpoints{}
			v.Endpoints[e.Service] = s
		}
		c.place(s, e)
	}
	for service, s := range v.Endpoints {
		c.share(service, s, t)
	}
	c.emit(PublishView{View: v})
}
