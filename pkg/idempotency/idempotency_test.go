package idempotency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/state"
)

// runEpisode runs random actions and faults in a simulation and returns the first violation.
func runEpisode(pick chooseFunc, b mutations, actions int) (*sim, error) {
	s := newSim(2+pick(3, "nodes"), pick, b)
	s.advance(time.Duration(pick(3, "settle")) * 30 * time.Second)
	for range actions {
		s.act()
		if s.violation != nil {
			break
		}
	}
	// Finally deliver the requests that are still in flight.
	for len(s.inFlight) > 0 && s.violation == nil {
		s.arrive(s.inFlight[0], s.nodes[s.pick(len(s.nodes), "at")])
	}
	return s, s.violation
}

func (s *sim) act() {
	n := s.nodes[s.pick(len(s.nodes), "node")]
	switch s.pick(20, "action") {
	case 0, 1, 2, 3:
		s.send(n, s.key(n))
	case 4, 5, 6:
		s.retry(n)
	case 7, 8, 9:
		if len(s.inFlight) > 0 {
			s.arrive(s.inFlight[s.pick(len(s.inFlight), "flight")], n)
		}
	case 10:
		if len(s.inFlight) > 0 {
			s.abandon(s.inFlight[s.pick(len(s.inFlight), "flight")])
		}
	case 11, 12:
		s.advance(simStep)
	case 13, 14:
		s.advance([]time.Duration{20 * time.Second, 62 * time.Second, 80 * time.Second, 200 * time.Second}[s.pick(4, "time")])
	case 15:
		n.paused = !n.paused
	case 16:
		s.restart(n)
	case 17:
		s.outage = !s.outage && s.pick(2, "outage") == 0
		n.logUnreachable = !n.logUnreachable
	case 18:
		o := s.nodes[s.pick(len(s.nodes), "other")]
		pair := [2]int{min(n.index, o.index), max(n.index, o.index)}
		s.partitioned[pair] = !s.partitioned[pair]
	case 19:
		if !n.paused {
			o := s.nodes[s.pick(len(s.nodes), "successor")]
			s.step(n, idempotency.StopRequested{Now: s.clock(n), Successor: o.id})
		}
	}
}

// key returns a new key, chosen by a caller or minted by a node.
func (s *sim) key(n *simNode) string {
	random := fmt.Sprintf("k%d", s.nextID)
	for i := 0; state.SlotOf(random) >= simSlots; i++ {
		random = fmt.Sprintf("k%d-%d", s.nextID, i)
	}
	if s.pick(4, "minted") == 0 {
		return idempotency.Mint(n.id, mesh.SessionID(fmt.Sprintf("s%d", n.session)), random)
	}
	return random
}

// retry sends a recent key again, within the retry horizon of its caller.
func (s *sim) retry(n *simNode) {
	var recent []string
	for _, tx := range s.sent[max(0, len(s.sent)-8):] {
		if s.now-s.firstSent[tx.key] <= idempotency.DefaultRetryHorizon {
			recent = append(recent, tx.key)
		}
	}
	if len(recent) > 0 {
		s.send(n, recent[s.pick(len(recent), "key")])
	}
}

// Guards against a key that runs twice, a not-run reply for a request that ran, the response
// of another key and more stored keys than the limit, under random combinations of pauses,
// clock drift, lost and late appends, platform outages, network partitions, crashes and
// handovers.
func TestKeysRunAtMostOnce(t *testing.T) {
	ran, replayed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		s, err := runEpisode(pick, mutations{}, 120)
		require.NoError(t, err)
		for _, tx := range s.sent {
			switch tx.answer {
			case "ran":
				ran++
			case "replayed":
				replayed++
			}
		}
	})
	require.Positive(t, ran, "no request ran, so the check is void")
	require.Positive(t, replayed, "no response was replayed, so the check is void")
}

// Guards against the same violations in a fixed set of longer episodes.
func TestKeysRunAtMostOnceOverSeeds(t *testing.T) {
	for seed := range uint64(100) {
		_, err := runEpisode(seeded(seed), mutations{}, 400)
		require.NoError(t, err, "seed %d", seed)
	}
}

func seeded(seed uint64) chooseFunc {
	r := rand.New(rand.NewPCG(seed, 1))
	return func(n int, _ string) int { return r.IntN(n) }
}

