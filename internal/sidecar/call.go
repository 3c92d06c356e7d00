package sidecar

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/bounded"
	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
	"heathercroft.example/heathercroft/pkg/retry"
)

const (
	// maxNodesTried limits how many nodes are tried for one request.
	maxNodesTried = 4
	// maxTrialRefusals is the number of targets of a version on trial that may refuse a call before it
	// goes to the old version. One target may be used more than the others.
	maxTrialRefusals = 2
	// minRetryTime is the least remaining time with which a retry is started.
	minRetryTime = 10 * time.Millisecond
	// networkAllowance is subtracted from the soft deadline for the transfer between nodes
	// and callers.
	networkAllowance = 8 * time.Millisecond
	// forwardDeadlineMargin is how much earlier the node of the target gives up than the
	// node of the caller. Its reply that the request only waited, and did not run, then
	// arrives in time.
	forwardDeadlineMargin = 15 * time.Millisecond
	// minRetryAfter and maxRetryAfterRatio limit the Retry-After of a refusal: callers wait
	// for up to a third of their remaining time.
	minRetryAfter      = 40 * time.Millisecond
	maxRetryAfterRatio = 0.32
	// notReadyRetryAfter is sent by a node without a configuration, which receives one
	// within seconds.
	notReadyRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is sent by a stopping node. Callers reach another node by then.
	stoppingRetryAfter = 100 * time.Millisecond
	// noTargetRetryAfter is sent if there is no target for a request. A configuration, an order
	// of the operator or the start of a target ends that within seconds.
	noTargetRetryAfter = 300 * time.Millisecond
	// memoryRetryAfter is sent by a node that holds too many bytes of other requests.
	memoryRetryAfter = 200 * time.Millisecond
)

// call is one request of a caller.
type call struct {
	id    string
	w     http.ResponseWriter
	r     *http.Request
	route *published.Route
	// nested is set for calls that the local target makes while it serves a request, and
	// isRetry if that request is itself a retry.
	nested  bool
	isRetry bool
	header  http.Header
	body    *requestBody
	// key is the key that the request carries, organisation the one that it counts for, nil
	// if there is none, and judgedBy is the version of the configuration that says so. A nested
	// call has the organisation of its parent, for fairness only. keyRefused is set if that version
	// does not accept the call. An attempt that began before may still be running then.
	key          callerKey
	organisation *published.Organisation
	judgedBy     published.Version
	keyRefused   bool
	charge       charge
	// copyCharge is the token of the last copy.
	copyCharge charge
	// lease holds the memory of the request and its responses.
	lease *bounded.Lease
	// arrived, deadline and softDeadline are on the node's clock. The caller gets a final
	// response by deadline; a response after softDeadline is late.
	arrived, deadline, softDeadline time.Duration
	attemptKind                     admission.AttemptKind
	service                         string
	expectedServiceTime             time.Duration
	// expectedBytes is the size of the request body and the expected response.
	expectedBytes int64
	tried         []mesh.NodeID
	// evacuated holds the zones whose nodes refused the call because the zone is evacuated.
	evacuated       []mesh.AvailabilityZone
	attempts        []attemptRecord
	config          published.Version
	requestIdentity uint64
	// crashTrial is set if this run is to show whether the request crashes targets.
	crashTrial bool
	// targetsReached counts the attempts that reached a target.
	targetsReached int
	// failure is the result of the last attempt that may have run, nil if there is none.
	failure *result
	// trialRefusals counts the targets of a version on trial that had no room for the call.
	trialRefusals int
	// attemptLeases hold the memory of responses to attempts that ran beside others.
	attemptLeases []*bounded.Lease
}

