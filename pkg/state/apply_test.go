package state_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// log applies records to a state and assigns their IDs.
type log struct {
	t     require.TestingT
	state *state.State
	next  int
}

func newLog(t require.TestingT) *log { return &log{t: t, state: state.New()} }

func (l *log) append(rec record.Record) state.Result {
	if rec.ID == "" {
		l.next++
		rec.ID = fmt.Sprintf("id-%d", l.next)
		rec.Base = l.state.Revision
	}
	data, err := record.Encode(rec)
	require.NoError(l.t, err)
	res, err := l.state.Apply(l.state.Revision+1, data)
	require.NoError(l.t, err)
	return res
}

func (l *log) put(body record.Body, expected record.Revision) state.Result {
	return l.append(record.Record{Author: "node-1", ExpectedRevision: expected, Body: body})
}

func (l *log) appendUnderClaim(body record.Body, epoch record.Epoch) state.Result {
	return l.append(record.Record{Author: "node-1", Epoch: epoch, Body: body})
}

func newCourierLog(t require.TestingT) *log {
	l := newLog(t)
	l.put(record.PutService{Name: "courier", Version: "v1"}, 0)
	l.put(record.PutVersion{Service: "courier", Version: "v2"}, 1)
	l.put(record.PutRoute{Name: "courier", Prefix: "/courier", Service: "courier"}, 0)
	return l
}

func startedRollout(t require.TestingT) (*log, record.RolloutID) {
	l := newCourierLog(t)
	res := l.put(record.StartRollout{Service: "courier", From: "v1", To: "v2", StartUnixMS: 1, DeadlineUnixMS: 1000}, 0)
	require.Equal(t, state.Accepted, res.Outcome.Code)
	return l, res.Outcome.Offset
}

// An append is repeated if its response is lost. The record must take effect once.
func TestRepeatedRecordTakesEffectOnce(t *testing.T) {
	l := newLog(t)
	rec := record.Record{ID: "a", Author: "node-1", Body: record.PutService{Name: "courier", Version: "v1"}}
	first := l.append(rec)
	second := l.append(rec)
	require.Equal(t, state.Accepted, first.Outcome.Code)
	require.True(t, second.Duplicate)
	require.Equal(t, first.Outcome, second.Outcome)
	require.Equal(t, record.Revision(1), l.state.Services["courier"].Revision)
}

// The outcome of a change that loses a race must name the record that won.
func TestConflictNamesTheWinningRecord(t *testing.T) {
	l := newCourierLog(t)
	first := l.put(record.PutRoute{Name: "courier", Prefix: "/a", Service: "courier"}, 3)
	second := l.put(record.PutRoute{Name: "courier", Prefix: "/b", Service: "courier"}, 3)
	require.Equal(t, state.Accepted, first.Outcome.Code)
	require.Equal(t, state.Conflict, second.Outcome.Code)
	require.Equal(t, first.Outcome.Offset, second.Outcome.Winner)
	require.Equal(t, "/a", l.state.Routes["courier"].Prefix)
}

// A suspended holder that resumes after another node took over its claim must be fenced.
func TestStepUnderOldEpochIsFenced(t *testing.T) {
	l, id := startedRollout(t)
	old := l.put(record.ClaimRollout{Rollout: id, Holder: "node-1"}, 0).Outcome.Offset
	cur := l.put(record.ClaimRollout{Rollout: id, Holder: "node-2"}, old).Outcome.Offset
	res := l.appendUnderClaim(record.StepRollout{Rollout: id, Weight: 100}, record.Epoch(old))
	require.Equal(t, state.Fenced, res.Outcome.Code)
	require.Equal(t, cur, res.Outcome.Winner)
	require.Equal(t, record.BasisPoints(0), l.state.Rollouts[id].Weight)
}

// A version that has passed no comparison must not get more than 5 % of the traffic.
func TestUnverifiedVersionWeightIsLimited(t *testing.T) {
	l, id := startedRollout(t)
	epoch := record.Epoch(l.put(record.ClaimRollout{Rollout: id, Holder: "node-1"}, 0).Outcome.Offset)
	require.Equal(t, state.Accepted, l.appendUnderClaim(record.StepRollout{Rollout: id, Weight: 500}, epoch).Outcome.Code)
	require.Equal(t, state.Rejected, l.appendUnderClaim(record.StepRollout{Rollout: id, Weight: 501}, epoch).Outcome.Code)
	l.appendUnderClaim(record.RolloutVerdict{Rollout: id, Weight: 500}, epoch)
	require.Equal(t, state.Accepted, l.appendUnderClaim(record.StepRollout{Rollout: id, Weight: 2500}, epoch).Outcome.Code)
}

// A batch must not be applied in part.
func TestBatchAppliesAllOrNothing(t *testing.T) {
	l := newCourierLog(t)
	before, err := l.state.Digest()
	require.NoError(t, err)
	revision := l.state.Revision
	res := l.append(record.Record{Author: "node-1", Body: record.Batch{Items: []record.BatchItem{
		{Body: record.PutService{Name: "depot", Version: "v1"}},
		{Body: record.PutRoute{Name: "x", Prefix: "/x", Service: "missing"}},
	}}})
	require.Equal(t, state.Rejected, res.Outcome.Code)
	require.Contains(t, res.Outcome.Reason, "item 2")
	l.state.Revision = revision
	delete(l.state.Outcomes, res.ID)
	after, err := l.state.Digest()
	require.NoError(t, err)
	require.Equal(t, before, after)
}

