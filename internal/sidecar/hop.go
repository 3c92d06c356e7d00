package sidecar

import (
	"encoding/json"
	"math"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/published"
	"heathercroft.example/heathercroft/pkg/retry"
)

// hopHeader carries the metadata of a request or response between nodes, and hopPath is
// the path of requests between nodes. hopURIHeader carries the URI of a request if JSON, which
// is UTF-8, would change it.
const (
	hopHeader    = "Heathercroft-Hop"
	hopURIHeader = "Heathercroft-Hop-Uri"
	hopPath      = "/heathercroft/v1/forward"
)

// identityVersion is the version of the identity of requests.
const identityVersion = 1

// hopRequest is the metadata of a request for the node of the target.
type hopRequest struct {
	ID     string `json:"id"`
	URI    string `json:"uri"`
	Target string `json:"target"`
	// TargetStart is the start of the target's process as Unix time in milliseconds.
	TargetStart int64  `json:"target_start,omitempty"`
	Service     string `json:"service"`
	Route       string `json:"route"`
	Caller      string `json:"caller"`
	Rank        int    `json:"rank"`
	// Identity identifies equal requests. IdentityVersion is identityVersion, 0 if a node of an earlier
	// version sent it, which identifies some requests differently.
	Identity        uint64 `json:"fingerprint"`
	IdentityVersion int    `json:"fingerprint_version,omitempty"`
	// CrashTrial is set if the request is refused and this run shows whether it crashes targets.
	CrashTrial bool `json:"crash_trial,omitempty"`
	// Retryable is set if the request may be sent again after a failure.
	Retryable bool `json:"repeatable,omitempty"`
	// IsRetry is set if the request may have run before, or is made on behalf of one that
	// may have.
	IsRetry bool `json:"repeat,omitempty"`
	// Nested is set for nested calls. A copy of one has not their rank.
	Nested bool `json:"nested,omitempty"`
	// Organisation is the name of the organisation of the request, "" if it has none.
	Organisation string `json:"organisation,omitempty"`
	// KeyHash is the hash of the key of the request, ConfigVersion the version of the
	// configuration by which the sending node judged it. A node that knows a later version
	// judges again.
	KeyHash       published.KeyHash `json:"key_hash,omitempty"`
	ConfigVersion published.Version `json:"config,omitempty"`
	// KnownLimit is the limit in requests per second that the target named in its last
	// response through the sending node.
	KnownLimit *float64 `json:"known_limit,omitempty"`
	// TimeLeftMS is the time left until the deadline, SoftTimeLeftMS the time left until the
	// soft deadline, and ExpectedServiceTimeMS the expected time at the target.
	TimeLeftMS            float64 `json:"left_ms"`
	SoftTimeLeftMS        float64 `json:"useful_ms"`
	ExpectedServiceTimeMS float64 `json:"need_ms"`
}

// write sets the headers of a request between nodes.
func (h hopRequest) write(header http.Header) {
	header.Del(hopURIHeader)
	if !utf8.ValidString(h.URI) {
		header.Set(hopURIHeader, h.URI)
		h.URI = ""
	}
	h.TimeLeftMS, h.SoftTimeLeftMS, h.ExpectedServiceTimeMS = rounded(h.TimeLeftMS, 10), rounded(h.SoftTimeLeftMS, 10), rounded(h.ExpectedServiceTimeMS, 10)
	var text strings.Builder
	e := json.NewEncoder(&text)
	// The escapes for HTML would take six bytes for each "&" of a query.
	e.SetEscapeHTML(false)
	if err := e.Encode(h); err != nil {
		panic("a request between nodes is always encodable: " + err.Error())
	}
	header.Set(hopHeader, strings.TrimSuffix(text.String(), "\n"))
}

// readHopRequest returns the metadata of a request between nodes.
func readHopRequest(header http.Header) (hopRequest, error) {
	var h hopRequest
	if err := json.Unmarshal([]byte(header.Get(hopHeader)), &h); err != nil {
		return h, errors.Wrap(err, "decode request of node")
	}
	if uri := header.Get(hopURIHeader); uri != "" {
		h.URI = uri
	}
	return h, nil
}

