package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/balance"
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

// serveInbound takes a request that another node sends to the local target.
func (n *Node) serveInbound(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == alivePath {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	var h hop
	if r.URL.Path != hopPath || json.Unmarshal([]byte(r.Header.Get(hopHeader)), &h) != nil {
		http.Error(w, "not a request between nodes", http.StatusBadRequest)
		return
	}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), fromMilliseconds(h.TimeLeftMS))
	defer cancel()
	body, problem := n.readBody(w, r, fromMilliseconds(h.TimeLeftMS))
	if problem != nil {
		n.logger.Info("body_unread", "request", h.ID, "route", h.Route, "error", problem.Error())
		n.answerHop(w, r, result{outcome: retry.RefusedByNode, reason: "body-unread"})
		return
	}
	n.link.received(body.length())
	e := &exchange{method: r.Method, host: r.Host, uri: h.URI, header: forwardable(r.Header), body: body, repeatable: h.Repeatable}
	res := n.runLocal(ctx, h, e)
	if r.Context().Err() != nil {
		return
	}
	n.answerHop(w, r, res)
}

// answerHop tells the node of the caller how the request ended here.
func (n *Node) answerHop(w http.ResponseWriter, r *http.Request, res result) {
	text, err := json.Marshal(res.hopReply())
	if err != nil {
		panic("a reply between nodes is always encodable: " + err.Error())
	}
	w.Header().Set(hopHeader, string(text))
	if res.reply == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n.writeReply(w, r.Method, res.reply)
}

// runLocal runs a request at the target beside this node if it may.
func (n *Node) runLocal(ctx context.Context, h hop, e *exchange) result {
	res := n.tryLocal(ctx, h, e)
	running, waiting, pace := n.gate.load()
	res.reported = true
	res.report = balance.LoadReport{Running: running, Waiting: waiting, Slowdown: pace, MeanServiceTime: n.gate.mean(), LinkUtilization: n.link.use(), FailureRate: n.failing()}
	return res
}

func (n *Node) tryLocal(ctx context.Context, h hop, e *exchange) result {
	if reason := n.mayRun(h); reason != "" {
		return result{outcome: retry.RefusedByNode, reason: reason}
	}
	now := n.clock.now()
	left := fromMilliseconds(h.TimeLeftMS)
	release, waited, no := n.gate.enter(ctx, admission.Request{
		Rank: h.rank(), ExpectedServiceTime: fromMilliseconds(h.NeedMS), FinishBy: now + fromMilliseconds(h.UsefulMS),
	})
	n.metrics.queueWait.observe(waited)
	if no != nil {
		return result{outcome: retry.RefusedByNode, reason: no.reason, wait: no.wait}
	}
	// The target may have left during the wait.
	if reason := n.mayRun(h); reason != "" {
		release(false)
		return result{outcome: retry.RefusedByNode, reason: reason}
	}
	left -= waited
	e.header.Set(n.headers.TimeLeft, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	e.header.Set(n.headers.Target, h.Target)
	e.header.Set(n.headers.CallerService, h.Caller)
	n.running.byID.Store(h.ID, h)
	defer n.running.byID.Delete(h.ID)
	started := n.clock.now()
	reply, outcome, err := n.target.do(ctx, e)
	took := n.clock.now() - started
	release(outcome == retry.ResponseReceived)
	res := result{outcome: outcome, reply: reply, took: took}
	n.noteLocal(h, &res, err)
	return res
}

// mayRun returns why a request must not go to the local target, or nothing.
func (n *Node) mayRun(h hop) string {
	t := n.view.Load().Target
	switch {
	case t == nil:
		return "no-target"
	case t.ID != h.Target || t.Service != h.Service:
		return "other-target"
	case !t.Serving:
		return "target-leaves"
	default:
		return ""
	}
}

// failing returns the share of failures of the local target.
func (n *Node) failing() float64 {
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	return n.health.FailureRate(n.clock.now())
}

func (n *Node) noteHealth(failed bool) {
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	n.health.Record(failed, n.clock.now())
}

// noteLocal books the end of an exchange with the local target.
func (n *Node) noteLocal(h hop, res *result, err error) {
	t := n.view.Load().Target
	cold := t != nil && t.ColdUntilUnixMS > time.Now().UnixMilli()
	switch res.outcome {
	case retry.ResponseReceived:
		failed := res.reply.status >= http.StatusInternalServerError
		n.step(control.TargetResponded{Route: h.Route, Failed: failed, Cold: cold, Latency: res.took})
		n.metrics.targetTime.observe(res.took)
		n.noteHealth(failed)
		return
	case retry.RefusedByTarget:
		res.reason = "target-refused"
		n.noteHealth(true)
		if res.reply.status == http.StatusMisdirectedRequest {
			res.reason = "other-target"
		}
		res.reply = nil
		return
	case retry.ConnectionRefused, retry.ResetBeforeWrite:
		res.reason = "target-unreachable"
		n.targetRefused(err)
	case retry.TimedOut:
		res.reason = reasonNoAnswer
	default:
		res.reason = "answer-lost"
		n.noteHealth(true)
		n.answerLost(h.Fingerprint)
		res.reply = nil
		n.step(control.TargetResponded{Route: h.Route, Failed: true, Cold: cold, Latency: res.took})
	}
	text := ""
	if err != nil {
		text = err.Error()
	}
	n.logger.Info("target_failed", "request", h.ID, "route", h.Route, "target", h.Target, "outcome", res.outcome.String(),
		"reason", res.reason, "error", text, "took_ms", res.took.Milliseconds())
}
