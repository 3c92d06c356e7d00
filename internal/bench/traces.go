package bench

import (
	"fmt"
	"time"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/pkg/record"
)

// traces measures the time from the acceptance of a record to its being in
// force on each node that was up at the acceptance.
type traces struct {
	at map[record.Revision]time.Duration
	// samples holds one time for each pair of record and node.
	samples []time.Duration
}

func newTraces() *traces { return &traces{at: map[record.Revision]time.Duration{}} }

func (t *traces) accepted(offset record.Revision, now time.Duration) { t.at[offset] = now }

// inForce looks whether the last step of a node put records in force.
func (t *traces) inForce(n *simNode) {
	for after := n.core.Revision(); n.revision < after; {
		n.revision++
		if at, ok := t.at[n.revision]; ok && n.started <= at {
			t.samples = append(t.samples, n.sim.now-at)
		}
	}
}

// change submits a new route, at a random node unless one is set. Changes of
// the same route could not share an append.
func (s *Simulation) change(wait time.Duration) {
	n := s.submitter
	if n == nil {
		n = s.nodes[s.rng.IntN(len(s.nodes))]
	}
	if !n.up || !n.ready {
		return
	}
	service := fmt.Sprintf("service-%03d", s.rng.IntN(s.services))
	s.changes++
	name := fmt.Sprintf("route-%d", s.changes)
	n.step(core.ChangeSubmitted{Submission: core.Submission{
		ID: "change-" + name, Body: record.PutRoute{Name: name, Prefix: "/" + name, Service: service}, Wait: wait,
	}})
}

// changeAt submits changes as a Poisson process for a time.
func (s *Simulation) changeAt(perDay float64, d, wait time.Duration) {
	end := s.now + d
	var next func()
	next = func() {
		if s.now < end {
			s.change(wait)
			s.schedule(s.gap(perDay), next)
		}
	}
	s.schedule(s.gap(perDay), next)
}

func (s *Simulation) gap(perDay float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() / perDay * float64(24*time.Hour))
}
