package pricing_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/pricing"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

func put(id, name string, wait time.Duration) pricing.Change {
	return pricing.Change{ID: id, Wait: wait, Body: record.PutRoute{Name: name, Prefix: "/" + id, Service: "courier"}}
}

func appendsOf(effects []pricing.Effect) []pricing.AppendRecord {
	var list []pricing.AppendRecord
	for _, e := range effects {
		if a, ok := e.(pricing.AppendRecord); ok {
			list = append(list, a)
		}
	}
	return list
}

func newQueue(nodes int) *pricing.Queue {
	return pricing.NewQueue(pricing.Config{Author: "n/s", Mesh: pricing.MeshStats{Nodes: nodes, Zones: 4, FanOut: 4}})
}

// Guards against more than 100 appends per second of the whole system, and against
// urgent changes that starve non-urgent ones or the system's own records. Two urgent
// changes fill a batch, and they arrive faster than such batches can be appended.
func TestAppendsStayUnderTheLimit(t *testing.T) {
	q := newQueue(1)
	count, system := 0, 0
	appendedAt := time.Duration(0)
	const seconds = 5
	for i := range seconds * 200 {
		now := time.Duration(i) * 5 * time.Millisecond
		urgent := pricing.Change{ID: fmt.Sprintf("u%d", i), Body: record.PutRoute{
			Name: fmt.Sprint(i), Prefix: strings.Repeat("x", 32_640), Service: "courier",
		}}
		effects := q.Step(pricing.ChangeSubmitted{Now: now, Change: urgent})
		if i == 100 {
			effects = append(effects, q.Step(pricing.ChangeSubmitted{Now: now, Change: put("patient", "p", time.Second)})...)
		}
		if i%10 == 0 {
			rec := record.Record{ID: fmt.Sprintf("s%d", i), Body: record.RenewKeySlots{Node: "n"}}
			effects = append(effects, q.Step(pricing.SystemRecordSubmitted{Now: now, Record: rec})...)
		}
		for _, a := range appendsOf(effects) {
			count++
			if len(a.Changes) == 0 {
				system++
			}
			if slices.Contains(a.Changes, "patient") {
				appendedAt = now
			}
			q.Step(pricing.AppendResult{Now: now, RecordID: a.Record.ID, Outcome: state.Outcome{Code: state.Accepted}})
		}
	}
	require.Greater(t, q.PendingCount(), 100)
	require.LessOrEqual(t, count, 100*(seconds+1))
	// Submitted at 0.5 s with a wait of 1 s.
	require.GreaterOrEqual(t, appendedAt, 1500*time.Millisecond)
	require.LessOrEqual(t, appendedAt, 1600*time.Millisecond)
	require.Equal(t, seconds*20, system)
}

// Guards against non-urgent changes that do not join the batch of an urgent one, or
// that are appended before the end of their wait without one.
func TestNonUrgentChangesJoinAnUrgentBatch(t *testing.T) {
	q := newQueue(4)
	for i := range 5 {
		require.Empty(t, appendsOf(q.Step(pricing.ChangeSubmitted{Change: put(fmt.Sprintf("p%d", i), fmt.Sprint(i), time.Minute)})))
	}
	list := appendsOf(q.Step(pricing.ChangeSubmitted{Now: time.Second, Change: put("u", "u", 0)}))
	require.Len(t, list, 1)
	require.Equal(t, []string{"p0", "p1", "p2", "p3", "p4", "u"}, list[0].Changes)
}

// Guards against an urgent change that overtakes an earlier change of its object.
func TestEarlierChangeOfTheObjectGoesFirst(t *testing.T) {
	q := newQueue(4)
	q.Step(pricing.ChangeSubmitted{Change: put("first", "a", time.Hour)})
	list := appendsOf(q.Step(pricing.ChangeSubmitted{Now: time.Second, Change: put("second", "a", 0)}))
	require.Len(t, list, 1)
	require.Equal(t, []string{"first"}, list[0].Changes)
	settled := pricing.AppendResult{Now: 10 * time.Second, RecordID: list[0].Record.ID, Outcome: state.Outcome{Code: state.Accepted}}
	list = appendsOf(q.Step(settled))
	require.Equal(t, []string{"second"}, list[0].Changes)
}

