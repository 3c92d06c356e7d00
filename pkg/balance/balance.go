package balance

import (
	"math"
	"time"

	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// Endpoint is a target that may be chosen.
type Endpoint struct {
	Node    mesh.NodeID
	Zone    mesh.AvailabilityZone
	Service string
	Version string
	// Target is the id of the target beside the node.
	Target string
	Slots  int
	// Cold is set while the target is slow after its start.
	Cold bool
	// LinkMbps is the bandwidth of the node's link in Mbit/s, 0 for no limit: the
	// node itself needs no link to its target.
	LinkMbps float64
	// Unresponsive is set if nothing was heard of the node for several rounds of gossip.
	Unresponsive bool
	// Leaving is set while the node stops but still takes requests.
	Leaving bool
}

// LoadReport is the load of a target as its node counts it.
type LoadReport struct {
	Running int
	Waiting int
	// MeanServiceTime is how long a request holds a slot there on average.
	MeanServiceTime time.Duration
	// Slowdown is how much longer the target takes than the requests are expected to.
	Slowdown float64
	// LinkUtilization is the part of the link of the node that is in use, from 0 to 1.
	LinkUtilization float64
	// FailureRate is the share of the newest requests that the target failed or turned away.
	FailureRate float64
}

// Limits and weights of the choice.
const (
	// loadReportMaxAge is the age at which a reported load counts for nothing: the
	// requests that it counted have ended by then.
	loadReportMaxAge = 2 * time.Second
	// failureHalfLife is the time in which the weight of past failures halves, so
	// that a target that recovered is tried again within seconds.
	failureHalfLife = 3 * time.Second
	// failureCost is the cost of a certain failure, where 1 is an answer that
	// comes just at the objective.
	failureCost = 2.0
	// toleratedFailureRate is the reported share of failures that counts for nothing: some
	// requests fail at sound targets too.
	toleratedFailureRate = 0.1
	// zonePartitionNodes is how many nodes of another zone have to go silent, with none
	// answering in between, for the zone to be taken as cut off for zoneMemory. A node
	// would otherwise lose a request to each node behind the cut. Any message of the zone
	// ends that, and rounds of gossip reach each zone within a second.
	zonePartitionNodes   = 2
	zonePartitionTimeout = 6 * time.Second
	// crossZoneCost and crossZoneByteCost are the cost of a request to another
	// zone and of each byte of it, on the same scale. Traffic between zones is paid for.
	crossZoneCost     = 0.02
	crossZoneByteCost = 5e-6
	// coldSlowdown is how much slower a target is after its start.
	coldSlowdown = 2.0
	// costJitter is the part of the cost that is random, so that many nodes with the
	// same reports do not all choose the same target.
	costJitter = 0.15
	// unreachableBackoff is the first time for which a node that could not be reached
	// is passed over; it doubles up to unreachableMax while that goes on.
	unreachableBackoff    = 500 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// refusalCost is added if the target would refuse the request by what is known of its
	// queue: an answer later than the objective elsewhere is worth more than a refusal.
	refusalCost = 1.0
	// lastResortCost sets targets of silent and stopping nodes behind all others.
	lastResortCost = 5.0
	// maxSlowdown bounds the pace, so that a target that was very slow is tried again.
	maxSlowdown = 8.0
)

type endpointState struct {
	ownInFlight     int
	otherInFlight   float64
	reportedAt      time.Duration
	meanServiceTime time.Duration
	slowdown        float64
	// ownBytesInFlight are on their way to the endpoint from this node; linkUse is what
	// its node reported.
	ownBytesInFlight int64
	linkUtilization  float64

	ownFailureRate   float64
	ownFailureRateAt time.Duration
	// reportedFailureRate is the share of failures that the node of the target reported.
	reportedFailureRate float64

	unreachableCount int
	unreachableUntil time.Duration
}

type endpointKey struct {
	node   mesh.NodeID
	target string
}

// Balancer keeps what this node has seen of each target. It is not safe for
// concurrent use.
type Balancer struct {
	zone   mesh.AvailabilityZone
	states map[endpointKey]*endpointState
	zones  map[mesh.AvailabilityZone]*zoneState
}

// zoneState holds the nodes of a zone that went silent since one of it was heard.
type zoneState struct {
	unresponsive map[mesh.NodeID]bool
	lastAt       time.Duration
}

// New returns a balancer for a node of the zone.
func New(zone mesh.AvailabilityZone) *Balancer {
	return &Balancer{zone: zone, states: map[endpointKey]*endpointState{}, zones: map[mesh.AvailabilityZone]*zoneState{}}
}

// Request is what is to be sent.
type Request struct {
	// ExpectedServiceTime is the expected time at a target of average pace.
	ExpectedServiceTime time.Duration
	// Objective is the time left in which the answer is of full use.
	Objective time.Duration
	// Bytes is the expected size of request and answer.
	Bytes int64
	// Tried holds the nodes that the request was sent to before.
	Tried []mesh.NodeID
}

// Choice is the result of Choose.
type Choice struct {
	Endpoint Endpoint
	// ExpectedWait is how long the request is expected to wait before it runs.
	ExpectedWait time.Duration
	// Admissible is set if the target is expected to let the request in.
	Admissible bool
}

// Choose returns the endpoint of the lowest cost. random returns numbers from 0
// up to 1. ok is false if there is no endpoint left.
func (b *Balancer) Choose(endpoints []Endpoint, r Request, now time.Duration, random func() float64) (Choice, bool) {
	best, found, bestCost := Choice{}, false, math.Inf(1)
	for _, e := range endpoints {
		if contains(r.Tried, e.Node) {
			continue
		}
		s := b.stateOf(e)
		if now < s.unreachableUntil {
			continue
		}
		wait, total := s.estimate(e, r, now)
		cost := b.cost(e, s, r, total, now) * (1 + costJitter*random())
		if cost < bestCost {
			fits := total <= r.Objective && !b.lastResort(e, now)
			best, bestCost, found = Choice{e, wait, fits}, cost, true
		}
	}
	return best, found
}

// cost grows with the third power of the expected time in units of the
// objective: targets that answer well within it are nearly equal, so that the
// zone decides among them, and beyond it time outweighs all else.
func (b *Balancer) cost(e Endpoint, s *endpointState, r Request, total time.Duration, now time.Duration) float64 {
	x := float64(total) / float64(max(r.Objective, time.Millisecond))
	cost := 0.02 + x*x*x
	if x > 1 {
		cost += refusalCost
	}
	if e.Zone != b.zone {
		cost += crossZoneCost + crossZoneByteCost*float64(r.Bytes)
	}
	cost += failureCost * s.failureRate(now)
	if b.lastResort(e, now) {
		cost += lastResortCost
	}
	return cost
}

// lastResort reports whether the endpoint is chosen only if no other is left.
func (b *Balancer) lastResort(e Endpoint, now time.Duration) bool {
	return e.Unresponsive || e.Leaving || b.partitioned(e.Zone, now)
}

// estimate returns the expected wait, and the time to the answer with the margins of admission.
func (s *endpointState) estimate(e Endpoint, r Request, now time.Duration) (wait, total time.Duration) {
	slowdown := s.slowdown
	if e.Cold {
		slowdown = max(slowdown, coldSlowdown)
	}
	serviceTime := time.Duration(float64(r.ExpectedServiceTime) * slowdown)
	meanServiceTime := s.meanServiceTime
	if meanServiceTime == 0 {
		meanServiceTime = serviceTime
	}
	age := float64(now-s.reportedAt) / float64(loadReportMaxAge)
	load := float64(s.ownInFlight) + s.otherInFlight*max(0, 1-age)
	slots := float64(max(e.Slots, 1))
	if over := load + 1 - slots; over > 0 {
		wait = time.Duration(over * float64(meanServiceTime) / slots)
	}
	use := s.linkUtilization * max(0, 1-age)
	return wait, admission.WithMargins(wait, serviceTime) + e.transferTime(s.ownBytesInFlight+r.Bytes, use)
}

// minFreeLinkShare is the part of a busy link that a further request can still count on.
const minFreeLinkShare = 0.05

// transferTime is how long bytes take on the link of the node while a part of it is in use.
func (e Endpoint) transferTime(bytes int64, use float64) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	free := e.LinkMbps * max(1-use, minFreeLinkShare)
	return time.Duration(float64(bytes*bitsPerByte) / (free * bitsPerMbit) * float64(time.Second))
}

