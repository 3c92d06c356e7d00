package sidecar

import (
	"context"
	"net/http"
	"time"

	"heathercroft.example/heathercroft/internal/bounded"
	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/retry"
)

const (
	// assumedResponseBytes is the assumed size of headers and response of a route without
	// responses so far.
	assumedResponseBytes = 1500
	// responseHeaderBytes is the assumed size of the headers of a response.
	responseHeaderBytes = 500
)

// callAttempt is one attempt of a call.
type callAttempt struct {
	endpoint balance.Endpoint
	hop      hopRequest
	request  targetRequest
	began    time.Duration
	// isCopy is set if the attempt runs beside an earlier one.
	isCopy bool
}

// attempt sends the call to one target and records the result.
func (n *Node) attempt(ctx context.Context, c *call, e balance.Endpoint, body *attemptBody) result {
	defer body.end()
	a := n.beginAttempt(c, e, body, c.lease, false)
	res := n.runAttempt(ctx, &a)
	n.endAttempt(c, &a, res, ctx.Err() != nil)
	return res
}

// beginAttempt records that an attempt begins.
func (n *Node) beginAttempt(c *call, e balance.Endpoint, body *attemptBody, lease *bounded.Lease, isCopy bool) callAttempt {
	c.tried = append(c.tried, e.Node)
	if e.Zone != n.settings.Zone {
		n.metrics.leftZone.Add(string(n.settings.Zone)+">"+string(e.Zone), 1)
	}
	n.balanceMu.Lock()
	now := n.clock.now()
	n.balancer.Begin(e, c.expectedBytes)
	n.balancer.ExpectResponse(e, c.expectedServiceTime, now)
	n.balanceMu.Unlock()
	kind := c.attemptKind
	if isCopy {
		// A copy is not worth the wait of a request that has no other attempt.
		kind = admission.LateClientRetry
	}
	h := hopRequest{
		ID: c.id, URI: c.r.RequestURI, Target: e.Target, TargetStart: e.StartUnixMS, Service: e.Service, Route: c.route.Name, Caller: n.settings.Service,
		Rank:     int(admission.RankOf(c.nested && !isCopy, c.priority(), kind)),
		Identity: c.requestIdentity, IdentityVersion: identityVersion, CrashTrial: c.crashTrial,
		Retryable:  c.route.Kind.Repeatable(),
		IsRetry:    c.isRetry || c.targetsReached > 0 || isCopy,
		Nested:     c.nested,
		TimeLeftMS: milliseconds(max(c.deadline-now-forwardDeadlineMargin, 0)), SoftTimeLeftMS: milliseconds(c.softDeadline - now), ExpectedServiceTimeMS: milliseconds(c.expectedServiceTime),
	}
	n.identity(c, &h)
	if s := n.view.Load().Signals[h.process()]; s.Limited {
		h.KnownLimit = &s.RateLimit
	}
	request := targetRequest{method: c.r.Method, host: c.r.Host, uri: c.r.RequestURI, header: c.header.Clone(), body: body, retryable: c.route.Kind.Repeatable(), lease: lease}
	return callAttempt{endpoint: e, hop: h, request: request, began: now, isCopy: isCopy}
}

// runAttempt sends an attempt to its target. It does not use the call, which another attempt may
// have completed.
func (n *Node) runAttempt(ctx context.Context, a *callAttempt) result {
	if a.endpoint.Node == n.settings.Node {
		return n.runLocal(ctx, a.hop, &a.request)
	}
	res := n.forward(ctx, a.hop, &a.request, a.endpoint)
	n.stepSignals(res.process, res.signals)
	return res
}

// endAttempt records the result of an attempt.
func (n *Node) endAttempt(c *call, a *callAttempt, res result, callEnded bool) {
	n.recordOutcome(c, a.endpoint, res, callEnded)
	n.observeForCopies(c, a, res)
	c.recordAttempt(a, res, n.clock.now())
}

// recordOutcome updates the state of a target with the result of an attempt.
func (n *Node) recordOutcome(c *call, e balance.Endpoint, res result, callEnded bool) {
	now := n.clock.now()
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	n.balancer.End(e, c.expectedBytes)
	if res.loadKnown {
		n.balancer.UpdateLoad(e, res.load, now)
	}
	if res.unresponsive {
		n.balancer.MarkUnresponsive(e, now)
	}
	switch res.outcome {
	case retry.ResponseReceived:
		if !res.callFailed {
			n.balancer.RecordResponse(e, !res.succeeded(), now)
		}
		// The usual time of the route does not contain the disturbance of a machine.
		disturbance := admission.NewDisturbance(res.load.Disturbance, now-res.load.DisturbanceAge).Factor(now)
		n.serviceTimes.observe(c.route.Name, float64(res.targetTime)/disturbance)
		if res.response.status < http.StatusMultipleChoices {
			n.responseBytes.observe(c.route.Name, float64(responseHeaderBytes+len(res.response.body)))
		}
	case retry.ConnectionRefused, retry.ResetBeforeWrite:
		n.balancer.MarkUnreachable(e, now)
	case retry.RefusedByNode:
		switch res.reason {
		case "no-target", "other-target", "target-leaves", "target-unreachable", reasonStopping, reasonZoneEvacuated:
			n.balancer.MarkUnreachable(e, now)
		}
	case retry.RefusedByTarget:
		n.balancer.RecordResponse(e, true, now)
	case retry.ResetAfterWrite, retry.MayHaveRun, retry.TimedOut:
		if !callEnded {
			n.balancer.RecordResponse(e, true, now)
		}
	}
}
