package convergence

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/record"
)

// TestMain fixes the seed of the property tests, so that each run gives the
// same verdict, unless one is given on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func membershipApplied(now time.Duration, revision record.Revision, nack string) membership.Event {
	return membership.RevisionApplied{Now: now, Revision: revision, NACK: nack}
}

// requireComplete fails unless all nodes that are up know each other as alive.
func requireComplete(t require.TestingT, p *pump) {
	for _, n := range p.up() {
		require.Empty(t, n.missing(), "%s at %v", n.info.ID, p.now)
	}
}

// missing returns the nodes that are up and that n does not hold as alive.
func (n *node) missing() []string {
	state := make(map[string]membership.State)
	for _, k := range n.member.Members() {
		state[string(k.Info.Session)] = k.State
	}
	var missing []string
	for _, other := range n.pump.up() {
		if s := state[string(other.info.Session)]; s != membership.Alive && s != membership.Leaving {
			missing = append(missing, string(other.info.ID)+"="+string(s))
		}
	}
	return missing
}

// TestStart guards against a mesh that does not form or does not get ready.
func TestStart(t *testing.T) {
	p := newMesh(1, 3, 5)
	p.runFor(15 * time.Second)
	requireComplete(t, p)
	revision := p.platform.append("a")
	d, ok := p.runUntil(9*time.Second, func() bool { return len(p.behind(revision)) == 0 })
	require.True(t, ok, p.behind(revision))
	t.Logf("converged in %v", d)
	for _, n := range p.up() {
		require.True(t, n.ready, n.dist.Status())
	}
	require.Empty(t, p.violations)
}
