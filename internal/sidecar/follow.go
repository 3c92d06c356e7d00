package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/logpos"
)

// ErrPositionLost is returned by Store.Follow if records after the position are no longer
// retained or the store was restored, and by Store.Snapshot if it was restored meanwhile.
var ErrPositionLost = errors.New("the position is no longer retained")

var (
	errNoConfig   = errors.New("this node has no configuration")
	errNoResponse = errors.New("the store has not responded")
)

const (
	// minPollInterval is the least time between two reads without records. It prevents a
	// busy loop if the store responds to long polls at once.
	minPollInterval = 250 * time.Millisecond
	// debounce is the pause after new records, so that a burst of changes is read at once.
	// A configuration must be in force within 2 s.
	debounce = 300 * time.Millisecond
	// moveDebounce is the pause for the records of moves, which have short deadlines.
	moveDebounce = 50 * time.Millisecond
	// burstGap is the time within which two reads with records form a burst. Until the burst
	// ends, only the newest record of each key is read, every burstDebounce, because each
	// record may be a whole configuration.
	burstGap      = time.Second
	burstDebounce = 800 * time.Millisecond
	// vouchingDebounce and vouchingBurstDebounce replace debounce and burstDebounce at the readers
	// of a large mesh, whose proofs would become too old meanwhile.
	vouchingDebounce      = 100 * time.Millisecond
	vouchingBurstDebounce = 500 * time.Millisecond
	// meshStartupTime is the time after its start during which a node reads the mesh feed
	// only to discover other nodes. Otherwise, each of several nodes that start together
	// would consider itself a reader and read every announcement.
	meshStartupTime = 3 * time.Second
	// followCheckInterval is the time between two checks whether a feed has to be followed.
	followCheckInterval = control.TickInterval
	// storeRetryMin and storeRetryMax limit the backoff after a failed read.
	storeRetryMin = 50 * time.Millisecond
	storeRetryMax = 500 * time.Millisecond
)

// follower is the state of the reads of a feed.
type follower struct {
	node     *Node
	feed     control.Feed
	position logpos.Position
	// synced is set once the feed was read to its end.
	synced bool
	// burst is set while records follow each other so fast that only the newest record of each
	// key is read.
	burst         bool
	lastRecordsAt time.Duration
	// vouching is set while other nodes rely on this one, and confirm if the next read must not
	// be a long poll, which proves nothing until it ends.
	vouching, confirm bool
	// failing is set since failingSince while reads fail.
	failing      bool
	failingSince time.Duration
	retryDelay   time.Duration
}

// follow reads a feed until the node ends.
func (n *Node) follow(feed control.Feed) {
	f := &follower{node: n, feed: feed, retryDelay: storeRetryMin, lastRecordsAt: -burstGap}
	for n.ctx.Err() == nil {
		if f.due() {
			f.read()
		} else {
			n.awaitView(feed)
		}
	}
}

// due reports whether the feed is to be read now. A node whose reads fail continues to read the
// operator feed until they succeed: it could not become a reader otherwise.
func (f *follower) due() bool {
	if f.node.shouldFollow(f.feed, f.synced) || f.failing && f.feed == control.OperatorFeed {
		return true
	}
	f.synced = f.synced && f.feed != control.StatusFeed
	return false
}

// awaitView waits until the reducer may have decided to read a feed.
func (n *Node) awaitView(f control.Feed) {
	select {
	case <-n.viewChanged[f]:
	case <-time.After(followCheckInterval):
	case <-n.ctx.Done():
	}
}

// read reads the feed once and applies the result.
func (f *follower) read() {
	n := f.node
	if f.feed == control.MeshFeed && n.refreshMesh.Swap(false) {
		f.synced = false
	}
	era := n.view.Load().StoreEra
	if f.position.Era != era {
		f.synced = false
	}
	if vouching := f.feed == control.OperatorFeed && n.view.Load().VouchesForConfig; vouching != f.vouching {
		f.vouching, f.confirm = vouching, vouching
	}
	began := n.clock.now()
	// After a failure, a long poll would delay the result if its response is lost as well.
	result, err := n.readFeed(f.feed, f.position, f.synced, !f.failing && !f.burst && !f.confirm, func() {
		f.lost(began, errNoResponse)
	})
	switch {
	case errors.Is(err, ErrPositionLost):
		n.logger.Info("store_position_lost", "feed", f.feed.String(), "era", f.position.Era, "position", f.position.Offset)
		f.synced = false
		time.Sleep(rand.N(storeRetryMin))
	case errors.Is(err, errReadRestarted) || n.ctx.Err() != nil:
	case err != nil:
		f.lost(began, err)
		time.Sleep(f.retryDelay/2 + rand.N(f.retryDelay))
		f.retryDelay = min(2*f.retryDelay, storeRetryMax)
	default:
		f.regained()
		if result.retried {
			// The reads of other feeds that were sent before may have lost their responses too.
			f.rereadOthers()
		}
		f.apply(era, result, began)
	}
}

