package crashes

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	// Threshold is the number of crashes in the mesh after which a request is refused. One crash
	// proves nothing, since other requests ran on the target too.
	Threshold = 2
	// flakyThreshold is the number of crashes after which a request is refused although it has
	// completed at times, if it crashed targets more than maxCrashRatio times as often.
	flakyThreshold = 4
	maxCrashRatio  = 2

	// SuspicionRetention is how long a crash counts after a caller last asked for the request.
	// A client may keep retrying such a request, and a crashed target is back after some seconds.
	SuspicionRetention = 60 * time.Second
	// RefusalRetention is how long a request stays refused after a caller last asked for it.
	RefusalRetention = 10 * time.Minute

	// refreshTime is the time after which the store learns that callers still ask for a request.
	refreshTime = SuspicionRetention / 2

	// MaxRequests and maxCrashes bound the requests and the crashes of each, and with them memory
	// and message size. Each crash adds the requests that ran beside the one that caused it, and
	// several requests may crash targets at the same time.
	MaxRequests = 512
	maxCrashes  = 8
	// maxEvidenceCrashes bounds the different crashes in a message.
	maxEvidenceCrashes = MaxRequests * maxCrashes
	// maxCompletions bounds the counted completions of a request.
	maxCompletions = 1 << 16
	// maxAge bounds the time since a caller asked for a request in a message.
	maxAge = 24 * time.Hour
)

// Crash is a crash of a target, known by the process of the node beside it and its number there.
type Crash struct {
	Node        mesh.NodeID `json:"node"`
	StartUnixMS int64       `json:"start"`
	Number      uint64      `json:"number"`
}

// Evidence is what a node knows of requests that were running at crashes, for other nodes and for the
// store.
type Evidence struct {
	// AtUnixMS is the Unix time in milliseconds at which the ages were taken, 0 if it was just now.
	AtUnixMS int64               `json:"at,omitempty"`
	Crashes  []Crash             `json:"crashes,omitempty"`
	Requests []EvidenceOfRequest `json:"requests,omitempty"`
}

// EvidenceOfRequest is the evidence of one request.
type EvidenceOfRequest struct {
	Identity uint64 `json:"id"`
	// In holds the crashes at which it was running, and Refuted those after which it has completed,
	// as indexes of Evidence.Crashes.
	In      []int `json:"in,omitempty"`
	Refuted []int `json:"refuted,omitempty"`
	// Completions counts how often a completion refuted crashes.
	Completions int `json:"completions,omitempty"`
	// AskedMS is the time in milliseconds since a caller asked for it.
	AskedMS int64 `json:"asked_ms"`
}

// Table holds the evidence that a node knows. It is not safe for concurrent use.
type Table struct {
	requests map[uint64]*request
}

type request struct {
	crashes     []requestCrash
	completions int
	askedAt     time.Duration
}

type requestCrash struct {
	Crash
	// refuted is set once the request has completed since: the crash had another cause.
	refuted bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{requests: map[uint64]*request{}} }

// unrefuted returns the number of crashes that the request may have caused.
func (r *request) unrefuted() int {
	count := 0
	for _, c := range r.crashes {
		if !c.refuted {
			count++
		}
	}
	return count
}

// flaky reports whether the request crashes targets much more often than it completes.
func (r *request) flaky() bool {
	return len(r.crashes) >= flakyThreshold && len(r.crashes) > maxCrashRatio*r.completions
}

func (r *request) refused() bool {
	count := r.unrefuted()
	return count >= Threshold || count > 0 && r.flaky()
}

func (r *request) retention() time.Duration {
	if r.refused() {
		return RefusalRetention
	}
	return SuspicionRetention
}

// add merges a crash, and reports whether that changes the request.
func (r *request) add(c requestCrash) bool {
	if i := slices.IndexFunc(r.crashes, func(o requestCrash) bool { return o.Crash == c.Crash }); i >= 0 {
		changed := c.refuted && !r.crashes[i].refuted
		r.crashes[i].refuted = r.crashes[i].refuted || c.refuted
		return changed
	}
	if len(r.crashes) >= maxCrashes {
		refuted := slices.IndexFunc(r.crashes, func(c requestCrash) bool { return c.refuted })
		if refuted < 0 || c.refuted {
			return false
		}
		r.crashes = slices.Delete(r.crashes, refuted, refuted+1)
	}
	r.crashes = append(r.crashes, c)
	return true
}

