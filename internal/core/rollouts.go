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
	// evidencePerSecond bounds the reports that a holder asks for: at about 400
	// bytes each they stay under its control traffic budget of 11 KB/s.
	evidencePerSecond = 20
	// sourceMemory is how long a silent source still counts for the interval.
	sourceMemory = 30 * time.Second
	// cutFanOut is how many members of the zone hear of a cut directly, per repeat.
	cutFanOut = 16
	// statusCandidates is how many likely successors hear the holder's status.
	statusCandidates = 3
)

// rollouts holds the machines of all open rollouts.
type rollouts struct {
	rng     *rand.Rand
	holders map[record.RolloutID]*holding
	cutter  *rollout.Breaker
	// totals is what this node counted of the services with an open rollout.
	totals rollout.Evidence
}

// holding is one rollout as this node follows it.
type holding struct {
	machine  *rollout.Controller
	revision record.Revision
	rollout  state.Rollout
	// heard is the last status of the holder.
	heard    HolderStatus
	heardAt  time.Duration
	sequence uint64
	interval time.Duration
	reported time.Duration
	sources  map[mesh.NodeID]time.Duration
	// first is set if this node is the first holder, so that all that sources
	// counted belongs to shares that it has seen.
	first bool
}

func newRollouts(cfg Config, rng *rand.Rand) rollouts {
	return rollouts{
		rng: rng, holders: map[record.RolloutID]*holding{}, totals: rollout.Evidence{},
		cutter: rollout.NewBreaker(rollout.BreakerConfig{Self: cfg.Self.ID, Zone: cfg.Self.Zone}),
	}
}

func (r *rollouts) ids() []record.RolloutID { return slices.Sorted(maps.Keys(r.holders)) }

// rolloutStateChanged creates, updates and drops machines after the state changed.
func (c *Core) rolloutStateChanged() {
	for _, id := range slices.Sorted(maps.Keys(c.state.Rollouts)) {
		r := c.state.Rollouts[id]
		h := c.rollouts.holders[id]
		if h == nil && !r.Open() {
			continue
		}
		if h == nil {
			h = &holding{
				machine:  rollout.NewController(rollout.ControllerConfig{Self: c.cfg.Self.ID, Rollout: id}),
				interval: evidenceInterval, sources: map[mesh.NodeID]time.Duration{},
			}
			c.rollouts.holders[id] = h
			h.machine.Step(rollout.CandidatesChanged{Now: c.time.Now, Live: c.live})
			if c.platformKnown {
				h.machine.Step(rollout.PlatformRead{Now: c.platformSeen, Revision: c.state.Revision})
			}
		}
		if h.revision == r.Revision {
			continue
		}
		h.first = r.Holder == string(c.cfg.Self.ID) && (h.rollout.Epoch == 0 || h.first)
		h.revision, h.rollout = r.Revision, r
		event := rollout.RolloutChanged{Now: c.time.Now, UnixMS: c.time.UnixMS, Rollout: r, Revision: c.state.Revision}
		c.stepHolder(h, rollout.ZonesChanged{Now: c.time.Now, Zones: c.rolloutZones(r)})
		c.stepHolder(h, event)
		c.stepCutter(event)
		if h.machine.Ended() {
			delete(c.rollouts.holders, id)
			maps.DeleteFunc(c.rollouts.totals, func(k rollout.Key, _ rollout.Counts) bool { return k.Service == r.Service })
		}
	}
}

