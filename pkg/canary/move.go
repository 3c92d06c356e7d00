package canary

import "time"

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
	// Number distinguishes this order from earlier ones for the service; later orders
	// have higher numbers.
	Number   uint64        `json:"number"`
	Duration time.Duration `json:"duration"`
}

// Move is an order with its state, as shared by all nodes.
type Move struct {
	Order
	Phase Phase `json:"phase"`
	// StartUnixMS and DeadlineUnixMS are Unix times in milliseconds.
	StartUnixMS    int64 `json:"started"`
	DeadlineUnixMS int64 `json:"deadline"`
	// Revision increases with each phase of the move.
	Revision int `json:"revision"`
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

// Supersedes reports whether m replaces o.
func (m Move) Supersedes(o Move) bool {
	return m.Number > o.Number || m.Number == o.Number && m.Revision > o.Revision
}

const (
	// baseCanaryShare is the share of the new version while it is observed. A faulty
	// version may get at most a tenth of all requests until the deadline; the rest of the
	// tenth is reserved for a fault that shows only after all traffic has moved.
	baseCanaryShare = 0.04
	// extraRequests are sent to the new version in addition to the share, spread over
	// the move, so that a service with little traffic provides evidence too. A faulty
	// version may get at most 50 requests beyond the tenth.
	extraRequests = 25
	// maxCanaryShare bounds the share for services with very little traffic.
	maxCanaryShare = 0.12
	// shiftLead is how long before the deadline all traffic moves. It covers the
	// propagation of the phase and the longest requests at the old version.
	shiftLead = 2800 * time.Millisecond
	// completeLead is how long before the deadline the old version is released. It
	// covers two conditional writes to a slow store, and leaves over a second in which
	// a fault that shows only under load is detected.
	completeLead = 1400 * time.Millisecond
	// minNewResponses is how many responses of the new version a move needs before all
	// traffic is moved.
	minNewResponses = 8
)

// Share returns the share of the service's requests that goes to the new version.
// perSecond is the rate of the service's requests.
func (m Move) Share(perSecond float64) float64 {
	switch m.Phase {
	case Shifted, Completed:
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
	// NewResponses is how many responses of the new version were counted.
	NewResponses int
	// NewTargets is how many targets of the new version are serving.
	NewTargets int
	// OldRequests is how many requests are running or queued at targets of other
	// versions.
	OldRequests int
	// AcknowledgedByAll is set once all live nodes know the present phase.
	AcknowledgedByAll bool
}

// Decide returns the phase that the move should be in.
func (m Move) Decide(s Snapshot) Phase {
	left := time.Duration(m.DeadlineUnixMS-s.UnixMS) * time.Millisecond
	switch {
	case !m.Open():
		return m.Phase
	case s.Faulty:
		return Reverted
	case m.Phase == Observing && left <= shiftLead && s.NewTargets > 0 && s.NewResponses >= minNewResponses:
		return Shifted
	case m.Phase == Shifted && left <= completeLead && s.OldRequests == 0 && s.AcknowledgedByAll:
		return Completed
	default:
		return m.Phase
	}
}
