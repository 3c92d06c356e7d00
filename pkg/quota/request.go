package quota

import (
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Verdict is what happens to a request.
type Verdict int

// Verdicts.
const (
	// Admitted requests may be sent before the end of their token.
	Admitted Verdict = iota
	// Waiting requests get a verdict when the allocator answers.
	Waiting
	// OverCap requests are rejected, as the cap is used up.
	OverCap
	// Unknown requests are rejected, as the state of the cap is not known.
	Unknown
)

// String returns the name used in logs.
func (v Verdict) String() string {
	names := [...]string{"admitted", "waiting", "over-cap", "unknown"}
	if v < 0 || int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Decision is the verdict about a request.
type Decision struct {
	Verdict Verdict
	// Counted is set for a request of a capped organisation that was admitted. Its token may be
	// used until Until, and returned if the request did not run.
	Counted bool
	Until   time.Duration
	// RetryAfter is when a rejected request may come back: for OverCap when a token is due.
	RetryAfter time.Duration
	// Allocator is the node that decided, empty if this node used its own share.
	Allocator mesh.NodeID
	// Waiter identifies a waiting request.
	Waiter WaiterID
}

// Resolution is the decision about a request that waited.
type Resolution struct {
	Waiter WaiterID
	Decision
}

// Request decides about a request of an organisation. If a call is returned, it is sent to the
// allocator.
func (n *Node) Request(now time.Duration, organisation string) (Decision, *TakeCall) {
	if _, ok := n.caps[organisation]; !ok {
		return Decision{}, nil
	}
	p, ok := n.pockets[organisation]
	if !ok {
		p = &pocket{windowStart: now}
		n.pockets[organisation] = p
	}
	p.countArrival(now)
	to := n.allocatorOf(now, SlotOf(organisation))
	if until, ok := p.pop(now); ok {
		d := Decision{Counted: true, Until: until, Allocator: to.Node}
		if ahead := p.expected(now); 2*len(p.tokens) < ahead && n.mayAsk(p, to, now) {
			return d, n.ask(p, to, organisation, ahead-len(p.tokens), now)
		}
		return d, nil
	}
	switch {
	case to.Node == n.self.Node:
		reply := n.HandleTake(now, TakeRequest{organisation, 1})
		return n.decideLocal(p, reply, organisation, now), nil
	case now < p.retryAt:
		return Decision{Verdict: OverCap, RetryAfter: p.retryAfter(now), Allocator: to.Node}, nil
	case p.call == nil && now < p.failedUntil, p.call != nil && now-p.call.SentAt >= AnswerTime, to == Process{}:
		return n.useOwnShare(now, organisation), nil
	}
	n.lastID++
	p.waiters = append(p.waiters, n.lastID)
	d := Decision{Verdict: Waiting, Waiter: n.lastID}
	if p.call != nil {
		return d, nil
	}
	return d, n.ask(p, to, organisation, max(1, p.expected(now)), now)
}

// mayAsk reports whether the allocator is asked for tokens in advance.
func (n *Node) mayAsk(p *pocket, to Process, now time.Duration) bool {
	return p.call == nil && now >= p.retryAt && now >= p.failedUntil && to.Node != n.self.Node && to != Process{}
}

func (n *Node) ask(p *pocket, to Process, organisation string, wanted int, now time.Duration) *TakeCall {
	p.call = &TakeCall{To: to, Request: TakeRequest{organisation, wanted}, SentAt: now}
	return p.call
}

// allocatorOf returns the node to ask for tokens. While a former allocator has this node's share,
// it probably still has those of others, and the new one has none.
func (n *Node) allocatorOf(now time.Duration, slot Slot) Process {
	if n.lender.lent(slot, now) {
		to := n.lender.loans[slot].to
		if m, ok := n.members[to.Node]; ok && m.Process == to && !m.silent && !m.Leaving {
			return to
		}
	}
	return n.chosen[slot]
}

// decideLocal decides about a request at the node that is the allocator itself.
func (n *Node) decideLocal(p *pocket, reply TakeReply, organisation string, now time.Duration) Decision {
	switch {
	case reply.Unknown:
		return n.useOwnShare(now, organisation)
	case reply.Granted > 0:
		return Decision{Counted: true, Until: now + TokenLife, Allocator: n.self.Node}
	default:
		n.learnRetry(p, reply, now)
		return Decision{Verdict: OverCap, RetryAfter: p.retryAfter(now), Allocator: n.self.Node}
	}
}

// learnRetry records when the next token is due.
func (n *Node) learnRetry(p *pocket, reply TakeReply, now time.Duration) {
	if now >= p.retryAt {
		p.rejected = 0
	}
	p.retryAt = now + max(fromMilliseconds(min(max(reply.RetryMS, 0), maxRetryMS)), minRetryTime)
	p.perToken = fromMilliseconds(min(max(reply.PerTokenMS, 0), maxRetryMS))
}

// minRetryTime bounds how often a node asks for tokens of an organisation that is over its cap. The
// tokens of that time are saved by the allocator meanwhile.
const minRetryTime = 10 * time.Millisecond

// maxRetryMS bounds what an allocator may tell of its next token.
const maxRetryMS = 3_600_000

// useOwnShare decides with the node's own share: the allocator does not answer.
func (n *Node) useOwnShare(now time.Duration, organisation string) Decision {
	c, ok := n.caps[organisation]
	if !ok {
		return Decision{}
	}
	if n.lender.take(now, organisation, c, n.share(now)) {
		return Decision{Counted: true, Until: now + TokenLife}
	}
	return Decision{Verdict: Unknown}
}

// TakeAnswered processes the reply to a call for tokens. It returns the decisions about requests
// that waited, and another call if some have to wait for that.
func (n *Node) TakeAnswered(now time.Duration, call *TakeCall, reply TakeReply) ([]Resolution, *TakeCall) {
	n.heardFrom(now, call.To)
	organisation := call.Request.Organisation
	p, ok := n.pockets[organisation]
	if !ok {
		return nil, nil
	}
	if p.call == call {
		p.call = nil
	}
	if _, ok := n.caps[organisation]; !ok {
		return n.resolveAll(p, Decision{}), nil
	}
	p.put(min(max(reply.Granted, 0), call.Request.Wanted), call.SentAt+TokenLife, now)
	var out []Resolution
	for len(p.waiters) > 0 {
		until, ok := p.pop(now)
		if !ok {
			break
		}
		out = append(out, Resolution{p.waiters[0], Decision{Counted: true, Until: until, Allocator: call.To.Node}})
		p.waiters = p.waiters[1:]
	}
	if reply.Unknown {
		p.failedUntil = now + askAgainTime
		return append(out, n.resolveOwnShare(now, p, organisation)...), nil
	}
	if reply.Granted < call.Request.Wanted && reply.RetryMS > 0 {
		n.learnRetry(p, reply, now)
		for _, id := range p.waiters {
			out = append(out, Resolution{id, Decision{Verdict: OverCap, RetryAfter: p.retryAfter(now), Allocator: call.To.Node}})
		}
		p.waiters = nil
		return out, nil
	}
	if len(p.waiters) == 0 || p.call != nil {
		return out, nil
	}
	to := n.allocatorOf(now, SlotOf(organisation))
	if to.Node == n.self.Node || to == (Process{}) {
		return append(out, n.resolveOwnShare(now, p, organisation)...), nil
	}
	return out, n.ask(p, to, organisation, max(len(p.waiters), p.expected(now)), now)
}

// TakeFailed processes the failure of a call for tokens: the allocator did not answer.
func (n *Node) TakeFailed(now time.Duration, call *TakeCall) []Resolution {
	if m, ok := n.members[call.To.Node]; ok && m.Process == call.To && !m.silent && now-m.heardAt > RenewInterval {
		n.markSilent(m)
		n.choose(now)
	}
	organisation := call.Request.Organisation
	p, ok := n.pockets[organisation]
	if !ok || p.call != call {
		return nil
	}
	p.call, p.failedUntil = nil, now+askAgainTime
	return n.resolveOwnShare(now, p, organisation)
}

// GiveUp ends the wait of a request after AnswerTime. ok is false if it no longer waits.
func (n *Node) GiveUp(now time.Duration, organisation string, id WaiterID) (d Decision, ok bool) {
	p, known := n.pockets[organisation]
	if !known {
		return Decision{Verdict: Unknown}, true
	}
	i := slices.Index(p.waiters, id)
	if i < 0 {
		return Decision{}, false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return n.useOwnShare(now, organisation), true
}

// Return puts back the token of a request that did not run and will not run.
func (n *Node) Return(now time.Duration, organisation string, d Decision) {
	if p, ok := n.pockets[organisation]; ok && d.Counted {
		p.put(1, d.Until, now)
	}
}

func (n *Node) resolveAll(p *pocket, d Decision) []Resolution {
	var out []Resolution
	for _, id := range p.waiters {
		out = append(out, Resolution{id, d})
	}
	p.waiters = nil
	return out
}

func (n *Node) resolveOwnShare(now time.Duration, p *pocket, organisation string) []Resolution {
	var out []Resolution
	for _, id := range p.waiters {
		out = append(out, Resolution{id, n.useOwnShare(now, organisation)})
	}
	p.waiters = nil
	return out
}
