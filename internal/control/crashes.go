package control

import (
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	// crashThreshold is the number of crashes in the mesh after which a request is refused.
	// One crash proves nothing, since other requests ran on the target too.
	crashThreshold = 2
	// crashRetention is how long a crash counts after a caller last asked for the request. A
	// client may keep retrying such a request, and a crashed target is back after some seconds.
	crashRetention = 60 * time.Second
	// maxCrashRecords and maxCrashes bound the tracked requests and the crashes of each, and with
	// them memory and message size.
	maxCrashRecords = 64
	maxCrashes      = 4
	// maxTrialRank limits how long the trial of a refused request may be put off.
	maxTrialRank = 8
)

// CrashRecord is what the nodes know of a request that was running when targets crashed. Each
// node holds the records of all, so that they outlive the process that saw the crash.
type CrashRecord struct {
	Fingerprint uint64  `json:"request"`
	Crashes     []Crash `json:"crashes"`
	// SeenMS is the time in milliseconds since a caller asked for the request.
	SeenMS int64 `json:"seen_ms"`
}

// Crash is a crash of a target, known by the process of the node beside it and its number there.
type Crash struct {
	Node        mesh.NodeID `json:"node"`
	StartUnixMS int64       `json:"start"`
	Number      uint64      `json:"number"`
	// Refuted is set once the request has completed since: the crash had another cause.
	Refuted bool `json:"refuted,omitempty"`
}

func (c Crash) same(o Crash) bool {
	return c.Node == o.Node && c.StartUnixMS == o.StartUnixMS && c.Number == o.Number
}

// crashRecord is a CrashRecord with the time on this node's clock when a caller last asked.
type crashRecord struct {
	crashes []Crash
	seenAt  time.Duration
}

// unrefuted returns the number of crashes that the request may have caused.
func (r *crashRecord) unrefuted() int {
	count := 0
	for _, c := range r.crashes {
		if !c.Refuted {
			count++
		}
	}
	return count
}

// add merges a crash, and reports whether that changes the record.
func (r *crashRecord) add(c Crash) bool {
	if i := slices.IndexFunc(r.crashes, c.same); i >= 0 {
		changed := c.Refuted && !r.crashes[i].Refuted
		r.crashes[i].Refuted = r.crashes[i].Refuted || c.Refuted
		return changed
	}
	if len(r.crashes) >= maxCrashes {
		refuted := slices.IndexFunc(r.crashes, func(c Crash) bool { return c.Refuted })
		if refuted < 0 || c.Refuted {
			return false
		}
		r.crashes = slices.Delete(r.crashes, refuted, refuted+1)
	}
	r.crashes = append(r.crashes, c)
	return true
}

// crashRecordOf returns the record of a request, a new one if there is none.
func (c *Control) crashRecordOf(fingerprint uint64) *crashRecord {
	r, ok := c.crashes[fingerprint]
	if !ok {
		if len(c.crashes) >= maxCrashRecords {
			c.dropCrashRecord()
		}
		r = &crashRecord{}
		c.crashes[fingerprint] = r
	}
	return r
}

// dropCrashRecord drops the record with the least evidence, of equal ones the one that was asked
// for longest ago.
func (c *Control) dropCrashRecord() {
	var drop uint64
	var least *crashRecord
	for f, r := range c.crashes {
		if least == nil || r.unrefuted() < least.unrefuted() || r.unrefuted() == least.unrefuted() && r.seenAt < least.seenAt {
			drop, least = f, r
		}
	}
	delete(c.crashes, drop)
}

// recordCrash records a crash of the local target for each request that ran on it.
func (c *Control) recordCrash(t Time, requests []uint64) {
	c.crashNumber++
	for _, f := range requests {
		r := c.crashRecordOf(f)
		r.add(Crash{Node: c.self.Node, StartUnixMS: c.self.StartUnixMS, Number: c.crashNumber})
		r.seenAt = t.Now
	}
	c.log("target_crashed", "requests", len(requests))
	c.publishView(t)
	c.broadcast(t)
}

