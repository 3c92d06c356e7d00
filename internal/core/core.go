package core

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/state"
	"heathercroft.example/heathercroft/pkg/timeline"
)

// TickInterval is the time between two ticks.
const TickInterval = 100 * time.Millisecond

// Config configures a Core.
type Config struct {
	Self mesh.NodeInfo
	// StartUnixMS is the wall clock at the start of the process in milliseconds.
	StartUnixMS int64
	// Seeds are RPC addresses of nodes to join through.
	Seeds []netip.AddrPort
	// Seed drives all random choices.
	Seed uint64
	// Keys are the limits of key ownership.
	Keys idempotency.Config
}

// Core is the reducer of one node. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	time Time
	out  []Effect

	state        *state.State
	membership   *membership.Machine
	distribution *distribution.Machine
	queue        *pricing.Queue
	appends      appends
	changes      changeTracker
	rollouts     rollouts
	snapshots    snapshots
	keys         keys
	authors      authors

	// distributionBacklog and queueBacklog hold events raised while effects of the
	// same state machine are applied.
	distributionBacklog []distribution.Event
	queueBacklog        []pricing.Event

	leaving bool
	// target is the local target, nil if none is announced.
	target *mesh.Target
	// ended holds the processes of the target that have ended or are shutting down.
	ended directory.EndedProcesses
	// generation is the membership view last published to the other components, at
	// membersPublishedAt; membersDirty is set while there may be a newer one.
	generation         uint64
	membersPublishedAt time.Duration
	membersDirty       bool
	// tableDirty is set while the routing table has to be rebuilt.
	tableDirty bool
	addresses  map[mesh.NodeID]netip.AddrPort
	live       []mesh.NodeID
	// liveInfo holds the members that are not dead. The slice is replaced and never
	// modified, since callers of LiveNodes share it.
	liveInfo []mesh.NodeInfo
	// head is the newest offset known to be in the log.
	head       uint64
	headReadAt time.Duration
	headKnown  bool
	// platformRespondedAt is when the platform last responded to this node or to a
	// reader of its zone; platformKnown is false if it never has.
	platformRespondedAt time.Duration
	platformKnown       bool
}

// New returns the reducer of a node with an empty state and no other known members.
func New(cfg Config) *Core {
	source := func(stream uint64) rand.Source { return rand.NewPCG(cfg.Seed, stream) }
	author := string(cfg.Self.ID) + "/" + string(cfg.Self.Session)
	return &Core{
		cfg:   cfg,
		state: state.New(),
		membership: membership.New(membership.Config{
			Self: cfg.Self, Incarnation: uint64(cfg.StartUnixMS), Seeds: cfg.Seeds, Source: source(1),
		}),
		distribution: distribution.New(distribution.Config{Self: cfg.Self.ID, Zone: cfg.Self.Zone, Source: source(2)}),
		queue:        pricing.NewQueue(pricing.Config{Author: author, Mesh: pricing.MeshStats{Nodes: 1, Zones: 1, FanOut: distribution.PushFanout}}),
		appends:      newAppends(rand.New(source(3))),
		changes:      newChangeTracker(),
		rollouts:     newRollouts(cfg, rand.New(source(4))),
		keys:         newKeys(cfg.Keys),
		authors:      newAuthors(),
		addresses:    map[mesh.NodeID]netip.AddrPort{},
	}
}

// Step processes one event and returns the effects, which must be executed in
// order. Time must not decrease from one event to the next.
func (c *Core) Step(t Time, event Event) []Effect {
	c.time = t
	switch e := event.(type) {
	case Tick:
		c.tick()
	case Started:
		c.announceSelf()
	case Leave:
		c.leave()
	case TargetSignaledLeaving:
		c.targetSignaledLeaving(e.Target)
	case TargetAnnounced:
		c.targetAnnounced(e.Target)
	case MembershipReceived:
		c.stepMembership(membership.MessageReceived{Now: t.Now, Message: e.Message})
	case EvidenceCounted, EvidenceReceived, HolderStatusReceived, CutReceived:
		c.stepRollouts(event)
	case AppendResult:
		c.appendResult(e)
	case SnapshotAppended:
		c.snapshotAppended(e)
	case KeyRequested, KeyCanceled, KeyFinished, HandoverReceived, HandoverReplied:
		c.stepKeyEvent(event)
	case TargetCrashed:
		c.broadcastCrash(e.Report)
	case CrashReceived:
		c.emit(CountCrashes(e))
	case RefreshZones:
		c.stepMembership(membership.RefreshZones{Now: t.Now})
	case ChangeSubmitted:
		c.submitChange(e.Submission)
	default:
		c.stepDistributionEvent(event)
	}
	if c.membersDirty && (c.time.Now-c.membersPublishedAt >= membersDebounce || len(c.live) <= immediateMemberLimit) {
		c.publishMembers()
	}
	if c.tableDirty {
		c.tableDirty = false
		c.emit(PublishTable{})
	}
	out := c.out
	c.out = nil
	return out
}

