package callpath_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/callpath"
	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/state"
)

// testKeys implements callpath.Keys with a single key owner. Its keys are minted,
// so that it needs no log.
type testKeys struct {
	mu      sync.Mutex
	start   time.Time
	owner   mesh.NodeID
	call    netip.AddrPort
	machine *idempotency.Machine
	nextID  idempotency.RequestID
	waiting map[idempotency.RequestID]chan idempotency.Effect
}

func newTestKeys(owner mesh.NodeID) *testKeys {
	return &testKeys{
		start: time.Now(), owner: owner, waiting: map[idempotency.RequestID]chan idempotency.Effect{},
		machine: idempotency.New(idempotency.DefaultConfig(owner, "s1")),
	}
}

func (k *testKeys) step(e idempotency.Event) {
	for _, effect := range k.machine.Step(e) {
		switch e := effect.(type) {
		case idempotency.Execute:
			k.waiting[e.ID] <- e
		case idempotency.Replay:
			k.waiting[e.ID] <- e
		case idempotency.Refuse:
			k.waiting[e.ID] <- e
		}
	}
}

func (k *testKeys) Owner(string) callpath.KeyOwner {
	return callpath.KeyOwner{Node: k.owner, CallAddress: k.call}
}

func (k *testKeys) Begin(ctx context.Context, key string, digest uint64) callpath.KeyGrant {
	k.mu.Lock()
	k.nextID++
	id, answer := k.nextID, make(chan idempotency.Effect, 1)
	k.waiting[id] = answer
	k.step(idempotency.Request{Now: time.Since(k.start), ID: id, Key: key, Digest: digest})
	k.mu.Unlock()
	select {
	case effect := <-answer:
		switch e := effect.(type) {
		case idempotency.Execute:
			return callpath.KeyGrant{ID: uint64(id), Key: key, Execute: true, Fence: callpath.FencingToken{Slot: e.Fence.Slot}}
		case idempotency.Replay:
			return callpath.KeyGrant{Replay: &callpath.StoredResponse{Status: e.Response.Status, Header: e.Response.Header, Body: e.Response.Body}}
		case idempotency.Refuse:
			return callpath.KeyGrant{Refusal: callpath.KeyRefusal(e)}
		}
	case <-ctx.Done():
	}
	return callpath.KeyGrant{Refusal: callpath.MayHaveRun(callpath.CodeDeadline, "the first request still runs")}
}

func (k *testKeys) Finish(g callpath.KeyGrant, r callpath.KeyResult) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := idempotency.ExecutionFinished{Now: time.Since(k.start), ID: idempotency.RequestID(g.ID), Kind: idempotency.ResultKind(r.Kind)}
	if r.Response != nil {
		e.Response = idempotency.Response{Status: r.Response.Status, Header: r.Response.Header, Body: r.Response.Body}
	}
	k.step(e)
}

func (k *testKeys) CheckFence(key string, f callpath.FencingToken) *callpath.Refusal {
	k.mu.Lock()
	defer k.mu.Unlock()
	return callpath.FenceRefusal(k.machine.FenceView().Check(key, idempotency.FencingToken{Slot: f.Slot, Epoch: f.Epoch}, time.Since(k.start)))
}

func keyedMesh(t *testing.T, address string) (*testMesh, func(random string) string) {
	m := newMesh(t)
	keys := newTestKeys("node-o")
	m.keys = keys
	m.add("node-a", "", fastSettings())
	m.add("node-b", address, fastSettings())
	keys.call = addrOf(m.add("node-o", "", fastSettings()).peer)
	return m, func(random string) string { return idempotency.Mint("node-o", "s1", random) }
}

// Guards against a second execution of a key, or the response of another key, when
// requests with the key arrive at several nodes concurrently and again later.
func TestKeyedRequestRunsOnce(t *testing.T) {
	var runs atomic.Int64
	m, mint := keyedMesh(t, target(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(w, "run %d of %s", runs.Add(1), r.Header.Get(callpath.HeaderKey))
	}))
	key := mint("r1")
	want := "run 1 of " + key
	var wg sync.WaitGroup
	var wrong atomic.Int64
	for _, id := range []mesh.NodeID{"node-a", "node-b", "node-o", "node-a"} {
		wg.Go(func() {
			if got := m.do(m.nodes[id], "POST", "/courier", "charge", callpath.HeaderKey, key); got.body != want {
				wrong.Add(1)
			}
		})
	}
	wg.Wait()
	require.Zero(t, wrong.Load())
	got := m.do(m.nodes["node-a"], "POST", "/courier", "charge", callpath.HeaderKey, key)
	require.Equal(t, want, got.body)
	require.Equal(t, "true", got.header.Get(callpath.HeaderReplayed))
	other := m.do(m.nodes["node-a"], "POST", "/courier/other", "charge", callpath.HeaderKey, key)
	require.Equal(t, "key-mismatch", other.header.Get(callpath.HeaderReason))
	require.Equal(t, "run 2 of "+mint("r2"), m.do(m.nodes["node-a"], "POST", "/courier", "", callpath.HeaderKey, mint("r2")).body)
}

