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
		c.pullResponseReceived(e.Response)
	case TransferDone:
		c.stepDistribution(distribution.TransferDone{Now: now, To: e.To})
	case LogPage:
		c.logPage(e)
	case LogReadFailed:
		c.stepDistribution(distribution.LogError{Now: now, Read: e.Read, Reason: e.Reason})
	case LogOutOfRange:
		c.stepDistribution(distribution.LogOutOfRange{Now: now, Read: e.Read, Era: e.Era, First: e.First, Next: e.Next})
	case SnapshotRead:
		c.stepDistribution(distribution.SnapshotRead{Now: now, Read: e.Read, Snapshot: e.Snapshot})
	default:
		panic(fmt.Sprintf("unhandled event: %T", event))
	}
}

func (c *Core) logPage(e LogPage) {
	c.snapshots.retention = e.Retention
	c.stepDistribution(distribution.LogPage{Now: c.time.Now, Read: e.Read, Era: e.Era, First: e.First, Next: e.Next, Entries: e.Entries})
	if c.distribution.Status().LogRestored {
		// The head of the restored log does not confirm what this node holds.
		delete(c.keys.readSent, e.Read)
		return
	}
	if e.Next > 0 {
		c.head = max(c.head, uint64(e.Next)-1)
	}
	c.headReadAt, c.headKnown = c.time.Now, true
	c.platformResponded(c.time.Now)
	sent, ok := c.keys.readSent[e.Read]
	delete(c.keys.readSent, e.Read)
	if uint64(c.state.Revision) < c.head {
		return
	}
	if ok {
		c.headConfirmed(sent)
	}
}

// stepDistribution runs the distribution state machine. Events raised by its own
// effects are deferred until those effects have been applied, which preserves the
// order of effects.
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

// runDistribution applies effects. It applies log entries itself, so that a record
// changes the state in the step in which it arrives.
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
			c.send(effect.To, MethodPullResponse, c.newPullResponse(effect.Response))
		case distribution.SendSnapshot:
			c.sendSnapshot(effect)
		case distribution.ApplyEntries:
			c.applyEntries(effect.Entries)
		case distribution.InstallSnapshot:
			c.installSnapshot(effect.Snapshot)
		case distribution.SetReady:
			c.setReady(effect)
		case distribution.RangeLost:
			c.recordEvent(KindRangeLost, map[string]string{
				"wanted": strconv.FormatUint(uint64(effect.RequestedOffset), 10), "first": strconv.FormatUint(uint64(effect.FirstRetained), 10),
			})
		case distribution.LogRestored:
			c.recordEvent(KindLogRestored, map[string]string{
				"era": strconv.FormatUint(effect.Era, 10), "era_before": strconv.FormatUint(effect.Before, 10),
				"revision": strconv.FormatUint(uint64(effect.Revision), 10), "next": strconv.FormatUint(uint64(effect.Next), 10),
			})
		default:
			panic(fmt.Sprintf("unhandled distribution effect: %T", effect))
		}
	}
}

func (c *Core) sendSnapshot(e distribution.SendSnapshot) {
	address, ok := c.addresses[e.To]
	if !ok {
		c.stepDistribution(distribution.TransferDone{Now: c.time.Now, To: e.To})
		return
	}
	c.emit(SendSnapshot{To: address, Node: e.To, Response: c.newPullResponse(e.Response)})
}

func (c *Core) setReady(e distribution.SetReady) {
	kind := KindNotReady
	if e.Ready {
		kind = KindReady
	}
	c.recordEvent(kind, map[string]string{"reason": e.Reason})
	c.emit(PublishReady(e))
}

// applyEntries applies entries in order and stops at the first one that this
// binary doesn't support.
func (c *Core) applyEntries(entries []distribution.Entry) {
	nack := ""
	for _, entry := range entries {
		result, err := c.state.Apply(entry.Offset, entry.Data)
		if errors.Is(err, record.ErrUnsupported) {
			nack = err.Error()
			c.recordEvent(KindNACK, map[string]string{"offset": strconv.FormatUint(uint64(entry.Offset), 10), "reason": nack})
			break
		}
		if err != nil {
			panic(fmt.Sprintf("distribution delivered an out-of-order entry: %v", err))
		}
		c.recordApplied(result)
	}
	c.stateChanged(nack)
}

