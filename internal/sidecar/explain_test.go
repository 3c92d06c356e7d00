package sidecar

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/internal/routequery"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/hedge"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

// fixRandom makes the node draw the same random numbers again.
func (n *testNode) fixRandom(seed uint64) {
	source := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	n.random = func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return source.Float64()
	}
}

var readQuestion = routequery.Question{Method: http.MethodGet, Host: "shop.test", Path: "/read/x"}

// requireTruth asks the node where requests would go and then sends them, with the same random numbers.
// It returns the last answer.
func requireTruth(t *testing.T, n *testNode, rounds int) (last routequery.Answer) {
	t.Helper()
	for i := range rounds {
		seed := uint64(i)
		n.fixRandom(seed)
		// What is left of a rate limit, and the weight of a report, change with time.
		now := n.clock.now()
		n.clock.fixed.Store(&now)
		last = n.explainRoute(readQuestion)
		require.NotNil(t, last.First)
		n.fixRandom(seed)
		drawn := n.random
		n.random = func() float64 {
			// The time of the choice is read before the first number is drawn. The gate of the local
			// target needs the time to go on.
			n.clock.fixed.Store(nil)
			return drawn()
		}
		status, _, body := n.call(t, http.MethodGet, "/read/x", fmt.Sprintf("q%d", i))
		require.Equal(t, http.StatusOK, status, body)
		require.Equal(t, "answer of "+last.First.Target, body, "round %d", i)
		require.Nil(t, last.Refusal)
	}
	return last
}

func target(t *testing.T, a routequery.Answer, id string) routequery.Target {
	t.Helper()
	i := slices.IndexFunc(a.Targets, func(x routequery.Target) bool { return x.Target == id })
	require.GreaterOrEqual(t, i, 0, "%s in %+v", id, a.Targets)
	return a.Targets[i]
}

// Guards against an explanation that names another target than the one that then gets the request: for
// idle targets, several loads, an evacuated zone, cold targets, a silent node and a leaving one.
func TestExplanationNamesWhereTheRequestGoes(t *testing.T) {
	zones := func(i int) mesh.AvailabilityZone { return []mesh.AvailabilityZone{"a", "a", "a", "b", "b"}[i] }
	endpoint := func(n *testNode, i int) balance.Endpoint {
		return balance.Endpoint{Node: mesh.NodeID(fmt.Sprintf("node-%d", i)), Target: fmt.Sprintf("target-%d", i), Zone: zones(i)}
	}
	t.Run("idle", func(t *testing.T) {
		requireTruth(t, newMeshIn(t, 5, zones)[0], 30)
	})
	for _, load := range []int{2, 4, 12, 40} {
		t.Run(fmt.Sprintf("load %d", load), func(t *testing.T) {
			n := newMeshIn(t, 5, zones)[0]
			for range 20 {
				// Reports of others' requests, which differ between the targets.
				for j := range 5 {
					n.balanceMu.Lock()
					n.balancer.UpdateLoad(endpoint(n, j), balance.LoadReport{Running: load * (j + 1) / 5, Waiting: load / 8, MeanServiceTime: 30 * time.Millisecond, Slowdown: 1 + float64(j%3), Disturbance: float64(j % 2 * 2)}, n.clock.now())
					n.balanceMu.Unlock()
				}
				requireTruth(t, n, 1)
			}
		})
	}
	t.Run("evacuated zone", func(t *testing.T) {
		nodes := newMeshIn(t, 5, zones)
		for _, n := range nodes {
			n.Step(evacuate("a", 5))
		}
		a := requireTruth(t, nodes[0], 20)
		for _, id := range []string{"target-0", "target-1", "target-2"} {
			require.False(t, target(t, a, id).Candidate)
			require.Contains(t, target(t, a, id).Reasons, reasonZoneEvacuated)
		}
		require.True(t, target(t, a, "target-3").Candidate)
		require.Len(t, a.Evacuated, 1)
	})
	t.Run("cold target", func(t *testing.T) {
		nodes := newColdMesh(t, 3)
		for _, n := range nodes[1:] {
			n.beat(1, 2, 0)
		}
		nodes[0].beat(1, 2, 3*time.Second)
		for _, n := range nodes {
			tell(n, nodes...)
		}
		a := requireTruth(t, nodes[1], 20)
		require.Contains(t, fmt.Sprint(target(t, a, "target-0").Reasons), "cold")
	})
	t.Run("silent node", func(t *testing.T) {
		nodes := newMeshIn(t, 5, zones)
		nodes[1].Step(control.Tick{})
		n := nodes[0]
		n.balanceMu.Lock()
		// A response of node-1 is due for long, and node-2 could not be reached.
		n.balancer.Begin(endpoint(n, 1), 100)
		n.balancer.ExpectResponse(endpoint(n, 1), time.Millisecond, n.clock.now()-10*time.Second)
		n.balancer.MarkUnreachable(endpoint(n, 2), n.clock.now())
		n.balanceMu.Unlock()
		a := n.explainRoute(readQuestion)
		require.Contains(t, target(t, a, "target-2").Reasons, explainUnreachable)
		require.False(t, target(t, a, "target-2").Candidate)
		require.Positive(t, target(t, a, "target-2").UnreachableForMS)
		require.Contains(t, target(t, a, "target-1").Reasons, explainUnresponsive)
		requireTruth(t, n, 20)
	})
	t.Run("leaving target", func(t *testing.T) {
		nodes := newMeshIn(t, 5, zones)
		nodes[2].Step(control.TargetLeaving{ID: "target-2"})
		nodes[0].Step(control.PeerStateReceived{State: nodes[2].state()})
		a := requireTruth(t, nodes[0], 20)
		require.Equal(t, []string{explainTargetLeaves}, target(t, a, "target-2").Reasons)
	})
}

