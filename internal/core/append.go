package core

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
	"heathercroft.example/heathercroft/pkg/timeline"
)

const (
	// appendRetryMin and appendRetryMax bound the delay, with full jitter, before an
	// append is retried.
	appendRetryMin = 100 * time.Millisecond
	appendRetryMax = 5 * time.Second
	// appendReadBackTimeout is how long a confirmed append may take to be read back
	// from the log before it is retried.
	appendReadBackTimeout = 10 * time.Second
	// appendTimeout limits the attempts to append a record, after which the operator
	// is told what is known. It covers a short outage of the platform.
	appendTimeout = 30 * time.Second
)

// appends holds the records whose outcome has not been read back from the log.
type appends struct {
	rng     *rand.Rand
	pending map[string]*pendingAppend
}

type pendingAppend struct {
	data        []byte
	startedAt   time.Duration
	nextAttempt time.Duration
	attempts    int
	inFlight    bool
	// mayHaveRun is set once an attempt may have appended the record.
	mayHaveRun bool
	reason     string
}

func newAppends(rng *rand.Rand) appends {
	return appends{rng: rng, pending: map[string]*pendingAppend{}}
}

func (a *appends) remove(id string) { delete(a.pending, id) }

func (a *appends) ids() []string { return slices.Sorted(maps.Keys(a.pending)) }

// backoff returns an exponential backoff delay with full jitter.
func (a *appends) backoff(attempts int) time.Duration {
	bound := min(appendRetryMax, 2*appendRetryMin<<min(attempts, 8))
	return appendRetryMin + time.Duration(a.rng.Int64N(int64(bound-appendRetryMin)))
}

// startAppend encodes a record with the current revision as its base and makes the
// first attempt to append it. All attempts send the same bytes.
func (c *Core) startAppend(rec record.Record) {
	if _, ok := c.appends.pending[rec.ID]; ok {
		return
	}
	rec.Base = c.state.Revision
	if rec.Author == "" {
		rec.Author = string(c.cfg.Self.ID)
	}
	data, err := record.Encode(rec)
	if err != nil {
		c.stepQueue(pricing.AppendResult{Now: c.time.Now, RecordID: rec.ID, Outcome: state.Outcome{Code: state.Rejected, Reason: err.Error()}})
		return
	}
	c.appends.pending[rec.ID] = &pendingAppend{data: data, startedAt: c.time.Now}
	c.tryAppend(rec.ID)
}

func (c *Core) tryAppend(id string) {
	p := c.appends.pending[id]
	p.attempts++
	if c.distribution.Status().LogRestored {
		// The record assumes a revision that the restored log does not have.
		c.appendResult(AppendResult{ID: id, NotRun: true, Reason: "the log was restored from an older copy"})
		return
	}
	p.inFlight = true
	c.emit(Append{ID: id, Data: p.data})
}

func (c *Core) appendResult(e AppendResult) {
	p, ok := c.appends.pending[e.ID]
	if !ok {
		return
	}
	p.inFlight = false
	p.reason = e.Reason
	switch {
	case e.Offset > 0:
		p.mayHaveRun = true
		p.nextAttempt = c.time.Now + appendReadBackTimeout
		c.emit(TimelineEvent{Kind: timeline.KindAppended, Revision: e.Offset, Fields: map[string]string{"id": e.ID}})
		c.head = max(c.head, uint64(e.Offset))
		return
	case !e.NotRun:
		if !p.mayHaveRun {
			c.recordEvent(KindAppendUnknown, map[string]string{"id": e.ID, "reason": e.Reason})
		}
		p.mayHaveRun = true
	}
	p.nextAttempt = c.time.Now + c.appends.backoff(p.attempts)
}

func (c *Core) retryAppends() {
	for _, id := range c.appends.ids() {
		p := c.appends.pending[id]
		switch {
		case p.inFlight:
		case c.time.Now-p.startedAt >= appendTimeout:
			c.abandonAppend(id, p)
		case c.time.Now >= p.nextAttempt:
			c.tryAppend(id)
		}
	}
}

func (c *Core) abandonAppend(id string, p *pendingAppend) {
	delete(c.appends.pending, id)
	c.changes.markAbandoned(id, p.mayHaveRun)
	c.recordEvent(KindAppendAbandoned, map[string]string{"id": id, "reason": p.reason})
	c.stepQueue(pricing.AppendAbandoned{Now: c.time.Now, RecordID: id, Reason: p.reason})
}

// stepQueue runs the change queue. Events raised by its own effects are deferred
// until those effects have been applied.
func (c *Core) stepQueue(e pricing.Event) {
	c.queueBacklog = append(c.queueBacklog, e)
	if len(c.queueBacklog) > 1 {
		return
	}
	for len(c.queueBacklog) > 0 {
		c.runQueue(c.queue.Step(c.queueBacklog[0]))
		c.queueBacklog = c.queueBacklog[1:]
	}
}

func (c *Core) runQueue(effects []pricing.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case pricing.AppendRecord:
			c.changes.markAppending(effect)
			c.startAppend(effect.Record)
		case pricing.ChangeQueued:
			c.changes.markQueued(effect)
			c.emit(NotifyWaiters{})
		case pricing.ChangeResult:
			c.changes.finish(effect)
			c.recordEvent(KindChangeDecided, map[string]string{"id": effect.ChangeID, "outcome": string(effect.Outcome.Code)})
			c.emit(NotifyWaiters{})
		case pricing.SetTimer:
			// Unused: the queue receives each Tick, and ticks are frequent enough.
		}
	}
}

func (c *Core) submitChange(s Submission) {
	if !c.changes.add(s) {
		return
	}
	c.recordEvent(KindChangeSubmitted, map[string]string{"id": s.ID, "kind": string(s.Body.Kind()), "wait": s.Wait.String()})
	c.stepQueue(pricing.ChangeSubmitted{Now: c.time.Now, Change: pricing.Change{ID: s.ID, ExpectedRevision: s.ExpectedRevision, Body: s.Body, Wait: s.Wait}})
}

// submitSystem queues a system record, which uses the share of appends reserved
// for the system.
func (c *Core) submitSystem(rec record.Record) {
	if _, ok := c.appends.pending[rec.ID]; ok || !c.changes.addSystemRecord(rec.ID) {
		return
	}
	c.stepQueue(pricing.SystemRecordSubmitted{Now: c.time.Now, Record: rec})
}

// announceSelf writes the node's addresses to the log, so that other nodes can join
// through it when none of their configured seeds exists any more.
func (c *Core) announceSelf() {
	self := c.cfg.Self
	c.submitSystem(record.Record{
		ID: "announce/" + string(self.ID) + "/" + string(self.Session),
		Body: record.NodeAnnounced{
			Node: string(self.ID), Session: string(self.Session), Zone: string(self.Zone), Region: string(self.Region),
			RPCAddress: self.RPCAddress.String(), CallAddress: self.CallAddress.String(),
		},
	})
}

func nodeInfo(b record.NodeAnnounced) (mesh.NodeInfo, bool) {
	rpc, err := netip.ParseAddrPort(b.RPCAddress)
	if err != nil {
		return mesh.NodeInfo{}, false
	}
	call, err := netip.ParseAddrPort(b.CallAddress)
	if err != nil {
		return mesh.NodeInfo{}, false
	}
	return mesh.NodeInfo{
		ID: mesh.NodeID(b.Node), Session: mesh.SessionID(b.Session), Zone: mesh.AvailabilityZone(b.Zone),
		Region: mesh.Region(b.Region), RPCAddress: rpc, CallAddress: call,
	}, true
}