// The ID of a rollout is the revision of its record, so a second rollout in the
// same batch would overwrite the first.
func TestBatchStartsOneRolloutAtMost(t *testing.T) {
	l := newCourierLog(t)
	l.put(record.PutService{Name: "finder", Version: "v1"}, 0)
	l.put(record.PutVersion{Service: "finder", Version: "v2"}, 4)
	start := func(service string) record.BatchItem {
		return record.BatchItem{Body: record.StartRollout{Service: service, From: "v1", To: "v2", StartUnixMS: 1, DeadlineUnixMS: 2}}
	}
	res := l.append(record.Record{Author: "node-1", Body: record.Batch{Items: []record.BatchItem{start("courier"), start("finder")}}})
	require.Equal(t, state.Rejected, res.Outcome.Code)
	require.Empty(t, l.state.Rollouts)
}

// Two items of a batch that change the same object must not conflict with each
// other, but the batch must still conflict with a change of another author.
func TestBatchMayChangeAnObjectTwice(t *testing.T) {
	l := newLog(t)
	l.put(record.PutService{Name: "courier", Version: "v1"}, 0)
	versions := func(expected record.Revision) record.Record {
		return record.Record{Author: "node-1", Body: record.Batch{Items: []record.BatchItem{
			{ExpectedRevision: expected, Body: record.PutVersion{Service: "courier", Version: "v2"}},
			{ExpectedRevision: expected, Body: record.PutVersion{Service: "courier", Version: "v3"}},
		}}}
	}
	require.Equal(t, state.Accepted, l.append(versions(1)).Outcome.Code)
	require.Equal(t, []string{"v1", "v2", "v3"}, l.state.Services["courier"].Versions)
	require.Equal(t, state.Conflict, l.append(versions(1)).Outcome.Code)
}

// Announcements of replaced nodes must not accumulate in the state.
func TestOldAnnouncementsAreDropped(t *testing.T) {
	l := newLog(t)
	for i := range 4100 {
		l.put(record.NodeAnnounced{Node: fmt.Sprintf("n%d", i), Session: "s", RPCAddress: "10.0.0.1:1", CallAddress: "10.0.0.1:2"}, 0)
	}
	require.Len(t, l.state.Nodes, 4096)
	require.NotContains(t, l.state.Nodes, "n0")
	require.Contains(t, l.state.Nodes, "n4099")
}

// A node must not skip a record that newer nodes apply.
func TestUnsupportedRecordIsNotSkipped(t *testing.T) {
	l := newCourierLog(t)
	_, err := l.state.Apply(4, []byte(`{"schema":1,"id":"x","kind":"from-the-future","base":3,"body":{}}`))
	require.ErrorIs(t, err, record.ErrUnsupported)
	require.Equal(t, record.Revision(3), l.state.Revision)
	_, err = l.state.Apply(5, nil)
	require.ErrorIs(t, err, state.ErrUnexpectedOffset)
}

// A claim must not take a key slot from an owner whose renewal precedes it in the log.
func TestClaimLosesToRenewal(t *testing.T) {
	l := newLog(t)
	first := l.put(record.ClaimKeySlot{Slot: 7, Node: "node-1", Session: "s1"}, 0)
	renewal := l.put(record.RenewKeySlots{Node: "node-1", Session: "s1", Nonce: 1}, 0)
	late := l.put(record.ClaimKeySlot{Slot: 7, Node: "node-2", Session: "s2"}, first.Outcome.Offset)
	require.Equal(t, state.Conflict, late.Outcome.Code)
	require.Equal(t, renewal.Outcome.Offset, late.Outcome.Winner)
	won := l.put(record.ClaimKeySlot{Slot: 7, Node: "node-2", Session: "s2"}, renewal.Outcome.Offset)
	require.Equal(t, state.Accepted, won.Outcome.Code)
	require.Equal(t, state.Rejected, l.put(record.RenewKeySlots{Node: "node-1", Session: "s1", Nonce: 2}, 0).Outcome.Code)
}

