package canary

import (
	"time"

	"heathercroft.example/heathercroft/pkg/logpos"
)

// Phase is the progress of a move.
type Phase string

// The phases. Completed and Reverted are final.
const (
	// Observing sends a small share of the traffic to the new version.
	Observing Phase = "observing"
	// Shifted sends all traffic to the new version; the old one is still running.
	Shifted Phase = "shifted"
	// Completed means that the old version may stop.
	Completed Phase = "completed"
	// Reverted means that the new version gets no more traffic.
	Reverted Phase = "reverted"
)

// Order requests a move.
type Order struct {
	Service string `json:"service"`
	// Version is the new version.
	Version string `json:"version"`
	// Number identifies the recorded order among those for the service. Nodes that read an
	// order in different eras of the store may number it differently until it is recorded.
	Number   uint64        `json:"number"`
	Duration time.Duration `json:"duration"`
	// Position is where the order was read.
	Position logpos.Position `json:"position,omitzero"`
}

// sameContent reports whether two orders request the same.
func (o Order) sameContent(p Order) bool {
	return o.Service == p.Service && o.Version == p.Version && o.Duration == p.Duration
}

// Same reports whether two nodes read the same order. After the store was restored from an
// older copy, an operator writes a lost order again, at another offset.
func (o Order) Same(p Order) bool {
	switch {
	case !o.sameContent(p):
		return false
	case o.unplaced() || p.unplaced():
		return o.Number == p.Number
	default:
		return o.Position.Era != p.Position.Era || o.Position.Offset == p.Position.Offset
	}
}

// unplaced reports whether the order has no position: moves recorded by former versions of
// the node have none, and only their number tells which order they belong to.
func (o Order) unplaced() bool { return o.Position == logpos.Position{} }

// maxEarlierOrders is the number of earlier orders that a move names. A restoration loses
// seconds, in which few orders for one service are given.
const maxEarlierOrders = 4

// Move is an order with its state, as shared by all nodes.
type Move struct {
	Order
	Phase Phase `json:"phase"`
	// StartUnixMS and DeadlineUnixMS are Unix times in milliseconds.
	StartUnixMS    int64 `json:"started"`
	DeadlineUnixMS int64 `json:"deadline"`
	// Revision increases with each phase of the move.
	Revision int `json:"revision"`
	// Earlier holds the last orders for the service before this one, the newest last. A
	// restored store may bring one of them back before the operator repeats this one.
	Earlier []Order `json:"earlier,omitempty"`
}

// Replace returns the initial state of an order that replaces that of m.
func (m Move) Replace(o Order, unixMS int64) Move {
	next := NewMove(o, unixMS)
	next.recordEarlier(m)
	return next
}

// recordEarlier records that m's order follows that of another move.
func (m *Move) recordEarlier(before Move) {
	m.Number = max(m.Number, before.Number+1)
	m.Earlier = append(append([]Order(nil), before.Earlier...), before.Order)
	m.Earlier = m.Earlier[max(0, len(m.Earlier)-maxEarlierOrders):]
}

// Follow returns m with its order after that of another move, which was learned later.
func (m Move) Follow(before Move) Move {
	m.recordEarlier(before)
	return m
}

// names reports whether an order is one of the earlier ones of m: as recorded, or as it
// survived at its offset in a restored store.
func (m Move) names(o Order) bool {
	for _, e := range m.Earlier {
		if e.sameContent(o) && (e.Number == o.Number || e.Position.Offset == o.Position.Offset) {
			return true
		}
	}
	return false
}

// Later reports whether the order of m was given after that of o.
func (m Move) Later(o Move) bool {
	names, named := m.names(o.Order), o.names(m.Order)
	switch {
	case names != named:
		return names
	case m.Same(o.Order):
		return false
	case m.unplaced() || o.unplaced():
		return m.Number > o.Number
	default:
		return m.Position.After(o.Position)
	}
}

// Open reports whether the move is still undecided.
func (m Move) Open() bool { return m.Phase == Observing || m.Phase == Shifted }

// NewMove returns the initial state of an ordered move.
func NewMove(o Order, unixMS int64) Move {
	return Move{
		Order: o, Phase: Observing, StartUnixMS: unixMS, DeadlineUnixMS: unixMS + o.Duration.Milliseconds(), Revision: 1,
	}
}

// Next returns the move in a new phase.
func (m Move) Next(p Phase) Move {
	m.Phase = p
	m.Revision++
	return m
}

// Supersedes reports whether m replaces o. A decision about an order is final: it holds against
// an open state of any revision, which may come from a node that missed the decision before the
// store lost it.
func (m Move) Supersedes(o Move) bool {
	switch {
	case m.Later(o):
		return true
	case o.Later(m) || !m.Same(o.Order):
		return false
	case m.Open() && o.Open():
		return m.Revision > o.Revision
	case m.Open() != o.Open():
		return !m.Open()
	default:
		// The targets of the old version have stopped once a move was reported as completed.
		return m.Phase == Completed && o.Phase == Reverted
	}
}

