package distribution

import (
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Entry is one entry of the log as raw bytes, so that a node can relay records
// that it cannot decode.
type Entry struct {
	Offset record.Revision `json:"offset"`
	Data   []byte          `json:"data"`
}

// Snapshot is an encoded state, compressed as pkg/snapshot does.
type Snapshot struct {
	Revision record.Revision `json:"revision"`
	Data     []byte          `json:"data"`
}

// Push carries new entries down the tree.
type Push struct {
	From mesh.NodeID `json:"from"`
	// Root is the reader at which the tree is rooted.
	Root    mesh.NodeID `json:"root"`
	Entries []Entry     `json:"entries"`
	// Era is the era of the log from which the entries come, 0 if unknown.
	Era uint64 `json:"era,omitempty"`
}

// PullRequest asks for the entries after ContiguousOffset.
type PullRequest struct {
	From    mesh.NodeID    `json:"from"`
	Session mesh.SessionID `json:"session"`
	// ID is repeated in the response.
	ID uint64 `json:"id"`
	// ContiguousOffset is the newest offset up to which the sender has all entries.
	ContiguousOffset record.Revision `json:"have"`
	// Applied and NACK acknowledge what is in force at the sender.
	Applied record.Revision `json:"applied"`
	NACK    string          `json:"nack,omitempty"`
	// Limit is the offset after the last one wanted, 0 for all.
	Limit record.Revision `json:"limit,omitempty"`
	// StatusOnly asks for the answering node's status without entries. A node
	// that is not ready sends it to all members of its zone.
	StatusOnly bool `json:"status_only,omitempty"`
	// WantMembers additionally asks for the members of the zone.
	WantMembers bool `json:"want_members,omitempty"`
	// Era is the era of the log at the sender, 0 if unknown.
	Era uint64 `json:"era,omitempty"`
}

// PullResponse answers a pull request with entries, a snapshot, or neither.
type PullResponse struct {
	From mesh.NodeID `json:"from"`
	ID   uint64      `json:"id"`
	// ContiguousOffset and Applied are those of the answering node.
	ContiguousOffset record.Revision `json:"have"`
	Applied          record.Revision `json:"applied"`
	// NACK is why the answering node cannot apply the record after Applied.
	NACK string `json:"nack,omitempty"`
	// Ready reports whether the answering node is ready to serve. A node that is
	// not may be behind the revision that was in force.
	Ready bool `json:"ready"`
	// Members are the live members of the zone as the answering node knows
	// them, itself included. Present if the request asked for them.
	Members  []mesh.NodeID `json:"members,omitempty"`
	Entries  []Entry       `json:"entries,omitempty"`
	Snapshot *Snapshot     `json:"snapshot,omitempty"`
	// RetryAfterMS, if not 0, declines a snapshot for that many milliseconds.
	RetryAfterMS int64 `json:"busy_ms,omitempty"`
	// Era is the era of the log at the answering node, 0 if unknown.
	Era uint64 `json:"era,omitempty"`
}
