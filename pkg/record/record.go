// Package record defines the typed records of the platform log and their codec.
//
// A record carries an ID chosen by its author, the author's revision when it
// wrote the record (Base), and the revision that the author expects the changed
// object to have (ExpectedRevision). Together they make repeated appends of a
// record idempotent and let concurrent authors detect which record won.
package record

// MaxSize is the maximum size of an encoded record in bytes. It bounds the cost
// of one append for every node of the mesh.
const MaxSize = 256 << 10

// Schema is the newest record schema that this binary supports.
const Schema = 1

// Revision is the offset of a record in the log. Revision 0 precedes the first record.
type Revision uint64

// Epoch is the offset of the record that granted a claim. If an object has had
// several claims, the one with the largest epoch is valid.
type Epoch uint64

// Kind is the type of a record's body.
type Kind string

// Record kinds.
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
	// ID identifies the record across repeated appends and is used to deduplicate them.
	ID string
	// Author is the node that appended the record.
	Author string
	// Base is the author's revision when it wrote the record.
	Base Revision
	// ExpectedRevision is the revision that the changed object must have, 0 if it
	// must not exist yet. For a claim of a rollout it is the current epoch.
	ExpectedRevision Revision
	// Epoch is that of the claim under which the record was written, 0 if it needs none.
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

// BasisPoints is a share of traffic in units of 1/10,000.
type BasisPoints int

// FullWeight is the weight of a version that receives all traffic of its service.
const FullWeight BasisPoints = 10_000

// PutService creates a service whose traffic goes to one initial version. It is
// rejected if the service exists.
type PutService struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// DeleteService removes a service and its versions.
type DeleteService struct {
	Name string `json:"name"`
}

// PutVersion adds a version to a service, without traffic.
type PutVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// DeleteVersion removes a version that carries no traffic.
type DeleteVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// PutRoute creates or replaces a route, which sends requests whose path starts
// with Prefix to a service.
type PutRoute struct {
	Name    string `json:"name"`
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
}

// DeleteRoute removes a route.
type DeleteRoute struct {
	Name string `json:"name"`
}

// StartRollout starts moving the traffic of a service from one version to another.
type StartRollout struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// StartUnixMS is the Unix time in milliseconds at which the rollout was
	// requested, by the author's clock.
	StartUnixMS int64 `json:"start_unix_ms"`
	// DeadlineUnixMS is the Unix time in milliseconds by which all traffic must
	// have moved.
	DeadlineUnixMS int64 `json:"deadline_unix_ms"`
}

// PauseRollout keeps a rollout from increasing the weight of the new version.
type PauseRollout struct {
	Rollout RolloutID `json:"rollout"`
}

// ResumeRollout continues a paused rollout.
type ResumeRollout struct {
	Rollout RolloutID `json:"rollout"`
}

// RollBackCause is what initiated a rollback.
type RollBackCause string

// Causes of a rollback.
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

// StepRollout increases the weight of the new version.
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

// ClaimKeySlot makes a node session the owner of a key slot. The record's
// ExpectedRevision is the slot's last renewal, so a renewal that precedes the claim
// in the log wins.
type ClaimKeySlot struct {
	Slot    int    `json:"slot"`
	Node    string `json:"node"`
	Session string `json:"session"`
}

// RenewKeySlots extends the leases of all slots that a node session owns.
type RenewKeySlots struct {
	Node    string `json:"node"`
	Session string `json:"session"`
	// Nonce lets the owner match the record to one of its renewals.
	Nonce uint64 `json:"nonce"`
}

// ReleaseKeySlots gives up all slots of a node session on a graceful stop.
type ReleaseKeySlots struct {
	Node    string `json:"node"`
	Session string `json:"session"`
	// Successor is the node that received the stored results, empty if none did.
	Successor string `json:"successor,omitempty"`
}

// NodeAnnounced publishes the addresses of a node, from which other nodes bootstrap.
type NodeAnnounced struct {
	Node    string `json:"node"`
	Session string `json:"session"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// RPCAddress is the IP address and port of the jsonrpc2 listener.
	RPCAddress string `json:"rpc_address"`
	// CallAddress is the IP address and port of the HTTP listener for calls.
	CallAddress string `json:"call_address"`
}

// BatchItem is one change of a batch.
type BatchItem struct {
	ExpectedRevision Revision
	Body             Body
}

// Batch applies several changes atomically.
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