const (
	// membersDebounce coalesces membership changes: publishing one and rebuilding the
	// routing table takes about 12 ms with 2,500 members, and 1,250 simultaneous
	// restarts cause thousands of them. It is well under the 3 s for a leaving target.
	membersDebounce = 500 * time.Millisecond
	// immediateMemberLimit is the number of live members up to which changes are
	// published without debouncing.
	immediateMemberLimit = 32
)

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) recordEvent(kind timeline.Kind, fields map[string]string) {
	c.emit(TimelineEvent{Kind: kind, Revision: c.state.Revision, Fields: fields})
}

func (c *Core) tick() {
	now := c.time.Now
	c.ended.Observe(now, c.time.UnixMS)
	c.stepMembership(membership.Tick{Now: now})
	c.stepDistribution(distribution.Tick{Now: now})
	c.stepQueue(pricing.Tick{Now: now})
	c.tickRollouts()
	c.tickKeys()
	c.tickAuthors()
	c.retryAppends()
	c.scheduleSnapshot()
}

func (c *Core) leave() {
	c.leaving = true
	c.recordEvent(KindLeaving, nil)
	c.stepMembership(membership.Leave{Now: c.time.Now})
	c.handOverKeys()
}

// targetSignaledLeaving treats the signal as an announcement. Later announcements of the same
// process do not take it back. A process that does not say when it started counts as the same
// until its announcements stop.
func (c *Core) targetSignaledLeaving(t mesh.Target) {
	if c.target == nil || !sameProcess(*c.target, t) || c.target.State == mesh.TargetLeaving {
		return
	}
	p := targetProcess(t)
	if t.StartedUnixMS != 0 {
		// A later process that has not announced itself yet may have answered.
		c.ended.Report(p.ID, &p, c.time.Now, c.time.UnixMS)
	}
	c.ended.End(p)
	c.targetAnnounced(*c.target)
}

// sameProcess reports whether two announcements are of the same process of a target.
func sameProcess(a, b mesh.Target) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Version == b.Version && a.StartedUnixMS == b.StartedUnixMS
}

// targetProcess returns the process of a target. A target has no id besides its address and version.
func targetProcess(t mesh.Target) directory.Process {
	return directory.Process{ID: t.Address.String() + "/" + t.Service + "/" + t.Version, StartUnixMS: t.StartedUnixMS}
}

// mayServe reports whether the process that an announcement is from has not ended. An announcement may
// be late.
func (c *Core) mayServe(t mesh.Target) bool {
	p := targetProcess(t)
	if t.State == mesh.TargetLeaving {
		c.ended.End(p)
		return false
	}
	if !c.ended.Has(p) {
		return true
	}
	from, _, possible := c.ended.ShownFrom(p)
	if !possible || c.time.Now < from {
		return false
	}
	c.ended.Outlived(p)
	return true
}

func (c *Core) targetAnnounced(t mesh.Target) {
	before := c.target
	serves := c.mayServe(t)
	if before != nil && !sameProcess(*before, t) {
		if !serves && t.State == mesh.TargetServing {
			c.recordEvent(KindTargetLate, map[string]string{"service": t.Service, "version": t.Version})
			return
		}
		if before.StartedUnixMS == 0 {
			c.ended.Forget(targetProcess(*before))
		} else {
			c.ended.End(targetProcess(*before))
		}
	}
	if c.leaving || !serves {
		t.State = mesh.TargetLeaving
	}
	c.target = &t
	c.stepMembership(membership.TargetAnnounced{Now: c.time.Now, Target: t})
	if before != nil && before.State == t.State && before.Version == t.Version {
		return
	}
	// Update the node's own routing table now instead of after membersDebounce.
	c.tableDirty = true
	kind := KindTargetAnnounced
	if t.State == mesh.TargetLeaving {
		kind = KindTargetLeaving
	}
	c.recordEvent(kind, map[string]string{"service": t.Service, "version": t.Version})
}

