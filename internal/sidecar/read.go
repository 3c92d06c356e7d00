package sidecar

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/logpos"
)

const (
	// longPollWait is the long-poll time of the feed of announcements. It is long because each
	// read is paid for, and new nodes also make themselves known to the others.
	longPollWait = 20 * time.Second
	// moveLongPollWait is that of the feeds that are followed while a move is open. A node needs
	// their end to write.
	moveLongPollWait = 2 * time.Second
	// attemptInterval is the time without a response, after the end of a long poll, after which
	// a read is attempted again on a new connection. A slow store takes a quarter of a second.
	attemptInterval = 400 * time.Millisecond
	// maxAttemptInterval limits the interval at readers as it grows while the store does not
	// respond.
	maxAttemptInterval = time.Second
	// maxAttempts is the number of attempts at a time. The oldest one is given up for the next.
	maxAttempts = 4
	// transferTimeout is the time from the start of a response until it counts as lost. A
	// configuration of 1,800 routes takes 0.4 s on an idle link of 10 Mbit/s.
	transferTimeout = 2 * time.Second
	// fetchGrace is how long a node for which others read waits, once the feed has new records,
	// for a configuration from them: it gets only what changed.
	fetchGrace = 250 * time.Millisecond
	// lostAttempts is the number of attempts without a response after which the store counts as
	// lost.
	lostAttempts = 2
)

// feedRead is the result of a read of a feed.
type feedRead struct {
	events []control.Event
	next   logpos.Position
	// complete is set if the events are the newest record of each key.
	complete bool
	// end is the end of the feed, or the position that another node has reached if nothing was
	// written after it.
	end logpos.Position
	// asOf is a time on the node's clock after which the store has handled the read.
	asOf time.Duration
	// retried is set if the store responded to a later attempt than the first.
	retried bool
}

// errReadRestarted cancels a read whose result is not needed, since the store was restored or
// has answered reads that were sent later.
var errReadRestarted = errors.New("the read was restarted")

// restartRead cancels the read of a feed, so that it is begun again.
func (n *Node) restartRead(f control.Feed) {
	if restart := n.restartReads[f].Load(); restart != nil {
		(*restart)(errReadRestarted)
	}
}

// reread attempts the read of a feed in progress once more on a new connection.
func (n *Node) reread(f control.Feed) { signal(n.rereads[f]) }

// pollWait returns the long-poll time of a feed, 0 if it is read once at a time.
func (n *Node) pollWait(f control.Feed) time.Duration {
	switch f {
	case control.MeshFeed:
		return longPollWait
	case control.OperatorFeed:
		return n.view.Load().ConfigPollWait
	default:
		return moveLongPollWait
	}
}

// attempt is one request for a read.
type attempt struct {
	cancel context.CancelFunc
	// responding is the time on the node's clock at which the response began, or 0.
	responding atomic.Int64
}

// reading is a read of a feed in progress: a long poll, and attempts on other connections once it is
// late. The response to any of them is the result, so that the loss of one delays the result by
// attemptInterval.
type reading struct {
	node     *Node
	feed     control.Feed
	position logpos.Position
	synced   bool
	// readByOthers is set if other nodes read the feed for this one.
	readByOthers bool
	ctx          context.Context
	// attempts are those in progress that were not given up, pending is the number of all in
	// progress, and started that of all.
	attempts         []*attempt
	pending, started int
	results          chan attemptResult
}

type attemptResult struct {
	attempt *attempt
	read    feedRead
	err     error
}

// readFeed reads a feed from a position. It waits for records if poll is set. It returns when the
// store responds or rejects the read, however late that is; onLost is called when the store has not
// responded in time.
func (n *Node) readFeed(f control.Feed, position logpos.Position, synced, poll bool, onLost func()) (feedRead, error) {
	ctx, cancel := context.WithCancelCause(n.ctx)
	defer cancel(nil)
	n.restartReads[f].Store(&cancel)
	r := &reading{node: n, feed: f, position: position, synced: synced, ctx: ctx, results: make(chan attemptResult)}
	v := n.view.Load()
	if f == control.OperatorFeed && !v.Reader {
		r.readByOthers = v.Config != nil
		// A node that has not read for long may have connections that are unresponsive.
		n.store.Reconnect()
	}
	drain(n.rereads[f])
	wait := n.pollWait(f)
	if synced && poll && wait > 0 {
		r.start(func(ctx context.Context) (feedRead, error) { return r.poll(ctx, wait) })
	} else {
		wait = 0
		r.start(r.readOnce)
	}
	interval := attemptInterval
	timer := time.NewTimer(wait + interval)
	defer timer.Stop()
	for late := 1; ; {
		select {
		case result := <-r.results:
			if done, err := r.finish(result); done {
				result.read.retried = r.started > 1
				return result.read, err
			}
		case <-n.rereads[f]:
			r.retry()
		case <-timer.C:
			if late == lostAttempts {
				onLost()
			}
			if late > lostAttempts || !v.Reader {
				interval = nextInterval(interval, v.Reader)
			}
			if !r.transferring() {
				r.retry()
				late++
			}
			timer.Reset(interval)
		case <-ctx.Done():
			if errors.Is(context.Cause(ctx), errReadRestarted) {
				return feedRead{}, errReadRestarted
			}
			return feedRead{}, ctx.Err()
		}
	}
}