// serveOutbound handles the requests of the callers on this machine and the calls of the
// target.
func (n *Node) serveOutbound(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	n.closeWhenStopping(w)
	arrived := n.clock.now()
	key := n.takeKey(r.Header)
	id := r.Header.Get(n.headers.RequestID)
	if id != "" {
		w.Header().Set(n.headers.RequestID, id)
	}
	parent := n.active.parent(n.headers.ParentID(id))
	endCall := parent.beginCall()
	defer endCall(false)
	if n.refusing.Load() && parent == nil {
		n.logRejected(r, id, http.StatusServiceUnavailable, reasonStopping)
		n.refuse(w, reasonStopping, stoppingRetryAfter)
		return
	}
	view := n.view.Load()
	if view.Config == nil {
		n.logRejected(r, id, http.StatusServiceUnavailable, "no-configuration")
		n.refuse(w, "no-configuration", notReadyRetryAfter)
		return
	}
	route := view.Config.Lookup(r.Host, r.URL.Path)
	if route == nil {
		n.logRejected(r, id, http.StatusNotFound, "no-route")
		n.respondError(w, http.StatusNotFound, "no-route", "no route matches this host and path")
		return
	}
	parent, organisation, reason := n.identify(view.Config, route, key, parent, n.headers.ParentID(id))
	if reason != "" {
		n.rejectKey(w, r, id, reason)
		return
	}
	if _, err := requestURL(r.RequestURI); err != nil {
		n.logRejected(r, id, http.StatusBadRequest, "bad-path")
		n.respondError(w, http.StatusBadRequest, "bad-path", err.Error())
		return
	}
	if overLimit(view.Config.Limits, r.ContentLength) {
		n.logRejected(r, id, http.StatusRequestEntityTooLarge, "body-too-large")
		n.respondError(w, http.StatusRequestEntityTooLarge, "body-too-large", "the body is over the configured limit")
		return
	}
	left, ok := n.timeLeft(r, route)
	if !ok {
		n.logRejected(r, id, http.StatusBadRequest, "bad-deadline")
		n.respondError(w, http.StatusBadRequest, "bad-deadline", n.headers.TimeLeft+" is no number of milliseconds")
		return
	}
	lease := n.messages.Lease()
	defer lease.Release()
	body, err := n.readBody(w, r, left, lease)
	if errors.Is(err, bounded.ErrMemory) {
		w.Header().Set("Connection", "close")
		n.logRejected(r, id, http.StatusServiceUnavailable, reasonMemory)
		n.refuse(w, reasonMemory, memoryRetryAfter)
		return
	}
	n.link.received(body.length())
	if err != nil {
		w.Header().Set("Connection", "close")
		n.logRejected(r, id, http.StatusRequestTimeout, "body-unread: "+bodyErrorText(err))
		n.respondError(w, http.StatusRequestTimeout, "body-unread", "the body did not arrive in time")
		return
	}
	c := &call{
		id: id, w: w, r: r, route: route, header: endToEndHeaders(r.Header), body: body, lease: lease,
		key: key, organisation: organisation, judgedBy: view.Config.Version, requestIdentity: n.identityOf(r, body),
		arrived: arrived, deadline: arrived + left, config: view.Config.Version, service: route.PickService(n.splits.next(route.Name)),
	}
	defer c.releaseAttempts()
	if parent != nil {
		c.nested, c.isRetry = true, parent.IsRetry
		n.nestedCalls.countCall(parent.Route, c.service)
	}
	if suspect, ok := view.CrashSuspects[c.requestIdentity]; ok {
		n.recordSeen(c.requestIdentity)
		if view.CrashingRequests[c.requestIdentity] {
			c.crashTrial = n.crashTrials.allow(c.requestIdentity, suspect, arrived)
			if !c.crashTrial {
				n.endBody(w, r, body)
				n.logRejected(r, id, http.StatusServiceUnavailable, reasonCrashing)
				n.refuse(w, reasonCrashing, time.Duration(maxRetryAfterRatio*float64(left)))
				return
			}
			n.logger.Info("crash_trial", "request", id, "route", route.Name, "crashes", suspect.Crashes)
		}
	}
	// The body may have arrived late in the stop.
	if parent == nil && n.mayOutlastStop(c.deadline) {
		n.endBody(w, r, body)
		n.logRejected(r, id, http.StatusServiceUnavailable, reasonStopping)
		n.refuse(w, reasonStopping, stoppingRetryAfter)
		return
	}
	n.setSoftDeadline(c)
	ctx, cancel := context.WithTimeout(r.Context(), c.deadline-n.clock.now())
	defer cancel()
	defer context.AfterFunc(n.callsCtx, cancel)()
	n.metrics.requests.Add(1)
	c.countOrganisation(n.metrics, func(o *organisationCounts) { o.Requests++ })
	n.retryBudget(c.service).RecordCall(arrived)
	if c.isRetry {
		// A call on behalf of a retry is a retry too. It cannot be refused without losing
		// the work that the retried request has done.
		n.retryBudget(c.service).RecordRetry(arrived)
	}
	n.rates.count(c.service, arrived)
	res := n.runAttempts(ctx, c)
	if res.outcome.NotRun() {
		n.caps.giveBack(&c.charge)
	}
	endCall(res.succeeded())
	n.deliver(ctx, c, res)
}

