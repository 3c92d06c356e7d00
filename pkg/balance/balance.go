package balance

import (
	"time"

	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// Endpoint is a target that is a candidate for a request.
type Endpoint struct {
	Node    mesh.NodeID
	Zone    mesh.AvailabilityZone
	Service string
	Version string
	// Target is the ID of the target that runs beside the node.
	Target string
	// StartUnixMS is the Unix time in milliseconds at which the target's process started.
	StartUnixMS int64
	Slots       int
	// Cold is set while the target is warming up after its start.
	Cold bool
	// ColdRate is the number of requests per second that the target takes from all nodes together
	// because it is cold, or was until recently, 0 without a limit.
	ColdRate float64
	// LinkMbps is the bandwidth of the node's link in Mbit/s. 0 means no limit, as for
	// the local node, which reaches its target without the link.
	LinkMbps float64
	// Unresponsive is set if no message of the node arrived for several gossip rounds.
	Unresponsive bool
	// Leaving is set while the node is shutting down but still accepts requests.
	Leaving bool
}

// LoadReport is the load of a target, as measured by the node beside it.
type LoadReport struct {
	Running int
	Waiting int
	// MeanServiceTime is the mean time a request holds a slot on the undisturbed machine.
	MeanServiceTime time.Duration
	// Slowdown is the mean ratio of measured to expected service time on the undisturbed
	// machine.
	Slowdown float64
	// Disturbance is by how many times longer than usual work took on the machine of the
	// target DisturbanceAge before the report, 0 if it is usual or not known.
	Disturbance    float64
	DisturbanceAge time.Duration
	// Room is how many requests may be at the target while it sheds load, 0 for its slots.
	Room int
	// LinkUtilization is the share of the node's link bandwidth in use, from 0 to 1.
	LinkUtilization float64
	// FailureRate is the share of recent requests that the target failed or refused.
	FailureRate float64
	// RateLimited is set if the target names a limit, which is RateLimit requests per second
	// from all nodes together. RateAvailable is the number of requests that it allows beyond
	// those that wait, negative if some have to wait.
	RateLimited              bool
	RateLimit, RateAvailable float64
	// RateBurst is the number of requests that the limit allows at once, 0 for those of a second.
	RateBurst float64
}

// Parameters of the cost function.
const (
	// loadReportMaxAge is the age at which a load report is ignored: the requests it
	// counted have completed by then.
	loadReportMaxAge = 2 * time.Second
	// roomMaxAge is the age at which a reported room of a shedding target is ignored. Its node
	// lets it grow back to all slots in 1.5 s.
	roomMaxAge = time.Second
	// failureHalfLife is the half-life of observed failures. It lets a target that has
	// recovered get requests again within seconds.
	failureHalfLife = 3 * time.Second
	// failureCost is the cost at a failure rate of 1. A cost of 1 corresponds to a
	// response that takes exactly the objective.
	failureCost = 2.0
	// toleratedFailureRate is the reported failure rate that is ignored, since some
	// requests fail at healthy targets too.
	toleratedFailureRate = 0.1
	// zonePartitionNodes is the number of nodes of another zone that have to become
	// unresponsive, with no message from the zone in between, before the zone is treated
	// as partitioned for zonePartitionTimeout. Otherwise a node would lose a request to
	// each node on the other side. Any message from the zone ends this state; gossip
	// reaches each zone within a second.
	zonePartitionNodes   = 2
	zonePartitionTimeout = 6 * time.Second
	// crossZoneCost and crossZoneByteCost are the costs of a request to another zone and
	// of each byte of it, on the same scale. Traffic between zones is billed.
	crossZoneCost     = 0.02
	crossZoneByteCost = 5e-6
	// coldSlowdown is the minimum slowdown assumed for a target that is warming up.
	coldSlowdown = 2.0
	// costJitter is the maximum random increase of a cost, as a share of it. It keeps
	// nodes with the same load reports from all choosing the same target.
	costJitter = 0.15
	// unreachableBackoff is how long an endpoint is skipped after it could not be
	// reached. It doubles with each further failure, up to maxUnreachableBackoff.
	unreachableBackoff    = 500 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// refusalCost is added if the target is expected to refuse the request. A response
	// later than the objective from another target is better than a refusal.
	refusalCost = 1.0
	// usedRateLimitCost is the cost of a target whose rate limit is used up.
	usedRateLimitCost = 0.2
	// minRateLimit replaces lower rate limits in requests per second. Waits of many seconds
	// make no difference.
	minRateLimit = 0.1
	// lastResortCost ranks the targets of unresponsive and leaving nodes behind others.
	lastResortCost = 5.0
	// maxSlowdown limits the reported slowdown, so that a target that was very slow gets
	// requests again.
	maxSlowdown = 8.0
)

// never is the time of an event that has not happened.
const never = time.Duration(-1 << 62)

type endpointState struct {
	// ownInFlight counts the requests of this node; otherInFlight is the reported load
	// beyond them.
	ownInFlight     int
	otherInFlight   float64
	room            int
	reportedAt      time.Duration
	meanServiceTime time.Duration
	slowdown        float64
	disturbance     admission.Disturbance
	// ownBytesInFlight is the size of this node's requests in flight and their expected
	// responses.
	ownBytesInFlight int64
	// linkUtilization is the value reported by the endpoint's node.
	linkUtilization float64
	// rateLimited, rateLimit and rateAvailable are the values reported by the endpoint's
	// node; sentSinceReport counts the requests of this node since then.
	rateLimited                         bool
	rateLimit, rateAvailable, rateBurst float64
	sentSinceReport                     int
	// coldSince is the time since which the endpoint is known to be cold, never if it is not, and
	// assumesCold is set while its limit is assumed for lack of a report since then. The available
	// requests are then counted from rateSince.
	coldSince   time.Duration
	assumesCold bool
	rateSince   time.Duration

	// rate is the moving average of the failure rate that this node observed, as of rateAt.
	rate   float64
	rateAt time.Duration
	// reportedFailureRate is the failure rate reported by the target's node.
	reportedFailureRate float64

	unreachableCount int
	unreachableUntil time.Duration

	// awaitedSince is when the first of this node's requests in flight was sent, or when the last
	// response of the endpoint's node arrived if that was later. responseTime is how long a
	// response to any of them is expected to take.
	awaitedSince, responseTime time.Duration
}

type endpointKey struct {
	node   mesh.NodeID
	target string
}

// Balancer tracks the load and health of each target as observed by this node. It is not
// safe for concurrent use.
type Balancer struct {
	zone   mesh.AvailabilityZone
	states map[endpointKey]*endpointState
	zones  map[mesh.AvailabilityZone]*zoneState
}

// zoneState holds the nodes of a zone that became unresponsive since the last message
// from that zone.
type zoneState struct {
	unresponsive map[mesh.NodeID]bool
	lastAt       time.Duration
}

// New returns a balancer for a node in the zone.
func New(zone mesh.AvailabilityZone) *Balancer {
	return &Balancer{zone: zone, states: map[endpointKey]*endpointState{}, zones: map[mesh.AvailabilityZone]*zoneState{}}
}

// partitioned reports whether a zone is treated as partitioned from this node.
func (b *Balancer) partitioned(zone mesh.AvailabilityZone, now time.Duration) bool {
	z, ok := b.zones[zone]
	return ok && zone != b.zone && len(z.unresponsive) >= zonePartitionNodes && now-z.lastAt < zonePartitionTimeout
}

// MarkUnresponsive records that a node stopped responding to a request or a liveness
// check. A new connection to the node may succeed, so that this counts only towards the
// partition of its zone.
func (b *Balancer) MarkUnresponsive(e Endpoint, now time.Duration) {
	z, ok := b.zones[e.Zone]
	if !ok || now-z.lastAt >= zonePartitionTimeout {
		z = &zoneState{unresponsive: map[mesh.NodeID]bool{}}
		b.zones[e.Zone] = z
	}
	z.unresponsive[e.Node], z.lastAt = true, now
}

// MarkZoneReachable records a message from any node of the zone.
func (b *Balancer) MarkZoneReachable(zone mesh.AvailabilityZone) { delete(b.zones, zone) }

func (b *Balancer) stateOf(e Endpoint) *endpointState {
	k := endpointKey{e.Node, e.Target}
	s, ok := b.states[k]
	if !ok {
		s = &endpointState{slowdown: 1, coldSince: never}
		b.states[k] = s
	}
	return s
}

// Begin counts a request of the given size, with its expected response, that is sent to
// the endpoint. It must be
// followed by End with the same size.
func (b *Balancer) Begin(e Endpoint, bytes int64) {
	s := b.stateOf(e)
	s.ownInFlight++
	s.sentSinceReport++
	s.ownBytesInFlight += bytes
}

// ExpectResponse records that a response to the request just begun is due after the service time
// of a target with a slowdown of 1.
func (b *Balancer) ExpectResponse(e Endpoint, serviceTime, now time.Duration) {
	s := b.stateOf(e)
	expected := admission.WithMargins(0, time.Duration(float64(max(serviceTime, s.meanServiceTime))*max(s.slowdown, 1)))
	if s.ownInFlight <= 1 {
		s.awaitedSince, s.responseTime = now, 0
	}
	s.responseTime = max(s.responseTime, expected)
}

// End counts the completion of a request.
func (b *Balancer) End(e Endpoint, bytes int64) {
	s := b.stateOf(e)
	s.ownInFlight--
	s.ownBytesInFlight -= bytes
}

// UpdateLoad stores the load report that came with a response of the endpoint's node.
func (b *Balancer) UpdateLoad(e Endpoint, r LoadReport, now time.Duration) {
	s := b.stateOf(e)
	s.otherInFlight = max(0, float64(r.Running+r.Waiting-s.ownInFlight))
	s.reportedAt, s.awaitedSince, s.room = now, now, r.Room
	s.meanServiceTime = r.MeanServiceTime
	s.disturbance = admission.NewDisturbance(r.Disturbance, now-r.DisturbanceAge)
	s.linkUtilization = r.LinkUtilization
	s.reportedFailureRate = r.FailureRate
	s.rateLimited, s.rateLimit, s.rateAvailable, s.rateBurst = r.RateLimited, r.RateLimit, r.RateAvailable, r.RateBurst
	s.rateSince, s.sentSinceReport, s.assumesCold = now, 0, false
	b.MarkZoneReachable(e.Zone)
	if r.Slowdown > 0 {
		s.slowdown = min(r.Slowdown, maxSlowdown)
	}
	s.unreachableCount = 0
}

// Disturbed returns the number of targets whose machines are disturbed by the last reports.
func (b *Balancer) Disturbed(now time.Duration) (count int) {
	for _, s := range b.states {
		if _, _, ok := s.disturbance.Report(now); ok {
			count++
		}
	}
	return count
}

// failureEWMAWeight is the weight of one response in the moving average of the failure
// rate.
const failureEWMAWeight = 0.15

// RecordResponse counts a response of the target or a failed attempt.
func (b *Balancer) RecordResponse(e Endpoint, failed bool, now time.Duration) {
	s := b.stateOf(e)
	f := s.currentRate(now)
	if failed {
		f += failureEWMAWeight * (1 - f)
	} else {
		f -= failureEWMAWeight * f
	}
	s.rate, s.rateAt = f, now
}

// MarkUnreachable makes Choose skip the endpoint for a backoff period, since its node or
// target could not be reached.
func (b *Balancer) MarkUnreachable(e Endpoint, now time.Duration) {
	s := b.stateOf(e)
	s.unreachableUntil = now + min(unreachableBackoff<<min(s.unreachableCount, 4), maxUnreachableBackoff)
	s.unreachableCount++
}

// Retain deletes the state of endpoints that are not listed and have no requests in
// flight.
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
