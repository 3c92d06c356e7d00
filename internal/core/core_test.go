package core_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// TestMain fixes the seed of the property tests, so that runs are reproducible,
// unless one is given on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// inForceBound is the required time for an accepted change to be in force everywhere.
const inForceBound = 9 * time.Second

func requireConverged(t require.TestingT, m *testMesh) {
	require.Empty(t, m.laggingNodes())
	digests := map[uint64][]string{}
	for _, n := range m.nodes {
		if n.up {
			digest, err := n.core.State().Digest()
			require.NoError(t, err)
			digests[digest] = append(digests[digest], string(n.info.ID))
		}
	}
	require.Len(t, digests, 1, "nodes at the same revision differ")
}

// Guards against a node that reports a stale not-ready after it became ready, which
// happens if the effects of one step are executed out of order.
func TestNodesBecomeReadyAndStayReady(t *testing.T) {
	m := newMesh(t, 1, 3, 3)
	m.run(15 * time.Second)
	for _, n := range m.nodes {
		require.True(t, n.ready, n.info.ID)
	}
	requireConverged(t, m)
}

// Guards against a change that takes effect twice, or is reported incorrectly, when
// the response to its append is lost.
func TestLostAppendResponsesDoNotDuplicateChanges(t *testing.T) {
	m := newMesh(t, 2, 2, 3)
	m.run(10 * time.Second)
	m.log.lostResponseRate = 1
	m.nodes[0].submit("change-1", record.PutService{Name: "courier", Version: "v1"}, 0)
	m.run(20 * time.Second)
	m.log.lostResponseRate = 0
	m.run(inForceBound)
	status := m.nodes[0].core.ChangeStatus("change-1")
	require.Equal(t, core.StageDecided, status.Stage)
	require.Equal(t, state.Accepted, status.Outcome.Code)
	requireConverged(t, m)
}

// Guards against a change that is reported as unknown although the platform
// refused each attempt, and against one that is reported as not run but did run.
func TestChangeDuringOutageIsNotRun(t *testing.T) {
	m := newMesh(t, 3, 2, 2)
	m.run(10 * time.Second)
	m.log.unavailable = true
	m.nodes[1].submit("change-1", record.PutService{Name: "courier", Version: "v1"}, 0)
	m.run(45 * time.Second)
	status := m.nodes[1].core.ChangeStatus("change-1")
	require.Equal(t, core.StageNotRun, status.Stage)
	m.log.unavailable = false
	m.run(30 * time.Second)
	require.Empty(t, m.nodes[0].core.State().Services)
	requireConverged(t, m)
}

// Guards against a change that stays unknown after its record was read back.
func TestUnknownChangeIsDecidedLater(t *testing.T) {
	m := newMesh(t, 10, 1, 1)
	m.run(10 * time.Second)
	m.log.lostResponseRate = 1
	m.intercept = func(e core.Event) core.Event {
		if page, ok := e.(core.LogPage); ok {
			return core.LogReadFailed{Read: page.Read, Reason: "hidden from the node"}
		}
		return e
	}
	m.nodes[0].submit("change-1", record.PutService{Name: "courier", Version: "v1"}, 0)
	m.run(45 * time.Second)
	require.Equal(t, core.StageUnknown, m.nodes[0].core.ChangeStatus("change-1").Stage)
	m.intercept, m.log.lostResponseRate = nil, 0
	m.run(inForceBound)
	status := m.nodes[0].core.ChangeStatus("change-1")
	require.Equal(t, core.StageDecided, status.Stage)
	require.Equal(t, state.Accepted, status.Outcome.Code)
}

// Guards against two conflicting changes at different nodes that are both reported
// as accepted.
func TestConflictingChangesReportTheWinner(t *testing.T) {
	m := newMesh(t, 4, 2, 2)
	m.run(10 * time.Second)
	m.nodes[0].submit("change-a", record.PutService{Name: "courier", Version: "v1"}, 0)
	m.nodes[3].submit("change-b", record.PutService{Name: "courier", Version: "v2"}, 0)
	m.run(inForceBound)
	a, b := m.nodes[0].core.ChangeStatus("change-a").Outcome, m.nodes[3].core.ChangeStatus("change-b").Outcome
	winner, loser := a, b
	if a.Code != state.Accepted {
		winner, loser = b, a
	}
	require.Equal(t, state.Accepted, winner.Code)
	require.Equal(t, state.Conflict, loser.Code)
	require.Equal(t, winner.Offset, loser.Winner)
}

