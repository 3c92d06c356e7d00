package process_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/logclient"
	"heathercroft.example/heathercroft/internal/query"
	"heathercroft.example/heathercroft/internal/testbed"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// step is an accepted record of a rollout.
type step struct {
	rollout record.RolloutID
	weight  record.BasisPoints
	// verdict is set for a passed comparison.
	verdict bool
}

func stepsOf(results []state.Result) []step {
	var steps []step
	for _, r := range results {
		if r.Outcome.Code != state.Accepted || r.Duplicate {
			continue
		}
		switch b := r.Record.Body.(type) {
		case record.StepRollout:
			steps = append(steps, step{rollout: b.Rollout, weight: b.Weight})
		case record.RolloutVerdict:
			steps = append(steps, step{rollout: b.Rollout, weight: b.Weight, verdict: true})
		}
	}
	return steps
}

// unverifiedShares returns the steps over 5 % without a passed comparison before them.
func unverifiedShares(steps []step) []string {
	passed := map[record.RolloutID]bool{}
	var wrong []string
	for _, s := range steps {
		switch {
		case s.verdict:
			passed[s.rollout] = true
		case s.weight > 500 && !passed[s.rollout]:
			wrong = append(wrong, fmt.Sprintf("move %d at %d bp without a comparison", s.rollout, s.weight))
		}
	}
	return wrong
}

// TestUnverifiedSharesAreFound guards against a check of shares that cannot fail.
func TestUnverifiedSharesAreFound(t *testing.T) {
	good := []step{{1, 100, false}, {1, 500, false}, {1, 500, true}, {1, 2500, false}}
	require.Empty(t, unverifiedShares(good))
	require.Len(t, unverifiedShares(append(good[:2:2], good[3])), 1)
	require.Len(t, unverifiedShares(append(good, step{2, 2500, false})), 1)
}

// startMove starts a move and returns its id.
func (m *fleet) startMove(at *testbed.Member, service, by string) record.RolloutID {
	m.t.Helper()
	reply, _ := m.command(at, fmt.Sprintf("start move %s from v1 to v2 by %s", service, by))
	require.NotEqual(m.t, query.StatusRefused, reply.Status, reply.Reason)
	return reply.Revision
}

func (m *fleet) move(id record.RolloutID) state.Rollout {
	m.t.Helper()
	s, _ := m.reduce()
	r, ok := s.Rollouts[id]
	require.True(m.t, ok, "move %d", id)
	return r
}

// waitMove waits until the log says what is wanted of a move.
func (m *fleet) waitMove(id record.RolloutID, limit time.Duration, what string, ok func(state.Rollout) bool) state.Rollout {
	m.t.Helper()
	var last state.Rollout
	require.NoError(m.t, testbed.WaitFor(limit, func() error {
		if last = m.move(id); !ok(last) {
			return fmt.Errorf("move %d is not %s: %+v", id, what, last)
		}
		return nil
	}))
	return last
}

// putVersions adds version v2 to services.
func (m *fleet) putVersions(services ...string) {
	m.t.Helper()
	for _, s := range services {
		reply, _ := m.command(m.Members()[0], "put version v2 of "+s+" within 30s")
		require.Equal(m.t, query.StatusDone, reply.Status, reply.Reason)
	}
}

// TestBadVersionsAreTakenBack guards against a bad version that gets traffic
// although calls show its fault (G4). The targets report that they are healthy and idle.
func TestBadVersionsAreTakenBack(t *testing.T) {
	t.Parallel()
	m := newFleet(t, "")
	bad := map[string]map[string]any{
		"route": {"error_share": 1.0, "path_prefix": "/route/special"},
		"slow":  {"latency_ms": 60},
		"busy":  {"error_share": 1.0, "above_in_flight": 2},
		"later": {"error_share": 0.5, "start_after_ms": 18000},
	}
	services := []string{"route", "slow", "busy", "later"}
	for _, s := range services {
		m.targetExtra = ""
		if s == "busy" {
			m.targetExtra = "[service_time]\nbase = \"40ms\"\njitter = \"10ms\"\n"
		}
		m.add(s, "v1", 2, 1)
		m.add(s, "v2", 2, 1)
	}
	m.configure(services...)
	reply, _ := m.command(m.Members()[0], "put route special prefix \"/route/special\" to route within 30s")
	require.Equal(t, query.StatusDone, reply.Status, reply.Reason)
	m.putVersions(services...)
	for _, member := range m.Members() {
		if member.Version == "v2" {
			m.fault(member, map[string]any{"faults": []any{bad[member.Service]}, "health": "ok", "load_factor": 0.0, "report_lag_ms": 10000})
		}
	}
	const moveTime = 32 * time.Second
	run := m.load(m.Members(), 600, moveTime+3*time.Second, "paths = [\"/busy\", \"/route\", \"/busy\", \"/slow\", \"/busy\", \"/later\", \"/route/special\"]\n[mix]\nread = 1.0\nkeyed = 0.0\nupload = 0.0")
	moves := map[string]record.RolloutID{}
	for _, s := range services {
		moves[s] = m.startMove(m.Members()[0], s, moveTime.String())
	}
	for _, s := range services {
		r := m.waitMove(moves[s], moveTime+inForceLimit, "ended", func(r state.Rollout) bool { return !r.Open() })
		t.Logf("%s: %s %s: %s", s, r.Status, r.Cause, r.Reason)
		require.Equal(t, state.RolloutRolledBack, r.Status, "%s: %+v", s, r)
	}
	entries := m.log()
	_, results := reduce(t, entries)
	steps := stepsOf(results)
	t.Log(steps)
	require.Empty(t, unverifiedShares(steps))
	requireNoFalseStep(t, entries, moves["slow"])
	requireClean(t, m.report(run))
}

