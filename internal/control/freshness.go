package control

import (
	"time"

	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/logpos"
	"heathercroft.example/heathercroft/pkg/published"
)

const (
	// maxPollWait is the longest long-poll time of the operator feed. A lost response is noticed
	// only after the poll should have ended, and what was confirmed must be in force 3 s after
	// a failure of the store.
	maxPollWait = 2 * time.Second
	// defaultConfigDeadline is how long after its confirmation a configuration may take to be in
	// force if the settings do not say.
	defaultConfigDeadline = 2 * time.Second
	// readShare is the part of the deadline that is left for reading the store, including the
	// tick in which a node notices that it has to.
	readShare = 0.4
	// checkInterval is the time in which a node of a large mesh asks a reader for a proof that
	// its configuration is the newest one. A reader that does not respond within a tick is
	// replaced by the next one.
	checkInterval = 500 * time.Millisecond
	// checkTime is the time that the response to a check may take.
	checkTime = 100 * time.Millisecond
)

// maxConfigAge returns the age of the last proof that its configuration is the newest one at which
// a node of a large mesh reads the store itself. The deadline begins with the confirmation also if
// the store fails only the readers.
func (c *Control) maxConfigAge() time.Duration {
	return max(time.Duration((1-readShare)*float64(c.configDeadline)), 2*checkInterval)
}

// readerPollWait returns the long-poll time of the operator feed at the readers of a large mesh. In
// normal operation it keeps the proofs of all nodes younger than maxConfigAge.
func (c *Control) readerPollWait() time.Duration {
	wait := c.maxConfigAge() - checkInterval - TickInterval - checkTime
	return min(max(wait, checkTime), maxPollWait)
}

// freshness is what a node knows of how recent its configuration is. Times are those as of which
// no newer configuration was confirmed.
type freshness struct {
	// readAsOf is shown by reads of this node, toldAsOf by those of other nodes.
	readAsOf, toldAsOf time.Duration
	// position is the end of the operator feed as of then. The configuration in force is not
	// older than the records before it.
	position logpos.Position
	// claim is what another node says of a version that this one lacks.
	claim claim
	// stale is set while the node reads the store itself for lack of a proof.
	stale bool

	// check is the request to a reader for a proof.
	check struct {
		sentAt time.Duration
		// provedAt is the time of the last response of a reader with a recent proof.
		provedAt time.Duration
		// reader selects the reader, round robin, tries counts those asked since the last
		// proof.
		reader, tries int
		pending       bool
	}
}

// claim is what another node says of how recent its configuration is.
type claim struct {
	version  published.Version
	asOf     time.Duration
	position logpos.Position
	// orders is the position after the newest order for a zone that the node knows.
	orders logpos.Position
}

// adopt records a claim about a version that is not newer than the one in force.
func (f *freshness) adopt(c claim) {
	if c.asOf > f.asOf() {
		f.position = c.position
	}
	f.toldAsOf = max(f.toldAsOf, c.asOf)
}

// never is the time of a proof that a node does not have.
const never = -1 << 62 * time.Nanosecond

// asOf returns the time as of which the configuration is known to be the newest one.
func (f *freshness) asOf() time.Duration { return max(f.readAsOf, f.toldAsOf) }

// configFresh reports whether no newer configuration was confirmed until maxConfigAge ago.
func (c *Control) configFresh(t Time) bool { return t.Now-c.fresh.asOf() <= c.maxConfigAge() }

// toldFresh reports whether other nodes prove that, so that they read the store for this one.
func (c *Control) toldFresh(t Time) bool {
	return t.Now-c.fresh.toldAsOf <= c.maxConfigAge()
}

// configAgeMS returns the age for a message to other nodes: 0 if it is not known.
func (c *Control) configAgeMS(t Time) int64 {
	if age := (t.Now - c.fresh.asOf()).Milliseconds() + 1; age > 0 && age <= MaxConfigAgeMS {
		return age
	}
	return 0
}

// ConfigFreshness tells how recent the configuration of a node is.
type ConfigFreshness struct {
	Version published.Version `json:"version"`
	// AgeMS is the age in milliseconds of the last proof that no newer version was confirmed, at
	// least 1, or 0 if the node knows none.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Position is the end of the operator feed as of then.
	Position logpos.Position `json:"position,omitzero"`
	// StoreLost is set while the store does not respond to the node.
	StoreLost bool `json:"store_lost,omitempty"`
	// Orders is the position after the newest order for a zone, zero if there was none.
	Orders logpos.Position `json:"orders,omitzero"`
}

// ConfigFreshness returns how recent the configuration in force is.
func (c *Control) ConfigFreshness(t Time) ConfigFreshness {
	return ConfigFreshness{c.configVersion(), c.configAgeMS(t), c.fresh.position, c.storeLost, c.zones.newest()}
}

