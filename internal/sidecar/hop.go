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
type hopRequest struct {
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
	Retryable bool `json:"repeatable,omitempty"`
	// Repeat is set if the request may have run before, or belongs to one that may have.
	IsRetry bool `json:"repeat,omitempty"`
	// TimeLeftMS is the time until the final answer, UsefulMS the time in which
	// the answer is of use, NeedMS the expected time at the target.
	TimeLeftMS            float64 `json:"left_ms"`
	SoftTimeLeftMS        float64 `json:"useful_ms"`
	ExpectedServiceTimeMS float64 `json:"need_ms"`
}

// hopReply is what the node of a target says about an answer.
type hopReply struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// WaitMS is the wait that a request of this rank has to expect.
	ExpectedWaitMS    float64 `json:"wait_ms,omitempty"`
	Running           int     `json:"running"`
	Waiting           int     `json:"waiting"`
	Slowdown          float64 `json:"pace"`
	MeanServiceTimeMS float64 `json:"mean_ms"`
	LinkUtilization   float64 `json:"link_use,omitempty"`
	FailureRate       float64 `json:"failing,omitempty"`
	// TookMS is the time at the target.
	TargetTimeMS float64 `json:"took_ms,omitempty"`
}

// result is how one attempt ended.
type result struct {
	outcome  retry.Outcome
	response *response
	reason   string
	// wait is the expected wait where the attempt was refused.
	expectedWait time.Duration
	// report is the load of the target, known if the node answered.
	load       balance.LoadReport
	loadKnown  bool
	targetTime time.Duration
	// silent is set if the node gave no sign of life where one was due.
	unresponsive bool
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (h hopRequest) rank() admission.Rank { return admission.Rank(h.Rank) }

// reasonNoAnswer is the reason of an attempt that ended with its time.
const reasonNoResponse = "no-answer"

// outcomes that nodes tell each other.
const (
	hopResponded  = "answered"
	hopRefused    = "refused"
	hopNotRun     = "target-refused"
	hopMayHaveRun = "may-have-run"
)

func (r result) hopReply() hopReply {
	h := hopReply{
		Reason: r.reason, ExpectedWaitMS: milliseconds(r.expectedWait), Running: r.load.Running, Waiting: r.load.Waiting,
		Slowdown: r.load.Slowdown, MeanServiceTimeMS: milliseconds(r.load.MeanServiceTime), LinkUtilization: r.load.LinkUtilization, FailureRate: r.load.FailureRate, TargetTimeMS: milliseconds(r.targetTime),
	}
	switch {
	case r.outcome == retry.ResponseReceived:
		h.Outcome = hopResponded
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
		reason: in.Reason, expectedWait: fromMilliseconds(in.ExpectedWaitMS), targetTime: fromMilliseconds(in.TargetTimeMS), loadKnown: true,
		load: balance.LoadReport{Running: in.Running, Waiting: in.Waiting, Slowdown: in.Slowdown, MeanServiceTime: fromMilliseconds(in.MeanServiceTimeMS), LinkUtilization: in.LinkUtilization, FailureRate: in.FailureRate},
	}
	switch in.Outcome {
	case hopResponded:
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
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", hopHeader,
}

// forwardable returns a copy of the header without what concerns one connection.
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
