package query

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

func run(t *testing.T, n *fakeNode, id, text string) Reply {
	t.Helper()
	command, err := Parse(text)
	require.NoError(t, err)
	return Execute(t.Context(), n, Request{ID: id, Text: text, Command: command})
}

// Guards against a change that is reported as done before it is in force
// everywhere, and against a retried command that takes effect twice.
func TestChangeIsDoneOnceInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := seeded()
		n.lagging["rabat-a"] = true
		go func() {
			<-time.After(3 * time.Second) // virtual time
			n.update(func() { n.inForce.Zones[2].Applied = []RevisionCount{{Revision: 4, Nodes: 2}} })
		}()
		start := time.Now()
		reply := run(t, n, "op-1", "put service finder version v1")
		require.Equal(t, StatusDone, reply.Status)
		require.Equal(t, record.Revision(4), reply.Revision)
		require.Equal(t, 3*time.Second, time.Since(start))

		require.Equal(t, StatusDone, run(t, n, "op-1", "put service finder version v1").Status)
		require.Equal(t, 1, n.submits)
	})
}

// Guards against a reply that states more or less than the node knows when the time
// limit is reached.
func TestReplyAtTimeoutStatesWhatTheNodeKnows(t *testing.T) {
	due := testNow.Add(time.Minute)
	cases := []struct {
		name  string
		fault func(*fakeNode)
		text  string
		want  Reply
		after time.Duration
	}{
		{
			name:  "a zone is behind",
			fault: func(n *fakeNode) { n.lagging["casa-b"] = true },
			want:  Reply{Status: StatusInProgress, Decided: true, Revision: 4, PendingZones: []string{"casa-b"}, Reason: "not in force yet in casa-b"},
			after: DefaultWithin,
		},
		{
			name:  "a zone can't be seen, although its last report was new enough",
			fault: func(n *fakeNode) { n.inForce.Zones[0].Visible = false },
			want:  Reply{Status: StatusUnknown, Decided: true, Revision: 4, UnseenZones: []string{"casa-a"}, Reason: "can't see casa-a"},
			after: DefaultWithin,
		},
		{
			name:  "no zone is known",
			fault: func(n *fakeNode) { n.inForce.Zones = nil },
			want:  Reply{Status: StatusUnknown, Decided: true, Revision: 4, Reason: "no zone is known"},
			after: DefaultWithin,
		},
		{
			name: "the outcome is not known",
			fault: func(n *fakeNode) {
				n.onSubmit = func(Submission) ChangeStatus {
					return ChangeStatus{Stage: StageUnknown, Reason: "the platform sent no response"}
				}
			},
			text:  "put service x version v wait 5s",
			want:  Reply{Status: StatusUnknown, Outcome: MayHaveRun, Revision: 3, Reason: "the platform sent no response"},
			after: 5*time.Second + DefaultWithin,
		},
		{
			name: "the change still waits",
			fault: func(n *fakeNode) {
				n.onSubmit = func(Submission) ChangeStatus { return ChangeStatus{Stage: StageWaiting, Due: due} }
			},
			text:  "put service x version v wait 1m within 0s",
			want:  Reply{Status: StatusWaiting, Revision: 3, Due: &due},
			after: 0,
		},
		{
			name: "the node did not accept it",
			fault: func(n *fakeNode) {
				n.onSubmit = func(Submission) ChangeStatus {
					return ChangeStatus{Stage: StageNotRun, Reason: "the platform can't be reached", Elsewhere: true}
				}
			},
			want:  Reply{Status: StatusRefused, Outcome: NotRun, Revision: 3, Reason: "the platform can't be reached", Elsewhere: true},
			after: 0,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := seeded()
				c.fault(n)
				if c.text == "" {
					c.text = "put service finder version v1"
				}
				start := time.Now()
				reply := run(t, n, "op-1", c.text)
				require.Equal(t, c.after, time.Since(start))
				require.Equal(t, "op-1", reply.ID)
				require.NotNil(t, reply.PriceBefore)
				reply.ID, reply.PriceBefore, reply.PriceAfter = "", nil, nil
				require.Equal(t, c.want, reply)
			})
		})
	}
}

