package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
	"heathercroft.example/heathercroft/pkg/routing"
	"heathercroft.example/heathercroft/pkg/state"
)

// State returns a copy of the state.
func (c *Core) State() *state.State { return c.state.Clone() }

// Revision returns the revision in force at this node.
func (c *Core) Revision() record.Revision { return c.state.Revision }

// Target returns the local target; ok is false if none is announced.
func (c *Core) Target() (t mesh.Target, ok bool) {
	if c.target == nil {
		return mesh.Target{}, false
	}
	return *c.target, true
}

// Routing returns the input of the routing table.
func (c *Core) Routing() routing.Input {
	in := routing.Input{
		Revision: c.state.Revision, Services: c.state.Services, Routes: c.state.Routes, Zone: c.cfg.Self.Zone,
	}
	for _, cut := range c.rollouts.breaker.Cuts() {
		in.Cuts = append(in.Cuts, routing.Cut{Service: cut.Service, Version: cut.Version})
	}
	for _, e := range c.membership.Endpoints() {
		in.Endpoints = append(in.Endpoints, routing.FlaggedEndpoint{Endpoint: e.Endpoint, Flags: flagsOf(e)})
	}
	return in
}

func flagsOf(e membership.Endpoint) routing.Flags {
	var flags routing.Flags
	for _, f := range []struct {
		set  bool
		flag routing.Flags
	}{
		{e.Leaving, routing.Leaving},
		{e.Suspect, routing.Suspect},
		{e.Damped, routing.Damped},
		{e.Unreachable, routing.ZoneUnreachable},
	} {
		if f.set {
			flags |= f.flag
		}
	}
	return flags
}

// RevisionCount is the number of nodes that have a revision in force.
type RevisionCount struct {
	Revision record.Revision
	Nodes    int
}

// ZoneReport is this node's view of one zone.
type ZoneReport struct {
	Zone    mesh.AvailabilityZone
	Region  mesh.Region
	Visible bool
	// ContactAge is the time since the last contact with the zone; ContactKnown is
	// false if there was none.
	ContactAge   time.Duration
	ContactKnown bool
	Nodes        int
	Applied      []RevisionCount
	NACKs        []membership.NACK
}

// Zones reports the revisions in force in each zone. Numbers of other zones come
// from the summaries of their readers and are as old as the last contact.
func (c *Core) Zones() []ZoneReport {
	members := map[mesh.AvailabilityZone][]membership.Member{}
	for _, m := range c.membership.Members() {
		if m.State != membership.Dead {
			members[m.Info.Zone] = append(members[m.Info.Zone], m)
		}
	}
	var reports []ZoneReport
	for _, z := range c.membership.Zones() {
		r := ZoneReport{Zone: z.Zone, Visible: z.Reachable, ContactKnown: z.ContactKnown, ContactAge: c.time.Now - z.LastContact}
		if own := members[z.Zone]; len(own) > 0 {
			r.Region = own[0].Info.Region
			r.Nodes = len(own)
			r.Applied, r.NACKs = countRevisions(own)
		}
		if z.Zone == c.cfg.Self.Zone {
			r.Visible, r.ContactKnown, r.ContactAge = true, true, 0
		} else if z.Summary.Version > 0 {
			r.Nodes, r.NACKs = z.Summary.Members, z.Summary.NACKs
			r.Applied = summaryRevisions(z.Summary)
		}
		reports = append(reports, r)
	}
	return reports
}

func countRevisions(members []membership.Member) ([]RevisionCount, []membership.NACK) {
	counts := map[record.Revision]int{}
	var nacks []membership.NACK
	for _, m := range members {
		counts[m.Revision]++
		if m.NACK != "" {
			nacks = append(nacks, membership.NACK{Node: m.Info.ID, Revision: m.Revision, Reason: m.NACK})
		}
	}
	var list []RevisionCount
	for _, revision := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, RevisionCount{Revision: revision, Nodes: counts[revision]})
	}
	return list, nacks
}

