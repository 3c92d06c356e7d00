package sidecar

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/internal/routequery"
	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/hedge"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
	"heathercroft.example/heathercroft/pkg/quota"
	"heathercroft.example/heathercroft/pkg/retry"
)

// pickSamples is the number of choices from which the share of each target is estimated. Each costs a
// few microseconds for each target that it compares.
const pickSamples = 100

// Reasons of an explanation beside those of refusals.
const (
	explainNotServing    = "not-serving"
	explainTargetLeaves  = "target-leaving"
	explainNodeStopped   = "node-stopped"
	explainOtherVersion  = "other-version"
	explainUnreachable   = "unreachable"
	explainNodeLeaves    = "node-leaving"
	explainUnresponsive  = "node-unresponsive"
	explainPartitioned   = "zone-partitioned"
	explainCold          = "cold"
	explainColdUsedUp    = "cold-limit-used-up"
	explainRateLimited   = "rate-limit-used-up"
	explainNoRoom        = "no-room"
	explainLate          = "late"
	explainDisturbed     = "disturbed"
	explainFailing       = "failing"
	explainNoReport      = "no-load-report"
	explainNotChosenZone = "other-zone"
)

// explainedDisturbance is how many times the usual time work has to take on the machine of a target
// that is said to be disturbed.
const explainedDisturbance = 1.05

// explainedFailureRate is the failure rate from which on a target is said to fail.
const explainedFailureRate = 0.1

// explainRoute tells where a request would go. It decides as serveOutbound and runAttempts do, on
// copies of their inputs, and changes nothing.
func (n *Node) explainRoute(q routequery.Question) routequery.Answer {
	answer := routequery.Answer{Node: string(n.settings.Node), Zone: string(n.settings.Zone), Targets: []routequery.Target{}}
	view := n.view.Load()
	if view.Config == nil {
		answer.Problem = routequery.ProblemNoConfiguration
		return answer
	}
	now := n.clock.now()
	fresh := n.configFreshness()
	answer.Config = &routequery.Config{
		Version: uint64(view.Config.Version), AgeMS: (now - time.Duration(n.configSince.Load())).Milliseconds(),
		ProofAgeMS: fresh.AgeMS, StoreLost: fresh.StoreLost,
	}
	for zone, e := range view.Evacuated {
		answer.Evacuated = append(answer.Evacuated, routequery.Zone{Zone: string(zone), AgeMS: max(0, time.Now().UnixMilli()-e.SinceUnixMS)})
	}
	slices.SortFunc(answer.Evacuated, func(a, b routequery.Zone) int { return cmp.Compare(a.Zone, b.Zone) })
	parsed, err := url.ParseRequestURI(q.Path)
	if err != nil || !strings.HasPrefix(q.Path, "/") || q.Method == "" || q.Bytes < 0 {
		answer.Problem = routequery.ProblemRequest
		return answer
	}
	route := view.Config.Lookup(q.Host, parsed.Path)
	if route == nil {
		answer.Problem = routequery.ProblemNoRoute
		return answer
	}
	answer.Route = explainedRoute(route)
	var organisation *published.Organisation
	if q.Organisation != "" {
		if organisation = view.Config.Organisation(q.Organisation); organisation == nil {
			answer.Problem = routequery.ProblemOrganisation
			return answer
		}
	}
	x := &routeExplanation{n: n, view: view, now: now, answer: &answer}
	x.c = n.explainedCall(q, &http.Request{Method: q.Method, Host: q.Host, URL: parsed, RequestURI: q.Path}, view.Config, route, organisation, now)
	x.explain(q)
	return answer
}

func explainedRoute(r *published.Route) *routequery.Route {
	out := &routequery.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: string(r.Kind), TimeoutMS: roundMS(r.Timeout), ObjectiveMS: roundMS(r.Objective),
		MaxAttempts: r.MaxAttempts, Public: r.Public, AllowedRegions: r.AllowedRegions,
	}
	for _, w := range r.WeightedServices {
		out.Split = append(out.Split, routequery.Weight{Service: w.Service, Weight: w.Weight})
	}
	return out
}