// Guards against a second execution after the connection to the target was lost,
// and against net/http retrying a keyed request without a body.
func TestKeyedRequestRunsOnceUnderConnectionLoss(t *testing.T) {
	for _, body := range []string{"", "charge"} {
		var runs atomic.Int64
		m, mint := keyedMesh(t, target(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(callpath.HeaderKey) != "" {
				runs.Add(1)
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "ok")
		}))
		for _, id := range []mesh.NodeID{"node-a", "node-b", "node-o"} {
			// net/http retries only on an idle connection that is reused.
			require.Equal(t, "ok", m.do(m.nodes[id], "GET", "/courier", "").body)
			got := m.do(m.nodes[id], "POST", "/courier", body, callpath.HeaderKey, mint("r"))
			require.Equal(t, "may-have-run", got.header.Get(callpath.HeaderOutcome), got.body)
		}
		require.Equal(t, int64(1), runs.Load())
	}
}

// Guards against a key that stays blocked although its request did not run.
func TestKeyRunsAfterNotRun(t *testing.T) {
	var calls atomic.Int64
	m, mint := keyedMesh(t, target(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			w.Header().Set(callpath.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ran")
	}))
	first := m.do(m.nodes["node-a"], "POST", "/courier", "charge", callpath.HeaderKey, mint("r"))
	require.Equal(t, "not-run", first.header.Get(callpath.HeaderOutcome))
	require.Equal(t, int64(1), calls.Load(), "a byte reached the target, so no node may send it again")
	require.Equal(t, "ran", m.do(m.nodes["node-a"], "POST", "/courier", "charge", callpath.HeaderKey, mint("r")).body)
}

// Guards against a key whose outcome becomes unknown, or whose request runs again,
// because the caller disconnected while the target was working.
func TestKeyedRequestOutlivesItsCaller(t *testing.T) {
	var runs atomic.Int64
	begun, release := make(chan struct{}), make(chan struct{})
	m, mint := keyedMesh(t, target(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		close(begun)
		<-release
		_, _ = io.WriteString(w, "charged")
	}))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", m.nodes["node-a"].caller.URL+"/courier", nil)
	require.NoError(t, err)
	req.Header.Set(callpath.HeaderKey, mint("r"))
	go func() {
		<-begun
		cancel()
	}()
	require.Error(t, roundTrip(req).err)
	close(release)
	require.Equal(t, "charged", m.do(m.nodes["node-b"], "POST", "/courier", "", callpath.HeaderKey, mint("r")).body)
	require.Equal(t, int64(1), runs.Load())
}

// Guards against a keyed request that reaches the target through a node that
// cannot tell the owner of the key, or without a valid fencing token.
func TestFenceStopsRequestBeforeTheTarget(t *testing.T) {
	var runs atomic.Int64
	m, _ := keyedMesh(t, target(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	slot := state.SlotOf("charge")
	for fence, reason := range map[string]string{
		"": "bad-request", "x/1": "bad-request", "1": "bad-request",
		fmt.Sprintf("%d/9", slot+1): "fenced", fmt.Sprintf("%d/9", slot): "view-unconfirmed",
	} {
		req, err := http.NewRequest("POST", m.nodes["node-b"].peer.URL+"/courier", nil)
		require.NoError(t, err)
		req.Header.Set(callpath.HeaderHop, callpath.HopTarget)
		req.Header.Set(callpath.HeaderTarget, "courier/v1")
		req.Header.Set(callpath.HeaderKey, "charge")
		req.Header.Set(callpath.HeaderFence, fence)
		got := roundTrip(req)
		require.Equal(t, []string{reason, "not-run"}, []string{got.header.Get(callpath.HeaderReason), got.header.Get(callpath.HeaderOutcome)}, fence)
	}
	require.Zero(t, runs.Load())
}
