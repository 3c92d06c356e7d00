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
	// ReadWait is the long poll of the log by the first reader of a zone.
	ReadWait = 10 * time.Second
	// SecondReadWait is that of the second or only one. If a platform outage swallows the
	// open polls of all readers, a poll of 10 s would be noticed as lost only
	// after the 9 s bound on convergence.
	SecondReadWait = 4 * time.Second
	// ReadMax is how many entries one read asks for.
	ReadMax = 512
	// ReadSlack is how long after its wait an unanswered read counts as failed.
	ReadSlack = 2 * time.Second
	// EmptyReadInterval is the least time between two reads after an empty page.
	EmptyReadInterval = time.Second
	// BackoffMin and BackoffMax bound the delay after an error, full jitter.
	BackoffMin = 100 * time.Millisecond
	// BackoffMax is the upper bound of the delay.
	BackoffMax = 10 * time.Second
	// ReaderBackoffMax is the upper bound for readers. There are two per zone,
	// and the first read after an outage has to fit into the 9 s bound.
	ReaderBackoffMax = 4 * time.Second
	// OutageAfter is how long the platform must have failed before it counts
	// as out. It exceeds one slow response, and is below the 9 s bound.
	OutageAfter = 3 * time.Second
	// PushFanout is the number of children in the push tree.
	PushFanout = 4
	// PushDelay is how long the second reader waits for a push by the first one
	// before it pushes what it read itself. Pushes by both would double the
	// bytes of each change.
	PushDelay = 200 * time.Millisecond
	// PullInterval is the time between two pulls, with a jitter of ±25 %.
	PullInterval = 2 * time.Second
	// ResponseBytes bounds the entries of one response or push.
	ResponseBytes = 256 << 10
	// BufferEntries and BufferBytes bound the recent entries that are kept.
	BufferEntries = 4096
	// BufferBytes is the bound of the buffer in bytes of data.
	BufferBytes = 4 << 20
	// HeldEntries bounds the entries held back after a gap.
	HeldEntries = 1024
	// TransferAdmission is how many snapshot transfers run at once.
	TransferAdmission = 8
	// TransferTimeout frees the place of a transfer that was never reported done.
	TransferTimeout = 10 * time.Second
	// StatusInterval is the time between two status requests of a node that is
	// not ready to a member of its zone that did not answer.
	StatusInterval = time.Second
	// StatusRepeat is the time after which a member that answered is asked again.
	StatusRepeat = 3 * time.Second
	// StatusLists is how many members are asked for their list of members.
	StatusLists = 3
	// ApplyMax is how many entries are applied at once.
	ApplyMax = 512
	// GapRetry is the time between two requests for the same gap.
	GapRetry = 250 * time.Millisecond
)

// Config is what a machine needs at its start.
type Config struct {
	Self mesh.NodeID
	Zone mesh.AvailabilityZone
	// Source drives all random choices.
	Source rand.Source
}