// Guards against a conflict whose reply doesn't name the winning change.
func TestConflictNamesTheWinningChange(t *testing.T) {
	reply := run(t, seeded(), "op-1", "put version v3 of courier at revision 1")
	require.Equal(t, StatusRefused, reply.Status)
	require.Equal(t, NotRun, reply.Outcome)
	require.Equal(t, `conflict: service "courier" is at revision 2, not 1`, reply.Reason)
	require.Equal(t, &Winner{Revision: 2, ID: "seed-2", Author: "casa-a-1"}, reply.Winner)
}

// Guards against submitting a batch that can never be accepted.
func TestBatchChangesAnObjectOnce(t *testing.T) {
	n := seeded()
	for text, reason := range map[string]string{
		"batch { put version v3 of courier; put version v4 of courier }":                        `statements 1 and 2 both change the service "courier"; use two commands`,
		"batch { start move a from v1 to v2 by 1m; start move b from v1 to v2 by 1m }":          `statements 1 and 2 both start a move; use two commands`,
		"batch { put service a version v; start move x from v1 to v2 by 2020-01-02T15:04:05Z }": `statement 2: the deadline 2020-01-02T15:04:05Z is not after the node's time 2026-01-02T15:00:00Z`,
	} {
		reply := run(t, n, "op-1", text)
		require.Equal(t, Reply{ID: "op-1", Status: StatusRefused, Outcome: NotRun, Reason: reason, Revision: 3}, reply)
	}
	require.Zero(t, n.submits)
	require.Equal(t, StatusDone, run(t, n, "op-2", `batch { put service a version v1; put route r prefix "/a" to a; put version v3 of courier }`).Status)
}

// Guards against a move that is reported as done or reversed before that is in
// force in all zones, or as in progress while the node can't know.
func TestMoveStatusStatesWhatTheNodeKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := seeded()
		reply := run(t, n, "op-1", "start move courier from v1 to v2 by 30m")
		require.Equal(t, StatusInProgress, reply.Status)
		require.Equal(t, testNow.Add(30*time.Minute), reply.Moves[0].Deadline)

		n.inForce.PlatformReachable = false
		require.Equal(t, StatusUnknown, run(t, n, "", "show move 4").Status)
		n.inForce.PlatformReachable = true

		n.lagging["casa-a"] = true
		go func() {
			<-time.After(time.Minute) // virtual time
			n.update(func() {
				n.write("cut", "casa-b-1", 0, record.RollBackRollout{Rollout: 4, Cause: record.CauseLocalCut, Reason: "p99 doubled"})
			})
			<-time.After(time.Second)
			n.update(func() { n.inForce.Zones[0].Applied = []RevisionCount{{Revision: 5, Nodes: 2}} })
		}()
		start := time.Now()
		reply = run(t, n, "op-1", "start move courier from v1 to v2 by 30m within 10m")
		require.Equal(t, 61*time.Second, time.Since(start))
		require.Equal(t, StatusReversed, reply.Status)
		require.Equal(t, "p99 doubled", reply.Reason)

		n.inForce.Zones[1].Visible = false
		reply = run(t, n, "", "show move 4")
		require.Equal(t, StatusUnknown, reply.Status)
		require.Equal(t, []string{"casa-b"}, reply.UnseenZones)
	})
}

// Guards against a change whose outcome becomes known later but is still reported as
// unknown.
func TestShowChangeReportsLaterOutcome(t *testing.T) {
	n := seeded()
	require.Equal(t, StatusUnknown, run(t, n, "", "show change op-1").Status)
	n.statuses["op-1"] = ChangeStatus{Stage: StageDecided, Outcome: state.Outcome{Offset: 3, Code: state.Accepted}}
	require.Equal(t, StatusDone, run(t, n, "", "show change op-1").Status)
}
