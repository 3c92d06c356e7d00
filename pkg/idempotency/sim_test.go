package idempotency_test

import (
	"fmt"
	"time"

	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// simSlots is how many key slots the simulation uses; claims of the others are
// not appended, which keeps the log short.
const simSlots = 3

// simStep is the time between two ticks of a node.
const simStep = 2 * time.Second

// choose returns a number from 0 to n-1; it is the only source of chance.
type choose func(n int, label string) int

// breaks are deliberate faults in the mechanism, to show that the checks see them.
type breaks struct {
	noTakeoverWait  bool // a successor does not wait for the retry horizon
	noLeaseOrFence  bool // owners execute without lease, targets' nodes check nothing
	lossIsNotRun    bool // a lost connection is reported as not-run
	answersSwapped  bool // an answer is stored under another request
	emptyHandover   bool // a handover leaves the keys out
	shortMemory     bool // keys are forgotten before the horizon
	refuseThenRun   bool // a refused request is sent all the same
	unboundedMemory bool // the limit of keys is not applied
}

type sim struct {
	now    time.Duration
	pick   choose
	broken breaks
	log    [][]byte
	nodes  []*simNode
	cut    map[[2]int]bool
	outage bool
	txs    map[idempotency.RequestID]*transmission
	order  []*transmission
	flying []*flight
	nextID idempotency.RequestID
	// first is when a key was first sent, executed is by which request it ran.
	first    map[string]time.Duration
	executed map[string]idempotency.RequestID
	maxKeys  int
	slots    int
	violated error
}

type simNode struct {
	index   int
	id      mesh.NodeID
	session int
	rate    float64
	state   *state.State
	machine *idempotency.Machine
	outbox  []record.Record
	paused  bool
	offLog  bool
}

// transmission is one sending of a key by a caller.
type transmission struct {
	id      idempotency.RequestID
	key     string
	answer  string // "", ran, replayed, not-run, may-have-run
	settled bool
}

// flight is a request on its way from the owner to a target's node.
type flight struct {
	tx      *transmission
	owner   *simNode
	session int
	fence   idempotency.FencingToken
	// reported is set if the owner gave up and told its machine.
	reported bool
}

func newSim(nodes int, pick choose, b breaks) *sim {
	s := &sim{
		pick: pick, broken: b, cut: map[[2]int]bool{}, txs: map[idempotency.RequestID]*transmission{},
		first: map[string]time.Duration{}, executed: map[string]idempotency.RequestID{}, slots: simSlots, maxKeys: []int{4, 24}[pick(2, "limit")],
	}
	for i := range nodes {
		n := &simNode{index: i, id: mesh.NodeID(fmt.Sprintf("node-%d", i)), rate: 0.99 + 0.01*float64(pick(3, "rate"))}
		s.nodes = append(s.nodes, n)
		s.restart(n)
	}
	return s
}

func (s *sim) config(n *simNode) idempotency.Config {
	c := idempotency.DefaultConfig(n.id, mesh.SessionID(fmt.Sprintf("s%d", n.session)))
	c.MaxKeys = s.maxKeys
	switch {
	case s.broken.noTakeoverWait:
		c.RetryHorizon = time.Second
	case s.broken.shortMemory:
		c.RetryHorizon = 30 * time.Second
	case s.broken.noLeaseOrFence:
		c.Lease = 10 * time.Hour
	case s.broken.unboundedMemory:
		c.MaxKeys = 1000
	}
	return c
}

// restart begins a new session without memory.
func (s *sim) restart(n *simNode) {
	n.session++
	n.state, n.outbox, n.paused = state.New(), nil, false
	n.machine = idempotency.New(s.config(n))
	if s.broken.noLeaseOrFence {
		// The claimants keep their lease, so that they take over from the others.
		c := s.config(n)
		c.Lease = idempotency.DefaultLease
		if n.index > 0 {
			n.machine = idempotency.New(c)
		}
	}
	live := make([]mesh.NodeID, 0, len(s.nodes))
	for _, o := range s.nodes {
		live = append(live, o.id)
	}
	s.step(n, idempotency.MembersChanged{Now: s.clock(n), Live: live})
}

func (s *sim) clock(n *simNode) time.Duration {
	return time.Duration(float64(s.now)*n.rate) + time.Duration(n.index)*time.Hour + time.Minute
}

func (s *sim) step(n *simNode, e idempotency.Event) {
	for _, effect := range n.machine.Step(e) {
		s.apply(n, effect)
	}
	if keys, _ := n.machine.Stats(); keys > s.maxKeys {
		s.violate("node %s remembers %d keys, limit %d", n.id, keys, s.maxKeys)
	}
}

func (s *sim) violate(format string, args ...any) {
	if s.violated == nil {
		s.violated = fmt.Errorf(format, args...)
	}
}

func (s *sim) apply(n *simNode, effect idempotency.Effect) {
	switch e := effect.(type) {
	case idempotency.AppendRecord:
		if claim, ok := e.Record.Body.(record.ClaimKeySlot); !ok || claim.Slot < s.slots {
			n.outbox = append(n.outbox, e.Record)
		}
	case idempotency.Execute:
		s.flying = append(s.flying, &flight{tx: s.txs[e.ID], owner: n, session: n.session, fence: e.Fence})
	case idempotency.Replay:
		s.replayed(s.txs[e.ID], e.Response)
	case idempotency.Refuse:
		answer := "not-run"
		if e.MayHaveRun {
			answer = "may-have-run"
		}
		s.settle(s.txs[e.ID], answer)
		if s.broken.refuseThenRun && e.Reason == idempotency.ReasonLeaseLapsed {
			s.run(s.txs[e.ID])
		}
	case idempotency.SendHandover:
		s.handover(n, e)
	case idempotency.Stopped:
		s.restart(n)
	}
}

func (s *sim) handover(n *simNode, e idempotency.SendHandover) {
	h := e.Handover
	if s.broken.emptyHandover {
		for i := range h.Slots {
			h.Slots[i].Keys = nil
		}
	}
	ok := false
	for _, to := range s.nodes {
		if to.id == e.To && !to.paused && s.connected(n, to) {
			for _, answer := range to.machine.Step(idempotency.HandoverReceived{Now: s.clock(to), Handover: h}) {
				ok = answer.(idempotency.ReplyHandover).OK
			}
		}
	}
	if s.pick(4, "handover answer lost") == 0 {
		ok = false
	}
	s.step(n, idempotency.HandoverReplied{Now: s.clock(n), OK: ok})
}

func (s *sim) connected(a, b *simNode) bool {
	return a == b || !s.cut[[2]int{min(a.index, b.index), max(a.index, b.index)}]
}

// settle stores the answer that the caller got.
func (s *sim) settle(tx *transmission, answer string) {
	if tx.settled {
		return
	}
	tx.answer, tx.settled = answer, true
	s.checkTruth(tx)
}

func (s *sim) checkTruth(tx *transmission) {
	if tx.answer == "not-run" && s.executed[tx.key] == tx.id {
		s.violate("request %d with key %s was answered not-run and ran", tx.id, tx.key)
	}
}

func (s *sim) replayed(tx *transmission, a idempotency.Response) {
	if want := answerOf(tx.key, s.executed[tx.key]); string(a.Body) != want {
		s.violate("key %s got the stored answer %q, want %q", tx.key, a.Body, want)
	}
	s.settle(tx, "replayed")
}

func answerOf(key string, id idempotency.RequestID) string { return fmt.Sprintf("%s by %d", key, id) }

// run is the execution by a target.
func (s *sim) run(tx *transmission) {
	if by, twice := s.executed[tx.key]; twice {
		s.violate("key %s ran twice, by requests %d and %d", tx.key, by, tx.id)
	}
	s.executed[tx.key] = tx.id
	s.checkTruth(tx)
}

// send lets a caller send a key through a node.
func (s *sim) send(n *simNode, key string) *transmission {
	if _, known := s.first[key]; !known {
		s.first[key] = s.now
	}
	s.nextID++
	tx := &transmission{id: s.nextID, key: key}
	s.txs[tx.id] = tx
	s.order = append(s.order, tx)
	if n.paused {
		s.settle(tx, "not-run")
		return tx
	}
	where, ok := idempotency.Locate(key, &n.state.KeySlots)
	owner := s.find(where.Node)
	switch {
	case !ok || owner == nil:
		s.settle(tx, "not-run")
	case where.Minted && mesh.SessionID(fmt.Sprintf("s%d", owner.session)) != where.Session:
		s.settle(tx, "may-have-run")
	case owner.paused || !s.connected(n, owner):
		s.settle(tx, "not-run")
	default:
		s.step(owner, idempotency.Request{Now: s.clock(owner), ID: tx.id, Key: key, Digest: 1})
	}
	return tx
}

func (s *sim) find(id mesh.NodeID) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// arrive brings a flight to a target's node.
func (s *sim) arrive(f *flight, at *simNode) {
	s.land(f)
	view := at.machine.FenceView()
	pass := view.Check(f.tx.key, f.fence, s.clock(at)) == idempotency.FencePass
	if s.broken.noLeaseOrFence {
		pass = true
	}
	if !pass {
		s.report(f, idempotency.NotRun)
		return
	}
	s.run(f.tx)
	s.report(f, idempotency.Done)
}

// lose makes the owner give up while the request may still arrive.
func (s *sim) lose(f *flight) {
	kind := idempotency.Unknown
	if s.broken.lossIsNotRun {
		kind = idempotency.NotRun
	}
	s.report(f, kind)
}

func (s *sim) land(f *flight) {
	for i, other := range s.flying {
		if other == f {
			s.flying = append(s.flying[:i], s.flying[i+1:]...)
			return
		}
	}
}

// report tells the owner's machine and the caller how an execution ended.
func (s *sim) report(f *flight, kind idempotency.ResultKind) {
	if f.reported {
		return
	}
	f.reported = true
	if f.session != f.owner.session {
		s.settle(f.tx, "may-have-run")
		return
	}
	s.settle(f.tx, map[idempotency.ResultKind]string{
		idempotency.NotRun: "not-run", idempotency.Done: "ran", idempotency.Unknown: "may-have-run",
	}[kind])
	body := answerOf(f.tx.key, f.tx.id)
	if s.broken.answersSwapped {
		body = answerOf("another", f.tx.id)
	}
	s.step(f.owner, idempotency.ExecutionFinished{
		Now: s.clock(f.owner), ID: f.tx.id, Kind: kind, Response: idempotency.Response{Status: 200, Body: []byte(body)},
	})
}

// advance lets time pass for all nodes.
func (s *sim) advance(d time.Duration) {
	for end := s.now + d; s.now < end && s.violated == nil; {
		s.now += simStep
		for _, n := range s.nodes {
			if !n.paused {
				s.sync(n)
				s.step(n, idempotency.Tick{Now: s.clock(n)})
			}
		}
	}
}

// sync appends and reads the log if the node reaches the platform.
func (s *sim) sync(n *simNode) {
	if s.outage || n.offLog {
		return
	}
	kept := n.outbox
	n.outbox = nil
	for _, rec := range kept {
		s.append(n, rec)
	}
	asOf := s.clock(n)
	for int(n.state.Revision) < len(s.log) {
		res, err := n.state.Apply(n.state.Revision+1, s.log[n.state.Revision])
		if err != nil {
			panic(err)
		}
		s.step(n, idempotency.RecordApplied{Now: s.clock(n), Result: res, Slots: &n.state.KeySlots})
	}
	s.step(n, idempotency.HeadConfirmed{Now: s.clock(n), AsOf: asOf})
}

// append writes a record; its answer may be lost, so that it is written again,
// or it may be late.
func (s *sim) append(n *simNode, rec record.Record) {
	chance := s.pick(8, "append")
	if chance == 0 {
		n.outbox = append(n.outbox, rec)
		return
	}
	data, err := record.Encode(rec)
	if err != nil {
		panic(err)
	}
	s.log = append(s.log, data)
	if chance == 1 {
		n.outbox = append(n.outbox, rec)
	}
}
