package sidecar

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/control"
	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/logpos"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// unresponsiveStore has a record after the position of each read and loses the responses to the
// first requests.
type unresponsiveStore struct {
	fakeStore
	// lost is the number of requests that get no response.
	lost int64
	// delay is the time until a response begins, transfer that until it ends.
	delay, transfer time.Duration

	requests, reconnects, open atomic.Int64
}

func (s *unresponsiveStore) respond(ctx context.Context) error {
	s.open.Add(1)
	defer s.open.Add(-1)
	delay := s.delay
	if s.requests.Add(1) <= s.lost {
		delay = time.Hour
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
	time.Sleep(s.transfer)
	return ctx.Err()
}

func (s *unresponsiveStore) Follow(ctx context.Context, _ control.Feed, from logpos.Position, _ time.Duration) ([]control.Event, logpos.Position, error) {
	return nil, logpos.Position{Offset: from.Offset + 1}, s.respond(ctx)
}

func (s *unresponsiveStore) End(ctx context.Context, _ control.Feed, from logpos.Position) (logpos.Position, error) {
	return logpos.Position{Offset: from.Offset + 1}, s.respond(ctx)
}

func (s *unresponsiveStore) Snapshot(context.Context, control.Feed) ([]control.Event, logpos.Position, error) {
	return nil, logpos.Position{Offset: 8}, nil
}

func (s *unresponsiveStore) Reconnect() { s.reconnects.Add(1) }

// readSlack is the time that a test allows beyond the stated one on a busy machine.
const readSlack = 300 * time.Millisecond

func (s *unresponsiveStore) read(t *testing.T, poll bool) (result feedRead, lost bool, took time.Duration) {
	n := newTestNode(t, 0)
	n.store = s
	n.view.Store(&control.View{Reader: true})
	began := time.Now()
	result, err := n.readFeed(control.OperatorFeed, logpos.Position{Offset: 7}, true, poll, func() { lost = true })
	took = time.Since(began)
	require.NoError(t, err)
	require.Equal(t, logpos.Position{Offset: 8}, result.next)
	require.Eventually(t, func() bool { return s.open.Load() == 0 }, time.Second, time.Millisecond, "requests that are not needed are cancelled")
	return result, lost, took
}

// Guards against a lost response that delays a read: another attempt is made on a new connection
// and its response is taken.
func TestReadWhoseResponseIsLostIsAttemptedAgain(t *testing.T) {
	s := &unresponsiveStore{lost: 1}
	result, lost, took := s.read(t, false)
	require.Less(t, took, attemptInterval+readSlack)
	require.True(t, result.retried)
	require.False(t, lost, "one lost response is no sign that the store is lost")
	require.Positive(t, s.reconnects.Load())
}

// Guards against a node that does not notice that the store gives no responses at all, and against
// one that stops trying.
func TestStoreThatGivesNoResponsesIsLostAndReadOnceItDoes(t *testing.T) {
	s := &unresponsiveStore{lost: maxAttempts + 2}
	_, lost, took := s.read(t, false)
	require.True(t, lost)
	require.Less(t, took, (maxAttempts+3)*maxAttemptInterval)
}

// Guards against attempts that are given up before a slow store responds.
func TestStoreThatIsSlowerThanTheIntervalOfAttemptsIsRead(t *testing.T) {
	s := &unresponsiveStore{delay: 3 * attemptInterval}
	_, _, took := s.read(t, false)
	require.Less(t, took, s.delay+readSlack)
}

// Guards against attempts that compete with a response in progress for a slow link.
func TestResponseInProgressIsNotRequestedAgain(t *testing.T) {
	s := &unresponsiveStore{transfer: 2 * attemptInterval}
	result, _, _ := s.read(t, false)
	require.False(t, result.retried)
	require.EqualValues(t, 1, s.requests.Load())
}

// Guards against a long poll whose response is lost and that is waited for although another node
// has a newer configuration.
func TestLongPollIsAttemptedAgainOnRequest(t *testing.T) {
	s := &unresponsiveStore{lost: 1}
	n := newTestNode(t, 0)
	n.store = s
	go func() {
		for s.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		n.reread(control.MeshFeed)
	}()
	began := time.Now()
	_, err := n.readFeed(control.MeshFeed, logpos.Position{Offset: 7}, true, true, func() {})
	require.NoError(t, err)
	require.Less(t, time.Since(began), attemptInterval+readSlack)
}

// pollStore counts the attempts of each feed and loses the first long poll of every feed.
type pollStore struct {
	fakeStore
	ends [control.FeedCount]atomic.Int64
}

func (s *pollStore) End(_ context.Context, f control.Feed, from logpos.Position) (logpos.Position, error) {
	s.ends[f].Add(1)
	return from, nil
}

// Guards against a lost response that is noticed for one feed only: the long polls of the others,
// which last longer, were sent into the same outage.
func TestOtherFeedsAreReadAgainOnceAResponseWasLost(t *testing.T) {
	n := newTestNode(t, 0)
	s := &pollStore{}
	n.store = s
	n.Step(control.Tick{})
	for _, f := range []control.Feed{control.OperatorFeed, control.MeshFeed} {
		go n.follow(f)
	}
	defer n.cancel()
	require.Eventually(t, func() bool { return s.ends[control.OperatorFeed].Load() > 0 }, 4*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return s.ends[control.MeshFeed].Load() > 0 }, meshStartupTime+4*time.Second, time.Millisecond)
}