// overLimit reports whether a body is larger than the configured limit.
func overLimit(limits published.Limits, bytes int64) bool {
	return limits.BodyBytes > 0 && bytes > limits.BodyBytes
}

// timeLeft returns how long the caller waits, at most the timeout of the route. ok is false
// if the caller's header is not a number of milliseconds.
func (n *Node) timeLeft(r *http.Request, route *published.Route) (left time.Duration, ok bool) {
	text := r.Header.Get(n.headers.TimeLeft)
	if text == "" {
		return route.Timeout, true
	}
	given, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(given) || given < 0 {
		return 0, false
	}
	// A number beyond the range of a Duration would become negative.
	return fromMilliseconds(min(given, milliseconds(route.Timeout))), true
}

// setSoftDeadline sets the kind of the attempt, its expected service time and its soft
// deadline.
func (n *Node) setSoftDeadline(c *call) {
	objective := c.route.Objective
	if objective <= 0 {
		objective = c.route.Timeout
	}
	c.expectedServiceTime = time.Duration(n.serviceTimes.get(c.route.Name, float64(objective)/3))
	c.expectedBytes = c.body.length() + int64(n.responseBytes.get(c.route.Name, assumedResponseBytes))
	first, isRetry := n.refusalCache.lookup(c.refusalKey(), c.arrived)
	c.softDeadline = c.arrived + objective - networkAllowance
	if isRetry {
		c.attemptKind = admission.ClientRetry
		c.softDeadline = first + objective - networkAllowance
		if c.softDeadline-c.arrived < c.expectedServiceTime {
			c.attemptKind = admission.LateClientRetry
			c.softDeadline = c.arrived + time.Duration(float64(c.deadline-c.arrived)*lateRetryTimeRatio)
		}
	}
	if c.nested {
		c.softDeadline = c.deadline - networkAllowance
	}
	c.softDeadline = min(c.softDeadline, c.deadline)
}

// lateRetryTimeRatio is the part of the remaining time in which a client retry is still
// served after its objective has passed.
const lateRetryTimeRatio = 0.85

// runAttempts sends the call to targets until it has a response or must not be sent again.
func (n *Node) runAttempts(ctx context.Context, c *call) result {
	last := result{outcome: retry.NotSent, reason: "no-target"}
	for len(c.tried) < maxNodesTried && ctx.Err() == nil {
		body, ok := c.body.open()
		if !ok {
			break
		}
		choice, ok := n.choose(c)
		if !ok && len(c.tried) == 0 {
			last.reason = n.reasonWithoutTarget(c)
			last.expectedWait = noTargetRetryAfter
		}
		if !ok || len(c.tried) > 0 && !choice.Admissible && refusedForLoad(last.reason) {
			// One refusal confirms this node's estimate for the other nodes. Trying them too
			// would delay the caller and load the nodes without benefit.
			break
		}
		endpoint := choice.Endpoint
		if c.targetsReached > 0 && !n.allowRetry(c) {
			break
		}
		if rejected, ok := n.mayBeSent(ctx, c); ok {
			last = n.attemptWithCopies(ctx, c, endpoint, body)
		} else {
			last = rejected
		}
		switch last.reason {
		case reasonTrialLimit:
			c.trialRefusals++
		case reasonVersionStopped:
			c.trialRefusals = maxTrialRefusals
		}
		if last.reason == reasonZoneEvacuated {
			c.evacuated = append(c.evacuated, endpoint.Zone)
		}
		if last.succeeded() || last.callFailed {
			// Another target would make the failed call again, as a retry. It is better that
			// the budget of the called service serves other calls.
			return last
		}
		if last.reason == reasonKeyWithdrawn || last.rejectedByCap() {
			break
		}
		if last.reason == reasonCrashing || c.crashTrial && reachedTarget(last.outcome) {
			// One target is enough for a trial.
			if !last.outcome.NotRun() {
				c.failure = &last
			}
			break
		}
		c.recordFailure(last)
		if !last.outcome.NotRun() && !c.route.Kind.Repeatable() {
			break
		}
	}
	if c.failure != nil {
		return *c.failure
	}
	return last
}

