package core

import (
	"net/netip"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/timeline"
)

// Effect is an output of the reducer that an adapter executes.
type Effect interface{ coreEffect() }

// Send sends a message to another node. Errors are not reported back.
type Send struct {
	To     netip.AddrPort
	Method string
	Params any
}

// SendSnapshot encodes the state and sends it in the response to a pull request.
// The adapter reports TransferDone.
type SendSnapshot struct {
	To       netip.AddrPort
	Node     mesh.NodeID
	Response PullResponse
}

// ReadLog reads entries of the log and cancels an earlier read that is still open.
// The adapter responds with LogPage, LogReadFailed or LogOutOfRange.
type ReadLog struct {
	Read uint64
	From record.Revision
	Max  int
	Wait time.Duration
}

// ReadSnapshots reads the newest complete snapshot from the platform. The adapter
// responds with SnapshotRead or LogReadFailed.
type ReadSnapshots struct{ Read uint64 }

// Append makes one attempt to append a record. The adapter responds with AppendResult.
type Append struct {
	ID   string
	Data []byte
}

// AppendSnapshot appends the current state to the snapshot stream. The adapter
// responds with SnapshotAppended.
type AppendSnapshot struct{ Revision record.Revision }

// PublishTable rebuilds and publishes the routing table.
type PublishTable struct{}

// PublishReady publishes whether calls may be served.
type PublishReady struct {
	Ready  bool
	Reason string
}

// TargetLost reports that the local target stopped announcing itself without a drain.
type TargetLost struct{}

// CountCrashes passes a crash report from a node of the zone to the call path.
type CountCrashes struct{ Report CrashReport }

// NotifyWaiters wakes callers that wait for a new state or change status.
type NotifyWaiters struct{}

// TimelineEvent is an event for the timeline and the process log.
type TimelineEvent struct {
	Kind     timeline.Kind
	Revision record.Revision
	Fields   map[string]string
}

func (Send) coreEffect()           {}
func (SendSnapshot) coreEffect()   {}
func (ReadLog) coreEffect()        {}
func (ReadSnapshots) coreEffect()  {}
func (Append) coreEffect()         {}
func (AppendSnapshot) coreEffect() {}
func (PublishTable) coreEffect()   {}
func (PublishReady) coreEffect()   {}
func (NotifyWaiters) coreEffect()  {}
func (TargetLost) coreEffect()     {}
func (CountCrashes) coreEffect()   {}
func (TimelineEvent) coreEffect()  {}

// RPC methods of the messages between nodes.
const (
	MethodMembership   = "membership.message"
	MethodPush         = "distribution.push"
	MethodPull         = "distribution.pull"
	MethodPullResponse = "distribution.answer"
	MethodEvidence     = "rollout.evidence"
	MethodHolderStatus = "rollout.status"
	MethodCut          = "rollout.cut"
	MethodCrash        = "callpath.crash"
)

// Kinds of timeline events.
const (
	KindRecordApplied    timeline.Kind = "record-applied"
	KindSnapshotApplied  timeline.Kind = "snapshot-installed"
	KindNACK             timeline.Kind = "nack"
	KindReady            timeline.Kind = "ready"
	KindNotReady         timeline.Kind = "not-ready"
	KindMemberState      timeline.Kind = "member-state"
	KindZoneReachable    timeline.Kind = "zone-reachable"
	KindZoneUnreachable  timeline.Kind = "zone-unreachable"
	KindTargetAnnounced  timeline.Kind = "target-announced"
	KindTargetLeaving    timeline.Kind = "target-leaving"
	KindTargetExpired    timeline.Kind = "target-gone"
	KindTargetLate       timeline.Kind = "target-late"
	KindTargetRejected   timeline.Kind = "target-rejected"
	KindVersionCut       timeline.Kind = "version-cut"
	KindCutLifted        timeline.Kind = "cut-lifted"
	KindCutNoticed       timeline.Kind = "cut-noticed"
	KindAppendUnknown    timeline.Kind = "append-unknown"
	KindAppendAbandoned  timeline.Kind = "append-gave-up"
	KindChangeSubmitted  timeline.Kind = "change-submitted"
	KindChangeDecided    timeline.Kind = "change-decided"
	KindRangeLost        timeline.Kind = "log-range-lost"
	KindLogRestored      timeline.Kind = "log-restored"
	KindSnapshotAppended timeline.Kind = "snapshot-appended"
	KindLeaving          timeline.Kind = "node-leaving"
)
