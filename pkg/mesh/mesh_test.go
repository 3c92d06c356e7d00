package mesh_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Guards against nodes that disagree about a rank, and against a lost candidate
// that changes the relative order of the others.
func TestRankAgreesWithOrderAndMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		var ids []mesh.NodeID
		for i := range rapid.IntRange(1, 20).Draw(t, "nodes") {
			ids = append(ids, mesh.NodeID(fmt.Sprintf("node-%d", i)))
		}
		order := mesh.RankNodes(key, ids)
		for i, id := range order {
			place, ok := mesh.Rank(key, id, ids)
			require.True(t, ok)
			require.Equal(t, i, place)
		}
		_, ok := mesh.Rank(key, "stranger", ids)
		require.False(t, ok)
		lost := rapid.IntRange(0, len(ids)-1).Draw(t, "lost")
		rest := slices.Delete(slices.Clone(ids), lost, lost+1)
		want := slices.DeleteFunc(order, func(id mesh.NodeID) bool { return id == ids[lost] })
		require.Equal(t, want, mesh.RankNodes(key, rest))
	})
}
