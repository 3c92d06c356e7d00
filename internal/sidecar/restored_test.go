package sidecar

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/canary"
	"heathercroft.example/heathercroft/pkg/logpos"
)

// restoredStore holds long polls open and counts the snapshots of each feed by era.
type restoredStore struct {
	fakeStore
	mu        sync.Mutex
	era       uint64
	snapshots map[control.Feed][]uint64
	// noticed is closed when the operator feed learns of the restoration, and no other one.
	noticed chan struct{}
	writes  []logpos.Position
}

func (s *restoredStore) Snapshot(_ context.Context, f control.Feed) ([]control.Event, logpos.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots[f] = append(s.snapshots[f], s.era)
	return nil, logpos.Position{Era: s.era, Offset: 3}, nil
}

func (s *restoredStore) Follow(ctx context.Context, f control.Feed, from logpos.Position, _ time.Duration) ([]control.Event, logpos.Position, error) {
	if f == control.OperatorFeed && from.Era == 1 {
		select {
		case <-s.noticed:
			return nil, from, ErrPositionLost
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	return nil, from, ctx.Err()
}

func (s *restoredStore) RecordMove(_ context.Context, _ canary.Move, at logpos.Position) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, at)
	return nil
}

func (s *restoredStore) eras(f control.Feed) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.snapshots[f])
}

// Guards against feeds whose long poll outlasts a restoration of the store: records written
// again below their position would be found only when the poll ends, or never.
func TestAllFeedsAreReadAgainOnceOneShowsARestoration(t *testing.T) {
	n := newTestNode(t, 0)
	store := &restoredStore{era: 1, snapshots: map[control.Feed][]uint64{}, noticed: make(chan struct{})}
	n.store = store
	n.Step(control.Tick{})
	for _, f := range []control.Feed{control.OperatorFeed, control.MeshFeed} {
		go n.follow(f)
	}
	defer n.cancel()
	requireEras := func(want ...uint64) {
		t.Helper()
		for _, f := range []control.Feed{control.OperatorFeed, control.MeshFeed} {
			require.Eventually(t, func() bool { return slices.Equal(want, slices.Compact(store.eras(f))) }, 5*time.Second, 5*time.Millisecond, "%s", f)
		}
	}
	requireEras(1)
	// The mesh feed is followed once the node has run for a while.
	require.Eventually(t, func() bool { return n.clock.now() > meshStartupTime+2*followCheckInterval }, 10*time.Second, 10*time.Millisecond)
	store.mu.Lock()
	store.era = 2
	store.mu.Unlock()
	close(store.noticed)
	requireEras(1, 2)
}

// Guards against a conditional write at a position that an earlier era of the store gave out.
func TestPositionOfAnEarlierEraIsNotWrittenAt(t *testing.T) {
	n := newTestNode(t, 0)
	store := &restoredStore{era: 1}
	n.store = store
	n.Step(control.StoreEraSeen{Era: 1})
	n.feedEnds[control.MoveFeed].Store(&logpos.Position{Era: 1, Offset: 3})
	n.recordMove(canary.Move{})
	require.Equal(t, []logpos.Position{{Era: 1, Offset: 3}}, store.writes)
	n.Step(control.StoreEraSeen{Era: 2, Before: 1})
	n.recordMove(canary.Move{})
	require.Len(t, store.writes, 1)
}

// Guards against a response that was sent before a restoration and arrives after it: the era
// must not go back.
func TestLateResponseOfAnEarlierEraIsDiscarded(t *testing.T) {
	n := newTestNode(t, 0)
	n.Step(control.StoreEraSeen{Era: 1})
	n.Step(control.StoreEraSeen{Era: 2, Before: 1})
	require.False(t, n.applyRead(control.OperatorFeed, 1, feedRead{next: logpos.Position{Era: 1, Offset: 9}}))
	require.EqualValues(t, 2, n.view.Load().StoreEra)
	require.Nil(t, n.feedEnds[control.OperatorFeed].Load())
}