// of returns the request of an identity, a new one if it is not known.
func (t *Table) of(identity uint64) *request {
	r, ok := t.requests[identity]
	if !ok {
		if len(t.requests) >= MaxRequests {
			t.dropOne()
		}
		r = &request{}
		t.requests[identity] = r
	}
	return r
}

// dropOne drops the request with the least evidence, of equal ones the one that was asked for longest
// ago: a request that crashes targets comes again, most of those beside it do not.
func (t *Table) dropOne() {
	var drop uint64
	var least *request
	for identity, r := range t.requests {
		if least == nil || cmp.Or(cmp.Compare(r.unrefuted(), least.unrefuted()), cmp.Compare(r.askedAt, least.askedAt)) < 0 {
			drop, least = identity, r
		}
	}
	delete(t.requests, drop)
}

// Crashed records the requests that were running at a crash.
func (t *Table) Crashed(now time.Duration, crash Crash, identities []uint64) {
	for _, identity := range identities {
		r := t.of(identity)
		r.askedAt = now
		r.add(requestCrash{Crash: crash})
	}
}

// Completed refutes the crashes of a request that has completed: it does not crash the target that runs
// it. refused is set if it was refused until then, changed if there was something to refute.
func (t *Table) Completed(identity uint64) (refused, changed bool) {
	r, ok := t.requests[identity]
	if !ok || r.unrefuted() == 0 {
		return false, false
	}
	refused = r.refused()
	for i := range r.crashes {
		r.crashes[i].refuted = true
	}
	r.completions = min(r.completions+1, maxCompletions)
	return refused, true
}

// Asked records that a caller asks for a request.
func (t *Table) Asked(now time.Duration, identity uint64) {
	if r, ok := t.requests[identity]; ok {
		r.askedAt = now
	}
}

// Merge adds the evidence of another node or of the store, and reports whether that changes a request.
func (t *Table) Merge(now time.Duration, unixMS int64, e Evidence) (changed bool) {
	age := time.Duration(0)
	if e.AtUnixMS != 0 {
		// The clock may have been set back since.
		age = time.Duration(min(max(unixMS-e.AtUnixMS, 0), maxAge.Milliseconds())) * time.Millisecond
	}
	for _, in := range e.Requests {
		askedAt := now - age - time.Duration(in.AskedMS)*time.Millisecond
		known, ok := t.requests[in.Identity]
		if !ok {
			known = &request{askedAt: askedAt}
			for _, i := range in.In {
				known.add(requestCrash{e.Crashes[i], slices.Contains(in.Refuted, i)})
			}
			known.completions = in.Completions
			if now-askedAt > known.retention() || len(known.crashes) == 0 {
				continue
			}
			*t.of(in.Identity) = *known
			changed = true
			continue
		}
		known.askedAt = max(known.askedAt, askedAt)
		changed = in.Completions > known.completions || changed
		known.completions = max(known.completions, in.Completions)
		for _, i := range in.In {
			changed = known.add(requestCrash{e.Crashes[i], slices.Contains(in.Refuted, i)}) || changed
		}
	}
	return changed
}

// Expire drops the requests that nobody has asked for in the time for which they are kept.
func (t *Table) Expire(now time.Duration) {
	for identity, r := range t.requests {
		if now-r.askedAt > r.retention() {
			delete(t.requests, identity)
		}
	}
}

// Len returns the number of requests.
func (t *Table) Len() int { return len(t.requests) }

