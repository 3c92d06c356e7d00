package core

import (
	"time"

	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// MethodHandover carries the stored results of a stopping owner, and
// MethodHandoverReply the reply of its successor.
const (
	MethodHandover      = "idempotency.handover"
	MethodHandoverReply = "idempotency.handover_answer"
)

// keyTickInterval is the time between two ticks of the key owner.
const keyTickInterval = time.Second

// handoverTimeout is how long the successor may take to reply.
const handoverTimeout = 3 * time.Second

// KeyRequested is a request with an idempotency key that this node may execute.
type KeyRequested struct {
	ID     idempotency.RequestID
	Key    string
	Digest uint64
}

// KeyCanceled reports that a waiting request was canceled by its caller.
type KeyCanceled struct{ ID idempotency.RequestID }

// KeyFinished is the result of an execution.
type KeyFinished struct {
	ID       idempotency.RequestID
	Kind     idempotency.ResultKind
	Response idempotency.Response
}

// HandoverReceived holds the stored results of a stopping owner.
type HandoverReceived struct{ Handover idempotency.Handover }

// HandoverReply reports whether a successor accepted the stored results.
type HandoverReply struct {
	OK bool `json:"ok"`
}

// HandoverReplied is the reply of the successor.
type HandoverReplied struct{ Reply HandoverReply }

func (KeyRequested) coreEvent()     {}
func (KeyCanceled) coreEvent()      {}
func (KeyFinished) coreEvent()      {}
func (HandoverReceived) coreEvent() {}
func (HandoverReplied) coreEvent()  {}

// KeyExecute allows a request to run.
type KeyExecute struct {
	ID    idempotency.RequestID
	Fence idempotency.FencingToken
}

// KeyReplay responds to a request with a stored result.
type KeyReplay struct {
	ID       idempotency.RequestID
	Response idempotency.Response
}

// KeyRefuse refuses a request.
type KeyRefuse struct {
	ID         idempotency.RequestID
	Reason     idempotency.Reason
	MayHaveRun bool
}

// PublishKeys publishes the owners of key slots after they or their confirmation
// changed. Members is set if the nodes changed as well.
type PublishKeys struct{ Members bool }

// KeysReleased reports that this node has no key slot left after Leave.
type KeysReleased struct{}

func (KeyExecute) coreEffect()   {}
func (KeyReplay) coreEffect()    {}
func (KeyRefuse) coreEffect()    {}
func (PublishKeys) coreEffect()  {}
func (KeysReleased) coreEffect() {}

// keys holds the key ownership state machine and tracks the age of the local state.
type keys struct {
	machine        *idempotency.Machine
	lastTick       time.Duration
	released       bool
	handoverSentAt time.Duration
	// confirmedAsOf is a time at which the local state was known to hold all
	// records of the log; confirmed is false if it never was.
	confirmedAsOf time.Duration
	confirmed     bool
	// readSent and pullSent are the send times of open requests.
	readSent map[uint64]time.Duration
	pullSent map[uint64]time.Duration
}

func newKeys(c idempotency.Config) keys {
	return keys{machine: idempotency.New(c), readSent: map[uint64]time.Duration{}, pullSent: map[uint64]time.Duration{}}
}

// PullResponse is a pull response with the age of the responding node's state, so
// that nodes that don't read the log know the age of their own.
type PullResponse struct {
	distribution.PullResponse
	// ConfirmedAgeMS is the time in milliseconds since the state of the responding
	// node was known to hold all records of the log, -1 if it never was.
	ConfirmedAgeMS int64 `json:"confirmed_age_ms"`
	// PlatformAgeMS is the time in milliseconds since the platform last responded to a
	// reader that the responding node knows of, -1 if it never has.
	PlatformAgeMS int64 `json:"platform_age_ms"`
}

func (c *Core) newPullResponse(r distribution.PullResponse) PullResponse {
	response := PullResponse{PullResponse: r, ConfirmedAgeMS: -1, PlatformAgeMS: -1}
	if c.keys.confirmed {
		response.ConfirmedAgeMS = (c.time.Now - c.keys.confirmedAsOf).Milliseconds() + 1
	}
	if c.platformKnown {
		response.PlatformAgeMS = (c.time.Now - c.platformRespondedAt).Milliseconds() + 1
	}
	return response
}

// pullResponseReceived updates the age of the local state. The response was created
// after the request was sent, so ages are subtracted from the time of sending.
func (c *Core) pullResponseReceived(a PullResponse) {
	sent, ok := c.keys.pullSent[a.ID]
	delete(c.keys.pullSent, a.ID)
	c.stepDistribution(distribution.PullResponseReceived{Now: c.time.Now, Response: a.PullResponse})
	if ok && a.PlatformAgeMS >= 0 {
		c.platformResponded(sent - time.Duration(a.PlatformAgeMS)*time.Millisecond)
	}
	if ok && a.ConfirmedAgeMS >= 0 && c.state.Revision >= a.Applied {
		c.headConfirmed(sent - time.Duration(a.ConfirmedAgeMS)*time.Millisecond)
	}
}

func (c *Core) headConfirmed(asOf time.Duration) {
	k := &c.keys
	if k.confirmed && asOf <= k.confirmedAsOf {
		return
	}
	k.confirmedAsOf, k.confirmed = asOf, true
	c.stepKeys(idempotency.HeadConfirmed{Now: c.time.Now, AsOf: asOf})
	c.emit(PublishKeys{})
}

// keysApplied passes on a record that concerns key slots.
func (c *Core) keysApplied(r state.Result) {
	switch r.Record.Body.(type) {
	case record.ClaimKeySlot, record.RenewKeySlots, record.ReleaseKeySlots:
		c.stepKeys(idempotency.RecordApplied{Now: c.time.Now, Result: r, Slots: &c.state.KeySlots})
		c.emit(PublishKeys{})
	}
}

func (c *Core) tickKeys() {
	if c.time.Now-c.keys.lastTick < keyTickInterval {
		return
	}
	c.keys.lastTick = c.time.Now
	maps := []map[uint64]time.Duration{c.keys.readSent, c.keys.pullSent}
	for _, sent := range maps {
		for id, at := range sent {
			if c.time.Now-at > time.Minute {
				delete(sent, id)
			}
		}
	}
	c.stepKeys(idempotency.Tick{Now: c.time.Now})
	if c.keys.handoverSentAt > 0 && c.time.Now-c.keys.handoverSentAt > handoverTimeout {
		c.handoverReplied(HandoverReply{OK: false})
	}
}

func (c *Core) stepKeyEvent(event Event) {
	now := c.time.Now
	switch e := event.(type) {
	case KeyRequested:
		c.stepKeys(idempotency.Request{Now: now, ID: e.ID, Key: e.Key, Digest: e.Digest})
	case KeyCanceled:
		c.stepKeys(idempotency.RequestCanceled{Now: now, ID: e.ID})
	case KeyFinished:
		c.stepKeys(idempotency.ExecutionFinished{Now: now, ID: e.ID, Kind: e.Kind, Response: e.Response})
	case HandoverReceived:
		c.handoverReceived(e.Handover)
	case HandoverReplied:
		c.handoverReplied(e.Reply)
	}
}

func (c *Core) handoverReceived(h idempotency.Handover) {
	for _, effect := range c.keys.machine.Step(idempotency.HandoverReceived{Now: c.time.Now, Handover: h}) {
		if reply, ok := effect.(idempotency.ReplyHandover); ok {
			c.send(h.From, MethodHandoverReply, HandoverReply(reply))
		}
	}
}

func (c *Core) handoverReplied(a HandoverReply) {
	if c.keys.handoverSentAt == 0 {
		return
	}
	c.keys.handoverSentAt = 0
	c.stepKeys(idempotency.HandoverReplied{Now: c.time.Now, OK: a.OK})
}

// handOverKeys transfers the stored results to the member that ranks first for this
// node.
func (c *Core) handOverKeys() {
	var others []mesh.NodeID
	for _, id := range c.live {
		if id != c.cfg.Self.ID {
			others = append(others, id)
		}
	}
	var successor mesh.NodeID
	if ranked := mesh.RankNodes("handover/"+string(c.cfg.Self.ID), others); len(ranked) > 0 {
		successor = ranked[0]
	}
	c.stepKeys(idempotency.StopRequested{Now: c.time.Now, Successor: successor})
}

func (c *Core) stepKeys(e idempotency.Event) {
	for _, effect := range c.keys.machine.Step(e) {
		switch effect := effect.(type) {
		case idempotency.AppendRecord:
			c.submitSystem(effect.Record)
		case idempotency.Execute:
			c.emit(KeyExecute(effect))
		case idempotency.Replay:
			c.emit(KeyReplay(effect))
		case idempotency.Refuse:
			c.emit(KeyRefuse(effect))
		case idempotency.SendHandover:
			c.keys.handoverSentAt = c.time.Now
			c.send(effect.To, MethodHandover, effect.Handover)
		case idempotency.Stopped:
			c.keys.released = true
			c.emit(KeysReleased{})
		}
	}
}

// KeysReleased reports whether this node has no key slot left after Leave.
func (c *Core) KeysReleased() bool { return c.keys.released }

// Keys returns the key ownership as the call path needs it.
func (c *Core) Keys() (fence *idempotency.FenceView, slots idempotency.Slots) {
	return c.keys.machine.FenceView(), c.state.KeySlots
}

// KeyStats returns the number of owned slots, of stored keys and of their bytes.
func (c *Core) KeyStats() (slots, keys, bytes int) {
	keys, bytes = c.keys.machine.Stats()
	return c.keys.machine.OwnedSlots(), keys, bytes
}
