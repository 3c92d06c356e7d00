package rollout

import (
	"fmt"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Status is the state of a rollout that is shown to operators.
type Status string

// The statuses. StatusUnknown is reported by a node that has not read the rollout or can't
// read the platform, and by a holder that lacks the evidence of a zone. It never replaces
// the status of an ended rollout.
const (
	StatusWaiting    Status = "waiting"
	StatusInProgress Status = "in progress"
	StatusPaused     Status = "paused"
	StatusAtRisk     Status = "at risk"
	StatusDone       Status = "done"
	StatusRolledBack Status = "reversed"
	StatusUnknown    Status = "unknown"
)

// Report is the state of a rollout for operators.
type Report struct {
	Rollout record.RolloutID   `json:"rollout"`
	Service string             `json:"service"`
	From    string             `json:"from"`
	To      string             `json:"to"`
	Status  Status             `json:"status"`
	Weight  record.BasisPoints `json:"weight_bp"`
	// Reason is one sentence; it is set for every status but in progress.
	Reason string `json:"reason,omitempty"`
	// ExpectedUnixMS is when the rollout is expected to complete, in milliseconds, 0
	// if unknown.
	ExpectedUnixMS int64 `json:"expected_unix_ms,omitempty"`
	DeadlineUnixMS int64 `json:"deadline_unix_ms"`
	// ZonesWithoutEvidence lists the zones whose evidence is missing.
	ZonesWithoutEvidence []mesh.AvailabilityZone `json:"unseen,omitempty"`
	// Calls and Failures of the new version since the last raise of its weight.
	Calls    uint64 `json:"calls"`
	Failures uint64 `json:"failures"`
}

// Report returns the state of the rollout as this node sees it.
func (c *Controller) Report() Report {
	r := Report{Rollout: c.config.Rollout, Status: StatusUnknown, Reason: "the rollout has not been read yet"}
	if !c.known {
		return r
	}
	r.Service, r.From, r.To = c.rollout.Service, c.rollout.From, c.rollout.To
	r.Weight, r.DeadlineUnixMS = c.rollout.Weight, c.rollout.DeadlineUnixMS
	switch c.rollout.Status {
	case state.RolloutDone:
		r.Status, r.Reason = StatusDone, c.rollout.Reason
		return r
	case state.RolloutRolledBack:
		r.Status, r.Reason = StatusRolledBack, c.rollout.Reason
		return r
	}
	if !c.platformReadable() {
		r.Reason = "this node can't read the platform"
		return r
	}
	return c.openReport(r)
}

func (c *Controller) openReport(r Report) Report {
	if c.rollout.Epoch == 0 {
		r.Status, r.Reason = StatusWaiting, "no node holds the rollout yet"
		return r
	}
	r.Status, r.Reason = StatusInProgress, ""
	if c.rollout.Status == state.RolloutPaused {
		r.Status, r.Reason = StatusPaused, "paused by an operator"
	}
	if c.cut != nil {
		r.Status = StatusAtRisk
		r.Reason = fmt.Sprintf("cut by node %s in zone %s, the rollback is not in the log yet: %s", c.cut.Node, c.cut.Zone, c.cut.Reason)
		return r
	}
	if !c.HoldsClaim() {
		if c.now-c.lastHolderProgress >= HolderTimeout {
			r.Status, r.Reason = StatusWaiting, fmt.Sprintf("the holder %s is silent, another node takes over", c.rollout.Holder)
		}
		return r
	}
	result := c.analyzer.Analysis()
	r.Calls, r.Failures = result.Calls, result.Failures
	r.ZonesWithoutEvidence = c.zonesWithoutEvidence()
	if len(r.ZonesWithoutEvidence) > 0 {
		r.Status, r.Reason = StatusUnknown, fmt.Sprintf("evidence of zones %v is missing", r.ZonesWithoutEvidence)
		return r
	}
	if r.Status == StatusInProgress {
		c.addForecast(&r, result)
	}
	return r
}

// addForecast sets the expected time of completion, and the status at risk if the
// remaining steps do not fit before the deadline at the present call rate.
func (c *Controller) addForecast(r *Report, result Analysis) {
	expected, known := c.project(result)
	r.ExpectedUnixMS = expected
	switch {
	case !known:
		r.Status, r.Reason = StatusAtRisk, "no calls arrive, so that the versions can't be compared"
	case expected > c.rollout.DeadlineUnixMS:
		r.Status = StatusAtRisk
		r.Reason = fmt.Sprintf("expected %d s after the deadline", (expected-c.rollout.DeadlineUnixMS+999)/1000)
		if result.Reason != "" && result.Verdict == VerdictUndecided {
			r.Reason += ": " + result.Reason
		}
	}
}
