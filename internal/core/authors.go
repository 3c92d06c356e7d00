package core

import (
	"maps"
	"time"

	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/record"
)

// authorMemory is how long a node counts as taking commands after the last
// change of an operator that it appended.
const authorMemory = time.Minute

// authors follows which nodes append the changes of operators. They share the
// appends that the idle nodes leave: with equal shares of 2,500 nodes, an urgent
// change would wait for 36 s.
type authors struct {
	mesh   pricing.MeshStats
	seen   map[string]time.Duration
	system map[string]time.Duration
	ticked time.Duration
	// told and toldSystem are what the queue was told last.
	told, toldSystem int
}

func newAuthors() authors {
	return authors{mesh: pricing.MeshStats{Nodes: 1, Zones: 1, FanOut: 1}, seen: map[string]time.Duration{}, system: map[string]time.Duration{}}
}

// authorSeen notes the author of a change of an operator or of the system. An
// announcement says nothing about further appends.
func (c *Core) authorSeen(r record.Record) {
	switch r.Body.(type) {
	case record.PutService, record.DeleteService, record.PutVersion, record.DeleteVersion, record.PutRoute,
		record.DeleteRoute, record.StartRollout, record.PauseRollout, record.ResumeRollout, record.Batch:
		c.authors.seen[r.Author] = c.time.Now
	case record.NodeAnnounced, nil:
	default:
		c.authors.system[r.Author] = c.time.Now
	}
}

// tickAuthors tells the queue when the number of active authors has changed.
func (c *Core) tickAuthors() {
	a := &c.authors
	if c.time.Now-a.ticked < time.Second {
		return
	}
	a.ticked = c.time.Now
	old := func(_ string, at time.Duration) bool { return c.time.Now-at > authorMemory }
	maps.DeleteFunc(a.seen, old)
	maps.DeleteFunc(a.system, old)
	if len(a.seen) != a.told || len(a.system) != a.toldSystem {
		c.meshChanged()
	}
}

// meshChanged tells the queue the size of the mesh. This node counts as an
// author, since it asks in order to append.
func (c *Core) meshChanged() {
	a := &c.authors
	a.told, a.toldSystem = len(a.seen), len(a.system)
	a.mesh.ActiveAuthors = c.withSelf(a.seen)
	a.mesh.ActiveSystemAuthors = c.withSelf(a.system)
	c.stepQueue(pricing.MeshChanged{Now: c.time.Now, Mesh: a.mesh})
}

func (c *Core) withSelf(authors map[string]time.Duration) int {
	if _, ok := authors[string(c.cfg.Self.ID)]; ok {
		return len(authors)
	}
	return len(authors) + 1
}
