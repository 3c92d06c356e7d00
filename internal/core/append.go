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
	// appendRetryMin and appendRetryMax bound the delay before a record is appended
	// again, with full jitter.
	appendRetryMin = 100 * time.Millisecond
	appendRetryMax = 5 * time.Second
	// appendSeen is how long a confirmed append may take to come back through the
	// log before it is appended again.
	appendSeen = 10 * time.Second
	// appendGiveUp ends the attempts: the operator is then told what is known. It
	// covers a short outage of the platform.
	appendGiveUp = 30 * time.Second
)

// appends holds the records whose outcome has not been read back.
type appends struct {
	rng     *rand.Rand
	pending map[string]*pendingAppend
}

type pendingAppend struct {
	data     []byte
	started  time.Duration
	next     time.Duration
	attempts int
	inFlight bool
	// mayHaveRun is set once an attempt may have appended the record.
	mayHaveRun bool
	reason     string
}

func newAppends(rng *rand.Rand) appends {
	return appends{rng: rng, pending: map[string]*pendingAppend{}}
}

func (a *appends) settled(id string) { delete(a.pending, id) }

func (a *appends) ids() []string { return slices.Sorted(maps.Keys(a.pending)) }

// backoff returns a delay with full jitter under a bound that doubles.
func (a *appends) backoff(attempts int) time.Duration {
	bound := min(appendRetryMax, 2*appendRetryMin<<min(attempts, 8))
	return appendRetryMin + time.Duration(a.rng.Int64N(int64(bound-appendRetryMin)))
}

// startAppend encodes a record with the present revision as its base. The bytes
// stay the same over all attempts.
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
	c.appends.pending[rec.ID] = &pendingAppend{data: data, started: c.time.Now}
	c.tryAppend(rec.ID)
}

func (c *Core) tryAppend(id string) {
	p := c.appends.pending[id]
	p.inFlight = true
	p.attempts++
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
		p.next = c.time.Now + appendSeen
		c.emit(TimelineEvent{Kind: timeline.KindAppended, Revision: e.Offset, Fields: map[string]string{"id": e.ID}})
		c.head = max(c.head, uint64(e.Offset))
		return
	case !e.NotRun:
		if !p.mayHaveRun {
			c.note(KindAppendUnknown, map[string]string{"id": e.ID, "reason": e.Reason})
		}
		p.mayHaveRun = true
	}
	p.next = c.time.Now + c.appends.backoff(p.attempts)
}

func (c *Core) retryAppends() {
	for _, id := range c.appends.ids() {
		p := c.appends.pending[id]
		switch {
		case p.inFlight:
		case c.time.Now-p.started >= appendGiveUp:
			c.giveUp(id, p)
		case c.time.Now >= p.next:
			c.tryAppend(id)
		}
	}
}

func (c *Core) giveUp(id string, p *pendingAppend) {
	delete(c.appends.pending, id)
	c.fates.gaveUp(id, p.mayHaveRun)
	c.note(KindAppendAbandoned, map[string]string{"id": id, "reason": p.reason})
	c.stepQueue(pricing.AppendAbandoned{Now: c.time.Now, RecordID: id, Reason: p.reason})
}

// stepQueue runs the queue of changes. Events that its own effects cause wait
// until those effects are carried out.
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
			c.fates.appended(effect)
			c.startAppend(effect.Record)
		case pricing.ChangeQueued:
			c.fates.waiting(effect)
			c.emit(NotifyWaiters{})
		case pricing.ChangeResult:
			c.fates.answered(effect)
			c.note(KindChangeDecided, map[string]string{"id": effect.ChangeID, "outcome": string(effect.Outcome.Code)})
			c.emit(NotifyWaiters{})
		case pricing.SetTimer:
			// Ticks come more often than any wake-up matters.
		}
	}
}

func (c *Core) submitted(s Submission) {
	if !c.fates.submitted(s) {
		return
	}
	c.note(KindChangeSubmitted, map[string]string{"id": s.ID, "kind": string(s.Body.Kind()), "wait": s.Wait.String()})
	c.stepQueue(pricing.ChangeSubmitted{Now: c.time.Now, Change: pricing.Change{ID: s.ID, ExpectedRevision: s.ExpectedRevision, Body: s.Body, Wait: s.Wait}})
}

// submitSystem appends a record of the system under its reserved share.
func (c *Core) submitSystem(rec record.Record) {
	if _, ok := c.appends.pending[rec.ID]; ok || !c.fates.system(rec.ID) {
		return
	}
	c.stepQueue(pricing.SystemRecordSubmitted{Now: c.time.Now, Record: rec})
}

// announceSelf puts the node's addresses into the log, so that others can join
// through it when the addresses in their settings are gone.
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
