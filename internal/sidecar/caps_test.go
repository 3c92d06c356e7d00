package sidecar

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/published"
	"heathercroft.example/heathercroft/pkg/quota"
)

// capMesh is a mesh whose organisation "north" has a usage cap.
type capMesh struct {
	nodes []*testNode
	mu    sync.Mutex
	// runs holds the times of the requests that ran at targets.
	runs []time.Duration
	// answers holds the responses to callers.
	answers []capAnswer
	began   time.Time
	callers sync.WaitGroup
}

type capAnswer struct {
	at, took   time.Duration
	status     int
	retryAfter time.Duration
}

func cappedConfig(t testingT, version published.Version, perSecond, burst float64) *published.Config {
	return organisationConfig(t, version, func(c *published.Config) {
		c.Organisations[0].Rate, c.Organisations[0].Burst = perSecond, burst
	})
}

// newCapMesh starts nodes and waits until the allocator has leased the whole cap.
func newCapMesh(t *testing.T, count int, perSecond, burst float64) *capMesh {
	m := &capMesh{nodes: newMesh(t, count), began: time.Now()}
	config := cappedConfig(t, 2, perSecond, burst)
	for _, n := range m.nodes {
		n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.runs = append(m.runs, time.Since(m.began))
			w.Header().Set("X-Signature", "s")
		})
		n.Step(control.ConfigPublished{Config: config})
		go n.runTicker()
	}
	m.awaitShares(t, m.nodes, 1)
	return m
}

// allocator returns the node that has leased shares for the organisation, nil if there is none.
func (m *capMesh) allocator(among []*testNode) (owner *testNode, share float64) {
	for _, n := range among {
		n.caps.mu.Lock()
		s := n.caps.quota.AllocatorShare(n.clock.now(), "north")
		n.caps.mu.Unlock()
		if s > share {
			owner, share = n, s
		}
	}
	return owner, share
}

// awaitShares waits until an allocator among the nodes has leased a share of the cap.
func (m *capMesh) awaitShares(t *testing.T, among []*testNode, want float64) {
	require.Eventually(t, func() bool {
		_, share := m.allocator(among)
		return share > want-1e-6
	}, 15*time.Second, 10*time.Millisecond)
}

// send sends requests at a rate to the nodes in turn, each without waiting for the earlier ones.
func (m *capMesh) send(t *testing.T, nodes []*testNode, perSecond float64, length time.Duration) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		<-tick.C
		m.callers.Go(func() { m.request(t, nodes[i%len(nodes)]) })
	}
	m.callers.Wait()
}

func (m *capMesh) request(t *testing.T, n *testNode) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, n.outbound.URL+"/write/x", nil)
	if err != nil {
		panic(err)
	}
	req.Host = "shop.test"
	req.Header.Set("X-Key", keyNorth)
	req.Header.Set("X-Left", "2000")
	sent := time.Now()
	resp, err := n.outbound.Client().Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers = append(m.answers, capAnswer{
		at: sent.Sub(m.began), took: time.Since(sent), status: resp.StatusCode, retryAfter: time.Duration(after * float64(time.Second)),
	})
}

// count returns the number of answers with a status since a time.
func (m *capMesh) count(status int, since time.Duration) (n int) {
	for _, a := range m.answers {
		if a.status == status && a.at >= since {
			n++
		}
	}
	return n
}

// requireCap checks the runs in each window of 5 s that begins at or after since.
func (m *capMesh) requireCap(t *testing.T, perSecond, burst float64, since time.Duration) {
	const window = 5 * time.Second
	slices.Sort(m.runs)
	allowed := (perSecond*window.Seconds()+burst)*1.1 + 20
	first := 0
	for i, at := range m.runs {
		for m.runs[first] <= at-window || m.runs[first] < since {
			if first == i {
				break
			}
			first++
		}
		require.LessOrEqual(t, float64(i-first+1), allowed, "requests in the 5 s before %s", at)
	}
}

