package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/mesh"
)

func info(i int) mesh.NodeInfo {
	rpc := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7400)
	return mesh.NodeInfo{
		ID: mesh.NodeID(fmt.Sprintf("n%d", i)), Session: "s1", Zone: "a", Region: "r", RPCAddress: rpc,
		CallAddress: netip.AddrPortFrom(rpc.Addr(), 7401),
	}
}

func servingTarget() mesh.Target {
	return mesh.Target{
		Service: "finder", Version: "v1", Address: netip.MustParseAddrPort("10.1.0.1:80"), Slots: 12, Connections: 100,
		State: mesh.TargetServing,
	}
}

func updateOf(node mesh.NodeInfo, incarnation uint64, state State) Update {
	u := Update{Node: node.ID, Session: node.Session, Incarnation: incarnation, State: state}
	if state != Dead {
		t := servingTarget()
		u.Detail = &Detail{Info: node, Target: &t}
	}
	return u
}

func from(node mesh.NodeInfo, incarnation uint64, msg Message) Message {
	msg.From = Header{Node: node.ID, Session: node.Session, Zone: node.Zone, RPCAddress: node.RPCAddress, Incarnation: incarnation}
	return msg
}

// harness is a machine with its own clock and scripted peers.
type harness struct {
	*Machine
	at time.Duration
}

func newHarness(peers int) *harness {
	l := &harness{Machine: New(Config{Self: info(0), Source: rand.NewPCG(1, 1)})}
	for i := 1; i <= peers; i++ {
		l.receive(from(info(i), 1, Message{Updates: []Update{updateOf(info(i), 1, Alive)}}))
	}
	return l
}

func (l *harness) receive(m Message) []Effect { return l.Step(MessageReceived{Now: l.at, Message: m}) }

// run advances the clock in ticks and returns the effects with their times.
func (l *harness) run(d time.Duration) (effects []Effect, times []time.Duration) {
	for end := l.at + d; l.at < end; {
		l.at += 100 * time.Millisecond
		for _, e := range l.Step(Tick{Now: l.at}) {
			effects, times = append(effects, e), append(times, l.at)
		}
	}
	return effects, times
}

func (l *harness) state(id mesh.NodeID) State {
	for _, k := range l.Members() {
		if k.Info.ID == id {
			return k.State
		}
	}
	return ""
}

func sends(effects []Effect) []SendMessage {
	var list []SendMessage
	for _, e := range effects {
		if s, ok := e.(SendMessage); ok {
			list = append(list, s)
		}
	}
	return list
}

// TestProbeTiming checks the designed timeouts of an unresponsive member:
// indirect probes after 500 ms, suspect after 1 s, dead 3 s later.
func TestProbeTiming(t *testing.T) {
	l := newHarness(4)
	effects, times := l.run(8 * time.Second)
	var probed, indirect, suspect, dead time.Duration
	for i, e := range effects {
		switch f := e.(type) {
		case SendMessage:
			if f.Message.Probe != nil && f.To == info(1).RPCAddress && probed == 0 {
				probed = times[i]
			}
			if f.Message.Indirect != nil && f.Message.Indirect.Node == "n1" && indirect == 0 {
				indirect = times[i]
			}
		case MemberStateChanged:
			if f.Node == "n1" && f.State == Suspect {
				suspect = times[i]
			}
			if f.Node == "n1" && f.State == Dead {
				dead = times[i]
			}
		}
	}
	require.Equal(t, 500*time.Millisecond, indirect-probed)
	require.Equal(t, time.Second, suspect-probed)
	require.Equal(t, SuspicionTimeout, dead-suspect)
}

// TestRound guards against a member that random selection never probes.
func TestRound(t *testing.T) {
	l := newHarness(20)
	l.run(time.Second)
	probed := make(map[netip.AddrPort]bool)
	for range 20 {
		effects, _ := l.run(ProbeInterval)
		for _, s := range sends(effects) {
			if s.Message.Probe != nil {
				probed[s.To] = true
				l.receive(Message{
					From: from(info(int(s.To.Addr().As4()[3])), 1, Message{}).From,
					Ack:  &ProbeAck{Sequence: s.Message.Probe.Sequence},
				})
			}
		}
	}
	require.GreaterOrEqual(t, len(probed), 19)
}

