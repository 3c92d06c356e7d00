package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"heathercroft.example/heathercroft/pkg/record"
)

// zoneFullShare is the share of the slots in use over which a zone's calls also
// go to other zones.
const zoneFullShare = 0.8

// Choice is where an attempt goes.
type Choice struct {
	Version  string
	Endpoint *Endpoint
}

// Choose picks a version by the hash of the request id and an endpoint by power
// of two choices. Endpoints in tried are left out; attempt varies the pick. ok
// is false if no endpoint can be used now. It does not allocate.
//
// If the picked version has no usable endpoint, the call goes to the version
// with most of the traffic, if there is one; never to a version that has not
// been given that much.
func (s *Service) Choose(requestID string, attempt int, now time.Duration, tried []*Endpoint) (c Choice, ok bool) {
	hash := xxhash.Sum64String(requestID)
	v := s.versionFor(hash)
	if v == nil {
		return Choice{}, false
	}
	pick := mix(hash + uint64(attempt))
	if e := v.choose(pick, now, tried); e != nil {
		return Choice{Version: v.name, Endpoint: e}, true
	}
	for _, other := range s.versions {
		if other == v || 2*other.weight <= s.total() {
			continue
		}
		if e := other.choose(pick, now, tried); e != nil {
			return Choice{Version: other.name, Endpoint: e}, true
		}
	}
	return Choice{}, false
}

// EndpointCount returns how many endpoints the service has, usable or not.
func (s *Service) EndpointCount() int { return len(s.all) }

func (s *Service) total() record.BasisPoints {
	if len(s.versions) == 0 {
		return 0
	}
	return s.versions[len(s.versions)-1].upTo
}

func (s *Service) versionFor(hash uint64) *version {
	total := s.total()
	if total == 0 {
		return nil
	}
	point := record.BasisPoints(hash % uint64(total))
	for _, v := range s.versions {
		if point < v.upTo {
			return v
		}
	}
	return nil
}

func (v *version) choose(pick uint64, now time.Duration, tried []*Endpoint) *Endpoint {
	for i := range v.tiers {
		if e := v.tiers[i].choose(pick, now, tried); e != nil {
			return e
		}
	}
	return nil
}

func (t *tier) choose(pick uint64, now time.Duration, tried []*Endpoint) *Endpoint {
	local, used, slots := 0, 0.0, 0
	for _, e := range t.local {
		if e.usable(now, tried) {
			local++
			used += e.used(now)
			slots += e.Slots
		}
	}
	if local > 0 && used <= zoneFullShare*float64(slots) {
		return twoChoices(t.local, nil, local, pick, now, tried)
	}
	remote := 0
	for _, e := range t.remote {
		if e.usable(now, tried) {
			remote++
		}
	}
	return twoChoices(t.local, t.remote, local+remote, pick, now, tried)
}

// twoChoices compares two different usable endpoints out of n and takes the
// less loaded one.
func twoChoices(a, b []*Endpoint, n int, pick uint64, now time.Duration, tried []*Endpoint) *Endpoint {
	if n == 0 {
		return nil
	}
	first := int(pick % uint64(n))
	one := nthUsable(a, b, first, now, tried)
	if n == 1 {
		return one
	}
	second := int(mix(pick) % uint64(n-1))
	if second >= first {
		second++
	}
	two := nthUsable(a, b, second, now, tried)
	if one == nil || two != nil && two.score(now) < one.score(now) {
		return two
	}
	return one
}

func nthUsable(a, b []*Endpoint, n int, now time.Duration, tried []*Endpoint) *Endpoint {
	for _, list := range [2][]*Endpoint{a, b} {
		for _, e := range list {
			if !e.usable(now, tried) {
				continue
			}
			if n == 0 {
				return e
			}
			n--
		}
	}
	return nil
}

func (e *Endpoint) usable(now time.Duration, tried []*Endpoint) bool {
	if e.Ejected(now) {
		return false
	}
	for _, t := range tried {
		if t.load == e.load {
			return false
		}
	}
	return true
}

// mix is the finalizer of splitmix64: it spreads a hash over all bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
