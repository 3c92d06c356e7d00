package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