// TestLocalPause guards against a node that declares all other members dead
// after its own process was paused.
func TestLocalPause(t *testing.T) {
	l := newHarness(3)
	l.receive(from(info(2), 1, Message{Updates: []Update{updateOf(info(1), 1, Suspect)}}))
	l.run(time.Second)
	l.at += time.Minute
	l.run(100 * time.Millisecond)
	require.Equal(t, Suspect, l.state("n1"))
}

// TestPrecedence guards against an update that is overridden by an older one.
func TestPrecedence(t *testing.T) {
	l := newHarness(1)
	say := func(u Update) { l.receive(from(info(2), 1, Message{Updates: []Update{u}})) }
	for _, step := range []struct {
		inc   uint64
		state State
		want  State
	}{
		{1, Suspect, Suspect},
		{1, Alive, Suspect},
		{2, Alive, Alive},
		{1, Dead, Alive},
		{2, Dead, Dead},
		{2, Suspect, Dead},
		{3, Leaving, Leaving},
	} {
		say(updateOf(info(1), step.inc, step.state))
		require.Equal(t, step.want, l.state("n1"), "%+v", step)
	}
}

// TestNewSession guards against a restarted node whose updates are ignored
// because its previous session had a higher incarnation.
func TestNewSession(t *testing.T) {
	l := newHarness(1)
	former := info(0)
	former.Session = "s0"
	effects := l.receive(from(info(1), 1, Message{Updates: []Update{updateOf(former, 40, Alive)}}))
	require.NotEmpty(t, effects)
	require.Equal(t, uint64(41), l.self().Incarnation)

	other := newHarness(1)
	restarted := info(1)
	restarted.Session = "s2"
	sent := sends(other.receive(from(restarted, 0, Message{})))
	require.Len(t, sent, 1)
	require.Equal(t, uint64(1), sent[0].Message.Updates[0].Incarnation)
}

// TestDuplicateNodeID guards against two processes with the same node id that
// correct each other in an endless loop.
func TestDuplicateNodeID(t *testing.T) {
	l := newHarness(1)
	restarted := info(1)
	restarted.Session = "s2"
	count := 0
	for range 100 {
		count += len(sends(l.receive(from(restarted, 0, Message{}))))
	}
	require.Equal(t, 1, count)
}

// TestUpdateBytes guards against messages that do not fit into a packet.
func TestUpdateBytes(t *testing.T) {
	l := newHarness(60)
	effects, _ := l.run(10 * time.Second)
	for _, s := range sends(effects) {
		if s.Message.Probe == nil {
			continue
		}
		data, err := json.Marshal(s.Message.Updates)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), MaxUpdateBytes+2)
	}
}

// TestDamping guards against a flapping endpoint that is selected between two
// state changes, and against damping that never ends.
func TestDamping(t *testing.T) {
	l := newHarness(1)
	for incarnation := uint64(2); incarnation <= FlapThreshold+2; incarnation++ {
		u := updateOf(info(1), incarnation, Alive)
		if incarnation%2 == 0 {
			u.Detail.Target = nil
		}
		if list := l.Endpoints(); len(list) > 0 {
			require.False(t, list[0].Damped, incarnation)
		}
		l.receive(from(info(2), 1, Message{Updates: []Update{u}}))
	}
	require.True(t, l.Endpoints()[0].Damped)
	before := l.Generation()
	l.Step(Tick{Now: l.at + DampingDuration + 2*expiryInterval})
	require.False(t, l.Endpoints()[0].Damped)
	require.Greater(t, l.Generation(), before)
}

// TestTarget guards against a target that stays in use after its announcements
// stop, a leaving node whose target returns to serving, and an announcement too
// large to disseminate.
func TestTarget(t *testing.T) {
	l := newHarness(1)
	l.Step(TargetAnnounced{Now: l.at, Target: servingTarget()})
	require.Len(t, l.Endpoints(), 2)
	effects, _ := l.run(TargetTimeout)
	require.Contains(t, effects, TargetExpired{Target: servingTarget()})

	l.Step(TargetAnnounced{Now: l.at, Target: servingTarget()})
	sent := sends(l.Step(Leave{Now: l.at}))
	require.NotEmpty(t, sent)
	require.Equal(t, Leaving, sent[0].Message.Updates[0].State)
	l.Step(TargetAnnounced{Now: l.at, Target: servingTarget()})
	require.True(t, l.Endpoints()[0].Leaving)

	large := servingTarget()
	large.Service = strings.Repeat("x", MaxUpdateBytes)
	require.IsType(t, TargetRejected{}, l.Step(TargetAnnounced{Now: l.at, Target: large})[0])
}