func (c *Core) rolloutMembersChanged() {
	live := rollout.CandidatesChanged{Now: c.time.Now, Live: slices.Clone(c.live)}
	c.stepCutter(live)
	for _, id := range c.rollouts.ids() {
		h := c.rollouts.holders[id]
		c.stepHolder(h, live)
		c.stepHolder(h, rollout.ZonesChanged{Now: c.time.Now, Zones: c.rolloutZones(h.rollout)})
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

// platformAnswered notes that the platform answered a reader of the zone.
func (c *Core) platformAnswered(at time.Duration) {
	if c.platformKnown && at <= c.platformSeen {
		return
	}
	c.platformSeen, c.platformKnown = at, true
	for _, id := range c.rollouts.ids() {
		c.stepHolder(c.rollouts.holders[id], rollout.PlatformRead{Now: at, Revision: c.state.Revision})
	}
}

func (c *Core) tickRollouts() {
	tick := rollout.Tick{Now: c.time.Now, UnixMS: c.time.UnixMS}
	for _, id := range c.rollouts.ids() {
		h := c.rollouts.holders[id]
		c.stepHolder(h, tick)
		c.reportEvidence(h)
	}
	c.stepCutter(tick)
}

func (c *Core) stepRollouts(event Event) {
	switch e := event.(type) {
	case EvidenceCounted:
		c.countEvidence(e.Delta)
	case EvidenceReceived:
		c.receiveEvidence(e.Report)
	case HolderStatusReceived:
		c.holderHeard(e.Status)
	case CutReceived:
		c.cutReceived(e.Cut)
	}
}

// countEvidence keeps what concerns an open rollout.
func (c *Core) countEvidence(delta rollout.Evidence) {
	open := map[string]bool{}
	for _, h := range c.rollouts.holders {
		open[h.rollout.Service] = true
	}
	relevant := rollout.Evidence{}
	for k, counts := range delta {
		if open[k.Service] {
			relevant[k] = counts
		}
	}
	c.rollouts.totals.Merge(relevant)
	c.stepCutter(rollout.LocalEvidence{Now: c.time.Now, Delta: relevant})
}

// reportEvidence sends this node's totals to the holder. Nodes beside a target
// of the service report even if they counted nothing, so that a zone without
// calls is told from one that is cut off.
func (c *Core) reportEvidence(h *holding) {
	if h.rollout.Holder == "" || c.time.Now-h.reported < h.interval {
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
	h.reported = c.time.Now
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
	h := c.rollouts.holders[r.Rollout]
	if h == nil {
		return
	}
	if _, known := h.sources[r.Source]; !known && h.first {
		// A source counts from the start of the rollout and reports once it has
		// counted a call, so its first report is compared with nothing counted.
		c.stepHolder(h, rollout.EvidenceReceived{
			Now: c.time.Now, Source: r.Source, Session: r.Session, Zone: r.Zone, Totals: rollout.Evidence{},
		})
	}
	h.sources[r.Source] = c.time.Now
	c.stepHolder(h, rollout.EvidenceReceived{
		Now: c.time.Now, Source: r.Source, Session: r.Session, Zone: r.Zone, Sequence: r.Sequence, Totals: r.Totals,
	})
}

func (c *Core) holderHeard(s HolderStatus) {
	h := c.rollouts.holders[s.Report.Rollout]
	if h == nil || s.Epoch < h.heard.Epoch {
		return
	}
	h.heard, h.heardAt = s, c.time.Now
	h.interval = max(evidenceInterval, time.Duration(s.IntervalMS)*time.Millisecond)
	c.stepHolder(h, rollout.HolderStatusReceived{Now: c.time.Now, Rollout: s.Report.Rollout, Epoch: s.Epoch})
}

func (c *Core) cutReceived(cut rollout.Cut) {
	event := rollout.CutReceived{Now: c.time.Now, Cut: cut}
	if h := c.rollouts.holders[cut.Rollout]; h != nil {
		c.stepHolder(h, event)
	}
	c.stepCutter(event)
}

func (c *Core) settleRollouts(id string, o state.Outcome) {
	for _, rid := range c.rollouts.ids() {
		c.stepHolder(c.rollouts.holders[rid], rollout.AppendResult{Now: c.time.Now, ID: id, Outcome: o})
	}
}

func (c *Core) stepHolder(h *holding, e rollout.Event) {
	for _, effect := range h.machine.Step(e) {
		switch effect := effect.(type) {
		case rollout.AppendRecord:
			c.submitSystem(effect.Record)
		case rollout.PublishStatus:
			c.publishStatus(h, effect)
		}
	}
}

// publishStatus tells the likely successors, so that none takes over, and the
// sources of evidence, which learn how often to report.
func (c *Core) publishStatus(h *holding, p rollout.PublishStatus) {
	maps.DeleteFunc(h.sources, func(_ mesh.NodeID, seen time.Duration) bool { return c.time.Now-seen > sourceMemory })
	interval := max(evidenceInterval, time.Duration(len(h.sources))*time.Second/evidencePerSecond)
	status := HolderStatus{Holder: c.cfg.Self.ID, Epoch: p.Epoch, Report: p.Report, IntervalMS: interval.Milliseconds()}
	h.heard, h.heardAt, h.interval = status, c.time.Now, interval
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

func (c *Core) stepCutter(e rollout.Event) {
	for _, effect := range c.rollouts.cutter.Step(e) {
		switch effect := effect.(type) {
		case rollout.CutVersion:
			c.note(KindVersionCut, map[string]string{"service": effect.Service, "version": effect.Version, "reason": effect.Reason})
			c.tableDirty = true
		case rollout.LiftCut:
			c.note(KindCutLifted, map[string]string{"service": effect.Service, "version": effect.Version})
			c.tableDirty = true
		case rollout.NotifyCut:
			c.notifyCut(effect.Cut)
		}
	}
}

// notifyCut tells the holder and some members of the zone; it is repeated until
// the rollback is seen.
func (c *Core) notifyCut(cut rollout.Cut) {
	if h := c.rollouts.holders[cut.Rollout]; h != nil {
		if mesh.NodeID(h.rollout.Holder) == c.cfg.Self.ID {
			c.stepHolder(h, rollout.CutReceived{Now: c.time.Now, Cut: cut})
		} else if h.rollout.Holder != "" {
			c.send(mesh.NodeID(h.rollout.Holder), MethodCut, cut)
		}
	}
	members := c.zoneMembers()
	c.rollouts.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, id := range members[:min(len(members), cutFanOut)] {
		c.send(id, MethodCut, cut)
	}
}
