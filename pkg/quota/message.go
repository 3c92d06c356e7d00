package quota

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	// LeaseTime is how long a node lends its share. The allocator counts it from the time at
	// which it sent the request, the lender from that of its reply, which is later.
	LeaseTime = 2 * time.Second
	// RenewInterval is the time between two renewals. Two of them may be lost.
	RenewInterval = 650 * time.Millisecond
	// collectInterval is the time between two requests to a lender that has not lent all slots,
	// in the first collectTime of a new allocator. The former one releases them by then.
	collectInterval = 250 * time.Millisecond
	collectTime     = 5 * time.Second
	// silenceLimit is the time without a lease message after which another allocator is chosen.
	// Allocators send one to each node every RenewInterval.
	silenceLimit = 1600 * time.Millisecond
	// TokenLife is how long after the request for it a token may be used. It bounds how many
	// tokens of earlier seconds are used in a later one.
	TokenLife = 200 * time.Millisecond
	// askAheadTime is the time whose expected requests a node asks tokens for in advance.
	askAheadTime = 100 * time.Millisecond
	// AnswerTime is how long a request waits for the allocator. With 60 ms, 1 in 100 requests of a
	// calm day was rejected: a node with a sixth of a core may take longer. It is under TokenLife.
	AnswerTime = 150 * time.Millisecond
	// askAgainTime is how long a node does not ask an allocator that did not answer.
	askAgainTime = 100 * time.Millisecond
	// maxWanted bounds the tokens in one grant.
	maxWanted = 10_000
)

// Process is one run of a node's process.
type Process struct {
	Node        mesh.NodeID
	StartUnixMS int64
}

// Member is what a node knows of a node of the mesh, itself included.
type Member struct {
	Process
	// LinkMbps is the bandwidth of the node's link, 0 if unknown. Nodes with more of it are
	// chosen more often.
	LinkMbps float64
	// Leaving is set for a node that shuts down, Unresponsive for one from which nothing was
	// heard for some time.
	Leaving, Unresponsive bool
}

// Members is what a node knows of the mesh.
type Members struct {
	// Nodes holds all nodes, with the node itself.
	Nodes []Member
	// Count is the greatest number of nodes known in SizeRetention, 0 while the list of the
	// nodes has not been read since the start.
	Count int
}

// LeaseRequest asks a node for its shares of the caps of some slots. It is also the sign of life
// of an allocator.
type LeaseRequest struct {
	Node        mesh.NodeID `json:"node"`
	StartUnixMS int64       `json:"start"`
	// Sequence orders the messages of a process to one lender, since they may arrive out of order.
	Sequence uint64 `json:"seq"`
	// Slots holds those whose shares the sender wants, Released those that it has ceased to use. A slot
	// in both is released first.
	Slots    SlotSet `json:"slots,omitempty"`
	Released SlotSet `json:"released,omitempty"`
}

// LeaseReply is the reply to a LeaseRequest.
type LeaseReply struct {
	// Share is the share of each cap that the lender lends for LeaseTime, in the slots of Lent.
	Share float64 `json:"share,omitempty"`
	Lent  SlotSet `json:"lent,omitempty"`
	// Refused holds the slots of which the lender would choose another allocator.
	Refused SlotSet `json:"refused,omitempty"`
	// WaitMS is the time until a node that has just started has a share.
	WaitMS float64 `json:"wait_ms,omitempty"`
}

// LeaseCall is a LeaseRequest to be sent.
type LeaseCall struct {
	To      Process
	Request LeaseRequest
	SentAt  time.Duration
}

// TakeRequest asks an allocator for tokens of an organisation.
type TakeRequest struct {
	Organisation string `json:"org"`
	// Wanted is the number of tokens: the waiting requests and those expected in askAheadTime.
	Wanted int `json:"n"`
}

// TakeReply is the reply to a TakeRequest.
type TakeReply struct {
	Granted int `json:"n,omitempty"`
	// RetryMS is the time until the next token if fewer were granted than wanted, and PerTokenMS
	// the time in which one arrives.
	RetryMS    float64 `json:"retry_ms,omitempty"`
	PerTokenMS float64 `json:"per_ms,omitempty"`
	// Unknown is set if the node cannot tell how much of the cap is used: it is not the
	// allocator, or has leased too small a share for a single token.
	Unknown bool `json:"unknown,omitempty"`
}

// TakeCall is a TakeRequest to be sent.
type TakeCall struct {
	To      Process
	Request TakeRequest
	SentAt  time.Duration
}