const (
	// baseCanaryShare is the share of the new version while it is observed. A faulty
	// version may get at most a tenth of all requests until the deadline; the rest of the
	// tenth is reserved for a fault that shows only after all traffic has moved.
	baseCanaryShare = 0.012
	// extraRequests are sent to the new version in addition to the share, spread over
	// the move, so that a service with little traffic provides evidence too. A faulty
	// version may get at most 50 requests beyond the tenth.
	extraRequests = 15
	// maxCanaryShare bounds the share for services with very little traffic.
	maxCanaryShare = 0.12
	// shiftLead is how long before the deadline traffic moves. It covers the steps of the shift, the
	// longest requests at the old version and two conditional writes to a slow store.
	shiftLead = 3200 * time.Millisecond
	// rampTime is how long a shift sends only rampShare of the requests to the new version, so that
	// the limits of a trial last until the old version has ended its requests.
	rampTime  = 600 * time.Millisecond
	rampShare = 0.25
	// minShiftTime is the time from the shift until the old version is released, at least. A fault
	// that shows only under load has time to show and to become known.
	minShiftTime = 1400 * time.Millisecond
	// revertLead is how long before the deadline a suspicion that is neither confirmed nor
	// refuted reverts the move: time to write the decision and its status. Completing it
	// would stop the old version, and with it the only way back.
	revertLead = 600 * time.Millisecond
	// minNewResponses is how many responses of the new version a move needs before all
	// traffic is moved.
	minNewResponses = 8
)

// Share returns the share of the service's requests that goes to the new version.
// perSecond is the rate of the service's requests, inPhase how long the node has known the present
// phase.
func (m Move) Share(perSecond float64, inPhase time.Duration) float64 {
	switch m.Phase {
	case Shifted:
		if inPhase < rampTime {
			return rampShare
		}
		return 1
	case Completed:
		return 1
	case Observing:
		expected := max(perSecond, 1) * m.Duration.Seconds()
		return min(baseCanaryShare+extraRequests/expected, maxCanaryShare)
	default:
		return 0
	}
}

// Snapshot is the state that a node bases its decision on.
type Snapshot struct {
	UnixMS int64
	// Faulty is set if the verdict on the new version is VerdictFaulty.
	Faulty bool
	// Suspected is set while this node or another live one suspects the new version.
	Suspected bool
	// NewResponses is how many responses of the new version were counted.
	NewResponses int
	// NewTargets is how many targets of the new version are serving.
	NewTargets int
	// OldRequests is how many requests are running or queued at targets of other
	// versions.
	OldRequests int
	// AcknowledgedByAll is set once all live nodes know the present phase.
	AcknowledgedByAll bool
	// Doubtful is set while there is evidence against the new version that is not enough to
	// suspect it.
	Doubtful bool
	// Untried is a route on which the new version has not shown yet that it works, "" if there is none.
	Untried string
	// Uneven is set while the response times of the new version vary more than those of the old one.
	Uneven bool
	// InPhase is how long this node has known the present phase.
	InPhase time.Duration
}

// HeldBy returns why a shifted move is not completed, "" if nothing holds it.
func (m Move) HeldBy(s Snapshot) string {
	switch {
	case m.Phase != Shifted:
		return ""
	case s.Suspected:
		return "suspected"
	case s.InPhase < minShiftTime:
		return "shift-time"
	case s.Doubtful:
		return "doubtful"
	case s.Untried != "" && s.UnixMS < m.DeadlineUnixMS+maxEvidenceTime.Milliseconds():
		return "untried-route"
	case s.Uneven && s.UnixMS < m.DeadlineUnixMS+maxEvidenceTime.Milliseconds():
		return "uneven"
	case !s.AcknowledgedByAll:
		return "not-acknowledged"
	case s.OldRequests > 0:
		return "old-requests"
	default:
		return ""
	}
}

// Decide returns the phase that the move should be in.
func (m Move) Decide(s Snapshot) Phase {
	left := time.Duration(m.DeadlineUnixMS-s.UnixMS) * time.Millisecond
	switch {
	case !m.Open():
		return m.Phase
	case s.Faulty, s.Suspected && left <= revertLead:
		return Reverted
	case s.Suspected:
		return m.Phase
	case m.Phase == Observing && left <= shiftLead && s.NewTargets > 0 && s.NewResponses >= minNewResponses:
		return Shifted
	case m.Phase == Shifted && m.HeldBy(s) == "":
		return Completed
	default:
		return m.Phase
	}
}
