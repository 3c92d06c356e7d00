package core

import (
	"maps"
	"time"

	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/record"
)

// authorActiveWindow is how long a node counts as an active author after the last
// operator change or system record that it appended.
const authorActiveWindow = time.Minute

// authors tracks which nodes append operator changes and system records. Active
// authors share the append rate that idle nodes don't use: with equal shares for
// 2,500 nodes, an urgent change would wait for 36 s.
type authors struct {
	mesh     pricing.MeshStats
	operator map[string]time.Duration
	system   map[string]time.Duration
	lastTick time.Duration
	// reported and reportedSystem are the counts last passed to the queue.
	reported, reportedSystem int
}

func newAuthors() authors {
	return authors{mesh: pricing.MeshStats{Nodes: 1, Zones: 1, FanOut: 1}, operator: map[string]time.Duration{}, system: map[string]time.Duration{}}
}

// recordAuthor records the author of an operator change or a system record. It
// ignores node announcements, which don't predict further appends.
func (c *Core) recordAuthor(r record.Record) {
	switch r.Body.(type) {
	case record.PutService, record.DeleteService, record.PutVersion, record.DeleteVersion, record.PutRoute,
		record.DeleteRoute, record.StartRollout, record.PauseRollout, record.ResumeRollout, record.Batch:
		c.authors.operator[r.Author] = c.time.Now
	case record.NodeAnnounced, nil:
	default:
		c.authors.system[r.Author] = c.time.Now
	}
}

// tickAuthors expires inactive authors and updates the queue if their number changed.
func (c *Core) tickAuthors() {
	a := &c.authors
	if c.time.Now-a.lastTick < time.Second {
		return
	}
	a.lastTick = c.time.Now
	old := func(_ string, at time.Duration) bool { return c.time.Now-at > authorActiveWindow }
	maps.DeleteFunc(a.operator, old)
	maps.DeleteFunc(a.system, old)
	if len(a.operator) != a.reported || len(a.system) != a.reportedSystem {
		c.updateMeshStats()
	}
}

// updateMeshStats passes the size of the mesh to the queue. This node counts as an
// active author, since the queue uses the numbers for its own next append.
func (c *Core) updateMeshStats() {
	a := &c.authors
	a.reported, a.reportedSystem = len(a.operator), len(a.system)
	a.mesh.ActiveAuthors = c.countWithSelf(a.operator)
	a.mesh.ActiveSystemAuthors = c.countWithSelf(a.system)
	c.stepQueue(pricing.MeshChanged{Now: c.time.Now, Mesh: a.mesh})
}

func (c *Core) countWithSelf(authors map[string]time.Duration) int {
	if _, ok := authors[string(c.cfg.Self.ID)]; ok {
		return len(authors)
	}
	return len(authors) + 1
}
