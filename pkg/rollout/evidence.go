package rollout

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Key identifies one series of counts.
type Key struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Route   string `json:"route"`
	// Zone is the zone of the target that served the calls.
	Zone mesh.AvailabilityZone `json:"zone"`
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Route, b.Route), cmp.Compare(a.Zone, b.Zone))
}

// Counts holds the calls that a node observed for one key.
type Counts struct {
	// Calls includes the failed ones.
	Calls uint64 `json:"calls"`
	// Failures counts the calls that the target failed. Refusals marked not-run and
	// calls cancelled by the caller are in neither count.
	Failures uint64 `json:"failures"`
	// Latency holds the calls that did not fail.
	Latency Histogram `json:"latency"`
}

// AddCall counts one call. The latency of a failed call is not counted, since failures
// are often fast.
func (c *Counts) AddCall(failed bool, latency time.Duration) {
	c.Calls++
	if failed {
		c.Failures++
		return
	}
	c.Latency.Add(latency)
}

// Merge adds the counts of other.
func (c *Counts) Merge(other Counts) {
	c.Calls += other.Calls
	c.Failures += other.Failures
	c.Latency.merge(&other.Latency)
}

// Evidence holds counts by key. Its JSON form is a list sorted by key.
type Evidence map[Key]Counts

// AddCall counts one call of a key.
func (e Evidence) AddCall(k Key, failed bool, latency time.Duration) {
	c := e[k]
	c.AddCall(failed, latency)
	e[k] = c
}

// AddUntimedCall counts a call that did not fail and whose latency is left out, because
// it includes opening a connection.
func (e Evidence) AddUntimedCall(k Key) {
	c := e[k]
	c.Calls++
	e[k] = c
}

// Merge adds all counts of other.
func (e Evidence) Merge(other Evidence) {
	for k, c := range other {
		sum := e[k]
		sum.Merge(c)
		e[k] = sum
	}
}

// Subtract returns the counts added after earlier, where both are running totals of the
// same source. It returns false if a count went down, which means that the source was
// restarted.
func (e Evidence) Subtract(earlier Evidence) (Evidence, bool) {
	diff := Evidence{}
	for k := range earlier {
		if _, ok := e[k]; !ok {
			return nil, false
		}
	}
	for k, c := range e {
		old := earlier[k]
		if old.Calls > c.Calls || old.Failures > c.Failures || !c.Latency.subtract(&old.Latency) {
			return nil, false
		}
		c.Calls -= old.Calls
		c.Failures -= old.Failures
		if c.Calls > 0 {
			diff[k] = c
		}
	}
	return diff, true
}

type sample struct {
	Key
	Counts
}

// MarshalJSON implements json.Marshaler.
func (e Evidence) MarshalJSON() ([]byte, error) {
	list := make([]sample, 0, len(e))
	for k, c := range e {
		list = append(list, sample{k, c})
	}
	slices.SortFunc(list, func(a, b sample) int { return compareKeys(a.Key, b.Key) })
	return json.Marshal(list)
}

// UnmarshalJSON implements json.Unmarshaler. Errors are marked with
// ErrMalformedEvidence.
func (e *Evidence) UnmarshalJSON(data []byte) error {
	var list []sample
	if err := json.Unmarshal(data, &list); err != nil {
		return errors.Wrapf(ErrMalformedEvidence, "%v", err)
	}
	*e = make(Evidence, len(list))
	for _, s := range list {
		if s.Failures > s.Calls {
			return errors.Wrapf(ErrMalformedEvidence, "%d failures of %d calls", s.Failures, s.Calls)
		}
		if _, ok := (*e)[s.Key]; ok {
			return errors.Wrapf(ErrMalformedEvidence, "key %v is repeated", s.Key)
		}
		(*e)[s.Key] = s.Counts
	}
	return nil
}