// recordCompletion refutes the crashes of a request that has completed: it does not crash the
// target that runs it.
func (c *Control) recordCompletion(t Time, fingerprint uint64) {
	r, ok := c.crashes[fingerprint]
	if !ok || r.unrefuted() == 0 {
		return
	}
	refused := r.unrefuted() >= crashThreshold
	for i := range r.crashes {
		r.crashes[i].Refuted = true
	}
	c.log("crashes_refuted", "request", fingerprint, "was_refused", refused)
	c.publishView(t)
	if refused {
		c.broadcast(t)
	}
}

// recordSeen records that a caller asks for a request with a record.
func (c *Control) recordSeen(t Time, fingerprint uint64) {
	if r, ok := c.crashes[fingerprint]; ok {
		r.seenAt = t.Now
	}
}

// adoptCrashes merges the records of another node, and reports whether that changes one.
func (c *Control) adoptCrashes(t Time, records []CrashRecord) bool {
	changed := false
	for _, in := range records {
		seenAt := t.Now - time.Duration(in.SeenMS)*time.Millisecond
		if t.Now-seenAt > crashRetention {
			continue
		}
		r := c.crashRecordOf(in.Fingerprint)
		r.seenAt = max(r.seenAt, seenAt)
		for _, crash := range in.Crashes {
			changed = r.add(crash) || changed
		}
	}
	return changed
}

func (c *Control) expireCrashes(t Time) {
	for f, r := range c.crashes {
		if t.Now-r.seenAt > crashRetention {
			delete(c.crashes, f)
		}
	}
}

// crashRecords returns the records for other nodes.
func (c *Control) crashRecords(t Time) []CrashRecord {
	out := make([]CrashRecord, 0, len(c.crashes))
	for f, r := range c.crashes {
		out = append(out, CrashRecord{Fingerprint: f, Crashes: slices.Clone(r.crashes), SeenMS: (t.Now - r.seenAt).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b CrashRecord) int {
		switch {
		case a.Fingerprint < b.Fingerprint:
			return -1
		case a.Fingerprint > b.Fingerprint:
			return 1
		default:
			return 0
		}
	})
	return out
}

// crashingRequests returns the requests that may have caused at least one crash, and the
// fingerprints of those that are refused.
func (c *Control) crashingRequests(t Time) (suspects map[uint64]CrashSuspect, refused map[uint64]bool) {
	for f, r := range c.crashes {
		count := r.unrefuted()
		if count == 0 {
			continue
		}
		if suspects == nil {
			suspects, refused = map[uint64]CrashSuspect{}, map[uint64]bool{}
		}
		s := CrashSuspect{Crashes: count}
		if count >= crashThreshold {
			refused[f] = true
			s.TrialRank = c.trialRank(t, f)
		}
		suspects[f] = s
	}
	return suspects, refused
}

// CrashSuspect is a request that may have crashed targets.
type CrashSuspect struct {
	Crashes int
	// TrialRank is the rank of this node among those that may try the request once more.
	TrialRank int
}

// MayBeTried reports whether one more run may show if the request crashes targets. After a third
// crash nothing else explains them.
func (s CrashSuspect) MayBeTried() bool { return s.Crashes <= crashThreshold }

// trialRank returns the rank of this node for the trial of a request.
func (c *Control) trialRank(t Time, fingerprint uint64) int {
	key := "crash/" + strconv.FormatUint(fingerprint, 16)
	return slices.Index(mesh.RankNodes(key, c.alive(t)), c.self.Node) % maxTrialRank
}

// validate reports what makes a record one that no node sends.
func (r CrashRecord) validate() error {
	if len(r.Crashes) > maxCrashes || r.SeenMS < 0 || r.SeenMS > maxReportedSeenMS {
		return errors.Newf("%d crashes of a request that was seen %d ms ago", len(r.Crashes), r.SeenMS)
	}
	for _, c := range r.Crashes {
		if c.Node == "" || len(c.Node) > mesh.MaxNameBytes || c.StartUnixMS < 0 {
			return errors.New("a crash without its node")
		}
	}
	return nil
}
