package sidecar

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/hedge"
	"heathercroft.example/heathercroft/pkg/published"
)

// maxStopTime is how long the target of a cancelled attempt may go on with it.
const maxStopTime = 500 * time.Millisecond

// newHedgingMesh starts nodes of which the first one may send a copy of each request that takes
// longer than 20 ms.
func newHedgingMesh(t *testing.T, count int) []*testNode {
	nodes := newMesh(t, count)
	nodes[0].sendCopies()
	return nodes
}

// sendCopies lets a node send a copy of each request that takes longer than 20 ms.
func (n *testNode) sendCopies() {
	n.settings.RetrySlack = 1000
	n.SetHedging(hedge.Policy{Limit: hedge.Limit{Share: 1, Burst: 1000}})
	h := n.hedging.Load()
	for range 100 {
		for _, route := range []string{"read", "write"} {
			h.hedger.RecordRequest(route, "shop", 1)
			h.hedger.RecordTime(route, 20*time.Millisecond, n.clock.now())
			n.serviceTimes.observe(route, float64(20*time.Millisecond))
		}
	}
}

// refuseRepeats makes a node refuse repeated requests for its target: there is no room for the calls
// that they make.
func (n *testNode) refuseRepeats() {
	n.nestedCalls.countRun("read")
	n.nestedCalls.countCall("read", "stock")
	for range 2000 {
		n.retryBudget("stock").RecordRetry(n.clock.now())
	}
}

// runs returns how often the targets were asked.
func runs(nodes []*testNode) (count int64) {
	for _, n := range nodes {
		count += n.target.runs.Load()
	}
	return count
}

// stallFirst makes the targets call stall for first attempts, and answer all others.
func stallFirst(nodes []*testNode, stall http.HandlerFunc) {
	for _, n := range nodes {
		n.target.serve(func(w http.ResponseWriter, r *http.Request) {
			if p := n.active.parent(r.Header.Get("X-Id")); p == nil || !p.IsRetry {
				stall(w, r)
				return
			}
			answerOf(n, w)
		})
	}
}

func answerOf(n *testNode, w http.ResponseWriter) {
	w.Header().Set("X-Signature", "by "+n.target.id)
	_, _ = io.WriteString(w, "answer of "+n.target.id)
}

// Guards against requests that wait for a stuck target, against targets that go on with a request
// after another target has answered it, and against treating a cancelled attempt as a failure of its
// target. The stuck target is beside the node or beside another one.
func TestStuckTargetIsOvertakenAndStops(t *testing.T) {
	nodes := newHedgingMesh(t, 3)
	stopped := make(chan time.Time, 1)
	stallFirst(nodes, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		stopped <- time.Now()
	})
	const calls = 12
	for i := range calls {
		status, _, body := nodes[0].call(t, http.MethodGet, "/read/x", fmt.Sprintf("r%d", i))
		answered := time.Now()
		require.Equal(t, http.StatusOK, status, body)
		require.Contains(t, body, "answer of target-")
		select {
		case at := <-stopped:
			require.Less(t, at.Sub(answered), maxStopTime)
		case <-time.After(maxStopTime):
			t.Fatal("the stuck target was not stopped")
		}
	}
	n := nodes[0]
	require.EqualValues(t, calls, n.metrics.copiesSent.Value())
	require.EqualValues(t, calls, n.metrics.copiesWon.Value())
	require.EqualValues(t, calls, n.metrics.copiesCancelled.Value())
	require.EqualValues(t, 2*calls, runs(nodes))
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	for _, e := range n.view.Load().Endpoints["shop"].Old {
		x := n.balancer.Estimate(e, balance.Request{ExpectedServiceTime: 20 * time.Millisecond, Objective: time.Second}, n.clock.now())
		require.Zero(t, x.FailureRate, e.Target)
		require.Zero(t, x.Load, "%s: an attempt that never ends", e.Target)
	}
	for _, o := range nodes {
		require.Zero(t, o.health.FailureRate(o.clock.now()), o.target.id)
	}
}

