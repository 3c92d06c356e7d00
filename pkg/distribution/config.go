// Package distribution decides which nodes read the platform log, how its
// entries reach the other nodes, and when a node may serve.
//
// Machine is a pure state machine: it has no I/O, clock or goroutine. Step takes
// one event and returns the effects that the adapter has to execute. Messages
// are one-way and may be lost, duplicated, delayed or reordered.
package distribution

import (
	"math/rand/v2"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Protocol timing and limits.
const (
	// ReadersPerZone is how many members of a zone read the platform log.
	ReadersPerZone = 2
	// LongPollWait is the long-poll wait of the first reader of a zone.
	LongPollWait = 10 * time.Second
	// SecondaryLongPollWait is that of the second or only reader. If a platform
	// outage drops the pending polls of all readers, the loss of a 10 s poll would
	// be detected only after the 9 s bound on convergence.
	SecondaryLongPollWait = 4 * time.Second
	// MaxReadEntries is how many entries one read asks for.
	MaxReadEntries = 512
	// ReadTimeoutMargin is added to the wait of a read to get its timeout.
	ReadTimeoutMargin = 2 * time.Second
	// EmptyReadInterval is the minimum interval between reads after an empty page.
	EmptyReadInterval = time.Second
	// BackoffMin is the lower bound of the delay after an error, with full jitter.
	BackoffMin = 100 * time.Millisecond
	// BackoffMax is the upper bound of the delay.
	BackoffMax = 10 * time.Second
	// ReaderBackoffMax is the upper bound for readers. There are two per zone,
	// and the first read after an outage has to fit into the 9 s bound.
	ReaderBackoffMax = 4 * time.Second
	// OutageThreshold is how long reads must have failed before the platform
	// counts as unavailable. It tolerates one slow response, and is below the 9 s
	// bound.
	OutageThreshold = 3 * time.Second
	// PushFanout is the number of children in the push tree.
	PushFanout = 4
	// PushDelay is how long the second reader waits for a push by the first one
	// before it pushes what it read itself. Pushes by both would double the
	// bytes of each change.
	PushDelay = 200 * time.Millisecond
	// PullInterval is the interval between pulls, with a jitter of ±25 %.
	PullInterval = 2 * time.Second
	// MaxResponseBytes bounds the entries of one response or push.
	MaxResponseBytes = 256 << 10
	// MaxBufferEntries is the maximum number of recent entries that are kept.
	MaxBufferEntries = 4096
	// MaxBufferBytes is the maximum size of the buffer in bytes of data.
	MaxBufferBytes = 4 << 20
	// MaxHeldEntries bounds the entries held back after a gap.
	MaxHeldEntries = 1024
	// MaxConcurrentTransfers is how many snapshot transfers run concurrently.
	MaxConcurrentTransfers = 8
	// TransferTimeout is how long a transfer that is not reported done counts
	// against MaxConcurrentTransfers.
	TransferTimeout = 10 * time.Second
	// StatusInterval is the interval between the status requests of a node that
	// is not ready to a member of its zone that has not answered.
	StatusInterval = time.Second
	// StatusRepeatInterval is the interval between status requests to a member
	// that has answered.
	StatusRepeatInterval = 3 * time.Second
	// MemberListRequests is how many members are asked for their list of members.
	MemberListRequests = 3
	// MaxApplyEntries is how many entries are applied in one batch.
	MaxApplyEntries = 512
	// GapRetryInterval is the interval between requests for the same gap.
	GapRetryInterval = 250 * time.Millisecond
)

// Config configures a machine.
type Config struct {
	Self mesh.NodeID
	Zone mesh.AvailabilityZone
	// Source is the source of all randomness.
	Source rand.Source
}
