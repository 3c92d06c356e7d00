package sidecar

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"heathercroft.example/heathercroft/internal/bounded"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/hedge"
	"heathercroft.example/heathercroft/pkg/quota"
	"heathercroft.example/heathercroft/pkg/retry"
)

// copyBudgetShare is the part of a node's share of the retry budget that copies may use. The rest is
// for requests whose attempt failed.
const copyBudgetShare = 0.5

// hedging decides about copies of requests.
type hedging struct {
	mu     sync.Mutex
	hedger *hedge.Hedger
	// held counts the requests that got no copy, for the sampling of their log lines.
	held atomic.Uint64
}

// SetHedging sets the limits of copies. It may be called while the node runs. A policy that allows
// none takes hedging off the request path.
func (n *Node) SetHedging(p hedge.Policy) {
	h := n.hedging.Load()
	switch {
	case h != nil:
		h.mu.Lock()
		h.hedger.SetPolicy(p)
		h.mu.Unlock()
		if !p.Enabled() {
			n.hedging.Store(nil)
		}
	case p.Enabled():
		n.hedging.Store(&hedging{hedger: hedge.New(p)})
	}
}

func (h *hedging) decide(r hedge.Request, now time.Duration, allow func() bool) hedge.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedger.Decide(r, now, allow)
}

// recordRequest counts a request that may be repeated.
func (h *hedging) recordRequest(c *call, nodes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedger.RecordRequest(c.route.Name, c.service, nodes)
}

// observeForCopies records what the result of an attempt shows about the time of its route and the
// room of its target.
func (n *Node) observeForCopies(c *call, a *callAttempt, res result) {
	h := n.hedging.Load()
	if h == nil || !c.route.Kind.Repeatable() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hedger.Covers(c.route.Name, c.service) {
		return
	}
	now := n.clock.now()
	if res.succeeded() {
		h.hedger.RecordTime(c.route.Name, res.targetTime, now)
	}
	if res.loadKnown {
		h.hedger.RecordReply(c.service, a.endpoint.Target, hedge.Reply{Refused: refusedForRoom(res), Queued: res.load.Waiting > 0}, now)
	}
}

// refusedForRoom reports whether a target or its node had no room for a request.
func refusedForRoom(res result) bool {
	switch res.reason {
	case reasonQueue, reasonWaited, reasonShare, reasonTargetLimit, reasonTargetCold, reasonMemory:
		return true
	default:
		return res.outcome == retry.RefusedByTarget
	}
}

// parallelAttempt is an attempt that may run beside others.
type parallelAttempt struct {
	callAttempt
	cancel context.CancelFunc
	lease  *bounded.Lease
}

// endedAttempt is the end of a parallel attempt.
type endedAttempt struct {
	*parallelAttempt
	result result
	// panicked is the value of a panic.
	panicked any
}

// start begins an attempt and runs it in a goroutine, which sends its end to ended.
func (n *Node) start(ctx context.Context, c *call, e balance.Endpoint, body *attemptBody, isCopy bool, ended chan<- endedAttempt) *parallelAttempt {
	ctx, cancel := context.WithCancel(ctx)
	lease := n.messages.Lease()
	p := &parallelAttempt{callAttempt: n.beginAttempt(c, e, body, lease, isCopy), cancel: cancel, lease: lease}
	go func() {
		end := endedAttempt{parallelAttempt: p}
		defer func() {
			if r := recover(); r != nil {
				end.panicked = r
				n.logger.Error("handler_panicked", "request", p.hop.ID, "panic", fmt.Sprint(r), "stack", string(debug.Stack()))
			}
			body.end()
			ended <- end
		}()
		end.result = n.runAttempt(ctx, &p.callAttempt)
	}()
	return p
}

// hedgedAttempt is an attempt of a call and the copies beside it. The call is an argument of its
// methods, so that calls without copies need not be on the heap.
type hedgedAttempt struct {
	node    *Node
	hedging *hedging
	// expected is what was expected of the first attempt when it began.
	expected hedge.Target
	first    *parallelAttempt
	running  []*parallelAttempt
	// ended has room for all attempts, so that a cancelled one does not wait for its receiver.
	ended chan endedAttempt
	// copied is set if a copy was sent. last is the last decision, made at lastElapsed about second.
	copied      bool
	last        hedge.Decision
	lastElapsed time.Duration
	second      *hedge.Target
}