// hopReply is the metadata of a response from the node of the target.
type hopReply struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// ExpectedWaitMS is the queueing time that a request of this rank has to expect.
	ExpectedWaitMS    float64 `json:"wait_ms,omitempty"`
	Running           int     `json:"running"`
	Waiting           int     `json:"waiting"`
	Slowdown          float64 `json:"pace"`
	MeanServiceTimeMS float64 `json:"mean_ms"`
	LinkUtilization   float64 `json:"link_use,omitempty"`
	FailureRate       float64 `json:"failing,omitempty"`
	// TargetTimeMS is the time at the target.
	TargetTimeMS float64 `json:"took_ms,omitempty"`
	// CallFailed is set if the target failed the request after one of its own calls failed.
	CallFailed bool `json:"call_failed,omitempty"`
	// Limit is the rate limit that the node applies to the target.
	Limit *hopLimit `json:"limit,omitempty"`
	// Signals are those in the response of the target, also if it refused the request, nil
	// if there was no response of this target.
	Signals *directory.Signals `json:"signals,omitempty"`
	// Process is the process of the target that responded.
	Process directory.Process `json:"process,omitzero"`
	// DisturbancePercent is how long work took on the machine of the target, in percent of the
	// usual time, and DisturbanceAgeMS the age of that. They are omitted if it is usual.
	DisturbancePercent int `json:"disturbed,omitempty"`
	DisturbanceAgeMS   int `json:"disturbed_age_ms,omitempty"`
	// Room is how many requests may be at the target while it sheds load, 0 for its slots.
	Room int `json:"room,omitempty"`
}

// hopLimit is the state of a rate limit.
type hopLimit struct {
	PerSecond float64 `json:"per_s"`
	// Available is the number of requests that may be sent now.
	Available float64 `json:"available"`
	// Burst is the number of requests that the limit allows at once, 0 for those of a second.
	Burst float64 `json:"burst,omitempty"`
}

// result is the result of one attempt.
type result struct {
	outcome  retry.Outcome
	response *response
	reason   string
	// expectedWait is the expected queueing time if the attempt was refused.
	expectedWait time.Duration
	// load is the load of the target, known if its node responded.
	load       balance.LoadReport
	loadKnown  bool
	targetTime time.Duration
	// signals are those in the response of the target, nil if there was none.
	signals *directory.Signals
	// process is the process of the target that responded.
	process directory.Process
	// callFailed is set if the target failed the request after a call that it made for it
	// failed.
	callFailed bool
	// unresponsive is set if the node did not respond in time to a connection attempt or a
	// probe.
	unresponsive bool
}

// succeeded reports whether the target responded without a server error.
func (r result) succeeded() bool {
	return r.outcome == retry.ResponseReceived && r.response.status < http.StatusInternalServerError
}

// rounded returns a number in units of 1/parts. Each hop carries several estimates; their further
// digits would be a third of its bytes.
func rounded(v, parts float64) float64 { return math.Round(v*parts) / parts }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// process returns the process of the target to which the request is sent.
func (h hopRequest) process() directory.Process {
	return directory.Process{ID: h.Target, StartUnixMS: h.TargetStart}
}

func (h hopRequest) rank() admission.Rank { return admission.Rank(h.Rank) }

// nested reports whether the request is a nested call.
func (h hopRequest) nested() bool { return h.Nested || h.rank() == admission.NestedRank }

const (
	// reasonNoResponse is the reason of an attempt that timed out.
	reasonNoResponse = "no-answer"
	// reasonMemory is the reason of a refusal by a node that holds too many bytes of other
	// requests and responses.
	reasonMemory = "memory"
	// reasonCrashing is the reason of a refusal of a request that crashes targets.
	reasonCrashing = "crashing-request"
	// reasonZoneEvacuated is the reason of a refusal by a node beside a target in a zone that
	// the operator has evacuated.
	reasonZoneEvacuated = "zone-evacuated"
	// reasonVersionStopped is the reason of a refusal by a node beside a target of a version that is
	// suspected or was reverted.
	reasonVersionStopped = "version-stopped"
	// reasonStopping is the reason of a refusal by a node that stops.
	reasonStopping = "node-stops"
)

