package sidecar

import "sync"

// routeAverages keeps a moving average of a quantity for each route, such as the time of
// its requests at a target or the size of its responses.
type routeAverages struct {
	mu     sync.Mutex
	routes map[string]float64
}

func newRouteAverages() *routeAverages { return &routeAverages{routes: map[string]float64{}} }

const (
	// routeAverageWeight is the weight of one sample in the moving average of a route.
	routeAverageWeight = 0.05
	// maxTrackedRoutes limits the memory; a configuration has a few hundred routes.
	maxTrackedRoutes = 4096
)

// get returns the average of the route, or the fallback if there is no sample.
func (a *routeAverages) get(route string, fallback float64) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v, ok := a.routes[route]; ok {
		return v
	}
	return fallback
}

func (a *routeAverages) observe(route string, sample float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v, ok := a.routes[route]
	if !ok {
		if len(a.routes) >= maxTrackedRoutes {
			clear(a.routes)
		}
		a.routes[route] = sample
		return
	}
	a.routes[route] = v + routeAverageWeight*(sample-v)
}
