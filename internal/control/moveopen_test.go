package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/canary"
)

// Guards against copies of requests while a version is under observation: the view of every node tells
// from the order on that a move is open, also while the new version is cut, until it is decided.
func TestViewTellsWhileAMoveIsOpen(t *testing.T) {
	for name, c := range map[string]struct {
		failing bool
		want    StatusState
	}{"completed": {false, StatusCompleted}, "reverted": {true, StatusReverted}} {
		t.Run(name, func(t *testing.T) {
			m := newTestMesh(t, "v1", "v1", "v2", "v2")
			open := func(want bool) {
				for _, n := range m.nodes {
					require.Equal(t, want, n.view.Endpoints["s"].MoveOpen, "%s", n.id)
				}
			}
			open(false)
			m.order("v2", 1)
			m.run(time.Second)
			open(true)
			m.runWith(10*time.Second, func() {
				m.countResponses("v1", 5, false)
				m.countResponses("v2", 1, c.failing)
			})
			require.Equal(t, c.want, m.statuses["s"].State)
			open(false)
		})
	}
}

// Guards against the bytes of a move that something holds after all traffic has moved: nodes exchange
// their states every 100 ms only at first.
func TestHeldMoveExchangesStatesLessOften(t *testing.T) {
	m := newTestMesh(t, manyTargets(30)...)
	exchanges := 0
	m.onExchange = func(_, _ *testNode, _, _ PeerState) { exchanges++ }
	m.order("v2", 1)
	m.run(time.Second)
	// A request that does not end at a target of the old version holds the release.
	for _, n := range m.nodes {
		if n.view.Target.Version == "v1" {
			m.step(n, LoadMeasured{Running: 1})
		}
	}
	for _, n := range m.nodes {
		require.Contains(t, n.moves, "s")
		n.moves["s"].move.Phase, n.moves["s"].phaseSince = canary.Shifted, m.now
	}
	count := func(time time.Duration) int {
		before := exchanges
		m.run(time)
		return exchanges - before
	}
	first := count(2 * time.Second)
	m.run(2 * time.Second)
	held := count(2 * time.Second)
	for _, n := range m.nodes {
		require.Equal(t, canary.Shifted, n.moves["s"].move.Phase)
	}
	require.Less(t, 3*held, first, "%d and %d exchanges in two seconds", first, held)
}
