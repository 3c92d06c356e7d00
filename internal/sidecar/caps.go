package sidecar

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/published"
	"heathercroft.example/heathercroft/pkg/quota"
	"heathercroft.example/heathercroft/pkg/retry"
)

const (
	// capTick is the time between two rounds of the lease loop.
	capTick = 100 * time.Millisecond
	// leaseTimeout limits a lease RPC, which is repeated every second.
	leaseTimeout = time.Second
	// takeTimeout limits a take RPC. A late reply still brings tokens for later requests, and the
	// timeout closes a connection that other messages use.
	takeTimeout = 500 * time.Millisecond
	// minUnknownRetryAfter and unknownRetryAfterSpread are the bounds of the wait that is advised
	// while the state of a cap is unknown: another allocator has the shares some seconds after one has
	// failed. refuseCall adds up to a half.
	minUnknownRetryAfter    = 200 * time.Millisecond
	unknownRetryAfterSpread = 130 * time.Millisecond
)

// Reasons of rejections by a usage cap.
const (
	reasonOverCap    = "over-cap"
	reasonCapUnknown = "cap-unknown"
)

// usageCaps connects the usage caps of pkg/quota with the node.
type usageCaps struct {
	node *Node

	mu    sync.Mutex
	quota *quota.Node
	// caps holds the caps of the configuration in force, and config is the one they are of.
	caps    map[string]quota.Cap
	config  *published.Config
	view    *control.View
	waiting map[quota.WaiterID]chan quota.Decision
	running bool
	wake    chan struct{}
	stats   *capStats
	logged  *lineLimit
}

func newUsageCaps(n *Node, startUnixMS int64) *usageCaps {
	return &usageCaps{
		node: n, quota: quota.New(quota.Process{Node: n.settings.Node, StartUnixMS: startUnixMS}),
		waiting: map[quota.WaiterID]chan quota.Decision{}, wake: make(chan struct{}, 1), stats: newCapStats(), logged: newLineLimit(),
	}
}

// charge is the state of a call at the cap of its organisation.
type charge struct {
	// organisation is the one whose cap the call counts in, "" if there is none yet.
	organisation string
	cap          quota.Cap
	decision     quota.Decision
	// decided is set once the cap was asked.
	decided bool
}

// configChanged applies the caps of a configuration. It is called before requests are judged by it.
func (u *usageCaps) configChanged(c *published.Config) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c == nil || c == u.config {
		return
	}
	u.config = c
	caps := map[string]quota.Cap{}
	for i := range c.Organisations {
		if o := &c.Organisations[i]; o.Capped() {
			caps[o.Name] = quota.Cap{Rate: o.Rate, Burst: o.Burst}
		}
	}
	u.caps = caps
	u.quota.SetCaps(u.node.clock.now(), caps)
	if len(caps) > 0 && !u.running {
		u.running = true
		go u.run()
	}
	signal(u.wake)
}

// viewChanged makes the lease loop read the members of the mesh again.
func (u *usageCaps) viewChanged(before, after *control.View) {
	if before.Config != after.Config {
		u.configChanged(after.Config)
	}
	if after.Stopping && !before.Stopping {
		signal(u.wake)
	}
}

// run is the lease loop. It ends when the configuration has no caps.
func (u *usageCaps) run() {
	tick := time.NewTicker(capTick)
	defer tick.Stop()
	for u.round() {
		select {
		case <-u.node.ctx.Done():
			return
		case <-u.wake:
		case <-tick.C:
		}
	}
}

// round sends the lease requests that are due. It returns false if there are no caps.
func (u *usageCaps) round() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.caps) == 0 {
		u.running = false
		return false
	}
	u.updateMembers()
	for _, call := range u.quota.Tick(u.node.clock.now()) {
		go u.sendLease(call)
	}
	u.logEvents()
	return true
}

// updateMembers applies the newest view.
func (u *usageCaps) updateMembers() {
	view := u.node.view.Load()
	if view == u.view {
		return
	}
	u.view = view
	m := quota.Members{Count: view.MeshSize, Nodes: make([]quota.Member, 0, len(view.Announcements))}
	for id, a := range view.Announcements {
		m.Nodes = append(m.Nodes, quota.Member{
			Process: quota.Process{Node: id, StartUnixMS: a.StartUnixMS}, LinkMbps: a.LinkMbps,
			Leaving: a.Leaving || a.Stopped, Unresponsive: view.Unresponsive[id],
		})
	}
	u.quota.SetMembers(u.node.clock.now(), m)
}