// roundMS returns a duration in milliseconds with one digit after the point.
func roundMS(d time.Duration) float64 { return math.Round(milliseconds(d)*10) / 10 }

func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// explainedCall returns the call that a request of a caller would become.
func (n *Node) explainedCall(q routequery.Question, r *http.Request, config *published.Config, route *published.Route, o *published.Organisation, now time.Duration) *call {
	c := &call{
		r: r, route: route, organisation: o, judgedBy: config.Version, config: config.Version, requestIdentity: n.identityOf(r, nil),
		arrived: now, deadline: now + route.Timeout, service: route.PickService(n.splits.peek(route.Name)),
	}
	if q.Bytes > maxBufferedBodyBytes {
		c.body = &requestBody{size: q.Bytes, rest: http.NoBody}
	}
	n.setSoftDeadline(c)
	if c.body == nil {
		c.expectedBytes += q.Bytes
	}
	return c
}

// routeExplanation is the state of one explanation.
type routeExplanation struct {
	n      *Node
	view   *control.View
	now    time.Duration
	c      *call
	answer *routequery.Answer
	// endpoints are the targets that the call may be sent to, states what is known of them.
	endpoints []balance.Endpoint
	states    *balance.Balancer
	first     balance.Choice
}

func (x *routeExplanation) explain(q routequery.Question) {
	n, c := x.n, x.c
	service := x.view.Endpoints[c.service]
	request := &x.answer.Request
	*request = routequery.Request{
		Service: c.service, Priority: c.priority(), Attempt: attemptName(c.attemptKind), ServiceTimeMS: roundMS(c.expectedServiceTime),
		Measured: n.serviceTimes.get(c.route.Name, -1) >= 0, AnswerWithinMS: roundMS(c.softDeadline - x.now), Bytes: c.expectedBytes,
	}
	if service != nil {
		request.NewShare, request.MoveOpen = service.ShareOf(c.route.Name), service.MoveOpen
	}
	if o := c.organisation; o != nil {
		request.Organisation, request.AllowedRegions = o.Name, o.AllowedRegions
	}
	// As for a call, the version is picked before the target.
	x.endpoints, _ = n.candidates(c)
	known := x.endpoints
	if service != nil {
		known = slices.Concat(service.Old, service.New)
	}
	n.balanceMu.Lock()
	x.states = n.balancer.Snapshot(known)
	n.balanceMu.Unlock()
	undecided := x.states.Snapshot(known)
	first, ok := x.states.Choose(x.endpoints, n.balanceRequest(c, x.now), x.now, n.random)
	shares := x.pickShares(undecided)
	x.explainTargets(undecided, shares)
	var second balance.Choice
	secondOK := false
	if ok {
		x.first = first
		x.answer.First = explainedChoice(first)
		c.tried = append(c.tried, first.Endpoint.Node)
		if second, secondOK = x.states.Choose(x.endpoints, n.balanceRequest(c, x.now), x.now, n.random); secondOK {
			x.answer.Second = explainedChoice(second)
		}
		c.tried = nil
	}
	x.explainCap()
	x.answer.Refusal = x.refusal(q, ok, secondOK && second.Admissible)
	x.explainRetries()
	if ok {
		x.explainCopy()
	} else {
		x.answer.Copy.Reason = string(hedge.ReasonNoTarget)
	}
}

func attemptName(k admission.AttemptKind) string {
	switch k {
	case admission.ClientRetry:
		return "client-retry"
	case admission.LateClientRetry:
		return "late-client-retry"
	default:
		return "first"
	}
}

func explainedChoice(c balance.Choice) *routequery.Choice {
	return &routequery.Choice{
		Target: c.Endpoint.Target, Node: string(c.Endpoint.Node), Zone: string(c.Endpoint.Zone), WaitMS: roundMS(c.ExpectedWait), Admitted: c.Admissible,
	}
}

