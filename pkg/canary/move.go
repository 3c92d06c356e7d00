package canary

import "time"

// Phase is how far a move is.
type Phase string

// The phases. Completed and Reverted are final.
const (
	// Observing sends a small share to the new version.
	Observing Phase = "observing"
	// Shifted sends all traffic to the new version; the old one still runs.
	Shifted Phase = "shifted"
	// Completed means that the old version may stop.
	Completed Phase = "completed"
	// Reverted means that nothing goes to the new version any more.
	Reverted Phase = "reverted"
)

// Order asks for a move.
type Order struct {
	Service string `json:"service"`
	// Version is the new version.
	Version string `json:"version"`
	// Number tells this order from earlier ones for the service; later orders
	// have higher numbers.
	Number   uint64        `json:"number"`
	Duration time.Duration `json:"duration"`
}

// Move is an order and its state, as all nodes know it.
type Move struct {
	Order
	Phase Phase `json:"phase"`
	// Started and Deadline are Unix times in milliseconds.
	Started  int64 `json:"started"`
	Deadline int64 `json:"deadline"`
	// Revision increases with each phase of the move.
	Revision int `json:"revision"`
}

// Open reports whether the move is not decided yet.
func (m Move) Open() bool { return m.Phase == Observing || m.Phase == Shifted }

// NewMove returns the first state of an ordered move.
func NewMove(o Order, unixMS int64) Move {
	return Move{
		Order: o, Phase: Observing, Started: unixMS, Deadline: unixMS + o.Duration.Milliseconds(), Revision: 1,
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
	// baseShare is the share of the new version while it is observed. A bad
	// version may get a tenth of all requests until the deadline; the rest of the
	// tenth is needed when all traffic has moved and a fault shows only then.
	baseShare = 0.04
	// freeRequests are sent to the new version beyond the share, spread over the
	// move, so that a service with little traffic gives evidence too. A bad version
	// may get 50 beyond its share.
	freeRequests = 25
	// maxShare bounds the share of services with very little traffic.
	maxShare = 0.12
	// shiftLead is how long before the deadline all traffic moves. It covers the
	// spread of the phase and the longest requests at the old version.
	shiftLead = 2800 * time.Millisecond
	// completeLead is how long before the deadline the old version is given up.
	// It covers two conditional writes to a slow store, and leaves over a second in
	// which a fault that shows only under load is seen.
	completeLead = 1400 * time.Millisecond
	// minSeen is how many answers of the new version a move needs to complete.
	minSeen = 8
)

// Share returns the share of the service's requests that goes to the new
// version. perSecond is the rate of the service's requests.
func (m Move) Share(perSecond float64) float64 {
	switch m.Phase {
	case Shifted, Completed:
		return 1
	case Observing:
		expected := max(perSecond, 1) * m.Duration.Seconds()
		return min(baseShare+freeRequests/expected, maxShare)
	default:
		return 0
	}
}

// Snapshot is what a node knows when it decides.
type Snapshot struct {
	UnixMS int64
	// Faulty is the verdict on the evidence.
	Faulty bool
	// NewResponses is how many answers of the new version were counted.
	NewResponses int
	// NewTargets is how many targets of the new version serve.
	NewTargets int
	// OldRequests is how many requests run or wait at targets of other versions.
	OldRequests int
	// AcknowledgedByAll is set when all live nodes know the present phase.
	AcknowledgedByAll bool
}

// Decide returns the phase that the move should be in.
func (m Move) Decide(v Snapshot) Phase {
	left := time.Duration(m.Deadline-v.UnixMS) * time.Millisecond
	switch {
	case !m.Open():
		return m.Phase
	case v.Faulty:
		return Reverted
	case m.Phase == Observing && left <= shiftLead && v.NewTargets > 0 && v.NewResponses >= minSeen:
		return Shifted
	case m.Phase == Shifted && left <= completeLead && v.OldRequests == 0 && v.AcknowledgedByAll:
		return Completed
	default:
		return m.Phase
	}
}
