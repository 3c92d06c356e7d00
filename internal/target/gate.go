package target

import (
	"context"
	"sync"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// gate admits requests up to the slots of the target, and none once it is leaving.
type gate struct {
	mu       sync.Mutex
	slots    int
	inFlight int
	leaving  bool
	// empty is closed once the target is leaving and nothing is in flight.
	empty chan struct{}
}

func newGate(slots int) *gate {
	return &gate{slots: slots, empty: make(chan struct{})}
}

// enter takes a slot. The reason is empty if there was one.
func (g *gate) enter() (inFlight int, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.leaving:
		return g.inFlight, "target is leaving"
	case g.inFlight >= g.slots:
		return g.inFlight, "all slots are taken"
	}
	g.inFlight++
	return g.inFlight, ""
}

// exit gives a slot back.
func (g *gate) exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.leaving && g.inFlight == 0 {
		close(g.empty)
	}
}

// leave refuses all further requests.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return
	}
	g.leaving = true
	if g.inFlight == 0 {
		close(g.empty)
	}
}

// wait returns once the target is empty after leave, or when ctx ends.
func (g *gate) wait(ctx context.Context) error {
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *gate) load() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

func (g *gate) state() mesh.TargetState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return mesh.TargetLeaving
	}
	return mesh.TargetServing
}
