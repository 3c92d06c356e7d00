package sidecar

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/retry"
)

// hopHeader carries what nodes tell each other about a request and its answer,
// and hopPath is where requests between nodes go.
const (
	hopHeader = "Heathercroft-Hop"
	hopPath   = "/heathercroft/v1/forward"
)

// hop is what the node of a target must know of a request.
type hop struct {
	ID      string `json:"id"`
	URI     string `json:"uri"`
	Target  string `json:"target"`
	Service string `json:"service"`
	Route   string `json:"route"`
	Caller  string `json:"caller"`
	Rank    int    `json:"rank"`
	// Fingerprint identifies equal requests.
	Fingerprint uint64 `json:"fingerprint"`
	// Repeatable is set if the request may be sent again after a failure.
	Repeatable bool `json:"repeatable,omitempty"`
	// Repeat is set if the request may have run before, or belongs to one that may have.
	Repeat bool `json:"repeat,omitempty"`
	// TimeLeftMS is the time until the final answer, UsefulMS the time in which
	// the answer is of use, NeedMS the expected time at the target.
	TimeLeftMS float64 `json:"left_ms"`
	UsefulMS   float64 `json:"useful_ms"`
	NeedMS     float64 `json:"need_ms"`
}

// hopReply is what the node of a target says about an answer.
type hopReply struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// WaitMS is the wait that a request of this rank has to expect.
	WaitMS  float64 `json:"wait_ms,omitempty"`
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Pace    float64 `json:"pace"`
	MeanMS  float64 `json:"mean_ms"`
	LinkUse float64 `json:"link_use,omitempty"`
	Failing float64 `json:"failing,omitempty"`
	// TookMS is the time at the target.
	TookMS float64 `json:"took_ms,omitempty"`
}

// result is how one attempt ended.
type result struct {
	outcome retry.Outcome
	reply   *reply
	reason  string
	// wait is the expected wait where the attempt was refused.
	wait time.Duration
	// report is the load of the target, known if the node answered.
	report   balance.LoadReport
	reported bool
	took     time.Duration
	// silent is set if the node gave no sign of life where one was due.
	silent bool
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (h hop) rank() admission.Rank { return admission.Rank(h.Rank) }

// reasonNoAnswer is the reason of an attempt that ended with its time.
const reasonNoAnswer = "no-answer"

// outcomes that nodes tell each other.
const (
	hopAnswered   = "answered"
	hopRefused    = "refused"
	hopNotRun     = "target-refused"
	hopMayHaveRun = "may-have-run"
)

func (r result) hopReply() hopReply {
	h := hopReply{
		Reason: r.reason, WaitMS: milliseconds(r.wait), Running: r.report.Running, Waiting: r.report.Waiting,
		Pace: r.report.Slowdown, MeanMS: milliseconds(r.report.MeanServiceTime), LinkUse: r.report.LinkUtilization, Failing: r.report.FailureRate, TookMS: milliseconds(r.took),
	}
	switch {
	case r.outcome == retry.ResponseReceived:
		h.Outcome = hopAnswered
	case r.outcome == retry.RefusedByTarget:
		h.Outcome = hopNotRun
	case r.outcome.NotRun():
		h.Outcome = hopRefused
	default:
		h.Outcome = hopMayHaveRun
	}
	return h
}

func readHopReply(h http.Header) (result, error) {
	var in hopReply
	if err := json.Unmarshal([]byte(h.Get(hopHeader)), &in); err != nil {
		return result{}, errors.Wrap(err, "answer of a node")
	}
	r := result{
		reason: in.Reason, wait: fromMilliseconds(in.WaitMS), took: fromMilliseconds(in.TookMS), reported: true,
		report: balance.LoadReport{Running: in.Running, Waiting: in.Waiting, Slowdown: in.Pace, MeanServiceTime: fromMilliseconds(in.MeanMS), LinkUtilization: in.LinkUse, FailureRate: in.Failing},
	}
	switch in.Outcome {
	case hopAnswered:
		r.outcome = retry.ResponseReceived
	case hopNotRun:
		r.outcome = retry.RefusedByTarget
	case hopRefused:
		r.outcome = retry.RefusedByNode
	default:
		r.outcome = retry.MayHaveRun
	}
	return r, nil
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", hopHeader,
}

// forwardable returns a copy of the header without what concerns one connection.
func forwardable(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for name := range splitList(value) {
			out.Del(name)
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}
