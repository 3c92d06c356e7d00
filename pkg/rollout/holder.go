package rollout

import (
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Timing of the controller.
const (
	// HolderTimeout is how long neither a status message of the holder nor a change of
	// the rollout may arrive before another node claims the rollout.
	HolderTimeout = 6 * time.Second
	// StatusInterval is how often the holder publishes its report: a third of
	// HolderTimeout, so that one lost message causes no takeover.
	StatusInterval = 2 * time.Second
	// AppendRetryInterval is how often an append without a known result is repeated.
	AppendRetryInterval = 2 * time.Second
	// PlatformReadMaxAge is how long a successful read confirms that the platform is
	// readable. A long poll of a reader takes up to 10 s, and the age of its result
	// spreads from the readers to a zone of 167 members in about eight pulls of 2 s.
	PlatformReadMaxAge = 30 * time.Second
	// EvidenceTimeout is how long a zone's evidence may be missing before the weight is
	// no longer raised.
	EvidenceTimeout = 5 * time.Second
	// evaluationInterval is how often the holder compares the versions.
	evaluationInterval = time.Second
)

// falsePositiveRate is the probability of rolling back a good version, over all
// evaluations of a rollout.
const falsePositiveRate = 0.001

// ControllerConfig configures a Controller.
type ControllerConfig struct {
	Self mesh.NodeID
	// Rollout is the id of the rollout that the controller follows.
	Rollout record.RolloutID
	// NewAnalyzer creates the comparison; nil means NewSequentialAnalyzer.
	NewAnalyzer func(AnalyzerConfig) Analyzer
}

// Controller tracks one rollout on every node, and advances it on the node that holds
// its claim. Its invariants: it requests records only under the epoch of its own claim;
// it raises the weight only while the platform is readable, the rollout is progressing,
// no zone's evidence is overdue and the evidence at the current weight permits it; it
// completes the rollout only at full weight after the final soak. A Controller is not
// safe for concurrent use, and is discarded once Ended.
type Controller struct {
	config           ControllerConfig
	rollout          state.Rollout
	known            bool
	revision         record.Revision
	plan             Plan
	live             []mesh.NodeID
	zones            []mesh.AvailabilityZone
	lastPlatformRead time.Duration
	platformWasRead  bool
	// lastHolderProgress is when the current holder was last heard from.
	lastHolderProgress time.Duration
	// weightSinceUnixMS is the wall clock time at which the current weight was first
	// seen.
	weightSinceUnixMS int64
	sources           map[mesh.NodeID]*evidenceSource
	lastEvidence      map[mesh.AvailabilityZone]time.Duration
	// aggregators holds the source that aggregates the evidence of each zone.
	aggregators    map[mesh.AvailabilityZone]mesh.NodeID
	claimedAt      time.Duration
	pending        Evidence
	lastEvaluation time.Duration
	analyzer       Analyzer
	// earlierCalls and earlierFailures count the calls of the new version at earlier
	// weights under this claim.
	earlierCalls, earlierFailures uint64
	cut                           *Cut
	inflight                      *inflightAppend
	attempts                      int
	// rejectedAt is when the last append was rejected, if rejected is set.
	rejectedAt    time.Duration
	rejected      bool
	lastPublished time.Duration
	now           time.Duration
	unixMS        int64
	callRate      callRate
}

// evidenceSource is the last message from one source of evidence.
type evidenceSource struct {
	session  mesh.SessionID
	sequence uint64
	totals   Evidence
}

// inflightAppend is a requested record whose effect on the rollout is not yet visible.
type inflightAppend struct {
	record   record.Record
	sent     time.Duration
	accepted bool
}

// NewController returns a Controller that has not yet received the state of its
// rollout.
func NewController(config ControllerConfig) *Controller {
	if config.NewAnalyzer == nil {
		config.NewAnalyzer = NewSequentialAnalyzer
	}
	return &Controller{
		config: config, sources: map[mesh.NodeID]*evidenceSource{},
		lastEvidence: map[mesh.AvailabilityZone]time.Duration{},
		aggregators:  map[mesh.AvailabilityZone]mesh.NodeID{}, pending: Evidence{},
	}
}

// Ended reports whether the rollout is completed or rolled back.
func (c *Controller) Ended() bool { return c.known && !c.rollout.Open() }

// HoldsClaim reports whether this node holds the rollout's claim.
func (c *Controller) HoldsClaim() bool {
	return c.known && c.rollout.Epoch != 0 && c.rollout.Holder == string(c.config.Self)
}

// Step handles one event.
func (c *Controller) Step(e Event) []Effect {
	switch e := e.(type) {
	case Tick:
		return c.handleTick(e)
	case RolloutChanged:
		return c.handleRolloutChanged(e)
	case CandidatesChanged:
		c.live = slices.Clone(e.Live)
	case PlatformRead:
		c.lastPlatformRead, c.platformWasRead = e.Now, true
		c.revision = max(c.revision, e.Revision)
	case ZonesChanged:
		c.zones = slices.Clone(e.Zones)
	case EvidenceReceived:
		c.handleEvidence(e)
	case CutReceived:
		return c.handleCut(e)
	case HolderStatusReceived:
		if e.Rollout == c.config.Rollout && e.Epoch >= c.rollout.Epoch {
			c.lastHolderProgress = max(c.lastHolderProgress, e.Now)
		}
	case AppendResult:
		c.handleAppendResult(e)
	}
	return nil
}

func (c *Controller) handleTick(e Tick) []Effect {
	c.now, c.unixMS = e.Now, e.UnixMS
	if !c.known || !c.rollout.Open() {
		return nil
	}
	if !c.HoldsClaim() {
		return c.maybeClaim()
	}
	c.evaluate()
	effects := c.reconcile()
	if c.now-c.lastPublished >= StatusInterval || c.lastPublished == 0 {
		c.lastPublished = c.now
		effects = append(effects, PublishStatus{Epoch: c.rollout.Epoch, Report: c.Report()})
	}
	return effects
}

func (c *Controller) handleRolloutChanged(e RolloutChanged) []Effect {
	if e.Rollout.ID != c.config.Rollout || (c.known && e.Rollout.Revision < c.rollout.Revision) {
		return nil
	}
	c.now, c.unixMS = e.Now, e.UnixMS
	c.revision = max(c.revision, e.Revision)
	before, first := c.rollout, !c.known
	c.rollout, c.known = e.Rollout, true
	if first {
		c.plan = NewPlan(e.Rollout.StartUnixMS, e.Rollout.DeadlineUnixMS)
	}
	if first || before.Revision != e.Rollout.Revision {
		c.lastHolderProgress = e.Now
		c.inflight, c.attempts, c.rejected = nil, 0, false
	}
	if first || before.Weight != e.Rollout.Weight {
		c.weightSinceUnixMS = e.UnixMS
	}
	if c.HoldsClaim() && (first || before.Epoch != e.Rollout.Epoch) {
		c.resetAnalysis()
	}
	if c.analyzer != nil && e.Rollout.Weight > before.Weight {
		result := c.analyzer.Analysis()
		c.earlierCalls += result.Calls
		c.earlierFailures += result.Failures
		c.analyzer.WeightRaised()
	}
	return c.handleTick(Tick{Now: e.Now, UnixMS: e.UnixMS})
}

// resetAnalysis starts a new comparison when this node takes over the claim: calls that
// sources counted earlier can no longer be assigned to a weight.
func (c *Controller) resetAnalysis() {
	c.analyzer = c.config.NewAnalyzer(AnalyzerConfig{FalsePositiveRate: falsePositiveRate, PlannedDuration: plannedDuration(c.rollout)})
	c.claimedAt, c.lastEvaluation = c.now, c.now
	c.weightSinceUnixMS = c.unixMS
	c.sources = map[mesh.NodeID]*evidenceSource{}
	c.pending = Evidence{}
	c.callRate = callRate{}
	c.earlierCalls, c.earlierFailures = 0, 0
}

func (c *Controller) handleCut(e CutReceived) []Effect {
	if e.Cut.Rollout != c.config.Rollout || c.cut != nil {
		return nil
	}
	cut := e.Cut
	c.cut = &cut
	if !c.HoldsClaim() || !c.rollout.Open() {
		return nil
	}
	c.now = max(c.now, e.Now)
	return c.reconcile()
}

func (c *Controller) handleAppendResult(e AppendResult) {
	if c.inflight == nil || e.ID != c.inflight.record.ID {
		return
	}
	if e.Outcome.Code == state.Accepted {
		// RolloutChanged follows; until then the record must not be requested again.
		c.inflight.accepted = true
		return
	}
	// The first outcome of an id is final, so a later attempt needs a new id.
	c.inflight = nil
	c.attempts++
	c.rejectedAt, c.rejected = e.Now, true
}
