package process_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/load"
	"heathercroft.example/heathercroft/internal/logclient"
	"heathercroft.example/heathercroft/internal/query"
	"heathercroft.example/heathercroft/internal/testbed"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

const (
	// generous bounds waits whose length is not what a test is about.
	generous = 40 * time.Second
	// inForceLimit is the stated bound on a change being in force everywhere.
	inForceLimit = 9 * time.Second
	// leavingLimit is the stated bound on new work for a leaving target.
	leavingLimit = 3 * time.Second
	// configStream is the platform's stream of decisions.
	configStream = "heathercroft"
)

// fleet is a running set of nodes and targets.
type fleet struct {
	*testbed.Bed
	t     *testing.T
	seeds []*testbed.Member
	// nodeExtra is appended to the settings of each node.
	nodeExtra string
	// targetExtra is appended to the settings of each target that is added.
	targetExtra string
	loads       int
}

// newFleet starts the platform. Its logs are kept if the test fails.
func newFleet(t *testing.T, nodeExtra string) *fleet {
	t.Helper()
	running <- struct{}{}
	t.Cleanup(func() { <-running })
	m := &fleet{t: t, nodeExtra: nodeExtra}
	// Another run on this machine may use the same loopback addresses.
	for range 5 {
		dir, err := os.MkdirTemp("", "heathercroft-"+strings.ReplaceAll(t.Name(), "/", "-")+"-")
		require.NoError(t, err)
		m.Bed = testbed.New(dir, binaries)
		if err = m.StartPlatform(""); err == nil {
			t.Cleanup(m.end)
			return m
		}
		m.Close()
		require.NoError(t, os.RemoveAll(dir))
	}
	t.Fatal("no free loopback addresses")
	return nil
}

func (m *fleet) end() {
	m.Close()
	if m.t.Failed() {
		m.t.Log("settings and logs:", m.Dir)
		return
	}
	_ = os.RemoveAll(m.Dir)
}

// add starts count members of a version in each of the zones 1 to zones.
func (m *fleet) add(service, version string, zones, count int) {
	m.t.Helper()
	for zone := 1; zone <= zones; zone++ {
		for i := range count {
			o := testbed.MemberOptions{
				Name: fmt.Sprintf("%s-%s-%d-%d", service, version, zone, i), Zone: fmt.Sprintf("zone-%d", zone),
				ZoneID: byte(zone), Service: service, Version: version, Seeds: m.seeds,
				NodeExtra: m.nodeExtra, TargetExtra: m.targetExtra,
			}
			member, err := m.Start(o)
			require.NoError(m.t, err)
			if len(m.seeds) < 3 {
				m.seeds = append(m.seeds, member)
			}
		}
	}
}

func (m *fleet) waitReady() {
	m.t.Helper()
	for _, member := range m.Members() {
		require.NoError(m.t, member.WaitReady(generous))
	}
}

// configure creates services with version v1, each with a route of its name,
// and waits until calls through every node are answered.
func (m *fleet) configure(services ...string) {
	m.t.Helper()
	m.waitReady()
	var changes []string
	for _, s := range services {
		changes = append(changes, fmt.Sprintf("put service %s version v1; put route %s prefix \"/%s\" to %s", s, s, s, s))
	}
	reply, _ := m.command(m.Members()[0], "batch { "+strings.Join(changes, "; ")+" } within 30s")
	require.Equal(m.t, query.StatusDone, reply.Status, reply.Reason)
	for _, member := range m.Members() {
		for _, s := range services {
			require.NoError(m.t, testbed.WaitFor(generous, func() error {
				return testbed.Get(member.CallerURL()+"/"+s, nil)
			}))
		}
	}
}

func (m *fleet) member(name string) *testbed.Member {
	m.t.Helper()
	for _, member := range m.Members() {
		if member.Name == name {
			return member
		}
	}
	m.t.Fatalf("no member %s", name)
	return nil
}

func (m *fleet) zone(id byte) []*testbed.Member {
	var members []*testbed.Member
	for _, member := range m.Members() {
		if member.ZoneID == id {
			members = append(members, member)
		}
	}
	return members
}

// cut separates a zone from the zones 0 (the platform) to others.
func (m *fleet) cut(zone byte, others int) {
	for other := byte(0); other <= byte(others); other++ {
		if other != zone {
			m.Network.Cut(zone, other)
		}
	}
}

func (m *fleet) heal(zone byte, others int) {
	for other := byte(0); other <= byte(others); other++ {
		if other != zone {
			m.Network.Heal(zone, other)
		}
	}
}