// Guards against an explanation of a full or missing service that promises an answer.
func TestExplanationTellsTheRefusal(t *testing.T) {
	nodes := newMeshIn(t, 2, func(int) mesh.AvailabilityZone { return "a" })
	n := nodes[0]
	for j := range 2 {
		n.balanceMu.Lock()
		n.balancer.UpdateLoad(balance.Endpoint{Node: mesh.NodeID(fmt.Sprintf("node-%d", j)), Target: fmt.Sprintf("target-%d", j), Zone: "a"},
			balance.LoadReport{Running: 4, Waiting: 400, MeanServiceTime: 100 * time.Millisecond}, n.clock.now())
		n.balanceMu.Unlock()
	}
	a := n.explainRoute(readQuestion)
	require.Equal(t, http.StatusServiceUnavailable, a.Refusal.Status)
	require.Equal(t, reasonQueue, a.Refusal.Reason)
	require.True(t, a.Refusal.Expected)
	require.Positive(t, a.Refusal.RetryAfterS)
	require.Contains(t, target(t, a, "target-1").Reasons, explainNoRoom)
	for _, each := range nodes {
		each.Step(evacuate("a", 5))
	}
	a = n.explainRoute(readQuestion)
	require.Nil(t, a.First)
	require.Equal(t, reasonZoneEvacuated, a.Refusal.Reason)
	status, header, body := n.call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, a.Refusal.Status, status)
	require.True(t, strings.HasPrefix(body, a.Refusal.Reason), body)
	require.NotEmpty(t, header.Get("Retry-After"))
	q := readQuestion
	q.Bytes = 2 << 20
	require.Equal(t, http.StatusRequestEntityTooLarge, n.explainRoute(q).Refusal.Status)
	q.Path = "/none"
	require.Equal(t, routequery.ProblemNoRoute, n.explainRoute(q).Problem)
	q = readQuestion
	q.Organisation = "o9"
	require.Equal(t, routequery.ProblemOrganisation, n.explainRoute(q).Problem)
	fresh := newTestNode(t, 7)
	require.Equal(t, routequery.ProblemNoConfiguration, fresh.explainRoute(readQuestion).Problem)
}

