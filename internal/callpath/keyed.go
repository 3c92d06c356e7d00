package callpath

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"heathercroft.example/heathercroft/pkg/retry"
	"heathercroft.example/heathercroft/pkg/routing"
)

// serveKeyed forwards a keyed call to the node that owns the key.
func (n *Node) serveKeyed(c *call, route *routing.Route) {
	if n.deps.Keys == nil {
		n.refuseCall(c, NotRun(CodeNoOwner, "the node keeps no key slots"))
		return
	}
	budget := n.budget(route.Service.Name)
	for i := 0; ; i++ {
		owner := n.deps.Keys.Owner(c.key)
		if owner.Refusal != nil {
			n.refuseCall(c, owner.Refusal)
			return
		}
		if owner.Node == n.deps.Node {
			n.execute(c, route)
			return
		}
		a, _ := n.send(c, owner.CallAddress, i, func(h http.Header) {
			h[HeaderHop] = []string{HopOwner}
			h[HeaderDepth] = []string{strconv.Itoa(c.depth)}
		})
		action := retry.Decide(retry.Attempt{
			Outcome: a.outcome, Method: c.req.Method, BodyConsumed: c.body.consumed(), Keyed: true,
			Retries: i, InheritedRetries: c.inherited, TimeLeft: n.timeLeft(c),
		}, func() bool {
			// The same owner would refuse again.
			return n.deps.Keys.Owner(c.key).Node != owner.Node && budget.Allow(n.deps.Now())
		})
		if action != retry.Retry || !c.body.rewind() {
			n.deliver(c, a)
			return
		}
		a.discard()
		n.metrics.retries.Add(1)
	}
}

// serveOwner executes, as the key's owner, a keyed call that another node
// received.
func (n *Node) serveOwner(c *call) {
	route, refusal := n.route(c)
	switch {
	case refusal != nil:
	case c.key == "":
		refusal = NotRun(CodeBadRequest, "the request for the key's owner has no key")
	case n.deps.Keys == nil:
		refusal = NotRun(CodeNoOwner, "the node keeps no key slots")
	default:
		n.execute(c, route)
		return
	}
	n.refuseCall(c, refusal)
}

// execute runs a keyed call at the key's owner, or replays the stored response if
// a request with the key was executed before.
func (n *Node) execute(c *call, route *routing.Route) {
	grant := n.deps.Keys.Begin(c.ctx, c.key, digestOf(c.req))
	switch {
	case grant.Refusal != nil:
		n.refuseCall(c, grant.Refusal)
		return
	case grant.Replay != nil:
		n.writeStored(c, grant.Replay)
		return
	}
	// An execution that panics may have run.
	result := KeyResult{Kind: KeyUnknown}
	defer func() {
		n.metrics.keyedResults.Add(result.Kind.String(), 1)
		n.deps.Keys.Finish(grant, result)
	}()
	c.fence = grant.Fence
	cancel := n.detach(c)
	defer cancel()
	a := n.runAttempts(c, route)
	if a.resp == nil || a.outcome != retry.ResponseReceived {
		if a.outcome.NotRun() && !c.mayHaveRun {
			result.Kind = KeyNotRun
		}
		n.deliver(c, a)
		return
	}
	capture := &capturedBody{}
	header, status := a.resp.Header.Clone(), a.resp.StatusCode
	delivered := n.stream(c, a, capture)
	if capture.complete {
		delete(header, HeaderLoad)
		delete(header, HeaderTargetTime)
		result = KeyResult{Kind: KeyDone, Response: &StoredResponse{
			Status: status, Header: header, Body: capture.data, Oversized: capture.oversized,
		}}
	}
	if !delivered {
		n.metrics.aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// detach lets a keyed call continue for DetachedTimeout after its caller
// disconnected: the caller will retry and then gets the stored response.
func (n *Node) detach(c *call) context.CancelFunc {
	caller := c.req.Context()
	ctx, cancel := n.withDeadline(context.WithoutCancel(caller), c.deadline)
	c.ctx = ctx
	stop := context.AfterFunc(caller, func() {
		limit := time.AfterFunc(n.settings.DetachedTimeout, cancel)
		context.AfterFunc(ctx, func() { limit.Stop() })
	})
	return func() {
		stop()
		cancel()
	}
}

// digestOf identifies the request that a key was used for. The body is not part of
// it, since it is not known before the request runs. Neither is the host, since a
// caller may retry through another node under that node's address.
func digestOf(r *http.Request) uint64 {
	return xxhash.Sum64String(r.Method + "\x00" + r.URL.RequestURI())
}

// String returns the kind's name for metrics.
func (k KeyResultKind) String() string {
	switch k {
	case KeyNotRun:
		return "not-run"
	case KeyDone:
		return "done"
	default:
		return "unknown"
	}
}