// Guards against copies of requests that pass a usage cap for free: at a cap of 4 requests a second,
// each copy takes the token of another request.
func TestCopiesTakeTokens(t *testing.T) {
	m := newCapMesh(t, 1, 4, 4)
	n := m.nodes[0]
	c := &call{organisation: n.view.Load().Config.Organisation("north"), judgedBy: n.view.Load().Config.Version}
	require.Eventually(t, func() bool { return n.takeCopyToken(c) }, 5*time.Second, 50*time.Millisecond)
	taken := 0
	for range 20 {
		if n.takeCopyToken(c) {
			taken++
		}
	}
	// The burst, and the tokens that a cap may save beyond it.
	require.LessOrEqual(t, taken, 4+16)
	require.False(t, n.takeCopyToken(c), "a copy over the cap")
	c.nested = true
	require.True(t, n.takeCopyToken(c), "nested calls take no tokens")
}

// Guards against a cap that is used up by copies that are not sent: without room in the retry budget, the
// decision about a copy is repeated while its request runs.
func TestCopyThatIsNotSentCostsNoToken(t *testing.T) {
	m := newCapMesh(t, 1, 4, 4)
	n := m.nodes[0]
	n.settings.RetrySlack = 0
	for range 2000 {
		n.retryBudget("shop").RecordRetry(n.clock.now())
	}
	c := &call{service: "shop", organisation: n.view.Load().Config.Organisation("north"), judgedBy: n.view.Load().Config.Version}
	// The bucket of the cap was empty.
	time.Sleep(time.Second)
	for range 100 {
		require.False(t, n.allowCopy(c))
	}
	require.Equal(t, quota.Admitted, n.caps.decide(t.Context(), "north").Verdict)
}

// Guards against two tokens for a request of which one attempt ran: the target's node refuses the copy,
// or the first target refuses the request while the copy runs.
func TestAttemptBesideAnotherThatDoesNotRunReturnsItsToken(t *testing.T) {
	for _, c := range []struct {
		name         string
		refuseCopy   bool
		first, other func(http.ResponseWriter)
	}{
		{"copy is refused", true, func(w http.ResponseWriter) { time.Sleep(300 * time.Millisecond) }, nil},
		{"first attempt is refused", false, func(w http.ResponseWriter) {
			time.Sleep(100 * time.Millisecond)
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, func(http.ResponseWriter) { time.Sleep(300 * time.Millisecond) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newCapMesh(t, 2, 4, 4)
			n, _ := m.allocator(m.nodes)
			n.sendCopies()
			for _, other := range m.nodes {
				if c.refuseCopy {
					other.refuseRepeats()
				}
				other.target.serve(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("X-Signature", "s")
					if p := other.active.parent(r.Header.Get("X-Id")); p.IsRetry {
						c.other(w)
					} else {
						c.first(w)
					}
				})
			}
			// The bucket of the cap was empty.
			time.Sleep(time.Second)
			status := make(chan int, 1)
			go func() {
				got, _ := n.ask(t, "/read/x", "r1", http.Header{"X-Key": {keyNorth}})
				status <- got
			}()
			// The allocator asks for no tokens ahead: what it has at hand was returned.
			require.Eventually(t, func() bool { return n.caps.outlook("north").AtHand == 1 }, time.Second, time.Millisecond)
			require.Equal(t, http.StatusOK, <-status)
			require.EqualValues(t, 1, n.metrics.copiesSent.Value())
		})
	}
}

// Guards nested calls: they take no tokens of their parent's organisation, whose cap they would use up, and are
// served when it is used up.
func TestNestedCallsTakeNoTokens(t *testing.T) {
	m := newCapMesh(t, 1, 1, 1)
	n := m.nodes[0]
	parent := n.active.add(hopRequest{ID: "p1", Route: "read", Organisation: "north"})
	defer n.endActive(parent)
	for i := range 30 {
		status, text := n.ask(t, "/read/x", "p1/"+strconv.Itoa(i), nil)
		require.Equal(t, http.StatusOK, status, text)
	}
	require.Empty(t, n.caps.stats.all())
}

