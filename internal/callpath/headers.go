// Package callpath carries calls over HTTP: from the caller to the node that
// chooses (node A), to the node beside the chosen target (node B), to the target.
//
// Bodies are streamed in both directions. A response that ends early aborts the
// caller's connection or stream, so it never looks complete.
package callpath

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of calls. Those that only nodes may set are removed from what callers
// and targets send.
const (
	// HeaderDeadline is the time left for the call in milliseconds.
	HeaderDeadline = "Heathercroft-Deadline-Ms"
	// HeaderDepth is how deeply the call is nested, from 1.
	HeaderDepth = "Heathercroft-Depth"
	// HeaderAttempt is how many retries precede this attempt, over all levels of nesting.
	HeaderAttempt = "Heathercroft-Attempt"
	// HeaderRequestID identifies the call in logs and decides the version.
	HeaderRequestID = "X-Request-Id"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderOutcome is OutcomeNotRun or OutcomeMayHaveRun.
	HeaderOutcome = "Heathercroft-Outcome"
	// HeaderReason is the Code of a refusal by a node.
	HeaderReason = "Heathercroft-Reason"
	// HeaderReplayed is "true" on a stored answer.
	HeaderReplayed = "Heathercroft-Replayed"
	// HeaderLoad is in-flight/slots of the target, set by its node.
	HeaderLoad = "Heathercroft-Load"
	// HeaderTargetTime is the time the target took, set by its node for the
	// comparison of versions: microseconds/state of the connection and target.
	HeaderTargetTime = "Heathercroft-Target-Time"
	// HeaderHop is HopOwner or HopTarget on requests between nodes.
	HeaderHop = "Heathercroft-Hop"
	// HeaderTarget is service/version that the sending node expects at the target.
	HeaderTarget = "Heathercroft-Target"
	// HeaderFence is slot/epoch of a keyed request between nodes.
	HeaderFence = "Heathercroft-Key-Fence"
	// HeaderBody is "none" on a request between nodes that has no body.
	HeaderBody = "Heathercroft-Body"
	// HeaderExpect says who asked for a 100 response: the caller or the sending node.
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

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// nodeOnly are the headers that a target must not be able to set towards a caller.
var nodeOnly = []string{HeaderReason, HeaderReplayed, HeaderLoad, HeaderTargetTime, HeaderHop, HeaderTarget, HeaderFence, HeaderExpect, HeaderBody}

// removeHopByHop removes the headers of one connection, and those that its
// Connection header names.
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