// failureRate is what this node and the node of the target know of failures.
func (s *endpointState) failureRate(now time.Duration) float64 {
	reported := max(0, s.reportedFailureRate-toleratedFailureRate) * failureDecay(now-s.reportedAt)
	return max(s.decayedOwnFailureRate(now), reported)
}

func (s *endpointState) decayedOwnFailureRate(now time.Duration) float64 {
	return s.ownFailureRate * failureDecay(now-s.ownFailureRateAt)
}

// failureDecay is the weight of failures of an age.
func failureDecay(age time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(failureHalfLife))
}

// partitioned reports whether a zone is taken as cut off from this node.
func (b *Balancer) partitioned(zone mesh.AvailabilityZone, now time.Duration) bool {
	z, ok := b.zones[zone]
	return ok && zone != b.zone && len(z.unresponsive) >= zonePartitionNodes && now-z.lastAt < zonePartitionTimeout
}

// MarkUnresponsive takes a node that gave no sign of life where one was due. A new connection to
// it may work, so that it counts only for its zone.
func (b *Balancer) MarkUnresponsive(e Endpoint, now time.Duration) {
	z, ok := b.zones[e.Zone]
	if !ok || now-z.lastAt >= zonePartitionTimeout {
		z = &zoneState{unresponsive: map[mesh.NodeID]bool{}}
		b.zones[e.Zone] = z
	}
	z.unresponsive[e.Node], z.lastAt = true, now
}