// growingStore holds long polls until the feed grows.
type growingStore struct {
	fakeStore
	end atomic.Uint64
}

func (s *growingStore) Follow(ctx context.Context, _ control.Feed, from logpos.Position, wait time.Duration) ([]control.Event, logpos.Position, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) && s.end.Load() == from.Offset; time.Sleep(time.Millisecond) {
		if ctx.Err() != nil {
			return nil, from, ctx.Err()
		}
	}
	next := logpos.Position{Offset: s.end.Load()}
	if next == from {
		return nil, from, nil
	}
	return []control.Event{control.StatusRead{}}, next, nil
}

func (s *growingStore) End(context.Context, control.Feed, logpos.Position) (logpos.Position, error) {
	return logpos.Position{Offset: s.end.Load()}, nil
}

func (s *growingStore) Snapshot(context.Context, control.Feed) ([]control.Event, logpos.Position, error) {
	return []control.Event{control.StatusRead{}}, logpos.Position{Offset: s.end.Load()}, nil
}

// makeLargeMesh makes the node the only reader of a large mesh.
func (n *testNode) makeLargeMesh() {
	for i := range 30 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(100 + i)}), 1)
		n.Step(control.PeerStateReceived{State: control.PeerState{StoreLost: true, Announcement: directory.Announcement{
			Node: mesh.NodeID(fmt.Sprintf("peer-%d", i)), Zone: "a", StartUnixMS: 1, CallAddress: address, RPCAddress: address,
		}}})
	}
	n.Step(control.ConfigPublished{Config: testConfig()})
	n.Step(control.Tick{})
}

// Guards against a reader that proves nothing for two long polls: the response to the first one
// tells only of the time when it was sent, and the next one only at its end. All other nodes then
// read the whole configuration themselves.
func TestReaderProvesItsConfigurationSoonAfterNewRecords(t *testing.T) {
	n := newTestNode(t, 0)
	n.makeLargeMesh()
	s := &growingStore{}
	s.end.Store(1)
	n.store = s
	view := n.view.Load()
	require.True(t, view.VouchesForConfig)
	go n.follow(control.OperatorFeed)
	defer n.cancel()
	require.Eventually(t, func() bool { return n.configFreshness().AgeMS > 0 }, time.Second, time.Millisecond)
	limit := view.ConfigPollWait + vouchingDebounce + readSlack/2
	for i := range 4 * time.Second / (10 * time.Millisecond) {
		// No burst of changes, in which the feed is read without long polls.
		if i%200 == 150 {
			s.end.Add(1)
		}
		age := time.Duration(n.configFreshness().AgeMS) * time.Millisecond
		require.Less(t, age, limit)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against nodes that read a whole configuration, which others are about to send them as a
// small change.
func TestNodeWaitsForOthersBeforeItReadsAWholeConfiguration(t *testing.T) {
	n := newTestNode(t, 0)
	s := &growingStore{}
	s.end.Store(9)
	n.store = s
	n.Step(control.ConfigPublished{Config: testConfig()})
	n.view.Store(&control.View{Config: testConfig(), ReadsOperatorFeed: true})
	go func() {
		time.Sleep(fetchGrace / 2)
		n.Step(control.FeedRead{Feed: control.OperatorFeed, AsOf: n.clock.now(), End: logpos.Position{Offset: 9}})
	}()
	at := logpos.Position{Offset: 8}
	result, err := n.readFeed(control.OperatorFeed, at, true, false, func() {})
	require.NoError(t, err)
	require.Empty(t, result.events)
	require.Equal(t, at, result.next, "a node that becomes a reader reads on from there")
	s.end.Store(10)
	n.view.Store(&control.View{Config: testConfig(), ReadsOperatorFeed: true})
	result, err = n.readFeed(control.OperatorFeed, at, true, false, func() {})
	require.NoError(t, err)
	require.Len(t, result.events, 1)
}
