package rollout

import (
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Effect is an output of Controller or Breaker that an adapter carries out.
type Effect interface{ rolloutEffect() }

// AppendRecord requests that a record be appended to the log. The same record is
// requested again every AppendRetryInterval until its result is known; its id stays the
// same, so repeated appends take effect once.
type AppendRecord struct {
	Record record.Record
}

// PublishStatus requests that the holder's report be sent to the readers of all zones,
// which forward it. Other nodes receive it as HolderStatusReceived.
type PublishStatus struct {
	Epoch  record.Epoch
	Report Report
}

// Cut states that a node stopped sending calls to a version.
type Cut struct {
	Rollout record.RolloutID      `json:"rollout"`
	Service string                `json:"service"`
	Version string                `json:"version"`
	Node    mesh.NodeID           `json:"node"`
	Zone    mesh.AvailabilityZone `json:"zone"`
	Reason  string                `json:"reason"`
}

// CutVersion sets the weight of a version to 0 on this node immediately.
type CutVersion struct {
	Service string
	Version string
	Reason  string
}

// LiftCut ends a cut because a later rollout of the service has started.
type LiftCut struct {
	Service string
	Version string
}

// NotifyCut requests that the zone's members and the holder be told of a cut. It is
// repeated every CutNotifyInterval until the rollback of the rollout is visible.
type NotifyCut struct {
	Cut Cut
}

func (AppendRecord) rolloutEffect()  {}
func (PublishStatus) rolloutEffect() {}
func (CutVersion) rolloutEffect()    {}
func (LiftCut) rolloutEffect()       {}
func (NotifyCut) rolloutEffect()     {}
