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
)

// ErrPositionLost is returned by Store.Follow if the records after the position
// were dropped.
var ErrPositionLost = errors.New("the position is no longer retained")

var errNoConfig = errors.New("this node has no configuration")

const (
	// readerWait is how long the reads of the operator's records by the readers wait.
	// A connection that went silent is found when a read is over, and a configuration
	// must be in force 2 s after the store has it.
	readerWait = 3 * time.Second
	// ownWait is how long those of other nodes wait, and all reads of what nodes write.
	// Each read is paid for. Without a reader's word, this bounds how long a silent
	// connection holds a configuration back.
	ownWait = 20 * time.Second
	// minReadTime is the least time from one read without news to the next. A store that
	// answers a waiting read at once would otherwise be read in a loop.
	minReadTime = 250 * time.Millisecond
	// debounce is the pause after news, so that a series of changes is read at
	// once. A configuration must be in force within 2 s.
	debounce = 300 * time.Millisecond
	// moveDebounce is the pause for the records of moves, whose deadlines are near.
	moveDebounce = 50 * time.Millisecond
	// seriesGap is the time between two reads with news that makes a series: what
	// came since is then read as the newest record of each key, after
	// seriesDebounce, since each record may be a whole configuration.
	seriesGap      = time.Second
	seriesDebounce = 800 * time.Millisecond
	// meshSettled is the time after its start in which a node reads what nodes write only
	// to find others. Of nodes that start together, each would take itself for a reader
	// and read each announcement.
	meshSettled = 3 * time.Second
	// idlePoll is the time between two looks whether a feed has to be followed.
	idlePoll = control.TickInterval
	// pollMargin is how much longer than the wait an answer may take.
	pollMargin = 700 * time.Millisecond
	// snapshotTimeout bounds one read of the newest records.
	snapshotTimeout = 1500 * time.Millisecond
	// storeRetryMin and storeRetryMax bound the pause after a failed read.
	storeRetryMin = 50 * time.Millisecond
	storeRetryMax = 500 * time.Millisecond
	// writeTimeout bounds a write. A slow store takes a quarter of a second.
	writeTimeout = 1500 * time.Millisecond
)

// follow reads a feed until the node ends.
func (n *Node) follow(f control.Feed) {
	var position uint64
	known, failing := false, false
	pause := storeRetryMin
	newsAt := n.clock.now() - seriesGap
	for n.ctx.Err() == nil {
		// A node that the store turned away goes on until it is served again: it could not
		// be a reader otherwise.
		if !n.follows(f, known) && !(failing && f == control.OperatorFeed) {
			known = known && f != control.StatusFeed
			time.Sleep(idlePoll)
			continue
		}
		if f == control.MeshFeed && n.meshStale.Swap(false) {
			known = false
		}
		began := n.clock.now()
		events, next, err := n.read(f, position, known)
		if errors.Is(err, ErrPositionLost) {
			n.logger.Info("store_position_lost", "feed", f.String(), "position", position)
			known = false
			continue
		}
		if errors.Is(err, errReadRestarted) {
			continue
		}
		if err != nil {
			n.metrics.storeErrors.Add(1)
			if !failing {
				n.logger.Warn("store_lost", "feed", f.String(), "error", err.Error())
				n.storeReached(f, false)
			}
			failing = true
			time.Sleep(pause/2 + time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, storeRetryMax)
			continue
		}
		if failing {
			n.logger.Info("store_regained", "feed", f.String())
			n.storeReached(f, true)
		}
		failing, pause = false, storeRetryMin
		n.ends[f].Store(next)
		for _, e := range events {
			n.step(e)
		}
		if !known {
			known = true
			n.step(control.FeedCaughtUp{Feed: f})
		}
		position = next
		if len(events) == 0 {
			time.Sleep(minReadTime - (n.clock.now() - began))
			continue
		}
		now := n.clock.now()
		if fresh, err := n.newest(f, position, now-newsAt < seriesGap); err == nil {
			position = fresh
		}
		newsAt = n.clock.now()
	}
}

