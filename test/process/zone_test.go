package process_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/query"
	"heathercroft.example/heathercroft/internal/testbed"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// shareAt returns the share of a version as a node sees it.
func (m *fleet) shareAt(at *testbed.Member, service, version string) record.BasisPoints {
	m.t.Helper()
	reply, _ := m.command(at, "show services")
	for _, s := range reply.Services {
		for _, v := range s.Versions {
			if s.Name == service && v.Version == version {
				return v.Weight
			}
		}
	}
	return 0
}

// TestZoneCutHealAndRestart guards against a zone that stops serving when it is
// cut off, that raises a share or claims to know what it cannot see meanwhile,
// and that serves an older configuration after a restart without anyone to ask
// (G1, G4, G6, G10).
func TestZoneCutHealAndRestart(t *testing.T) {
	t.Parallel()
	m := newFleet(t, "")
	m.add("courier", "v1", zoneCount, 2)
	m.add("courier", "v2", zoneCount, 1)
	m.configure("courier")
	m.putVersions("courier")
	inside, outside := m.zone(3), m.Members()[0]
	run := startCallers([]*testbed.Member{m.zone(1)[0], m.zone(2)[0], inside[0]}, "/courier")
	id := m.startMove(outside, "courier", "60s")
	m.waitMove(id, generous, "started", func(r state.Rollout) bool { return r.Weight > 0 })

	m.cut(3, zoneCount)
	share := record.BasisPoints(0)
	for _, member := range inside {
		share = max(share, m.shareAt(member, "courier", "v2"))
	}
	local := startCallers(inside, "/courier")
	for _, member := range inside {
		require.NoError(t, testbed.WaitFor(generous, func() error {
			reply, _ := m.command(member, fmt.Sprintf("show move %d", id))
			if reply.Status != query.StatusUnknown {
				return fmt.Errorf("%s says %s of the move: %s", member.Name, reply.Status, reply.Reason)
			}
			return nil
		}))
	}
	require.NoError(t, testbed.WaitFor(generous, func() error {
		reply, _ := m.command(outside, "show in force")
		if !slices.Contains(reply.UnseenZones, "zone-3") {
			return fmt.Errorf("zone-3 is not among the unseen zones %v", reply.UnseenZones)
		}
		return nil
	}))
	refused, _ := m.command(inside[0], "put route cut prefix \"/cut\" to courier within 1s")
	require.NotEqual(t, query.StatusDone, refused.Status)
	change, _ := m.command(outside, "put route new prefix \"/new\" to courier within 4s")
	require.Equal(t, query.StatusUnknown, change.Status, "%+v", change)
	require.Contains(t, change.UnseenZones, "zone-3")
	// The move would raise the share in this time: its next step is due within 9 s.
	time.Sleep(4 * time.Second)
	for _, member := range inside {
		require.LessOrEqual(t, m.shareAt(member, "courier", "v2"), share, "%s raised the share", member.Name)
	}
	local.end()
	require.NotZero(t, len(local.visits))
	require.Empty(t, local.failed)

	m.heal(3, zoneCount)
	healed := time.Now()
	m.waitRevision(change.Revision, inForceLimit, m.Members()...)
	t.Logf("in force in the healed zone after %s", time.Since(healed).Round(10*time.Millisecond))
	run.end()
	t.Logf("%d calls from all zones, %d failed", len(run.visits), len(run.failed))

	m.platform(map[string]any{"outage": "hang"})
	m.cut(3, zoneCount)
	for _, member := range inside {
		member.Node.Kill()
	}
	for _, member := range inside {
		require.NoError(t, member.StartNode())
	}
	for _, member := range inside {
		require.NoError(t, testbed.WaitFor(generous, func() error {
			a := post(member, "/courier", "", time.Second, nil)
			return a.err
		}))
	}
	for begun := time.Now(); time.Since(begun) < 7*time.Second; time.Sleep(250 * time.Millisecond) {
		for _, member := range inside {
			a := post(member, "/courier", "", time.Second, nil)
			require.NoError(t, a.err)
			require.Equal(t, "not-run not-ready", a.outcome+" "+a.reason, "%s answers %d %s", member.Name, a.status, a.body)
		}
	}
	// The platform stays out; the other zones come back.
	m.Network.Heal(3, 1)
	m.Network.Heal(3, 2)
	for _, member := range inside {
		require.NoError(t, member.WaitReady(generous))
		got, err := revision(member)
		require.NoError(t, err)
		require.GreaterOrEqual(t, got, uint64(change.Revision))
		require.NoError(t, testbed.WaitFor(generous, func() error { return testbed.Get(member.CallerURL()+"/new", nil) }))
	}
}
