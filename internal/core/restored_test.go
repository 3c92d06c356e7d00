package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// Guards against nodes that go on with a log that was restored from an older copy: what they
// have in force would be mixed with records that assume another state, and operators would be
// told of changes that take effect on some nodes only. A restart starts from the restored log.
func TestRestoredLogIsUsedOnlyAfterARestart(t *testing.T) {
	for _, grown := range []bool{false, true} {
		m := newMesh(t, 4, 2, 3)
		m.run(15 * time.Second)
		m.nodes[0].submit("change-1", record.PutService{Name: "courier", Version: "v1"}, 0)
		m.run(inForceBound)
		require.Len(t, m.nodes[5].core.State().Services, 1)
		revision := len(m.log.entries)
		kept := revision - 1
		m.log.entries, m.log.era = m.log.entries[:kept:kept], 1
		if grown {
			for range 3 {
				m.log.entries = append(m.log.entries, m.log.entries[kept-1])
				m.log.entries[len(m.log.entries)-1].Offset = record.Revision(len(m.log.entries))
			}
		}
		// Nodes that do not read the log learn of it from others.
		m.run(15 * time.Second)
		end := len(m.log.entries)
		m.nodes[1].submit("change-2", record.PutService{Name: "depot", Version: "v1"}, 0)
		m.run(45 * time.Second)
		require.Equal(t, core.StageNotRun, m.nodes[1].core.ChangeStatus("change-2").Stage)
		require.Equal(t, end, len(m.log.entries), "a record that assumes a lost revision was written")
		restored := 0
		for _, n := range m.nodes {
			require.True(t, n.ready, "calls are still served")
			require.EqualValues(t, revision, n.core.State().Revision)
			for _, e := range n.events {
				if e.Kind == core.KindLogRestored {
					restored++
				}
			}
		}
		require.Positive(t, restored)
		for _, n := range m.nodes {
			n.kill()
		}
		for _, n := range m.nodes {
			n.boot()
		}
		m.run(15 * time.Second)
		m.nodes[2].submit("change-3", record.PutService{Name: "depot", Version: "v2"}, 0)
		m.run(inForceBound)
		status := m.nodes[2].core.ChangeStatus("change-3")
		require.Equal(t, state.Accepted, status.Outcome.Code)
		requireConverged(t, m)
	}
}
