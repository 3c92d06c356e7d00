package callpath_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/callpath"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// Guards against overloading a target that names a limit of requests per second in its
// responses, also through a node that restarts and forgets the limit while the sending node
// knows it. The limit holds for 1.5 times itself and 5 requests in the measured time.
func TestTargetGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	var runs atomic.Int64
	address := target(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set(callpath.HeaderRateLimit, "4")
	})
	m.add("node-b", address, fastSettings())
	require.Equal(t, http.StatusOK, m.do(a, "GET", "/courier", "").status)
	statuses := map[int]int{}
	var mu sync.Mutex
	began := time.Now()
	for time.Since(began) < 2*time.Second {
		if time.Since(began) > time.Second {
			m.add("node-b", address, fastSettings())
		}
		var wait sync.WaitGroup
		for range 8 {
			wait.Go(func() {
				got := m.do(a, "GET", "/courier", "")
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
				if got.status != http.StatusOK {
					require.Equal(t, "not-run", got.header.Get(callpath.HeaderOutcome))
				}
				require.Empty(t, got.header.Get(callpath.HeaderRateLimit)+got.header.Get(callpath.HeaderSignals))
			})
		}
		wait.Wait()
	}
	elapsed := time.Since(began).Seconds()
	require.LessOrEqual(t, float64(runs.Load()), 1.5*4*elapsed+5, "%v", statuses)
	// Four fit into the second before the restarts.
	require.GreaterOrEqual(t, statuses[http.StatusOK], 3, "%v", statuses)
	require.Zero(t, statuses[http.StatusBadGateway]+statuses[http.StatusGatewayTimeout], "%v", statuses)
}

// Guards against a limit that outlives its end, and against a malformed one that ends it.
func TestLimitEndsWithAResponseWithoutIt(t *testing.T) {
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	limit := make(chan string, 1)
	m.add("node-b", target(t, func(w http.ResponseWriter, _ *http.Request) {
		if text := <-limit; text != "" {
			w.Header().Set(callpath.HeaderRateLimit, text)
		}
	}), fastSettings())
	// call waits for the next request that the limit lets through.
	call := func(text string) (refused int) {
		limit <- text
		for {
			got := m.do(a, "GET", "/courier", "")
			if got.status == http.StatusOK {
				return refused
			}
			refused++
			time.Sleep(10 * time.Millisecond)
		}
	}
	require.Zero(t, call("2"))
	require.Positive(t, call("none"), "a limit begins without requests to spare")
	require.Positive(t, call(""), "a malformed limit changes nothing")
	for range 20 {
		require.Zero(t, call(""))
	}
}

// Guards against sending requests to a target that says in a response that it is shutting
// down: by the node beside it, and by the sending node after that one has restarted.
func TestTargetThatSignalsItsLeavingGetsNoFurtherRequest(t *testing.T) {
	m := newMesh(t)
	a := m.add("node-a", "", fastSettings())
	var runs atomic.Int64
	address := target(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set(callpath.HeaderLeaving, "1")
	})
	b := m.add("node-b", address, fastSettings())
	got := m.do(a, "GET", "/courier", "")
	require.Equal(t, http.StatusOK, got.status)
	require.Empty(t, got.header.Get(callpath.HeaderLeaving))
	require.Equal(t, http.StatusServiceUnavailable, m.do(a, "GET", "/courier", "").status)
	require.Equal(t, http.StatusServiceUnavailable, m.do(b, "GET", "/courier", "").status)
	m.add("node-b", address, fastSettings())
	require.Equal(t, http.StatusServiceUnavailable, m.do(a, "GET", "/courier", "").status)
	require.EqualValues(t, 1, runs.Load())
	// A later process of the target is another one.
	next := *b.target.Load()
	next.StartedUnixMS = 2
	m.nodes["node-b"].target.Store(&next)
	m.publish()
	require.Equal(t, http.StatusOK, m.do(a, "GET", "/courier", "").status)
	require.Equal(t, mesh.TargetServing, next.State)
}