// Mutation test: the checks must detect each deliberate fault in the mechanism.
func TestChecksSeeBrokenMechanism(t *testing.T) {
	for name, c := range map[string]struct {
		broken mutations
		want   string
	}{
		"successor does not wait":      {mutations{noTakeoverWait: true}, "ran twice"},
		"lost connection is not-run":   {mutations{lossAsNotRun: true}, "answered not-run and ran"},
		"answer of another request":    {mutations{responsesSwapped: true}, "got the stored answer"},
		"memory shorter than horizon":  {mutations{shortRetention: true}, "ran twice"},
		"refused request runs":         {mutations{refuseThenRun: true}, "answered not-run and ran"},
		"limit of keys is not applied": {mutations{unboundedKeys: true}, "remembers"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(400) {
				if _, err := runEpisode(seeded(seed), c.broken, 400); err != nil {
					require.ErrorContains(t, err, c.want, "seed %d", seed)
					return
				}
			}
			t.Fatal("no seed detected the mutation")
		})
	}
}

// scenario returns a simulated mesh of two nodes in which all slots are claimed, a key, its
// owner and the other node.
func scenario(b mutations) (s *sim, key string, owner, other *simNode) {
	s = newSim(2, func(n int, _ string) int { return n - 1 }, b)
	s.advance(30 * time.Second)
	key = s.key(s.nodes[0])
	where, _ := idempotency.Locate(key, &s.nodes[0].state.KeySlots)
	owner = s.nodeByID(where.Node)
	return s, key, owner, s.nodes[1-owner.index]
}

func (s *sim) sendAndArrive(n *simNode, key string) string {
	tx := s.send(n, key)
	for len(s.inFlight) > 0 {
		s.arrive(s.inFlight[0], n)
	}
	return tx.answer
}

// Guards against an owner that is partitioned from the log and still executes requests after
// its successor has taken over. The check must detect this when lease and fencing are
// disabled.
func TestPartitionedOwnerStops(t *testing.T) {
	run := func(b mutations) (before, after string, err error) {
		s, key, owner, other := scenario(b)
		owner.logUnreachable = true
		s.advance(idempotency.DefaultLease + idempotency.DefaultLeaseMargin + 10*time.Second)
		s.advance(2 * idempotency.DefaultRetryHorizon)
		return s.sendAndArrive(owner, key), s.sendAndArrive(other, key), s.violation
	}
	before, after, err := run(mutations{})
	require.NoError(t, err)
	require.Equal(t, []string{"not-run", "ran"}, []string{before, after})
	_, _, err = run(mutations{noLeaseOrFence: true})
	require.ErrorContains(t, err, "ran twice")
}

// Guards against a successor that runs a key again after a graceful stop of the owner. The
// check must detect this when the handover is empty.
func TestHandoverKeepsAnswers(t *testing.T) {
	run := func(b mutations) (string, error) {
		s, key, owner, other := scenario(b)
		s.sendAndArrive(owner, key)
		s.step(owner, idempotency.StopRequested{Now: s.clock(owner), Successor: other.id})
		s.advance(10 * time.Second)
		return s.sendAndArrive(other, key), s.violation
	}
	answer, err := run(mutations{})
	require.NoError(t, err)
	require.Equal(t, "replayed", answer)
	_, err = run(mutations{emptyHandover: true})
	require.ErrorContains(t, err, "ran twice")
}

// Guards against a duplicate that runs concurrently with the first request, or that is
// answered before the first request has finished.
func TestDuplicateWaitsForFirst(t *testing.T) {
	s, key, owner, _ := scenario(mutations{})
	first, second := s.send(owner, key), s.send(owner, key)
	require.Len(t, s.inFlight, 1)
	require.False(t, second.settled)
	s.arrive(s.inFlight[0], owner)
	require.Equal(t, []string{"ran", "replayed"}, []string{first.answer, second.answer})
}

// Guards against a minted key that is run by another session of its node.
func TestMintedKeyBelongsToOneSession(t *testing.T) {
	s, _, owner, other := scenario(mutations{})
	key := idempotency.Mint("node.with.dots", "s1", "r")
	parsed, ok := idempotency.ParseMinted(key)
	require.True(t, ok)
	require.Equal(t, idempotency.MintedKey{Node: "node.with.dots", Session: "s1", Random: "r"}, parsed)
	key = idempotency.Mint(owner.id, "s1", "r")
	s.outage = true
	s.advance(time.Hour)
	require.Equal(t, "ran", s.sendAndArrive(other, key))
	require.Equal(t, "replayed", s.sendAndArrive(other, key))
	s.restart(owner)
	require.Equal(t, "may-have-run", s.sendAndArrive(other, key))
	for _, bad := range []string{"hc1.", "hc1.a", "hc1.a.b", "hc1..b.c", "hc1.a..c", "hc1.a.b.", "x"} {
		_, ok := idempotency.ParseMinted(bad)
		require.False(t, ok, bad)
	}
}
