package quota_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/quota"
)

// failures draws failures and their times and schedules them.
func failures(t *rapid.T, s *simulation, until time.Duration) {
	count := rapid.IntRange(1, 8).Draw(t, "failures")
	for range count {
		at := time.Duration(rapid.IntRange(2000, int(until.Milliseconds())-3000).Draw(t, "at_ms")) * time.Millisecond
		length := time.Duration(rapid.IntRange(20, 12_000).Draw(t, "length_ms")) * time.Millisecond
		kind := rapid.SampledFrom([]string{"restart", "pause", "cut", "three parts", "restart all", "leave", "pause allocators", "restart allocators"}).Draw(t, "kind")
		share := rapid.Float64Range(0.1, 0.6).Draw(t, "share")
		var hit []*simNode
		for _, n := range s.nodes {
			if s.random.Float64() < share {
				hit = append(hit, n)
			}
		}
		s.after(at, func() {
			switch kind {
			case "restart", "restart all", "leave":
				if kind == "restart all" {
					hit = s.nodes
				}
				for _, n := range hit {
					if kind == "leave" {
						n.leaving = true
						s.after(500*time.Millisecond, n.kill)
						s.after(500*time.Millisecond+length, n.start)
						continue
					}
					n.kill()
					s.after(length, n.start)
				}
			case "pause":
				for _, n := range hit {
					n.pausedUntil = s.now + length
				}
			case "restart allocators":
				for _, n := range s.nodes {
					if n.quota != nil && n.quota.OwnedSlots() != 0 {
						n.kill()
						s.after(100*time.Millisecond, n.start)
					}
				}
			case "pause allocators":
				for _, n := range s.nodes {
					if n.quota != nil && n.quota.OwnedSlots() != 0 {
						n.pausedUntil = s.now + length
					}
				}
			case "cut", "three parts":
				parts := 2
				if kind == "three parts" {
					parts = 3
				}
				for i := range s.part {
					s.part[i] = s.random.IntN(parts)
				}
				s.after(length, func() { clear(s.part) })
			}
		})
	}
}

// Guards against shares that two nodes use at once, and more requests than the cap over all nodes, when messages are lost, delayed and
// reordered, nodes restart, pause and leave, all at once or some, and the mesh is cut into two or
// three parts, under up to eight times the cap.
func TestCapHoldsUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 24).Draw(t, "nodes")
		caps := map[string]quota.Cap{}
		for i := range rapid.IntRange(1, 3).Draw(t, "organisations") {
			rate := rapid.SampledFrom([]float64{1, 3, 10, 40, 100}).Draw(t, "rate")
			caps[fmt.Sprintf("org-%d", i)] = quota.Cap{Rate: rate, Burst: rate * rapid.SampledFrom([]float64{0, 0.5, 1, 2}).Draw(t, "burst")}
		}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), nodes, caps)
		s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		s.maxDelay = time.Duration(rapid.SampledFrom([]int{4, 80, 600}).Draw(t, "delay_ms")) * time.Millisecond
		s.retries = rapid.Bool().Draw(t, "retries")
		s.readDelay = time.Duration(rapid.SampledFrom([]int{100, 2500, 8000}).Draw(t, "read_ms")) * time.Millisecond
		const until = 25 * time.Second
		over := rapid.Float64Range(0.5, 8).Draw(t, "load")
		only := rapid.IntRange(0, nodes).Draw(t, "only")
		// Saved tokens show only in loads with pauses.
		quiet := time.Duration(rapid.SampledFrom([]int{0, 1000, 2500}).Draw(t, "quiet_ms")) * time.Millisecond
		s.quiet = quiet
		for _, o := range slices.Sorted(maps.Keys(caps)) {
			c := caps[o]
			s.load(o, c.Rate*over, until, func() *simNode {
				if only < nodes {
					return s.nodes[only]
				}
				return s.anyNode()
			})
		}
		failures(t, s, until)
		s.watchShares(10*time.Millisecond, until)
		s.run(until)
		for o, c := range caps {
			requireCap(t, s, o, c, 0)
		}
		require.LessOrEqual(t, s.sharesInUse, 1+1e-6)
	})
}

