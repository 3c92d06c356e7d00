package balance

import (
	"math"
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

// Request describes a request to be sent.
type Request struct {
	// ExpectedServiceTime is the expected service time at a target with a slowdown of 1.
	ExpectedServiceTime time.Duration
	// Objective is the time left to meet the latency objective.
	Objective time.Duration
	// Bytes is the expected size of the request and the response.
	Bytes int64
	// Senders is the number of nodes that send requests, with which this node shares the
	// rate limit of a target.
	Senders int
	// Tried holds the nodes of earlier attempts. They are skipped.
	Tried []mesh.NodeID
}

// Choice is the result of Choose.
type Choice struct {
	Endpoint Endpoint
	// ExpectedWait is the expected queueing time at the target.
	ExpectedWait time.Duration
	// Admissible is set if the target is expected to admit the request.
	Admissible bool
}

// Choose returns an endpoint for the request. random returns numbers in [0, 1). The second
// result is false if no endpoint is left.
//
// It first compares a few random endpoints of the own zone. Reports are up to 2 s old; if all
// nodes chose the best of all endpoints by them, they would choose the same one. Only if none
// of them serves the request well, all of the own zone and then a few of other zones are
// compared.
func (b *Balancer) Choose(endpoints []Endpoint, r Request, now time.Duration, random func() float64) (Choice, bool) {
	tolerance := random()
	own, found := b.best(b.sample(endpoints, r, now, random, true), r, now, random)
	if found && own.sufficient(r, tolerance) {
		return own.Choice, true
	}
	if c, ok := b.best(b.candidates(endpoints, r, now, true), r, now, random); ok && (!found || c.cost < own.cost) {
		own, found = c, true
	}
	if found && own.sufficient(r, tolerance) {
		return own.Choice, true
	}
	other, ok := b.best(b.sample(endpoints, r, now, random, false), r, now, random)
	switch {
	case ok && other.Admissible && (!found || other.cost < own.cost):
		return other.Choice, true
	case found && own.Admissible && own.penalty <= toleratedPenalty:
		return own.Choice, true
	}
	best, found := b.best(b.candidates(endpoints, r, now, false), r, now, random)
	return best.Choice, found
}

const (
	// sampledInZone and sampledElsewhere are the numbers of endpoints that are compared in the
	// own zone and in others. In replays, two in the own zone missed the fast targets more
	// often, and all of them sent a third of the requests in bursts beyond the slots.
	sampledInZone    = 3
	sampledElsewhere = 2
	// Between relaxedUse and fullUse of the time left to the objective, which the response is
	// expected to take with the margins of admission, a growing share of the requests is
	// compared with other zones. A zone in which all targets are slow must not keep what
	// others can answer in time.
	relaxedUse, fullUse = 0.5, 0.8
	// toleratedPenalty is the penalty up to which an endpoint of the own zone is not compared
	// with other zones: the cost of a short request to another zone.
	toleratedPenalty = 0.02
)

// candidate is an endpoint with its cost.
type candidate struct {
	Choice
	cost float64
	// penalty is the part of the cost for failures and a rate limit.
	penalty float64
	// total is the expected response time including the margins of admission.
	total time.Duration
}

// sufficient reports whether the endpoint serves the request so well that other zones are not
// considered. tolerance is a random number in [0, 1) that makes the share of requests that
// leave the zone grow with the time they would take and wait in it.
func (c candidate) sufficient(r Request, tolerance float64) bool {
	if !c.Admissible || c.penalty > toleratedPenalty {
		return false
	}
	objective := float64(max(r.Objective, time.Millisecond))
	use, waiting := float64(c.total)/objective, float64(c.ExpectedWait)/objective
	leaving := max((use-relaxedUse)/(fullUse-relaxedUse), waiting)
	return leaving <= 0 || leaving < tolerance
}

// eligible reports whether the request may be sent to the endpoint now.
func (b *Balancer) eligible(e Endpoint, r Request, now time.Duration) bool {
	return !contains(r.Tried, e.Node) && now >= b.stateOf(e).unreachableUntil
}

// candidates returns the eligible endpoints, of the own zone only if own is set.
func (b *Balancer) candidates(endpoints []Endpoint, r Request, now time.Duration, own bool) []Endpoint {
	out := make([]Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if (!own || e.Zone == b.zone) && b.eligible(e, r, now) {
			out = append(out, e)
		}
	}
	return out
}

// sample returns a few random eligible endpoints of the own zone or of the others, without
// those that are a last resort.
func (b *Balancer) sample(endpoints []Endpoint, r Request, now time.Duration, random func() float64, own bool) []Endpoint {
	size := sampledElsewhere
	if own {
		size = sampledInZone
	}
	out := make([]Endpoint, 0, sampledInZone)
	seen := 0
	for _, e := range endpoints {
		if (e.Zone == b.zone) != own || b.lastResort(e, now) || !b.eligible(e, r, now) {
			continue
		}
		seen++
		if len(out) < size {
			out = append(out, e)
		} else if i := int(random() * float64(seen)); i < size {
			out[i] = e
		}
	}
	return out
}

// best returns the endpoint with the lowest cost.
func (b *Balancer) best(endpoints []Endpoint, r Request, now time.Duration, random func() float64) (best candidate, found bool) {
	best.cost = math.Inf(1)
	for _, e := range endpoints {
		b.stateOf(e).assumeCold(e, now, random)
		c := b.evaluate(e, r, now)
		c.cost *= 1 + costJitter*random()
		if c.cost < best.cost {
			best, found = c, true
		}
	}
	return best, found
}

// evaluate returns the endpoint as a candidate, with its cost without jitter.
func (b *Balancer) evaluate(e Endpoint, r Request, now time.Duration) candidate {
	s := b.stateOf(e)
	wait, total := s.estimate(e, r, now)
	penalty := failureCost*s.failureRate(now) + s.rateLimitCost(r, now)
	admissible := total <= r.Objective && !b.lastResort(e, now) && !s.coldUsedUp(e, r, now)
	return candidate{Choice{e, wait, admissible}, b.cost(e, s, r, total, now) + penalty, penalty, total}
}

// cost returns the cost without penalties. It grows with the cube of the expected response time
// relative to the objective.
// Targets that respond well within the objective have nearly equal costs, so that the zone
// decides between them; beyond the objective the response time dominates.
func (b *Balancer) cost(e Endpoint, s *endpointState, r Request, total time.Duration, now time.Duration) float64 {
	x := float64(total) / float64(max(r.Objective, time.Millisecond))
	cost := 0.02 + x*x*x
	if x > 1 {
		cost += refusalCost
	}
	if e.Zone != b.zone {
		cost += crossZoneCost + crossZoneByteCost*float64(r.Bytes)
	}
	if x <= 1 && s.coldUsedUp(e, r, now) {
		cost += refusalCost
	}
	if b.lastResort(e, now) {
		cost += lastResortCost
	}
	return cost
}

// lastResort reports whether the endpoint is to be chosen only if there is no other.
func (b *Balancer) lastResort(e Endpoint, now time.Duration) bool {
	return e.Unresponsive || e.Leaving || b.partitioned(e.Zone, now)
}

// estimate returns the expected queueing time, and the expected response time including
// the margins that admission applies.
func (s *endpointState) estimate(e Endpoint, r Request, now time.Duration) (wait, total time.Duration) {
	slowdown := s.slowdown
	if e.Cold {
		slowdown = max(slowdown, coldSlowdown)
	}
	disturbance := s.disturbance.Factor(now)
	serviceTime := time.Duration(float64(r.ExpectedServiceTime) * slowdown * disturbance)
	meanServiceTime := time.Duration(float64(s.meanServiceTime) * disturbance)
	if meanServiceTime == 0 {
		meanServiceTime = serviceTime
	}
	age := float64(now-s.reportedAt) / float64(loadReportMaxAge)
	load := float64(s.ownInFlight) + s.otherInFlight*max(0, 1-age)
	slots := float64(max(e.Slots, 1))
	if s.room > 0 && now-s.reportedAt < roomMaxAge {
		slots = min(slots, float64(s.room))
	}
	if over := load + 1 - slots; over > 0 {
		wait = time.Duration(over * float64(meanServiceTime) / slots)
	}
	wait = max(wait, s.rateLimitWait(r, now), s.overdue(now))
	use := s.linkUtilization * max(0, 1-age)
	return wait, admission.WithMargins(wait, serviceTime) + e.transferTime(s.ownBytesInFlight+r.Bytes, use)
}

// overdue returns how long the endpoint's node has sent nothing although a response is due. A
// request that is sent now has to expect at least as much. Otherwise a node that has lost power,
// or has no processor time left, would look idle once its last load report is old, and would get
// one request after the other until each has reached its deadline.
func (s *endpointState) overdue(now time.Duration) time.Duration {
	if s.ownInFlight == 0 || s.responseTime == 0 {
		return 0
	}
	return max(0, now-s.awaitedSince-s.responseTime)
}

// availableRate estimates how many requests the rate limit of the target allows now. Between
// reports this node counts on its share of the limit only. Once the report is too old, one
// request finds out whether the limit has ended.
func (s *endpointState) availableRate(r Request, now time.Duration) float64 {
	age := now - s.rateSince
	if age >= loadReportMaxAge && s.sentSinceReport == 0 && s.coldSince == never {
		return 1
	}
	share := s.rateLimit / float64(max(r.Senders, 1))
	burst := s.rateBurst
	if burst == 0 {
		burst = max(s.rateLimit, 1)
	}
	return min(s.rateAvailable+share*age.Seconds(), burst) - float64(s.sentSinceReport)
}

// assumeCold assumes the limit of a cold target of which there is no report since it became cold.
// Each node begins with a random part of a request to spare, so that the first requests of all
// nodes together come at the rate of the limit.
func (s *endpointState) assumeCold(e Endpoint, now time.Duration, random func() float64) {
	switch {
	case e.ColdRate <= 0:
		if s.assumesCold {
			s.rateLimited = false
		}
		s.coldSince, s.assumesCold = never, false
	case s.assumesCold:
		s.rateLimit = e.ColdRate
	case s.coldSince == never && s.rateLimited && s.rateLimit <= e.ColdRate && now-s.rateSince < loadReportMaxAge:
		s.coldSince = now
	case s.coldSince == never:
		s.coldSince, s.assumesCold = now, true
		s.rateLimited, s.rateLimit, s.rateBurst = true, e.ColdRate, 1
		s.rateAvailable, s.rateSince, s.sentSinceReport = random(), now, 0
	}
}

// coldUsedUp reports whether the node beside a cold target is expected to refuse the request.
func (s *endpointState) coldUsedUp(e Endpoint, r Request, now time.Duration) bool {
	return e.ColdRate > 0 && s.rateLimited && s.availableRate(r, now) < 1
}

// rateLimitWait returns how long the rate limit of the target delays a request.
func (s *endpointState) rateLimitWait(r Request, now time.Duration) time.Duration {
	if !s.rateLimited {
		return 0
	}
	missing := max(0, 1-s.availableRate(r, now))
	return time.Duration(missing / max(s.rateLimit, minRateLimit) * float64(time.Second))
}

// rateLimitCost grows as the rate limit of the target is used up, so that requests go to
// other targets before it has to refuse some.
func (s *endpointState) rateLimitCost(r Request, now time.Duration) float64 {
	if !s.rateLimited {
		return 0
	}
	free := s.availableRate(r, now)
	if s.rateBurst == 0 {
		free /= max(s.rateLimit, 1)
	}
	return usedRateLimitCost * min(1, max(0, 1-free))
}

// minFreeLinkShare is the minimum share of a link's bandwidth that is assumed to be free.
const minFreeLinkShare = 0.05

// transferTime returns how long a transfer takes on the node's link at a utilization.
func (e Endpoint) transferTime(bytes int64, use float64) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	free := e.LinkMbps * max(1-use, minFreeLinkShare)
	return time.Duration(float64(bytes*bitsPerByte) / (free * bitsPerMbit) * float64(time.Second))
}

// failureRate combines the failure rates observed by this node and reported by the
// target's node. Both decay with age.
func (s *endpointState) failureRate(now time.Duration) float64 {
	reported := max(0, s.reportedFailureRate-toleratedFailureRate) * decay(now-s.reportedAt)
	return max(s.currentRate(now), reported)
}

// currentRate returns rate, decayed to now.
func (s *endpointState) currentRate(now time.Duration) float64 { return s.rate * decay(now-s.rateAt) }

// decay returns the weight of failures of the given age.
func decay(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(failureHalfLife)) }

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
