package core_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/routing"
)

// Size of the mesh that the design is planned for.
const (
	planNodes    = 2500
	planServices = 450
	planZones    = 15
)

// planNode is a reducer with a mesh of the planned size.
type planNode struct {
	core    *core.Core
	now     time.Duration
	offset  record.Revision
	tracker *routing.Tracker
}

func planInfo(i int) mesh.NodeInfo {
	ip := netip.AddrFrom4([4]byte{10, byte(i / 250), byte(i % 250), 1})
	return mesh.NodeInfo{
		ID: mesh.NodeID(fmt.Sprintf("node-%04d", i)), Session: "s1", Region: "region-1",
		Zone:       mesh.AvailabilityZone(fmt.Sprintf("zone-%02d", i%planZones)),
		RPCAddress: netip.AddrPortFrom(ip, 7001), CallAddress: netip.AddrPortFrom(ip, 7002),
	}
}

func newPlanNode(t require.TestingT) *planNode {
	self := planInfo(0)
	p := &planNode{tracker: routing.NewTracker(), core: core.New(core.Config{
		Self: self, StartUnixMS: 1, Seed: 1, Keys: idempotency.DefaultConfig(self.ID, self.Session),
	})}
	p.step(core.Started{})
	for i := 1; i < planNodes; i++ {
		p.announce(i, 1)
	}
	for i := range planServices {
		name := fmt.Sprintf("service-%03d", i)
		p.append(t, record.Record{ID: "s" + name, Body: record.PutService{Name: name, Version: "v1"}})
		p.append(t, record.Record{ID: "r" + name, Body: record.PutRoute{Name: name, Prefix: "/" + name, Service: name}})
	}
	return p
}

// announce delivers a membership message of a member about itself.
func (p *planNode) announce(i int, incarnation uint64) {
	info := planInfo(i)
	p.step(core.MembershipReceived{Message: membership.Message{
		From: membership.Header{Node: info.ID, Session: info.Session, Zone: info.Zone, RPCAddress: info.RPCAddress, Incarnation: incarnation},
		Updates: []membership.Update{{
			Node: info.ID, Session: info.Session, Incarnation: incarnation, State: membership.Alive,
			Detail: &membership.Detail{Info: info, Target: &mesh.Target{
				Service: fmt.Sprintf("service-%03d", i%planServices), Version: "v1",
				Address: netip.AddrPortFrom(info.RPCAddress.Addr(), 9000), Slots: 12, Connections: 100, State: mesh.TargetServing,
			}},
		}},
	}})
}

func (p *planNode) append(t require.TestingT, rec record.Record) {
	rec.Base, rec.Author = p.offset, "node-0001"
	data, err := record.Encode(rec)
	require.NoError(t, err)
	p.offset++
	p.step(core.PushReceived{Push: distribution.Push{From: "node-0015", Root: "node-0015", Entries: []distribution.Entry{{Offset: p.offset, Data: data}}}})
}

// step executes the effects that the adapter executes on the reducer's goroutine.
func (p *planNode) step(e core.Event) {
	p.now += time.Millisecond
	for _, effect := range p.core.Step(core.Time{Now: p.now, UnixMS: 1 + p.now.Milliseconds()}, e) {
		if _, ok := effect.(core.PublishTable); ok {
			routing.Build(p.core.Routing(), p.tracker, p.now)
		}
	}
}

// Guards against a node of a large mesh that keeps sending requests to its own
// target after the target announced that it leaves, since membership changes are
// debounced.
func TestLeavingTargetIsKnownToItsNodeAtOnce(t *testing.T) {
	self := planInfo(0)
	p := &planNode{tracker: routing.NewTracker(), core: core.New(core.Config{
		Self: self, StartUnixMS: 1, Seed: 1, Keys: idempotency.DefaultConfig(self.ID, self.Session),
	})}
	for i := 1; i < 100; i++ {
		p.announce(i, 1)
	}
	p.step(core.Tick{})
	announce := func(s mesh.TargetState) []core.Effect {
		p.now += time.Millisecond
		return p.core.Step(core.Time{Now: p.now, UnixMS: 1}, core.TargetAnnounced{Target: mesh.Target{
			Service: "courier", Version: "v1", Address: netip.MustParseAddrPort("10.0.0.1:9000"), Slots: 1, State: s,
		}})
	}
	require.Contains(t, announce(mesh.TargetServing), core.Effect(core.PublishTable{}))
	require.NotContains(t, announce(mesh.TargetServing), core.Effect(core.PublishTable{}))
	require.Contains(t, announce(mesh.TargetLeaving), core.Effect(core.PublishTable{}))
	target, ok := p.core.Target()
	require.True(t, ok)
	require.Equal(t, mesh.TargetLeaving, target.State)
}

