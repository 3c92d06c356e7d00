package rollout

import (
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Bounds of the holder.
const (
	// HolderTimeout is how long a holder may be silent before another node claims.
	HolderTimeout = 6 * time.Second
	// StatusInterval is how often the holder publishes its report: a third of
	// HolderTimeout, so that one lost message causes no takeover.
	StatusInterval = 2 * time.Second
	// AppendRetryInterval is how often an append without a result is asked for again.
	AppendRetryInterval = 2 * time.Second
	// PlatformReadMaxAge is how long an answer of the platform confirms that it is
	// readable. A long poll of a reader takes up to 10 s, and its age spreads from
	// the readers to a zone of 167 members in about eight pulls of 2 s.
	PlatformReadMaxAge = 30 * time.Second
	// EvidenceTimeout is how long a zone's evidence may be missing before no share
	// is raised any more.
	EvidenceTimeout = 5 * time.Second
	// lookInterval is how often the holder compares.
	lookInterval = time.Second
)

// falseAlarm is the probability of taking back a good version, over all looks.
const falseAlarm = 0.001

// ControllerConfig sets up a Controller.
type ControllerConfig struct {
	Self mesh.NodeID
	// Rollout is the id of the rollout that this machine follows.
	Rollout record.RolloutID
	// NewAnalyzer makes the comparison; nil means NewSequential.
	NewAnalyzer func(AnalyzerConfig) Analyzer
}

// Controller follows one rollout on every node, and drives it on the node that holds
// its claim. Its invariants: it asks for records only under the epoch of its own
// claim; it raises a share only while the platform is readable, the rollout is
// progressing, no zone's evidence is overdue and the present share passed; it
// completes only at full weight after the final soak. The caller owns a Controller
// from one goroutine and drops it once Ended.
type Controller struct {
	config   ControllerConfig
	rollout  state.Rollout
	known    bool
	revision record.Revision
	plan     Plan
	live     []mesh.NodeID
	zones    []mesh.AvailabilityZone
	read     time.Duration
	readSeen bool
	// progress is when the present holder was last heard of.
	progress time.Duration
	// raisedMS is the wall clock time at which the present share was seen first.
	raisedMS  int64
	sources   map[mesh.NodeID]*source
	zoneHeard map[mesh.AvailabilityZone]time.Duration
	// aggregators holds the source that sums up each zone.
	aggregators map[mesh.AvailabilityZone]mesh.NodeID
	heldSince   time.Duration
	pending     Evidence
	looked      time.Duration
	judge       Analyzer
	// calls and failures of the new version at earlier shares under this claim.
	calls, failures uint64
	cut             *Cut
	flight          *flight
	attempts        int
	// refusedAt is when the last append was refused, if refused is set.
	refusedAt time.Duration
	refused   bool
	told      time.Duration
	now       time.Duration
	unixMS    int64
	rate      evidenceRate
}

// source is what was last received from one source of evidence.
type source struct {
	session  mesh.SessionID
	sequence uint64
	totals   Evidence
}

// flight is a record whose effect on the rollout has not been seen.
type flight struct {
	record   record.Record
	sent     time.Duration
	accepted bool
}

// NewController returns a machine that knows nothing but the rollout's id.
func NewController(config ControllerConfig) *Controller {
	if config.NewAnalyzer == nil {
		config.NewAnalyzer = NewSequentialAnalyzer
	}
	return &Controller{
		config: config, sources: map[mesh.NodeID]*source{},
		zoneHeard:   map[mesh.AvailabilityZone]time.Duration{},
		aggregators: map[mesh.AvailabilityZone]mesh.NodeID{}, pending: Evidence{},
	}
}

// Ended reports whether the rollout is done or taken back.
func (h *Controller) Ended() bool { return h.known && !h.rollout.Open() }

// Holding reports whether this node holds the rollout's claim.
func (h *Controller) Holding() bool {
	return h.known && h.rollout.Epoch != 0 && h.rollout.Holder == string(h.config.Self)
}

// Step handles one event.
func (h *Controller) Step(e Event) []Effect {
	switch e := e.(type) {
	case Tick:
		return h.tick(e)
	case RolloutChanged:
		return h.rolloutChanged(e)
	case CandidatesChanged:
		h.live = slices.Clone(e.Live)
	case PlatformRead:
		h.read, h.readSeen = e.Now, true
		h.revision = max(h.revision, e.Revision)
	case ZonesChanged:
		h.zones = slices.Clone(e.Zones)
	case EvidenceReceived:
		h.evidence(e)
	case CutReceived:
		return h.cutNoticed(e)
	case HolderStatusReceived:
		if e.Rollout == h.config.Rollout && e.Epoch >= h.rollout.Epoch {
			h.progress = max(h.progress, e.Now)
		}
	case AppendResult:
		h.settled(e)
	}
	return nil
}

func (h *Controller) tick(e Tick) []Effect {
	h.now, h.unixMS = e.Now, e.UnixMS
	if !h.known || !h.rollout.Open() {
		return nil
	}
	if !h.Holding() {
		return h.maybeClaim()
	}
	h.look()
	effects := h.drive()
	if h.now-h.told >= StatusInterval || h.told == 0 {
		h.told = h.now
		effects = append(effects, PublishStatus{Epoch: h.rollout.Epoch, Report: h.Report()})
	}
	return effects
}

func (h *Controller) rolloutChanged(e RolloutChanged) []Effect {
	if e.Rollout.ID != h.config.Rollout || (h.known && e.Rollout.Revision < h.rollout.Revision) {
		return nil
	}
	h.now, h.unixMS = e.Now, e.UnixMS
	h.revision = max(h.revision, e.Revision)
	before, first := h.rollout, !h.known
	h.rollout, h.known = e.Rollout, true
	if first {
		h.plan = NewPlan(e.Rollout.StartUnixMS, e.Rollout.DeadlineUnixMS)
	}
	if first || before.Revision != e.Rollout.Revision {
		h.progress = e.Now
		h.flight, h.attempts, h.refused = nil, 0, false
	}
	if first || before.Weight != e.Rollout.Weight {
		h.raisedMS = e.UnixMS
	}
	if h.Holding() && (first || before.Epoch != e.Rollout.Epoch) {
		h.takeOver()
	}
	if h.judge != nil && e.Rollout.Weight > before.Weight {
		j := h.judge.Analysis()
		h.calls += j.Calls
		h.failures += j.Failures
		h.judge.WeightRaised()
	}
	return h.tick(Tick{Now: e.Now, UnixMS: e.UnixMS})
}

// takeOver starts the comparison afresh: evidence counted under other shares
// can't be split by time any more.
func (h *Controller) takeOver() {
	h.judge = h.config.NewAnalyzer(AnalyzerConfig{FalsePositiveRate: falseAlarm, PlannedDuration: plannedTime(h.rollout)})
	h.heldSince, h.looked = h.now, h.now
	h.raisedMS = h.unixMS
	h.sources = map[mesh.NodeID]*source{}
	h.pending = Evidence{}
	h.rate = evidenceRate{}
	h.calls, h.failures = 0, 0
}

func (h *Controller) cutNoticed(e CutReceived) []Effect {
	if e.Cut.Rollout != h.config.Rollout || h.cut != nil {
		return nil
	}
	cut := e.Cut
	h.cut = &cut
	if !h.Holding() || !h.rollout.Open() {
		return nil
	}
	h.now = max(h.now, e.Now)
	return h.drive()
}

func (h *Controller) settled(e AppendResult) {
	if h.flight == nil || e.ID != h.flight.record.ID {
		return
	}
	if e.Outcome.Code == state.Accepted {
		// RolloutChanged follows; until then the record must not be asked for again.
		h.flight.accepted = true
		return
	}
	// The id is spent: its first outcome stands, so a later try needs a new one.
	h.flight = nil
	h.attempts++
	h.refusedAt, h.refused = e.Now, true
}