// newCappedMesh is a mesh whose requests need the key "secret-1" of an organisation with a cap.
func newCappedMesh(t *testing.T, logger *slog.Logger) []*testNode {
	nodes := newMeshWith(t, 3, logger, func(int) mesh.AvailabilityZone { return "a" })
	config := testConfig()
	config.Version = 2
	config.Organisations = []published.Organisation{{Name: "o1", KeyHashes: []published.KeyHash{published.HashKey("secret-1")}, Rate: 100, Burst: 10}}
	require.NoError(t, config.Prepare())
	for _, n := range nodes {
		n.Step(control.ConfigPublished{Config: config})
		n.SetHedging(hedge.Policy{Limit: hedge.Limit{Share: 0.1, Burst: 5}})
	}
	return nodes
}

// dump writes all values that can be reached from v, without those that time alone changes.
func dump(b *bytes.Buffer, v reflect.Value, seen map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || seen[v.Pointer()] {
			return
		}
		seen[v.Pointer()] = true
		dump(b, v.Elem(), seen)
	case reflect.Interface:
		if !v.IsNil() {
			dump(b, v.Elem(), seen)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			switch name := v.Type().Field(i).Name; name {
			// The merged times of a route follow from its samples.
			case "m", "mergedAll", "mergedCompleted", "mergedAt":
			default:
				fmt.Fprintf(b, "%s{", name)
				dump(b, v.Field(i), seen)
				b.WriteString("}")
			}
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			dump(b, v.Index(i), seen)
			b.WriteByte(',')
		}
	case reflect.Map:
		var entries []string
		for _, k := range v.MapKeys() {
			var e bytes.Buffer
			dump(&e, k, seen)
			e.WriteByte(':')
			dump(&e, v.MapIndex(k), seen)
			entries = append(entries, e.String())
		}
		slices.Sort(entries)
		fmt.Fprint(b, entries)
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
	default:
		fmt.Fprintf(b, "%v", v)
	}
}

// stateDump returns the state that requests change.
func (n *testNode) stateDump() string {
	var b bytes.Buffer
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	h := n.hedging.Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	budgets := map[any]any{}
	n.budgets.Range(func(k, v any) bool { budgets[k] = v; return true })
	n.caps.mu.Lock()
	defer n.caps.mu.Unlock()
	for name, v := range map[string]any{
		"balancer": n.balancer, "metrics": n.metrics, "splits": n.splits.positions, "times": n.serviceTimes.routes, "bytes": n.responseBytes.routes,
		"refusals": n.refusalCache.byIdentity, "budgets": budgets, "hedger": h.hedger, "held": h.held.Load(), "quota": n.caps.quota, "waiting": len(n.caps.waiting),
		"stats": n.caps.stats.counts, "running": n.gate.queue, "sent": n.sent.counts, "nested": n.inFlight.Load(), "trials": n.crashTrials,
	} {
		var part bytes.Buffer
		dump(&part, reflect.ValueOf(v), map[uintptr]bool{})
		fmt.Fprintf(&b, "%s\n", name+" "+part.String())
	}
	lines := strings.Split(b.String(), "\n")
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// Guards against questions that take a token or a retry, advance the split, count as requests or write
// log lines.
func TestAThousandQuestionsChangeNothing(t *testing.T) {
	var logs bytes.Buffer
	var mu sync.Mutex
	nodes := newCappedMesh(t, slog.New(slog.NewJSONHandler(lockedWriter{&mu, &logs}, nil)))
	n := nodes[0]
	send := func(id string) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.outbound.URL+"/read/x", nil)
		require.NoError(t, err)
		req.Host = "shop.test"
		req.Header.Set("X-Id", id)
		req.Header.Set("X-Key", "secret-1")
		resp, err := n.outbound.Client().Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	// No node serves capped requests in its first seconds.
	require.Eventually(t, func() bool { return send("first") == http.StatusOK }, 10*time.Second, 50*time.Millisecond)
	served := 0
	require.Eventually(t, func() bool {
		if send("more") == http.StatusOK {
			served++
		}
		return served == 30
	}, 10*time.Second, 10*time.Millisecond)
	// The lease loop and its replies change the caps by themselves.
	for _, each := range nodes {
		each.cancel()
	}
	time.Sleep(3 * capTick)
	mu.Lock()
	logged := logs.Len()
	mu.Unlock()
	before, requests := n.stateDump(), n.target.runs.Load()
	q := readQuestion
	q.Organisation = "o1"
	for i := range 1000 {
		q.Path = fmt.Sprintf("/read/%d", i)
		if i%2 == 0 {
			q.Path = "/read/x"
		}
		a := n.explainRoute(q)
		require.Empty(t, a.Problem)
		require.NotNil(t, a.Cap)
		require.Positive(t, a.Copy.AfterMS, a.Copy.Reason)
	}
	require.Equal(t, before, n.stateDump())
	require.Equal(t, requests, n.target.runs.Load())
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, logged, logs.Len(), logs.String()[logged:])
}

