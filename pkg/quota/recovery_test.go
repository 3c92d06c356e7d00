package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/quota"
)

// usedRate returns the share of the cap that was used between two times.
func usedRate(s *simulation, c quota.Cap, from, to time.Duration) float64 {
	return float64(usedSince(s.used["org"], from)-usedSince(s.used["org"], to)) / (to - from).Seconds() / c.Rate
}

// ownerOf returns the node that has leased most of the cap.
func ownerOf(s *simulation) *simNode {
	var owner *simNode
	best := 0.0
	for _, n := range s.nodes {
		if n.quota != nil {
			if share := n.quota.AllocatorShare(n.clock(), "org"); share > best {
				owner, best = n, share
			}
		}
	}
	return owner
}

// Guards against a cap that stays unusable after a failure, under three times the cap over 83
// nodes. What is usable is the share of the nodes that can reach the allocator.
func TestCapIsUsableAgainAfterFailures(t *testing.T) {
	limit := quota.Cap{Rate: 100, Burst: 100}
	const nodes, failAt, healAt, until = 83, 10 * time.Second, 22 * time.Second, 36 * time.Second
	restart := func(s *simulation, n *simNode, after time.Duration) {
		n.kill()
		s.after(after, n.start)
	}
	for _, c := range []struct {
		name string
		fail func(*simulation)
		// within is the time after the failure by which usable of the cap is used again, healed
		// the time after healAt by which 0.97 of it is.
		within, healed time.Duration
		usable         float64
		cut            bool
	}{
		{"allocator dies", func(s *simulation) { restart(s, ownerOf(s), healAt-failAt) }, 4 * time.Second, 4 * time.Second, 0.95, false},
		{"allocator restarts in half a second", func(s *simulation) { restart(s, ownerOf(s), 500*time.Millisecond) }, 4 * time.Second, 0, 0.95, false},
		{"allocator pauses", func(s *simulation) { ownerOf(s).pausedUntil = healAt }, 7 * time.Second, 4 * time.Second, 0.95, false},
		{"allocator stops as planned", func(s *simulation) {
			n := ownerOf(s)
			n.leaving = true
			s.after(3*time.Second, n.kill)
			s.after(healAt-failAt, n.start)
		}, 2 * time.Second, 4 * time.Second, 0.93, false},
		{"all processes restart at once", func(s *simulation) {
			for _, n := range s.nodes {
				restart(s, n, 200*time.Millisecond)
			}
		}, 5 * time.Second, 0, 0.95, false},
		{"35 % of the nodes die", func(s *simulation) {
			for i, n := range s.nodes {
				if i%20 < 7 {
					restart(s, n, healAt-failAt)
				}
			}
		}, 5 * time.Second, 5 * time.Second, 0.6, false},
		{"35 % of the nodes are cut off", func(s *simulation) {
			for i := range s.nodes {
				if i%20 < 7 {
					s.part[i] = 1
				}
			}
			s.after(healAt-failAt, func() { clear(s.part) })
		}, 9 * time.Second, 6 * time.Second, 0.9, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(11, nodes, map[string]quota.Cap{"org": limit})
			s.load("org", 3*limit.Rate, until, s.anyNode)
			s.run(failAt)
			c.fail(s)
			s.run(until)
			for at := failAt; at < until; at += 2 * time.Second {
				t.Logf("%s: %.0f %%", at, 100*usedRate(s, limit, at, at+2*time.Second))
			}
			requireCap(t, s, "org", limit, 0)
			t.Logf("%d lease requests", s.leases)
			// At most one request in a renewal interval from each of SlotCount allocators to each node. During a cut,
			// each part has allocators.
			seconds := until.Seconds()
			if c.cut {
				seconds += (healAt - failAt).Seconds()
			}
			require.LessOrEqual(t, float64(s.leases), quota.SlotCount*nodes*seconds/quota.RenewInterval.Seconds())
			require.GreaterOrEqual(t, usedRate(s, limit, failAt+c.within, healAt), c.usable)
			require.GreaterOrEqual(t, usedRate(s, limit, healAt+c.healed, until), 0.97)
		})
	}
}
