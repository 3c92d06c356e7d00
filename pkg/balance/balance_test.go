package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/mesh"
)

const ms = time.Millisecond

func endpoint(node mesh.NodeID, zone mesh.AvailabilityZone) balance.Endpoint {
	return balance.Endpoint{Node: node, Zone: zone, Service: "s", Version: "v1", Target: "t-" + string(node), Slots: 10}
}

func request() balance.Request {
	return balance.Request{ExpectedServiceTime: 100 * ms, Objective: 300 * ms, Bytes: 1000}
}

func fixed() float64 { return 0.5 }

// Guards against cross-zone traffic while the local zone responds well within the
// objective.
func TestOwnZoneFirst(t *testing.T) {
	b := balance.New("a")
	c, ok := b.Choose([]balance.Endpoint{endpoint("far", "b"), endpoint("near", "a")}, request(), 0, fixed)
	require.True(t, ok)
	require.EqualValues(t, "near", c.Endpoint.Node)
}

// Load pattern "zone moved": requests must not queue in the local zone while other zones
// have free slots.
func TestSpillsOverWhenTheLocalWaitIsLong(t *testing.T) {
	b := balance.New("a")
	near, far := endpoint("near", "a"), endpoint("far", "b")
	b.UpdateLoad(near, balance.LoadReport{Running: 10, Waiting: 20, MeanServiceTime: 100 * ms, Slowdown: 1}, 0)
	c, ok := b.Choose([]balance.Endpoint{far, near}, request(), 0, fixed)
	require.True(t, ok)
	require.EqualValues(t, "far", c.Endpoint.Node)
}

// Load pattern "slow half": a target that is twice as slow gets less traffic.
func TestSlowTargetsGetLess(t *testing.T) {
	b := balance.New("a")
	slow, fast := endpoint("slow", "a"), endpoint("fast", "a")
	b.UpdateLoad(slow, balance.LoadReport{Running: 2, MeanServiceTime: 200 * ms, Slowdown: 2}, 0)
	b.UpdateLoad(fast, balance.LoadReport{Running: 2, MeanServiceTime: 100 * ms, Slowdown: 1}, 0)
	c, _ := b.Choose([]balance.Endpoint{slow, fast}, request(), 0, fixed)
	require.EqualValues(t, "fast", c.Endpoint.Node)
}

// Load pattern "partly failing": a target that passes its health checks but fails some of
// its requests is avoided, and gets requests again later.
func TestPartlyFailingTargetIsAvoidedAndTriedAgain(t *testing.T) {
	b := balance.New("a")
	failing, healthy := endpoint("failing", "a"), endpoint("healthy", "b")
	for range 3 {
		b.RecordResponse(failing, true, 0)
	}
	c, _ := b.Choose([]balance.Endpoint{failing, healthy}, request(), 0, fixed)
	require.EqualValues(t, "healthy", c.Endpoint.Node)
	c, _ = b.Choose([]balance.Endpoint{failing, healthy}, request(), 30*time.Second, fixed)
	require.EqualValues(t, "failing", c.Endpoint.Node)
}

// Load pattern "cold targets": targets that are warming up get requests while others are
// overloaded.
func TestColdTargetGetsWork(t *testing.T) {
	b := balance.New("a")
	cold, warm := endpoint("cold", "a"), endpoint("warm", "a")
	cold.Cold = true
	b.UpdateLoad(warm, balance.LoadReport{Running: 10, Waiting: 12, MeanServiceTime: 100 * ms, Slowdown: 1}, 0)
	c, _ := b.Choose([]balance.Endpoint{cold, warm}, request(), 0, fixed)
	require.EqualValues(t, "cold", c.Endpoint.Node)
}

// Guards against attempts at a node during its backoff after a failed connection, and
// against a backoff that never ends.
func TestUnreachableNodeIsTriedAgain(t *testing.T) {
	b := balance.New("a")
	e := endpoint("n", "a")
	b.MarkUnreachable(e, 0)
	_, ok := b.Choose([]balance.Endpoint{e}, request(), 100*ms, fixed)
	require.False(t, ok)
	_, ok = b.Choose([]balance.Endpoint{e}, request(), time.Second, fixed)
	require.True(t, ok)
}

// Guards against a second attempt at the same node, and against an unresponsive node that
// is preferred to a responsive one.
func TestTriedAndUnresponsiveNodesAreAvoided(t *testing.T) {
	b := balance.New("a")
	unresponsive, live := endpoint("unresponsive", "a"), endpoint("live", "b")
	unresponsive.Unresponsive = true
	c, _ := b.Choose([]balance.Endpoint{unresponsive, live}, request(), 0, fixed)
	require.EqualValues(t, "live", c.Endpoint.Node)
	r := request()
	r.Tried = []mesh.NodeID{"live"}
	c, ok := b.Choose([]balance.Endpoint{unresponsive, live}, r, 0, fixed)
	require.True(t, ok, "an unresponsive node is chosen if there is no other")
	require.EqualValues(t, "unresponsive", c.Endpoint.Node)
}

