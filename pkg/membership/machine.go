package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// Machine is the membership view of one node. It is owned by one goroutine.
type Machine struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Duration
	out      []Effect
	lastTick time.Duration

	incarnation    uint64
	detail         Detail
	targetLastSeen time.Duration

	table    table
	rumors   rumors
	prober   prober
	exchange exchange
	joiner   joiner
	zones    zones
	reports  reports

	// correctedNodes holds the nodes that were sent a correction of an outdated
	// header since the last expiry run.
	correctedNodes map[mesh.NodeID]bool

	malformed          uint64
	generation         uint64
	notifiedGeneration uint64
	endpointCache      cachedEndpoints
	viewCache          cachedView
}

// New returns a machine that knows only the local node.
func New(cfg Config) *Machine {
	m := &Machine{
		cfg:            cfg,
		rng:            rand.New(cfg.Source),
		incarnation:    cfg.Incarnation,
		detail:         Detail{Info: cfg.Self},
		table:          newTable(),
		rumors:         newRumors(),
		zones:          newZones(),
		joiner:         newJoiner(),
		correctedNodes: make(map[mesh.NodeID]bool),
		generation:     1,
	}
	m.prober = newProber(m.jitter(0, ProbeInterval))
	m.exchange.next = m.jitter(0, ExchangeInterval)
	m.joiner.next = m.jitter(0, JoinDelayMin)
	m.zones.next = m.jitter(0, ZoneExchangeInterval)
	m.enqueueSelf()
	return m
}

// Step handles one event and returns the effects in the order in which they
// have to be executed.
func (m *Machine) Step(event Event) []Effect {
	m.now = max(m.now, event.now())
	switch e := event.(type) {
	case Tick:
		m.runTimers()
	case MessageReceived:
		m.receive(e.Message)
	case TargetAnnounced:
		m.targetAnnounced(e.Target)
	case Leave:
		m.leave()
	case RevisionApplied:
		m.applied(e.Revision, e.NACK)
	case NodeAnnounced:
		m.joiner.announce(e.Node, m.cfg.Self.ID)
	case NodeExpired:
		delete(m.joiner.announced, e.Node)
	case RefreshZones:
		m.refreshZones()
	}
	if m.notifiedGeneration != m.generation {
		m.notifiedGeneration = m.generation
		m.emit(ViewChanged{Generation: m.generation})
	}
	out := m.out
	m.out = nil
	return out
}

// Generation is incremented whenever Endpoints, Members or Zones change in
// anything but a revision, a NACK, a summary or a contact time.
func (m *Machine) Generation() uint64 { return m.generation }

// MalformedCount returns how many received messages or updates were dropped because
// they violated the protocol.
func (m *Machine) MalformedCount() uint64 { return m.malformed }

func (m *Machine) runTimers() {
	m.compensatePause()
	m.expireTarget()
	m.expireSuspects()
	m.runProbes()
	m.runJoin()
	m.runExchange()
	m.runZones()
	m.runReport()
	m.forwardToZones()
	m.expireMembers()
}

// compensatePause extends the timeouts of other members after a pause of the
// local process, during which it could not read their messages.
func (m *Machine) compensatePause() {
	gap := m.now - m.lastTick
	m.lastTick = m.now
	if gap <= PauseThreshold {
		return
	}
	m.prober.clearPending()
	m.targetLastSeen += gap
	for _, id := range m.table.suspected {
		m.table.members[id].deadline += gap
	}
	m.zones.clearAttempts()
}

func (m *Machine) receive(msg Message) {
	if !msg.valid() {
		m.malformed++
		return
	}
	if msg.From.Node == m.cfg.Self.ID {
		return
	}
	m.zones.recordContact(msg.From.Zone, m.now)
	corrections := m.acceptUpdates(msg)
	corrections = append(corrections, m.acceptHeader(msg.From)...)
	if msg.From.Zone == m.cfg.Self.Zone {
		m.acceptLinks(msg.Links)
	}
	if len(corrections) > 0 {
		m.sendUpdates(msg.From.RPCAddress, corrections)
	}
	switch {
	case msg.Probe != nil:
		m.acknowledgeProbe(msg.From, *msg.Probe)
	case msg.Ack != nil:
		m.handleAck(*msg.Ack)
	case msg.Indirect != nil:
		m.relayProbe(msg.From, *msg.Indirect)
	case msg.Digest != nil:
		m.answerDigest(msg.From, *msg.Digest)
	case msg.Entries != nil:
		m.compareEntries(msg.From, *msg.Entries)
	case msg.Want != nil:
		m.answerWant(msg.From, *msg.Want)
	case msg.Busy != nil:
		m.handleBusy(*msg.Busy)
	}
}

// acceptHeader records the sender's revision and returns the update that the
// sender has to refute. A sender with a newer incarnation than the known one is
// asked for its update.
func (m *Machine) acceptHeader(h Header) []Update {
	known := m.table.members[h.Node]
	order := 1
	if known != nil {
		order = compareIncarnation(h.Incarnation, h.Session, known.incarnation, known.detail.Info.Session)
	}
	switch {
	case order > 0:
		if m.allowCorrection(h.Node) {
			m.send(h.RPCAddress, Message{Want: &Want{Nodes: []mesh.NodeID{h.Node}}})
		}
		return nil
	case order == 0:
		known.report(h.Revision, h.NACK)
		if healthy(known) {
			return nil
		}
	}
	if m.allowCorrection(h.Node) {
		return []Update{known.update()}
	}
	return nil
}

// allowCorrection limits the replies to outdated headers to one per node and
// expiryInterval. Without a limit, two nodes that cannot agree, such as two
// processes with the same node id, reply to each other in an endless loop.
func (m *Machine) allowCorrection(id mesh.NodeID) bool {
	if m.correctedNodes[id] || len(m.correctedNodes) >= maxCorrectedNodes {
		return false
	}
	m.correctedNodes[id] = true
	return true
}

const maxCorrectedNodes = 4096

func (k *member) report(revision record.Revision, nack string) {
	if revision >= k.detail.Revision {
		k.detail.Revision, k.detail.NACK = revision, nack
	}
}

func (m *Machine) header() Header {
	self := m.cfg.Self
	return Header{
		Node: self.ID, Session: self.Session, Zone: self.Zone, RPCAddress: self.RPCAddress,
		Incarnation: m.incarnation, Revision: m.detail.Revision, NACK: m.detail.NACK,
	}
}

func (m *Machine) send(to netip.AddrPort, msg Message) {
	msg.From = m.header()
	m.emit(SendMessage{To: to, Message: msg})
}

// sendGossip sends a message with as many pending updates as fit.
func (m *Machine) sendGossip(to netip.AddrPort, receiver mesh.NodeID, msg Message) {
	var first []Update
	if k := m.table.members[receiver]; k != nil && (k.state == Suspect || k.state == Dead) {
		first = []Update{k.update()}
	}
	limit := m.forwardLimit()
	msg.Updates = m.rumors.take(first, receiver, limit)
	msg.Links = m.zones.takeLinks(limit)
	m.send(to, msg)
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

func (m *Machine) changed() { m.generation++ }

// jitter returns a random time in [low, high).
func (m *Machine) jitter(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)))
}