// Guards against a cap that each node applies on its own, against parts of it that cannot be used,
// and against a Retry-After that is not when a token is due.
func TestCapHoldsOverAllNodes(t *testing.T) {
	t.Parallel()
	const perSecond, burst = 40, 40
	m := newCapMesh(t, 5, perSecond, burst)
	m.send(t, m.nodes, 160, 6*time.Second)
	m.requireCap(t, perSecond, burst, 0)
	t.Logf("%d served, %d over the cap, %d unknown", m.count(200, 0), m.count(429, 0), m.count(503, 0))
	require.GreaterOrEqual(t, float64(m.count(200, 0)), 0.85*perSecond*6)
	require.Equal(t, len(m.answers), m.count(200, 0)+m.count(429, 0))
	for _, a := range m.answers {
		if a.status == http.StatusTooManyRequests {
			require.Positive(t, a.retryAfter)
			require.LessOrEqual(t, a.retryAfter, 1200*time.Millisecond)
		}
	}
	_, share := m.allocator(m.nodes)
	require.InDelta(t, 1, share, 1e-6)
}

// Guards against a cap of which only a part can be used at one node.
func TestWholeCapIsUsableAtOneNode(t *testing.T) {
	t.Parallel()
	const perSecond, burst = 60, 60
	m := newCapMesh(t, 4, perSecond, burst)
	owner, _ := m.allocator(m.nodes)
	other := m.nodes[slices.IndexFunc(m.nodes, func(n *testNode) bool { return n != owner })]
	m.send(t, []*testNode{other}, 150, 5*time.Second)
	m.requireCap(t, perSecond, burst, 0)
	require.GreaterOrEqual(t, float64(m.count(200, 0)), 0.85*perSecond*5)
}

// Guards against requests without a cap check after the process of the allocator has died, and
// against a cap that stays unusable: the next allocator has the shares of the living within seconds.
func TestAllocatorIsKilled(t *testing.T) {
	t.Parallel()
	const perSecond, burst = 40, 40
	m := newCapMesh(t, 5, perSecond, burst)
	dead, _ := m.allocator(m.nodes)
	living := slices.DeleteFunc(slices.Clone(m.nodes), func(n *testNode) bool { return n == dead })
	time.AfterFunc(2*time.Second, func() {
		dead.cancel()
		dead.stopRPC()
		dead.rpc.Close()
	})
	before := time.Since(m.began)
	m.send(t, living, 160, 10*time.Second)
	m.requireCap(t, perSecond, burst, 0)
	t.Logf("%d served, %d over the cap, %d unknown", m.count(200, 0), m.count(429, 0), m.count(503, 0))
	// Four fifths of the cap remain.
	require.GreaterOrEqual(t, float64(m.count(200, before+7*time.Second)), 0.6*perSecond*3)
	require.Zero(t, m.count(503, before+7*time.Second))
}

// Guards against requests that wait for an allocator whose process is suspended, and against a
// share that is used twice when it comes back.
func TestAllocatorIsSilent(t *testing.T) {
	t.Parallel()
	const perSecond, burst = 40, 40
	m := newCapMesh(t, 5, perSecond, burst)
	silent, _ := m.allocator(m.nodes)
	others := slices.DeleteFunc(slices.Clone(m.nodes), func(n *testNode) bool { return n == silent })
	silent.caps.mu.Lock()
	time.AfterFunc(8*time.Second, silent.caps.mu.Unlock)
	before := time.Since(m.began)
	m.send(t, others, 120, 11*time.Second)
	m.requireCap(t, perSecond, burst, 0)
	unknown := m.count(503, before)
	t.Logf("%d served, %d over the cap, %d unknown", m.count(200, 0), m.count(429, 0), unknown)
	require.Positive(t, unknown)
	var late int
	for _, a := range m.answers {
		if a.status == http.StatusServiceUnavailable {
			require.GreaterOrEqual(t, a.retryAfter, 200*time.Millisecond)
			require.LessOrEqual(t, a.retryAfter, 500*time.Millisecond)
			if a.took > 200*time.Millisecond {
				late++
			}
		}
	}
	require.LessOrEqual(t, late*10, unknown, "rejections that took long")
	require.GreaterOrEqual(t, float64(m.count(200, before+6*time.Second)), 0.5*perSecond*2)
}