// attemptWithCopies sends the call to one target, and copies of it to others if it takes longer than
// usual and the policy allows that. It returns the first successful result, or the last one.
func (n *Node) attemptWithCopies(ctx context.Context, c *call, e balance.Endpoint, body *attemptBody) result {
	h := n.hedging.Load()
	if h == nil || !c.route.Kind.Repeatable() {
		return n.attempt(ctx, c, e, body)
	}
	if len(c.tried) == 0 {
		h.recordRequest(c, len(n.view.Load().Announcements))
	}
	a := &hedgedAttempt{node: n, hedging: h, expected: n.expectedOf(c, e)}
	d := h.decide(a.request(c, 0, nil), n.clock.now(), nil)
	a.last = d
	if d.Action == hedge.Never {
		a.logHeld(c)
		return n.attempt(ctx, c, e, body)
	}
	a.ended = make(chan endedAttempt, maxNodesTried)
	a.first = n.start(ctx, c, e, body, false, a.ended)
	a.running = []*parallelAttempt{a.first}
	return a.wait(ctx, c, d.After)
}

// wait waits for the first successful result and sends copies meanwhile.
func (a *hedgedAttempt) wait(ctx context.Context, c *call, delay time.Duration) result {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	defer a.cancelRunning(c)
	var final *result
	for {
		select {
		case end := <-a.ended:
			a.end(c, end, ctx.Err() != nil)
			res := end.result
			if res.succeeded() {
				a.logEnded(c, end.parallelAttempt)
				return res
			}
			if res.callFailed && final == nil {
				// As without copies, the call is not sent again after it.
				final = &res
			}
			if len(a.running) == 0 {
				a.logEnded(c, nil)
				if final != nil {
					return *final
				}
				return res
			}
			c.recordFailure(res)
			if end.isCopy && final == nil {
				timer.Reset(0)
			} else {
				// A running copy takes the place of the attempt that would follow.
				timer.Stop()
			}
		case <-timer.C:
			if after, again := a.decide(ctx, c); again {
				timer.Reset(after)
			}
		}
	}
}

// end records the end of an attempt.
func (a *hedgedAttempt) end(c *call, end endedAttempt, callEnded bool) {
	n := a.node
	a.running = slices.DeleteFunc(a.running, func(p *parallelAttempt) bool { return p == end.parallelAttempt })
	end.cancel()
	c.attemptLeases = append(c.attemptLeases, end.lease)
	if end.panicked != nil {
		panic(end.panicked)
	}
	n.endAttempt(c, &end.callAttempt, end.result, callEnded)
	if !end.result.outcome.NotRun() {
		return
	}
	if end.isCopy || len(a.running) > 0 && c.charge.decision.Counted && c.charge.organisation == c.copyCharge.organisation {
		// At most one of the two attempts runs. The token of the call counts for it.
		n.caps.giveBack(&c.copyCharge)
	}
	if end.isCopy {
		n.metrics.copiesRefused.Add(1)
		if !reachedTarget(end.result.outcome) {
			n.retryBudget(c.service).Return(end.began, n.clock.now())
		}
	}
}

// decide sends a copy if the time for it has come, and returns when to decide again otherwise.
func (a *hedgedAttempt) decide(ctx context.Context, c *call) (after time.Duration, again bool) {
	n := a.node
	if ctx.Err() != nil || len(a.running) != 1 || a.running[0] != a.first {
		return 0, false
	}
	endpoint, second := n.chooseCopyTarget(c)
	now := n.clock.now()
	elapsed := now - a.first.began
	d := a.hedging.decide(a.request(c, elapsed, second), now, func() bool { return n.allowCopy(c) })
	a.last, a.lastElapsed, a.second = d, elapsed, second
	switch d.Action {
	case hedge.Send:
	case hedge.Wait:
		return d.After - elapsed, true
	default:
		return 0, false
	}
	body, ok := c.body.copy()
	if !ok {
		panic("a copy is decided only for a body that is kept")
	}
	a.copied = true
	n.metrics.copiesSent.Add(1)
	n.logger.Info("copy_sent", "request", c.id, "route", c.route.Name, "service", c.service,
		"first", a.first.endpoint.Target, "first_zone", string(a.first.endpoint.Zone), "second", endpoint.Target, "second_zone", string(endpoint.Zone),
		"elapsed_ms", elapsed.Milliseconds(), "usual_ms", d.Delay.Milliseconds(), "remaining_ms", d.Remaining.Milliseconds(),
		"expected_ms", second.Expected.Milliseconds(), "load", second.Load, "slots", second.Slots, "failure_rate", second.FailureRate,
		"left_ms", (c.deadline - now).Milliseconds())
	a.running = append(a.running, n.start(ctx, c, endpoint, body, true, a.ended))
	return 0, false
}

