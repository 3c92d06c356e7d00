package callpath

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/retry"
	"heathercroft.example/heathercroft/pkg/routing"
)

// source is the kind of client that sent a request; each has its own listener.
type source int

const (
	fromCaller source = iota
	fromTarget
	fromNode
)

// call is one inbound request.
type call struct {
	req  *http.Request
	w    http.ResponseWriter
	body *requestBody
	ctx  context.Context
	// id is the request ID.
	id string
	// deadline is on the node's monotonic clock, 0 if there is none.
	deadline time.Duration
	// depth and inherited are the nesting depth and the number of earlier retries
	// from the caller's headers.
	depth     int
	inherited int
	key       string
	fence     FencingToken
	// target is the service/version that the sending node expects; it is empty at
	// node A.
	target string
	// callerExpects is set if the original caller waits for a 100 Continue response.
	callerExpects bool
	// informationalMu is held while an informational response is written to w, so that
	// none is written for an attempt that has ended.
	informationalMu sync.Mutex
	// nodeEnds ends when the node gives up the requests in flight.
	nodeEnds context.Context
	// mayHaveRun is set once an attempt may have run; no later refusal may then
	// report not-run.
	mayHaveRun bool
}

// handle serves one request from any source.
func (n *Node) handle(w http.ResponseWriter, r *http.Request, from source) {
	hop := ""
	if from == fromNode {
		hop = r.Header.Get(HeaderHop)
		if r.Header.Get(HeaderBody) == bodyNone {
			// Otherwise the length is unknown until the stream ends. If the caller leaves
			// before, its request would end as one with an incomplete body.
			r.ContentLength = 0
		}
	} else {
		removeAll(r.Header, nodeOnly)
	}
	if !n.inFlight.enter(from == fromTarget) {
		if r.ProtoMajor == 1 {
			w.Header()["Connection"] = []string{"close"}
		}
		n.refuse(w, NotRun(CodeDraining, "the node stops"))
		return
	}
	defer n.inFlight.leave()
	c, refusal := n.newCall(w, r)
	if refusal != nil {
		if r.ProtoMajor == 1 && r.ContentLength != 0 {
			w.Header()["Connection"] = []string{"close"}
		}
		n.refuse(w, refusal)
		return
	}
	defer c.body.end()
	ctx, cancel := n.withDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(n.callsCtx, cancel)()
	c.ctx, c.nodeEnds = ctx, n.callsCtx
	switch hop {
	case HopTarget:
		n.serveTarget(c)
	case HopOwner:
		n.serveOwner(c)
	default:
		n.serveCall(c)
	}
}

func (n *Node) withDeadline(ctx context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	if deadline == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, deadline-n.deps.Now())
}

// newCall parses the headers that control a call.
func (n *Node) newCall(w http.ResponseWriter, r *http.Request) (*call, *Refusal) {
	control := http.NewResponseController(w)
	if r.ProtoMajor == 1 && r.ContentLength != 0 {
		// The response may begin before the body has been read. All servers of
		// net/http support this for HTTP/1.
		_ = control.EnableFullDuplex()
	}
	c := &call{req: r, w: w, id: r.Header.Get(HeaderRequestID), target: r.Header.Get(HeaderTarget)}
	c.body = newRequestBody(r.Body, &n.metrics.requestBytes, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	if headerSize(r.Header)+len(r.RequestURI) > n.settings.MaxHeaderBytes {
		return nil, NotRun(CodeHeaderTooLarge, "the header is over "+strconv.Itoa(n.settings.MaxHeaderBytes)+" bytes")
	}
	if c.id == "" {
		c.id = rand.Text()
	}
	left, limited, err := retry.ParseDeadline(r.Header.Get(HeaderDeadline))
	if err != nil {
		return nil, NotRun(CodeBadRequest, HeaderDeadline+": "+err.Error())
	}
	if limited {
		if left == 0 {
			return nil, NotRun(CodeDeadline, "no time is left")
		}
		c.deadline = n.deps.Now() + left
	}
	var ok bool
	if c.depth, ok = parseCount(r.Header.Get(HeaderDepth)); !ok {
		return nil, NotRun(CodeBadRequest, HeaderDepth+" is not a number from 0 to 999")
	}
	if c.inherited, ok = parseCount(r.Header.Get(HeaderAttempt)); !ok {
		return nil, NotRun(CodeBadRequest, HeaderAttempt+" is not a number from 0 to 999")
	}
	// The HTTP/2 server removes Expect, so nodes state in a header of their own who
	// asked for a 100 Continue response.
	c.callerExpects = r.Header.Get(HeaderExpect) == expectCaller ||
		r.Header.Get(HeaderExpect) == "" && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	if !isSafeMethod(r.Method) {
		if len(r.Header[HeaderKey]) > 1 || len(r.Header.Get(HeaderKey)) > maxKeyLength {
			return nil, NotRun(CodeBadRequest, HeaderKey+" is given twice or is over 256 bytes")
		}
		c.key = r.Header.Get(HeaderKey)
	}
	return c, nil
}

// maxKeyLength limits the length of a key in bytes, since keys are kept in memory.
const maxKeyLength = 256

// isSafeMethod reports whether the method is safe (RFC 9110). Keys are ignored on
// safe methods, which change nothing.
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions || method == http.MethodTrace
}

func parseCount(s string) (int, bool) {
	if s == "" {
		return 0, true
	}
	v, err := strconv.Atoi(s)
	return v, err == nil && v >= 0 && v <= 999
}

// callerLeft reports whether the caller has left. net/http also cancels the context of a request
// if the read of its body is interrupted, which requestBody.abort does while the caller waits.
func (c *call) callerLeft() bool {
	return c.req.Context().Err() != nil && !c.body.interrupted.Load()
}

