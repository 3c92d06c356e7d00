package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"heathercroft.example/heathercroft/pkg/record"
)

// zoneSpilloverThreshold is the slot utilization of the local zone above which calls
// are also sent to other zones.
const zoneSpilloverThreshold = 0.8

// Choice is the version and endpoint selected for an attempt.
type Choice struct {
	Version  string
	Endpoint *Endpoint
}

// Choose selects a version by the hash of the request ID and an endpoint by power of
// two choices. Endpoints in tried are skipped; attempt varies the selection between
// retries. ok is false if no endpoint is usable. Choose does not allocate.
//
// If the selected version has no usable endpoint, the call falls back to the version
// with more than half of the weight, if there is one. It never falls back to a version
// with less weight.
func (s *Service) Choose(requestID string, attempt int, now time.Duration, tried []*Endpoint) (c Choice, ok bool) {
	hash := xxhash.Sum64String(requestID)
	v := s.versionFor(hash)
	if v == nil {
		return Choice{}, false
	}
	pick := splitmix64(hash + uint64(attempt))
	if e := v.choose(pick, now, tried); e != nil {
		return Choice{Version: v.name, Endpoint: e}, true
	}
	for _, other := range s.versions {
		if other == v || 2*other.weight <= s.totalWeight() {
			continue
		}
		if e := other.choose(pick, now, tried); e != nil {
			return Choice{Version: other.name, Endpoint: e}, true
		}
	}
	return Choice{}, false
}

// EndpointCount returns the number of endpoints, usable or not.
func (s *Service) EndpointCount() int { return len(s.endpoints) }

func (s *Service) totalWeight() record.BasisPoints {
	if len(s.versions) == 0 {
		return 0
	}
	return s.versions[len(s.versions)-1].cumulativeWeight
}

func (s *Service) versionFor(hash uint64) *version {
	total := s.totalWeight()
	if total == 0 {
		return nil
	}
	point := record.BasisPoints(hash % uint64(total))
	for _, v := range s.versions {
		if point < v.cumulativeWeight {
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
	localCount, inUse, slots := 0, 0.0, 0
	for _, e := range t.local {
		if e.usable(now, tried) {
			localCount++
			inUse += e.slotsInUse(now)
			slots += e.Slots
		}
	}
	if localCount > 0 && inUse <= zoneSpilloverThreshold*float64(slots) {
		return powerOfTwoChoices(t.local, nil, localCount, pick, now, tried)
	}
	remoteCount := 0
	for _, e := range t.remote {
		if e.usable(now, tried) {
			remoteCount++
		}
	}
	return powerOfTwoChoices(t.local, t.remote, localCount+remoteCount, pick, now, tried)
}

// powerOfTwoChoices selects two different endpoints out of the n usable ones and
// returns the one with the lower score.
func powerOfTwoChoices(local, remote []*Endpoint, n int, pick uint64, now time.Duration, tried []*Endpoint) *Endpoint {
	if n == 0 {
		return nil
	}
	first := int(pick % uint64(n))
	e1 := nthUsable(local, remote, first, now, tried)
	if n == 1 {
		return e1
	}
	second := int(splitmix64(pick) % uint64(n-1))
	if second >= first {
		second++
	}
	e2 := nthUsable(local, remote, second, now, tried)
	if e1 == nil || e2 != nil && e2.score(now) < e1.score(now) {
		return e2
	}
	return e1
}

func nthUsable(local, remote []*Endpoint, n int, now time.Duration, tried []*Endpoint) *Endpoint {
	for _, list := range [2][]*Endpoint{local, remote} {
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
	if e.Ejected(now) || e.leaving() {
		return false
	}
	for _, t := range tried {
		if t.stats == e.stats {
			return false
		}
	}
	return true
}

// splitmix64 is one step of the SplitMix64 generator. It spreads the entropy of a hash
// over all bits.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