// Guards against memory that is held or released twice for attempts beside each other.
func TestMemoryOfAttemptsBesideEachOtherIsReleased(t *testing.T) {
	nodes := newHedgingMesh(t, 2)
	stallFirst(nodes, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	for i := range 5 {
		status, _, _ := nodes[0].call(t, http.MethodGet, "/read/x", fmt.Sprintf("r%d", i))
		require.Equal(t, http.StatusOK, status)
	}
	require.Eventually(t, func() bool { return nodes[0].messages.Held() == 0 }, 5*time.Second, 5*time.Millisecond)
}

// Guards against a response that is mixed from two targets.
func TestNoPartOfTheLosersAnswerReachesTheCaller(t *testing.T) {
	nodes := newHedgingMesh(t, 2)
	for i, loser := range []http.HandlerFunc{
		func(w http.ResponseWriter, r *http.Request) {
			// Half of an answer, and no more.
			w.Header().Set("X-Signature", "by the loser")
			w.Header().Set("X-Loser", "1")
			w.Header().Set("Content-Length", "20")
			_, _ = io.WriteString(w, "the loser ")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		},
		func(w http.ResponseWriter, r *http.Request) {
			// A whole answer at about the time of the other one.
			time.Sleep(60 * time.Millisecond)
			w.Header().Set("X-Signature", "by the loser")
			w.Header().Set("X-Loser", "1")
			_, _ = io.WriteString(w, "the loser of the ca")
		},
	} {
		stallFirst(nodes, loser)
		for k := range 20 {
			status, header, body := nodes[0].call(t, http.MethodGet, "/read/x", fmt.Sprintf("r%d-%d", i, k))
			require.Equal(t, http.StatusOK, status)
			if header.Get("X-Loser") != "" {
				require.Equal(t, 1, i, "half an answer won")
				require.Equal(t, "by the loser", header.Get("X-Signature"))
				require.Equal(t, "the loser of the ca", body)
				continue
			}
			require.Contains(t, body, "answer of target-")
			require.Equal(t, "by "+body[len("answer of "):], header.Get("X-Signature"))
		}
	}
}

// Guards against a second run of a request that must run at most once, also if the kind of its route
// changes while it runs.
func TestOnlyRepeatableRoutesGetCopies(t *testing.T) {
	nodes := newHedgingMesh(t, 3)
	for _, n := range nodes {
		n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(200 * time.Millisecond)
			answerOf(n, w)
		})
	}
	status, _, _ := nodes[0].call(t, http.MethodPost, "/write/x", "w1")
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 1, runs(nodes))

	reached, goOn := make(chan bool, 1), make(chan bool)
	stallFirst(nodes, func(w http.ResponseWriter, _ *http.Request) {
		reached <- true
		<-goOn
		time.Sleep(100 * time.Millisecond)
		w.Header().Set("X-Signature", "s")
	})
	// The published kind changes before the time of a copy.
	h := nodes[0].hedging.Load()
	h.mu.Lock()
	for range 100 {
		h.hedger.RecordTime("read", 500*time.Millisecond, nodes[0].clock.now())
	}
	h.mu.Unlock()
	go func() {
		<-reached
		changed := testConfig()
		changed.Version = 2
		changed.Routes[0].Kind, changed.Routes[1].Kind = published.NonIdempotent, published.Safe
		if err := changed.Prepare(); err != nil {
			t.Error(err)
		}
		for _, n := range nodes {
			n.Step(control.ConfigPublished{Config: changed})
		}
		time.Sleep(800 * time.Millisecond)
		close(goOn)
	}()
	status, _, _ = nodes[0].call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 2, runs(nodes))
	require.Zero(t, nodes[0].metrics.copiesSent.Value())
	require.Equal(t, `{"not-repeatable": 1}`, nodes[0].metrics.copiesHeld.String())

	stallFirst(nodes, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	status, _, _ = nodes[0].call(t, http.MethodPost, "/write/x", "w2")
	require.Equal(t, http.StatusOK, status, "the kind in force decides, not the name or the method")
	require.EqualValues(t, 1, nodes[0].metrics.copiesSent.Value())
}