func (u *usageCaps) logEvents() {
	for _, e := range u.quota.Events() {
		slots := make([]int, len(e.Slots))
		for i, s := range e.Slots {
			slots[i] = int(s)
		}
		u.node.logger.Info(string(e.Kind), "peer", string(e.Node), "slots", slots)
	}
}

// callPeer sends an RPC to a process. A kept connection may belong to a process that is gone, so
// that a call that fails at once is tried again: the new connection shows whether one listens.
func (u *usageCaps) callPeer(to quota.Process, method string, timeout time.Duration, params, result any) error {
	peer, ok := u.node.view.Load().Announcements[to.Node]
	if !ok || !peer.RPCAddress.IsValid() {
		return errors.New("peer unknown")
	}
	ctx, cancel := context.WithTimeout(u.node.ctx, timeout)
	defer cancel()
	began := u.node.clock.now()
	err := u.node.rpc.Call(ctx, peer.RPCAddress, method, params, result)
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) && u.node.clock.now()-began < quota.AnswerTime {
		err = u.node.rpc.Call(ctx, peer.RPCAddress, method, params, result)
	}
	u.node.recordPeerContact(to.Node, err)
	return err
}

func (u *usageCaps) sendLease(call quota.LeaseCall) {
	var reply quota.LeaseReply
	err := u.callPeer(call.To, methodLease, leaseTimeout, call.Request, &reply)
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.node.clock.now()
	switch {
	case err == nil:
		u.quota.LeaseAnswered(now, call, reply)
	case errors.Is(err, syscall.ECONNREFUSED):
		u.quota.ProcessRefused(now, call.To)
	}
}

func (u *usageCaps) sendTake(call *quota.TakeCall) {
	for call != nil {
		var reply quota.TakeReply
		err := u.callPeer(call.To, methodTake, takeTimeout, call.Request, &reply)
		call = u.takeEnded(call, reply, err)
	}
}

// takeEnded processes the end of a take RPC, and returns another one that is due.
func (u *usageCaps) takeEnded(call *quota.TakeCall, reply quota.TakeReply, err error) *quota.TakeCall {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.node.clock.now()
	var out []quota.Resolution
	var next *quota.TakeCall
	if err == nil {
		out, next = u.quota.TakeAnswered(now, call, reply)
	} else {
		if errors.Is(err, syscall.ECONNREFUSED) {
			u.quota.ProcessRefused(now, call.To)
		}
		out = u.quota.TakeFailed(now, call)
	}
	u.logEvents()
	for _, r := range out {
		if c, ok := u.waiting[r.Waiter]; ok {
			c <- r.Decision
			delete(u.waiting, r.Waiter)
		}
	}
	return next
}

// handleLease processes the lease request of another node.
func (u *usageCaps) handleLease(r quota.LeaseRequest) quota.LeaseReply {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updateMembers()
	reply := u.quota.HandleLease(u.node.clock.now(), r)
	u.logEvents()
	return reply
}

// handleTake processes the request of another node for tokens.
func (u *usageCaps) handleTake(r quota.TakeRequest) quota.TakeReply {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.quota.HandleTake(u.node.clock.now(), r)
}

// begin asks the cap about a request. The channel brings the decision if the request has to wait.
func (u *usageCaps) begin(organisation string) (quota.Decision, chan quota.Decision) {
	u.mu.Lock()
	defer u.mu.Unlock()
	d, call := u.quota.Request(u.node.clock.now(), organisation)
	var c chan quota.Decision
	if d.Verdict == quota.Waiting {
		c = make(chan quota.Decision, 1)
		u.waiting[d.Waiter] = c
	}
	if call != nil {
		go u.sendTake(call)
	}
	return d, c
}

// giveUp ends the wait of a request for the allocator.
func (u *usageCaps) giveUp(organisation string, d quota.Decision, c chan quota.Decision) quota.Decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	if late, ok := u.quota.GiveUp(u.node.clock.now(), organisation, d.Waiter); ok {
		delete(u.waiting, d.Waiter)
		return late
	}
	return <-c
}

// decide returns the decision of the cap about a request, after at most quota.AnswerTime.
func (u *usageCaps) decide(ctx context.Context, organisation string) quota.Decision {
	d, c := u.begin(organisation)
	if d.Verdict == quota.Waiting {
		timer := time.NewTimer(quota.AnswerTime)
		defer timer.Stop()
		select {
		case decided := <-c:
			d = decided
		case <-timer.C:
			d = u.giveUp(organisation, d, c)
		case <-ctx.Done():
			d = u.giveUp(organisation, d, c)
		}
	}
	if d.Counted && u.node.clock.now() >= d.Until {
		// The process was suspended meanwhile.
		d = quota.Decision{Verdict: quota.Unknown}
	}
	u.stats.count(organisation, d.Verdict, u.node.clock.now())
	return d
}

