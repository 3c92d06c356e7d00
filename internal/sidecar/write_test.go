package sidecar

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/logpos"
)

// conflictingStore rejects conditional writes that are not at the end of the feed, and loses all
// responses to long polls.
type conflictingStore struct {
	fakeStore
	mu     sync.Mutex
	end    uint64
	writes []bool
}

func (s *conflictingStore) Snapshot(context.Context, control.Feed) ([]control.Event, logpos.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, logpos.Position{Offset: s.end}, nil
}

func (s *conflictingStore) End(context.Context, control.Feed, logpos.Position) (logpos.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return logpos.Position{Offset: s.end}, nil
}

func (s *conflictingStore) RecordMove(_ context.Context, _ canary.Move, at logpos.Position) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := at.Offset == s.end
	s.writes = append(s.writes, ok)
	if !ok {
		return errors.New("the feed does not end there")
	}
	return nil
}

func (s *conflictingStore) setEnd(end uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end = end
}

// Guards against a node that repeats a conditional write at a position that it knows to be
// outdated until its long poll ends, since the response to the poll was lost.
func TestFeedIsReadAgainAfterAConditionalWriteFailed(t *testing.T) {
	n := newTestNode(t, 0)
	s := &conflictingStore{end: 3}
	n.store = s
	n.view.Store(&control.View{FollowsMoves: true})
	go n.follow(control.MoveFeed)
	defer n.cancel()
	readTo := func(offset uint64) {
		t.Helper()
		require.Eventually(t, func() bool {
			end := n.feedEnds[control.MoveFeed].Load()
			return end != nil && end.Offset == offset
		}, moveLongPollWait/2, time.Millisecond)
	}
	readTo(3)
	// Time for the next long poll to be sent.
	time.Sleep(2*moveDebounce + minPollInterval)
	s.setEnd(4)
	n.recordMove(canary.Move{})
	readTo(4)
	n.recordMove(canary.Move{})
	require.Equal(t, []bool{false, true}, s.writes)
}

// slowStore takes a time for each write.
type slowStore struct {
	fakeStore
	delay time.Duration
}

func (s slowStore) Announce(ctx context.Context, _ directory.Announcement) error {
	select {
	case <-time.After(s.delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against a lost response that holds up the next write, and against a timeout that a slow
// store never meets.
func TestWriteTimeoutIsShortAndGrowsWhileWritesFail(t *testing.T) {
	n := newTestNode(t, 0)
	n.store = slowStore{delay: 3 * minWriteTimeout}
	write := func() (took time.Duration, err error) {
		began := time.Now()
		err = n.writeStore("announcement", func(ctx context.Context) error { return n.store.Announce(ctx, directory.Announcement{}) })
		return time.Since(began), err
	}
	took, err := write()
	require.Error(t, err)
	require.Less(t, took, minWriteTimeout+readSlack)
	_, err = write()
	require.Error(t, err)
	_, err = write()
	require.NoError(t, err)
	n.store = slowStore{delay: time.Hour}
	took, err = write()
	require.Error(t, err)
	require.Less(t, took, minWriteTimeout+readSlack)
}