// Guards against copies while a move is open, once the stop has begun and after the policy was
// withdrawn, and against copies beyond max_attempts.
func TestCopiesThatAreHeldBack(t *testing.T) {
	held := map[string]string{
		"move open": `{"move-open": 1}`, "node stops": `{"node-stops": 1}`, "crash suspect": `{"crash-suspect": 1}`, "one attempt": `{"attempts": 1}`,
		"policy withdrawn": `{}`, "route switched off": `{}`,
	}
	for name, change := range map[string]func(n *testNode){
		"move open": func(n *testNode) {
			v := *n.view.Load()
			service := *v.Endpoints["shop"]
			service.MoveOpen = true
			v.Endpoints = map[string]*control.ServiceEndpoints{"shop": &service}
			n.view.Store(&v)
		},
		"node stops":       func(n *testNode) { n.stopping.Store(true) },
		"policy withdrawn": func(n *testNode) { n.SetHedging(hedge.Policy{}) },
		"route switched off": func(n *testNode) {
			n.SetHedging(hedge.Policy{Limit: hedge.Limit{Share: 1, Burst: 10}, Routes: map[string]hedge.Limit{"read": {}}})
		},
		"crash suspect": func(n *testNode) {
			n.Step(control.TargetCrashed{Requests: []uint64{n.identityOf(&http.Request{Method: http.MethodGet, Host: "shop.test", RequestURI: "/read/x"}, nil)}})
		},
		"one attempt": func(n *testNode) {
			config := testConfig()
			config.Version, config.Routes[0].MaxAttempts = 2, 1
			if err := config.Prepare(); err != nil {
				panic(err)
			}
			n.Step(control.ConfigPublished{Config: config})
		},
	} {
		t.Run(name, func(t *testing.T) {
			nodes := newHedgingMesh(t, 2)
			for _, n := range nodes {
				n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(200 * time.Millisecond)
					answerOf(n, w)
				})
			}
			change(nodes[0])
			status, _, body := nodes[0].call(t, http.MethodGet, "/read/x", "r1")
			require.Equal(t, http.StatusOK, status, body)
			require.EqualValues(t, 1, runs(nodes))
			require.Zero(t, nodes[0].metrics.copiesSent.Value())
			require.Equal(t, held[name], nodes[0].metrics.copiesHeld.String())
		})
	}
}

// Guards against a refused copy that costs more than its share of the limit: the first attempt goes
// on, and the retry budget is not charged.
func TestRefusedCopyChangesNothing(t *testing.T) {
	nodes := newHedgingMesh(t, 2)
	for _, n := range nodes {
		n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(400 * time.Millisecond)
			answerOf(n, w)
		})
		n.refuseRepeats()
	}
	status, _, _ := nodes[0].call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 1, runs(nodes))
	require.EqualValues(t, 1, nodes[0].metrics.copiesSent.Value())
	require.EqualValues(t, 1, nodes[0].metrics.copiesRefused.Value())
	require.Zero(t, nodes[0].metrics.copiesCancelled.Value())
	require.True(t, nodes[0].retryBudget("shop").HasRoom(nodes[0].clock.now(), 0, 0, 0), "no retry is counted")
}

// Guards against copies whose calls do not count as repeats.
func TestCopyIsMarkedAsARepeat(t *testing.T) {
	nodes := newHedgingMesh(t, 2)
	var copies, firsts atomic.Int64
	var asked atomic.Bool
	for _, n := range nodes {
		n.target.serve(func(w http.ResponseWriter, r *http.Request) {
			if n.active.parent(r.Header.Get("X-Id")).IsRetry {
				copies.Add(1)
			} else {
				firsts.Add(1)
			}
			if !asked.Swap(true) {
				<-r.Context().Done()
			}
			answerOf(n, w)
		})
	}
	status, _, _ := nodes[0].call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 1, copies.Load())
	require.EqualValues(t, 1, firsts.Load())
}

// Guards against more attempts than max_attempts, and against a lost error, if both attempts fail.
func TestBothAttemptsFail(t *testing.T) {
	nodes := newHedgingMesh(t, 3)
	for _, n := range nodes {
		n.target.serve(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(400 * time.Millisecond)
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, "failed")
		})
	}
	status, _, body := nodes[0].call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusInternalServerError, status)
	require.Equal(t, "failed", body)
	require.EqualValues(t, 2, runs(nodes))
	require.EqualValues(t, 1, nodes[0].metrics.copiesSent.Value())
}