// summaryRevisions derives revision counts from the summary of a zone. All nodes
// but one are assumed to have the lowest revision, so that a change is never
// reported in force before the last node has it.
func summaryRevisions(s membership.ZoneSummary) []RevisionCount {
	if s.Members == 0 {
		return nil
	}
	if s.MinRevision == s.MaxRevision || s.Members == 1 {
		return []RevisionCount{{Revision: s.MinRevision, Nodes: s.Members}}
	}
	return []RevisionCount{{Revision: s.MinRevision, Nodes: s.Members - 1}, {Revision: s.MaxRevision, Nodes: 1}}
}

// Members returns all known nodes, dead ones included.
func (c *Core) Members() []membership.Member { return c.membership.Members() }

// DistributionStatus returns the status of the distribution.
func (c *Core) DistributionStatus() distribution.Status { return c.distribution.Status() }

// Head returns the newest revision known to be in the log, and the age of the
// last read of the log by this node; ok is false if it never read it.
func (c *Core) Head() (head record.Revision, age time.Duration, ok bool) {
	return record.Revision(c.head), c.time.Now - c.headReadAt, c.headKnown
}

// PlatformReachable reports whether the platform responded to this node, or to a
// reader of its zone, within the time that a long poll and the distribution of its
// result take.
func (c *Core) PlatformReachable() bool {
	return c.platformKnown && c.time.Now-c.platformRespondedAt < rollout.PlatformReadMaxAge && !c.distribution.Status().PlatformUnavailable
}

// RolloutReport returns the latest report on a rollout. fresh is false if this node
// is not the holder and received no recent status from it.
func (c *Core) RolloutReport(id record.RolloutID) (report rollout.Report, fresh, ok bool) {
	h := c.rollouts.trackers[id]
	if h == nil {
		return rollout.Report{}, false, false
	}
	if h.controller.HoldsClaim() || h.holderStatusAt == 0 {
		return h.controller.Report(), h.controller.HoldsClaim(), true
	}
	return h.holderStatus.Report, c.time.Now-h.holderStatusAt < rollout.HolderTimeout, true
}

// RolloutHolder returns the holder of an open rollout.
func (c *Core) RolloutHolder(id record.RolloutID) (mesh.NodeID, bool) {
	h := c.rollouts.trackers[id]
	if h == nil || h.rollout.Holder == "" {
		return "", false
	}
	return mesh.NodeID(h.rollout.Holder), true
}

// Cuts returns the versions that this node sends no calls to.
func (c *Core) Cuts() []rollout.Cut { return c.rollouts.breaker.Cuts() }

// EstimatePrice estimates the price of a change with a body of that size.
func (c *Core) EstimatePrice(bodyBytes int, wait time.Duration) pricing.Price {
	return c.queue.Estimate(bodyBytes, wait)
}

// ChangeStatus returns the status of an operator's change.
func (c *Core) ChangeStatus(id string) ChangeStatus {
	if f, ok := c.changes.byID[id]; ok {
		return *f
	}
	if o, ok := c.state.Outcomes[id]; ok {
		return ChangeStatus{Stage: StageDecided, Outcome: o, Reason: o.Reason}
	}
	return ChangeStatus{Stage: StageNone}
}

// WaitingChanges returns the changes queued at this node, ordered by due time.
func (c *Core) WaitingChanges() []ChangeStatus {
	var list []ChangeStatus
	for _, f := range c.changes.byID {
		if f.Stage == StageWaiting {
			list = append(list, *f)
		}
	}
	slices.SortFunc(list, func(a, b ChangeStatus) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(a.Submission.ID, b.Submission.ID))
	})
	return list
}

// MalformedRecords returns the number of log entries that were no valid record.
func (c *Core) MalformedRecords() uint64 { return c.state.Malformed }

// LiveNodes returns the nodes that are not dead, this one included. The caller
// must not modify the slice.
func (c *Core) LiveNodes() []mesh.NodeInfo { return c.liveInfo }
