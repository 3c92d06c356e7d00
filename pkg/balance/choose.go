package balance

import (
	"math"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

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
