package canary

import (
	"maps"
	"math"
	"slices"
	"time"
)

// A version may fail on one route only. Before the old version is released, each route with traffic
// has shown that it works there.

const (
	// minRouteRate is the number of requests per second from which a route is tried. On a quieter one,
	// fifty bad responses take over forty seconds if all are bad.
	minRouteRate = 1.2
	// triedTime is the part of a route's traffic that it is tried with, by time: where a fault would
	// do much harm, a smaller one is looked for. minTried and maxTried bound the responses: a version that
	// fails three in ten requests passes twelve once in seventy times.
	triedTime = 2500 * time.Millisecond
	minTried  = 3
	maxTried  = 12
	// triedMargin is how many times as many requests are sent, for those that fail or are still
	// under way.
	triedMargin = 1.5
	// triedInShift is the time of the shift that tries a route as well.
	triedInShift = 700 * time.Millisecond
	// quietShare is the part of the share of a move that each route has at least.
	quietShare = 0.6
	// maxRouteShare bounds the share of a route that tries the new version.
	maxRouteShare = 0.75
	// triedWindow is the part of the time until the shift in which the routes are tried. The rest is
	// for those whose requests failed to come.
	triedWindow = 0.7
	// maxEvidenceTime is the time after the deadline for which missing evidence holds the release of
	// the old version.
	maxEvidenceTime = 20 * time.Second
	// shiftCost is the time of the shift during which all traffic counts against the limits, and
	// observingMargin the part of the rest that is used before.
	shiftCost       = 1450 * time.Millisecond
	observingMargin = 0.85
)

// RouteTraffic is the traffic of a route of the service.
type RouteTraffic struct {
	PerSecond float64
	// Tried is the number of responses of the new version.
	Tried int
}

// triedResponses returns how many responses of the new version a route needs.
func triedResponses(perSecond float64) float64 {
	if perSecond < minRouteRate {
		return 0
	}
	return min(max(math.Floor(perSecond*triedTime.Seconds()), minTried), maxTried)
}

// successGain is what a successful response adds to the evidence for a route if the old version does not fail.
var successGain = -logRatio(Counts{Responses: 1}, 0, doubtToleratedRate, faultyFailureRate)

// observeRoute adds new responses to the evidence for a route. The sum is bounded, so that the good
// responses before a late fault do not outweigh it.
func (a *Analyzer) observeRoute(route string, delta Counts, oldRate float64) {
	a.trusted[route] = min(a.trusted[route]-logRatio(delta, oldRate, doubtToleratedRate, faultyFailureRate), maxTried*successGain)
}

// Untried returns a route with traffic on which the new version has not shown yet that it works, the
// first by name, "" if there is none.
func (a *Analyzer) Untried(routes map[string]RouteTraffic) string {
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		if needed := triedResponses(routes[route].PerSecond) * successGain; needed > 0 && a.trusted[route] < needed-successGain/2 {
			return route
		}
	}
	return ""
}

// RouteShares returns the shares of the requests of each route that go to the new version while it is
// observed, nil in other phases. left is the time until the deadline, perSecond the rate of the
// service. They try each route before the shift, as far as the limits leave room for that.
func (m Move) RouteShares(routes map[string]RouteTraffic, perSecond float64, left time.Duration, limits Limits) map[string]float64 {
	if m.Phase != Observing {
		return nil
	}
	base := quietShare * m.Share(perSecond, 0)
	window := max(left-shiftLead, time.Second).Seconds()
	out := make(map[string]float64, len(routes))
	tried, extra := 0, 0.0
	for route, traffic := range routes {
		tried += traffic.Tried
		share := base
		if expected := traffic.PerSecond * window * triedWindow; expected > 0 {
			missing := triedMargin*(triedResponses(traffic.PerSecond)-traffic.PerSecond*triedInShift.Seconds()) - float64(traffic.Tried)
			share = max(base, min(missing/expected, maxRouteShare))
			extra += (share - base) * expected
		}
		out[route] = share
	}
	room := limits.observing(perSecond, m.Duration) - float64(tried) - base*perSecond*window
	if extra <= max(room, 0) {
		return out
	}
	for route := range out {
		out[route] = base + (out[route]-base)*max(room, 0)/extra
	}
	return out
}

// observing returns how many requests the new version may get before the shift, so that the limits last
// for the shift.
func (l Limits) observing(perSecond float64, duration time.Duration) float64 {
	all := l.Share*shareMargin*perSecond*duration.Seconds() + l.Slack*slackMargin
	return observingMargin * (all - perSecond*shiftCost.Seconds())
}
