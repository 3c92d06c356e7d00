// Package callpath forwards calls over HTTP: from the caller to the node that
// selects an endpoint (node A), to the node of the selected target (node B), to
// the target.
//
// Bodies are streamed in both directions. A response that ends early aborts the
// caller's connection or stream, so it never looks complete.
package callpath

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of calls. Those that only nodes may set are removed from requests of
// callers and responses of targets.
const (
	// HeaderDeadline is the time left for the call in milliseconds.
	HeaderDeadline = "Heathercroft-Deadline-Ms"
	// HeaderDepth is the nesting depth of the call, from 1.
	HeaderDepth = "Heathercroft-Depth"
	// HeaderAttempt is the number of retries before this attempt, over all levels of
	// nesting.
	HeaderAttempt = "Heathercroft-Attempt"
	// HeaderRequestID identifies the call in logs and determines the version.
	HeaderRequestID = "X-Request-Id"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderOutcome is OutcomeNotRun or OutcomeMayHaveRun.
	HeaderOutcome = "Heathercroft-Outcome"
	// HeaderReason is the Code of a refusal by a node.
	HeaderReason = "Heathercroft-Reason"
	// HeaderReplayed is "true" on a stored response.
	HeaderReplayed = "Heathercroft-Replayed"
	// HeaderLoad is in-flight/slots of the target, set by its node.
	HeaderLoad = "Heathercroft-Load"
	// HeaderRateLimit is the number of requests per second that a target takes from all
	// nodes together, in its responses. A response without it ends the limit.
	HeaderRateLimit = "Heathercroft-Rate-Limit"
	// HeaderLeaving is "1" in the responses of a target that is shutting down.
	HeaderLeaving = "Heathercroft-Leaving"
	// HeaderSignals carries both from the target's node to the sending node, as JSON.
	HeaderSignals = "Heathercroft-Target-Signals"
	// HeaderKnownLimit is the limit of the target that the sending node knows.
	HeaderKnownLimit = "Heathercroft-Known-Limit"
	// HeaderTargetTime is the response time of the target, set by its node for the
	// comparison of versions: microseconds, followed by the state of the connection
	// and the target.
	HeaderTargetTime = "Heathercroft-Target-Time"
	// HeaderHop is HopOwner or HopTarget on requests between nodes.
	HeaderHop = "Heathercroft-Hop"
	// HeaderTarget is the service/version that the sending node expects of the
	// target.
	HeaderTarget = "Heathercroft-Target"
	// HeaderFence is the fencing token of a keyed request between nodes, as
	// slot/epoch.
	HeaderFence = "Heathercroft-Key-Fence"
	// HeaderBody is "none" on a request between nodes that has no body.
	HeaderBody = "Heathercroft-Body"
	// HeaderExpect states who asked for a 100 Continue response: the caller or the
	// sending node.
	HeaderExpect = "Heathercroft-Expect"
)

// Values of HeaderHop.
const (
	HopOwner  = "owner"
	HopTarget = "target"
)

// Values of HeaderExpect.
const (
	expectCaller = "caller"
	expectNode   = "node"
)

// bodyNone is the value of HeaderBody.
const bodyNone = "none"

// hopByHop lists the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// nodeOnly lists the headers that only nodes may set; they are removed from
// requests of callers and responses of targets.
var nodeOnly = []string{HeaderReason, HeaderReplayed, HeaderLoad, HeaderSignals, HeaderKnownLimit, HeaderTargetTime, HeaderHop, HeaderTarget, HeaderFence, HeaderExpect, HeaderBody}

// removeHopByHop removes the hop-by-hop headers, including those listed in the
// Connection header.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

func removeAll(h http.Header, names []string) {
	for _, name := range names {
		delete(h, name)
	}
}

// headerSize is the size of a header in bytes as HTTP/1.1 writes it.
func headerSize(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}