// pickShares estimates which share of equal requests goes to each node first.
func (x *routeExplanation) pickShares(states *balance.Balancer) map[mesh.NodeID]float64 {
	shares := map[mesh.NodeID]float64{}
	drawn := states.Snapshot(x.endpoints)
	for range pickSamples {
		if c, ok := drawn.Choose(x.endpoints, x.n.balanceRequest(x.c, x.now), x.now, rand.Float64); ok {
			shares[c.Endpoint.Node] += 1.0 / pickSamples
		}
	}
	return shares
}

// explainTargets describes all known targets of the service.
func (x *routeExplanation) explainTargets(states *balance.Balancer, shares map[mesh.NodeID]float64) {
	n, c := x.n, x.c
	endpoints := map[mesh.NodeID]balance.Endpoint{}
	if s := x.view.Endpoints[c.service]; s != nil {
		for _, e := range slices.Concat(s.Old, s.New) {
			endpoints[e.Node] = e
		}
	}
	allowed := map[mesh.NodeID]bool{}
	for _, e := range x.endpoints {
		allowed[e.Node] = true
	}
	ages := n.messageAges(x.view)
	for id, a := range x.view.Announcements {
		if a.Target == nil || a.Target.Service != c.service {
			continue
		}
		t := routequery.Target{Target: a.Target.ID, Node: string(id), Zone: string(a.Zone), Version: a.Target.Version, Slots: a.Target.Slots, PickShare: round(shares[id])}
		if age, ok := ages[id]; ok {
			ms := roundMS(age)
			t.MessageAgeMS = &ms
		}
		e, selectable := endpoints[id]
		switch {
		case !selectable:
			t.Reasons = x.whyNoEndpoint(a)
		case !allowed[id] && !n.settings.Regions.Allows(a.Zone, c.route.AllowedRegions, c.organisationRegions()):
			t.Reasons = []string{reasonRegion}
		case !allowed[id]:
			t.Reasons = []string{explainOtherVersion}
		}
		if selectable {
			describeEndpoint(&t, e, states.Explain(e, n.balanceRequest(c, x.now), x.now, rand.Float64), c, allowed[id], n.settings.Zone)
		}
		x.answer.Targets = append(x.answer.Targets, t)
	}
	slices.SortFunc(x.answer.Targets, func(a, b routequery.Target) int {
		if a.Candidate != b.Candidate {
			if a.Candidate {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Node, b.Node))
	})
}

// whyNoEndpoint returns why no request at all is sent to the target of a node.
func (x *routeExplanation) whyNoEndpoint(a directory.Announcement) (reasons []string) {
	if x.view.IsEvacuated(a.Zone) {
		reasons = append(reasons, reasonZoneEvacuated)
	}
	if a.Target.Leaving || x.view.Signals[a.Target.Process()].Leaving {
		reasons = append(reasons, explainTargetLeaves)
	} else if !a.Target.Serving {
		reasons = append(reasons, explainNotServing)
	}
	if a.Stopped {
		reasons = append(reasons, explainNodeStopped)
	}
	return reasons
}

// describeEndpoint adds what is known of an endpoint.
func describeEndpoint(t *routequery.Target, e balance.Endpoint, d balance.Explanation, c *call, allowed bool, own mesh.AvailabilityZone) {
	t.Candidate = allowed && d.Eligible
	t.Admitted = t.Candidate && d.Admissible
	t.WaitMS, t.ResponseMS, t.Cost = roundMS(d.Wait), roundMS(d.Response), round(d.Cost)
	t.Load, t.OwnInFlight, t.Room, t.FailureRate, t.Disturbance = round(d.Load), d.OwnInFlight, d.Room, round(d.FailureRate), round(d.Disturbance)
	t.UnreachableForMS, t.OverdueMS = roundMS(d.UnreachableFor), roundMS(d.Overdue)
	if d.RateLimited {
		limit, left := round(d.RateLimit), round(d.RateAvailable)
		t.RateLimit, t.RateLeft = &limit, &left
	}
	if d.Reported {
		age := roundMS(d.ReportAge)
		t.ReportAgeMS = &age
	}
	room := float64(max(e.Slots, 1))
	if d.Room > 0 {
		room = min(room, float64(d.Room))
	}
	for _, r := range []struct {
		name  string
		holds bool
	}{
		{explainUnreachable, d.UnreachableFor > 0},
		{explainNodeLeaves, e.Leaving},
		{explainUnresponsive, e.Unresponsive || d.Overdue > 0},
		{explainPartitioned, d.Partitioned},
		{explainColdUsedUp, d.ColdUsedUp},
		{explainCold, e.Cold && !d.ColdUsedUp},
		{explainRateLimited, d.RateLimited && !d.ColdUsedUp && d.RateAvailable < 1},
		{explainNoRoom, d.Load+1 > room},
		{explainLate, d.Response > c.softDeadline-c.arrived},
		{explainDisturbed, d.Disturbance > explainedDisturbance},
		{explainFailing, d.FailureRate >= explainedFailureRate},
		{explainNoReport, !d.Reported},
		{explainNotChosenZone, e.Zone != own},
	} {
		if r.holds {
			t.Reasons = append(t.Reasons, r.name)
		}
	}
}