// recordApplied reports the outcome of a record to the components that need it.
func (c *Core) recordApplied(r state.Result) {
	fields := map[string]string{"outcome": string(r.Outcome.Code)}
	if r.Record.Body != nil {
		fields["kind"], fields["id"], fields["author"] = string(r.Record.Body.Kind()), r.ID, r.Record.Author
	}
	if r.Outcome.Reason != "" {
		fields["reason"] = r.Outcome.Reason
	}
	if r.Record.Body == nil || r.Record.Body.Kind() != record.KindRenewKeySlots {
		// Renewals are frequent and of no interest to operators.
		c.recordEvent(KindRecordApplied, fields)
	}
	c.keysApplied(r)
	c.recordAuthor(r.Record)
	if r.Outcome.Code == state.Accepted && changesRouting(r.Record.Body) {
		c.tableDirty = true
	}
	if r.ID != "" {
		c.resolveRecord(r.ID, r.Outcome)
	}
	if b, ok := r.Record.Body.(record.NodeAnnounced); ok && r.Outcome.Code == state.Accepted {
		c.nodeAnnounced(b)
	}
}

// changesRouting reports whether a record may change the routing table. It is false
// for the frequent kinds that routes don't depend on.
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
		c.recordEvent(KindNACK, map[string]string{"reason": reason})
		c.stepDistribution(distribution.Applied{Now: c.time.Now, Revision: c.state.Revision})
		return
	}
	c.state = next
	c.tableDirty = true
	c.recordEvent(KindSnapshotApplied, nil)
	for _, n := range next.Nodes {
		c.nodeAnnounced(n.NodeAnnounced)
	}
	c.resolveFromSnapshot()
	c.stepKeys(idempotency.SnapshotLoaded{Now: c.time.Now, Slots: &c.state.KeySlots})
	c.emit(PublishKeys{})
	c.stateChanged("")
}

// stateChanged passes the new state to the components that depend on it.
func (c *Core) stateChanged(nack string) {
	now := c.time.Now
	c.head = max(c.head, uint64(c.state.Revision))
	c.stepMembership(membership.RevisionApplied{Now: now, Revision: c.state.Revision, NACK: nack})
	c.rolloutStateChanged()
	c.emit(NotifyWaiters{})
	c.stepDistribution(distribution.Applied{Now: now, Revision: c.state.Revision, NACK: nack})
}

// snapshots schedules the appends to the snapshot stream.
type snapshots struct {
	retention time.Duration
	// lastRevision is the revision of the newest snapshot known to this node.
	lastRevision record.Revision
	lastAt       time.Duration
	running      bool
}

func (c *Core) scheduleSnapshot() {
	s := &c.snapshots
	status := c.distribution.Status()
	if s.running || !status.Reader || status.PlatformUnavailable || !c.headKnown {
		return
	}
	due := snapshot.Due(snapshot.ScheduleInput{
		Revision: c.state.Revision, LastSnapshot: s.lastRevision, SinceLast: c.time.Now - s.lastAt, Retention: s.retention,
	})
	if !due {
		return
	}
	// Both readers of the zone find a snapshot due at nearly the same time. Only the
	// selected author appends it; the other one restarts its interval, which
	// leaves time for the author's snapshot to arrive.
	if author, ok := snapshot.SelectAuthor(c.state.Revision, c.zoneReaders()); !ok || author != c.cfg.Self.ID {
		s.lastRevision, s.lastAt = c.state.Revision, c.time.Now
		return
	}
	s.running = true
	c.emit(AppendSnapshot{Revision: c.state.Revision})
}

func (c *Core) snapshotAppended(e SnapshotAppended) {
	c.snapshots.running = false
	if e.Err != "" {
		c.recordEvent(KindSnapshotAppended, map[string]string{"error": e.Err})
		return
	}
	c.snapshots.lastRevision, c.snapshots.lastAt = e.Revision, c.time.Now
	c.recordEvent(KindSnapshotAppended, nil)
}

// zoneReaders returns the members of this node's zone that read the log.
func (c *Core) zoneReaders() []mesh.NodeID {
	ids := append(c.zoneMembers(), c.cfg.Self.ID)
	ranked := mesh.RankNodes(string(c.cfg.Self.Zone), ids)
	return ranked[:min(len(ranked), membership.ReadersPerZone)]
}

// resolveRecord passes the outcome of a record to the components that wait for it.
func (c *Core) resolveRecord(id string, o state.Outcome) {
	c.appends.remove(id)
	c.changes.resolveUnknown(id, o)
	c.resolveRolloutAppend(id, o)
	c.stepQueue(pricing.AppendResult{Now: c.time.Now, RecordID: id, Outcome: o})
}

// resolveFromSnapshot resolves pending records whose outcome is in the snapshot.
func (c *Core) resolveFromSnapshot() {
	for _, id := range c.appends.ids() {
		if o, ok := c.state.Outcomes[id]; ok {
			c.resolveRecord(id, o)
		}
	}
}
