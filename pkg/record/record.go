// Package record defines the typed records of the platform log and their codec.
//
// A record carries an id chosen by its author, the revision of the author when
// it wrote the record (Base), and the revision that the author presumes for the
// object it changes (ExpectedRevision). With these three, appending the same record
// twice has one effect, and two authors that race are told which record won.
package record

// MaxSize is the largest encoded record in bytes. It bounds what one append can
// cost every node of the mesh.
const MaxSize = 256 << 10

// Schema is the newest record schema that this binary understands.
const Schema = 1

// Revision is the offset of a record in the log. Revision 0 precedes the first record.
type Revision uint64

// Epoch is the offset of the record that granted a claim. Of two epochs for the
// same object the larger one is the valid one.
type Epoch uint64

// Kind names the type of a record's body.
type Kind string

// The kinds of records.
const (
	KindPutService      Kind = "put-service"
	KindDeleteService   Kind = "delete-service"
	KindPutVersion      Kind = "put-version"
	KindDeleteVersion   Kind = "delete-version"
	KindPutRoute        Kind = "put-route"
	KindDeleteRoute     Kind = "delete-route"
	KindStartRollout    Kind = "start-rollout"
	KindPauseRollout    Kind = "pause-rollout"
	KindResumeRollout   Kind = "resume-rollout"
	KindRollBackRollout Kind = "roll-back-rollout"
	KindClaimRollout    Kind = "claim-rollout"
	KindStepRollout     Kind = "step-rollout"
	KindRolloutVerdict  Kind = "rollout-verdict"
	KindCompleteRollout Kind = "complete-rollout"
	KindClaimKeySlot    Kind = "claim-key-slot"
	KindRenewKeySlots   Kind = "renew-key-slots"
	KindReleaseKeySlots Kind = "release-key-slots"
	KindNodeAnnounced   Kind = "node-announced"
	KindBatch           Kind = "batch"
)

// Record is one entry of the log.
type Record struct {
	// ID identifies the record across repeated appends.
	ID string
	// Author is the node that appended the record.
	Author string
	// Base is the author's revision when it wrote the record.
	Base Revision
	// ExpectedRevision is the revision of the object that the record changes, 0 for an
	// object that must not exist yet. For claims it is the current epoch.
	ExpectedRevision Revision
	// Epoch is the claim under which the record was written, 0 if it needs none.
	Epoch Epoch
	// Body holds the change itself.
	Body Body
}

// Body is the typed content of a record.
type Body interface {
	Kind() Kind
}

// RolloutID is the revision of the record that started the rollout.
type RolloutID = Revision

// BasisPoints is a share of traffic in 1/10,000.
type BasisPoints int

// FullWeight is all traffic of a service.
const FullWeight BasisPoints = 10_000

// PutService creates a service whose traffic goes to one initial version, or
// touches an existing one.
type PutService struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// DeleteService removes a service and its versions.
type DeleteService struct {
	Name string `json:"name"`
}

