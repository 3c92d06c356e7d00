package control

import (
	"maps"
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

const (
	// rereadDelay is how long a node that reads the store itself waits, once another node has a
	// newer configuration, before it reads again instead of waiting for its long poll.
	rereadDelay = 200 * time.Millisecond
	// fetchDelay is how long such a node waits until it fetches the configuration from another
	// node, and any other node until it also reads the store. In a burst of changes, the store
	// is read every 0.8 s.
	fetchDelay = 900 * time.Millisecond
	// fetchInterval is the time between two requests for a newer configuration, to different
	// nodes. A transfer takes a tenth of a second on a slow link.
	fetchInterval = 700 * time.Millisecond
)

// configFetch is the state of the requests for a configuration that other nodes have.
type configFetch struct {
	// missing is the oldest version that another node has and this one lacks, missingSince the
	// time since when, and holders are the nodes that have a newer one.
	missing      published.Version
	missingSince time.Duration
	holders      map[mesh.NodeID]published.Version
	// last is the node from which a configuration was last requested.
	last                  mesh.NodeID
	nextFetch, nextReread time.Duration
}

// configApplied forgets the nodes whose configuration is not newer than the one in force.
func (f *configFetch) configApplied(version published.Version) {
	for id, held := range f.holders {
		if held <= version {
			delete(f.holders, id)
		}
	}
}

// fetchMissingConfig records that another node has a newer configuration. A node that does not
// read the store itself requests it at once.
func (c *Control) fetchMissingConfig(t Time, version published.Version, from directory.Announcement) {
	f := &c.fetch
	if version <= c.configVersion() {
		delete(f.holders, from.Node)
		return
	}
	if !c.behind() {
		f.missing, f.missingSince = version, t.Now
		c.log("config_behind", "version", uint64(version), "have", uint64(c.configVersion()), "peer", string(from.Node))
	}
	f.holders[from.Node] = version
	// A node without configuration refuses all requests, so it does not wait.
	if c.configVersion() == 0 || !c.isReader() {
		c.fetchFrom(t, from)
	}
}

// behind reports whether another node is known to have a newer configuration.
func (c *Control) behind() bool {
	return len(c.fetch.holders) > 0 && c.fetch.missing > c.configVersion()
}

// retryMissingConfig requests a configuration that this node lacks from the nodes that have it in
// turn, until it has it.
func (c *Control) retryMissingConfig(t Time) {
	f := &c.fetch
	if !c.behind() {
		return
	}
	late := t.Now - f.missingSince
	if c.readsOperatorFeed(t) && late >= rereadDelay && t.Now >= f.nextReread {
		f.nextReread = t.Now + fetchInterval
		c.emit(RereadFeed{Feed: OperatorFeed})
	}
	if c.isReader() && late < fetchDelay && c.configVersion() != 0 {
		return
	}
	if next, ok := c.nextHolder(); ok {
		c.fetchFrom(t, next)
	}
}

// nextHolder returns the node after the last one asked of those that have a newer configuration.
func (c *Control) nextHolder() (directory.Announcement, bool) {
	ids := slices.Sorted(maps.Keys(c.fetch.holders))
	if len(ids) == 0 {
		return directory.Announcement{}, false
	}
	next := ids[0]
	if i := slices.IndexFunc(ids, func(id mesh.NodeID) bool { return id > c.fetch.last }); i >= 0 {
		next = ids[i]
	}
	return c.dir.Get(next)
}

func (c *Control) fetchFrom(t Time, from directory.Announcement) {
	if t.Now < c.fetch.nextFetch {
		return
	}
	c.fetch.nextFetch, c.fetch.last = t.Now+fetchInterval, from.Node
	c.emit(FetchConfig{From: from})
}
