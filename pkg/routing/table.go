// Package routing selects the endpoint of a call: the route by longest path prefix,
// the version by weight and the endpoint by load.
//
// A Table is immutable and is rebuilt on each change; readers access it through an
// atomic pointer. The counters of an endpoint are kept in a Tracker, which outlives
// individual tables. The package reads no clock: times are offsets of one monotonic
// clock.
package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Flags are the conditions that membership reports for an endpoint.
type Flags uint8

// Endpoint flags.
const (
	// Leaving: the target or its node is draining; the endpoint is never chosen.
	Leaving Flags = 1 << iota
	// Suspect: the node missed probes; chosen after endpoints without flags.
	Suspect
	// ZoneUnreachable: the zone did not respond; chosen after suspect endpoints.
	ZoneUnreachable
	// Damped: the endpoint changed state too often (flap damping); chosen only if no
	// other endpoint is usable.
	Damped
)

// FlaggedEndpoint is an endpoint with the flags that membership reports.
type FlaggedEndpoint struct {
	mesh.Endpoint
	Flags Flags
}

// Cut identifies a version whose weight is 0 on this node.
type Cut struct {
	Service string
	Version string
}

// Input is the data a table is built from. Build keeps no reference to it.
type Input struct {
	Revision  record.Revision
	Services  map[string]state.Service
	Routes    map[string]state.Route
	Endpoints []FlaggedEndpoint
	Cuts      []Cut
	// Zone is the node's own availability zone.
	Zone mesh.AvailabilityZone
}

// Table is an immutable routing table.
type Table struct {
	Revision record.Revision
	// BuiltAt is the time of the call of Build, on the caller's clock.
	BuiltAt       time.Duration
	routes        map[string]*Route
	prefixLengths []int
	services      map[string]*Service
}

// Route maps a path prefix to a service.
type Route struct {
	Name    string
	Prefix  string
	Service *Service
}

// Service holds the versions and endpoints of one service.
type Service struct {
	Name string
	// versions holds the versions with a weight after cuts, sorted by name.
	versions  []*version
	endpoints []*Endpoint
}

type version struct {
	name             string
	weight           record.BasisPoints
	cumulativeWeight record.BasisPoints
	// tiers groups the endpoints by flags, most preferred first.
	tiers [tierCount]tier
}

type tier struct {
	local  []*Endpoint
	remote []*Endpoint
}

const tierCount = 4

// Endpoint is a target that can be chosen.
type Endpoint struct {
	mesh.Endpoint
	Flags Flags
	// Local is set if the endpoint is in this node's zone.
	Local   bool
	stats   *EndpointStats
	service *Service
	tracker *Tracker
}

// Build builds a table. It omits endpoints of unknown services or versions and
// endpoints flagged Leaving.
func Build(in Input, tracker *Tracker, now time.Duration) *Table {
	t := &Table{
		Revision: in.Revision, BuiltAt: now,
		routes: make(map[string]*Route, len(in.Routes)), services: make(map[string]*Service, len(in.Services)),
	}
	byVersion := groupEndpoints(in, tracker)
	for _, svc := range in.Services {
		t.services[svc.Name] = buildService(svc, byVersion, in.Cuts)
	}
	for _, r := range in.Routes {
		svc, ok := t.services[r.Service]
		if !ok {
			continue
		}
		if old, exists := t.routes[r.Prefix]; exists && old.Name < r.Name {
			continue
		}
		t.routes[r.Prefix] = &Route{Name: r.Name, Prefix: r.Prefix, Service: svc}
	}
	t.prefixLengths = prefixLengths(t.routes)
	return t
}

func prefixLengths(routes map[string]*Route) []int {
	set := map[int]struct{}{}
	for prefix := range routes {
		set[len(prefix)] = struct{}{}
	}
	lengths := slices.Sorted(maps.Keys(set))
	slices.Reverse(lengths)
	return lengths
}

// Lookup returns the route with the longest matching prefix of path, or nil. It does not
// allocate.
func (t *Table) Lookup(path string) *Route {
	for _, n := range t.prefixLengths {
		if n > len(path) {
			continue
		}
		if r, ok := t.routes[path[:n]]; ok {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// groupEndpoints groups the endpoints by service and version, for which it uses Cut as the
// key.
func groupEndpoints(in Input, tracker *Tracker) map[Cut][]*Endpoint {
	groups := map[Cut][]*Endpoint{}
	keys := make(map[endpointKey]struct{}, len(in.Endpoints))
	for _, e := range in.Endpoints {
		if e.Flags&Leaving != 0 || e.Slots <= 0 {
			continue
		}
		key := keyOf(e.Endpoint)
		if _, twice := keys[key]; twice {
			continue
		}
		keys[key] = struct{}{}
		id := Cut{Service: e.Service, Version: e.Version}
		stats := tracker.statsFor(key)
		tracker.loadSignals(e.Endpoint, stats)
		groups[id] = append(groups[id], &Endpoint{
			Endpoint: e.Endpoint, Flags: e.Flags, Local: e.Zone == in.Zone, stats: stats, tracker: tracker,
		})
	}
	tracker.retain(keys)
	for _, group := range groups {
		slices.SortFunc(group, func(a, b *Endpoint) int { return cmp.Compare(a.Node, b.Node) })
	}
	return groups
}

func buildService(svc state.Service, byVersion map[Cut][]*Endpoint, cuts []Cut) *Service {
	s := &Service{Name: svc.Name}
	weights := effectiveWeights(svc, byVersion, cuts)
	for _, name := range slices.Sorted(slices.Values(svc.Versions)) {
		endpoints := byVersion[Cut{Service: svc.Name, Version: name}]
		for _, e := range endpoints {
			e.service = s
		}
		s.endpoints = append(s.endpoints, endpoints...)
		if weights[name] > 0 {
			s.versions = append(s.versions, newVersion(name, weights[name], endpoints))
		}
	}
	total := record.BasisPoints(0)
	for _, v := range s.versions {
		total += v.weight
		v.cumulativeWeight = total
	}
	return s
}

// effectiveWeights applies the cuts to the weights. If no weight is left, the versions
// that are not cut and have endpoints get equal weights. If there are none, the cuts are
// ignored, since a service with a single version would otherwise refuse every call.
func effectiveWeights(svc state.Service, byVersion map[Cut][]*Endpoint, cuts []Cut) map[string]record.BasisPoints {
	weights := maps.Clone(svc.Weights)
	for _, c := range cuts {
		if c.Service == svc.Name {
			delete(weights, c.Version)
		}
	}
	if len(weights) > 0 {
		return weights
	}
	weights = map[string]record.BasisPoints{}
	for _, name := range svc.Versions {
		id := Cut{Service: svc.Name, Version: name}
		if !slices.Contains(cuts, id) && len(byVersion[id]) > 0 {
			weights[name] = 1
		}
	}
	if len(weights) > 0 {
		return weights
	}
	return svc.Weights
}

func newVersion(name string, weight record.BasisPoints, endpoints []*Endpoint) *version {
	v := &version{name: name, weight: weight}
	for _, e := range endpoints {
		t := &v.tiers[tierOf(e.Flags)]
		if e.Local {
			t.local = append(t.local, e)
		} else {
			t.remote = append(t.remote, e)
		}
	}
	return v
}

func tierOf(f Flags) int {
	switch {
	case f&Damped != 0:
		return 3
	case f&ZoneUnreachable != 0:
		return 2
	case f&Suspect != 0:
		return 1
	default:
		return 0
	}
}
