package core

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
	"heathercroft.example/heathercroft/pkg/state"
)

const (
	// evidenceInterval is the shortest time between two reports of one source.
	evidenceInterval = time.Second
	// maxEvidencePerSecond limits the reports that a holder requests: at about 400
	// bytes each they stay under its control traffic budget of 11 KB/s.
	maxEvidencePerSecond = 20
	// sourceTimeout is how long a source that stopped reporting still counts for the
	// report interval.
	sourceTimeout = 30 * time.Second
	// cutNotifyFanout is the number of zone members notified of a cut per repetition.
	cutNotifyFanout = 16
	// statusCandidates is the number of likely successors that get the holder's status.
	statusCandidates = 3
)

// rollouts holds the state machines of all open rollouts.
type rollouts struct {
	rng      *rand.Rand
	trackers map[record.RolloutID]*rolloutTracker
	breaker  *rollout.Breaker
	// totals are this node's call statistics of the services with an open rollout.
	totals rollout.Evidence
}

// rolloutTracker tracks one rollout at this node.
type rolloutTracker struct {
	controller *rollout.Controller
	revision   record.Revision
	rollout    state.Rollout
	// holderStatus is the last status received from the holder.
	holderStatus   HolderStatus
	holderStatusAt time.Duration
	sequence       uint64
	interval       time.Duration
	reportedAt     time.Duration
	sources        map[mesh.NodeID]time.Duration
	// firstHolder is set if this node is the first holder, so that all calls counted
	// by sources belong to traffic shares that it has seen.
	firstHolder bool
}

func newRollouts(cfg Config, rng *rand.Rand) rollouts {
	return rollouts{
		rng: rng, trackers: map[record.RolloutID]*rolloutTracker{}, totals: rollout.Evidence{},
		breaker: rollout.NewBreaker(rollout.BreakerConfig{Self: cfg.Self.ID, Zone: cfg.Self.Zone}),
	}
}

func (r *rollouts) ids() []record.RolloutID { return slices.Sorted(maps.Keys(r.trackers)) }

// rolloutStateChanged creates, updates and removes rollout trackers after a change
// of the state.
func (c *Core) rolloutStateChanged() {
	for _, id := range slices.Sorted(maps.Keys(c.state.Rollouts)) {
		r := c.state.Rollouts[id]
		h := c.rollouts.trackers[id]
		if h == nil && !r.Open() {
			continue
		}
		if h == nil {
			h = &rolloutTracker{
				controller: rollout.NewController(rollout.ControllerConfig{Self: c.cfg.Self.ID, Rollout: id}),
				interval:   evidenceInterval, sources: map[mesh.NodeID]time.Duration{},
			}
			c.rollouts.trackers[id] = h
			h.controller.Step(rollout.CandidatesChanged{Now: c.time.Now, Live: c.live})
			if c.platformKnown {
				h.controller.Step(rollout.PlatformRead{Now: c.platformRespondedAt, Revision: c.state.Revision})
			}
		}
		if h.revision == r.Revision {
			continue
		}
		h.firstHolder = r.Holder == string(c.cfg.Self.ID) && (h.rollout.Epoch == 0 || h.firstHolder)
		h.revision, h.rollout = r.Revision, r
		event := rollout.RolloutChanged{Now: c.time.Now, UnixMS: c.time.UnixMS, Rollout: r, Revision: c.state.Revision}
		c.stepController(h, rollout.ZonesChanged{Now: c.time.Now, Zones: c.rolloutZones(r)})
		c.stepController(h, event)
		c.stepBreaker(event)
		if h.controller.Ended() {
			delete(c.rollouts.trackers, id)
			maps.DeleteFunc(c.rollouts.totals, func(k rollout.Key, _ rollout.Counts) bool { return k.Service == r.Service })
		}
	}
}

func (c *Core) rolloutMembersChanged() {
	live := rollout.CandidatesChanged{Now: c.time.Now, Live: slices.Clone(c.live)}
	c.stepBreaker(live)
	for _, id := range c.rollouts.ids() {
		h := c.rollouts.trackers[id]
		c.stepController(h, live)
		c.stepController(h, rollout.ZonesChanged{Now: c.time.Now, Zones: c.rolloutZones(h.rollout)})
	}
}

