package sidecar

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/logpos"
)

// ErrPositionLost is returned by Store.Follow if records after the position are no longer
// retained or the store was restored, and by Store.Snapshot if it was restored meanwhile.
var ErrPositionLost = errors.New("the position is no longer retained")

var errNoConfig = errors.New("this node has no configuration")

const (
	// readerLongPollWait is the long-poll time of the operator feed at the readers. An
	// unresponsive connection is detected only when a poll times out, and a configuration
	// must be in force 2 s after the store has it.
	readerLongPollWait = 3 * time.Second
	// longPollWait is the long-poll time of all other reads: the operator feed at other
	// nodes, and the other feeds at all nodes. It is long because each read is paid for. If
	// no reader reports a newer configuration, it limits how long an unresponsive connection
	// delays one.
	longPollWait = 20 * time.Second
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
	// meshStartupTime is the time after its start during which a node reads the mesh feed
	// only to discover other nodes. Otherwise, each of several nodes that start together
	// would consider itself a reader and read every announcement.
	meshStartupTime = 3 * time.Second
	// followCheckInterval is the time between two checks whether a feed has to be followed.
	followCheckInterval = control.TickInterval
	// longPollTimeoutMargin is added to the long-poll time for the timeout of the request.
	longPollTimeoutMargin = 700 * time.Millisecond
	// snapshotTimeout limits one read of the newest records.
	snapshotTimeout = 1500 * time.Millisecond
	// storeRetryMin and storeRetryMax limit the backoff after a failed read.
	storeRetryMin = 50 * time.Millisecond
	storeRetryMax = 500 * time.Millisecond
	// writeTimeout limits a write. A slow store takes a quarter of a second.
	writeTimeout = 1500 * time.Millisecond
)

// follow reads a feed until the node ends.
func (n *Node) follow(f control.Feed) {
	var position logpos.Position
	synced, failing := false, false
	pause := storeRetryMin
	var failingSince time.Duration
	lastRecordsAt := n.clock.now() - burstGap
	for n.ctx.Err() == nil {
		// A node whose reads fail continues to read the operator feed until they succeed: it
		// could not become a reader otherwise.
		if !n.shouldFollow(f, synced) && !(failing && f == control.OperatorFeed) {
			synced = synced && f != control.StatusFeed
			time.Sleep(followCheckInterval)
			continue
		}
		if f == control.MeshFeed && n.refreshMesh.Swap(false) {
			synced = false
		}
		era := n.view.Load().StoreEra
		if position.Era != era {
			synced = false
		}
		began := n.clock.now()
		events, next, err := n.readFeed(f, position, synced)
		if errors.Is(err, ErrPositionLost) {
			n.logger.Info("store_position_lost", "feed", f.String(), "era", position.Era, "position", position.Offset)
			synced = false
			time.Sleep(rand.N(storeRetryMin))
			continue
		}
		if errors.Is(err, errReadRestarted) {
			continue
		}
		if err != nil {
			n.metrics.storeErrors.Add(1)
			if !failing {
				failingSince = n.clock.now()
				n.logger.Warn("store_lost", "feed", f.String(), "waited_ms", (failingSince - began).Milliseconds(), "error", err.Error())
				n.reportStoreAvailability(f, false)
			}
			failing = true
			time.Sleep(pause/2 + time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, storeRetryMax)
			continue
		}
		if failing {
			n.logger.Info("store_regained", "feed", f.String(), "lost_ms", (n.clock.now() - failingSince).Milliseconds())
			n.reportStoreAvailability(f, true)
		}
		failing, pause = false, storeRetryMin
		if !n.applyRead(f, era, events, next) {
			synced = false
			continue
		}
		if !synced {
			synced = true
			n.step(control.FeedCaughtUp{Feed: f})
		}
		position = next
		if len(events) == 0 {
			time.Sleep(minPollInterval - (n.clock.now() - began))
			continue
		}
		now := n.clock.now()
		if newPosition, err := n.debounceRecords(f, position, now-lastRecordsAt < burstGap); err == nil {
			position = newPosition
		}
		lastRecordsAt = n.clock.now()
	}
}

