package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/directory"
)

// blockedStore completes writes of announcements once released is closed.
type blockedStore struct {
	fakeStore
	released chan struct{}
}

func (s *blockedStore) Announce(ctx context.Context, _ directory.Announcement) error {
	select {
	case <-s.released:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against a departure that is confirmed before it is kept, and against heartbeats that wait
// for the confirmation of a departure.
func TestDepartureIsConfirmedOnceItIsKept(t *testing.T) {
	n := newTestNode(t, 0)
	store := &blockedStore{released: make(chan struct{})}
	n.store = store
	n.Step(control.FeedCaughtUp{Feed: control.MeshFeed})
	n.heartbeat(1, 1)
	leaving := control.TargetLeaving{ID: n.target.id}
	began := time.Now()
	require.ErrorIs(t, n.Report(t.Context(), leaving), ErrDepartureNotKept)
	require.GreaterOrEqual(t, time.Since(began), departureTimeout)
	require.Less(t, time.Since(began), time.Second, "targets wait no longer")
	require.False(t, n.view.Load().Target.Serving)

	confirmed := make(chan error, 1)
	go func() { confirmed <- n.Report(t.Context(), leaving) }()
	time.Sleep(50 * time.Millisecond)
	began = time.Now()
	require.NoError(t, n.Report(t.Context(), control.HeartbeatReceived{Heartbeat: directory.Heartbeat{
		ID: n.target.id, Address: n.settings.Target.String(), Service: "shop", Version: "v1", Slots: 4, Sequence: 2, StartUnixMS: 1,
	}}))
	require.Less(t, time.Since(began), departureTimeout)
	require.Empty(t, confirmed)
	close(store.released)
	n.Step(control.Tick{})
	require.NoError(t, <-confirmed)
	require.NoError(t, n.Report(t.Context(), leaving))
}
