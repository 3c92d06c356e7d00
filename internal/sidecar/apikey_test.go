package sidecar

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/published"
)

// Keys of the test organisations. None may appear in any output.
const (
	keyNorth = "secret-north-7c1f"
	keySouth = "secret-south-99ab"
)

// organisationConfig has two organisations, the routes of testConfig and a public one.
func organisationConfig(t testingT, version published.Version, change func(*published.Config)) *published.Config {
	c := testConfig()
	c.Version = version
	public := c.Routes[0]
	public.Name, public.Prefix, public.Public = "open", "/open/", true
	c.Routes = append(c.Routes, public)
	c.Organisations = []published.Organisation{
		{Name: "north", KeyHashes: []published.KeyHash{published.HashKey(keyNorth)}},
		{Name: "south", KeyHashes: []published.KeyHash{published.HashKey(keySouth)}},
	}
	if change != nil {
		change(c)
	}
	require.NoError(t, c.Prepare())
	return c
}

// logText collects the log of nodes.
type logText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// seen holds the headers of the requests that reached a target.
type seen struct {
	mu      sync.Mutex
	headers []http.Header
}

func (s *seen) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.headers)
}

func (s *seen) last() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[len(s.headers)-1]
}

// newOrganisationMesh starts two nodes with organisations. Only the target of the second one
// serves, so that each request passes between nodes.
func newOrganisationMesh(t *testing.T) ([]*testNode, *seen, *logText) {
	log, got := &logText{}, &seen{}
	nodes := newLoggingMesh(t, 2, slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	config := organisationConfig(t, 2, nil)
	for _, n := range nodes {
		n.Step(control.ConfigPublished{Config: config})
		n.target.serve(func(w http.ResponseWriter, r *http.Request) {
			got.mu.Lock()
			got.headers = append(got.headers, r.Header.Clone())
			got.mu.Unlock()
			w.Header().Set("X-Signature", "s")
		})
	}
	nodes[0].Step(control.TargetLeaving{ID: "target-0"})
	return nodes, got, log
}

// ask sends a request with headers.
func (n *testNode) ask(t *testing.T, path, id string, header http.Header) (status int, body string) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.outbound.URL+path, nil)
	require.NoError(t, err)
	req.Host = "shop.test"
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Left", "2000")
	resp, err := n.outbound.Client().Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, fmt.Sprint(resp.Header) + string(data)
}

// Guards against requests that run without a valid key, against a target that learns a key or
// believes a caller about its organisation, and against a key in any output.
func TestKeysDecideWhichOrganisationIsServed(t *testing.T) {
	nodes, got, log := newOrganisationMesh(t)
	key := func(values ...string) http.Header { return http.Header{"X-Key": values, "X-Organisation": {"forged"}} }
	output := ""
	for i, c := range []struct {
		path         string
		header       http.Header
		status       int
		organisation string
	}{
		{"/read/x", key(keyNorth), 200, "north"},
		{"/read/x", key(keySouth), 200, "south"},
		{"/open/x", key(), 200, ""},
		{"/open/x", key(keyNorth), 200, "north"},
		{"/open/x", key(keyNorth + "x"), 200, ""},
		{"/read/x", key(), 401, ""},
		{"/read/x", nil, 401, ""},
		{"/read/x", key(keyNorth, keyNorth), 401, ""},
		{"/read/x", key(keyNorth + "x"), 401, ""},
		{"/read/x", key(keyNorth + "," + keySouth), 401, ""},
		{"/read/x", key("Bearer " + keyNorth), 401, ""},
		{"/read/x", key(strings.ToUpper(keyNorth)), 401, ""},
		{"/read/x", key(""), 401, ""},
		{"/read/x", key(strings.Repeat(keyNorth, 1000)), 401, ""},
		{"/nowhere/x", key(keyNorth), 404, ""},
	} {
		runs := got.count()
		status, text := nodes[0].ask(t, c.path, fmt.Sprint("r", i), c.header)
		require.Equal(t, c.status, status, "%d: %s", i, text)
		output += text
		if status != 200 {
			require.Equal(t, runs, got.count(), "a rejected request must not run")
			continue
		}
		require.Equal(t, c.organisation, strings.Join(got.last().Values("X-Organisation"), ","), i)
		output += fmt.Sprint(got.last())
	}
	output += log.String() + nodes[0].metrics.refused.String() + nodes[1].metrics.refused.String()
	for _, n := range nodes {
		state, err := json.Marshal(n.state())
		require.NoError(t, err)
		output += string(state) + fmt.Sprintf("%+v", n.view.Load().Config)
	}
	require.Contains(t, output, "key-unknown")
	require.NotContains(t, output, "secret")
}

