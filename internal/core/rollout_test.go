package core_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/rollout"
	"heathercroft.example/heathercroft/pkg/state"
)

// startRollout starts a rollout of the service courier from v1 to v2 and returns
// its ID and its holder.
func startRollout(t *testing.T, m *testMesh) (record.RolloutID, *testNode) {
	for i, n := range m.nodes {
		n.step(core.TargetAnnounced{Target: mesh.Target{
			Service: "courier", Version: []string{"v1", "v2"}[i%2], Address: netip.MustParseAddrPort("127.0.0.1:9000"),
			Slots: 12, Connections: 100, State: mesh.TargetServing,
		}})
	}
	m.run(2 * time.Second)
	first := m.nodes[0]
	first.submit("service", record.PutService{Name: "courier", Version: "v1"}, 0)
	m.run(time.Second)
	first.submit("version", record.PutVersion{Service: "courier", Version: "v2"}, first.core.State().Services["courier"].Revision)
	m.run(time.Second)
	first.submit("start", record.StartRollout{
		Service: "courier", From: "v1", To: "v2", StartUnixMS: m.unixMS(), DeadlineUnixMS: m.unixMS() + 600_000,
	}, 0)
	m.run(2 * time.Second)
	require.Equal(t, state.Accepted, first.core.ChangeStatus("start").Outcome.Code)
	id := first.core.ChangeStatus("start").Outcome.Offset
	r := first.core.State().Rollouts[id]
	require.Positive(t, int(r.Weight))
	for _, n := range m.nodes {
		if string(n.info.ID) == r.Holder {
			return id, n
		}
	}
	require.FailNow(t, "no holder")
	return 0, nil
}

// Guards against a holder that ignores the calls that a source counted before its
// first report: at night these may be the only ones.
func TestFirstReportOfASourceCounts(t *testing.T) {
	m := newMesh(t, 8, 1, 4)
	m.run(10 * time.Second)
	id, holder := startRollout(t, m)
	m.intercept = func(e core.Event) core.Event {
		// Without cut notifications, the holder depends on the reports alone.
		if _, ok := e.(core.CutReceived); ok {
			return core.Tick{}
		}
		return e
	}
	counts := func(calls, failures uint64) rollout.Counts { return rollout.Counts{Calls: calls, Failures: failures} }
	for _, n := range m.nodes {
		if n != holder {
			n.step(core.EvidenceCounted{Delta: rollout.Evidence{
				{Service: "courier", Version: "v1", Route: "courier", Zone: "zone-0"}: counts(2000, 0),
				{Service: "courier", Version: "v2", Route: "courier", Zone: "zone-0"}: counts(20, 20),
			}})
		}
	}
	m.run(8 * time.Second)
	r := holder.core.State().Rollouts[id]
	require.Equal(t, state.RolloutRolledBack, r.Status)
}

// Guards against a rollout that stops with its holder, and against a partitioned
// holder that raises the traffic share after another node took over.
func TestAnotherNodeTakesOverAndTheOldHolderIsFenced(t *testing.T) {
	m := newMesh(t, 9, 3, 2)
	m.run(10 * time.Second)
	id, holder := startRollout(t, m)
	m.partitioned[holder.info.Zone] = true
	m.run(40 * time.Second)
	var other *testNode
	for _, n := range m.nodes {
		if n.info.Zone != holder.info.Zone {
			other = n
		}
	}
	taken := other.core.State().Rollouts[id]
	require.NotEqual(t, string(holder.info.ID), taken.Holder)
	require.Equal(t, string(holder.info.ID), holder.core.State().Rollouts[id].Holder)
	clear(m.partitioned)
	m.run(30 * time.Second)
	after := holder.core.State().Rollouts[id]
	require.GreaterOrEqual(t, after.Epoch, taken.Epoch)
	require.LessOrEqual(t, after.Weight, state.UnverifiedWeightLimit)
	requireConverged(t, m)
}
