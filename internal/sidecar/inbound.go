package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/internal/httpresponse"
	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/retry"
)

func splitList(value string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(value, ",") {
			if !yield(strings.TrimSpace(part)) {
				return
			}
		}
	}
}

// serveInbound handles a request that another node sends to the local target.
func (n *Node) serveInbound(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == alivePath {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	h, err := readHopRequest(r.Header)
	if r.URL.Path != hopPath || err != nil {
		http.Error(w, "not a request between nodes", http.StatusBadRequest)
		return
	}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	arrived := n.clock.now()
	ctx, cancel := context.WithTimeout(r.Context(), fromMilliseconds(h.TimeLeftMS))
	defer cancel()
	lease := n.messages.Lease()
	defer lease.Release()
	body, err := n.readBody(w, r, fromMilliseconds(h.TimeLeftMS), lease)
	if err != nil {
		n.logger.Info("body_unread", "request", h.ID, "route", h.Route, "error", bodyErrorText(err))
		n.writeHopReply(w, r, result{outcome: retry.RefusedByNode, reason: "body-unread"})
		return
	}
	n.link.received(body.length())
	if n.mayOutlastStop(arrived + fromMilliseconds(h.TimeLeftMS)) {
		n.endBody(w, r, body)
		n.writeHopReply(w, r, result{outcome: retry.RefusedByNode, reason: reasonStopping})
		return
	}
	attemptBody, ok := body.open()
	if !ok {
		panic("a body that was not read can be opened")
	}
	if h.IdentityVersion != identityVersion {
		h.Identity = requestIdentity(r.Method, r.Host, h.URI, h.Caller, body)
	}
	request := &targetRequest{method: r.Method, host: r.Host, uri: h.URI, header: endToEndHeaders(r.Header), body: attemptBody, retryable: h.Retryable, lease: lease}
	res := n.runLocal(ctx, h, request)
	senderLeft := r.Context().Err() != nil
	n.endBody(w, r, body)
	if senderLeft {
		return
	}
	n.writeHopReply(w, r, res.withoutKnown(h))
}

// writeHopReply reports to the node of the caller how the request ended.
func (n *Node) writeHopReply(w http.ResponseWriter, r *http.Request, res result) {
	text, err := json.Marshal(res.hopReply())
	if err != nil {
		panic("a reply between nodes is always encodable: " + err.Error())
	}
	w.Header().Set(hopHeader, string(text))
	if res.response == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n.writeResponse(w, r.Method, res.response)
}

// runLocal runs a request at the local target if it is admitted, and adds the load of the
// target to the result.
func (n *Node) runLocal(ctx context.Context, h hopRequest, request *targetRequest) result {
	res := n.tryLocal(ctx, h, request)
	if res.outcome == retry.RefusedByNode {
		n.metrics.inboundRefused.Add(res.reason, 1)
	}
	res.loadKnown = true
	res.load = n.gate.load()
	res.load.LinkUtilization, res.load.FailureRate = n.link.utilization(), n.targetFailureRate()
	return res
}

func (n *Node) tryLocal(ctx context.Context, h hopRequest, request *targetRequest) result {
	if reason := n.refusalReason(n.view.Load(), h); reason != "" {
		return result{outcome: retry.RefusedByNode, reason: reason}
	}
	if !n.judgeAtTarget(&h) {
		return result{outcome: retry.RefusedByNode, reason: reasonKeyWithdrawn}
	}
	if n.view.Load().CrashingRequests[h.Identity] && !h.CrashTrial {
		// The node of the caller may have started since the crashes.
		return result{outcome: retry.RefusedByNode, reason: reasonCrashing}
	}
	if n.messages.Full(fullMemoryShare) {
		return result{outcome: retry.RefusedByNode, reason: reasonMemory}
	}
	if h.IsRetry && !n.hasRoomForCalls(h.Route) {
		return result{outcome: retry.RefusedByNode, reason: reasonRetryBudget}
	}
	if h.KnownLimit != nil {
		n.gate.adoptLimit(h.process(), *h.KnownLimit)
	}
	now := n.clock.now()
	left := fromMilliseconds(h.TimeLeftMS)
	ticket, waited, refused := n.gate.admit(ctx, admission.Request{
		Rank: h.rank(), Organisation: h.Organisation, ExpectedServiceTime: fromMilliseconds(h.ExpectedServiceTimeMS), FinishBy: now + fromMilliseconds(h.SoftTimeLeftMS),
	})
	n.metrics.queueWait.observe(waited)
	n.metrics.organisations.countAdmission(h.Organisation, waited, refused)
	if refused != nil {
		return result{outcome: retry.RefusedByNode, reason: refused.reason, expectedWait: refused.expectedWait}
	}
	// The target may have announced that it leaves during the wait, or the zone may be evacuated.
	view := n.view.Load()
	target := view.Target
	if reason := n.refusalReason(view, h); reason != "" {
		n.gate.release(ticket, noResponse)
		return result{outcome: retry.RefusedByNode, reason: reason}
	}
	if !n.judgeAtTarget(&h) {
		n.gate.release(ticket, noResponse)
		return result{outcome: retry.RefusedByNode, reason: reasonKeyWithdrawn}
	}
	release, ok := n.trials.take(view, n.clock.now())
	if !ok {
		n.gate.release(ticket, noResponse)
		return result{outcome: retry.RefusedByNode, reason: reasonTrialLimit}
	}
	left -= waited
	n.setOrganisation(request.header, h.Organisation)
	request.header.Set(n.headers.TimeLeft, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	request.header.Set(n.headers.Target, h.Target)
	request.header.Set(n.headers.CallerService, h.Caller)
	n.nestedCalls.countRun(h.Route)
	active := n.active.add(h)
	defer n.endActive(active)
	started := n.clock.now()
	n.sent.count(h.Target, started)
	n.metrics.sentToTarget.Add(1)
	n.metrics.organisations.count(h.Organisation, func(c *organisationCounts) { c.TargetRequests++ })
	response, outcome, err := n.target.do(ctx, request)
	if !reachedTarget(outcome) {
		release()
	}
	took := n.clock.now() - started
	ownResponse := response != nil && response.status != http.StatusMisdirectedRequest
	if ownResponse {
		// The queue judges the time of the request by the disturbance in its response.
		n.recordLoad(h.ID, target.Process(), response)
	}
	switch {
	case outcome == retry.ResponseReceived:
		n.gate.release(ticket, responded)
	case outcome == retry.RefusedByTarget && ownResponse:
		n.gate.release(ticket, shed)
	default:
		n.gate.release(ticket, noResponse)
	}
	n.logRoom(h)
	res := result{outcome: outcome, response: response, targetTime: took}
	if ownResponse {
		res.process = target.Process()
		res.signals = n.recordSignals(h.ID, res.process, response, started)
	}
	res.callFailed = outcome == retry.ResponseReceived && !res.succeeded() && active.failedByCall()
	n.recordLocalResult(h, &res, err)
	return res
}

// logRoom logs when the target begins to take fewer requests than it has slots, and when it takes
// as many again.
func (n *Node) logRoom(h hopRequest) {
	room, slots := n.gate.room()
	if short := room < slots; n.shortOfRoom.CompareAndSwap(!short, short) {
		n.logger.Info("target_room", "request", h.ID, "target", h.Target, "room", room, "slots", slots)
	}
}

// refusalReason returns why a request must not be sent to the local target, or "" if it may.
func (n *Node) refusalReason(v *control.View, h hopRequest) string {
	t := v.Target
	switch {
	case t == nil:
		return "no-target"
	case t.ID != h.Target || t.Service != h.Service:
		return "other-target"
	case v.IsEvacuated(n.settings.Zone):
		return reasonZoneEvacuated
	case !t.Serving:
		return "target-leaves"
	case v.TargetStopped:
		return reasonVersionStopped
	default:
		return ""
	}
}

// targetFailureRate returns the recent failure rate of the local target.
func (n *Node) targetFailureRate() float64 {
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	return n.health.FailureRate(n.clock.now())
}

func (n *Node) recordTargetHealth(failed bool) {
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	n.health.Record(failed, n.clock.now())
}

// recordLocalResult records the result of a request to the local target.
func (n *Node) recordLocalResult(h hopRequest, res *result, err error) {
	t := n.view.Load().Target
	cold := t != nil && t.ColdUntilUnixMS > time.Now().UnixMilli()
	switch res.outcome {
	case retry.ResponseReceived:
		if _, ok := n.view.Load().CrashSuspects[h.Identity]; ok {
			n.step(control.RequestCompleted{Identity: h.Identity})
		}
		failed := !res.succeeded()
		n.step(control.TargetResponded{Route: h.Route, Failed: failed, CallFailed: res.callFailed, Cold: cold, Latency: res.targetTime})
		n.metrics.targetTime.observe(res.targetTime)
		if !res.callFailed {
			n.recordTargetHealth(failed)
		}
		return
	case retry.RefusedByTarget:
		res.reason = "target-refused"
		n.recordTargetHealth(true)
		if res.response.status == http.StatusMisdirectedRequest {
			res.reason = "other-target"
			if t != nil && t.ID == h.Target {
				// Another target has this address. The one that was here is gone unless its
				// heartbeats go on.
				n.step(control.TargetUnreachable{})
			}
		}
		res.response = nil
		return
	case retry.ConnectionRefused, retry.ResetBeforeWrite:
		res.reason = "target-unreachable"
		n.handleTargetDialError(err)
	case retry.TimedOut:
		res.reason = reasonNoResponse
	default:
		res.reason = "answer-lost"
		if errors.Is(err, httpresponse.ErrMalformed) {
			res.reason = "answer-malformed"
		}
		n.recordTargetHealth(true)
		n.handleLostResponse(h.Identity)
		res.response = nil
		n.step(control.TargetResponded{Route: h.Route, Failed: true, Cold: cold, Latency: res.targetTime})
	}
	text := ""
	if err != nil {
		text = err.Error()
	}
	n.logger.Info("target_failed", "request", h.ID, "route", h.Route, "target", h.Target, "outcome", res.outcome.String(),
		"reason", res.reason, "error", text, "took_ms", res.targetTime.Milliseconds())
}
