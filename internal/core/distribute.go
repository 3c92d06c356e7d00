package core

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/snapshot"
	"heathercroft.example/heathercroft/pkg/state"
)

func (c *Core) stepDistributionEvent(event Event) {
	now := c.time.Now
	switch e := event.(type) {
	case PushReceived:
		c.stepDistribution(distribution.PushReceived{Now: now, Push: e.Push})
	case PullReceived:
		c.stepDistribution(distribution.PullReceived{Now: now, Request: e.Request})
	case PullResponseReceived:
		c.pullAnswered(e.Response)
	case TransferDone:
		c.stepDistribution(distribution.TransferDone{Now: now, To: e.To})
	case LogPage:
		c.logPage(e)
	case LogReadFailed:
		c.stepDistribution(distribution.LogError{Now: now, Read: e.Read, Reason: e.Reason})
	case LogOutOfRange:
		c.stepDistribution(distribution.LogOutOfRange{Now: now, Read: e.Read, First: e.First, Next: e.Next})
	case SnapshotRead:
		c.stepDistribution(distribution.SnapshotRead{Now: now, Read: e.Read, Snapshot: e.Snapshot})
	default:
		panic(fmt.Sprintf("event without a rule: %T", event))
	}
}

func (c *Core) logPage(e LogPage) {
	c.snapshots.retention = e.Retention
	c.stepDistribution(distribution.LogPage{Now: c.time.Now, Read: e.Read, First: e.First, Next: e.Next, Entries: e.Entries})
	if e.Next > 0 {
		c.head = max(c.head, uint64(e.Next)-1)
	}
	c.headRead, c.headSeen = c.time.Now, true
	c.platformAnswered(c.time.Now)
	sent, ok := c.keys.readSent[e.Read]
	delete(c.keys.readSent, e.Read)
	if uint64(c.state.Revision) < c.head {
		return
	}
	if ok {
		c.headConfirmed(sent)
	}
}

// stepDistribution runs the distribution machine. Events that its own effects
// cause wait until those effects are carried out, so that effects keep their order.
func (c *Core) stepDistribution(e distribution.Event) {
	c.distributionBacklog = append(c.distributionBacklog, e)
	if len(c.distributionBacklog) > 1 {
		return
	}
	for len(c.distributionBacklog) > 0 {
		c.runDistribution(c.distribution.Step(c.distributionBacklog[0]))
		c.distributionBacklog = c.distributionBacklog[1:]
	}
}

// runDistribution carries out effects. It applies entries itself, so that a
// record is reduced in the step in which it arrived.
func (c *Core) runDistribution(effects []distribution.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case distribution.ReadLog:
			c.keys.readSent[effect.Read] = c.time.Now
			c.emit(ReadLog(effect))
		case distribution.ReadSnapshotStream:
			c.emit(ReadSnapshots(effect))
		case distribution.SendPush:
			c.send(effect.To, MethodPush, effect.Push)
		case distribution.SendPull:
			c.keys.pullSent[effect.Request.ID] = c.time.Now
			c.send(effect.To, MethodPull, effect.Request)
		case distribution.SendResponse:
			c.send(effect.To, MethodPullResponse, c.answerPull(effect.Response))
		case distribution.SendSnapshot:
			c.sendSnapshot(effect)
		case distribution.ApplyEntries:
			c.applyEntries(effect.Entries)
		case distribution.InstallSnapshot:
			c.installSnapshot(effect.Snapshot)
		case distribution.SetReady:
			c.setReady(effect)
		case distribution.RangeLost:
			c.note(KindRangeLost, map[string]string{
				"wanted": strconv.FormatUint(uint64(effect.RequestedOffset), 10), "first": strconv.FormatUint(uint64(effect.FirstRetained), 10),
			})
		default:
			panic(fmt.Sprintf("distribution effect without a rule: %T", effect))
		}
	}
}

func (c *Core) sendSnapshot(e distribution.SendSnapshot) {
	address, ok := c.addresses[e.To]
	if !ok {
		c.stepDistribution(distribution.TransferDone{Now: c.time.Now, To: e.To})
		return
	}
	c.emit(SendSnapshot{To: address, Node: e.To, Response: c.answerPull(e.Response)})
}

func (c *Core) setReady(e distribution.SetReady) {
	kind := KindNotReady
	if e.Ready {
		kind = KindReady
	}
	c.note(kind, map[string]string{"reason": e.Reason})
	c.emit(PublishReady(e))
}

// applyEntries reduces entries in order and stops at one that this binary
// cannot interpret.
func (c *Core) applyEntries(entries []distribution.Entry) {
	nack := ""
	for _, entry := range entries {
		result, err := c.state.Apply(entry.Offset, entry.Data)
		if errors.Is(err, record.ErrUnsupported) {
			nack = err.Error()
			c.note(KindNACK, map[string]string{"offset": strconv.FormatUint(uint64(entry.Offset), 10), "reason": nack})
			break
		}
		if err != nil {
			panic(fmt.Sprintf("distribution handed over an entry out of order: %v", err))
		}
		c.recordApplied(result)
	}
	c.stateChanged(nack)
}

