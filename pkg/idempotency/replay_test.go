package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	faultNodes = 8
	faultSeed  = 42
	// callsPerStep is the number of keyed calls that start in each step. Each is sent up to
	// twice, since callers retry a call that did not run.
	callsPerStep = 12
)

// outcomeCounts counts the final outcomes of calls.
type outcomeCounts map[string]int

func (s outcomeCounts) String() string {
	total := s["answered"] + s["not-run"] + s["may-have-run"]
	part := func(name string) float64 { return 100 * float64(s[name]) / float64(max(total, 1)) }
	return fmt.Sprintf("%d keyed calls: %.2f %% answered, %.2f %% not-run, %.2f %% may-have-run",
		total, part("answered"), part("not-run"), part("may-have-run"))
}

// runFault simulates one fault. If minted is set, callers get a key from the node that they
// send to, and a new key from another node if the first outcome is not-run.
func runFault(minted bool, length time.Duration, fault func(s *sim, at time.Duration)) (outcomeCounts, error) {
	pick := seeded(faultSeed)
	s := newSim(faultNodes, pick, mutations{})
	s.maxKeys, s.slots = 1<<20, 64
	for _, n := range s.nodes {
		s.restart(n)
	}
	s.advance(2 * time.Minute)
	result := outcomeCounts{}
	for start := s.now; s.now < start+length; {
		fault(s, s.now-start)
		for range callsPerStep {
			result[s.callOnce(minted)]++
		}
		s.advance(simStep)
	}
	return result, s.violation
}

// callOnce sends a keyed call and, if it did not run, retries it once through another node.
func (s *sim) callOnce(minted bool) string {
	n := s.nodes[s.pick(len(s.nodes), "node")]
	key := fmt.Sprintf("call-%d", s.nextID)
	if minted {
		key = idempotency.Mint(n.id, mesh.SessionID(fmt.Sprintf("s%d", n.session)), key)
	}
	answer := s.sendAndArrive(n, key)
	if answer == "not-run" {
		o := s.nodes[s.pick(len(s.nodes), "other")]
		if minted {
			key = idempotency.Mint(o.id, mesh.SessionID(fmt.Sprintf("s%d", o.session)), key)
		}
		answer = s.sendAndArrive(o, key)
	}
	if answer == "ran" || answer == "replayed" {
		return "answered"
	}
	return answer
}

func noFault(*sim, time.Duration) {}

// crash stops node 0 after 10 s and restarts it with a new session one minute later.
func crash(s *sim, at time.Duration) {
	if at == 10*time.Second {
		s.nodes[0].paused = true
	}
	if at == 70*time.Second {
		s.restart(s.nodes[0])
	}
}

func outage(s *sim, at time.Duration) { s.outage = at >= 10*time.Second && at < 310*time.Second }

// zonePartition partitions nodes 0 and 1 from the platform and the other nodes for an hour.
func zonePartition(s *sim, at time.Duration) {
	cut := at >= 10*time.Second && at < 10*time.Second+time.Hour
	for _, n := range s.nodes[:2] {
		n.logUnreachable = cut
		for _, o := range s.nodes[2:] {
			s.partitioned[[2]int{n.index, o.index}] = cut
		}
	}
}

// Guards against violations under the faults that docs/notes/at-most-once.md discusses, and
// logs the figures for that page.
func TestAvailabilityReplay(t *testing.T) {
	for _, c := range []struct {
		name   string
		length time.Duration
		fault  func(*sim, time.Duration)
	}{
		{"no fault", 10 * time.Minute, noFault},
		{"owner crash", 10 * time.Minute, crash},
		{"platform outage of 5 min", 10 * time.Minute, outage},
		{"zone cut of 1 h", 75 * time.Minute, zonePartition},
	} {
		for name, minted := range map[string]bool{"(c) leased slots": false, "(d) minted keys": true} {
			result, err := runFault(minted, c.length, c.fault)
			require.NoError(t, err)
			require.Positive(t, result["answered"])
			t.Logf("%s, %s: %s", c.name, name, result)
		}
	}
}
