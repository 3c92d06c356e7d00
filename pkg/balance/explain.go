package balance

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Snapshot returns a copy of the balancer with the states of the endpoints. Choose on the copy returns
// what it would return on the balancer, and leaves the balancer unchanged.
func (b *Balancer) Snapshot(endpoints []Endpoint) *Balancer {
	out := New(b.zone)
	for _, e := range endpoints {
		k := endpointKey{e.Node, e.Target}
		if s, ok := b.states[k]; ok {
			copied := *s
			out.states[k] = &copied
		}
	}
	for zone, z := range b.zones {
		// MarkUnresponsive changes the set of the nodes.
		copied := zoneState{unresponsive: make(map[mesh.NodeID]bool, len(z.unresponsive)), lastAt: z.lastAt}
		for node := range z.unresponsive {
			copied.unresponsive[node] = true
		}
		out.zones[zone] = &copied
	}
	return out
}

// Explanation is what decides whether a request is sent to an endpoint, and the ages of what is known
// of it.
type Explanation struct {
	// Eligible is set if the endpoint was not tried yet and has no unreachability backoff.
	Eligible bool
	// LastResort is set if the endpoint is chosen only if there is no other, and Partitioned if its
	// zone is treated as partitioned.
	LastResort, Partitioned bool
	// Admissible is set if the target is expected to admit the request.
	Admissible bool
	// Wait is the expected queueing time, Response the expected response time including the margins of
	// admission, and Cost the cost without jitter.
	Wait, Response time.Duration
	Cost           float64
	// UnreachableFor is how long the endpoint is still skipped after it could not be reached.
	UnreachableFor time.Duration
	// OwnInFlight is the number of this node's requests at the endpoint, Load the number of all
	// requests as far as known, and Room the reported room of a target that sheds load, 0 if it does not.
	OwnInFlight int
	Load        float64
	Room        int
	FailureRate float64
	// RateLimited is set if a limit is known or assumed, ColdUsedUp if it is that of a cold target and
	// leaves no request for now. RateAvailable is what this node may still send of it.
	RateLimited, ColdUsedUp, ColdAssumed bool
	RateLimit, RateAvailable             float64
	// Disturbance is by how many times longer than usual work is expected to take on the machine.
	Disturbance float64
	// Reported is set if a load report arrived, ReportAge ago.
	Reported  bool
	ReportAge time.Duration
	// Overdue is how long the node of the endpoint has owed a response.
	Overdue time.Duration
}

// Explain describes an endpoint as Choose judges it. It changes the balancer as Choose does, and is
// therefore called on a Snapshot.
func (b *Balancer) Explain(e Endpoint, r Request, now time.Duration, random func() float64) Explanation {
	s := b.stateOf(e)
	s.assumeCold(e, now, random)
	c, estimate := b.evaluate(e, r, now), b.Estimate(e, r, now)
	x := Explanation{
		Eligible: b.eligible(e, r, now), LastResort: estimate.LastResort, Partitioned: b.partitioned(e.Zone, now), Admissible: c.Admissible,
		Wait: c.ExpectedWait, Response: c.total, Cost: c.cost, UnreachableFor: max(0, s.unreachableUntil-now),
		OwnInFlight: s.ownInFlight, Load: estimate.Load, FailureRate: estimate.FailureRate,
		RateLimited: s.rateLimited, ColdUsedUp: s.coldUsedUp(e, r, now), ColdAssumed: s.assumesCold,
		Disturbance: s.disturbance.Factor(now), Reported: s.reportedAt > 0, Overdue: s.overdue(now),
	}
	if s.rateLimited {
		x.RateLimit, x.RateAvailable = s.rateLimit, s.availableRate(r, now)
	}
	if x.Reported {
		x.ReportAge = now - s.reportedAt
		if x.ReportAge < roomMaxAge {
			x.Room = s.room
		}
	}
	return x
}
