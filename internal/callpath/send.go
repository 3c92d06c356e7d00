package callpath

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/httpresponse"
	"heathercroft.example/heathercroft/pkg/retry"
	"heathercroft.example/heathercroft/pkg/routing"
)

// attempt sends the call to one endpoint and records the result.
func (n *Node) attempt(c *call, route *routing.Route, choice routing.Choice, retries int) *attemptResult {
	e := choice.Endpoint
	started := n.deps.Now()
	e.Begin()
	var a *attemptResult
	var unresponsive bool
	if e.Node == n.deps.Node {
		a = n.exchange(c, e.Service, choice.Version, c.inherited+retries)
	} else {
		a, unresponsive = n.send(c, e.CallAddress, retries, func(h http.Header) {
			h[HeaderHop] = []string{HopTarget}
			h[HeaderTarget] = []string{e.Service + "/" + choice.Version}
			knownLimitHeader(h, e)
			if c.key != "" {
				h[HeaderFence] = []string{formatFence(c.fence)}
			}
		})
	}
	now := n.deps.Now()
	n.recordLoad(e, a, now)
	n.recordSignals(e, a)
	n.recordHealth(e, a, unresponsive, now)
	sample := Sample{
		Service: route.Service.Name, Version: choice.Version, Route: route.Name, Zone: e.Zone,
		Node: e.Node, Outcome: a.outcome, Latency: now - started,
	}
	if timing := a.timing; timing.known {
		sample.Latency, sample.ColdStart, sample.FreshConnection = timing.elapsed, timing.coldStart, timing.freshConnection
	}
	if a.resp != nil && a.outcome == retry.ResponseReceived {
		sample.Status = a.resp.StatusCode
	}
	n.record(c, sample)
	a.afterBody(func(complete bool) {
		e.End()
		if a.outcome == retry.ResponseReceived && !complete && !c.ended() && !c.callerLeft() {
			e.RecordFailure(n.deps.Now())
			if !sample.Failed() {
				sample.Outcome, sample.Correction = retry.ShortBody, true
				n.record(c, sample)
			}
		}
	})
	return n.prefetch(c, a)
}

func (n *Node) record(c *call, s Sample) {
	n.metrics.attempts.Add(s.Outcome.String(), 1)
	if n.deps.Recorder != nil && !c.callerLeft() {
		n.deps.Recorder.Record(s)
	}
}

func (n *Node) recordLoad(e *routing.Endpoint, a *attemptResult, now time.Duration) {
	if a.resp == nil {
		return
	}
	inFlight, _, ok := strings.Cut(a.resp.Header.Get(HeaderLoad), "/")
	if !ok {
		return
	}
	if v, err := strconv.Atoi(inFlight); err == nil {
		e.SetReportedLoad(v, now)
	}
}

// recordHealth updates the health of the endpoint. A target that is leaving, is
// gone or refuses its node's connections is ejected at once, before membership
// reports it.
func (n *Node) recordHealth(e *routing.Endpoint, a *attemptResult, unresponsive bool, now time.Duration) {
	ejected := false
	switch a.outcome {
	case retry.ResponseReceived:
		switch a.resp.StatusCode {
		case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			ejected = e.RecordFailure(now)
		default:
			e.RecordSuccess(now)
		}
	case retry.RefusedByNode:
		switch a.code() {
		case CodeDraining, CodeNoTarget, CodeUnreachable:
			ejected = e.EjectNow(now)
		}
	case retry.ConnectionRefused, retry.ResetAfterWrite, retry.ResetBeforeWrite, retry.MayHaveRun, retry.TimedOut:
		if unresponsive {
			ejected = e.EjectNow(now)
		} else {
			ejected = e.RecordFailure(now)
		}
	}
	if ejected {
		n.metrics.ejections.Add(1)
		if n.deps.Events != nil {
			n.deps.Events.Ejected(e.Node, e.Service, e.Version)
		}
	}
}

// code returns the reason for a refusal by this node or another one, "" if there
// is none.
func (a *attemptResult) code() Code {
	if a.refusal != nil {
		return a.refusal.Code
	}
	return Code(a.resp.Header.Get(HeaderReason))
}

// send sends one request to another node. unresponsive reports that the connection
// was closed because a ping got no response.
func (n *Node) send(c *call, to netip.AddrPort, retries int, setHeaders func(http.Header)) (a *attemptResult, unresponsive bool) {
	var connected, wrote atomic.Bool
	forward, stop := c.informationalForwarder()
	defer stop()
	trace := &httptrace.ClientTrace{
		GotConn:          func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
		Got1xxResponse:   forward,
	}
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(c.ctx, trace))
	req, ok := n.outbound(ctx, c, to.String(), c.inherited+retries)
	if !ok {
		cancel()
		return bodyConsumedResult(), false
	}
	if req.ContentLength == 0 {
		req.Body = http.NoBody
		if !retry.Idempotent(req.Method) {
			// net/http would retry some requests without a body on its own.
			req.Body = emptyBody{}
			req.Header[HeaderBody] = []string{bodyNone}
		}
	} else if c.callerExpects {
		req.Header[HeaderExpect] = []string{expectCaller}
	} else if n.isUpload(req.ContentLength) {
		// The other node can then refuse the request before its body is consumed.
		req.Header["Expect"] = []string{"100-continue"}
		req.Header[HeaderExpect] = []string{expectNode}
	}
	setHeaders(req.Header)
	resp, err := n.peers.RoundTrip(req)
	if err != nil {
		cancel()
		return n.sendFailed(c, err, connected.Load(), wrote.Load())
	}
	a = classify(resp)
	a.cancel = cancel
	return a, false
}