// Guards against two rollouts in one record, which would have the same id.
func TestOneRecordStartsOneRollout(t *testing.T) {
	q := newQueue(4)
	for _, s := range []string{"finder", "courier"} {
		c := pricing.Change{ID: s, Wait: time.Second, Body: record.StartRollout{Service: s, From: "v1", To: "v2"}}
		q.Step(pricing.ChangeSubmitted{Change: c})
	}
	list := appendsOf(q.Step(pricing.Tick{Now: 2 * time.Second}))
	require.Equal(t, []string{"finder"}, list[0].Changes)
}

// Guards against a price that does not fall with the wait, or an unknown outcome that
// is reported as known.
func TestPriceFallsWithTheWait(t *testing.T) {
	m := pricing.MeshStats{Nodes: 2500, Zones: 15, FanOut: 4}
	urgent := m.Estimate(200, 0, 0.1, 200)
	patient := m.Estimate(200, time.Minute, 0.1, 200)
	require.InDelta(t, 1, urgent.Appends, 1e-9)
	require.Less(t, patient.Appends, urgent.Appends/5)
	require.Less(t, patient.Bytes, urgent.Bytes)
	q := newQueue(1)
	list := appendsOf(q.Step(pricing.ChangeSubmitted{Change: put("a", "a", 0)}))
	for _, e := range q.Step(pricing.AppendAbandoned{Now: time.Second, RecordID: list[0].Record.ID, Reason: "platform out"}) {
		if a, ok := e.(pricing.ChangeResult); ok {
			require.True(t, a.Unknown)
			return
		}
	}
	t.Fatal("no answer after the adapter gave up")
}

// Guards against nodes that together exceed the limit on appends while each uses the
// share borrowed from idle nodes.
func TestBorrowedShareIsBounded(t *testing.T) {
	for _, active := range []int{0, 1, 20, 100} {
		q := pricing.NewQueue(pricing.Config{Author: "n/s", Mesh: pricing.MeshStats{Nodes: 2500, Zones: 15, FanOut: 4, ActiveAuthors: active}})
		count := 0
		for i := range 600 {
			now := time.Duration(i) * 100 * time.Millisecond
			for _, a := range appendsOf(q.Step(pricing.ChangeSubmitted{Now: now, Change: put(fmt.Sprint(i), fmt.Sprint(i), 0)})) {
				count++
				q.Step(pricing.AppendResult{Now: now, RecordID: a.Record.ID, Outcome: state.Outcome{Code: state.Accepted}})
			}
		}
		perSecond := float64(count-1) / 60
		require.LessOrEqual(t, perSecond, 2.0)
		require.LessOrEqual(t, perSecond*float64(max(active, 1)), 35.0+70.0/2500*float64(active))
		require.Equal(t, active > 0, count > 10)
	}
}

// Guards against a rollback or a renewal that waits for tokens in a large mesh: with
// equal shares of the reserved appends, a node of 2,500 gets one in 83 s.
func TestSystemRecordsOfALargeMeshDoNotWait(t *testing.T) {
	mesh := pricing.MeshStats{Nodes: 2500, Zones: 15, FanOut: 4, ActiveAuthors: 2, ActiveSystemAuthors: 65}
	q := pricing.NewQueue(pricing.Config{Author: "n/s", Mesh: mesh})
	submit := func(now time.Duration, id string) int {
		return len(appendsOf(q.Step(pricing.SystemRecordSubmitted{Now: now, Record: record.Record{ID: id, Body: record.RollBackRollout{Rollout: 1}}})))
	}
	for i, id := range []string{"claim", "step", "verdict", "rollback"} {
		require.Equal(t, 1, submit(time.Duration(i)*time.Millisecond, id), id)
	}
	for i := range 10 {
		now := time.Minute + time.Duration(i)*20*time.Second
		require.Equal(t, 1, submit(now, fmt.Sprintf("renewal-%d", i)))
	}
}
