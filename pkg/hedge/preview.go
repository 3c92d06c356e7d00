package hedge

import (
	"maps"
	"time"
)

// Preview returns what Decide would return for a request that is counted now, without counting it or
// taking a copy from its limit. allow reports whether the shared budget has a retry left.
func (h *Hedger) Preview(r Request, now time.Duration, allow func() bool) Decision {
	// The merged times of the route, which Preview refreshes as Decide does, follow from its samples.
	copied := &Hedger{policy: h.policy, buckets: map[scope]*bucket{}, routes: h.routes, pressure: map[string]*pressure{}}
	for s, b := range h.buckets {
		tokens := *b
		copied.buckets[s] = &tokens
	}
	if p, ok := h.pressure[r.Service]; ok {
		copied.pressure[r.Service] = &pressure{replies: maps.Clone(p.replies)}
	}
	if copied.Covers(r.Route, r.Service) {
		copied.RecordRequest(r.Route, r.Service, r.Nodes)
	}
	return copied.Decide(r, now, allow)
}
