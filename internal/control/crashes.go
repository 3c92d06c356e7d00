package control

import (
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/crashes"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	// maxTrialRank limits how long the trial of a refused request may be put off.
	maxTrialRank = 8
	// maxCrashRecords and maxRecordCrashes bound the records for nodes of earlier versions, which
	// refuse messages with more.
	maxCrashRecords  = 64
	maxRecordCrashes = 4
)

// CrashRecord is the evidence of one request as nodes of earlier versions send and understand it. They
// identify some requests differently: such records match none here, and none of theirs.
type CrashRecord struct {
	Identity uint64        `json:"request"`
	Crashes  []RecordCrash `json:"crashes"`
	// AskedMS is the time in milliseconds since a caller asked for the request.
	AskedMS int64 `json:"seen_ms"`
}

// RecordCrash is a crash in a CrashRecord.
type RecordCrash struct {
	crashes.Crash
	Refuted bool `json:"refuted,omitempty"`
}

// recordCrash records a crash of the local target for each request that ran on it.
func (c *Control) recordCrash(t Time, requests []uint64) {
	c.crashNumber++
	c.crashes.Crashed(t.Now, crashes.Crash{Node: c.self.Node, StartUnixMS: c.self.StartUnixMS, Number: c.crashNumber}, requests)
	c.log("target_crashed", "requests", len(requests), "suspects", c.crashes.Len())
	c.publishView(t)
	c.broadcast(t)
	c.nextAnnounce = 0
	c.writeAnnouncement(t)
}

// refutationDelay is the time after a write of the evidence until the store learns that crashes were
// refuted, or that callers still ask for a request. Most requests that ran beside the one that crashed a
// target complete soon after.
const refutationDelay = 5 * time.Second

// crashWriteDue reports whether the store has to learn of the evidence of the crashes at the local
// target. What only the processes know ends with them.
func (c *Control) crashWriteDue(t Time, own crashes.Evidence) bool {
	crash, other := own.Since(c.announced.Crashes)
	return crash || other && t.Now-c.crashesWrittenAt >= refutationDelay
}

// withCrashes returns the record of a node in the store: its announcement and the evidence of the
// crashes of its target, also those that its former processes saw.
func (c *Control) withCrashes(t Time, a directory.Announcement) directory.Announcement {
	a.Crashes = c.crashes.Evidence(t.Now, func(crash crashes.Crash) bool { return crash.Node == a.Node })
	if len(a.Crashes.Requests) > 0 {
		a.Crashes.AtUnixMS = t.UnixMS
	}
	return a
}

// takeCrashes merges the evidence in the record of a node, and returns the announcement without it.
func (c *Control) takeCrashes(t Time, a directory.Announcement) directory.Announcement {
	evidence := a.Crashes
	a.Crashes = crashes.Evidence{}
	if err := evidence.Validate(); err != nil {
		c.log("crash_evidence_refused", "peer", string(a.Node), "error", err.Error())
		evidence = crashes.Evidence{}
	}
	if a.Node == c.self.Node {
		c.ownCrashesRead = evidence
	}
	if c.crashes.Merge(t.Now, t.UnixMS, evidence) {
		c.log("crash_evidence_adopted", "peer", string(a.Node), "requests", len(evidence.Requests), "suspects", c.crashes.Len())
		c.publishView(t)
	}
	c.trackStopped(a, evidence)
	return a
}

// recordCompletion refutes the crashes of a request that has completed.
func (c *Control) recordCompletion(t Time, identity uint64) {
	refused, changed := c.crashes.Completed(identity)
	if !changed {
		return
	}
	c.log("crashes_refuted", "request", identity, "was_refused", refused)
	c.publishView(t)
	if refused {
		c.broadcast(t)
	}
}

// adoptCrashes merges the evidence of another node, and reports whether that changes anything.
func (c *Control) adoptCrashes(t Time, s PeerState) bool {
	changed := c.crashes.Merge(t.Now, t.UnixMS, s.CrashEvidence)
	for _, r := range s.Crashes {
		changed = c.crashes.Merge(t.Now, t.UnixMS, r.evidence()) || changed
	}
	return changed
}

// crashEvidence returns the evidence for other nodes.
func (c *Control) crashEvidence(t Time) crashes.Evidence {
	return c.crashes.Evidence(t.Now, func(crashes.Crash) bool { return true })
}

// crashRecords returns the evidence of the refused requests for nodes of earlier versions.
func crashRecords(e crashes.Evidence) []CrashRecord {
	var out []CrashRecord
	for _, r := range e.Requests {
		if len(r.In)-len(r.Refuted) < crashes.Threshold || len(out) == maxCrashRecords {
			continue
		}
		record := CrashRecord{Identity: r.Identity, AskedMS: r.AskedMS}
		for _, i := range r.In {
			if len(record.Crashes) < maxRecordCrashes && !slices.Contains(r.Refuted, i) {
				record.Crashes = append(record.Crashes, RecordCrash{Crash: e.Crashes[i]})
			}
		}
		out = append(out, record)
	}
	return out
}

func (r CrashRecord) evidence() crashes.Evidence {
	e := crashes.Evidence{Requests: []crashes.EvidenceOfRequest{{Identity: r.Identity, AskedMS: r.AskedMS}}}
	for i, c := range r.Crashes {
		e.Crashes = append(e.Crashes, c.Crash)
		e.Requests[0].In = append(e.Requests[0].In, i)
		if c.Refuted {
			e.Requests[0].Refuted = append(e.Requests[0].Refuted, i)
		}
	}
	return e
}

// crashingRequests returns the requests that may have caused at least one crash, and the identities of
// those that are refused.
func (c *Control) crashingRequests(t Time) (suspects map[uint64]CrashSuspect, refused map[uint64]bool) {
	for identity, s := range c.crashes.Suspects() {
		if suspects == nil {
			suspects, refused = map[uint64]CrashSuspect{}, map[uint64]bool{}
		}
		suspect := CrashSuspect{Suspect: s}
		if s.Refused {
			refused[identity] = true
			suspect.TrialRank = c.trialRank(t, identity)
		}
		suspects[identity] = suspect
	}
	return suspects, refused
}

// CrashSuspect is a request that may have crashed targets.
type CrashSuspect struct {
	crashes.Suspect
	// TrialRank is the rank of this node among those that may try the request once more.
	TrialRank int
}

// MayBeTried reports whether one more run may show if the request crashes targets.
func (s CrashSuspect) MayBeTried() bool { return !s.Proven }

// trialRank returns the rank of this node for the trial of a request.
func (c *Control) trialRank(t Time, identity uint64) int {
	key := "crash/" + strconv.FormatUint(identity, 16)
	return slices.Index(mesh.RankNodes(key, c.alive(t)), c.self.Node) % maxTrialRank
}

// maxAskedMS bounds the time since a caller asked for a request in a record.
const maxAskedMS = int64(24 * time.Hour / time.Millisecond)

// validate reports what makes a record one that no node sends.
func (r CrashRecord) validate() error {
	if len(r.Crashes) > maxRecordCrashes || r.AskedMS < 0 || r.AskedMS > maxAskedMS {
		return errors.Newf("%d crashes of a request that was asked for %d ms ago", len(r.Crashes), r.AskedMS)
	}
	return r.evidence().Validate()
}