// Guards against a key, or a forged organisation, in requests between nodes. The target's node also removes both,
// so that no target shows that they were sent.
func TestRequestsBetweenNodesCarryNoKey(t *testing.T) {
	nodes, got, _ := newOrganisationMesh(t)
	headers := make(chan http.Header, 1)
	record := func(h http.Header) { headers <- h.Clone() }
	nodes[1].onInbound.Store(&record)
	status, text := nodes[0].ask(t, "/read/x", "r1", http.Header{"X-Key": {keyNorth}, "X-Organisation": {"forged"}})
	require.Equal(t, http.StatusOK, status, text)
	require.Equal(t, 1, got.count())
	sent := fmt.Sprint(<-headers)
	require.Contains(t, sent, "north", "the name of the organisation")
	require.NotContains(t, sent, keyNorth)
	require.NotContains(t, sent, "forged")
}

// Guards against a key in the log line about a request whose head cannot be read.
func TestUnreadableHeadDoesNotPutItsKeyIntoTheLog(t *testing.T) {
	nodes, _, log := newOrganisationMesh(t)
	for _, line := range []string{"X-Key " + keyNorth, "X-Key : " + keyNorth, "X-Key: " + keyNorth + "\x00", keyNorth + "\x01: 1"} {
		conn, err := net.Dial("tcp", nodes[0].outbound.Listener.Addr().String())
		require.NoError(t, err)
		request := "GET /read/x HTTP/1.1\r\nHost: shop.test\r\nX-Id: a\r\nX-Left: 500\r\nX-Key: " + keyNorth + "\r\n"
		_, err = io.WriteString(conn, request+"\r\n"+request+line+"\r\n\r\n")
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
		text, _ := io.ReadAll(conn)
		_ = conn.Close()
		require.Contains(t, string(text), "400 Bad Request")
		require.NotContains(t, string(text), "secret")
	}
	conn, err := net.Dial("tcp", nodes[0].outbound.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /read/x HTTP/1.1\r\nHost: shop.test\r\nX-Id: b\r\nX-Left: 500\r\nX-Key: "+keyNorth+
		"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"+keyNorth+"\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.Contains(t, log.String(), "malformed trailer")
	require.Contains(t, log.String(), "request_unreadable")
	require.NotContains(t, log.String(), "secret")
}

// Guards the status of a node that cannot judge keys yet: the key may be valid.
func TestNodeWithoutConfigurationDoesNotJudgeKeys(t *testing.T) {
	n := newTestNode(t, 0)
	status, _ := n.ask(t, "/read/x", "r1", http.Header{"X-Key": {keyNorth}})
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// Guards against running a request whose key was revoked while it waited for a slot of the target,
// if the target's node or the caller's node learned so first. The connection is kept alive.
func TestRevokedKeyDoesNotRunAfterItsWait(t *testing.T) {
	for _, knows := range []int{0, 1} {
		t.Run(fmt.Sprint("node ", knows, " knows"), func(t *testing.T) {
			nodes, got, _ := newOrganisationMesh(t)
			status, _ := nodes[0].ask(t, "/read/x", "r1", http.Header{"X-Key": {keyNorth}})
			require.Equal(t, http.StatusOK, status)
			var releases []func(bool)
			for range 4 {
				release, _, no := nodes[1].gate.acquire(t.Context(), admission.Request{Rank: 0})
				require.Nil(t, no)
				releases = append(releases, release)
			}
			result := make(chan int, 1)
			go func() {
				status, _ := nodes[0].ask(t, "/read/x", "r2", http.Header{"X-Key": {keyNorth}})
				result <- status
			}()
			require.Eventually(t, func() bool { return nodes[1].gate.load().Waiting == 1 }, time.Second, time.Millisecond)
			revoked := organisationConfig(t, 3, func(c *published.Config) { c.Organisations[0].KeyHashes = nil })
			nodes[knows].Step(control.ConfigPublished{Config: revoked})
			if knows == 0 {
				// Its own configuration does not tell the target's node, so that the request runs unless
				// it is sent on again.
				nodes[1].Step(control.TargetLeaving{ID: "target-1"})
			}
			for _, release := range releases {
				release(true)
			}
			if knows == 1 {
				require.Equal(t, http.StatusUnauthorized, <-result)
			} else {
				<-result
				nodes[1].heartbeat(1, 3)
				status, _ := nodes[0].ask(t, "/read/x", "r3", http.Header{"X-Key": {keyNorth}})
				require.Equal(t, http.StatusUnauthorized, status, "a connection that is kept open")
			}
			require.Equal(t, 1, got.count())
		})
	}
}

// Guards against requests that wait for a slot although the target's node knows that their key is revoked: they are
// rejected at once.
func TestRevokedKeyDoesNotWaitAtTheTarget(t *testing.T) {
	nodes, got, _ := newOrganisationMesh(t)
	for range defaultSlots {
		release, _, no := nodes[1].gate.acquire(t.Context(), admission.Request{Rank: 0})
		require.Nil(t, no)
		defer release(true)
	}
	nodes[1].Step(control.ConfigPublished{Config: organisationConfig(t, 3, func(c *published.Config) { c.Organisations[0].KeyHashes = nil })})
	// All slots stay in use: a request that waited would be rejected for its wait, with another status.
	status, text := nodes[0].ask(t, "/read/x", "r1", http.Header{"X-Key": {keyNorth}})
	require.Equal(t, http.StatusUnauthorized, status, text)
	require.Zero(t, got.count())
}

// Guards each attempt: a call is judged by the version in force when it is sent, also by one that
// introduces organisations or moves a key to another one.
func TestEachAttemptIsJudgedByTheVersionInForce(t *testing.T) {
	n := newMesh(t, 1)[0]
	config := organisationConfig(t, 2, nil)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://shop.test/read/x", nil)
	require.NoError(t, err)
	withKey := &call{r: r, key: callerKey{hash: published.HashKey(keyNorth)}, judgedBy: 1}
	without := &call{r: r, key: callerKey{problem: reasonKeyMissing}, judgedBy: 1}
	nested := &call{r: r, key: callerKey{problem: reasonKeyMissing}, judgedBy: 1, nested: true}
	for _, c := range []*call{withKey, without, nested} {
		require.True(t, n.judgeAgain(c))
	}
	n.Step(control.ConfigPublished{Config: config})
	require.True(t, n.judgeAgain(withKey))
	require.Equal(t, "north", withKey.organisation.Name)
	require.False(t, n.judgeAgain(without))
	require.True(t, n.judgeAgain(nested))
	n.Step(control.ConfigPublished{Config: organisationConfig(t, 3, func(c *published.Config) { c.Organisations[0].Name = "west" })})
	require.True(t, n.judgeAgain(withKey))
	require.Equal(t, "west", withKey.organisation.Name)
	n.Step(control.ConfigPublished{Config: organisationConfig(t, 4, func(c *published.Config) { c.Organisations = c.Organisations[1:] })})
	require.False(t, n.judgeAgain(withKey))
}

// Guards against a target's node that rejects a key which only an older configuration of its own
// does not know.
func TestOlderConfigurationOfTheTargetsNodeDoesNotRejectAKey(t *testing.T) {
	nodes, got, _ := newOrganisationMesh(t)
	const added = "secret-added"
	nodes[0].Step(control.ConfigPublished{Config: organisationConfig(t, 3, func(c *published.Config) {
		c.Organisations = append(c.Organisations, published.Organisation{Name: "new", KeyHashes: []published.KeyHash{published.HashKey(added)}})
	})})
	status, text := nodes[0].ask(t, "/read/x", "r1", http.Header{"X-Key": {added}})
	require.Equal(t, http.StatusOK, status, text)
	require.Equal(t, "new", got.last().Get("X-Organisation"))
}

// Guards callers without a key after the last organisation has been removed: a target's node that still has the
// version before must not reject them.
func TestOlderConfigurationOfTheTargetsNodeDoesNotRequireAKey(t *testing.T) {
	nodes, got, _ := newOrganisationMesh(t)
	nodes[0].Step(control.ConfigPublished{Config: organisationConfig(t, 3, func(c *published.Config) { c.Organisations = nil })})
	status, text := nodes[0].ask(t, "/read/x", "r1", nil)
	require.Equal(t, http.StatusOK, status, text)
	require.Empty(t, got.last().Values("X-Organisation"))
}

// Guards nested calls, which carry no key: they must be served for the organisation of their parent,
// also shortly after its end and if a former process of the node accepted it, when 401 would count
// as a rejection of proper work. A caller must not avoid its key, or its cap, by an id.
func TestNestedCallsInheritTheOrganisation(t *testing.T) {
	nodes, got, _ := newOrganisationMesh(t)
	n := nodes[0]
	parent := n.active.add(hopRequest{ID: "p1", Route: "read", Organisation: "south"})
	status, text := n.ask(t, "/read/x", "p1/1", nil)
	require.Equal(t, http.StatusOK, status, text)
	require.Equal(t, "south", got.last().Get("X-Organisation"))
	_, organisation, reason := n.identify(n.view.Load().Config, &n.view.Load().Config.Routes[0], callerKey{hash: published.HashKey(keyNorth)}, parent, "p1")
	require.Empty(t, reason)
	require.Equal(t, "north", organisation.Name, "a request with a key is no nested call")
	n.endActive(parent)
	require.Nil(t, n.active.parent("p1"))
	status, text = n.ask(t, "/read/x", "p1/2", nil)
	require.Equal(t, http.StatusOK, status, text)
	require.Equal(t, "south", got.last().Get("X-Organisation"))
	status, text = n.ask(t, "/read/x", "p2/1", nil)
	require.Equal(t, http.StatusServiceUnavailable, status, text)
	require.Contains(t, text, "Retry-After")
	// Requests of a former process of the node have ended once the longest timeout has passed.
	n.Step(control.ConfigPublished{Config: organisationConfig(t, 3, func(c *published.Config) {
		for i := range c.Routes {
			c.Routes[i].Timeout = time.Millisecond
		}
	})})
	require.Eventually(t, func() bool { return n.active.recent("p1") == nil }, 3*time.Second, 10*time.Millisecond)
	for _, id := range []string{"p1/3", "p2/1"} {
		status, text = n.ask(t, "/read/x", id, nil)
		require.Equal(t, http.StatusUnauthorized, status, text)
	}
}

// Guards the share of an organisation at the gate of a target that another one overloads: its request
// must be admitted, and the refusal of the other must name the cause. Its priority replaces that of
// the route.
func TestGateSharesTheTargetAmongOrganisations(t *testing.T) {
	g := newGate(newClock().now)
	request := func(organisation string, usefulFor time.Duration) admission.Request {
		return admission.Request{Organisation: organisation, Rank: 4, ExpectedServiceTime: 50 * time.Millisecond, FinishBy: g.now() + usefulFor}
	}
	for range defaultSlots {
		_, _, refused := g.acquire(t.Context(), request("hot", time.Second))
		require.Nil(t, refused)
	}
	for i := range 12 {
		go func() { _, _, _ = g.acquire(t.Context(), request("hot", time.Minute)) }()
		require.Eventually(t, func() bool { return g.load().Waiting == i+1 }, time.Second, time.Millisecond)
	}
	_, _, refused := g.acquire(t.Context(), request("hot", 200*time.Millisecond))
	require.Equal(t, reasonShare, refused.reason)
	go func() { _, _, _ = g.acquire(t.Context(), request("other", 200*time.Millisecond)) }()
	require.Eventually(t, func() bool { return g.load().Waiting == 13 }, time.Second, time.Millisecond)

	c := &call{route: &published.Route{Priority: 5}, requestIdentity: 1}
	require.Equal(t, 5, c.priority())
	key := c.refusalKey()
	c.organisation = &published.Organisation{Name: "north", Priority: 2}
	require.Equal(t, 2, c.priority())
	require.NotEqual(t, key, c.refusalKey(), "a request of another organisation is no client retry")
}

// Guards against a key that is revoked while its request is at a target, and that serves for a copy or
// for a retry: the refusal of the first copy must not pass for a judgement in favour of the next.
func TestRevokedKeyGetsNoCopyAndNoRetry(t *testing.T) {
	for name, status := range map[string]int{"slow": http.StatusOK, "fails": http.StatusInternalServerError} {
		t.Run(name, func(t *testing.T) {
			nodes := newHedgingMesh(t, 3)
			config := organisationConfig(t, 2, nil)
			revoked := organisationConfig(t, 3, func(c *published.Config) { c.Organisations[0].KeyHashes = nil })
			for _, n := range nodes {
				n.Step(control.ConfigPublished{Config: config})
				n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
					nodes[0].Step(control.ConfigPublished{Config: revoked})
					// Long enough for several decisions about a copy.
					time.Sleep(400 * time.Millisecond)
					w.Header().Set("X-Signature", "s")
					w.WriteHeader(status)
				})
			}
			got, text := nodes[0].ask(t, "/read/x", "r1", http.Header{"X-Key": {keyNorth}})
			require.Equal(t, status, got, text)
			require.Zero(t, nodes[0].metrics.copiesSent.Value())
			require.EqualValues(t, 1, runs(nodes))
		})
	}
}
