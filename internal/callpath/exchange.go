package callpath

import (
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/httpresponse"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/retry"
)

// serveTarget passes a request from another node to the local target, as node B.
func (n *Node) serveTarget(c *call) {
	service, version, ok := strings.Cut(c.target, "/")
	if !ok {
		n.refuseCall(c, NotRun(CodeBadRequest, HeaderTarget+" is not service/version"))
		return
	}
	if c.key != "" {
		if c.fence, ok = parseFence(c.req.Header.Get(HeaderFence)); !ok {
			n.refuseCall(c, NotRun(CodeBadRequest, HeaderFence+" is missing or malformed on a keyed request"))
			return
		}
	}
	a := n.exchange(c, service, version, c.inherited)
	if a.resp != nil {
		writeSignals(a.resp.Header, a.signals)
	}
	if a.resp != nil && a.timing.known {
		a.resp.Header[HeaderTargetTime] = []string{a.timing.String()}
	}
	n.deliver(c, a)
}

func formatFence(f FencingToken) string {
	return strconv.Itoa(f.Slot) + "/" + strconv.FormatUint(uint64(f.Epoch), 10)
}

func parseFence(s string) (FencingToken, bool) {
	slot, epoch, ok := strings.Cut(s, "/")
	if !ok {
		return FencingToken{}, false
	}
	i, err := strconv.Atoi(slot)
	e, err2 := strconv.ParseUint(epoch, 10, 64)
	return FencingToken{Slot: i, Epoch: record.Epoch(e)}, err == nil && err2 == nil
}

// exchange sends the call to the local target if all checks allow it and a slot is
// free.
func (n *Node) exchange(c *call, service, version string, attempt int) *attemptResult {
	if _, refusal := n.localTarget(service, version); refusal != nil {
		return refused(retry.RefusedByNode, refusal)
	}
	if refusal := n.checkCrash(c); refusal != nil {
		return refused(retry.MayHaveRun, refusal)
	}
	n.adoptKnownLimit(c)
	upload := n.isUpload(c.req.ContentLength)
	started := n.deps.Now()
	if refusal := n.limiter.acquire(c.ctx, upload, n.settings.QueueTimeout); refusal != nil {
		return refused(retry.RefusedByNode, refusal)
	}
	n.metrics.queueWaitMicros.Add((n.deps.Now() - started).Microseconds())
	n.metrics.targetRequests.Add(1)
	n.metrics.inFlightAtTarget.Add(1)
	if upload {
		n.metrics.uploads.Add(1)
	}
	release := func(bool) {
		n.limiter.release(upload)
		n.metrics.inFlightAtTarget.Add(-1)
	}
	// The target may have said that it leaves during the wait.
	target, refusal := n.localTarget(service, version)
	if refusal != nil {
		release(false)
		return refused(retry.RefusedByNode, refusal)
	}
	// The fencing token is checked last, so that nothing waits between the check and
	// the request.
	if c.key != "" {
		if refusal := n.checkFence(c); refusal != nil {
			release(false)
			return refused(retry.RefusedByNode, refusal)
		}
	}
	a := n.roundTrip(c, target, attempt)
	a.timing.coldStart = n.deps.ObserveColdStart != nil && n.deps.ObserveColdStart()
	if a.resp == nil {
		release(false)
		return a
	}
	a.afterBody(release)
	return a
}

func (n *Node) localTarget(service, version string) (mesh.Target, *Refusal) {
	t, ok := n.deps.Target()
	if !ok || t.Service != service || t.Version != version {
		return t, NotRun(CodeNoTarget, "no target of this service and version is beside the node")
	}
	if t.State == mesh.TargetLeaving || n.hasLeft(t) {
		return t, NotRun(CodeDraining, "the target drains")
	}
	n.limiter.setTarget(processOf(t))
	n.resize(t.Slots, t.Connections)
	return t, nil
}

func (n *Node) checkFence(c *call) *Refusal {
	if n.deps.Keys == nil {
		return NotRun(CodeViewUnconfirmed, "the node keeps no key slots")
	}
	return n.deps.Keys.CheckFence(c.key, c.fence)
}