// Guards against a record of a newer schema that a node skips or applies partially,
// or that stops nodes from serving.
func TestUnknownRecordIsNACKedAndServingGoesOn(t *testing.T) {
	m := newMesh(t, 5, 2, 2)
	m.run(10 * time.Second)
	m.nodes[0].submit("change-1", record.PutService{Name: "courier", Version: "v1"}, 0)
	m.run(inForceBound)
	before := m.nodes[0].revision
	m.append(m.nodes[0], core.Append{ID: "x", Data: []byte(`{"schema":1,"id":"x","kind":"from-the-future","base":1,"body":{}}`)})
	m.append(m.nodes[0], core.Append{ID: "y", Data: []byte(`{"schema":1,"id":"y","kind":"put-service","base":1,"body":{"name":"depot","version":"v1"}}`)})
	m.run(inForceBound)
	for _, n := range m.nodes {
		require.Less(t, n.revision, record.Revision(len(m.log.entries)))
		require.NotContains(t, n.core.State().Services, "depot")
		require.Contains(t, n.core.State().Services, "courier")
		require.NotEmpty(t, n.core.DistributionStatus().NACK)
		require.True(t, n.ready)
	}
	require.GreaterOrEqual(t, m.nodes[0].revision, before)
}

// faults applies the generated actions of a run to the mesh.
type faults struct {
	m       *testMesh
	changes int
	// owners maps each submitted change to its node and the node's session.
	owners map[string]owner
}

type owner struct {
	node    *testNode
	session int
}

func (f *faults) submit(t *rapid.T) {
	n := rapid.SampledFrom(f.m.nodes).Draw(t, "node")
	if !n.up {
		return
	}
	f.changes++
	id := fmt.Sprintf("change-%d", f.changes)
	service := rapid.SampledFrom([]string{"finder", "courier", "depot"}).Draw(t, "service")
	s := n.core.State()
	body, expected := record.Body(record.PutService{Name: service, Version: "v1"}), record.Revision(0)
	if svc, ok := s.Services[service]; ok {
		body, expected = record.PutVersion{Service: service, Version: "v" + id}, svc.Revision
	}
	f.owners[id] = owner{n, n.session}
	n.submit(id, body, expected)
}

func (f *faults) act(t *rapid.T) {
	m := f.m
	switch rapid.SampledFrom([]string{"submit", "submit", "kill", "start", "cut", "heal", "out", "back", "lose"}).Draw(t, "action") {
	case "submit":
		f.submit(t)
	case "kill":
		rapid.SampledFrom(m.nodes).Draw(t, "victim").kill()
	case "start":
		if n := rapid.SampledFrom(m.nodes).Draw(t, "starter"); !n.up {
			n.boot()
		}
	case "cut":
		m.partitioned[rapid.SampledFrom(m.nodes).Draw(t, "cut").info.Zone] = true
	case "heal":
		clear(m.partitioned)
	case "out":
		m.log.unavailable = true
	case "back":
		m.log.unavailable = false
	case "lose":
		m.messageLoss, m.log.lostResponseRate = 0.1, 0.3
	}
}

// heal ends all faults and restarts the killed nodes.
func (f *faults) heal() {
	clear(f.m.partitioned)
	f.m.log.unavailable, f.m.messageLoss, f.m.log.lostResponseRate = false, 0, 0
	for _, n := range f.m.nodes {
		if !n.up {
			n.boot()
		}
	}
}

