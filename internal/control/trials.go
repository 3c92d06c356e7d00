package control

import (
	"time"

	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// A version is on trial from the order of its move until the move is decided. The node beside a
// target of the version limits what the target gets.

// trialTimeout is the time without news of the other nodes after which a node sends no more requests
// to a version on trial. A faulty version must get no more requests 5 s after its fiftieth bad
// response.
const trialTimeout = 2500 * time.Millisecond

// stopped reports whether the new version gets no requests, as far as this node knows.
func (m *moveState) stopped() bool {
	if !m.move.Open() {
		return m.move.Phase == canary.Reverted
	}
	return m.cut || m.known.Suspected && m.known.Number == m.move.Number
}

// followsTrial reports whether this node would have heard if another one had stopped the trial.
func (c *Control) followsTrial(t Time, m *moveState) bool {
	if !m.move.Open() || c.dir.Len() == 0 {
		return true
	}
	if c.large() && !c.isReader() {
		s, ok := c.summaries[m.move.Service]
		return ok && s.Number == m.move.Number && t.Now-s.at < trialTimeout
	}
	for _, p := range c.peers {
		if t.Now-p.receivedAt < trialTimeout {
			return true
		}
	}
	return false
}

// targetStopped reports whether the local target is one of a version on trial that gets no requests.
// Requests of nodes that do not know it yet are refused here.
func (c *Control) targetStopped() bool {
	own := c.self.Target
	if own == nil {
		return false
	}
	m, ok := c.moves[own.Service]
	return ok && own.Version == m.move.Version && m.recorded && m.stopped()
}

// trial returns the limits of the local target, nil if its version is not on trial.
func (c *Control) trial(t Time) *canary.Trial {
	own := c.self.Target
	if own == nil {
		return nil
	}
	m, ok := c.moves[own.Service]
	if !ok || own.Version != m.move.Version || !m.move.Open() {
		return nil
	}
	reached := 0
	if m.known.Number == m.move.Number {
		// Targets that this node no longer hears from have their part, too.
		reached, m.mostTargets = m.known.Reached, max(m.mostTargets, m.known.NewTargets)
	}
	watched := (t.Now - m.learnedAt).Seconds() / m.move.Duration.Seconds()
	return &canary.Trial{
		Number: m.move.Number, Version: m.move.Version, Deadline: m.deadline,
		Allowed: c.exposeLimits.PerTarget(reached, m.mostTargets, watched),
	}
}

// reachedKey identifies a target and the process that counts its responses.
type reachedKey struct {
	node        mesh.NodeID
	startUnixMS int64
	target      string
}

// reachedCounts are the responses of a target that were known at first and are known now.
type reachedCounts struct{ first, last int }

// countReached returns how many responses the targets of the service have been counted with since
// this process learned of the move. Each target counts from its first message on, so that what it
// counted before the order is left out.
func (c *Control) countReached(m canary.Move) int {
	state, ok := c.moves[m.Service]
	if !ok || state.move.Number != m.Number {
		return 0
	}
	if state.reached == nil {
		state.reached = map[reachedKey]reachedCounts{}
	}
	count := func(a directory.Announcement, e canary.Evidence) {
		if a.Target == nil || a.Target.Service != m.Service || len(e) == 0 {
			// Nodes that do not know of the move send no counts.
			return
		}
		key, total := reachedKey{a.Node, a.StartUnixMS, a.Target.ID}, e.Total().Responses
		known, ok := state.reached[key]
		if !ok {
			known.first = total
		}
		known.last = max(known.last, total)
		state.reached[key] = known
	}
	count(c.self, c.evidence)
	for _, p := range c.peers {
		count(p.Announcement, p.Evidence)
	}
	sum := 0
	for _, r := range state.reached {
		sum += r.last - r.first
	}
	return sum
}
