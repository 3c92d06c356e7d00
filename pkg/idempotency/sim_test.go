package idempotency_test

import (
	"fmt"
	"time"

	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// simSlots is the number of key slots that the simulation uses. Claims of other slots are
// not appended, which keeps the log short.
const simSlots = 3

// simStep is the interval between ticks.
const simStep = 2 * time.Second

// chooseFunc returns a number in [0, n). It is the only source of randomness.
type chooseFunc func(n int, label string) int

// mutations are deliberate faults in the mechanism that the checks have to detect.
type mutations struct {
	noTakeoverWait   bool // a successor doesn't refuse unknown keys for the retry horizon
	noLeaseOrFence   bool // owners execute without a lease and fencing tokens aren't checked
	lossAsNotRun     bool // a lost connection is reported as not-run
	responsesSwapped bool // the response of another key is stored
	emptyHandover    bool // a handover has no keys
	shortRetention   bool // keys are deleted before the retry horizon
	refuseThenRun    bool // a refused request is sent anyway
	unboundedKeys    bool // the limit of keys isn't applied
}

type sim struct {
	now           time.Duration
	pick          chooseFunc
	mutation      mutations
	log           [][]byte
	nodes         []*simNode
	partitioned   map[[2]int]bool
	outage        bool
	transmissions map[idempotency.RequestID]*transmission
	sent          []*transmission
	inFlight      []*inFlightRequest
	nextID        idempotency.RequestID
	// firstSent is the time of the first attempt of a key; executedBy is the request that
	// ran it.
	firstSent  map[string]time.Duration
	executedBy map[string]idempotency.RequestID
	maxKeys    int
	slots      int
	violation  error
}

type simNode struct {
	index          int
	id             mesh.NodeID
	session        int
	clockRate      float64
	state          *state.State
	machine        *idempotency.Machine
	outbox         []record.Record
	paused         bool
	logUnreachable bool
}

// transmission is one attempt by a caller to run a key.
type transmission struct {
	id      idempotency.RequestID
	key     string
	answer  string // "", ran, replayed, not-run, may-have-run
	settled bool
}

// inFlightRequest is a request in flight from the owner to a target's node.
type inFlightRequest struct {
	tx      *transmission
	owner   *simNode
	session int
	fence   idempotency.FencingToken
	// reported is set if the owner has reported a result to its machine.
	reported bool
}

func newSim(nodes int, pick chooseFunc, b mutations) *sim {
	s := &sim{
		pick: pick, mutation: b, partitioned: map[[2]int]bool{}, transmissions: map[idempotency.RequestID]*transmission{},
		firstSent: map[string]time.Duration{}, executedBy: map[string]idempotency.RequestID{}, slots: simSlots, maxKeys: []int{4, 24}[pick(2, "limit")],
	}
	for i := range nodes {
		n := &simNode{index: i, id: mesh.NodeID(fmt.Sprintf("node-%d", i)), clockRate: 0.99 + 0.01*float64(pick(3, "rate"))}
		s.nodes = append(s.nodes, n)
		s.restart(n)
	}
	return s
}

func (s *sim) config(n *simNode) idempotency.Config {
	c := idempotency.DefaultConfig(n.id, mesh.SessionID(fmt.Sprintf("s%d", n.session)))
	c.MaxKeys = s.maxKeys
	switch {
	case s.mutation.noTakeoverWait:
		c.RetryHorizon = time.Second
	case s.mutation.shortRetention:
		c.RetryHorizon = 30 * time.Second
	case s.mutation.noLeaseOrFence:
		c.Lease = 10 * time.Hour
	case s.mutation.unboundedKeys:
		c.MaxKeys = 1000
	}
	return c
}

// restart starts a new session of the node with empty state.
func (s *sim) restart(n *simNode) {
	n.session++
	n.state, n.outbox, n.paused = state.New(), nil, false
	n.machine = idempotency.New(s.config(n))
	if s.mutation.noLeaseOrFence {
		// All nodes but the first keep the default lease, so that they take over slots.
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
	return time.Duration(float64(s.now)*n.clockRate) + time.Duration(n.index)*time.Hour + time.Minute
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
	if s.violation == nil {
		s.violation = fmt.Errorf(format, args...)
	}
}

func (s *sim) apply(n *simNode, effect idempotency.Effect) {
	switch e := effect.(type) {
	case idempotency.AppendRecord:
		if claim, ok := e.Record.Body.(record.ClaimKeySlot); !ok || claim.Slot < s.slots {
			n.outbox = append(n.outbox, e.Record)
		}
	case idempotency.Execute:
		s.inFlight = append(s.inFlight, &inFlightRequest{tx: s.transmissions[e.ID], owner: n, session: n.session, fence: e.Fence})
	case idempotency.Replay:
		s.replayed(s.transmissions[e.ID], e.Response)
	case idempotency.Refuse:
		answer := "not-run"
		if e.MayHaveRun {
			answer = "may-have-run"
		}
		s.settle(s.transmissions[e.ID], answer)
		if s.mutation.refuseThenRun && e.Reason == idempotency.ReasonLeaseLapsed {
			s.run(s.transmissions[e.ID])
		}
	case idempotency.SendHandover:
		s.handover(n, e)
	case idempotency.Stopped:
		s.restart(n)
	}
}

func (s *sim) handover(n *simNode, e idempotency.SendHandover) {
	h := e.Handover
	if s.mutation.emptyHandover {
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
	return a == b || !s.partitioned[[2]int{min(a.index, b.index), max(a.index, b.index)}]
}

// settle stores the outcome reported to the caller.
func (s *sim) settle(tx *transmission, answer string) {
	if tx.settled {
		return
	}
	tx.answer, tx.settled = answer, true
	s.checkNotRun(tx)
}

func (s *sim) checkNotRun(tx *transmission) {
	if tx.answer == "not-run" && s.executedBy[tx.key] == tx.id {
		s.violate("request %d with key %s was answered not-run and ran", tx.id, tx.key)
	}
}

func (s *sim) replayed(tx *transmission, a idempotency.Response) {
	if want := responseOf(tx.key, s.executedBy[tx.key]); string(a.Body) != want {
		s.violate("key %s got the stored answer %q, want %q", tx.key, a.Body, want)
	}
	s.settle(tx, "replayed")
}

func responseOf(key string, id idempotency.RequestID) string { return fmt.Sprintf("%s by %d", key, id) }

// run executes a request at a target.
func (s *sim) run(tx *transmission) {
	if by, twice := s.executedBy[tx.key]; twice {
		s.violate("key %s ran twice, by requests %d and %d", tx.key, by, tx.id)
	}
	s.executedBy[tx.key] = tx.id
	s.checkNotRun(tx)
}

// send sends a request with a key through a node.
func (s *sim) send(n *simNode, key string) *transmission {
	if _, known := s.firstSent[key]; !known {
		s.firstSent[key] = s.now
	}
	s.nextID++
	tx := &transmission{id: s.nextID, key: key}
	s.transmissions[tx.id] = tx
	s.sent = append(s.sent, tx)
	if n.paused {
		s.settle(tx, "not-run")
		return tx
	}
	where, ok := idempotency.Locate(key, &n.state.KeySlots)
	owner := s.nodeByID(where.Node)
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

func (s *sim) nodeByID(id mesh.NodeID) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// arrive delivers an in-flight request to a target's node.
func (s *sim) arrive(f *inFlightRequest, at *simNode) {
	s.removeInFlight(f)
	view := at.machine.FenceView()
	pass := view.Check(f.tx.key, f.fence, s.clock(at)) == idempotency.FencePass
	if s.mutation.noLeaseOrFence {
		pass = true
	}
	if !pass {
		s.report(f, idempotency.NotRun)
		return
	}
	s.run(f.tx)
	s.report(f, idempotency.Done)
}

// abandon makes the owner report a failure while the request may still arrive.
func (s *sim) abandon(f *inFlightRequest) {
	kind := idempotency.Unknown
	if s.mutation.lossAsNotRun {
		kind = idempotency.NotRun
	}
	s.report(f, kind)
}

func (s *sim) removeInFlight(f *inFlightRequest) {
	for i, other := range s.inFlight {
		if other == f {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return
		}
	}
}

// report sends the result of an execution to the owner's machine and the caller.
func (s *sim) report(f *inFlightRequest, kind idempotency.ResultKind) {
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
	body := responseOf(f.tx.key, f.tx.id)
	if s.mutation.responsesSwapped {
		body = responseOf("another", f.tx.id)
	}
	s.step(f.owner, idempotency.ExecutionFinished{
		Now: s.clock(f.owner), ID: f.tx.id, Kind: kind, Response: idempotency.Response{Status: 200, Body: []byte(body)},
	})
}

// advance advances the time of all nodes that aren't paused.
func (s *sim) advance(d time.Duration) {
	for end := s.now + d; s.now < end && s.violation == nil; {
		s.now += simStep
		for _, n := range s.nodes {
			if !n.paused {
				s.sync(n)
				s.step(n, idempotency.Tick{Now: s.clock(n)})
			}
		}
	}
}

// sync appends pending records and reads the log if the node can reach the platform.
func (s *sim) sync(n *simNode) {
	if s.outage || n.logUnreachable {
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

// append appends a record to the log. At random the record is delayed until the next sync,
// or the reply is lost, so that the record is appended again.
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