// request describes the call for a decision. second is nil if there is no other target, or before
// one is needed.
func (a *hedgedAttempt) request(c *call, elapsed time.Duration, second *hedge.Target) hedge.Request {
	n := a.node
	view := n.view.Load()
	_, suspect := view.CrashSuspects[c.requestIdentity]
	left := maxNodesTried - len(c.tried)
	if len(a.running) == 0 {
		// The first attempt is about to begin.
		left--
	}
	if c.route.MaxAttempts > 0 {
		left = min(left, c.route.MaxAttempts-c.targetsReached-1)
	}
	service := view.Endpoints[c.service]
	return hedge.Request{
		Route: c.route.Name, Service: c.service,
		Repeatable: n.mayRunTwice(c.r), BodyKept: c.body == nil || c.body.rest == nil,
		CrashSuspect: suspect || c.crashTrial || view.CrashingRequests[c.requestIdentity],
		MoveOpen:     service != nil && service.MoveOpen,
		Stopping:     n.stopping.Load(),
		AttemptsLeft: left, Elapsed: elapsed, TimeLeft: c.deadline - n.clock.now(),
		First: a.expected, Second: second, Nodes: len(view.Announcements),
	}
}

// cancelRunning cancels the attempts that are still running. A cancelled attempt says nothing about
// its target.
func (a *hedgedAttempt) cancelRunning(c *call) {
	if len(a.running) == 0 {
		return
	}
	n := a.node
	now := n.clock.now()
	for _, p := range a.running {
		p.cancel()
		n.balanceMu.Lock()
		n.balancer.End(p.endpoint, c.expectedBytes)
		n.balanceMu.Unlock()
		c.recordAttempt(&p.callAttempt, result{outcome: retry.TimedOut, reason: reasonCancelled}, now)
		n.metrics.copiesCancelled.Add(1)
		a.hedging.mu.Lock()
		a.hedging.hedger.RecordCancelled(c.route.Name, now-p.began, now)
		a.hedging.mu.Unlock()
	}
	count, ended := len(a.running), a.ended
	go func() {
		// The memory of a response is in use until its attempt ends.
		for range count {
			(<-ended).lease.Release()
		}
	}()
}

// reasonCancelled is the reason of an attempt that was cancelled since another one ended first.
const reasonCancelled = "cancelled"

// logEnded logs and counts how a call with copies ended, or why it got none. winner is nil if no
// attempt succeeded.
func (a *hedgedAttempt) logEnded(c *call, winner *parallelAttempt) {
	n := a.node
	now := n.clock.now()
	if !a.copied {
		a.logHeld(c)
		return
	}
	by := "none"
	switch {
	case winner == nil:
	case winner.isCopy:
		by = "copy"
		n.metrics.copiesWon.Add(1)
	default:
		by = "first"
	}
	n.logger.Info("copy_ended", "request", c.id, "route", c.route.Name, "service", c.service, "answered_by", by,
		"took_ms", (now - a.first.began).Milliseconds(), "cancelled", len(a.running))
}

// logHeld counts a call that got no copy by the last decision, and logs a sample of them. Calls that
// end in their usual time, and calls without a policy for them, are not counted.
func (a *hedgedAttempt) logHeld(c *call) {
	d := a.last
	if d.Reason == "" || d.Reason == hedge.ReasonNotLate || d.Reason == hedge.ReasonOff {
		return
	}
	n := a.node
	n.metrics.copiesHeld.Add(string(d.Reason), 1)
	if a.hedging.held.Add(1)%heldLogInterval != 1 {
		return
	}
	fields := []any{
		"request", c.id, "route", c.route.Name, "service", c.service, "reason", string(d.Reason), "elapsed_ms", a.lastElapsed.Milliseconds(),
		"usual_ms", d.Delay.Milliseconds(), "remaining_ms", d.Remaining.Milliseconds(), "left_ms", (c.deadline - n.clock.now()).Milliseconds(),
	}
	if s := a.second; s != nil {
		fields = append(fields, "expected_ms", s.Expected.Milliseconds(), "load", s.Load, "slots", s.Slots, "failure_rate", s.FailureRate)
	}
	n.logger.Info("copy_held", fields...)
}