// Guards against a cap that is exceeded when a configuration raises or lowers it, which the nodes
// learn within 2.5 s in any order, under failures. A lowered cap binds one window after that.
func TestCapHoldsWhenItChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(3, 12).Draw(t, "nodes")
		draw := func(label string) quota.Cap {
			rate := rapid.SampledFrom([]float64{2, 10, 50, 120}).Draw(t, label)
			return quota.Cap{Rate: rate, Burst: rate}
		}
		before, after := draw("before"), draw("after")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), nodes, map[string]quota.Cap{"org": before})
		s.loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss")
		const changeAt, spread, until = 8 * time.Second, 2500 * time.Millisecond, 25 * time.Second
		s.load("org", 4*max(before.Rate, after.Rate), until, s.anyNode)
		changed := map[string]quota.Cap{"org": after}
		s.after(changeAt, func() { s.caps = changed })
		for _, n := range s.nodes {
			s.after(changeAt+time.Duration(s.random.Int64N(int64(spread))), func() {
				if n.quota != nil {
					n.quota.SetCaps(n.clock(), changed)
				}
			})
		}
		failures(t, s, until)
		s.watchShares(10*time.Millisecond, until)
		s.run(until)
		require.LessOrEqual(t, s.sharesInUse, 1+1e-6)
		requireCap(t, s, "org", quota.Cap{Rate: max(before.Rate, after.Rate), Burst: max(before.Burst, after.Burst)}, 0)
		requireCap(t, s, "org", after, changeAt+spread+capWindow)
	})
}

// Guards against parts of a cap that cannot be used: without failures, an organisation that sends
// three times its cap gets nearly all of it, from one node, from all nodes, and with 1 to 5
// requests a second over 83 nodes.
func TestWholeCapIsUsable(t *testing.T) {
	for _, c := range []struct {
		name      string
		nodes     int
		rate      float64
		burst     float64
		one       bool
		over      float64
		minUsable float64
	}{
		{"one node gets all traffic", 9, 100, 100, true, 3, 0.97},
		{"all nodes get equal parts", 9, 100, 100, false, 3, 0.97},
		{"one of 83 nodes gets all traffic", 83, 100, 100, true, 3, 0.97},
		{"83 nodes get equal parts", 83, 100, 100, false, 3, 0.97},
		{"83 nodes, 1 request a second", 83, 1, 1, false, 3, 0.9},
		{"83 nodes, 2 requests a second", 83, 2, 2, false, 3, 0.93},
		{"83 nodes, 5 requests a second", 83, 5, 5, false, 3, 0.95},
		{"83 nodes, 5 requests a second, no burst", 83, 5, 0, false, 3, 0.85},
		{"83 nodes, 7.5 times the cap", 83, 60, 60, false, 7.5, 0.97},
	} {
		t.Run(c.name, func(t *testing.T) {
			limit := quota.Cap{Rate: c.rate, Burst: c.burst}
			s := newSimulation(7, c.nodes, map[string]quota.Cap{"org": limit})
			const from, until = 6 * time.Second, 36 * time.Second
			pick := s.anyNode
			if c.one {
				pick = func() *simNode { return s.nodes[1] }
			}
			s.load("org", c.over*c.rate, until, pick)
			s.run(until)
			got := float64(usedSince(s.used["org"], from)) / (until - from).Seconds() / c.rate
			t.Logf("%.1f %% of the cap used, %v", 100*got, s.verdicts["org"])
			require.GreaterOrEqual(t, got, c.minUsable)
			requireCap(t, s, "org", limit, 0)
		})
	}
}

// Guards against rejections below the cap: an organisation that sends its usual rate, 1/1.6 of the
// cap, is served, and tokens that were asked ahead and lost do not count against it.
func TestUsualRateIsNotRejected(t *testing.T) {
	for _, rate := range []float64{1.6, 8, 60, 400} {
		t.Run(fmt.Sprintf("cap %g", rate), func(t *testing.T) {
			s := newSimulation(3, 83, map[string]quota.Cap{"org": {Rate: rate, Burst: rate}})
			const from, until = 6 * time.Second, 66 * time.Second
			s.run(from)
			s.load("org", rate/1.6, until, s.anyNode)
			s.run(until)
			v := s.verdicts["org"]
			t.Logf("%v", v)
			require.Zero(t, v[quota.Unknown])
			require.LessOrEqual(t, v[quota.OverCap]*50, v[quota.Admitted], "more than 2 %% of the requests at the usual rate are rejected")
		})
	}
}