// messageAges returns the time since the last message of each other node.
func (n *Node) messageAges(v *control.View) map[mesh.NodeID]time.Duration {
	n.controlMu.Lock()
	defer n.controlMu.Unlock()
	ages := make(map[mesh.NodeID]time.Duration, len(v.Announcements))
	for id := range v.Announcements {
		if id != n.settings.Node {
			ages[id] = n.control.SinceLastMessage(n.clock.time(), id)
		}
	}
	return ages
}

// refusal returns the refusal that the caller is expected to get, nil if there is none. The checks are
// in the order of serveOutbound and runAttempts.
func (x *routeExplanation) refusal(q routequery.Question, found, secondAdmits bool) *routequery.Refusal {
	n, c := x.n, x.c
	config := x.view.Config
	refused := func(reason string, after time.Duration) *routequery.Refusal {
		return &routequery.Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfterS: after.Seconds(), RetryAfterMaxS: after.Seconds()}
	}
	left := c.deadline - c.arrived
	spread := func(reason string, wait time.Duration) *routequery.Refusal {
		r := refused(reason, retryAfter(wait, left, 0))
		r.RetryAfterS, r.RetryAfterMaxS = round(r.RetryAfterS), round(retryAfter(wait, left, 1).Seconds())
		return r
	}
	if n.refusing.Load() {
		return refused(reasonStopping, stoppingRetryAfter)
	}
	if c.organisation == nil {
		if _, reason := judge(config, c.route, callerKey{problem: reasonKeyMissing}); reason != "" {
			return &routequery.Refusal{Status: http.StatusUnauthorized, Reason: reason}
		}
	}
	if _, err := requestURL(q.Path); err != nil {
		return &routequery.Refusal{Status: http.StatusBadRequest, Reason: "bad-path"}
	}
	if overLimit(config.Limits, q.Bytes) {
		return &routequery.Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body-too-large"}
	}
	if x.view.CrashingRequests[c.requestIdentity] {
		after := time.Duration(maxRetryAfterRatio * float64(left))
		return refused(reasonCrashing, after)
	}
	if !found {
		return spread(n.reasonWithoutTarget(c), noTargetRetryAfter)
	}
	if r := x.capRefusal(spread); r != nil {
		return r
	}
	states := x.states.Explain(x.first.Endpoint, n.balanceRequest(c, x.now), x.now, n.random)
	if x.first.Admissible || secondAdmits || !states.ColdUsedUp && states.Response <= c.softDeadline-x.now {
		return nil
	}
	reason := reasonQueue
	switch {
	case states.ColdUsedUp:
		reason = reasonTargetCold
	case states.RateLimited && states.RateAvailable < 1:
		reason = reasonTargetLimit
	}
	r := spread(reason, x.first.ExpectedWait)
	r.Expected = true
	return r
}

