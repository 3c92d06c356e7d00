package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// newReadingMesh returns a large mesh that has read its first configuration.
func newReadingMesh(t *testing.T, nodes int) *testMesh {
	m := newTestMesh(t, manyTargets(nodes)...)
	m.silentTo = map[mesh.NodeID]bool{}
	m.config = preparedConfig(t, 1)
	m.run(3 * time.Second)
	m.requireConfig(1)
	return m
}

// Guards against nodes of a large mesh that rely on readers which talk but get no response of the
// store, or which are gone: whatever the phase of their checks, they must read a configuration
// themselves in time.
func TestConfigurationIsInForceInTimeWhenAllReadersFail(t *testing.T) {
	for name, fail := range map[string]func(m *testMesh, id mesh.NodeID){
		"silent": func(m *testMesh, id mesh.NodeID) { m.silentTo[id] = true },
		"dead":   func(m *testMesh, id mesh.NodeID) { m.node(id).dead = true },
		"cut off": func(m *testMesh, id mesh.NodeID) {
			m.silentTo[id], m.partitioned[id] = true, true
		},
	} {
		for phase := range 8 {
			t.Run(fmt.Sprintf("%s phase %d", name, phase), func(t *testing.T) {
				m := newReadingMesh(t, 40)
				m.run(time.Duration(phase) * TickInterval)
				failed := m.readers()
				require.Len(t, failed, readerCount)
				for _, id := range failed {
					fail(m, id)
				}
				m.config = preparedConfig(t, 2)
				m.run(configDeadline)
				m.requireConfig(2, failed...)
			})
		}
	}
}

// Guards against nodes whose path to most other nodes is gone as well: each one that the store
// answers has a configuration in time.
func TestConfigurationIsInForceInTimeInAFragmentedMesh(t *testing.T) {
	m := newReadingMesh(t, 40)
	m.muted = true
	var silent []mesh.NodeID
	for _, n := range m.nodes[:30] {
		m.silentTo[n.id] = true
		silent = append(silent, n.id)
	}
	m.config = preparedConfig(t, 2)
	m.run(configDeadline)
	m.requireConfig(2, silent...)
}

// Guards against a node that takes its configuration for the newest one by a message that was
// long on its way, and against a claim about a version that it does not have yet.
func TestProofsOfOthersAreDatedBack(t *testing.T) {
	m := newReadingMesh(t, 30)
	n := m.nodes[0]
	if n.view.Reader {
		n = m.nodes[1]
	}
	reader := m.node(m.readers()[0])
	before := n.fresh.toldAsOf
	m.now += 10 * time.Second
	m.step(n, ConfigChecked{From: reader.self, ConfigFreshness: ConfigFreshness{Version: 1, AgeMS: 400}, RoundTrip: 800 * time.Millisecond})
	require.Equal(t, m.now-1200*time.Millisecond, n.fresh.toldAsOf)
	m.step(n, PeerStateReceived{State: PeerState{Announcement: reader.self, Number: 1 << 40, Config: 1, ConfigAgeMS: 1}})
	require.Equal(t, m.now-1200*time.Millisecond, n.fresh.toldAsOf, "a state that was not asked for may be old")
	m.now += 10 * time.Second
	m.failedFetches = map[mesh.NodeID]bool{reader.id: true}
	m.step(n, ConfigChecked{From: reader.self, ConfigFreshness: ConfigFreshness{Version: 2, AgeMS: 1}, RoundTrip: time.Millisecond})
	require.Equal(t, m.now-11200*time.Millisecond, n.fresh.toldAsOf, "version 2 is not in force")
	require.Greater(t, n.fresh.toldAsOf, before)
	m.step(n, ConfigPublished{Config: preparedConfig(t, 2)})
	require.Equal(t, m.now-2*time.Millisecond, n.fresh.toldAsOf)
}

// Guards the costs of a large mesh: while the readers prove that the store answers them, no other
// node reads it, and the proofs take few messages.
func TestOnlyReadersReadTheStoreInNormalOperation(t *testing.T) {
	m := newReadingMesh(t, 60)
	m.configReads, m.readsByOthers, m.checks = 0, 0, 0
	const seconds = 30
	m.run(seconds * time.Second)
	require.Zero(t, m.readsByOthers)
	require.LessOrEqual(t, m.configReads, readerCount*seconds*int(time.Second/m.nodes[0].readerPollWait()))
	require.LessOrEqual(t, m.checks, len(m.nodes)*seconds*int(time.Second/checkInterval))
}

// Guards against a node that stays with a reader which does not respond, or whose own knowledge is
// old, while another one has recent knowledge.
func TestAnotherReaderIsAskedAtOnce(t *testing.T) {
	m := newReadingMesh(t, 40)
	failed := m.nodes[0].Control.readers[:2]
	m.silentTo[failed[0]] = true
	m.node(failed[1]).dead = true
	m.run(m.nodes[0].maxConfigAge())
	m.readsByOthers = 0
	m.run(3 * time.Second)
	require.Zero(t, m.readsByOthers)
}
