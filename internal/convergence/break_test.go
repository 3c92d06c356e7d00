package convergence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/membership"
)

// The tests in this file break one rule each, and require that the check of the
// invariant notices. They guard against checks that pass without looking.

// TestBreakOldEntry lets an old entry through to the state.
func TestBreakOldEntry(t *testing.T) {
	p := formed(t, 1, 3)
	p.platform.append("second")
	p.runFor(time.Second)
	require.Empty(t, p.violations)
	p.up()[0].apply([]distribution.Entry{{Offset: 1, Data: []byte("first")}})
	require.NotEmpty(t, p.violations)
}

// TestBreakReadiness changes the answers to a restarted node, so that its peers
// seem to have nothing in force.
func TestBreakReadiness(t *testing.T) {
	for _, broken := range []bool{false, true} {
		p := formed(t, 2, 4)
		p.platform.out = true
		if broken {
			p.filter = func(_, _ *node, msg any) (any, bool) {
				if r, ok := msg.(distribution.PullResponse); ok {
					r.Applied, r.ContiguousOffset, r.Entries, r.Snapshot = 0, 0, nil, nil
					return r, true
				}
				return msg, true
			}
		}
		n := p.up()[0]
		n.start()
		_, ok := p.runUntil(20*time.Second, func() bool { return n.ready })
		require.True(t, ok, n.dist.Status())
		require.Equal(t, broken, len(p.violations) > 0, p.violations)
	}
}

// TestBreakDistribution drops the pushes and pull responses to one node.
func TestBreakDistribution(t *testing.T) {
	p := formed(t, 3, 6)
	n := p.nodes[p.relays()[0].info.ID]
	p.filter = func(_, to *node, msg any) (any, bool) {
		switch msg.(type) {
		case distribution.Push, distribution.PullResponse:
			return msg, to != n
		}
		return msg, true
	}
	samples := p.spread(20 * time.Second)
	require.Greater(t, quantile(samples, 1), convergenceBound)
}

// TestBreakLeaving drops the leaving update from all messages.
func TestBreakLeaving(t *testing.T) {
	p := withTargets(t, 4, 10)
	p.filter = func(_, _ *node, msg any) (any, bool) {
		m := msg.(membership.Message)
		for _, u := range m.Updates {
			if u.State == membership.Leaving {
				m.Updates = nil
			}
		}
		return m, true
	}
	samples := p.leave(p.nodes[p.ids[3]], 10*time.Second)
	require.Greater(t, quantile(samples, 1), leavingBound)
}

// TestBreakDeath answers probes in the name of a dead node.
func TestBreakDeath(t *testing.T) {
	p := withTargets(t, 5, 10)
	dead := p.nodes[p.ids[3]]
	p.filter = func(from, to *node, msg any) (any, bool) {
		if m := msg.(membership.Message); m.Probe != nil && to == dead && !to.up {
			answer := membership.Message{
				From: membership.Header{
					Node: to.info.ID, Session: to.info.Session, Zone: to.info.Zone, RPCAddress: to.info.RPCAddress, Incarnation: 1,
				},
				Ack: &membership.ProbeAck{Sequence: m.Probe.Sequence},
			}
			from.handle(func() {
				p.schedule(p.now, func() { from.stepMember(membership.MessageReceived{Now: from.now(), Message: answer}) })
			})
		}
		return msg, true
	}
	dead.kill()
	samples := p.deathKnown(dead, 20*time.Second)
	require.Greater(t, quantile(samples, 1), deadBound)
}

// TestBreakRefutation drops what a node says to refute that it is dead. Without
// the break the node comes back.
func TestBreakRefutation(t *testing.T) {
	for _, broken := range []bool{false, true} {
		p := withTargets(t, 6, 10)
		n := p.nodes[p.ids[3]]
		n.pause()
		p.runFor(20 * time.Second)
		if broken {
			p.filter = func(_, _ *node, msg any) (any, bool) {
				m := msg.(membership.Message)
				for _, u := range m.Updates {
					if u.Node == n.info.ID && u.State == membership.Alive {
						m.Updates = nil
					}
				}
				return m, true
			}
		}
		n.resume()
		p.runFor(membershipBound)
		require.Equal(t, !broken, p.complete())
	}
}