// adoptClaim processes what another node says of its configuration. delay is the longest time for
// which the message can have been on its way.
func (c *Control) adoptClaim(t Time, fresh ConfigFreshness, delay time.Duration) {
	if fresh.AgeMS <= 0 || fresh.AgeMS > MaxConfigAgeMS {
		return
	}
	told := claim{fresh.Version, t.Now - delay - time.Duration(fresh.AgeMS)*time.Millisecond, fresh.Position, fresh.Orders}
	f := &c.fresh
	if c.hasClaimed(told) {
		f.adopt(told)
	} else if told.asOf > f.claim.asOf || f.claim.version == 0 {
		f.claim = told
	}
}

// MaxConfigAgeMS is the greatest age of a configuration in milliseconds that a message may name.
const MaxConfigAgeMS = 24 * 60 * 60 * 1000

// handleFeedRead records that a read of a feed returned all records as of a time.
func (c *Control) handleFeedRead(t Time, e FeedRead) {
	if e.Feed == MeshFeed {
		if e.Complete && !c.announcedRead {
			// The announcement may have been deleted.
			c.announced = directory.Announcement{}
		}
		c.announcedRead = false
	}
	if e.Feed != OperatorFeed {
		return
	}
	if f := &c.fresh; e.AsOf > f.asOf() {
		f.position = e.End
	}
	c.fresh.readAsOf = max(c.fresh.readAsOf, e.AsOf)
	c.finishZoneRead(t, e)
	c.publishReads(t)
}

// publishReads publishes the view if this node is to read other feeds than the last one says.
func (c *Control) publishReads(t Time) {
	if c.readsOperatorFeed(t) != c.published.ReadsOperatorFeed || c.followsMoves(t) != c.published.FollowsMoves {
		c.publishView(t)
	}
}

// hasClaimed reports whether this node has the configuration and the orders for zones that another
// node claims to be the newest ones.
func (c *Control) hasClaimed(told claim) bool {
	return told.version <= c.configVersion() && !told.orders.After(c.zones.newest())
}

// adoptPendingClaim updates what is known once a version or an order is in force.
func (c *Control) adoptPendingClaim() {
	f := &c.fresh
	if f.claim.version != 0 && c.hasClaimed(f.claim) {
		f.adopt(f.claim)
		f.claim = claim{}
	}
}

// checkFreshness logs when the proof of the configuration becomes too old and when there is one
// again, and asks a reader for one in time.
func (c *Control) checkFreshness(t Time) {
	f := &c.fresh
	limit := c.maxConfigAge()
	if c.isReader() {
		limit += c.pollWait()
	}
	age := t.Now - f.asOf()
	if stale := c.config != nil && age > limit; stale != f.stale {
		f.stale = stale
		kind := "config_confirmed"
		if stale {
			kind = "config_unconfirmed"
		}
		c.log(kind, "version", uint64(c.configVersion()), "age_ms", age.Milliseconds(), "readers", c.readers)
	}
	if !c.large() || c.isReader() || len(c.readers) == 0 {
		f.check.pending = false
		return
	}
	switch since := t.Now - f.check.sentAt; {
	case f.check.pending && since >= TickInterval:
		c.checkNextReader(t)
	case f.check.sentAt == 0, since >= checkInterval && t.Now-f.check.provedAt >= checkInterval:
		f.check.tries = 0
		c.sendCheck(t)
	}
}

func (c *Control) checkNextReader(t Time) {
	c.fresh.check.reader++
	if c.fresh.check.tries < len(c.readers) || t.Now-c.fresh.check.sentAt >= checkInterval {
		c.sendCheck(t)
	}
}

func (c *Control) sendCheck(t Time) {
	f := &c.fresh
	f.check.sentAt, f.check.pending = t.Now, true
	f.check.tries++
	id := c.readers[f.check.reader%len(c.readers)]
	if a, ok := c.dir.Get(id); ok {
		c.emit(CheckConfig{To: a})
	}
}

// provesRecent reports whether a node that responded within a time proves what a reader proves in
// normal operation.
func (c *Control) provesRecent(fresh ConfigFreshness, delay time.Duration) bool {
	age := time.Duration(fresh.AgeMS)*time.Millisecond + delay
	return fresh.AgeMS > 0 && age <= c.readerPollWait()+checkInterval
}

// handleConfigChecked processes the response of a reader. If it shows no recent contact with the
// store, or there is none, the next reader is asked at once.
func (c *Control) handleConfigChecked(t Time, e ConfigChecked) {
	f := &c.fresh
	if !e.Failed {
		if p, ok := c.peers[e.From.Node]; ok {
			p.StoreLost, p.Config = e.StoreLost, max(p.Config, e.Version)
			c.peers[e.From.Node] = p
		}
		c.adoptClaim(t, e.ConfigFreshness, e.RoundTrip)
		c.fetchMissingConfig(t, e.Version, e.From)
		c.fetchZoneOrders(t, e.Orders, e.From)
	}
	switch {
	case !e.Failed && c.provesRecent(e.ConfigFreshness, e.RoundTrip):
		f.check.pending, f.check.tries, f.check.provedAt = false, 0, t.Now
		c.publishReads(t)
	case len(c.readers) > 0 && c.readers[f.check.reader%len(c.readers)] == e.From.Node:
		c.checkNextReader(t)
	}
}