// refusedForLoad reports whether the node of a target refused a request because the target has no room
// for it in time.
func refusedForLoad(reason string) bool {
	switch reason {
	case reasonQueue, reasonShare, reasonTargetLimit, reasonTargetCold:
		return true
	default:
		return false
	}
}

// recordFailure counts an attempt without a successful response.
func (c *call) recordFailure(res result) {
	if reachedTarget(res.outcome) {
		c.targetsReached++
	}
	if !res.outcome.NotRun() {
		c.failure = &res
	}
}

// reachedTarget reports whether the request reached a target.
func reachedTarget(o retry.Outcome) bool {
	switch o {
	case retry.NotSent, retry.ConnectionRefused, retry.RefusedByNode, retry.ResetBeforeWrite:
		return false
	default:
		return true
	}
}

// allowRetry reports whether the call may be sent to another target, and charges the
// shared retry budget for it.
func (n *Node) allowRetry(c *call) bool {
	if c.route.MaxAttempts > 0 && c.targetsReached >= c.route.MaxAttempts {
		return false
	}
	if c.deadline-n.clock.now() < max(minRetryTime, c.expectedServiceTime/2) {
		return false
	}
	share, slack := n.retryShare(c)
	ok := n.retryBudget(c.service).AllowNodeShare(n.clock.now(), share, slack)
	if !ok {
		n.metrics.budgetRefusals.Add(1)
	}
	return ok
}

// retryShare returns the part of the retry budget that this node may use for the call.
func (n *Node) retryShare(c *call) (share, slack float64) {
	callerMayRetry := !c.nested && c.attemptKind == admission.FirstAttempt && c.failure == nil
	return retry.NodeShare(n.settings.RetryRatio, n.settings.RetrySlack, len(n.view.Load().Announcements), callerMayRetry)
}

// choose selects the next target of a call.
func (n *Node) choose(c *call) (balance.Choice, bool) {
	endpoints, ok := n.candidates(c)
	if !ok {
		return balance.Choice{}, false
	}
	now := n.clock.now()
	request := n.balanceRequest(c, now)
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	return n.balancer.Choose(endpoints, request, now, n.random)
}

// candidates returns the targets that a call may be sent to. ok is false if the service is unknown.
func (n *Node) candidates(c *call) (endpoints []balance.Endpoint, ok bool) {
	service, ok := n.view.Load().Endpoints[c.service]
	if !ok {
		return nil, false
	}
	endpoints = service.Old
	if n.picksNew(c, service) {
		endpoints = service.New
	}
	return n.allowedEndpoints(c, endpoints), true
}

// picksNew reports whether the call goes to the new version of its service.
func (n *Node) picksNew(c *call, service *control.ServiceEndpoints) bool {
	share := service.ShareOf(c.route.Name)
	switch {
	case share <= 0, share < 1 && n.random() >= share:
		return false
	case c.trialRefusals == 0:
		return len(service.New) > 0
	default:
		untried := func(e balance.Endpoint) bool { return !slices.Contains(c.tried, e.Node) }
		return c.trialRefusals < maxTrialRefusals && slices.ContainsFunc(service.New, untried)
	}
}

func (n *Node) balanceRequest(c *call, now time.Duration) balance.Request {
	return balance.Request{
		ExpectedServiceTime: c.expectedServiceTime, Objective: c.softDeadline - now, Bytes: c.expectedBytes, Tried: c.tried,
		Senders: len(n.view.Load().Announcements),
	}
}