// Guards against a lowered cap that does not bind one window after it is in force, and against a
// cap that ends but still rejects requests.
func TestCapIsLoweredAndRemovedUnderLoad(t *testing.T) {
	t.Parallel()
	m := newCapMesh(t, 4, 80, 80)
	lower, none := cappedConfig(t, 3, 20, 20), organisationConfig(t, 4, nil)
	publish := func(c *published.Config) {
		for _, n := range m.nodes {
			n.Step(control.ConfigPublished{Config: c})
		}
	}
	began := time.Since(m.began)
	time.AfterFunc(2*time.Second, func() { publish(lower) })
	m.send(t, m.nodes, 160, 9*time.Second)
	m.requireCap(t, 80, 80, 0)
	m.requireCap(t, 20, 20, began+2500*time.Millisecond)
	publish(none)
	after := time.Since(m.began)
	m.send(t, m.nodes, 100, time.Second)
	require.Zero(t, m.count(429, after)+m.count(503, after))
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(m.nodes, func(n *testNode) bool {
			n.caps.mu.Lock()
			defer n.caps.mu.Unlock()
			return n.caps.running
		})
	}, time.Second, 10*time.Millisecond, "the lease loop still runs")
}

// Guards against a request that takes a token for each attempt, and against one that did not run
// and counts.
func TestTokenIsTakenOncePerRequest(t *testing.T) {
	t.Parallel()
	m := newCapMesh(t, 3, 1000, 1000)
	for _, n := range m.nodes {
		n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signature", "s")
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	// The bucket of the cap was empty.
	time.Sleep(50 * time.Millisecond)
	n := m.nodes[0]
	m.request(t, n)
	require.Equal(t, http.StatusServiceUnavailable, m.answers[0].status)
	require.Equal(t, int64(1), n.caps.stats.granted("north"))
	n.caps.mu.Lock()
	d, _ := n.caps.quota.Request(n.clock.now(), "north")
	n.caps.mu.Unlock()
	require.Equal(t, quota.Admitted, d.Verdict)
}

// Guards against work and messages in deployments without caps.
func TestNoLeaseLoopWithoutCaps(t *testing.T) {
	nodes, _, _ := newOrganisationMesh(t)
	status, _ := nodes[0].ask(t, "/read/x", "id-1", http.Header{"X-Key": {keyNorth}})
	require.Equal(t, http.StatusOK, status)
	for _, n := range nodes {
		require.False(t, n.caps.running)
		require.Empty(t, n.caps.stats.all())
	}
}

// Guards against metrics and log lines that grow with the number of organisations or requests.
func TestCapMetricsAndLinesAreBounded(t *testing.T) {
	s := newCapStats()
	for i := range 3 * maxCapStats {
		s.count(strconv.Itoa(i), quota.OverCap, time.Duration(i))
	}
	require.Len(t, s.all(), maxCapStats)
	require.Contains(t, s.all(), strconv.Itoa(3*maxCapStats-1))
	l := newLineLimit()
	lines, omitted := 0, 0
	for i := range 1000 {
		if before, skip := l.omit("north", time.Duration(i)*time.Millisecond); !skip {
			lines++
			omitted += before
		}
	}
	require.LessOrEqual(t, lines, rejectionLineBurst+rejectionLinesPerSecond)
	before, skip := l.omit("north", 10*time.Second)
	require.False(t, skip)
	require.Equal(t, 1000-lines, omitted+before)
}
