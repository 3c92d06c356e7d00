// Package membership detects failed nodes inside an availability zone,
// disseminates the state that each node publishes about itself, and exchanges
// both with other zones.
//
// Machine is a pure state machine: it has no I/O, clock or goroutine. Step takes
// one event and returns the effects that the adapter has to execute. Messages
// are one-way and may be lost, duplicated, delayed or reordered.
package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Protocol timing and limits.
const (
	// ProbeInterval is the interval between the probes of one node.
	ProbeInterval = time.Second
	// ProbeTimeout is how long a node waits for a direct ack before it sends
	// indirect probes, and for their ack before it suspects the member.
	ProbeTimeout = 500 * time.Millisecond
	// IndirectProbeCount is how many members are asked to probe on behalf of a node.
	IndirectProbeCount = 2
	// SuspicionTimeout is how long a suspect may refute the suspicion before it is
	// declared dead.
	SuspicionTimeout = 3 * time.Second
	// ExchangeInterval is the interval between full exchanges inside a zone.
	ExchangeInterval = 30 * time.Second
	// ZoneExchangeInterval is the interval between the exchanges of a reader with
	// other zones.
	ZoneExchangeInterval = 2 * time.Second
	// ZoneFailureThreshold is the number of consecutive unanswered exchanges after
	// which a zone is marked unreachable.
	ZoneFailureThreshold = 3
	// TargetTimeout is how long a target may go without an announcement before
	// it is removed.
	TargetTimeout = 3 * time.Second
	// MaxUpdateBytes bounds the encoded updates in a probe or ack, so that a
	// message fits into one packet at the usual MTU.
	MaxUpdateBytes = 1200
	// UrgentFanout is how many members an urgent update is sent to directly.
	UrgentFanout = 4
	// ReadersPerZone is how many members of a zone read the platform log.
	ReadersPerZone = 2
	// MaxConcurrentJoins is how many joining nodes are served concurrently.
	MaxConcurrentJoins = 8
	// JoinDelayMin is the lower bound of the jittered delay between two attempts
	// to join.
	JoinDelayMin = 100 * time.Millisecond
	// JoinDelayMax is the upper bound of the jittered delay.
	JoinDelayMax = 10 * time.Second
	// FlapThreshold is the number of state changes within FlapWindow above which
	// an endpoint is damped.
	FlapThreshold = 3
	// FlapWindow is the period over which state changes are counted.
	FlapWindow = 60 * time.Second
	// DampingDuration is how long a flapping endpoint stays damped.
	DampingDuration = 30 * time.Second
	// DeadRetention is how long a dead member is kept. It must exceed the time
	// in which every node of a zone exchanges with another one, so that a stale
	// alive update does not resurrect the member.
	DeadRetention = 10 * time.Minute
	// ReportInterval is the minimum interval between reports of a node's revision
	// to the readers of its zone. It is longer in a zone of more than
	// MaxReportsPerSecond members, which bounds the load of a reader.
	ReportInterval = time.Second
	// MaxReportsPerSecond bounds the rate of reports that a reader receives: 6 KB/s
	// at 150 bytes each.
	MaxReportsPerSecond = 40
	// ReportRepeatInterval is the interval at which an unchanged revision is
	// reported again, since a report may be lost.
	ReportRepeatInterval = 30 * time.Second
	// JoinContacts is how many addresses a node without live peers contacts in
	// parallel, since some of the known addresses may be down.
	JoinContacts = 3
	// ReconnectInterval is the mean interval between attempts to reach a node that
	// is known by address but not alive. The attempts heal a partition of a zone.
	ReconnectInterval = 10 * time.Second
	// RumorBacklogThreshold is the number of pending updates above which
	// piggybacking is too slow, so that exchanges run at FastExchangeInterval.
	RumorBacklogThreshold = 16
	// FastExchangeInterval is the interval between exchanges while the views of nodes
	// differ.
	FastExchangeInterval = 2 * time.Second
	// ViewMismatchThreshold is the number of consecutive acks with a different
	// view after which the next exchange is brought forward.
	ViewMismatchThreshold = 3
	// MaxRumors bounds the pending updates; exchanges deliver the rest.
	MaxRumors = 512
	// PauseThreshold is the gap between two ticks above which the local process
	// counts as paused. Timeouts of other members are extended by the gap.
	PauseThreshold = time.Second
	// MaxNACKBytes bounds the encoded reason of a NACK.
	MaxNACKBytes = 200
	// MaxSummaryNACKs bounds the NACKs listed in a zone summary.
	MaxSummaryNACKs = 4
)

// Config configures a machine.
type Config struct {
	// Self is the local node. Its session must differ from all previous ones.
	Self mesh.NodeInfo
	// Incarnation is the first incarnation of the session. Any value is
	// correct, since a node that learns of a previous session raises its
	// incarnation above it; the start time in milliseconds saves that round trip.
	Incarnation uint64
	// Seeds are RPC addresses of nodes to join through.
	Seeds []netip.AddrPort
	// Source is the source of all randomness.
	Source rand.Source
}