// follows reports whether this node reads the feed now. What operators and nodes write
// is read once, and then by those that read for all; the states of moves by all while
// one is open.
func (n *Node) follows(f control.Feed, known bool) bool {
	v := n.view.Load()
	switch f {
	case control.MeshFeed:
		return !known || v.Reader && n.clock.now() > meshSettled || n.meshStale.Load()
	case control.MoveFeed:
		return v.MoveOpen
	case control.StatusFeed:
		return v.StatusDue && v.Reader
	default:
		return !known || v.ReadsOperatorFeed
	}
}

// storeReached tells whether the store answers, by the feed that all follow.
func (n *Node) storeReached(f control.Feed, ok bool) {
	if f == control.OperatorFeed {
		n.step(control.StoreAvailability{Available: ok})
	}
}

// newest reads only the newest record of each key until a series of changes has
// ended. For a single change it only waits.
func (n *Node) newest(f control.Feed, position uint64, series bool) (uint64, error) {
	if f == control.MoveFeed {
		// A conditional write needs the present end of the feed.
		time.Sleep(moveDebounce)
		return position, nil
	}
	if !series {
		time.Sleep(debounce)
		return position, nil
	}
	for n.ctx.Err() == nil {
		time.Sleep(seriesDebounce)
		events, next, err := n.read(f, 0, false)
		if err != nil {
			return position, err
		}
		n.ends[f].Store(next)
		if next == position {
			break
		}
		position = next
		for _, e := range events {
			n.step(e)
		}
	}
	return position, nil
}

func (n *Node) read(f control.Feed, position uint64, known bool) ([]control.Event, uint64, error) {
	if !known {
		ctx, cancel := context.WithTimeout(n.ctx, snapshotTimeout)
		defer cancel()
		return n.store.Snapshot(ctx, f)
	}
	wait := ownWait
	if f == control.OperatorFeed && n.view.Load().Reader {
		wait = readerWait
	}
	ctx, cancel := context.WithTimeout(n.ctx, wait+pollMargin)
	defer cancel()
	if f != control.OperatorFeed {
		return n.store.Follow(ctx, f, position, wait)
	}
	ctx, restart := context.WithCancelCause(ctx)
	defer restart(nil)
	n.restartRead.Store(&restart)
	events, next, err := n.store.Follow(ctx, f, position, wait)
	if err != nil && errors.Is(context.Cause(ctx), errReadRestarted) {
		err = errReadRestarted
	}
	return events, next, err
}

// errReadRestarted ends a read whose connection may have gone silent: another node
// has a newer configuration.
var errReadRestarted = errors.New("the read was restarted")

// restartOperatorRead reads the operator's records anew on another connection.
func (n *Node) restartOperatorRead() {
	if restart := n.restartRead.Load(); restart != nil {
		(*restart)(errReadRestarted)
	}
}

func (n *Node) announce(a directory.Announcement) {
	if n.writeStore("announcement", func(ctx context.Context) error { return n.store.Announce(ctx, a) }) == nil {
		// Of two nodes that start together, the one that announces itself later finds
		// the other one when it reads after that.
		n.meshStale.Store(true)
	}
}

func (n *Node) recordMove(m canary.Move) {
	at := n.ends[control.MoveFeed].Load()
	_ = n.writeStore("move/"+m.Service, func(ctx context.Context) error { return n.store.RecordMove(ctx, m, at) })
}

func (n *Node) writeStatus(s control.Status) {
	at := n.ends[control.StatusFeed].Load()
	_ = n.writeStore("status/"+s.Service, func(ctx context.Context) error { return n.store.WriteStatus(ctx, s, at) })
}

func (n *Node) writeStore(key string, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(n.ctx, writeTimeout)
	defer cancel()
	err := f(ctx)
	if err != nil {
		n.metrics.storeErrors.Add(1)
		n.logger.Info("store_write_failed", "key", key, "error", strings.TrimSpace(err.Error()))
	}
	n.step(control.WriteCompleted{Key: key, OK: err == nil})
	return err
}