// Outcomes in a hopReply. In the two refusals, the request did not run.
const (
	hopResponded       = "answered"
	hopRefusedByNode   = "refused"
	hopRefusedByTarget = "target-refused"
	hopMayHaveRun      = "may-have-run"
)

func (r result) hopReply() hopReply {
	h := hopReply{
		Reason: r.reason, ExpectedWaitMS: rounded(milliseconds(r.expectedWait), 10), Running: r.load.Running, Waiting: r.load.Waiting,
		Slowdown: rounded(r.load.Slowdown, 100), MeanServiceTimeMS: rounded(milliseconds(r.load.MeanServiceTime), 10),
		LinkUtilization: rounded(r.load.LinkUtilization, 100), FailureRate: rounded(r.load.FailureRate, 100),
		TargetTimeMS: rounded(milliseconds(r.targetTime), 10), CallFailed: r.callFailed,
		Signals: r.signals, Process: r.process, Room: r.load.Room,
	}
	if r.load.Disturbance > 0 {
		h.DisturbancePercent, h.DisturbanceAgeMS = int(math.Round(100*r.load.Disturbance)), int(r.load.DisturbanceAge.Milliseconds())
	}
	if r.load.RateLimited {
		h.Limit = &hopLimit{PerSecond: r.load.RateLimit, Available: rounded(r.load.RateAvailable, 100), Burst: r.load.RateBurst}
	}
	switch {
	case r.outcome == retry.ResponseReceived:
		h.Outcome = hopResponded
	case r.outcome == retry.RefusedByTarget:
		h.Outcome = hopRefusedByTarget
	case r.outcome.NotRun():
		h.Outcome = hopRefusedByNode
	default:
		h.Outcome = hopMayHaveRun
	}
	return h
}

// withoutKnown omits signals that do not change what the sender of the request knows: the target
// names no limit, and the sender has named none that would end.
func (r result) withoutKnown(h hopRequest) result {
	if h.KnownLimit == nil && r.process == h.process() && r.signals != nil && *r.signals == (directory.Signals{}) {
		r.signals, r.process = nil, directory.Process{}
	}
	return r
}

func readHopReply(h http.Header) (result, error) {
	var in hopReply
	if err := json.Unmarshal([]byte(h.Get(hopHeader)), &in); err != nil {
		return result{}, errors.Wrap(err, "decode reply of node")
	}
	r := result{
		reason: in.Reason, expectedWait: fromMilliseconds(in.ExpectedWaitMS), targetTime: fromMilliseconds(in.TargetTimeMS), loadKnown: true, callFailed: in.CallFailed,
		signals: in.Signals, process: in.Process,
		load: balance.LoadReport{Running: in.Running, Waiting: in.Waiting, Room: in.Room, Slowdown: in.Slowdown, MeanServiceTime: fromMilliseconds(in.MeanServiceTimeMS), LinkUtilization: in.LinkUtilization, FailureRate: in.FailureRate},
	}
	if in.DisturbancePercent > 0 {
		r.load.Disturbance = float64(in.DisturbancePercent) / 100
		r.load.DisturbanceAge = time.Duration(max(in.DisturbanceAgeMS, 0)) * time.Millisecond
	}
	if in.Limit != nil {
		r.load.RateLimited, r.load.RateLimit, r.load.RateAvailable = true, in.Limit.PerSecond, in.Limit.Available
		r.load.RateBurst = in.Limit.Burst
	}
	switch in.Outcome {
	case hopResponded:
		r.outcome = retry.ResponseReceived
	case hopRefusedByTarget:
		r.outcome = retry.RefusedByTarget
	case hopRefusedByNode:
		r.outcome = retry.RefusedByNode
	default:
		r.outcome = retry.MayHaveRun
	}
	return r, nil
}

// hopByHopHeaders apply to one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", hopHeader, hopURIHeader,
}

// endToEndHeaders returns a copy of the header without the hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for name := range splitList(value) {
			out.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}
