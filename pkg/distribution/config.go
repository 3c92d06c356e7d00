// Package distribution decides which nodes read the platform log, how its
// entries reach the other nodes, and when a node may serve.
//
// Machine is a pure state machine: it has no I/O, clock or goroutine. Step takes
// one event and returns the effects that the adapter has to carry out. Messages
// are one-way and may be lost, repeated, delayed or reordered.
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
	// LongPollWait is the long poll of the log by the first reader of a zone.
	LongPollWait = 10 * time.Second
	// SecondaryLongPollWait is that of the second or only one. If a platform outage swallows the
	// open polls of all readers, a poll of 10 s would be noticed as lost only
	// after the 9 s bound on convergence.
	SecondaryLongPollWait = 4 * time.Second
	// MaxReadEntries is how many entries one read asks for.
	MaxReadEntries = 512
	// ReadTimeoutMargin is how long after its wait an unanswered read counts as failed.
	ReadTimeoutMargin = 2 * time.Second
	// EmptyReadInterval is the least time between two reads after an empty page.
	EmptyReadInterval = time.Second
	// BackoffMin and BackoffMax bound the delay after an error, full jitter.
	BackoffMin = 100 * time.Millisecond
	// BackoffMax is the upper bound of the delay.
	BackoffMax = 10 * time.Second
	// ReaderBackoffMax is the upper bound for readers. There are two per zone,
	// and the first read after an outage has to fit into the 9 s bound.
	ReaderBackoffMax = 4 * time.Second
	// OutageThreshold is how long the platform must have failed before it counts
	// as out. It exceeds one slow response, and is below the 9 s bound.
	OutageThreshold = 3 * time.Second
	// PushFanout is the number of children in the push tree.
	PushFanout = 4
	// PushDelay is how long the second reader waits for a push by the first one
	// before it pushes what it read itself. Pushes by both would double the
	// bytes of each change.
	PushDelay = 200 * time.Millisecond
	// PullInterval is the time between two pulls, with a jitter of ±25 %.
	PullInterval = 2 * time.Second
	// MaxResponseBytes bounds the entries of one response or push.
	MaxResponseBytes = 256 << 10
	// MaxBufferEntries and BufferBytes bound the recent entries that are kept.
	MaxBufferEntries = 4096
	// MaxBufferBytes is the bound of the buffer in bytes of data.
	MaxBufferBytes = 4 << 20
	// MaxHeldEntries bounds the entries held back after a gap.
	MaxHeldEntries = 1024
	// MaxConcurrentTransfers is how many snapshot transfers run at once.
	MaxConcurrentTransfers = 8
	// TransferTimeout frees the place of a transfer that was never reported done.
	TransferTimeout = 10 * time.Second
	// StatusInterval is the time between two status requests of a node that is
	// not ready to a member of its zone that did not answer.
	StatusInterval = time.Second
	// StatusRepeatInterval is the time after which a member that answered is asked again.
	StatusRepeatInterval = 3 * time.Second
	// MemberListRequests is how many members are asked for their list of members.
	MemberListRequests = 3
	// MaxApplyEntries is how many entries are applied at once.
	MaxApplyEntries = 512
	// GapRetryInterval is the time between two requests for the same gap.
	GapRetryInterval = 250 * time.Millisecond
)

// Config is what a machine needs at its start.
type Config struct {
	Self mesh.NodeID
	Zone mesh.AvailabilityZone
	// Source drives all random choices.
	Source rand.Source
}
