package control

import (
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/quota"
)

// maxMeshSize bounds the number of nodes that a peer may report.
const maxMeshSize = 100_000

// meshSize is what the node knows of the number of nodes, by which it divides the usage caps.
type meshSize struct {
	quota.MeshSize
	// heard is set once a node that has read the list of the nodes has told their number.
	heard bool
}

// meshSizeKnown reports whether the list of the nodes was read since the start, by this node or
// by one that told it their number.
func (c *Control) meshSizeKnown() bool { return c.caughtUp[MeshFeed] || c.meshSize.heard }

// observeMeshSize records the number of nodes. It is recorded without usage caps too: a
// configuration may introduce them while nodes are cut off.
func (c *Control) observeMeshSize(t Time) { c.meshSize.Observe(t.Now, c.dir.Len()+1) }

// reportedMeshSize returns the greatest number of nodes and the age of the observation, for other
// nodes.
func (c *Control) reportedMeshSize(t Time) (count int, ageMS int64) {
	if c.config == nil || !c.config.HasCaps() || !c.meshSizeKnown() {
		return 0, 0
	}
	count, at := c.meshSize.Max(t.Now)
	return count, (t.Now - at).Milliseconds()
}

// adoptMeshSize adopts the greatest number of nodes that another node knows.
func (c *Control) adoptMeshSize(t Time, s PeerState) {
	if s.MeshSize > 0 {
		c.meshSize.heard = true
		c.meshSize.Observe(t.Now-time.Duration(s.MeshSizeAgeMS)*time.Millisecond, s.MeshSize)
	}
}

// addMeshSize adds what the usage caps need to a view.
func (c *Control) addMeshSize(v *View, t Time) {
	if c.config == nil || !c.config.HasCaps() {
		return
	}
	if c.meshSizeKnown() {
		count, _ := c.meshSize.Max(t.Now)
		v.MeshSize = max(count, c.dir.Len()+1)
	}
	v.Unresponsive = map[mesh.NodeID]bool{}
	for _, a := range c.dir.All() {
		if c.unresponsive(a.Node, t) {
			v.Unresponsive[a.Node] = true
		}
	}
}
