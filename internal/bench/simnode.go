package bench

import (
	"fmt"
	"net/netip"
	"time"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
	"heathercroft.example/heathercroft/pkg/routing"
	"heathercroft.example/heathercroft/pkg/snapshot"
)

// simNode is one node: its reducer and the effects that the process would
// carry out, the routing table included.
type simNode struct {
	sim     *Simulation
	info    mesh.NodeInfo
	service string
	core    *core.Core
	tracker *routing.Tracker
	table   *routing.Table
	runs    int
	up      bool
	ready   bool
	started time.Duration
	// revision is the one in force after the last step.
	revision record.Revision
	// bytes counts both directions, platform traffic included.
	bytes, messages int64
	second          int64
	inSecond, peak  int64
	// traffic counts messages by kind.
	traffic map[string]traffic
}

func (n *simNode) now() time.Duration { return n.sim.now - n.started }

// count adds bytes and keeps the largest sum of one second.
func (n *simNode) count(size int) {
	n.bytes += int64(size)
	if second := int64(n.sim.now / time.Second); second != n.second {
		n.second, n.inSecond = second, 0
	}
	n.inSecond += int64(size)
	n.peak = max(n.peak, n.inSecond)
}

// countMessage counts a message that was sent or received, and its receipt.
func (n *simNode) countMessage(kind string, size int) {
	n.count(size + answerBytes)
	v := n.traffic[kind]
	n.traffic[kind] = traffic{v.bytes + int64(size) + answerBytes, v.messages + 1}
}

// start runs a new session without memory of the former one.
func (n *simNode) start() {
	s := n.sim
	n.runs++
	n.info.Session = mesh.SessionID(fmt.Sprintf("%012x-%08x", s.unixMS(), s.rng.Uint32()))
	n.up, n.ready, n.started, n.revision = true, false, s.now, 0
	n.tracker, n.table = routing.NewTracker(), nil
	n.core = core.New(core.Config{
		Self: n.info, StartUnixMS: s.unixMS(), Seeds: s.seeds(n), Seed: s.rng.Uint64(),
		Keys: idempotency.DefaultConfig(n.info.ID, n.info.Session),
	})
	n.step(core.Started{})
	n.every(core.TickInterval, func() { n.step(core.Tick{}) })
	n.every(time.Second, func() { n.step(core.TargetAnnounced{Target: n.target()}) })
}

func (n *simNode) target() mesh.Target {
	return mesh.Target{
		Service: n.service, Version: "v1", Address: netip.AddrPortFrom(n.info.RPCAddress.Addr(), 9000),
		Slots: 12, Connections: 100, State: mesh.TargetServing,
	}
}

// every repeats run while the session lasts, from a random phase on.
func (n *simNode) every(interval time.Duration, run func()) {
	session := n.runs
	var again func()
	again = func() {
		if n.up && n.runs == session {
			run()
			n.sim.schedule(interval, again)
		}
	}
	n.sim.schedule(time.Duration(n.sim.rng.Int64N(int64(interval))), again)
}

func (n *simNode) kill() { n.up = false }

// unixMS is the wall clock of the simulation.
func (s *Simulation) unixMS() int64 { return 1_780_000_000_000 + s.now.Milliseconds() }

// seeds are two nodes of the own zone and one of another.
func (s *Simulation) seeds(n *simNode) []netip.AddrPort {
	var seeds []netip.AddrPort
	own, others := 0, 0
	for _, m := range s.nodes {
		switch {
		case m == n:
		case m.info.Zone == n.info.Zone && own < 2:
			own++
			seeds = append(seeds, m.info.RPCAddress)
		case m.info.Zone != n.info.Zone && others < 1:
			others++
			seeds = append(seeds, m.info.RPCAddress)
		}
	}
	return seeds
}

// later delivers the result of an effect to the same session.
func (n *simNode) later(after time.Duration, event core.Event) {
	session := n.runs
	n.sim.schedule(after, func() {
		if n.up && n.runs == session {
			n.step(event)
		}
	})
}

func (n *simNode) step(event core.Event) {
	effects := n.core.Step(core.Time{Now: n.now(), UnixMS: n.sim.unixMS()}, event)
	n.sim.traces.inForce(n)
	rebuild := false
	for _, effect := range effects {
		switch effect := effect.(type) {
		case core.Send:
			n.sim.transmit(n, effect)
		case core.SendSnapshot:
			n.sendSnapshot(effect)
		case core.ReadLog:
			n.sim.log.read(n, effect)
		case core.ReadSnapshots:
			n.sim.log.readSnapshots(n, effect)
		case core.Append:
			n.sim.log.append(n, effect)
		case core.AppendSnapshot:
			n.sim.log.appendSnapshot(n, effect)
		case core.PublishReady:
			n.ready, rebuild = effect.Ready, true
		case core.PublishTable:
			rebuild = true
		}
	}
	if rebuild && n.ready {
		n.table = routing.Build(n.core.Routing(), n.tracker, n.now())
	}
}

func (n *simNode) sendSnapshot(e core.SendSnapshot) {
	state := n.core.State()
	data, err := snapshot.Encode(state)
	if err != nil {
		panic(err)
	}
	response := e.Response
	response.Snapshot = &distribution.Snapshot{Revision: state.Revision, Data: data}
	n.sim.transmit(n, core.Send{To: e.To, Method: core.MethodPullResponse, Params: response})
	n.later(regionDelay, core.TransferDone{To: e.Node})
}

// eventOf is the event that a message causes at its receiver.
func eventOf(e core.Send) core.Event {
	switch params := e.Params.(type) {
	case membership.Message:
		return core.MembershipReceived{Message: params}
	case distribution.Push:
		return core.PushReceived{Push: params}
	case distribution.PullRequest:
		return core.PullReceived{Request: params}
	case core.PullResponse:
		return core.PullResponseReceived{Response: params}
	case core.EvidenceReport:
		return core.EvidenceReceived{Report: params}
	case core.HolderStatus:
		return core.HolderStatusReceived{Status: params}
	case rollout.Cut:
		return core.CutReceived{Cut: params}
	case core.CrashReport:
		return core.CrashReceived{Report: params}
	case idempotency.Handover:
		return core.HandoverReceived{Handover: params}
	case core.HandoverReply:
		return core.HandoverReplied{Reply: params}
	default:
		panic(fmt.Sprintf("message without an event: %T", e.Params))
	}
}