// applyRead applies the records of a read that began in an era of the store. It returns false if
// the store was restored since: the read may hold what is lost.
func (n *Node) applyRead(f control.Feed, era uint64, events []control.Event, next logpos.Position) bool {
	n.step(control.StoreEraSeen{Era: next.Era, Before: era})
	if next.Era != n.view.Load().StoreEra {
		return false
	}
	n.feedEnds[f].Store(&next)
	for _, e := range events {
		n.step(e)
	}
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

// debounceRecords waits after new records. In a burst of changes it reads only the newest
// record of each key until the burst has ended.
func (n *Node) debounceRecords(f control.Feed, position logpos.Position, burst bool) (logpos.Position, error) {
	if f == control.MoveFeed {
		// A conditional write needs the current end of the feed.
		time.Sleep(moveDebounce)
		return position, nil
	}
	if !burst {
		time.Sleep(debounce)
		return position, nil
	}
	for n.ctx.Err() == nil {
		time.Sleep(burstDebounce)
		era := n.view.Load().StoreEra
		events, next, err := n.readFeed(f, position, false)
		if err != nil {
			return position, err
		}
		if next == position || !n.applyRead(f, era, events, next) {
			break
		}
		position = next
	}
	return position, nil
}

func (n *Node) readFeed(f control.Feed, position logpos.Position, synced bool) ([]control.Event, logpos.Position, error) {
	if !synced {
		ctx, cancel := context.WithTimeout(n.ctx, snapshotTimeout)
		defer cancel()
		return n.store.Snapshot(ctx, f)
	}
	wait := longPollWait
	if f == control.OperatorFeed && n.view.Load().Reader {
		wait = readerLongPollWait
	}
	ctx, cancel := context.WithTimeout(n.ctx, wait+longPollTimeoutMargin)
	defer cancel()
	ctx, restart := context.WithCancelCause(ctx)
	defer restart(nil)
	n.restartReads[f].Store(&restart)
	events, next, err := n.store.Follow(ctx, f, position, wait)
	if err != nil && errors.Is(context.Cause(ctx), errReadRestarted) {
		err = errReadRestarted
	}
	return events, next, err
}

// errReadRestarted cancels a read whose result is not needed: its connection may be
// unresponsive, because another node has a newer configuration, or the store was restored.
var errReadRestarted = errors.New("the read was restarted")

// restartRead restarts the read of a feed on another connection.
func (n *Node) restartRead(f control.Feed) {
	if restart := n.restartReads[f].Load(); restart != nil {
		(*restart)(errReadRestarted)
	}
}

func (n *Node) writeAnnouncement(a directory.Announcement) {
	if n.writeStore("announcement", func(ctx context.Context) error { return n.store.Announce(ctx, a) }) == nil {
		// If two nodes start together, the one that announces itself later finds the other
		// one by reading after its own announcement.
		n.refreshMesh.Store(true)
	}
}

func (n *Node) recordMove(m canary.Move) {
	_ = n.writeStore("move/"+m.Service, func(ctx context.Context) error {
		at, err := n.feedEnd(control.MoveFeed)
		if err != nil {
			return err
		}
		return n.store.RecordMove(ctx, m, at)
	})
}

func (n *Node) writeStatus(s control.Status) {
	_ = n.writeStore("status/"+s.Service, func(ctx context.Context) error {
		at, err := n.feedEnd(control.StatusFeed)
		if err != nil {
			return err
		}
		return n.store.WriteStatus(ctx, s, at)
	})
}

// feedEnd returns the position to which a feed was read, for a conditional write.
func (n *Node) feedEnd(f control.Feed) (logpos.Position, error) {
	end := n.feedEnds[f].Load()
	if end == nil {
		return logpos.Position{}, errors.Newf("the feed of %s was not read", f)
	}
	if era := n.view.Load().StoreEra; end.Era != era {
		return *end, errors.Newf("the feed of %s was read in era %d of the store, which is %d now", f, end.Era, era)
	}
	return *end, nil
}

func (n *Node) writeStore(key string, write func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(n.ctx, writeTimeout)
	defer cancel()
	err := write(ctx)
	if err != nil {
		n.metrics.storeErrors.Add(1)
		n.logger.Info("store_write_failed", "key", key, "error", strings.TrimSpace(err.Error()))
	} else {
		n.logger.Info("store_written", "key", key)
	}
	n.step(control.WriteCompleted{Key: key, OK: err == nil})
	return err
}
