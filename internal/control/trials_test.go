package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/canary"
)

// Guards against a faulty version that stays in use because the old version fails, too, when a
// service that both call does not respond: such failures must not raise the tolerated rate.
func TestFailedCallsOfTargetsDoNotHideAFaultyVersion(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v2", "v2")
	m.order("v2", 1)
	m.run(time.Second)
	m.runWith(3*time.Second, func() {
		m.countResponses("v1", 3, false)
		m.countResponses("v2", 1, true)
		for _, n := range m.nodes {
			for range 2 {
				m.step(n, TargetResponded{Route: "r", Failed: true, CallFailed: true, Latency: 550 * time.Millisecond})
			}
		}
	})
	for _, n := range m.nodes {
		require.Zero(t, n.view.Endpoints["s"].NewShare, "%s", n.id)
	}
	require.Equal(t, StatusReverted, m.statuses["s"].State)
}

// Guards against requests that reach a faulty version from nodes that have not heard of its fault
// yet: the nodes beside its targets must refuse them.
func TestTargetsOfAStoppedVersionTakeNoRequests(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v2", "v2")
	m.order("v2", 1)
	m.runWith(time.Second, func() { m.countResponses("v1", 5, false) })
	for _, n := range m.nodes {
		require.False(t, n.view.TargetStopped, "%s", n.id)
	}
	m.runWith(3*time.Second, func() {
		m.countResponses("v1", 5, false)
		m.countResponses("v2", 1, true)
	})
	for _, n := range m.nodes {
		require.Equal(t, n.self.Target.Version == "v2", n.view.TargetStopped, "%s", n.id)
	}
}

// Guards against a node that hears from no other one, and goes on sending requests to a version that
// the others have stopped.
func TestNodeWithoutNewsSendsNothingToAVersionOnTrial(t *testing.T) {
	for _, nodes := range []int{4, 48} {
		t.Run(fmt.Sprintf("nodes=%d", nodes), func(t *testing.T) {
			m := newAlternatingMesh(t, nodes)
			m.order("v2", 1)
			m.run(2 * time.Second)
			// The one that is not among the readers, if there are any.
			alone := m.nodes[0]
			for _, n := range m.nodes {
				if n.self.Target.Version == "v1" && !slices.Contains(m.readers(), n.id) {
					alone = n
				}
			}
			require.NotZero(t, alone.view.Endpoints["s"].NewShare)
			m.partitioned[alone.id] = true
			m.run(3 * time.Second)
			require.Zero(t, alone.view.Endpoints["s"].NewShare)
			require.NotZero(t, alone.view.Endpoints["s"].Old, "the old version gets its requests")
			delete(m.partitioned, alone.id)
			m.run(2 * time.Second)
			require.NotZero(t, alone.view.Endpoints["s"].NewShare)
		})
	}
}

// Guards against limits of a version on trial that count requests from before the order, or that a
// node beside a target does not learn.
func TestTrialIsLimitedByTheRequestsSinceTheOrder(t *testing.T) {
	for _, nodes := range []int{4, 48} {
		t.Run(fmt.Sprintf("nodes=%d", nodes), func(t *testing.T) {
			versions := []string{"v2"}
			for range nodes - 1 {
				versions = append(versions, "v1")
			}
			m := newTestMesh(t, versions...)
			m.countResponses("v1", 1000, false)
			m.order("v2", 1)
			m.run(3 * time.Second)
			const slack = 50
			trial := m.nodes[0].view.Trial
			require.NotNil(t, trial)
			require.LessOrEqual(t, trial.Allowed, float64(slack))
			m.countResponses("v1", 1000, false)
			m.run(3 * time.Second)
			reached := float64(1000 * (nodes - 1))
			require.LessOrEqual(t, m.nodes[0].view.Trial.Allowed, 0.1*reached+slack)
			require.Greater(t, m.nodes[0].view.Trial.Allowed, 0.08*reached)
			require.Nil(t, m.nodes[1].view.Trial, "the old version is not on trial")
		})
	}
}

// Guards against a node that starts during a move and takes its deadline for a later one, since it reads
// the order before the recorded move: it may be the first to write the next phase.
func TestNodeThatStartsDuringAMoveKnowsItsDeadline(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v2")
	o := canary.Order{Service: "s", Version: "v2", Number: 1, Duration: 20 * time.Second}
	for _, n := range m.nodes {
		m.step(n, MoveOrdered{o})
	}
	m.run(time.Second)
	require.Contains(t, m.moves, "s")
	want := m.nodes[0].moves["s"].deadline
	m.run(3 * time.Second)
	n := m.startUnread(9)
	m.step(n, MoveOrdered{o})
	m.step(n, FeedCaughtUp{OperatorFeed})
	m.read(n)
	require.InDelta(t, want, n.moves["s"].deadline, float64(time.Second))
	// An order that is given later counts from then on.
	o.Number, o.Version, o.Position.Offset = 2, "v3", 7
	m.step(n, MoveOrdered{o})
	require.Equal(t, m.now+o.Duration, n.moves["s"].deadline)
}