// Evidence returns the evidence of the crashes that include accepts.
func (t *Table) Evidence(now time.Duration, include func(Crash) bool) Evidence {
	var out Evidence
	index := map[Crash]int{}
	for _, identity := range slices.Sorted(maps.Keys(t.requests)) {
		r := t.requests[identity]
		e := EvidenceOfRequest{Identity: identity, Completions: r.completions, AskedMS: (now - r.askedAt).Milliseconds()}
		for _, c := range r.crashes {
			if !include(c.Crash) {
				continue
			}
			i, ok := index[c.Crash]
			if !ok {
				i = len(out.Crashes)
				index[c.Crash] = i
				out.Crashes = append(out.Crashes, c.Crash)
			}
			e.In = append(e.In, i)
			if c.refuted {
				e.Refuted = append(e.Refuted, i)
			}
		}
		if len(e.In) > 0 {
			out.Requests = append(out.Requests, e)
		}
	}
	return out
}

// Unrefuted reports whether there is a crash that a request may have caused.
func (e Evidence) Unrefuted() bool {
	return slices.ContainsFunc(e.Requests, func(r EvidenceOfRequest) bool { return len(r.In) > len(r.Refuted) })
}

// Since reports what the evidence says that an earlier one, in the store, does not: a crash, or only that
// a crash is refuted or that callers still ask for a request.
func (e Evidence) Since(stored Evidence) (crash, other bool) {
	known := make(map[uint64]EvidenceOfRequest, len(stored.Requests))
	for _, r := range stored.Requests {
		known[r.Identity] = r
	}
	for _, r := range e.Requests {
		before, ok := known[r.Identity]
		contains := func(all []int, i int) bool {
			return slices.ContainsFunc(all, func(j int) bool { return stored.Crashes[j] == e.Crashes[i] })
		}
		for _, i := range r.In {
			refuted := slices.Contains(r.Refuted, i)
			switch {
			case !ok || !contains(before.In, i):
				// A refuted one is of use only where another record says otherwise.
				crash, other = crash || !refuted, other || refuted
			case refuted && !contains(before.Refuted, i):
				other = true
			}
		}
		askedLater := (e.AtUnixMS - r.AskedMS) - (stored.AtUnixMS - before.AskedMS)
		other = other || ok && len(r.In) > len(r.Refuted) && askedLater > refreshTime.Milliseconds()
	}
	return crash, other
}

// Suspect is a request that may have crashed targets.
type Suspect struct {
	// Crashes is the number of crashes that it may have caused.
	Crashes int
	// Refused is set if it is refused, and Proven if no further run can show that it does no harm.
	Refused, Proven bool
}

// Suspects returns the requests that may have caused at least one crash, nil if there are none.
func (t *Table) Suspects() map[uint64]Suspect {
	var out map[uint64]Suspect
	for identity, r := range t.requests {
		count := r.unrefuted()
		if count == 0 {
			continue
		}
		if out == nil {
			out = map[uint64]Suspect{}
		}
		refused := r.refused()
		out[identity] = Suspect{Crashes: count, Refused: refused, Proven: refused && (count > Threshold || r.flaky())}
	}
	return out
}

// Validate reports what makes evidence such that no node sends it.
func (e Evidence) Validate() error {
	if len(e.Requests) > MaxRequests || len(e.Crashes) > maxEvidenceCrashes || e.AtUnixMS < 0 {
		return errors.Newf("%d requests at %d crashes", len(e.Requests), len(e.Crashes))
	}
	for _, c := range e.Crashes {
		if c.Node == "" || len(c.Node) > mesh.MaxNameBytes || c.StartUnixMS < 0 {
			return errors.New("a crash without its node")
		}
	}
	for _, r := range e.Requests {
		if len(r.In) > maxCrashes || len(r.Refuted) > len(r.In) || r.AskedMS < 0 || r.AskedMS > maxAge.Milliseconds() || r.Completions < 0 || r.Completions > maxCompletions {
			return errors.Newf("%d crashes, %d refuted, of a request that was asked for %d ms ago and completed %d times", len(r.In), len(r.Refuted), r.AskedMS, r.Completions)
		}
		for _, i := range slices.Concat(r.In, r.Refuted) {
			if i < 0 || i >= len(e.Crashes) {
				return errors.Newf("crash %d of %d", i, len(e.Crashes))
			}
		}
	}
	return nil
}