// classify determines the outcome of the attempt from the other node's response.
func classify(resp *http.Response) *attemptResult {
	a := &attemptResult{outcome: retry.ResponseReceived, resp: resp, timing: parseTiming(resp.Header.Get(HeaderTargetTime))}
	outcome := Outcome(resp.Header.Get(HeaderOutcome))
	switch {
	case resp.Header.Get(HeaderReason) != "" && outcome == OutcomeNotRun:
		a.outcome = retry.RefusedByNode
	case resp.Header.Get(HeaderReason) != "":
		a.outcome = retry.MayHaveRun
	case outcome == OutcomeNotRun && resp.StatusCode == http.StatusServiceUnavailable:
		a.outcome = retry.RefusedByTarget
	}
	return a
}

func (n *Node) sendFailed(c *call, err error, connected, wrote bool) (a *attemptResult, unresponsive bool) {
	if c.ctx.Err() != nil {
		return canceledResult(c, wrote), false
	}
	if !connected {
		return refused(retry.ConnectionRefused, NotRun(CodeUnreachable, "no connection to the node: "+err.Error())), false
	}
	if !wrote {
		return refused(retry.ResetBeforeWrite, NotRun(CodeUnreachable, "connection lost before the request was sent")), false
	}
	return refused(retry.ResetAfterWrite, MayHaveRun(CodeConnectionLost, "connection to the node lost: "+err.Error())),
		strings.Contains(err.Error(), pingTimeoutError)
}

// pingTimeoutError is the text with which net/http reports an HTTP/2 connection
// whose ping got no response.
const pingTimeoutError = "client connection lost"

// canceledResult is the result for a call whose deadline passed or whose caller
// disconnected.
func canceledResult(c *call, wrote bool) *attemptResult {
	code, message := CodeCanceled, "the caller left"
	switch {
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		code, message = CodeDeadline, "the deadline passed"
	case c.nodeEnds.Err() != nil && !c.callerLeft():
		code, message = CodeNodeStopped, "the node stops"
	}
	if wrote {
		return refused(retry.TimedOut, MayHaveRun(code, message))
	}
	return refused(retry.NotSent, NotRun(code, message))
}

// bodyConsumedResult is the result of an attempt that was not started, because an
// earlier one has read more of the body than is buffered.
func bodyConsumedResult() *attemptResult {
	return refused(retry.NotSent, NotRun(CodeUnreachable, "the body cannot be sent again"))
}

// outbound returns the request to send to a node or target. ok is false if the body
// cannot be sent from its first byte.
func (n *Node) outbound(ctx context.Context, c *call, host string, attempt int) (req *http.Request, ok bool) {
	in := c.req
	h := in.Header.Clone()
	trailers := strings.Contains(strings.ToLower(h.Get("Te")), "trailers")
	removeHopByHop(h)
	removeAll(h, nodeOnly)
	delete(h, HeaderOutcome)
	if trailers {
		h["Te"] = []string{"trailers"}
	}
	delete(h, "Expect")
	if c.callerExpects {
		h["Expect"] = []string{"100-continue"}
	}
	if _, ok := h["User-Agent"]; !ok {
		// Without this, net/http would add its own User-Agent.
		h["User-Agent"] = []string{""}
	}
	h[HeaderRequestID] = []string{c.id}
	h[HeaderAttempt] = []string{strconv.Itoa(attempt)}
	if c.deadline != 0 {
		h[HeaderDeadline] = []string{retry.FormatDeadline(n.timeLeft(c))}
	}
	depth := c.depth
	if c.target == "" {
		depth++
	}
	h[HeaderDepth] = []string{strconv.Itoa(depth)}
	u := *in.URL
	u.Scheme, u.Host = "http", host
	req = &http.Request{
		Method: in.Method, URL: &u, Host: in.Host, Header: h, ContentLength: in.ContentLength,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if in.ContentLength != 0 {
		body, ok := c.body.startAttempt()
		if !ok {
			return nil, false
		}
		req.Body = body
		if in.ContentLength < 0 {
			req.Trailer = in.Trailer
		}
	}
	return req.WithContext(ctx), true
}

// maxInformational limits the informational responses of one attempt, including 100
// Continue. net/http limits neither their number nor their size once they are forwarded.
const maxInformational = 1024

// errTooManyInformational ends an attempt that gets only informational responses.
var errTooManyInformational = errors.New("too many informational responses")

// informationalForwarder returns a function that forwards informational (1xx)
// responses until stop is called. It does not forward 100 Continue, which the
// server sends itself when the body is read. It returns an error for a malformed
// response, and errTooManyInformational after maxInformational responses.
func (c *call) informationalForwarder() (forward func(int, textproto.MIMEHeader) error, stop func()) {
	ended, count := false, 0
	forward = func(code int, header textproto.MIMEHeader) error {
		c.informationalMu.Lock()
		defer c.informationalMu.Unlock()
		if count++; count > maxInformational {
			return errTooManyInformational
		}
		if err := httpresponse.CheckFields(header); err != nil {
			return err
		}
		if !ended && code != http.StatusContinue && code != http.StatusSwitchingProtocols {
			c.writeInformational(code, header)
		}
		return nil
	}
	stop = func() {
		c.informationalMu.Lock()
		defer c.informationalMu.Unlock()
		ended = true
	}
	return forward, stop
}

// writeInformational writes an informational response and restores the header of
// the final one.
func (c *call) writeInformational(code int, header textproto.MIMEHeader) {
	h := c.w.Header()
	saved := h.Clone()
	maps.Copy(h, header)
	removeHopByHop(h)
	c.w.WriteHeader(code)
	clear(h)
	maps.Copy(h, saved)
}

func (n *Node) isUpload(length int64) bool {
	return length < 0 || length > n.settings.UploadThresholdBytes
}
