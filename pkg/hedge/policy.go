package hedge

// Limit bounds the copies of the requests that it covers.
type Limit struct {
	// Share is the ratio of copies to requests that may be repeated; 0 allows no copies.
	Share float64
	// Burst is the number of copies that all nodes together may send at once.
	Burst float64
}

// Policy holds the limits that the operator sets. The limit of a route replaces that of its
// service, which replaces the general one: each request is covered by one limit.
type Policy struct {
	Limit
	Routes, Services map[string]Limit
}

// Enabled reports whether any limit allows copies.
func (p Policy) Enabled() bool {
	if p.Share > 0 {
		return true
	}
	for _, limits := range []map[string]Limit{p.Routes, p.Services} {
		for _, l := range limits {
			if l.Share > 0 {
				return true
			}
		}
	}
	return false
}

// scope identifies the requests that one limit covers. Both names are empty for the general limit.
type scope struct{ route, service string }

// limitOf returns the limit that covers the requests of a route to a service.
func (p Policy) limitOf(route, service string) (scope, Limit) {
	if l, ok := p.Routes[route]; ok {
		return scope{route: route}, l
	}
	if l, ok := p.Services[service]; ok {
		return scope{service: service}, l
	}
	return scope{}, p.Limit
}

// bucket holds the copies that the requests of this node have earned. It starts empty: since the
// start of the process, a node sends at most its share of its own requests, and so do all nodes
// together, without messages between them and also when all of them restart at once.
type bucket struct{ tokens float64 }

// capacity returns how many copies a node may save up. Its part of the burst may be below one, but
// with a capacity below one a node could never send a copy.
func (l Limit) capacity(nodes int) float64 { return max(1, l.Burst/float64(max(nodes, 1))) }

// earn counts a request that may be repeated.
func (b *bucket) earn(l Limit, nodes int) { b.tokens = min(b.tokens+l.Share, l.capacity(nodes)) }

// available reports whether a copy may be sent. A lowered limit binds at once. The tolerance covers
// the rounding of sums of shares.
func (b *bucket) available(l Limit, nodes int) bool {
	b.tokens = min(b.tokens, l.capacity(nodes))
	return b.tokens >= 1-1e-9
}

func (b *bucket) take() { b.tokens = max(b.tokens-1, 0) }