// Guards against an error that is delivered although the other attempt succeeds.
func TestFailureOfTheFirstAttemptWaitsForTheCopy(t *testing.T) {
	nodes := newHedgingMesh(t, 2)
	stallFirst(nodes, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(300 * time.Millisecond)
		w.WriteHeader(http.StatusInternalServerError)
	})
	for _, n := range nodes {
		before := n.target.handler
		n.target.serve(func(w http.ResponseWriter, r *http.Request) {
			if runs(nodes) > 1 {
				time.Sleep(500 * time.Millisecond)
			}
			before(w, r)
		})
	}
	status, _, _ := nodes[0].call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 2, runs(nodes))
	require.EqualValues(t, 1, nodes[0].metrics.copiesWon.Value())
}

// Guards against further copies after the call of a copy has failed: each would make it again, as a
// repeat.
func TestNoFurtherCopyAfterAFailedCall(t *testing.T) {
	nodes := newHedgingMesh(t, 4)
	config := testConfig()
	config.Version, config.Routes[0].MaxAttempts = 2, 4
	require.NoError(t, config.Prepare())
	nodes[0].Step(control.ConfigPublished{Config: config})
	for _, n := range nodes {
		n.target.serve(func(w http.ResponseWriter, r *http.Request) {
			if a := n.active.parent(r.Header.Get("X-Id")); a != nil && a.IsRetry {
				a.callFailed.Store(true)
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			time.Sleep(400 * time.Millisecond)
			answerOf(n, w)
		})
	}
	status, _, _ := nodes[0].call(t, http.MethodGet, "/read/x", "r1")
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 1, nodes[0].metrics.copiesSent.Value())
	require.EqualValues(t, 2, runs(nodes))
}

// Guards against attempts that go on after the caller has left.
func TestCallerThatLeavesEndsAllAttempts(t *testing.T) {
	nodes := newHedgingMesh(t, 2)
	var active atomic.Int64
	for _, n := range nodes {
		n.target.serve(func(_ http.ResponseWriter, r *http.Request) {
			active.Add(1)
			<-r.Context().Done()
			active.Add(-1)
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, nodes[0].outbound.URL+"/read/x", nil)
	require.NoError(t, err)
	req.Host = "shop.test"
	req.Header.Set("X-Id", "r1")
	done := make(chan error, 1)
	go func() {
		resp, err := nodes[0].outbound.Client().Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		done <- err
	}()
	require.Eventually(t, func() bool { return active.Load() == 2 }, 5*time.Second, 2*time.Millisecond)
	cancel()
	left := time.Now()
	require.Error(t, <-done)
	require.Eventually(t, func() bool { return active.Load() == 0 }, 5*time.Second, 2*time.Millisecond)
	require.Less(t, time.Since(left), maxStopTime)
	require.Eventually(t, func() bool { return nodes[0].inFlight.Load() == 0 }, 5*time.Second, 2*time.Millisecond)
}

// Guards against a copy without the body, or with a part of it.
func TestCopyCarriesTheWholeBody(t *testing.T) {
	body := &requestBody{head: []byte("whole"), size: 5}
	first, ok := body.open()
	require.True(t, ok)
	start := make([]byte, 2)
	_, err := io.ReadFull(first, start)
	require.NoError(t, err)
	second, ok := body.copy()
	require.True(t, ok)
	text, err := io.ReadAll(second)
	require.NoError(t, err)
	require.Equal(t, "whole", string(text))
	rest, err := io.ReadAll(first)
	require.NoError(t, err)
	require.Equal(t, "whole", string(start)+string(rest), "the first attempt reads on")
	_, ok = (&requestBody{head: []byte("part"), rest: http.NoBody, size: 9}).copy()
	require.False(t, ok, "bytes that are not kept cannot be sent twice")
}

// Measures a request through the node beside its target, without and with a policy.
func BenchmarkCallWithPolicy(b *testing.B) {
	for name, p := range map[string]hedge.Policy{"off": {}, "on": {Limit: hedge.Limit{Share: 0.05, Burst: 10}}} {
		b.Run(name, func(b *testing.B) {
			n := newTestNode(b, 0)
			config := testConfig()
			if err := config.Prepare(); err != nil {
				b.Fatal(err)
			}
			n.Step(control.ConfigPublished{Config: config})
			n.heartbeat(1, 1)
			n.SetHedging(p)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, n.outbound.URL+"/read/x", nil)
				if err != nil {
					b.Fatal(err)
				}
				req.Host = "shop.test"
				req.Header.Set("X-Id", "r1")
				resp, err := n.outbound.Client().Do(req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