// lockedWriter is a writer for several goroutines.
type lockedWriter struct {
	mu  *sync.Mutex
	out *bytes.Buffer
}

func (w lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func runCommand(t *testing.T, n *testNode, args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = routequery.Run(t.Context(), append([]string{"--node", n.settings.Peers.String()}, args...), &o, &e)
	return code, o.String(), e.String()
}

// Guards against output that lacks a part or holds a key or its hash, and against wrong exit codes.
func TestCommandPrintsTheAnswerOfANode(t *testing.T) {
	nodes := newCappedMesh(t, slog.New(slog.DiscardHandler))
	n := nodes[0]
	for _, form := range []string{"text", "json"} {
		code, out, errs := runCommand(t, n, "GET", "shop.test", "/read/x", "--organisation", "o1", "--size", "100", "--output", form)
		require.Equal(t, routequery.ExitAnswered, code, errs)
		require.Empty(t, errs)
		for _, secret := range []string{"secret-1", string(published.HashKey("secret-1"))} {
			require.NotContains(t, out, secret)
		}
		parts := []string{"version 2", "read: shop.test/read/, safe", "split    shop 1", "organisation o1", "first    target-", "second   target-", "retries", "copy     none: few-samples", "cap      100 a second, burst 10", "PICKED"}
		if form == "json" {
			parts = []string{`"version": 2`, `"kind": "safe"`, `"requests_per_s": 100`, `"pick_share"`, `"report_age_ms"`, `"message_age_ms"`, `"reason": "few-samples"`, `"left_if_not_run"`, `"proof_age_ms"`}
			parts = slices.DeleteFunc(parts, func(s string) bool { return s == `"report_age_ms"` || s == `"proof_age_ms"` })
		}
		for _, part := range parts {
			require.Contains(t, out, part)
		}
	}
	code, out, _ := runCommand(t, n, "GET", "shop.test", "/read/x")
	require.Equal(t, routequery.ExitAnswered, code)
	require.Contains(t, out, "refusal  401 key-missing")
	for _, c := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"GET", "shop.test", "/none"}, routequery.ExitNotAnswered, "no route of configuration 2"},
		{[]string{"GET", "shop.test", "/read/x", "--organisation", "o7"}, routequery.ExitNotAnswered, `no organisation "o7"`},
		{[]string{"GET", "shop.test", "read"}, routequery.ExitUsage, "slash"},
		{[]string{"GET", "shop.test"}, routequery.ExitUsage, "path"},
		{[]string{"GET", "shop.test", "/x", "--size=-1"}, routequery.ExitUsage, "negative"},
	} {
		code, out, errs := runCommand(t, n, c.args...)
		require.Equal(t, c.code, code, errs)
		require.Empty(t, out)
		require.Contains(t, errs, c.text)
	}
	code, _, errs := runCommand(t, newTestNode(t, 8), "GET", "shop.test", "/read/x")
	require.Equal(t, routequery.ExitNotAnswered, code)
	require.Contains(t, errs, "no configuration")
	var o, e bytes.Buffer
	require.Equal(t, routequery.ExitNotAnswered, routequery.Run(t.Context(), []string{"--node", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 1).String(), "GET", "shop.test", "/read/x"}, &o, &e))
	require.Contains(t, e.String(), "was not reached")
}
