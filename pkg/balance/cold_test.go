package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/admission"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// coldMesh simulates callers' nodes and the queues of targets without a network. Reports come with
// each reply.
type coldMesh struct {
	random    *rand.Rand
	callers   []*balance.Balancer
	endpoints []balance.Endpoint
	queues    []*admission.Queue
	// sent and refused count the requests to each target.
	sent, refused []int
}

func newColdMesh(callers, targets int) *coldMesh {
	m := &coldMesh{random: rand.New(rand.NewPCG(1, 2)), sent: make([]int, targets), refused: make([]int, targets)}
	for range callers {
		m.callers = append(m.callers, balance.New("a"))
	}
	for i := range targets {
		m.endpoints = append(m.endpoints, balance.Endpoint{Node: "n" + meshID(i), Zone: "a", Target: "t" + string(meshID(i)), Slots: 12})
		m.queues = append(m.queues, admission.NewQueue(12))
	}
	return m
}

func meshID(i int) (id mesh.NodeID) { return mesh.NodeID(string(rune('a' + i))) }

const coldServiceTime = 50 * time.Millisecond

// run sends requests at a rate for a time. Each takes coldServiceTime.
func (m *coldMesh) run(from, to time.Duration, perSecond float64) {
	type end struct {
		at       time.Duration
		caller   *balance.Balancer
		target   int
		ticket   *admission.Ticket
		endpoint balance.Endpoint
	}
	var running []end
	for now := from; now < to; now += time.Millisecond {
		for len(running) > 0 && running[0].at <= now {
			e := running[0]
			running = running[1:]
			m.queues[e.target].Done(e.ticket, true, now)
			e.caller.End(e.endpoint, 1000)
			e.caller.UpdateLoad(e.endpoint, m.report(e.target, now), now)
		}
		if m.random.Float64() >= perSecond/1000 {
			continue
		}
		caller := m.callers[m.random.IntN(len(m.callers))]
		r := balance.Request{ExpectedServiceTime: coldServiceTime, Objective: 300 * time.Millisecond, Bytes: 1000, Senders: len(m.callers)}
		choice, ok := caller.Choose(m.endpoints, r, now, m.random.Float64)
		if !ok {
			continue
		}
		i := int(choice.Endpoint.Node[1] - 'a')
		m.sent[i]++
		caller.Begin(choice.Endpoint, 1000)
		ticket, decision, _ := m.queues[i].Submit(admission.Request{Rank: 2, ExpectedServiceTime: coldServiceTime, FinishBy: now + coldServiceTime + time.Millisecond}, now)
		if decision != admission.Admit {
			m.refused[i]++
			caller.End(choice.Endpoint, 1000)
			caller.UpdateLoad(choice.Endpoint, m.report(i, now), now)
			continue
		}
		running = append(running, end{now + coldServiceTime, caller, i, ticket, choice.Endpoint})
	}
	for _, e := range running {
		m.queues[e.target].Done(e.ticket, true, to)
		e.caller.End(e.endpoint, 1000)
	}
}

func (m *coldMesh) report(i int, now time.Duration) balance.LoadReport {
	q := m.queues[i]
	r := balance.LoadReport{Running: q.Running(), Waiting: q.Waiting(), Slowdown: 1, MeanServiceTime: coldServiceTime}
	r.RateLimit, r.RateAvailable, r.RateLimited = q.RateLimit(now)
	_, burst := q.ColdLimit(now)
	r.RateBurst = float64(burst)
	return r
}

// Guards against callers' nodes that find out by refusals that a target is cold: once they know it,
// few requests go there that it refuses, for few and for many nodes, and the rate that it takes is
// used.
func TestLoadMovesToWarmTargetsBeforeARefusal(t *testing.T) {
	for _, callers := range []int{3, 89} {
		m := newColdMesh(callers, 4)
		m.run(0, 3*time.Second, 150)
		for i := range m.sent {
			require.InDelta(t, 112, m.sent[i], 40, "target %d of a warm mesh", i)
		}
		m.sent, m.refused = make([]int, 4), make([]int, 4)
		now := 3 * time.Second
		until := now + 3*time.Second
		m.queues[0].SetCold(15, until, now)
		m.endpoints[0].Cold, m.endpoints[0].ColdRate = true, 15
		m.run(now, until, 150)
		require.LessOrEqual(t, m.refused[0], 8, "of %d sent by %d nodes", m.sent[0], callers)
		require.LessOrEqual(t, m.sent[0], 60, "%d nodes", callers)
		require.Zero(t, m.refused[1]+m.refused[2]+m.refused[3])
		// The load rises in steps afterwards.
		m.endpoints[0].Cold = false
		for step := range 6 {
			from := until + time.Duration(step)*500*time.Millisecond
			m.endpoints[0].ColdRate, _ = admission.ColdRate(15, until, from)
			m.run(from, from+500*time.Millisecond, 150)
		}
		m.sent, m.refused = make([]int, 4), make([]int, 4)
		m.run(until+3*time.Second, until+6*time.Second, 150)
		require.Greater(t, m.sent[0], 50, "the target gets its share again from %d nodes", callers)
	}
}

// Guards against a presumption of callers' nodes that outlives the report of the node beside the
// target, which knows better.
func TestReportEndsTheAssumedColdLimit(t *testing.T) {
	cold := balance.Endpoint{Node: "cold", Zone: "a", Target: "t1", Slots: 12, ColdRate: 15}
	b := balance.New("a")
	request := balance.Request{ExpectedServiceTime: coldServiceTime, Objective: 300 * time.Millisecond, Senders: 89}
	admissible := func(now time.Duration) bool {
		c, ok := b.Choose([]balance.Endpoint{cold}, request, now, func() float64 { return 0 })
		require.True(t, ok, "a cold target is better than none")
		return c.Admissible
	}
	require.False(t, admissible(0))
	require.False(t, admissible(3*time.Second), "an old estimate is no reason to try")
	b.UpdateLoad(cold, balance.LoadReport{Slowdown: 1}, 3*time.Second)
	require.True(t, admissible(3*time.Second))
	b.UpdateLoad(cold, balance.LoadReport{Slowdown: 1, RateLimited: true, RateLimit: 15, RateAvailable: 0.2, RateBurst: 1}, 4*time.Second)
	require.False(t, admissible(4*time.Second))
	cold.ColdRate = 0
	require.True(t, admissible(7*time.Second))
}
