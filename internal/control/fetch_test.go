package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

func preparedConfig(t *testing.T, v published.Version) *published.Config {
	c := &published.Config{Version: v}
	require.NoError(t, c.Prepare())
	return c
}

// configDeadline is how long after its confirmation a configuration must be in force.
const configDeadline = 2 * time.Second

// requireConfig requires that nodes have a version in force.
func (m *testMesh) requireConfig(version published.Version, except ...mesh.NodeID) {
	m.t.Helper()
	var late []mesh.NodeID
	for _, n := range m.nodes {
		excepted := n.dead
		for _, id := range except {
			excepted = excepted || n.id == id
		}
		if !excepted && n.configVersion() < version {
			late = append(late, n.id)
		}
	}
	require.Empty(m.t, late, "without version %d", version)
}

// Guards against a node that gets a configuration late since the node from which it requests it
// does not respond, although others have it as well.
func TestConfigurationIsFetchedFromAnotherNodeIfTheFirstDoesNotRespond(t *testing.T) {
	m := newTestMesh(t, manyTargets(30)...)
	for _, n := range m.nodes {
		m.step(n, ConfigPublished{Config: preparedConfig(t, 1)})
	}
	m.run(time.Second)
	readers := m.readers()
	m.failedFetches = map[mesh.NodeID]bool{readers[0]: true}
	for _, id := range readers[:2] {
		m.step(m.node(id), ConfigPublished{Config: preparedConfig(t, 2)})
	}
	m.run(configDeadline)
	m.requireConfig(2)
}

// Guards against a node that knows of a newer configuration and waits for another message before
// it requests it.
func TestConfigurationIsFetchedWithoutAFurtherMessage(t *testing.T) {
	m := newTestMesh(t, "v1", "v1", "v1")
	for _, n := range m.nodes {
		m.step(n, ConfigPublished{Config: preparedConfig(t, 1)})
	}
	m.step(m.nodes[0], ConfigPublished{Config: preparedConfig(t, 2)})
	for _, n := range m.nodes[1:] {
		m.step(n, PeerStateReceived{State: m.nodes[0].State(m.time())})
	}
	m.muted = true
	m.run(configDeadline)
	m.requireConfig(2)
}
