package convergence

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
)

// cost counts encoded bytes and messages by node.
type cost struct {
	sent, received map[mesh.NodeID]int
	messages       int
}

// meter counts the messages between nodes from now on.
func (p *pump) meter(t testing.TB) *cost {
	c := &cost{sent: make(map[mesh.NodeID]int), received: make(map[mesh.NodeID]int)}
	p.sent = func(from, to *node, msg any) {
		data, err := json.Marshal(msg)
		require.NoError(t, err)
		c.sent[from.info.ID] += len(data)
		c.received[to.info.ID] += len(data)
		c.messages++
	}
	return c
}

// perSecond returns the mean and the highest of sent and received bytes per
// second and node.
func (c *cost) perSecond(p *pump, over time.Duration) (mean, highest float64) {
	for _, id := range p.ids {
		rate := float64(c.sent[id]+c.received[id]) / over.Seconds()
		mean += rate / float64(len(p.ids))
		highest = max(highest, rate)
	}
	return mean, highest
}

// TestMembershipCost guards against a cost per node that grows with the zone.
// Members report a new revision every 8 s, as on a day with 11,000 changes.
func TestMembershipCost(t *testing.T) {
	t.Parallel()
	small, _ := measureCost(t, 40)
	large, highest := measureCost(t, 167)
	require.Less(t, large, 1.25*small, "mean cost at 167 members against 40")
	require.Less(t, highest, 11_000.0, "control bytes of a node, sent and received")
}

// BenchmarkMembershipCost prints the cost of all sizes.
func BenchmarkMembershipCost(b *testing.B) {
	for _, size := range []int{10, 40, 167, 640} {
		measureCost(b, size)
	}
}

// measureCost returns the mean and highest bytes per second and node, sent and
// received, of a zone at steady state.
func measureCost(t testing.TB, size int) (mean, highest float64) {
	const window = 60 * time.Second
	p := newPump(7)
	p.membershipOnly = true
	p.addZones(1, size)
	settled, ok := p.runUntil(4*time.Minute, p.complete)
	require.True(t, ok)
	p.runFor(40 * time.Second)
	c := p.meter(t)
	for i := range int(window / (8 * time.Second)) {
		for _, n := range p.up() {
			n.stepMember(membershipApplied(n.now(), record.Revision(i+1), ""))
		}
		p.runFor(8 * time.Second)
	}
	p.runFor(window % (8 * time.Second))
	mean, highest = c.perSecond(p, window)
	t.Logf("members=%d formed_s=%.1f messages_per_s=%.2f bytes_per_s_mean=%.0f bytes_per_s_highest=%.0f",
		size, settled.Seconds(), float64(c.messages)/window.Seconds()/float64(size), mean, highest)
	return mean, highest
}

// complete reports whether all nodes that are up hold each other as alive.
func (p *pump) complete() bool {
	return !slices.ContainsFunc(p.up(), func(n *node) bool { return len(n.missing()) > 0 })
}