// ended reports whether the caller has left, the deadline has passed or the node stops.
func (c *call) ended() bool {
	switch err := c.ctx.Err(); {
	case err == nil:
		return false
	case c.body.interrupted.Load():
		return c.nodeEnds.Err() != nil || errors.Is(err, context.DeadlineExceeded)
	default:
		return true
	}
}

func (n *Node) timeLeft(c *call) time.Duration {
	if c.deadline == 0 {
		return retry.MaxTimeout
	}
	return c.deadline - n.deps.Now()
}

// serveCall routes a call as node A and forwards it.
func (n *Node) serveCall(c *call) {
	started := n.deps.Now()
	n.metrics.calls.Add(1)
	n.metrics.inFlightCalls.Add(1)
	defer func() { n.metrics.callEnded(started, n.deps.Now()) }()
	c.w.Header().Set(HeaderRequestID, c.id)
	if c.depth >= retry.MaxDepth {
		n.refuseCall(c, NotRun(CodeDepthLimit, "calls are nested at most 24 deep"))
		return
	}
	route, refusal := n.route(c)
	if refusal != nil {
		n.refuseCall(c, refusal)
		return
	}
	if c.key != "" {
		n.metrics.keyed.Add(1)
		n.serveKeyed(c, route)
		return
	}
	n.deliver(c, n.runAttempts(c, route))
}

func (n *Node) route(c *call) (*routing.Route, *Refusal) {
	table := n.deps.Table()
	if table == nil {
		return nil, NotRun(CodeNotReady, "the node has no confirmed configuration yet")
	}
	route := table.Lookup(c.req.URL.Path)
	if route == nil {
		return nil, NotRun(CodeNoRoute, "no route has a prefix of this path")
	}
	return route, nil
}

// runAttempts sends the call, with retries, and returns the result to deliver.
func (n *Node) runAttempts(c *call, route *routing.Route) *attemptResult {
	budget := n.budget(route.Service.Name)
	budget.RecordCall(n.deps.Now())
	allow := func() bool {
		if budget.Allow(n.deps.Now()) {
			return true
		}
		n.metrics.budgetRefusals.Add(1)
		return false
	}
	var tried [retry.MaxRetries + 1]*routing.Endpoint
	var last *attemptResult
	for i := 0; ; i++ {
		choice, ok := choose(c, route.Service, i, n.deps.Now(), tried[:i], last)
		if !ok {
			if last != nil {
				return last
			}
			return refused(retry.NotSent, NotRun(CodeNoEndpoint, "no endpoint of service "+route.Service.Name+" can be used now"))
		}
		if last != nil {
			if !c.body.rewind() {
				// The attempt read on after the decision to retry.
				return last
			}
			last.discard()
			n.metrics.retries.Add(1)
		}
		tried[i] = choice.Endpoint
		last = n.attempt(c, route, choice, i)
		if last.code() == CodeCrashing {
			// Another endpoint would refuse the request too, or crash.
			return last
		}
		c.mayHaveRun = c.mayHaveRun || !last.outcome.NotRun() && last.outcome != retry.ResponseReceived
		action := retry.Decide(retry.Attempt{
			Outcome: last.outcome, Method: c.req.Method, BodyConsumed: c.body.consumed(),
			Keyed: c.key != "", Retries: i, InheritedRetries: c.inherited, TimeLeft: n.timeLeft(c),
		}, allow)
		if action != retry.Retry || c.ctx.Err() != nil {
			return last
		}
	}
}

// choose selects an endpoint that the call has not tried. If the service has no
// other endpoint and the connection of the last attempt was lost, a tried one may
// be selected again.
func choose(c *call, s *routing.Service, attempt int, now time.Duration, tried []*routing.Endpoint, last *attemptResult) (routing.Choice, bool) {
	choice, ok := s.Choose(c.id, attempt, now, tried)
	if !ok && last != nil && (last.outcome == retry.ResetAfterWrite || last.outcome == retry.MayHaveRun) {
		return s.Choose(c.id, attempt, now, nil)
	}
	return choice, ok
}

// refuseCall responds to a call with a refusal by this node.
func (n *Node) refuseCall(c *call, r *Refusal) {
	n.announceClose(c, c.finishBody())
	n.refuse(c.w, r)
}

// announceClose tells the client that the connection closes after this response.
// Otherwise the client may send its next request on a connection that is being
// closed and get no response. reusable is false if the end of the request body was
// not read.
func (n *Node) announceClose(c *call, reusable bool) {
	if c.req.ProtoMajor == 1 && (n.inFlight.isDraining() || !reusable) {
		c.w.Header()["Connection"] = []string{"close"}
	}
}

// finishBody reads the rest of a small body and reports whether the connection can
// be reused. If the handler responds before the end of the body, net/http closes
// an HTTP/1 connection without announcing it: its own read of the rest starts
// waiting for the next request too early, and it panics ("invalid concurrent
// Body.Read call").
func (c *call) finishBody() bool {
	if c.req.ProtoMajor != 1 || c.req.ContentLength == 0 {
		return true
	}
	if c.req.Header.Get("Expect") != "" {
		return c.body.reachedEOF()
	}
	return c.body.finish(c.req.ContentLength, http.NewResponseController(c.w).SetReadDeadline)
}

// refuse responds with a refusal by this node.
func (n *Node) refuse(w http.ResponseWriter, r *Refusal) {
	out := *r
	if out.Node == "" {
		out.Node = n.deps.Node
	}
	if table := n.deps.Table(); table != nil && out.Revision == 0 {
		out.Revision = table.Revision
	}
	n.metrics.refusals.Add(string(out.Code), 1)
	out.write(w)
}