// rolloutZones returns the zones with live targets of either version.
func (c *Core) rolloutZones(r state.Rollout) []mesh.AvailabilityZone {
	zones := map[mesh.AvailabilityZone]bool{}
	for _, e := range c.membership.Endpoints() {
		if e.Service == r.Service && !e.Leaving && (e.Version == r.From || e.Version == r.To) {
			zones[e.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// platformResponded records that the platform responded to a reader of the zone.
func (c *Core) platformResponded(at time.Duration) {
	if c.platformKnown && at <= c.platformRespondedAt {
		return
	}
	c.platformRespondedAt, c.platformKnown = at, true
	for _, id := range c.rollouts.ids() {
		c.stepController(c.rollouts.trackers[id], rollout.PlatformRead{Now: at, Revision: c.state.Revision})
	}
}

func (c *Core) tickRollouts() {
	tick := rollout.Tick{Now: c.time.Now, UnixMS: c.time.UnixMS}
	for _, id := range c.rollouts.ids() {
		h := c.rollouts.trackers[id]
		c.stepController(h, tick)
		c.reportEvidence(h)
	}
	c.stepBreaker(tick)
}

func (c *Core) stepRollouts(event Event) {
	switch e := event.(type) {
	case EvidenceCounted:
		c.countEvidence(e.Delta)
	case EvidenceReceived:
		c.receiveEvidence(e.Report)
	case HolderStatusReceived:
		c.holderStatusReceived(e.Status)
	case CutReceived:
		c.cutReceived(e.Cut)
	}
}

// countEvidence adds the statistics of services with an open rollout to the totals.
func (c *Core) countEvidence(delta rollout.Evidence) {
	open := map[string]bool{}
	for _, h := range c.rollouts.trackers {
		open[h.rollout.Service] = true
	}
	relevant := rollout.Evidence{}
	for k, counts := range delta {
		if open[k.Service] {
			relevant[k] = counts
		}
	}
	c.rollouts.totals.Merge(relevant)
	c.stepBreaker(rollout.LocalEvidence{Now: c.time.Now, Delta: relevant})
}

// reportEvidence sends this node's totals to the holder. Nodes with a local target
// of the service report even if they counted nothing, so that a zone without calls
// can be told apart from a partitioned one.
func (c *Core) reportEvidence(h *rolloutTracker) {
	if h.rollout.Holder == "" || c.time.Now-h.reportedAt < h.interval {
		return
	}
	totals := rollout.Evidence{}
	for k, counts := range c.rollouts.totals {
		if k.Service == h.rollout.Service {
			totals[k] = counts
		}
	}
	if len(totals) == 0 && !c.hasTargetOf(h.rollout.Service) {
		return
	}
	h.reportedAt = c.time.Now
	h.sequence++
	report := EvidenceReport{
		Rollout: h.rollout.ID, Source: c.cfg.Self.ID, Session: c.cfg.Self.Session, Zone: c.cfg.Self.Zone,
		Sequence: h.sequence, Totals: totals,
	}
	if mesh.NodeID(h.rollout.Holder) == c.cfg.Self.ID {
		c.receiveEvidence(report)
		return
	}
	c.send(mesh.NodeID(h.rollout.Holder), MethodEvidence, report)
}

func (c *Core) hasTargetOf(service string) bool {
	return c.target != nil && c.target.Service == service
}

func (c *Core) receiveEvidence(r EvidenceReport) {
	h := c.rollouts.trackers[r.Rollout]
	if h == nil {
		return
	}
	if _, known := h.sources[r.Source]; !known && h.firstHolder {
		// A source counts from the start of the rollout and reports once it has
		// counted a call, so the baseline of its first report is empty.
		c.stepController(h, rollout.EvidenceReceived{
			Now: c.time.Now, Source: r.Source, Session: r.Session, Zone: r.Zone, Totals: rollout.Evidence{},
		})
	}
	h.sources[r.Source] = c.time.Now
	c.stepController(h, rollout.EvidenceReceived{
		Now: c.time.Now, Source: r.Source, Session: r.Session, Zone: r.Zone, Sequence: r.Sequence, Totals: r.Totals,
	})
}

func (c *Core) holderStatusReceived(s HolderStatus) {
	h := c.rollouts.trackers[s.Report.Rollout]
	if h == nil || s.Epoch < h.holderStatus.Epoch {
		return
	}
	h.holderStatus, h.holderStatusAt = s, c.time.Now
	h.interval = max(evidenceInterval, time.Duration(s.IntervalMS)*time.Millisecond)
	c.stepController(h, rollout.HolderStatusReceived{Now: c.time.Now, Rollout: s.Report.Rollout, Epoch: s.Epoch})
}

func (c *Core) cutReceived(cut rollout.Cut) {
	event := rollout.CutReceived{Now: c.time.Now, Cut: cut}
	if h := c.rollouts.trackers[cut.Rollout]; h != nil {
		c.stepController(h, event)
	}
	c.stepBreaker(event)
}

func (c *Core) resolveRolloutAppend(id string, o state.Outcome) {
	for _, rid := range c.rollouts.ids() {
		c.stepController(c.rollouts.trackers[rid], rollout.AppendResult{Now: c.time.Now, ID: id, Outcome: o})
	}
}

func (c *Core) stepController(h *rolloutTracker, e rollout.Event) {
	for _, effect := range h.controller.Step(e) {
		switch effect := effect.(type) {
		case rollout.AppendRecord:
			c.submitSystem(effect.Record)
		case rollout.PublishStatus:
			c.publishStatus(h, effect)
		}
	}
}

// publishStatus sends the status to the likely successors, so that none takes over,
// and to the evidence sources, which adopt its report interval.
func (c *Core) publishStatus(h *rolloutTracker, p rollout.PublishStatus) {
	maps.DeleteFunc(h.sources, func(_ mesh.NodeID, seen time.Duration) bool { return c.time.Now-seen > sourceTimeout })
	interval := max(evidenceInterval, time.Duration(len(h.sources))*time.Second/maxEvidencePerSecond)
	status := HolderStatus{Holder: c.cfg.Self.ID, Epoch: p.Epoch, Report: p.Report, IntervalMS: interval.Milliseconds()}
	h.holderStatus, h.holderStatusAt, h.interval = status, c.time.Now, interval
	receivers := map[mesh.NodeID]bool{}
	ranked := mesh.RankNodes(rollout.HolderRankKey(h.rollout.ID), c.live)
	for _, id := range ranked[:min(len(ranked), statusCandidates+1)] {
		receivers[id] = true
	}
	for id := range h.sources {
		receivers[id] = true
	}
	delete(receivers, c.cfg.Self.ID)
	for _, id := range slices.Sorted(maps.Keys(receivers)) {
		c.send(id, MethodHolderStatus, status)
	}
}

func (c *Core) stepBreaker(e rollout.Event) {
	for _, effect := range c.rollouts.breaker.Step(e) {
		switch effect := effect.(type) {
		case rollout.CutVersion:
			c.recordEvent(KindVersionCut, map[string]string{"service": effect.Service, "version": effect.Version, "reason": effect.Reason})
			c.tableDirty = true
		case rollout.LiftCut:
			c.recordEvent(KindCutLifted, map[string]string{"service": effect.Service, "version": effect.Version})
			c.tableDirty = true
		case rollout.NotifyCut:
			c.notifyCut(effect.Cut)
		}
	}
}

// notifyCut notifies the holder and some members of the zone of a cut. It is
// repeated until the rollback is observed.
func (c *Core) notifyCut(cut rollout.Cut) {
	if h := c.rollouts.trackers[cut.Rollout]; h != nil {
		if mesh.NodeID(h.rollout.Holder) == c.cfg.Self.ID {
			c.stepController(h, rollout.CutReceived{Now: c.time.Now, Cut: cut})
		} else if h.rollout.Holder != "" {
			c.send(mesh.NodeID(h.rollout.Holder), MethodCut, cut)
		}
	}
	members := c.zoneMembers()
	c.rollouts.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, id := range members[:min(len(members), cutNotifyFanout)] {
		c.send(id, MethodCut, cut)
	}
}
