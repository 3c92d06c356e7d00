package core

import (
	"net/netip"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/timeline"
)

// Effect is an output of the reducer that an adapter carries out.
type Effect interface{ coreEffect() }

// Send asks for a message to another node. An error is not reported back.
type Send struct {
	To     netip.AddrPort
	Method string
	Params any
}

// SendSnapshot asks for the state to be encoded and sent as the response to a
// pull request. The adapter reports TransferDone.
type SendSnapshot struct {
	To       netip.AddrPort
	Node     mesh.NodeID
	Response PullResponse
}

// ReadLog asks for entries of the log; a new one replaces an unanswered one.
// The adapter answers with LogPage, LogReadFailed or LogOutOfRange.
type ReadLog struct {
	Read uint64
	From record.Revision
	Max  int
	Wait time.Duration
}

// ReadSnapshots asks for the newest whole snapshot of the platform. The adapter
// answers with SnapshotRead or LogReadFailed.
type ReadSnapshots struct{ Read uint64 }

// Append asks for one attempt to append a record. The adapter answers with AppendResult.
type Append struct {
	ID   string
	Data []byte
}

// AppendSnapshot asks for the present state to be appended to the snapshot
// stream. The adapter answers with SnapshotAppended.
type AppendSnapshot struct{ Revision record.Revision }

// PublishTable says that the routing table has to be rebuilt.
type PublishTable struct{}

// PublishReady says whether calls may be served.
type PublishReady struct {
	Ready  bool
	Reason string
}

// TargetLost says that the local target stopped announcing itself without a drain.
type TargetLost struct{}

// CountCrashes hands a crash report of the zone to the call path.
type CountCrashes struct{ Report CrashReport }

// NotifyWaiters wakes those that wait for a change of the state or of a fate.
type NotifyWaiters struct{}

// TimelineEvent is an event for the timeline and the log.
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

// Methods of the messages between nodes.
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
	KindTargetRejected   timeline.Kind = "target-rejected"
	KindVersionCut       timeline.Kind = "version-cut"
	KindCutLifted        timeline.Kind = "cut-lifted"
	KindCutNoticed       timeline.Kind = "cut-noticed"
	KindAppendUnknown    timeline.Kind = "append-unknown"
	KindAppendAbandoned  timeline.Kind = "append-gave-up"
	KindChangeSubmitted  timeline.Kind = "change-submitted"
	KindChangeDecided    timeline.Kind = "change-decided"
	KindRangeLost        timeline.Kind = "log-range-lost"
	KindSnapshotAppended timeline.Kind = "snapshot-appended"
	KindLeaving          timeline.Kind = "node-leaving"
)
