package sidecar

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/logpos"
	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	// minWriteTimeout and maxWriteTimeout limit a write. The timeout doubles with each failure in
	// a row: a lost response must not hold up the next write for long, and a slow store must
	// be able to respond.
	minWriteTimeout = 600 * time.Millisecond
	maxWriteTimeout = 2400 * time.Millisecond
)

// writeTimeouts holds the timeout of the next write of each key that failed last.
type writeTimeouts struct {
	mu      sync.Mutex
	timeout map[string]time.Duration
}

func newWriteTimeouts() *writeTimeouts { return &writeTimeouts{timeout: map[string]time.Duration{}} }

func (w *writeTimeouts) next(key string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.timeout[key], minWriteTimeout)
}

// record updates the timeout after a write that took the last one, or succeeded.
func (w *writeTimeouts) record(key string, timedOut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !timedOut {
		delete(w.timeout, key)
		return
	}
	w.timeout[key] = min(2*max(w.timeout[key], minWriteTimeout), maxWriteTimeout)
}

func (n *Node) writeAnnouncement(a directory.Announcement) {
	if n.writeStore("announcement", func(ctx context.Context) error { return n.store.Announce(ctx, a) }) == nil {
		// If two nodes start together, the one that announces itself later finds the other
		// one by reading after its own announcement.
		n.refreshMesh.Store(true)
	}
}

// withdraw deletes this node's record from the store. Nodes that start later would
// otherwise contact a machine that is gone, and each attempt would delay a caller.
func (n *Node) withdraw() {
	_ = n.writeStore("announcement", func(ctx context.Context) error { return n.store.Withdraw(ctx, n.settings.Node) })
}

// removeStopped deletes the record of another node that has stopped, unless the node has announced
// itself since.
func (n *Node) removeStopped(node mesh.NodeID) {
	n.writeAt(control.MeshFeed, "stopped/"+string(node), func(ctx context.Context, at logpos.Position) error {
		return n.store.RemoveStopped(ctx, node, at)
	})
}

// rewriteAnnouncement writes the announcement of another node.
func (n *Node) rewriteAnnouncement(a directory.Announcement) {
	_ = n.writeStore("announcement/"+string(a.Node), func(ctx context.Context) error { return n.store.Announce(ctx, a) })
}

func (n *Node) recordMove(m canary.Move) {
	n.writeAt(control.MoveFeed, "move/"+m.Service, func(ctx context.Context, at logpos.Position) error {
		return n.store.RecordMove(ctx, m, at)
	})
}

func (n *Node) writeStatus(s control.Status) {
	n.writeAt(control.StatusFeed, "status/"+s.Service, func(ctx context.Context, at logpos.Position) error {
		return n.store.WriteStatus(ctx, s, at)
	})
}

// writeAt writes to a feed under the condition that it ends where this node has read to. If the
// write fails, others may have written, or it may have taken effect: the feed is read again without
// waiting for the long poll in progress.
func (n *Node) writeAt(f control.Feed, key string, write func(ctx context.Context, at logpos.Position) error) {
	err := n.writeStore(key, func(ctx context.Context) error {
		at, err := n.feedEnd(f)
		if err != nil {
			return err
		}
		return write(ctx, at)
	})
	if err != nil {
		n.reread(f)
	}
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
	ctx, cancel := context.WithTimeout(n.ctx, n.writeTimeouts.next(key))
	defer cancel()
	err := write(ctx)
	timedOut := err != nil && ctx.Err() != nil
	n.writeTimeouts.record(key, timedOut)
	if timedOut {
		n.store.Reconnect()
	}
	if err != nil {
		n.metrics.storeErrors.Add(1)
		n.logger.Info("store_write_failed", "key", key, "error", strings.TrimSpace(err.Error()))
	} else {
		n.logger.Info("store_written", "key", key)
	}
	n.step(control.WriteCompleted{Key: key, OK: err == nil})
	return err
}