// stepMembership runs the membership state machine and applies its effects.
func (c *Core) stepMembership(e membership.Event) {
	for _, effect := range c.membership.Step(e) {
		switch effect := effect.(type) {
		case membership.SendMessage:
			c.emit(Send{To: effect.To, Method: MethodMembership, Params: effect.Message})
		case membership.ViewChanged:
			c.membersDirty = true
		case membership.MemberStateChanged:
			c.recordEvent(KindMemberState, map[string]string{"node": string(effect.Node), "state": string(effect.State)})
		case membership.ZoneReachabilityChanged:
			kind := KindZoneUnreachable
			if effect.Reachable {
				kind = KindZoneReachable
			}
			c.recordEvent(kind, map[string]string{"zone": string(effect.Zone)})
		case membership.TargetExpired:
			if c.target != nil && c.target.State != mesh.TargetLeaving {
				c.emit(TargetLost{})
			}
			if c.target != nil && c.target.StartedUnixMS == 0 {
				// The next process cannot be told from it. One with a start may return.
				c.ended.Forget(targetProcess(*c.target))
			}
			c.target = nil
			c.tableDirty = true
			c.recordEvent(KindTargetExpired, map[string]string{"service": effect.Target.Service, "version": effect.Target.Version})
		case membership.TargetRejected:
			c.recordEvent(KindTargetRejected, map[string]string{"bytes": strconv.Itoa(effect.Bytes)})
		default:
			panic(fmt.Sprintf("unhandled membership effect: %T", effect))
		}
	}
}

// publishMembers passes the live members to the other components.
func (c *Core) publishMembers() {
	c.membersDirty, c.membersPublishedAt = false, c.time.Now
	if c.generation == c.membership.Generation() {
		return
	}
	c.generation = c.membership.Generation()
	clear(c.addresses)
	c.live = c.live[:0]
	var peers []distribution.Peer
	var infos []mesh.NodeInfo
	zones := map[mesh.AvailabilityZone]bool{}
	for _, m := range c.membership.Members() {
		if m.State == membership.Dead {
			continue
		}
		c.addresses[m.Info.ID] = m.Info.RPCAddress
		infos = append(infos, m.Info)
		zones[m.Info.Zone] = true
		if m.State != membership.Leaving {
			c.live = append(c.live, m.Info.ID)
		}
		peers = append(peers, distribution.Peer{
			ID: m.Info.ID, Session: m.Info.Session, Zone: m.Info.Zone, Suspect: m.State == membership.Suspect,
		})
	}
	c.liveInfo = infos
	c.stepDistribution(distribution.MembersChanged{Now: c.time.Now, Peers: peers})
	c.authors.mesh = pricing.MeshStats{Nodes: len(c.live), Zones: len(zones), FanOut: distribution.PushFanout}
	c.updateMeshStats()
	c.tableDirty = true
	c.rolloutMembersChanged()
	c.stepKeys(idempotency.MembersChanged{Now: c.time.Now, Live: slices.Clone(c.live)})
	c.emit(PublishKeys{Members: true})
	c.emit(NotifyWaiters{})
}

// send sends a message to a member. It does nothing if the member is not known.
func (c *Core) send(to mesh.NodeID, method string, params any) {
	if address, ok := c.addresses[to]; ok {
		c.emit(Send{To: address, Method: method, Params: params})
	}
}

// broadcastCrash reports a crash to every member of the zone, since a request that
// crashes targets is sent to one target after another. Crashes are rare, so one
// message per member is acceptable.
func (c *Core) broadcastCrash(r CrashReport) {
	for _, id := range c.zoneMembers() {
		c.send(id, MethodCrash, r)
	}
}

// zoneMembers returns the other live members of this node's zone.
func (c *Core) zoneMembers() []mesh.NodeID {
	var ids []mesh.NodeID
	for _, m := range c.membership.Members() {
		if m.Info.Zone == c.cfg.Self.Zone && m.State == membership.Alive && m.Info.ID != c.cfg.Self.ID {
			ids = append(ids, m.Info.ID)
		}
	}
	return ids
}