// lost records that a read failed, or is late.
func (f *follower) lost(began time.Duration, err error) {
	n := f.node
	n.metrics.storeErrors.Add(1)
	if f.failing {
		return
	}
	f.failing, f.failingSince = true, n.clock.now()
	n.logger.Warn("store_lost", "feed", f.feed.String(), "waited_ms", (f.failingSince - began).Milliseconds(), "error", err.Error())
	n.reportStoreAvailability(f.feed, false)
}

// regained records that a read succeeded.
func (f *follower) regained() {
	f.retryDelay = storeRetryMin
	if !f.failing {
		return
	}
	f.failing = false
	n := f.node
	n.logger.Info("store_regained", "feed", f.feed.String(), "lost_ms", (n.clock.now() - f.failingSince).Milliseconds())
	n.reportStoreAvailability(f.feed, true)
}

func (f *follower) rereadOthers() {
	for other := range control.FeedCount {
		if other != f.feed {
			f.node.reread(other)
		}
	}
}

// apply applies the result of a read and pauses if there may be more records soon.
func (f *follower) apply(era uint64, result feedRead, began time.Duration) {
	n := f.node
	changed := !f.synced || result.next != f.position
	if !n.applyRead(f.feed, era, result) {
		f.synced = false
		return
	}
	if !f.synced {
		f.synced = true
		n.step(control.FeedCaughtUp{Feed: f.feed})
	}
	f.position = result.next
	now := n.clock.now()
	switch {
	case (f.burst || f.confirm) && !changed:
		f.burst, f.confirm = false, false
		return
	case !changed || len(result.events) == 0:
		f.burst = false
		time.Sleep(minPollInterval - (now - began))
		return
	case f.feed == control.MoveFeed:
		// A conditional write needs the current end of the feed.
		time.Sleep(moveDebounce)
	case f.burst || now-f.lastRecordsAt < burstGap:
		f.burst = true
		f.sleep(burstDebounce, vouchingBurstDebounce)
	default:
		f.sleep(debounce, vouchingDebounce)
	}
	f.lastRecordsAt, f.confirm = n.clock.now(), f.vouching
}

// sleep waits for a time, or another one if other nodes rely on this one.
func (f *follower) sleep(d, vouching time.Duration) {
	if f.vouching {
		d = vouching
	}
	time.Sleep(d)
}

// applyRead applies the records of a read that began in an era of the store. It returns false if
// the store was restored since: the read may hold what is lost.
func (n *Node) applyRead(f control.Feed, era uint64, r feedRead) bool {
	n.step(control.StoreEraSeen{Era: r.next.Era, Before: era})
	if r.next.Era != n.view.Load().StoreEra {
		return false
	}
	n.feedEnds[f].Store(&r.next)
	for _, e := range r.events {
		n.step(e)
	}
	n.step(control.FeedRead{Feed: f, AsOf: r.asOf, End: r.end, ReadTo: r.next, Complete: r.complete})
	return true
}

// shouldFollow reports whether this node reads the feed now. Each node reads the operator
// and mesh feeds once, and then only the readers continue. While a move is open, the readers
// read the move feed, and other nodes that hear of no reader; while a status is due, readers
// read the status feed.
func (n *Node) shouldFollow(f control.Feed, synced bool) bool {
	v := n.view.Load()
	switch f {
	case control.MeshFeed:
		return !synced || v.Reader && n.clock.now() > meshStartupTime || n.refreshMesh.Load()
	case control.MoveFeed:
		return v.FollowsMoves
	case control.StatusFeed:
		return v.StatusDue && v.Reader
	default:
		return !synced || v.ReadsOperatorFeed
	}
}

// reportStoreAvailability reports whether the store responds, judged by the operator feed.
func (n *Node) reportStoreAvailability(f control.Feed, available bool) {
	if f == control.OperatorFeed {
		n.step(control.StoreAvailability{Available: available})
	}
}
