package sidecar

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
	"heathercroft.example/heathercroft/pkg/retry"
)

const (
	// heldBody is the size up to which a request's body is held in memory, so
	// that it can be sent to a second target.
	heldBody = 1 << 20
	// maxTries bounds the nodes that are asked for one request.
	maxTries = 4
	// minTimeLeft is the least time that a further attempt needs.
	minTimeLeft = 10 * time.Millisecond
	// hopTime is kept back from the time in which an answer is useful, for the way
	// between nodes and callers.
	hopTime = 8 * time.Millisecond
	// hopMargin is how much earlier than the caller's node the target's node gives a
	// request up: its word that the request only waited, and so did not run, then
	// comes in time.
	hopMargin = 15 * time.Millisecond
	// minRetryAfter and maxRetryAfterPart bound the time that a refused caller is
	// told to wait: callers wait for up to a third of the time they have left.
	minRetryAfter     = 40 * time.Millisecond
	maxRetryAfterPart = 0.32
	// notReadyRetryAfter is for a node without configuration, which gets one within seconds.
	notReadyRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is for a node that stops: callers reach another one by then.
	stoppingRetryAfter = 100 * time.Millisecond
)

// call is one request of a caller.
type call struct {
	id    string
	w     http.ResponseWriter
	r     *http.Request
	route *published.Route
	// inner is set for calls that the local target makes for a request in
	// progress, repeat if that request was sent before.
	inner  bool
	repeat bool
	header http.Header
	body   *payload
	// arrived, deadline and useful are on the node's clock. After deadline the
	// caller gets a final answer; an answer after useful is late.
	arrived, deadline, useful time.Duration
	standing                  admission.AttemptKind
	service                   string
	need                      time.Duration
	tried                     []mesh.NodeID
	notes                     []attemptNote
	config                    published.Version
	fingerprint               uint64
	arrivals                  int
	failure                   *result
}

// serveOutbound takes the requests of the callers on this machine and the calls
// of the target.
func (n *Node) serveOutbound(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if n.closed.Load() {
		// The listeners close, and with them this connection. A request that is
		// passed on now would lose its answer.
		panic(http.ErrAbortHandler)
	}
	if n.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := n.clock.now()
	id := r.Header.Get(n.headers.RequestID)
	if id != "" {
		w.Header().Set(n.headers.RequestID, id)
	}
	parent, inner := n.running.parent(n.headers.Parent(id))
	if n.refusing.Load() && !inner {
		n.rejected(r, id, http.StatusServiceUnavailable, "node-stops")
		n.refuse(w, "node-stops", stoppingRetryAfter)
		return
	}
	view := n.view.Load()
	if view.Config == nil {
		n.rejected(r, id, http.StatusServiceUnavailable, "no-configuration")
		n.refuse(w, "no-configuration", notReadyRetryAfter)
		return
	}
	route := view.Config.Lookup(r.Host, r.URL.Path)
	if route == nil {
		n.rejected(r, id, http.StatusNotFound, "no-route")
		n.answer(w, http.StatusNotFound, "no-route", "no route matches this host and path")
		return
	}
	limits := view.Config.Limits
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		n.rejected(r, id, http.StatusRequestEntityTooLarge, "body-too-large")
		n.answer(w, http.StatusRequestEntityTooLarge, "body-too-large", "the body is over the configured limit")
		return
	}
	left := route.Timeout
	if text := r.Header.Get(n.headers.TimeLeft); text != "" {
		given, err := strconv.ParseFloat(text, 64)
		if err != nil || given < 0 {
			n.rejected(r, id, http.StatusBadRequest, "bad-deadline")
			n.answer(w, http.StatusBadRequest, "bad-deadline", n.headers.TimeLeft+" is no number of milliseconds")
			return
		}
		left = min(left, fromMilliseconds(given))
	}
	body, err := n.readBody(w, r, left)
	n.link.received(body.length())
	if err != nil {
		w.Header().Set("Connection", "close")
		n.rejected(r, id, http.StatusRequestTimeout, "body-unread: "+err.Error())
		n.answer(w, http.StatusRequestTimeout, "body-unread", "the body did not arrive in time")
		return
	}
	c := &call{
		id: id, w: w, r: r, route: route, header: forwardable(r.Header), body: body,
		fingerprint: fingerprint(r, body),
		arrived:     arrived, deadline: arrived + left, config: view.Config.Version, service: route.PickService(n.splits.next(route.Name)),
	}
	c.inner, c.repeat = inner, parent.Repeat
	if view.CrashingRequests[c.fingerprint] {
		n.rejected(r, id, http.StatusServiceUnavailable, "crashing-request")
		n.refuse(w, "crashing-request", time.Duration(maxRetryAfterPart*float64(left)))
		return
	}
	n.prepare(c)
	ctx, cancel := context.WithTimeout(r.Context(), c.deadline-n.clock.now())
	defer cancel()
	n.metrics.requests.Add(1)
	n.budget(c.service).RecordCall(arrived)
	if c.repeat {
		// The call is a repeat too, and cannot be refused without losing the work
		// that the repeated request has done.
		n.budget(c.service).RecordRetry(arrived)
	}
	n.rates.count(c.service, arrived)
	n.deliver(ctx, c, n.attempts(ctx, c))
}

