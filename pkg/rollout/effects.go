package rollout

import (
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Effect is an output of Controller or Breaker that an adapter carries out.
type Effect interface{ rolloutEffect() }

// AppendRecord asks for a record to be appended to the log. The same record is
// asked for again every AppendRetryInterval until its result is seen; its id stays the
// same, so repeated appends have one effect.
type AppendRecord struct {
	Record record.Record
}

// PublishStatus asks to send the holder's report to the readers of all zones,
// which pass it on. Other nodes take it as HolderStatusReceived.
type PublishStatus struct {
	Epoch  record.Epoch
	Report Report
}

// Cut says that a node stopped sending calls to a version.
type Cut struct {
	Rollout record.RolloutID      `json:"rollout"`
	Service string                `json:"service"`
	Version string                `json:"version"`
	Node    mesh.NodeID           `json:"node"`
	Zone    mesh.AvailabilityZone `json:"zone"`
	Reason  string                `json:"reason"`
}

// CutVersion sets this node's own share of a version to 0 at once.
type CutVersion struct {
	Service string
	Version string
	Reason  string
}

// LiftCut ends a cut because a later rollout of the service was started.
type LiftCut struct {
	Service string
	Version string
}

// NotifyCut asks to tell the zone's members and the holder about a cut. It is
// repeated every CutNotifyInterval until the rollout's rollback is seen.
type NotifyCut struct {
	Cut Cut
}

func (AppendRecord) rolloutEffect()  {}
func (PublishStatus) rolloutEffect() {}
func (CutVersion) rolloutEffect()    {}
func (LiftCut) rolloutEffect()       {}
func (NotifyCut) rolloutEffect()     {}