func drawBody(t *rapid.T) record.Body {
	service := rapid.SampledFrom([]string{"finder", "courier", "depot"}).Draw(t, "service")
	version := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
	rollout := record.RolloutID(rapid.Uint64Range(1, 40).Draw(t, "rollout"))
	weight := record.BasisPoints(rapid.SampledFrom([]int{0, 100, 500, 501, 5000, 10000}).Draw(t, "weight"))
	return rapid.SampledFrom([]record.Body{
		record.PutService{Name: service, Version: version},
		record.DeleteService{Name: service},
		record.PutVersion{Service: service, Version: version},
		record.DeleteVersion{Service: service, Version: version},
		record.PutRoute{Name: "r-" + service, Prefix: "/" + version, Service: service},
		record.DeleteRoute{Name: "r-" + service},
		record.StartRollout{Service: service, From: "v1", To: version, StartUnixMS: 1, DeadlineUnixMS: 2},
		record.PauseRollout{Rollout: rollout},
		record.ResumeRollout{Rollout: rollout},
		record.RollBackRollout{Rollout: rollout, Cause: record.CauseOperator},
		record.ClaimRollout{Rollout: rollout, Holder: "node-1"},
		record.StepRollout{Rollout: rollout, Weight: weight},
		record.RolloutVerdict{Rollout: rollout, Weight: weight},
		record.CompleteRollout{Rollout: rollout},
		record.ClaimKeySlot{Slot: 3, Node: "node-1", Session: version},
		record.RenewKeySlots{Node: "node-1", Session: version},
		record.ReleaseKeySlots{Node: "node-1", Session: version},
	}).Draw(t, "body")
}

// drawRecord uses the correct expected revision half of the time, so that both
// accepted and rejected records are frequent.
func drawRecord(t *rapid.T, s *state.State) record.Record {
	body := drawBody(t)
	rec := record.Record{Author: "node-1", Body: body, ExpectedRevision: record.Revision(rapid.Uint64Range(0, 40).Draw(t, "presumes"))}
	if rapid.Bool().Draw(t, "informed") {
		rec.ExpectedRevision = currentRevision(s, body)
	}
	rec.Epoch = record.Epoch(rec.ExpectedRevision)
	return rec
}

func currentRevision(s *state.State, body record.Body) record.Revision {
	switch b := body.(type) {
	case record.PutService:
		return s.Services[b.Name].Revision
	case record.DeleteService:
		return s.Services[b.Name].Revision
	case record.PutVersion:
		return s.Services[b.Service].Revision
	case record.DeleteVersion:
		return s.Services[b.Service].Revision
	case record.PutRoute:
		return s.Routes[b.Name].Revision
	case record.DeleteRoute:
		return s.Routes[b.Name].Revision
	case record.ClaimRollout:
		return record.Revision(s.Rollouts[b.Rollout].Epoch)
	case record.StepRollout:
		return record.Revision(s.Rollouts[b.Rollout].Epoch)
	case record.RolloutVerdict:
		return record.Revision(s.Rollouts[b.Rollout].Epoch)
	case record.CompleteRollout:
		return record.Revision(s.Rollouts[b.Rollout].Epoch)
	case record.ClaimKeySlot:
		return s.KeySlots[b.Slot].Renewal
	default:
		return 0
	}
}

func requireValid(t require.TestingT, s *state.State) {
	for name, route := range s.Routes {
		require.Contains(t, s.Services, route.Service, "route %s dangles", name)
	}
	for name, svc := range s.Services {
		total := record.BasisPoints(0)
		for version, weight := range svc.Weights {
			require.Contains(t, svc.Versions, version, "service %s sends traffic to a missing version", name)
			require.Positive(t, int(weight))
			total += weight
		}
		require.Equal(t, record.FullWeight, total)
	}
	for _, r := range s.Rollouts {
		if r.Open() && !r.Passed {
			require.LessOrEqual(t, r.Weight, state.UnverifiedWeightLimit)
		}
	}
}

// No sequence of records may leave a dangling route, weights with a wrong total or
// an unverified version above its limit. Two nodes that apply the same log, one of
// them restored from a snapshot, must have the same state.
func TestStateStaysValidAndDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLog(t)
		other := state.New()
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		snapshotAt := rapid.IntRange(0, steps-1).Draw(t, "snapshot_at")
		for i := range steps {
			if i == snapshotAt {
				data, err := other.Encode()
				require.NoError(t, err)
				other, err = state.Decode(data)
				require.NoError(t, err)
			}
			rec := drawRecord(t, l.state)
			rec.ID = fmt.Sprintf("id-%d", rapid.IntRange(0, 2*steps).Draw(t, "id"))
			rec.Base = l.state.Revision
			res := l.append(rec)
			data, err := record.Encode(rec)
			require.NoError(t, err)
			again, err := other.Apply(other.Revision+1, data)
			require.NoError(t, err)
			require.Equal(t, res.Outcome, again.Outcome)
			requireValid(t, l.state)
		}
		a, err := l.state.Digest()
		require.NoError(t, err)
		b, err := other.Digest()
		require.NoError(t, err)
		require.Equal(t, a, b)
	})
}

// A record must not take effect a second time after its ID left the deduplication window.
func TestRecordOutsideDedupWindowIsExpired(t *testing.T) {
	l := newLog(t)
	rec := record.Record{ID: "a", Author: "node-1", Body: record.PutService{Name: "courier", Version: "v1"}}
	l.append(rec)
	l.put(record.DeleteService{Name: "courier"}, 1)
	for range state.DedupWindow + 1 {
		l.put(record.DeleteRoute{Name: "none"}, 0)
	}
	require.NotContains(t, l.state.Outcomes, "a")
	res := l.append(rec)
	require.Equal(t, state.Expired, res.Outcome.Code)
	require.Empty(t, l.state.Services)
}
