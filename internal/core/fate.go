package core

import (
	"time"

	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/state"
)

// maxTrackedChanges limits the changes whose status a node keeps for queries.
const maxTrackedChanges = 4096

// Stage is the processing stage of a change.
type Stage string

// The stages of a change.
const (
	StageNone    Stage = "none"
	StageNotRun  Stage = "not-run"
	StageWaiting Stage = "waiting"
	// StageSent means that the record was sent to the platform and not read back yet.
	StageSent    Stage = "sent"
	StageUnknown Stage = "unknown"
	StageDecided Stage = "decided"
)

// ChangeStatus is the status of a change.
type ChangeStatus struct {
	Submission Submission
	Stage      Stage
	Outcome    state.Outcome
	Reason     string
	// Due is the latest time of the append on the node's monotonic clock.
	Due   time.Duration
	Price pricing.Price
}

// changeTracker tracks the changes that operators submitted to this node.
type changeTracker struct {
	byID  map[string]*ChangeStatus
	order []string
	// changesByRecord maps a record ID to the changes that the record contains.
	changesByRecord map[string][]string
	// uncertain holds changes whose append was abandoned and may have succeeded.
	uncertain map[string]bool
	// queuedSystemIDs holds the IDs of the queued system records.
	queuedSystemIDs map[string]bool
}

func newChangeTracker() changeTracker {
	return changeTracker{
		byID: map[string]*ChangeStatus{}, changesByRecord: map[string][]string{},
		uncertain: map[string]bool{}, queuedSystemIDs: map[string]bool{},
	}
}

// add starts to track a change and reports whether it is new.
func (t *changeTracker) add(s Submission) bool {
	if _, ok := t.byID[s.ID]; ok {
		return false
	}
	t.byID[s.ID] = &ChangeStatus{Submission: s, Stage: StageWaiting}
	t.order = append(t.order, s.ID)
	if len(t.order) > maxTrackedChanges {
		delete(t.byID, t.order[0])
		t.order = t.order[1:]
	}
	return true
}

// addSystemRecord marks a system record as queued and reports whether it was not.
func (t *changeTracker) addSystemRecord(id string) bool {
	if t.queuedSystemIDs[id] {
		return false
	}
	t.queuedSystemIDs[id] = true
	return true
}

func (t *changeTracker) markQueued(w pricing.ChangeQueued) {
	if status, ok := t.byID[w.ChangeID]; ok {
		status.Stage, status.Due, status.Price = StageWaiting, w.Until, w.Price
	}
}

func (t *changeTracker) markAppending(a pricing.AppendRecord) {
	delete(t.queuedSystemIDs, a.Record.ID)
	if len(a.Changes) > 0 {
		t.changesByRecord[a.Record.ID] = a.Changes
	}
	for _, id := range a.Changes {
		if status, ok := t.byID[id]; ok {
			status.Stage, status.Reason = StageSent, "handed to the platform, not read back yet"
		}
	}
}

func (t *changeTracker) markAbandoned(recordID string, mayHaveRun bool) {
	if !mayHaveRun {
		delete(t.changesByRecord, recordID)
		return
	}
	for _, id := range t.changesByRecord[recordID] {
		t.uncertain[id] = true
	}
}

// resolveUnknown handles the outcome of a record that was read back. It decides
// changes that were reported as unknown before.
func (t *changeTracker) resolveUnknown(recordID string, o state.Outcome) {
	for _, id := range t.changesByRecord[recordID] {
		if status, ok := t.byID[id]; ok && status.Stage == StageUnknown {
			status.Stage, status.Outcome, status.Reason = StageDecided, o, o.Reason
		}
	}
	delete(t.changesByRecord, recordID)
}

// finish stores the final result of a change. A change whose attempts were all
// refused by the platform is known not to have run.
func (t *changeTracker) finish(a pricing.ChangeResult) {
	uncertain := t.uncertain[a.ChangeID]
	delete(t.uncertain, a.ChangeID)
	status, ok := t.byID[a.ChangeID]
	if !ok {
		return
	}
	status.Price = a.Price
	switch {
	case !a.Unknown:
		status.Stage, status.Outcome, status.Reason = StageDecided, a.Outcome, a.Outcome.Reason
	case uncertain:
		status.Stage, status.Reason = StageUnknown, a.Reason
	default:
		status.Stage, status.Reason = StageNotRun, a.Reason
	}
}
