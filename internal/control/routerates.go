package control

import (
	"time"

	"heathercroft.example/heathercroft/pkg/canary"
)

const (
	// routeRateWindow is the time over which the request rate of a route is measured, and
	// minRouteRateTime the least time for that. Before, the nodes do not know each other's counts yet.
	routeRateWindow  = 6 * time.Second
	minRouteRateTime = 3 * time.Second
	// routeRateInterval is the time between two samples.
	routeRateInterval = time.Second
)

// routeRates measures the request rate of each route of a service while a move is open. What was
// counted before the order says little: some routes get requests only now and then.
type routeRates struct {
	samples []routeSample
}

type routeSample struct {
	at        time.Duration
	responses map[string]int
}

// observe takes the responses of both versions.
func (r *routeRates) observe(now time.Duration, old, current canary.Evidence) {
	if n := len(r.samples); n > 0 && now-r.samples[n-1].at < routeRateInterval {
		return
	}
	sample := routeSample{now, make(map[string]int, len(old))}
	for _, evidence := range []canary.Evidence{old, current} {
		for route, counts := range evidence {
			sample.responses[route] += counts.Responses
		}
	}
	r.samples = append(r.samples, sample)
	for len(r.samples) > 1 && now-r.samples[0].at > routeRateWindow {
		r.samples = r.samples[1:]
	}
}

// perSecond returns the rate of a route, and false if it is not known yet.
func (r *routeRates) perSecond(route string) (float64, bool) {
	if len(r.samples) == 0 {
		return 0, false
	}
	first, last := r.samples[0], r.samples[len(r.samples)-1]
	if last.at-first.at < minRouteRateTime {
		return 0, false
	}
	return float64(max(last.responses[route]-first.responses[route], 0)) / (last.at - first.at).Seconds(), true
}