// TestJoinAdmission guards against one node serving an unbounded number of
// concurrent joins.
func TestJoinAdmission(t *testing.T) {
	l := newHarness(0)
	served, busy := 0, 0
	for i := 1; i <= 20; i++ {
		for _, s := range sends(l.receive(from(info(i), 1, Message{Digest: &Digest{Join: true}}))) {
			if s.Message.Entries != nil {
				served++
			}
			if b := s.Message.Busy; b != nil {
				busy++
				retry := time.Duration(b.RetryAfterMS) * time.Millisecond
				require.True(t, retry >= JoinDelayMin && retry <= JoinDelayMax)
			}
		}
	}
	require.Equal(t, MaxConcurrentJoins, served)
	require.Equal(t, 20-MaxConcurrentJoins, busy)
}

// TestGeneration guards against rebuilding the routing table for a change of a
// revision or a NACK only.
func TestGeneration(t *testing.T) {
	l := newHarness(2)
	before := l.Generation()
	l.Step(RevisionApplied{Now: l.at, Revision: 9, NACK: "reason"})
	header := from(info(1), 1, Message{})
	header.From.Revision = 8
	l.receive(header)
	require.Equal(t, before, l.Generation())
	require.Equal(t, "reason", l.self().NACK)
}

// TestMalformed guards against malformed input that stops the machine or is
// accepted.
func TestMalformed(t *testing.T) {
	l := newHarness(1)
	members := len(l.Members())
	l.receive(Message{})
	for _, u := range []Update{
		{},
		{Node: "x", Session: "s", State: Alive},
		{Node: "x", Session: "s", State: "odd"},
		{Node: "x", Session: "s", State: Alive, Detail: &Detail{Info: info(5)}},
	} {
		l.receive(from(info(1), 1, Message{Updates: []Update{u}}))
	}
	require.Equal(t, uint64(5), l.MalformedCount())
	require.Len(t, l.Members(), members)
}

// TestLinkTie guards against a zone that stays unreachable at one node because
// two readers published the same link version concurrently.
func TestLinkTie(t *testing.T) {
	l := newHarness(1)
	reachable := func() bool { return l.zones.get("b").link.Reachable }
	say := func(version uint64, ok bool) {
		l.receive(from(info(1), 1, Message{Links: []ZoneLink{{Zone: "b", Version: version, Reachable: ok}}}))
	}
	say(1, false)
	require.False(t, reachable())
	say(1, true)
	say(1, false)
	require.True(t, reachable())
	say(2, false)
	require.False(t, reachable())
}

// TestUnreachableZoneIsContacted guards against a zone that stays marked unreachable because
// the exchanges that it opens itself postpone those of this node.
func TestUnreachableZoneIsContacted(t *testing.T) {
	l := newHarness(1)
	nodes := []mesh.NodeInfo{info(7), info(8)}
	nodes[0].Zone, nodes[1].Zone = "b", "c"
	for _, node := range nodes {
		l.receive(from(node, 1, Message{Updates: []Update{updateOf(node, 1, Alive)}}))
	}
	l.receive(from(info(1), 1, Message{Links: []ZoneLink{{Zone: "b", Version: 1}}}))
	opened := 0
	for range 10 {
		l.receive(from(nodes[0], 1, Message{Digest: &Digest{}}))
		effects, _ := l.run(time.Second)
		for _, s := range sends(effects) {
			if s.To == nodes[0].RPCAddress && s.Message.Digest != nil {
				opened++
			}
		}
	}
	require.Positive(t, opened)
}

// TestWireFormat guards against messages that change when encoded and decoded.
func TestWireFormat(t *testing.T) {
	msg := from(info(1), 3, Message{
		Updates: []Update{updateOf(info(2), 1, Leaving)}, Links: []ZoneLink{{Zone: "b", Version: 2}},
		Entries: &Entries{
			Zones:   []ZoneDigest{{Zone: "b", Hash: 1<<63 + 1, ContactAgeMS: -1, Summary: &ZoneSummary{Zone: "b", Version: 1}}},
			Entries: []Entry{{Zone: "b", Node: "n", Hash: 1<<63 + 1}},
		},
	})
	data, err := json.Marshal(msg)
	require.NoError(t, err)
	var decoded Message
	require.NoError(t, json.Unmarshal(data, &decoded))
	require.Equal(t, msg, decoded)
}