func (m *fleet) platform(control map[string]any) {
	m.t.Helper()
	require.NoError(m.t, m.ControlPlatform(control))
}

func (m *fleet) fault(member *testbed.Member, control map[string]any) {
	m.t.Helper()
	require.NoError(m.t, member.ControlTarget(control))
}

func (m *fleet) command(at *testbed.Member, command string) (query.Reply, int) {
	m.t.Helper()
	reply, code, err := at.Command(command)
	require.NoError(m.t, err, command)
	return reply, code
}

// log reads the whole stream of decisions from the platform.
func (m *fleet) log() []logclient.Entry {
	m.t.Helper()
	client := logclient.New(m.PlatformURL(), &http.Client{Timeout: 10 * time.Second})
	var entries []logclient.Entry
	from := record.Revision(1)
	for {
		page, err := client.Read(context.Background(), configStream, from, 500, 0)
		require.NoError(m.t, err)
		if len(page.Entries) == 0 {
			return entries
		}
		entries = append(entries, page.Entries...)
		from = entries[len(entries)-1].Offset + 1
	}
}

// reduce applies the log as a node does and returns the outcome of each record.
func (m *fleet) reduce() (*state.State, []state.Result) {
	m.t.Helper()
	return reduce(m.t, m.log())
}

func reduce(t *testing.T, entries []logclient.Entry) (*state.State, []state.Result) {
	t.Helper()
	s := state.New()
	var results []state.Result
	for _, e := range entries {
		r, err := s.Apply(e.Offset, e.Data)
		require.NoError(t, err)
		results = append(results, r)
	}
	return s, results
}

// revision returns the revision that a node has applied.
func revision(member *testbed.Member) (uint64, error) {
	var a struct {
		Revision uint64 `json:"revision"`
	}
	err := testbed.Get(member.AdminURL()+"/heathercroft/v1/ready", &a)
	return a.Revision, err
}

// waitRevision waits until all members have applied a revision.
func (m *fleet) waitRevision(want record.Revision, limit time.Duration, members ...*testbed.Member) {
	m.t.Helper()
	require.NoError(m.t, testbed.WaitFor(limit, func() error {
		for _, member := range members {
			got, err := revision(member)
			if err != nil {
				return err
			}
			if got < uint64(want) {
				return fmt.Errorf("%s is at revision %d, not %d", member.Name, got, want)
			}
		}
		return nil
	}))
}

// load starts the load generator at the given nodes.
func (m *fleet) load(nodes []*testbed.Member, rate float64, duration time.Duration, more string) *testbed.Load {
	m.t.Helper()
	urls := func(members []*testbed.Member, url func(*testbed.Member) string) string {
		var list []string
		for _, member := range members {
			list = append(list, fmt.Sprintf("%q", url(member)))
		}
		return strings.Join(list, ",")
	}
	settings := fmt.Sprintf("nodes = [%s]\ntargets = [%s]\nrate = %.1f\ndirect_share = 0.0\nduration = %q\nseed = 7\n%s\n",
		urls(nodes, (*testbed.Member).CallerURL), urls(m.Members(), (*testbed.Member).TargetURL), rate, duration, more)
	m.loads++
	l, err := m.StartLoad(fmt.Sprintf("load-%d", m.loads), settings)
	require.NoError(m.t, err)
	return l
}

func (m *fleet) report(l *testbed.Load) load.Report {
	m.t.Helper()
	r, err := l.Wait()
	require.NoError(m.t, err)
	return r
}

// requireClean demands that no answer was lost, mixed up, cut short or run twice.
func requireClean(t *testing.T, r load.Report) {
	t.Helper()
	require.NotZero(t, r.Node.Answered)
	require.Zero(t, r.Node.Lost, "lost: %+v", r.Node)
	require.Zero(t, r.Node.MixedUp, "mixed up: %+v", r.Node)
	require.Zero(t, r.Node.Truncated, "cut short: %+v", r.Node)
	require.Zero(t, r.Duplicated, "run twice: %+v", r.Duplicates)
}

// lostAt returns the URLs of the calls of a load generator that got no answer.
func (m *fleet) lostAt(name string) []string {
	m.t.Helper()
	data, err := os.ReadFile(filepath.Join(m.Dir, name+".log"))
	require.NoError(m.t, err)
	var urls []string
	for line := range strings.Lines(string(data)) {
		var call struct{ Event, Outcome, URL string }
		if json.Unmarshal([]byte(line), &call) == nil && call.Event == "load_call" && call.Outcome == "lost" {
			urls = append(urls, call.URL)
		}
	}
	return urls
}