// heldLogInterval is the number of calls without a copy per log line.
const heldLogInterval = 64

// expectedOf returns what this node expects of the call at an endpoint.
func (n *Node) expectedOf(c *call, e balance.Endpoint) hedge.Target {
	now := n.clock.now()
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	return hedgeTarget(e, n.balancer.Estimate(e, n.balanceRequest(c, now), now))
}

func hedgeTarget(e balance.Endpoint, x balance.Estimate) hedge.Target {
	return hedge.Target{Wait: x.Wait, Expected: x.Response, Load: x.Load, Slots: e.Slots, FailureRate: x.FailureRate}
}

// chooseCopyTarget selects the target of a copy by the same costs as for a first attempt, among those
// that are warm, stay and respond, and if possible have room. The target is nil if there is none.
func (n *Node) chooseCopyTarget(c *call) (balance.Endpoint, *hedge.Target) {
	all, _ := n.candidates(c)
	now := n.clock.now()
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	return n.copyTargetOf(n.balancer, all, c, now)
}

// copyTargetOf selects the target of a copy among endpoints by the states in b.
func (n *Node) copyTargetOf(b *balance.Balancer, all []balance.Endpoint, c *call, now time.Duration) (balance.Endpoint, *hedge.Target) {
	request := n.balanceRequest(c, now)
	// The objective may have passed. Costs are compared by the time that is left for the call.
	request.Objective = max(request.Objective, (c.deadline-now)/2)
	var usable, free []balance.Endpoint
	for _, e := range all {
		if e.Cold || slices.Contains(c.tried, e.Node) {
			continue
		}
		x := b.Estimate(e, request, now)
		if x.LastResort {
			continue
		}
		usable = append(usable, e)
		if t := hedgeTarget(e, x); t.HasRoom() {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		free = usable
	}
	choice, ok := b.Choose(free, request, now, n.random)
	if !ok {
		return balance.Endpoint{}, nil
	}
	t := hedgeTarget(choice.Endpoint, b.Estimate(choice.Endpoint, request, now))
	return choice.Endpoint, &t
}

// allowCopy charges the usage cap and the shared retry budget for a copy.
func (n *Node) allowCopy(c *call) bool {
	if !n.judgeAgain(c) {
		return false
	}
	share, slack := n.copyShare()
	budget := n.retryBudget(c.service)
	// A token that is asked for and not used is lost to the organisation.
	if !budget.HasRoom(n.clock.now(), share, slack, 1) || !n.takeCopyToken(c) {
		return false
	}
	if !budget.AllowNodeShare(n.clock.now(), share, slack) {
		n.caps.giveBack(&c.copyCharge)
		return false
	}
	return true
}

// copyShare returns the part of the retry budget that this node may use for copies.
func (n *Node) copyShare() (share, slack float64) {
	share, slack = retry.NodeShare(n.settings.RetryRatio, n.settings.RetrySlack, len(n.view.Load().Announcements), false)
	return copyBudgetShare * share, copyBudgetShare * slack
}

// takeCopyToken takes a token of the cap of the call's organisation, if one is at hand. A copy does
// not wait for the allocator.
func (n *Node) takeCopyToken(c *call) bool {
	c.copyCharge = charge{}
	if c.nested || c.organisation == nil || !c.organisation.Capped() {
		return true
	}
	d, decided := n.caps.begin(c.organisation.Name)
	if d.Verdict == quota.Waiting {
		d = n.caps.giveUp(c.organisation.Name, d, decided)
	}
	c.copyCharge = charge{organisation: c.organisation.Name, decision: d}
	return d.Verdict == quota.Admitted
}

// releaseAttempts releases the memory of the responses to the attempts that have ended.
func (c *call) releaseAttempts() {
	for _, l := range c.attemptLeases {
		l.Release()
	}
}