// Guards against a target that said in a response that it is shutting down and that its own
// later announcements put into use again.
func TestLeavingSignalOutlastsAnnouncements(t *testing.T) {
	self := planInfo(0)
	p := &planNode{tracker: routing.NewTracker(), core: core.New(core.Config{
		Self: self, StartUnixMS: 1, Seed: 1, Keys: idempotency.DefaultConfig(self.ID, self.Session),
	})}
	process := mesh.Target{
		Service: "courier", Version: "v1", Address: netip.MustParseAddrPort("10.0.0.1:9000"), Slots: 1, State: mesh.TargetServing, StartedUnixMS: 1,
	}
	next := process
	next.StartedUnixMS = 1_000
	for _, step := range []struct {
		event core.Event
		want  mesh.TargetState
	}{
		{core.TargetAnnounced{Target: process}, mesh.TargetServing},
		{core.TargetSignaledLeaving{Target: next}, mesh.TargetServing},
		{core.TargetSignaledLeaving{Target: process}, mesh.TargetLeaving},
		{core.TargetAnnounced{Target: process}, mesh.TargetLeaving},
		{core.TargetAnnounced{Target: next}, mesh.TargetServing},
	} {
		p.now += time.Millisecond
		p.core.Step(core.Time{Now: p.now, UnixMS: 1}, step.event)
		target, ok := p.core.Target()
		require.True(t, ok)
		require.Equal(t, step.want, target.State, "%T", step.event)
	}
}

// Guards against a target whose restarted process says in a response that it is shutting down, and that
// its first announcement, which is late, puts into use; and against late announcements of a process that
// left or was replaced.
func TestTargetThatLeftIsNotUsedByALateAnnouncement(t *testing.T) {
	self := planInfo(0)
	p := &planNode{tracker: routing.NewTracker(), core: core.New(core.Config{
		Self: self, StartUnixMS: 1, Seed: 1, Keys: idempotency.DefaultConfig(self.ID, self.Session),
	})}
	at := func(started int64, s mesh.TargetState) mesh.Target {
		return mesh.Target{
			Service: "courier", Version: "v1", Address: netip.MustParseAddrPort("10.0.0.1:9000"), Slots: 1, State: s, StartedUnixMS: started,
		}
	}
	for _, step := range []struct {
		unixMS int64
		event  core.Event
		want   mesh.TargetState
	}{
		{1_000, core.TargetAnnounced{Target: at(1_000, mesh.TargetServing)}, mesh.TargetServing},
		// The process that started at 4,000 answers.
		{5_000, core.TargetSignaledLeaving{Target: at(1_000, mesh.TargetServing)}, mesh.TargetLeaving},
		{7_000, core.TargetAnnounced{Target: at(4_000, mesh.TargetServing)}, mesh.TargetLeaving},
		{8_000, core.TargetAnnounced{Target: at(7_500, mesh.TargetServing)}, mesh.TargetServing},
		{8_100, core.TargetAnnounced{Target: at(1_000, mesh.TargetServing)}, mesh.TargetServing},
		{9_000, core.TargetAnnounced{Target: at(7_500, mesh.TargetLeaving)}, mesh.TargetLeaving},
		{9_100, core.TargetAnnounced{Target: at(7_500, mesh.TargetServing)}, mesh.TargetLeaving},
		{20_000, core.TargetAnnounced{Target: at(7_500, mesh.TargetServing)}, mesh.TargetLeaving},
		{21_000, core.TargetAnnounced{Target: at(20_500, mesh.TargetServing)}, mesh.TargetServing},
		// A signal that came late takes the process out, until its announcements go on.
		{22_000, core.TargetSignaledLeaving{Target: at(20_500, mesh.TargetServing)}, mesh.TargetLeaving},
		{29_000, core.TargetAnnounced{Target: at(21_500, mesh.TargetServing)}, mesh.TargetLeaving},
		{31_000, core.TargetAnnounced{Target: at(21_500, mesh.TargetServing)}, mesh.TargetServing},
	} {
		p.core.Step(core.Time{Now: time.Duration(step.unixMS) * time.Millisecond, UnixMS: step.unixMS}, step.event)
		target, ok := p.core.Target()
		require.True(t, ok)
		require.Equal(t, step.want, target.State, "at %d: %T", step.unixMS, step.event)
	}
}

// BenchmarkRenewalAtPlanSize measures the most frequent record, with a routing
// table for 450 services and 2,500 endpoints.
func BenchmarkRenewalAtPlanSize(b *testing.B) {
	p := newPlanNode(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.append(b, record.Record{ID: fmt.Sprintf("renew-%d", i), Body: record.RenewKeySlots{Node: "node-0001", Session: "s1", Nonce: uint64(i)}})
	}
}

// BenchmarkMemberChangeAtPlanSize measures an update about one member.
func BenchmarkMemberChangeAtPlanSize(b *testing.B) {
	p := newPlanNode(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.announce(1+i%(planNodes-1), uint64(2+i/(planNodes-1)))
	}
}

// BenchmarkTickAtPlanSize measures one tick; a node has ten a second.
func BenchmarkTickAtPlanSize(b *testing.B) {
	p := newPlanNode(b)
	b.ReportAllocs()
	for b.Loop() {
		p.now += 100 * time.Millisecond
		p.step(core.Tick{})
	}
}
