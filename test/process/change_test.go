package process_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/query"
	"heathercroft.example/heathercroft/internal/testbed"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
	"heathercroft.example/heathercroft/pkg/timeline"
)

// applied is one record that a node process applied, as its log tells.
type applied struct {
	Event    string
	Revision uint64
	ID       string
	Outcome  string
}

// history returns what each run of a node process applied, in order, from its
// log file, which survives a kill. Each run starts with its own "ready" cycle,
// so runs are told apart by the offsets of the file at their start.
func (m *fleet) history(name string, from int64) []applied {
	m.t.Helper()
	data, err := os.ReadFile(filepath.Join(m.Dir, "node-"+name+".log"))
	require.NoError(m.t, err)
	var list []applied
	lines := bufio.NewScanner(bytes.NewReader(data[from:]))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct {
			Event *timeline.Event `json:"event"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event != nil {
			e := line.Event
			list = append(list, applied{string(e.Kind), e.Revision, e.Fields["id"], e.Fields["outcome"]})
		}
	}
	return list
}

func (m *fleet) logSize(name string) int64 {
	m.t.Helper()
	info, err := os.Stat(filepath.Join(m.Dir, "node-"+name+".log"))
	require.NoError(m.t, err)
	return info.Size()
}

// stepsBack returns where one run of a node applied a revision that is not newer
// than the one before, and where it decided other than an earlier run or node.
func stepsBack(list []applied, decided map[uint64]string) []string {
	var wrong []string
	last := uint64(0)
	for _, a := range list {
		if a.Event != "record-applied" {
			continue
		}
		if a.Revision <= last {
			wrong = append(wrong, fmt.Sprintf("revision %d after %d", a.Revision, last))
		}
		last = a.Revision
		decision := a.ID + " " + a.Outcome
		if earlier, ok := decided[a.Revision]; ok && earlier != decision {
			wrong = append(wrong, fmt.Sprintf("revision %d is %q here and %q elsewhere", a.Revision, decision, earlier))
		}
		decided[a.Revision] = decision
	}
	return wrong
}

// TestStepsBackAreFound guards against a check of revisions that cannot fail.
func TestStepsBackAreFound(t *testing.T) {
	ok := []applied{{"record-applied", 3, "a", "accepted"}, {"ready", 0, "", ""}, {"record-applied", 5, "b", "conflict"}}
	decided := map[uint64]string{}
	require.Empty(t, stepsBack(ok, decided))
	require.Len(t, stepsBack([]applied{ok[2], ok[0]}, decided), 1)
	require.Len(t, stepsBack([]applied{{"record-applied", 5, "b", "accepted"}}, decided), 1)
}

// readers returns the two members of a zone that read the log.
func (m *fleet) readers(zone byte) []*testbed.Member {
	var nodes []mesh.NodeID
	for _, member := range m.zone(zone) {
		nodes = append(nodes, mesh.NodeID(member.Name))
	}
	var readers []*testbed.Member
	for _, id := range mesh.RankNodes(m.zone(zone)[0].Zone, nodes)[:2] {
		readers = append(readers, m.member(string(id)))
	}
	return readers
}

// TestChangesWhileReaderDiesAndNodeRestarts guards against records that are lost
// or applied out of order when a zone reader is killed and another node restarts
// (G1, G10), and against answers that get lost meanwhile (G5).
func TestChangesWhileReaderDiesAndNodeRestarts(t *testing.T) {
	t.Parallel()
	m := newFleet(t, "")
	m.add("courier", "v1", 2, 3)
	m.add("finder", "v1", 1, 1)
	m.configure("courier", "finder")
	killed := m.readers(2)[0]
	var restarted *testbed.Member
	for _, member := range m.zone(1) {
		if member != m.Members()[0] && member.Service == "courier" {
			restarted = member
		}
	}
	var via []*testbed.Member
	for _, member := range m.Members() {
		if member != killed && member != restarted {
			via = append(via, member)
		}
	}
	run := m.load(via, 150, 9*time.Second, "paths = [\"/courier\", \"/finder\"]\n[mix]\nread = 0.8\nkeyed = 0.15\nupload = 0.05\nupload_bytes = 262144")
	var last record.Revision
	boundaries := map[string]int64{}
	for i := range 16 {
		if i == 4 {
			killed.Node.Kill()
		}
		if i == 8 {
			require.NoError(t, restarted.Node.Terminate(generous))
			boundaries[restarted.Name] = m.logSize(restarted.Name)
			require.NoError(t, restarted.StartNode())
			m.requireReadyAt(restarted, last)
		}
		if i == 11 {
			boundaries[killed.Name] = m.logSize(killed.Name)
			require.NoError(t, killed.StartNode())
			m.requireReadyAt(killed, last)
		}
		reply, _ := m.command(via[i%len(via)], fmt.Sprintf("put route r%d prefix \"/r%d\" to courier within 1s", i, i))
		require.Contains(t, []query.Status{query.StatusDone, query.StatusUnknown, query.StatusInProgress}, reply.Status, reply.Reason)
		last = max(last, reply.Revision)
	}
	m.waitRevision(last, inForceLimit, m.Members()...)
	report := m.report(run)
	t.Logf("%+v", report.Node)
	requireClean(t, report)
	decided := map[uint64]string{}
	for _, member := range m.Members() {
		whole := m.history(member.Name, 0)
		tail := m.history(member.Name, boundaries[member.Name])
		require.NotEmpty(t, tail)
		require.Empty(t, stepsBack(whole[:len(whole)-len(tail)], decided), member.Name)
		require.Empty(t, stepsBack(tail, decided), member.Name)
	}
}

// requireReadyAt demands that a node serves only from a revision on.
func (m *fleet) requireReadyAt(member *testbed.Member, least record.Revision) {
	m.t.Helper()
	require.NoError(m.t, testbed.WaitFor(generous, func() error {
		got, err := revision(member)
		if err == nil {
			require.GreaterOrEqual(m.t, got, uint64(least), "%s serves an older revision", member.Name)
		}
		return err
	}))
}

// change sends a command under an id and returns the reply.
func (m *fleet) change(at *testbed.Member, id, command string) query.Reply {
	m.t.Helper()
	reply, _, err := at.Command("--id", id, command)
	require.NoError(m.t, err, command)
	return reply
}

// effects counts the accepted records of an id.
func effects(results []state.Result, id string) int {
	n := 0
	for _, r := range results {
		if r.ID == id && r.Outcome.Code == state.Accepted && !r.Duplicate {
			n++
		}
	}
	return n
}

// TestRacingOperatorsWithLostAnswers guards against a change that has two effects
// since its answer got lost, and against a loser who is not told what won.
func TestRacingOperatorsWithLostAnswers(t *testing.T) {
	t.Parallel()
	m := newFleet(t, "")
	m.add("courier", "v1", 2, 2)
	m.configure("courier")
	m.platform(map[string]any{"lost_share": 0.5})
	at := record.Revision(0)
	for round := range 5 {
		var replies [2]query.Reply
		var both sync.WaitGroup
		for side := range 2 {
			both.Add(1)
			go func() {
				defer both.Done()
				reply, _, err := m.Members()[3*side].Command("--id", fmt.Sprintf("race-%d-%d", round, side),
					fmt.Sprintf("put route raced prefix \"/raced-%d\" to courier at revision %d within 40s", side, at))
				if err != nil {
					reply.Reason = err.Error()
				}
				replies[side] = reply
			}()
		}
		both.Wait()
		winner, loser := 0, 1
		if replies[0].Status != query.StatusDone {
			winner, loser = 1, 0
		}
		require.Equal(t, query.StatusDone, replies[winner].Status, "%+v", replies)
		require.Equal(t, query.StatusRefused, replies[loser].Status, "%+v", replies)
		require.Equal(t, query.NotRun, replies[loser].Outcome)
		require.NotNil(t, replies[loser].Winner)
		require.Equal(t, replies[winner].ID, replies[loser].Winner.ID)
		require.Equal(t, replies[winner].Revision, replies[loser].Winner.Revision)
		at = replies[winner].Revision
		_, results := m.reduce()
		require.Equal(t, 1, effects(results, replies[winner].ID))
		require.Zero(t, effects(results, replies[loser].ID))
	}
}

// TestPlatformOutages guards against calls that stop with the platform, a false
// "done" during an outage, and a mesh that does not converge after it (G6, G10).
func TestPlatformOutages(t *testing.T) {
	t.Parallel()
	m := newFleet(t, "")
	m.add("courier", "v1", 3, 2)
	m.configure("courier")
	for i, outage := range []struct {
		mode   string
		length time.Duration
	}{{"hang", 4 * time.Second}, {"stall", 4 * time.Second}, {"unavailable", 12 * time.Second}} {
		m.platform(map[string]any{"outage": outage.mode})
		run := m.load(m.Members(), 100, outage.length, "paths = [\"/courier\"]\n[mix]\nread = 0.9\nkeyed = 0.0\nupload = 0.1\nupload_bytes = 100000")
		id := fmt.Sprintf("during-%d", i)
		during := m.change(m.Members()[i], id, fmt.Sprintf("put route d%d prefix \"/d%d\" to courier within 2s", i, i))
		require.Contains(t, []query.Status{query.StatusRefused, query.StatusUnknown, query.StatusWaiting, query.StatusInProgress}, during.Status, "%s: %+v", outage.mode, during)
		report := m.report(run)
		requireClean(t, report)
		require.Equal(t, report.Node.Sent, report.Node.Answered, "%s: %+v", outage.mode, report.Node)
		m.platform(map[string]any{"outage": "none"})
		over := time.Now()
		after := m.change(m.Members()[5-i], fmt.Sprintf("after-%d", i), fmt.Sprintf("put route a%d prefix \"/a%d\" to courier within 30s", i, i))
		require.NotEqual(t, query.StatusRefused, after.Status, "%s: %+v", outage.mode, after)
		m.waitRevision(max(after.Revision, 1), inForceLimit, m.Members()...)
		converged := time.Since(over)
		t.Logf("%s: told %s %s (%s), converged %s after its end", outage.mode, during.Status, during.Outcome, during.Reason, converged.Round(10*time.Millisecond))
		require.Less(t, converged, inForceLimit, outage.mode)
		require.Equal(t, query.StatusDone, after.Status, "%s: %+v", outage.mode, after)
		_, results := m.reduce()
		require.Equal(t, 1, effects(results, after.ID))
		require.LessOrEqual(t, effects(results, id), 1)
		if during.Outcome == query.NotRun {
			require.Zero(t, effects(results, id), "%s: told not-run and has an effect", outage.mode)
		}
	}
}