// MarkZoneReachable takes a message of any node of the zone.
func (b *Balancer) MarkZoneReachable(zone mesh.AvailabilityZone) { delete(b.zones, zone) }

func (b *Balancer) stateOf(e Endpoint) *endpointState {
	k := endpointKey{e.Node, e.Target}
	s, ok := b.states[k]
	if !ok {
		s = &endpointState{slowdown: 1}
		b.states[k] = s
	}
	return s
}

// Begin counts a request of so many bytes that is sent to the endpoint; End must
// follow.
func (b *Balancer) Begin(e Endpoint, bytes int64) {
	s := b.stateOf(e)
	s.ownInFlight++
	s.ownBytesInFlight += bytes
}

// End counts the end of a request.
func (b *Balancer) End(e Endpoint, bytes int64) {
	s := b.stateOf(e)
	s.ownInFlight--
	s.ownBytesInFlight -= bytes
}

// UpdateLoad takes the load that came with an answer of the endpoint's node.
func (b *Balancer) UpdateLoad(e Endpoint, r LoadReport, now time.Duration) {
	s := b.stateOf(e)
	s.otherInFlight = max(0, float64(r.Running+r.Waiting-s.ownInFlight))
	s.reportedAt = now
	s.meanServiceTime = r.MeanServiceTime
	s.linkUtilization = r.LinkUtilization
	s.reportedFailureRate = r.FailureRate
	b.MarkZoneReachable(e.Zone)
	if r.Slowdown > 0 {
		s.slowdown = min(r.Slowdown, maxSlowdown)
	}
	s.unreachableCount = 0
}

// failureEWMAWeight is the weight of one answer in the share of failures.
const failureEWMAWeight = 0.15

// RecordResponse counts an answer of the target, which failed or not.
func (b *Balancer) RecordResponse(e Endpoint, failed bool, now time.Duration) {
	s := b.stateOf(e)
	f := s.decayedOwnFailureRate(now)
	if failed {
		f += failureEWMAWeight * (1 - f)
	} else {
		f -= failureEWMAWeight * f
	}
	s.ownFailureRate, s.ownFailureRateAt = f, now
}

// MarkUnreachable takes the endpoint out for a while: its node or target could not be reached.
func (b *Balancer) MarkUnreachable(e Endpoint, now time.Duration) {
	s := b.stateOf(e)
	s.unreachableUntil = now + min(unreachableBackoff<<min(s.unreachableCount, 4), maxUnreachableBackoff)
	s.unreachableCount++
}

// Retain drops the state of endpoints that are gone and idle.
func (b *Balancer) Retain(endpoints []Endpoint) {
	keep := make(map[endpointKey]bool, len(endpoints))
	for _, e := range endpoints {
		keep[endpointKey{e.Node, e.Target}] = true
	}
	for k, s := range b.states {
		if !keep[k] && s.ownInFlight == 0 {
			delete(b.states, k)
		}
	}
}

func contains(ids []mesh.NodeID, id mesh.NodeID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