// PutVersion places a version beside the existing ones, without traffic.
type PutVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// DeleteVersion removes a version that carries no traffic.
type DeleteVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// PutRoute sends requests whose path starts with Prefix to a service.
type PutRoute struct {
	Name    string `json:"name"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
}

// DeleteRoute removes a route.
type DeleteRoute struct {
	Name string `json:"name"`
}

// StartRollout begins to move the traffic of a service between two versions.
type StartRollout struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// StartUnixMS is the author's clock when the rollout was requested, in milliseconds.
	StartUnixMS int64 `json:"start_unix_ms"`
	// DeadlineUnixMS is the time by which all traffic must have moved, in milliseconds.
	DeadlineUnixMS int64 `json:"deadline_unix_ms"`
}

// PauseRollout stops a rollout from raising the share of the new version.
type PauseRollout struct {
	Rollout RolloutID `json:"rollout"`
}

// ResumeRollout continues a paused rollout.
type ResumeRollout struct {
	Rollout RolloutID `json:"rollout"`
}

// RollBackCause says who asked for a rollback.
type RollBackCause string

// The causes of a rollback.
const (
	CauseOperator   RollBackCause = "operator"
	CauseComparison RollBackCause = "comparison"
	CauseLocalCut   RollBackCause = "local-cut"
)

// RollBackRollout returns all traffic to the old version.
type RollBackRollout struct {
	Rollout RolloutID     `json:"rollout"`
	Cause   RollBackCause `json:"cause"`
	Reason  string        `json:"reason"`
}

// ClaimRollout makes a node the holder of a rollout. Its offset becomes the epoch.
type ClaimRollout struct {
	Rollout RolloutID `json:"rollout"`
	Holder  string    `json:"holder"`
}

// StepRollout raises the share of the new version.
type StepRollout struct {
	Rollout RolloutID   `json:"rollout"`
	Weight  BasisPoints `json:"weight_bp"`
}

// RolloutVerdict records that the new version passed a comparison at a weight.
type RolloutVerdict struct {
	Rollout RolloutID   `json:"rollout"`
	Weight  BasisPoints `json:"weight_bp"`
	Reason  string      `json:"reason"`
}

// CompleteRollout ends a rollout whose new version carries all traffic.
type CompleteRollout struct {
	Rollout RolloutID `json:"rollout"`
}

// ClaimKeySlot makes a node session the owner of a key slot. ExpectedRevision of the
// record is the slot's last renewal, so a renewal that lands first wins.
type ClaimKeySlot struct {
	Slot    int    `json:"slot"`
	Node    string `json:"node"`
	Session string `json:"session"`
}

// RenewKeySlots extends the leases of all slots that a node session owns.
type RenewKeySlots struct {
	Node    string `json:"node"`
	Session string `json:"session"`
	// Nonce tells the owner which of its renewals this one is.
	Nonce uint64 `json:"nonce"`
}

// ReleaseKeySlots gives up all slots of a node session on a graceful stop.
type ReleaseKeySlots struct {
	Node    string `json:"node"`
	Session string `json:"session"`
	// Successor received the stored results; empty if nobody did.
	Successor string `json:"successor,omitempty"`
}

// NodeAnnounced records the addresses of a node, for the bootstrap of others.
type NodeAnnounced struct {
	Node    string `json:"node"`
	Session string `json:"session"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// RPCAddress is the jsonrpc2 listener, an IP address and port.
	RPCAddress string `json:"rpc_address"`
	// CallAddress is the HTTP listener for calls, an IP address and port.
	CallAddress string `json:"call_address"`
}

// BatchItem is one change of a batch.
type BatchItem struct {
	ExpectedRevision Revision
	Body             Body
}

// Batch applies several changes, all or none of them.
type Batch struct {
	Items []BatchItem
}

// Kind implements Body.
func (PutService) Kind() Kind { return KindPutService }

// Kind implements Body.
func (DeleteService) Kind() Kind { return KindDeleteService }

// Kind implements Body.
func (PutVersion) Kind() Kind { return KindPutVersion }

// Kind implements Body.
func (DeleteVersion) Kind() Kind { return KindDeleteVersion }

// Kind implements Body.
func (PutRoute) Kind() Kind { return KindPutRoute }

// Kind implements Body.
func (DeleteRoute) Kind() Kind { return KindDeleteRoute }

// Kind implements Body.
func (StartRollout) Kind() Kind { return KindStartRollout }

// Kind implements Body.
func (PauseRollout) Kind() Kind { return KindPauseRollout }

// Kind implements Body.
func (ResumeRollout) Kind() Kind { return KindResumeRollout }

// Kind implements Body.
func (RollBackRollout) Kind() Kind { return KindRollBackRollout }

// Kind implements Body.
func (ClaimRollout) Kind() Kind { return KindClaimRollout }

// Kind implements Body.
func (StepRollout) Kind() Kind { return KindStepRollout }

// Kind implements Body.
func (RolloutVerdict) Kind() Kind { return KindRolloutVerdict }

// Kind implements Body.
func (CompleteRollout) Kind() Kind { return KindCompleteRollout }

// Kind implements Body.
func (ClaimKeySlot) Kind() Kind { return KindClaimKeySlot }

// Kind implements Body.
func (RenewKeySlots) Kind() Kind { return KindRenewKeySlots }

// Kind implements Body.
func (ReleaseKeySlots) Kind() Kind { return KindReleaseKeySlots }

// Kind implements Body.
func (NodeAnnounced) Kind() Kind { return KindNodeAnnounced }

// Kind implements Body.
func (Batch) Kind() Kind { return KindBatch }
