package core

import (
	"time"

	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/state"
)

// maxTrackedChanges bounds how many changes a node remembers for queries.
const maxTrackedChanges = 4096

// Stage is how far a change has come.
type Stage string

// The stages of a change.
const (
	StageNone    Stage = "none"
	StageNotRun  Stage = "not-run"
	StageWaiting Stage = "waiting"
	// StageSent: the record was handed to the platform and not read back yet.
	StageSent    Stage = "sent"
	StageUnknown Stage = "unknown"
	StageDecided Stage = "decided"
)

// ChangeStatus is what became of a change.
type ChangeStatus struct {
	Submission Submission
	Stage      Stage
	Outcome    state.Outcome
	Reason     string
	// Due is the latest time of the append on the node's monotonic clock.
	Due   time.Duration
	Price pricing.Price
}

// changeTracker remembers the changes of operators at this node.
type changeTracker struct {
	byID  map[string]*ChangeStatus
	order []string
	// changesByRecord maps a record to the changes that it carries.
	changesByRecord map[string][]string
	// uncertain holds records that were given up and may have been appended.
	uncertain map[string]bool
	// queuedSystemIDs holds the queued records of the system.
	queuedSystemIDs map[string]bool
}

func newChangeTracker() changeTracker {
	return changeTracker{
		byID: map[string]*ChangeStatus{}, changesByRecord: map[string][]string{},
		uncertain: map[string]bool{}, queuedSystemIDs: map[string]bool{},
	}
}

// add reports whether the change is new.
func (f *changeTracker) add(s Submission) bool {
	if _, ok := f.byID[s.ID]; ok {
		return false
	}
	f.byID[s.ID] = &ChangeStatus{Submission: s, Stage: StageWaiting}
	f.order = append(f.order, s.ID)
	if len(f.order) > maxTrackedChanges {
		delete(f.byID, f.order[0])
		f.order = f.order[1:]
	}
	return true
}

// addSystemRecord reports whether a record of the addSystemRecord is not queued yet.
func (f *changeTracker) addSystemRecord(id string) bool {
	if f.queuedSystemIDs[id] {
		return false
	}
	f.queuedSystemIDs[id] = true
	return true
}

func (f *changeTracker) markQueued(w pricing.ChangeQueued) {
	if fate, ok := f.byID[w.ChangeID]; ok {
		fate.Stage, fate.Due, fate.Price = StageWaiting, w.Until, w.Price
	}
}

func (f *changeTracker) markAppending(a pricing.AppendRecord) {
	delete(f.queuedSystemIDs, a.Record.ID)
	if len(a.Changes) > 0 {
		f.changesByRecord[a.Record.ID] = a.Changes
	}
	for _, id := range a.Changes {
		if fate, ok := f.byID[id]; ok {
			fate.Stage, fate.Reason = StageSent, "handed to the platform, not read back yet"
		}
	}
}

func (f *changeTracker) markAbandoned(recordID string, mayHaveRun bool) {
	if !mayHaveRun {
		delete(f.changesByRecord, recordID)
		return
	}
	for _, id := range f.changesByRecord[recordID] {
		f.uncertain[id] = true
	}
}

// resolveUnknown takes in the outcome of a record that was read back. Changes that were
// reported as unknown before are decided by it.
func (f *changeTracker) resolveUnknown(recordID string, o state.Outcome) {
	for _, id := range f.changesByRecord[recordID] {
		if fate, ok := f.byID[id]; ok && fate.Stage == StageUnknown {
			fate.Stage, fate.Outcome, fate.Reason = StageDecided, o, o.Reason
		}
	}
	delete(f.changesByRecord, recordID)
}

// finish stores the end of a change. A change whose attempts were all refused
// by the platform is known not to have run.
func (f *changeTracker) finish(a pricing.ChangeResult) {
	uncertain := f.uncertain[a.ChangeID]
	delete(f.uncertain, a.ChangeID)
	fate, ok := f.byID[a.ChangeID]
	if !ok {
		return
	}
	fate.Price = a.Price
	switch {
	case !a.Unknown:
		fate.Stage, fate.Outcome, fate.Reason = StageDecided, a.Outcome, a.Outcome.Reason
	case uncertain:
		fate.Stage, fate.Reason = StageUnknown, a.Reason
	default:
		fate.Stage, fate.Reason = StageNotRun, a.Reason
	}
}
