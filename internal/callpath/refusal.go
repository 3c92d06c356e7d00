package callpath

import (
	"encoding/json"
	"net/http"
	"strconv"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Outcome tells whether a refused request may have run.
type Outcome string

// The outcomes of a refused request.
const (
	// OutcomeNotRun: no target ran the request or will run it.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeMayHaveRun: a target may have run the request or may still run it.
	OutcomeMayHaveRun Outcome = "may-have-run"
)

// Code is the reason for a refusal.
type Code string

// The reasons for refusals, with their HTTP status.
const (
	CodeNotReady          Code = "not-ready"           // 503: the node has no confirmed configuration
	CodeDraining          Code = "draining"            // 503: the node or its target is stopping
	CodeNodeStopped       Code = "node-stopped"        // 504: the node ended before the request did
	CodeNoRoute           Code = "no-route"            // 404: no route has a prefix that matches the path
	CodeNoEndpoint        Code = "no-endpoint"         // 503: no usable endpoint
	CodeNoTarget          Code = "no-target"           // 503: the node has no target of that service and version
	CodeQueueFull         Code = "queue-full"          // 503: all slots and places in the queue are taken
	CodeTargetLimit       Code = "target-limit"        // 503: the rate limit of the target is used up
	CodeQueueTimeout      Code = "queue-timeout"       // 503: no slot within the queue limit
	CodeUnreachable       Code = "unreachable"         // 503: no connection to a node or target
	CodeTargetRefused     Code = "target-refused"      // 503: the target reported not-run
	CodeConnectionLost    Code = "connection-lost"     // 502: the connection was lost after bytes were sent
	CodeBadResponse       Code = "bad-answer"          // 502: the response is malformed or has no detectable end
	CodeUnresponsive      Code = "silent-connection"   // 504: the target made no progress
	CodeDeadline          Code = "deadline"            // 504: the deadline passed
	CodeBadRequest        Code = "bad-request"         // 400: a header of the request is malformed
	CodeHeaderTooLarge    Code = "header-too-large"    // 431
	CodeDepthLimit        Code = "depth-limit"         // 508: nested more than 24 levels deep
	CodeCrashing          Code = "crashing-request"    // 503: the request crashed targets
	CodeFenced            Code = "fenced"              // 503: the key's owner has been replaced
	CodeViewUnconfirmed   Code = "view-unconfirmed"    // 503: the node cannot tell who owns the key
	CodeNoOwner           Code = "no-owner"            // 503: no node currently owns the key
	CodeLeaseLapsed       Code = "lease-lapsed"        // 503: the owner could not renew its lease
	CodeKeyMemoryFull     Code = "key-memory-full"     // 503: the owner cannot remember more keys
	CodeKeyMismatch       Code = "key-mismatch"        // 422: the key was used for another request
	CodeKeyUnknownOutcome Code = "key-unknown-outcome" // 409: an earlier request with the key may have run
	CodeCanceled          Code = "canceled"            // 499: the caller disconnected
)

// statusCanceled is the status for a caller that disconnected; it appears only in
// logs.
const statusCanceled = 499

var statuses = map[Code]int{
	CodeNoRoute:           http.StatusNotFound,
	CodeConnectionLost:    http.StatusBadGateway,
	CodeBadResponse:       http.StatusBadGateway,
	CodeUnresponsive:      http.StatusGatewayTimeout,
	CodeDeadline:          http.StatusGatewayTimeout,
	CodeNodeStopped:       http.StatusGatewayTimeout,
	CodeBadRequest:        http.StatusBadRequest,
	CodeHeaderTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	CodeDepthLimit:        http.StatusLoopDetected,
	CodeKeyMismatch:       http.StatusUnprocessableEntity,
	CodeKeyUnknownOutcome: http.StatusConflict,
	CodeCanceled:          statusCanceled,
}

// Status returns the HTTP status of the code, 503 by default.
func (c Code) Status() int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// Refusal is a response by a node instead of a target.
type Refusal struct {
	Code     Code            `json:"code"`
	Message  string          `json:"message"`
	Outcome  Outcome         `json:"outcome"`
	Node     mesh.NodeID     `json:"node"`
	Revision record.Revision `json:"revision"`
}

// NotRun returns a refusal that states that the request did not run.
func NotRun(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Outcome: OutcomeNotRun}
}

// MayHaveRun returns a refusal that states that the request may have run.
func MayHaveRun(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Outcome: OutcomeMayHaveRun}
}

type refusalBody struct {
	Error *Refusal `json:"error"`
}

// write sends the refusal. It must be the first write to w.
func (r *Refusal) write(w http.ResponseWriter) {
	body, err := json.Marshal(refusalBody{r})
	if err != nil {
		panic("a refusal holds only strings and numbers: " + err.Error())
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, string(r.Code))
	w.WriteHeader(r.Code.Status())
	_, _ = w.Write(body)
}