// requireAccurateStatuses checks the reported statuses of changes against the log.
func (f *faults) requireAccurateStatuses(t require.TestingT) {
	for id, o := range f.owners {
		if !o.node.up || o.session != o.node.session {
			continue
		}
		status := o.node.core.ChangeStatus(id)
		copies := 0
		for _, entry := range f.m.log.entries {
			if strings.Contains(string(entry.Data), `"id":"`+id+`"`) {
				copies++
			}
		}
		switch status.Stage {
		case core.StageNotRun:
			require.Zero(t, copies, "%s was reported as not run", id)
		case core.StageDecided:
			if outcome, ok := o.node.core.State().Outcomes[id]; ok {
				require.Equal(t, outcome.Code, status.Outcome.Code, id)
			}
		}
	}
}

func checkFaults(t *rapid.T, intercept func(core.Event) core.Event) {
	m := newMesh(t, rapid.Uint64Range(1, 1<<40).Draw(t, "seed"), 3, rapid.IntRange(1, 3).Draw(t, "per_zone"))
	m.intercept = intercept
	f := &faults{m: m, owners: map[string]owner{}}
	m.run(time.Duration(rapid.IntRange(0, 10).Draw(t, "warm_up_s")) * time.Second)
	for range rapid.IntRange(1, 12).Draw(t, "actions") {
		f.act(t)
		m.run(time.Duration(rapid.IntRange(1, 6000).Draw(t, "pause_ms")) * time.Millisecond)
	}
	f.heal()
	// Queued records and those in a backoff of 10 s are appended first; the bound
	// applies from the last append on.
	m.run(60 * time.Second)
	m.nodes[0].submit("last", record.PutService{Name: "last", Version: "v1"}, 0)
	m.run(inForceBound)
	for _, n := range m.nodes {
		require.Contains(t, n.core.State().Services, "last", "%s at %v", n.info.ID, m.laggingNodes())
		require.True(t, n.ready, n.info.ID)
	}
	f.requireAccurateStatuses(t)
}

// Guards against a mesh that doesn't converge, returns to an older revision, has
// nodes with different states, or reports a wrong status of a change, after any
// combination of kills, restarts with lost memory, zone partitions, outages, lost
// messages and lost append responses.
func TestMeshSurvivesFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkFaults(t, nil) })
}

// Verifies that the check fails if a node takes a lost append response for a refusal.
func TestFaultCheckNoticesFalseNotRun(t *testing.T) {
	m := newMesh(t, 6, 1, 1)
	f := &faults{m: m, owners: map[string]owner{}}
	m.run(10 * time.Second)
	m.log.lostResponseRate = 1
	m.intercept = func(e core.Event) core.Event {
		switch e := e.(type) {
		case core.AppendResult:
			e.NotRun = true
			return e
		case core.LogPage:
			return core.LogReadFailed{Read: e.Read, Reason: "hidden from the node"}
		default:
			return e
		}
	}
	f.owners["change-1"] = owner{m.nodes[0], m.nodes[0].session}
	m.nodes[0].submit("change-1", record.PutService{Name: "courier", Version: "v1"}, 0)
	m.run(45 * time.Second)
	require.Equal(t, core.StageNotRun, m.nodes[0].core.ChangeStatus("change-1").Stage)
	failed := &recordingT{}
	f.requireAccurateStatuses(failed)
	require.True(t, failed.failed, "a false not-run passed the check")
}

// Verifies that the check fails if nodes drop pushed records and the responses to
// their pulls.
func TestConvergenceCheckNoticesDroppedRecords(t *testing.T) {
	m := newMesh(t, 7, 2, 4)
	m.run(10 * time.Second)
	m.intercept = func(e core.Event) core.Event {
		switch e.(type) {
		case core.PushReceived, core.PullResponseReceived:
			return core.Tick{}
		default:
			return e
		}
	}
	m.nodes[0].submit("change-1", record.PutService{Name: "courier", Version: "v1"}, 0)
	m.run(inForceBound)
	require.NotEmpty(t, m.laggingNodes())
}

// recordingT records whether a check failed.
type recordingT struct{ failed bool }

func (r *recordingT) Errorf(string, ...any) { r.failed = true }
func (r *recordingT) FailNow()              { r.failed = true }