// recordApplied tells the parts that wait for the outcome of a record.
func (c *Core) recordApplied(r state.Result) {
	fields := map[string]string{"outcome": string(r.Outcome.Code)}
	if r.Record.Body != nil {
		fields["kind"], fields["id"], fields["author"] = string(r.Record.Body.Kind()), r.ID, r.Record.Author
	}
	if r.Outcome.Reason != "" {
		fields["reason"] = r.Outcome.Reason
	}
	if r.Record.Body == nil || r.Record.Body.Kind() != record.KindRenewKeySlots {
		// Renewals are frequent and decide nothing that an operator looks for.
		c.note(KindRecordApplied, fields)
	}
	c.keysApplied(r)
	c.authorSeen(r.Record)
	if r.Outcome.Code == state.Accepted && changesRouting(r.Record.Body) {
		c.tableDirty = true
	}
	if r.ID != "" {
		c.settle(r.ID, r.Outcome)
	}
	if b, ok := r.Record.Body.(record.NodeAnnounced); ok {
		c.nodeAnnounced(b)
	}
}

// changesRouting is false for the frequent records that no route depends on.
func changesRouting(b record.Body) bool {
	switch b.(type) {
	case record.ClaimKeySlot, record.RenewKeySlots, record.ReleaseKeySlots, record.NodeAnnounced,
		record.ClaimRollout, record.RolloutVerdict, record.CompleteRollout, record.PauseRollout, record.ResumeRollout:
		return false
	default:
		return true
	}
}

func (c *Core) nodeAnnounced(b record.NodeAnnounced) {
	info, ok := nodeInfo(b)
	if !ok || info.ID == c.cfg.Self.ID {
		return
	}
	c.stepMembership(membership.NodeAnnounced{Now: c.time.Now, Node: info})
}

func (c *Core) installSnapshot(s distribution.Snapshot) {
	next, err := snapshot.Decode(s.Data)
	if err != nil || next.Revision <= c.state.Revision {
		reason := "the snapshot is not newer than the state"
		if err != nil {
			reason = err.Error()
		}
		c.note(KindNACK, map[string]string{"reason": reason})
		c.stepDistribution(distribution.Applied{Now: c.time.Now, Revision: c.state.Revision})
		return
	}
	c.state = next
	c.tableDirty = true
	c.note(KindSnapshotApplied, nil)
	for _, n := range next.Nodes {
		c.nodeAnnounced(n.NodeAnnounced)
	}
	c.settleFromOutcomes()
	c.stepKeys(idempotency.SnapshotLoaded{Now: c.time.Now, Slots: &c.state.KeySlots})
	c.emit(PublishKeys{})
	c.stateChanged("")
}

// stateChanged passes the new state to all parts that depend on it.
func (c *Core) stateChanged(nack string) {
	now := c.time.Now
	c.head = max(c.head, uint64(c.state.Revision))
	c.stepMembership(membership.RevisionApplied{Now: now, Revision: c.state.Revision, NACK: nack})
	c.rolloutStateChanged()
	c.emit(NotifyWaiters{})
	c.stepDistribution(distribution.Applied{Now: now, Revision: c.state.Revision, NACK: nack})
}

// snapshots is the schedule of the snapshot stream.
type snapshots struct {
	retention time.Duration
	// last is the revision of the newest snapshot known to this node.
	last     record.Revision
	lastTime time.Duration
	running  bool
}

func (c *Core) scheduleSnapshot() {
	s := &c.snapshots
	status := c.distribution.Status()
	if s.running || !status.Reader || status.PlatformUnavailable || !c.headSeen {
		return
	}
	due := snapshot.Due(snapshot.ScheduleInput{
		Revision: c.state.Revision, LastSnapshot: s.last, SinceLast: c.time.Now - s.lastTime, Retention: s.retention,
	})
	if !due {
		return
	}
	// Both readers of the zone reach the same decision at nearly the same time;
	// the other one waits until the author's snapshot can be there.
	if author, ok := snapshot.SelectAuthor(c.state.Revision, c.zoneReaders()); !ok || author != c.cfg.Self.ID {
		s.last, s.lastTime = c.state.Revision, c.time.Now
		return
	}
	s.running = true
	c.emit(AppendSnapshot{Revision: c.state.Revision})
}

func (c *Core) snapshotAppended(e SnapshotAppended) {
	c.snapshots.running = false
	if e.Err != "" {
		c.note(KindSnapshotAppended, map[string]string{"error": e.Err})
		return
	}
	c.snapshots.last, c.snapshots.lastTime = e.Revision, c.time.Now
	c.note(KindSnapshotAppended, nil)
}

// zoneReaders returns the members of the own zone that read the log.
func (c *Core) zoneReaders() []mesh.NodeID {
	ids := append(c.zoneMembers(), c.cfg.Self.ID)
	ranked := mesh.RankNodes(string(c.cfg.Self.Zone), ids)
	return ranked[:min(len(ranked), membership.ReadersPerZone)]
}

// settle passes the outcome of a record to the parts that asked for it.
func (c *Core) settle(id string, o state.Outcome) {
	c.appends.settled(id)
	c.fates.settled(id, o)
	c.settleRollouts(id, o)
	c.stepQueue(pricing.AppendResult{Now: c.time.Now, RecordID: id, Outcome: o})
}

// settleFromOutcomes settles pending records whose outcome came with a snapshot.
func (c *Core) settleFromOutcomes() {
	for _, id := range c.appends.ids() {
		if o, ok := c.state.Outcomes[id]; ok {
			c.settle(id, o)
		}
	}
}