// requireNoFalseStep demands that the log itself refuses a share over 5 % that
// no comparison allows: it appends one for a move that did not pass.
func requireNoFalseStep(t *testing.T, entries []logclient.Entry, id record.RolloutID) {
	t.Helper()
	for i, e := range entries {
		rec, err := record.Decode(e.Data)
		if err != nil {
			continue
		}
		if claim, ok := rec.Body.(record.ClaimRollout); !ok || claim.Rollout != id {
			continue
		}
		s, _ := reduce(t, entries[:i+1])
		data, err := record.Encode(record.Record{
			ID: "false-step", Author: rec.Author, Base: e.Offset, Epoch: record.Epoch(e.Offset),
			Body: record.StepRollout{Rollout: id, Weight: 2500},
		})
		require.NoError(t, err)
		r, err := s.Apply(e.Offset+1, data)
		require.NoError(t, err)
		require.NotEqual(t, state.Accepted, r.Outcome.Code)
		return
	}
	t.Fatalf("no claim of move %d", id)
}

// TestHolderDiesAndPauses guards against a move that stops with its holder, and
// against a holder that was paused past its takeover and goes on (fencing).
// Meanwhile operators hold, resume and take back another move.
func TestHolderDiesAndPauses(t *testing.T) {
	t.Parallel()
	m := newFleet(t, "")
	for _, s := range []string{"courier", "finder"} {
		m.add(s, "v1", 2, 1)
		m.add(s, "v2", 2, 1)
	}
	m.configure("courier", "finder")
	m.putVersions("courier", "finder")
	const moveTime = 45 * time.Second
	run := m.load([]*testbed.Member{m.Members()[0], m.Members()[1]}, 250, moveTime, "paths = [\"/courier\", \"/finder\"]\n[mix]\nread = 1.0\nkeyed = 0.0\nupload = 0.0")
	id := m.startMove(m.Members()[0], "courier", moveTime.String())
	held := m.startMove(m.Members()[1], "finder", moveTime.String())

	first := m.waitMove(id, generous, "held", func(r state.Rollout) bool { return r.Holder != "" && r.Weight > 0 })
	m.member(first.Holder).Node.Kill()
	killedAt := time.Now()
	second := m.waitMove(id, generous, "taken over", func(r state.Rollout) bool { return r.Epoch != first.Epoch })
	t.Logf("%s took over from %s after %s", second.Holder, first.Holder, time.Since(killedAt).Round(100*time.Millisecond))
	require.NoError(t, m.member(first.Holder).StartNode())

	operator := m.Members()[0]
	for _, member := range m.Members() {
		if member.Name != second.Holder && member.Name != first.Holder {
			operator = member
		}
	}
	reply, _ := m.command(operator, fmt.Sprintf("hold move %d within 20s", held))
	require.NotEqual(t, query.StatusRefused, reply.Status, reply.Reason)
	atHold := m.move(held)
	require.Equal(t, state.RolloutPaused, atHold.Status)

	require.NoError(t, m.member(second.Holder).Node.Pause())
	third := m.waitMove(id, generous, "taken over again", func(r state.Rollout) bool { return r.Epoch != second.Epoch })
	require.NoError(t, m.member(second.Holder).Node.Continue())
	require.NotEqual(t, second.Holder, third.Holder)

	require.Equal(t, atHold.Weight, m.move(held).Weight, "a held move rose")
	reply, _ = m.command(operator, fmt.Sprintf("resume move %d within 20s", held))
	require.NotEqual(t, query.StatusRefused, reply.Status, reply.Reason)
	require.Equal(t, state.RolloutProgressing, m.move(held).Status)
	reply, _ = m.command(operator, fmt.Sprintf("take back move %d because \"wrong build\" within 20s", held))
	require.Equal(t, query.StatusDone, reply.Status, reply.Reason)
	require.Equal(t, state.RolloutRolledBack, m.move(held).Status)

	end := m.waitMove(id, moveTime+inForceLimit, "ended", func(r state.Rollout) bool { return !r.Open() })
	require.Equal(t, state.RolloutDone, end.Status, "%+v", end)
	_, results := m.reduce()
	require.Empty(t, unverifiedShares(stepsOf(results)))
	late := 0
	for _, r := range results {
		if r.Record.Epoch != second.Epoch || r.Outcome.Offset <= record.Revision(third.Epoch) {
			continue
		}
		late++
		require.NotEqual(t, state.Accepted, r.Outcome.Code, "a record of the paused holder was accepted: %+v", r)
	}
	t.Logf("%d records of the paused holder came after the takeover", late)
	report := m.report(run)
	t.Logf("%+v", report.Node)
	// The two holders may be nodes through which calls enter: what was there when
	// they were killed or paused may be lost, and nothing else.
	for _, url := range m.lostAt("load-1") {
		touched := strings.HasPrefix(url, m.member(first.Holder).CallerURL()) || strings.HasPrefix(url, m.member(second.Holder).CallerURL())
		require.True(t, touched, "a call through %s was lost", url)
		report.Node.Lost--
	}
	requireClean(t, report)
}