// nextInterval returns the interval after the next attempt while the store does not respond.
// Other nodes read for one that is no reader once it responds to them.
func nextInterval(interval time.Duration, reader bool) time.Duration {
	if reader {
		return min(interval*3/2, maxAttemptInterval)
	}
	return min(2*interval, 2*maxAttemptInterval)
}

func drain(c <-chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// start begins an attempt.
func (r *reading) start(read func(context.Context) (feedRead, error)) {
	ctx, cancel := context.WithCancel(r.ctx)
	a := &attempt{cancel: cancel}
	r.attempts = append(r.attempts, a)
	r.pending++
	r.started++
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { a.responding.Store(int64(r.node.clock.now())) },
	})
	go func() {
		defer cancel()
		read, err := read(ctx)
		select {
		case r.results <- attemptResult{a, read, err}:
		case <-r.ctx.Done():
		}
	}()
}

// retry begins an attempt on a new connection and gives up the oldest one if there are too many.
func (r *reading) retry() {
	if len(r.attempts) >= maxAttempts {
		r.attempts[0].cancel()
		r.attempts = r.attempts[1:]
	}
	r.node.store.Reconnect()
	r.start(r.readOnce)
}

// finish processes the result of an attempt. The read ends with a response, or if no attempt is
// left.
func (r *reading) finish(result attemptResult) (done bool, err error) {
	r.pending--
	for i, a := range r.attempts {
		if a == result.attempt {
			r.attempts = append(r.attempts[:i:i], r.attempts[i+1:]...)
			break
		}
	}
	if result.err == nil || errors.Is(result.err, ErrPositionLost) {
		return true, result.err
	}
	return r.pending == 0, result.err
}

// transferring reports whether a response began within transferTimeout. Another one would compete
// for the link.
func (r *reading) transferring() bool {
	now := r.node.clock.now()
	for _, a := range r.attempts {
		if at := time.Duration(a.responding.Load()); at != 0 && now-at < transferTimeout {
			return true
		}
	}
	return false
}

// poll waits for records after the position.
func (r *reading) poll(ctx context.Context, wait time.Duration) (feedRead, error) {
	sent := r.node.clock.now()
	events, next, err := r.node.store.Follow(ctx, r.feed, r.position, wait)
	read := feedRead{events: events, next: next, end: next, asOf: sent}
	if took := r.node.clock.now() - sent; len(events) == 0 && next == r.position && took >= wait {
		// The store answers without records only once the wait is over.
		read.asOf = sent + wait
	}
	return read, err
}

// readOnce reads the newest record of each key if there are records after the position, other than
// those that another node has read for this one.
func (r *reading) readOnce(ctx context.Context) (feedRead, error) {
	sent := r.node.clock.now()
	if r.synced {
		end, err := r.node.store.End(ctx, r.feed, r.position)
		if err != nil {
			return feedRead{}, err
		}
		if end == r.position || r.readByOthers && r.awaitOthers(ctx, end) {
			return feedRead{next: r.position, end: end, asOf: sent}, nil
		}
		sent = r.node.clock.now()
	}
	events, next, err := r.node.store.Snapshot(ctx, r.feed)
	return feedRead{events: events, next: next, end: next, complete: true, asOf: sent}, err
}

// awaitOthers waits up to fetchGrace until other nodes have read the feed to its end for this one,
// which has the configuration, and reports whether they have.
func (r *reading) awaitOthers(ctx context.Context, end logpos.Position) bool {
	const pause = fetchGrace / 10
	for range fetchGrace / pause {
		if told := r.node.configFreshness().Position; told == end || told.After(end) {
			return true
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return false
		}
	}
	return false
}
