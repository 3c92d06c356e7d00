// Package membership detects failed nodes inside an availability zone, spreads
// what each node says about itself, and exchanges both with other zones.
//
// Machine is a pure state machine: it has no I/O, clock or goroutine. Step takes
// one event and returns the effects that the adapter has to carry out. Messages
// are one-way and may be lost, repeated, delayed or reordered.
package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Protocol timing and limits.
const (
	// ProbeInterval is the time between two probes by one node.
	ProbeInterval = time.Second
	// ProbeTimeout is the wait for a direct answer before indirect probes, and
	// for their answer before suspicion.
	ProbeTimeout = 500 * time.Millisecond
	// IndirectProbeCount is how many members are asked to probe in a node's place.
	IndirectProbeCount = 2
	// SuspicionTimeout is how long a suspect may refute before it is dead.
	SuspicionTimeout = 3 * time.Second
	// ExchangeInterval is the time between two full exchanges inside a zone.
	ExchangeInterval = 30 * time.Second
	// ZoneExchangeInterval is the time between two exchanges of a reader with
	// another zone.
	ZoneExchangeInterval = 2 * time.Second
	// ZoneFailureThreshold is how many exchanges with a zone go unanswered in a row
	// before it counts as unreachable.
	ZoneFailureThreshold = 3
	// TargetTimeout is how long a target may stay silent before it is gone.
	TargetTimeout = 3 * time.Second
	// MaxUpdateBytes bounds the encoded updates in a probe or answer, so that a
	// message fits into one packet of an ordinary network.
	MaxUpdateBytes = 1200
	// UrgentFanout is how many members hear of a leaving target directly.
	UrgentFanout = 4
	// ReadersPerZone is how many members of a zone read the platform log.
	ReadersPerZone = 2
	// MaxConcurrentJoins is how many joining nodes are served at once.
	MaxConcurrentJoins = 8
	// JoinDelayMin and JoinDelayMax bound the jittered delay between joins.
	JoinDelayMin = 100 * time.Millisecond
	// JoinDelayMax is the upper bound of the jittered delay.
	JoinDelayMax = 10 * time.Second
	// FlapThreshold within FlapWindow are allowed before an endpoint is damped.
	FlapThreshold = 3
	// FlapWindow is the period over which state changes are counted.
	FlapWindow = 60 * time.Second
	// DampingDuration is how long a flapping endpoint stays damped.
	DampingDuration = 30 * time.Second
	// DeadRetention is how long a dead member is remembered. It must exceed the
	// time in which every node of a zone exchanges with another one, so that
	// a stale alive update does not bring the member back.
	DeadRetention = 10 * time.Minute
	// ReportInterval is the least time between two reports of a node's revision
	// to the readers of its zone. In a zone of more than ReportsPerSecond
	// members it is longer, so that the load of a reader stays bounded.
	ReportInterval = time.Second
	// MaxReportsPerSecond bounds the reports that a reader gets: at 150 bytes each
	// they are 6 KB/s.
	MaxReportsPerSecond = 40
	// ReportRepeatInterval is the time after which an unchanged revision is reported
	// again, since a report may be lost.
	ReportRepeatInterval = 30 * time.Second
	// JoinContacts is how many addresses a node without live peers contacts at
	// once, since some of those it knows may be down.
	JoinContacts = 3
	// ReconnectInterval is the mean time between two attempts to reach a node
	// that is known by address but not alive. They heal a partition of a zone.
	ReconnectInterval = 10 * time.Second
	// RumorBacklogThreshold is the number of waiting updates beyond which piggybacking is
	// too slow, and exchanges follow each other at BusyExchangeInterval.
	RumorBacklogThreshold = 16
	// FastExchangeInterval is the time between exchanges while nodes differ.
	FastExchangeInterval = 2 * time.Second
	// ViewMismatchThreshold is how many answers to probes in a row must come from
	// members with another view before an exchange is hurried.
	ViewMismatchThreshold = 3
	// MaxRumors bounds the waiting updates; exchanges deliver the rest.
	MaxRumors = 512
	// PauseThreshold is the gap between two ticks that counts as a pause of the local
	// process. Time limits on others are extended by it.
	PauseThreshold = time.Second
	// MaxNACKBytes bounds the reason of a NACK on the wire.
	MaxNACKBytes = 200
	// MaxSummaryNACKs bounds the NACKs listed in a zone summary.
	MaxSummaryNACKs = 4
)

// Config is what a machine needs at its start.
type Config struct {
	// Self is the local node. Its session must differ from earlier ones.
	Self mesh.NodeInfo
	// Incarnation is the first incarnation of the session. Any value is
	// correct, since a node that hears of a former session exceeds its
	// incarnation; the start time in milliseconds saves that round trip.
	Incarnation uint64
	// Seeds are RPC addresses of nodes to join through.
	Seeds []netip.AddrPort
	// Source drives all random choices.
	Source rand.Source
}