// Load pattern "last one stops": a leaving node still gets requests while it has the only
// target of the service.
func TestStoppingNodeIsTheLastResort(t *testing.T) {
	b := balance.New("a")
	stopping, far := endpoint("stopping", "a"), endpoint("far", "b")
	stopping.Leaving = true
	c, ok := b.Choose([]balance.Endpoint{stopping, far}, request(), 0, fixed)
	require.True(t, ok)
	require.EqualValues(t, "far", c.Endpoint.Node)
	c, ok = b.Choose([]balance.Endpoint{stopping}, request(), 0, fixed)
	require.True(t, ok)
	require.EqualValues(t, "stopping", c.Endpoint.Node)
}

// Load pattern "uploads beside searches": a large request goes to a node whose link can
// transfer it in time, a small one to the local zone.
func TestLargeBodiesAvoidSlowLinks(t *testing.T) {
	b := balance.New("a")
	slow, far := endpoint("slow", "a"), endpoint("far", "b")
	slow.LinkMbps, far.LinkMbps = 10, 200
	r := request()
	c, _ := b.Choose([]balance.Endpoint{slow, far}, r, 0, fixed)
	require.EqualValues(t, "slow", c.Endpoint.Node)
	r.Bytes = 500_000
	c, _ = b.Choose([]balance.Endpoint{slow, far}, r, 0, fixed)
	require.EqualValues(t, "far", c.Endpoint.Node, "the transfer takes 0.4 s on the slow link")
}

// Load pattern "slow links": uploads go to another node while the preferred node's link is
// busy, either with uploads of this node or according to its load report.
func TestBusyLinksAreAvoided(t *testing.T) {
	r := request()
	r.Bytes = 50_000
	near, other := endpoint("near", "a"), endpoint("other", "a")
	near.LinkMbps, other.LinkMbps = 10, 9
	b := balance.New("a")
	c, _ := b.Choose([]balance.Endpoint{near, other}, r, 0, fixed)
	require.EqualValues(t, "near", c.Endpoint.Node)
	b.Begin(near, r.Bytes)
	c, _ = b.Choose([]balance.Endpoint{near, other}, r, 0, fixed)
	require.EqualValues(t, "other", c.Endpoint.Node, "an upload to the preferred node is in flight")
	b = balance.New("a")
	b.UpdateLoad(near, balance.LoadReport{Slowdown: 1, MeanServiceTime: 100 * ms, LinkUtilization: 0.9}, 0)
	c, _ = b.Choose([]balance.Endpoint{near, other}, r, 0, fixed)
	require.EqualValues(t, "other", c.Endpoint.Node, "the link of the preferred node is reported as busy")
}

// Guards against a memory leak: the state of removed endpoints is deleted once they are
// idle.
func TestRetainKeepsWhatIsInUse(t *testing.T) {
	b := balance.New("a")
	e := endpoint("n", "a")
	b.Begin(e, 0)
	b.Retain(nil)
	b.End(e, 0)
	b.MarkUnreachable(e, 0)
	b.Retain(nil)
	_, ok := b.Choose([]balance.Endpoint{e}, request(), 0, fixed)
	require.True(t, ok, "the backoff of a removed endpoint is deleted")
}

// Guards against an estimate that counts requests which have ended: the load report of a target is
// ignored once it is old, while the requests of this node are always known.
func TestEstimateOfAnEndpoint(t *testing.T) {
	b := balance.New("a")
	e := endpoint("n", "a")
	b.UpdateLoad(e, balance.LoadReport{Running: 10, Waiting: 5, MeanServiceTime: 100 * ms, Slowdown: 2}, 0)
	b.Begin(e, 1000)
	b.RecordResponse(e, true, 0)
	got := b.Estimate(e, request(), 0)
	require.InDelta(t, 16, got.Load, 1e-9)
	require.Equal(t, 70*ms, got.Wait, "7 more than the slots, at 10 ms each")
	require.Equal(t, 345*ms, got.Response, "with the margins of admission")
	require.Positive(t, got.FailureRate)
	require.False(t, got.LastResort)
	e.Unresponsive = true
	got = b.Estimate(e, request(), 3*time.Second)
	require.InDelta(t, 1, got.Load, 1e-9)
	require.True(t, got.LastResort)
}