// capRefusal returns the refusal by the usage cap of the organisation.
func (x *routeExplanation) capRefusal(spread func(string, time.Duration) *routequery.Refusal) *routequery.Refusal {
	c := x.answer.Cap
	if c == nil {
		return nil
	}
	switch c.Verdict {
	case quota.OverCap.String():
		after := capRetryAfter(x.n.caps.outlook(x.c.organisation.Name).Decision.RetryAfter)
		return &routequery.Refusal{Status: http.StatusTooManyRequests, Reason: reasonOverCap, RetryAfterS: after, RetryAfterMaxS: after}
	case quota.Unknown.String():
		r := spread(reasonCapUnknown, minUnknownRetryAfter)
		r.RetryAfterMaxS = spread(reasonCapUnknown, minUnknownRetryAfter+unknownRetryAfterSpread).RetryAfterMaxS
		return r
	default:
		return nil
	}
}

func (x *routeExplanation) explainCap() {
	if x.c.organisation == nil || !x.c.organisation.Capped() {
		return
	}
	o := x.n.caps.outlook(x.c.organisation.Name)
	if !o.Capped {
		return
	}
	c := &routequery.Cap{
		PerSecond: o.Cap.Rate, Burst: o.Cap.Burst, Verdict: o.Decision.Verdict.String(), Allocator: string(o.Allocator),
		AtHand: o.AtHand, OwnShare: round(o.OwnShare), Lent: o.Lent, OwnTokens: round(o.OwnTokens), NextTokenMS: roundMS(o.NextTokenIn),
	}
	if o.IsAllocator {
		tokens, share := round(o.AllocatorTokens), round(o.LeasedShare)
		c.AllocatorTokens, c.LeasedShare = &tokens, &share
	}
	x.answer.Cap = c
}

// retriesLeft returns the retries that are left of a part of the budget of the service.
func (x *routeExplanation) retriesLeft(share, slack float64) int {
	budget := &retry.Budget{Window: x.n.settings.RetryWindow}
	if b, ok := x.n.budgets.Load(x.c.service); ok {
		budget = b.(*retry.Budget)
	}
	return budget.Left(x.now, share, slack)
}

func (x *routeExplanation) explainRetries() {
	ran := *x.c
	ran.failure = &result{}
	share, slack := x.n.retryShare(&ran)
	x.answer.Retries.Left = x.retriesLeft(share, slack)
	share, slack = x.n.retryShare(x.c)
	x.answer.Retries.LeftNotRun = x.retriesLeft(share, slack)
}

// explainCopy tells whether a copy of the request would be sent if the first attempt took longer than
// usual.
func (x *routeExplanation) explainCopy() {
	n, c := x.n, x.c
	out := &x.answer.Copy
	h := n.hedging.Load()
	if h == nil || !c.route.Kind.Repeatable() {
		out.Reason = string(hedge.ReasonOff)
		if h != nil {
			out.Reason = string(hedge.ReasonNotRepeatable)
		}
		return
	}
	e := x.first.Endpoint
	a := &hedgedAttempt{node: n, hedging: h, expected: hedgeTarget(e, x.states.Estimate(e, n.balanceRequest(c, x.now), x.now))}
	d := h.preview(a.request(c, 0, nil), x.now, nil)
	if d.Action == hedge.Never {
		out.Reason = string(d.Reason)
		return
	}
	out.AfterMS = roundMS(d.After)
	c.tried = append(c.tried, e.Node)
	endpoint, second := n.copyTargetOf(x.states, x.endpoints, c, x.now)
	// The first attempt is assumed to run.
	a.running = []*parallelAttempt{nil}
	r := a.request(c, d.After, second)
	c.tried = nil
	r.TimeLeft -= d.After
	// The conditions of a copy are examined just after the usual time.
	d = h.preview(r, x.now, func() bool {
		share, slack := n.copyShare()
		return x.retriesLeft(share, slack) > 0 && (x.answer.Cap == nil || x.answer.Cap.Verdict == quota.Admitted.String())
	})
	out.Possible, out.Reason = d.Action == hedge.Send, string(d.Reason)
	if second != nil {
		out.Target = endpoint.Target
	}
}

// preview returns what decide would return, without charging the limit.
func (h *hedging) preview(r hedge.Request, now time.Duration, allow func() bool) hedge.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedger.Preview(r, now, allow)
}