// roundTrip sends the request on an idle connection, or on a new one if the idle
// one was lost before a byte was written.
func (n *Node) roundTrip(c *call, target mesh.Target, attempt int) *attemptResult {
	addr := target.Address.String()
	for fresh := false; ; fresh = true {
		conn, err := n.pool.get(c.ctx, addr, fresh)
		if err != nil {
			if c.ctx.Err() != nil {
				return canceledResult(c, false)
			}
			return refused(retry.ConnectionRefused, NotRun(CodeUnreachable, err.Error()))
		}
		if !conn.reused {
			n.metrics.targetConnections.Add(1)
		}
		a, again := n.tryConnection(c, conn, target, attempt)
		if !again {
			return a
		}
	}
}

func (n *Node) tryConnection(c *call, conn *targetConn, target mesh.Target, attempt int) (a *attemptResult, again bool) {
	forward, stop := c.informationalForwarder()
	defer stop()
	ctx := httptrace.WithClientTrace(c.ctx, &httptrace.ClientTrace{Got1xxResponse: forward})
	req, ok := n.outbound(ctx, c, target.Address.String(), attempt)
	if !ok {
		n.pool.put(conn, false)
		return bodyConsumedResult(), false
	}
	if req.Body == nil {
		req.Body = http.NoBody
	}
	started := n.deps.Now()
	lost := func() { c.body.abort(c.ctx.Err() != nil) }
	conn.raw.onLost.Store(&lost)
	resp, err := conn.client.RoundTrip(req)
	if err != nil {
		wrote := conn.raw.wrote.Load()
		n.pool.put(conn, false)
		n.metrics.brokenConnections.Add(1)
		if !wrote && conn.reused && c.ctx.Err() == nil && c.body.rewind() {
			return nil, true
		}
		return n.targetFailed(c, err, wrote), false
	}
	a = &attemptResult{outcome: retry.ResponseReceived, resp: resp}
	a.timing = targetTiming{known: true, elapsed: n.deps.Now() - started, freshConnection: !conn.reused}
	// A faulty target may repeat a refusal, which would then tell of the next request on the
	// connection that it did not run.
	reusable := !refusesAsNotRun(resp)
	a.afterBody(func(complete bool) {
		n.pool.put(conn, complete && reusable)
		if complete {
			n.recordCompletedRequest(c)
		} else if !c.ended() {
			n.recordLostRequest(c)
		}
	})
	if err := checkResponse(c.req.Method, resp); err != nil {
		a.discard()
		return refused(retry.MayHaveRun, MayHaveRun(CodeBadResponse, err.Error())), false
	}
	sanitizeResponse(a)
	n.readSignals(c, a, target, started)
	return a, false
}

func (n *Node) targetFailed(c *call, err error, wrote bool) *attemptResult {
	switch {
	case c.ended():
		return canceledResult(c, wrote)
	case !wrote:
		return refused(retry.ResetBeforeWrite, NotRun(CodeUnreachable, "connection to the target lost before the request was sent"))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refused(retry.TimedOut, MayHaveRun(CodeUnresponsive, "the target made no progress"))
	case errors.Is(err, httpresponse.ErrMalformed):
		n.recordLostRequest(c)
		return refused(retry.MayHaveRun, MayHaveRun(CodeBadResponse, err.Error()))
	default:
		n.recordLostRequest(c)
		return refused(retry.ResetAfterWrite, MayHaveRun(CodeConnectionLost, "connection to the target lost: "+err.Error()))
	}
}

// errUnframed reports a response whose end cannot be told from a lost connection.
var errUnframed = errors.New("the answer has neither a length nor chunks, so its end cannot be told from a broken connection")

// checkResponse returns why a response cannot be passed on, or nil.
func checkResponse(method string, resp *http.Response) error {
	if err := httpresponse.Check(resp); err != nil {
		return err
	}
	bodyless := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if !bodyless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errUnframed
	}
	return nil
}

// refusesAsNotRun reports whether a target states that it did not run the request.
func refusesAsNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(OutcomeNotRun)
}

// sanitizeResponse removes the headers that a target may not set. A target may
// state only one outcome: not-run on a 503.
func sanitizeResponse(a *attemptResult) {
	h := a.resp.Header
	removeHopByHop(h)
	removeAll(h, nodeOnly)
	if refusesAsNotRun(a.resp) {
		a.outcome = retry.RefusedByTarget
		return
	}
	delete(h, HeaderOutcome)
}