// giveBack returns the token of a request that did not run.
func (u *usageCaps) giveBack(c *charge) {
	if !c.decision.Counted {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.quota.Return(u.node.clock.now(), c.organisation, c.decision)
	c.decision.Counted = false
}

// mayBeSent reports whether the call may be sent to a target: its key is valid and the cap of its
// organisation has a token for it. Otherwise it returns the result. Nothing that takes time may
// follow before the call is sent.
func (n *Node) mayBeSent(ctx context.Context, c *call) (result, bool) {
	for {
		if !n.judgeAgain(c) {
			return result{outcome: retry.NotSent, reason: reasonKeyWithdrawn}, false
		}
		// A call that was sent to a target counts in the cap by which it was sent.
		if c.nested || c.organisation == nil || !c.organisation.Capped() || len(c.tried) > 0 || c.charge.organisation == c.organisation.Name {
			return result{}, true
		}
		n.caps.giveBack(&c.charge)
		o := c.organisation
		d := n.caps.decide(ctx, o.Name)
		c.charge = charge{organisation: o.Name, cap: quota.Cap{Rate: o.Rate, Burst: o.Burst}, decision: d, decided: true}
		switch d.Verdict {
		case quota.OverCap:
			return result{outcome: retry.NotSent, reason: reasonOverCap, expectedWait: d.RetryAfter}, false
		case quota.Unknown:
			wait := minUnknownRetryAfter + time.Duration(rand.Int64N(int64(unknownRetryAfterSpread)))
			return result{outcome: retry.NotSent, reason: reasonCapUnknown, expectedWait: wait}, false
		}
	}
}

// rejectedByCap reports whether the call was rejected for a reason that holds for all targets.
func (r result) rejectedByCap() bool {
	return r.reason == reasonOverCap || r.reason == reasonCapUnknown
}

// respondOverCap tells the caller that its organisation has used up its cap, and when a token is due.
func (n *Node) respondOverCap(c *call, res result) {
	n.logEnded(c, outcomeRefused, res.reason, http.StatusTooManyRequests)
	n.metrics.refused.Add(res.reason, 1)
	after := capRetryAfter(res.expectedWait)
	c.w.Header().Set("Retry-After", strconv.FormatFloat(after, 'f', 3, 64))
	n.writeText(c.w, http.StatusTooManyRequests, res.reason+": the usage cap of the organisation is used up; the request did not run\n")
}

// capRetryAfter returns the seconds until the next token. Rounded down, a caller would come back before
// the token is there.
func capRetryAfter(wait time.Duration) float64 { return math.Ceil(max(milliseconds(wait), 1)) / 1000 }

// outlook returns what a request of the organisation would get from its cap now.
func (u *usageCaps) outlook(organisation string) quota.Outlook {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.quota.Outlook(u.node.clock.now(), organisation)
}

// logFields returns the inputs of the decision of the cap. skip is set if the line is to be left
// out: an organisation far over its cap would fill the log.
func (u *usageCaps) logFields(c *charge, reason string) (fields []any, skip bool) {
	if !c.decided {
		return nil, false
	}
	var omitted int
	if reason == reasonOverCap || reason == reasonCapUnknown {
		if omitted, skip = u.logged.omit(c.organisation, u.node.clock.now()); skip {
			return nil, true
		}
	}
	fields = []any{
		"cap_per_s", c.cap.Rate, "cap_burst", c.cap.Burst, "cap_verdict", c.decision.Verdict.String(),
		"granted", u.stats.granted(c.organisation), "allocator", string(c.decision.Allocator),
	}
	if c.decision.Verdict == quota.OverCap {
		fields = append(fields, "retry_after_ms", c.decision.RetryAfter.Milliseconds())
	}
	if omitted > 0 {
		fields = append(fields, "lines_omitted", omitted)
	}
	return fields, false
}

// capState is the state of the usage caps for operators.
type capState struct {
	Nodes int          `json:"nodes"`
	Owned []quota.Slot `json:"allocator_of"`
	Lent  []quota.Slot `json:"lent"`
	// Shares holds the leased share of each organisation whose allocator this node is.
	Shares map[string]float64 `json:"shares,omitempty"`
}

func (u *usageCaps) state() capState {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.node.clock.now()
	s := capState{Nodes: u.node.view.Load().MeshSize, Owned: u.quota.OwnedSlots().Slots(), Lent: u.quota.LentSlots(now).Slots(), Shares: map[string]float64{}}
	for organisation := range u.caps {
		if share := u.quota.AllocatorShare(now, organisation); share > 0 {
			s.Shares[organisation] = share
		}
	}
	return s
}