// prepare settles until when an answer is useful.
func (n *Node) prepare(c *call) {
	objective := c.route.Objective
	if objective <= 0 {
		objective = c.route.Timeout
	}
	c.need = n.needs.get(c.route.Name, objective/3)
	first, returning := n.returns.take(c.fingerprint, c.arrived)
	c.useful = c.arrived + objective - hopTime
	if returning {
		c.standing = admission.ClientRetry
		c.useful = first + objective - hopTime
		if c.useful-c.arrived < c.need {
			c.standing = admission.LateClientRetry
			c.useful = c.arrived + time.Duration(float64(c.deadline-c.arrived)*lateUse)
		}
	}
	if c.inner {
		c.useful = c.deadline - hopTime
	}
	c.useful = min(c.useful, c.deadline)
}

// lateUse is the part of the time left in which a caller that came back is still
// served, after its objective has passed.
const lateUse = 0.85

func (n *Node) readBody(w http.ResponseWriter, r *http.Request, left time.Duration) (*payload, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ProtoMajor == 1 {
		rc := http.NewResponseController(w)
		if err := rc.SetReadDeadline(time.Now().Add(left)); err != nil {
			return nil, errors.Wrap(err, "bound the body")
		}
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	size := int64(512)
	if r.ContentLength > 0 {
		size = min(r.ContentLength, heldBody)
	}
	head := make([]byte, 0, size+1)
	for len(head) <= heldBody {
		if len(head) == cap(head) {
			head = append(head, 0)[:len(head)]
		}
		k, err := r.Body.Read(head[len(head):cap(head)])
		head = head[:len(head)+k]
		if err == io.EOF {
			return &payload{head: head, size: int64(len(head))}, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read body")
		}
	}
	return &payload{head: head, rest: r.Body, size: r.ContentLength}, nil
}

// attempts sends the call until it has an answer or may not be sent again.
func (n *Node) attempts(ctx context.Context, c *call) result {
	last := result{outcome: retry.NotSent, reason: "no-target"}
	for len(c.tried) < maxTries && ctx.Err() == nil {
		choice, ok := n.choose(c)
		if !ok || len(c.tried) > 0 && !choice.Admissible && last.reason == reasonQueue {
			// One refusal confirms what this node expects of the others: asking them too
			// would hold the caller and load the nodes for nothing.
			break
		}
		endpoint := choice.Endpoint
		if c.arrivals > 0 && !n.mayRepeat(c) {
			break
		}
		last = n.attempt(ctx, c, endpoint)
		if last.outcome == retry.ResponseReceived && last.reply.status < http.StatusInternalServerError {
			return last
		}
		if arrived(last.outcome) {
			c.arrivals++
		}
		if !last.outcome.NotRun() {
			failed := last
			c.failure = &failed
			if !c.route.Kind.Repeatable() {
				break
			}
		}
	}
	if c.failure != nil {
		return *c.failure
	}
	return last
}

// arrived reports whether the request reached a target.
func arrived(o retry.Outcome) bool {
	switch o {
	case retry.NotSent, retry.ConnectionRefused, retry.RefusedByNode, retry.ResetBeforeWrite:
		return false
	default:
		return true
	}
}

// mayRepeat spends the shared budget of second sends.
func (n *Node) mayRepeat(c *call) bool {
	if c.route.MaxAttempts > 0 && c.arrivals >= c.route.MaxAttempts || !c.body.repeatable() {
		return false
	}
	if c.deadline-n.clock.now() < max(minTimeLeft, c.need/2) {
		return false
	}
	s := n.settings
	canReturn := !c.inner && c.standing == admission.FirstAttempt && c.failure == nil
	share, slack := retry.NodeShare(s.RetryRatio, s.RetrySlack, len(n.view.Load().Announcements), canReturn)
	ok := n.budget(c.service).AllowNodeShare(n.clock.now(), share, slack)
	if !ok {
		n.metrics.budgetRefusals.Add(1)
	}
	return ok
}

// choose picks the next target of a call.
func (n *Node) choose(c *call) (balance.Choice, bool) {
	service, ok := n.view.Load().Endpoints[c.service]
	if !ok {
		return balance.Choice{}, false
	}
	endpoints := service.Old
	if service.NewShare > 0 && len(service.New) > 0 && (service.NewShare >= 1 || rand.Float64() < service.NewShare) {
		endpoints = service.New
	}
	now := n.clock.now()
	request := balance.Request{
		ExpectedServiceTime: c.need, Objective: c.useful - now, Bytes: c.body.length() + answerBytes, Tried: c.tried,
	}
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	return n.balancer.Choose(endpoints, request, now, rand.Float64)
}

// answerBytes stands for the size of headers and answer when the cost of another
// zone is weighed.
const answerBytes = 1500

// attempt sends the call to one target and books the result.
func (n *Node) attempt(ctx context.Context, c *call, e balance.Endpoint) result {
	c.tried = append(c.tried, e.Node)
	n.balanceMu.Lock()
	n.balancer.Begin(e, c.body.length())
	n.balanceMu.Unlock()
	now := n.clock.now()
	h := hop{
		ID: c.id, URI: c.r.RequestURI, Target: e.Target, Service: e.Service, Route: c.route.Name, Caller: n.settings.Service,
		Rank:        int(admission.RankOf(c.inner, c.route.Priority, c.standing)),
		Fingerprint: c.fingerprint,
		Repeatable:  c.route.Kind.Repeatable(),
		Repeat:      c.repeat || c.arrivals > 0,
		TimeLeftMS:  milliseconds(max(c.deadline-now-hopMargin, 0)), UsefulMS: milliseconds(c.useful - now), NeedMS: milliseconds(c.need),
	}
	x := &exchange{method: c.r.Method, host: c.r.Host, uri: c.r.RequestURI, header: c.header.Clone(), body: c.body, repeatable: c.route.Kind.Repeatable()}
	var res result
	if e.Node == n.settings.Node {
		res = n.runLocal(ctx, h, x)
	} else {
		res = n.forward(ctx, h, x, e)
	}
	n.book(c, e, res, ctx.Err() != nil)
	c.note(e, res, now, n.clock.now())
	return res
}

// book notes what an attempt tells about its target.
func (n *Node) book(c *call, e balance.Endpoint, res result, ended bool) {
	now := n.clock.now()
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	n.balancer.End(e, c.body.length())
	if res.reported {
		n.balancer.UpdateLoad(e, res.report, now)
	}
	if res.silent {
		n.balancer.MarkUnresponsive(e, now)
	}
	switch res.outcome {
	case retry.ResponseReceived:
		n.balancer.RecordResponse(e, res.reply.status >= http.StatusInternalServerError, now)
		n.needs.observe(c.route.Name, res.took)
	case retry.ConnectionRefused, retry.ResetBeforeWrite:
		n.balancer.MarkUnreachable(e, now)
	case retry.RefusedByNode:
		switch res.reason {
		case "no-target", "other-target", "target-leaves", "target-unreachable":
			n.balancer.MarkUnreachable(e, now)
		}
	case retry.RefusedByTarget:
		n.balancer.RecordResponse(e, true, now)
	case retry.ResetAfterWrite, retry.MayHaveRun, retry.TimedOut:
		if !ended {
			n.balancer.RecordResponse(e, true, now)
		}
	}
}
