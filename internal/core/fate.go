package core

import (
	"time"

	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/state"
)

// fatesKept bounds how many changes a node remembers for queries.
const fatesKept = 4096

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

// fates remembers the changes of operators at this node.
type fates struct {
	byID  map[string]*ChangeStatus
	order []string
	// carriers maps a record to the changes that it carries.
	carriers map[string][]string
	// uncertain holds records that were given up and may have been appended.
	uncertain map[string]bool
	// systemIDs holds the queued records of the system.
	systemIDs map[string]bool
}

func newFates() fates {
	return fates{
		byID: map[string]*ChangeStatus{}, carriers: map[string][]string{},
		uncertain: map[string]bool{}, systemIDs: map[string]bool{},
	}
}

// submitted reports whether the change is new.
func (f *fates) submitted(s Submission) bool {
	if _, ok := f.byID[s.ID]; ok {
		return false
	}
	f.byID[s.ID] = &ChangeStatus{Submission: s, Stage: StageWaiting}
	f.order = append(f.order, s.ID)
	if len(f.order) > fatesKept {
		delete(f.byID, f.order[0])
		f.order = f.order[1:]
	}
	return true
}

// system reports whether a record of the system is not queued yet.
func (f *fates) system(id string) bool {
	if f.systemIDs[id] {
		return false
	}
	f.systemIDs[id] = true
	return true
}

func (f *fates) waiting(w pricing.ChangeQueued) {
	if fate, ok := f.byID[w.ChangeID]; ok {
		fate.Stage, fate.Due, fate.Price = StageWaiting, w.Until, w.Price
	}
}

func (f *fates) appended(a pricing.AppendRecord) {
	delete(f.systemIDs, a.Record.ID)
	if len(a.Changes) > 0 {
		f.carriers[a.Record.ID] = a.Changes
	}
	for _, id := range a.Changes {
		if fate, ok := f.byID[id]; ok {
			fate.Stage, fate.Reason = StageSent, "handed to the platform, not read back yet"
		}
	}
}

func (f *fates) gaveUp(recordID string, mayHaveRun bool) {
	if !mayHaveRun {
		delete(f.carriers, recordID)
		return
	}
	for _, id := range f.carriers[recordID] {
		f.uncertain[id] = true
	}
}

// settled takes in the outcome of a record that was read back. Changes that were
// reported as unknown before are decided by it.
func (f *fates) settled(recordID string, o state.Outcome) {
	for _, id := range f.carriers[recordID] {
		if fate, ok := f.byID[id]; ok && fate.Stage == StageUnknown {
			fate.Stage, fate.Outcome, fate.Reason = StageDecided, o, o.Reason
		}
	}
	delete(f.carriers, recordID)
}

// answered stores the end of a change. A change whose attempts were all refused
// by the platform is known not to have run.
func (f *fates) answered(a pricing.ChangeResult) {
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
