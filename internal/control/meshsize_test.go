package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/directory"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/published"
)

// timeAt returns a time on the clock of a node.
func timeAt(now time.Duration) Time { return Time{Now: now, UnixMS: 1_000_000 + now.Milliseconds()} }

func nodeAnnouncement(id mesh.NodeID, i int) directory.Announcement {
	return directory.Announcement{Node: id, Zone: "a", StartUnixMS: 1_000_000, Sequence: 1, RPCAddress: address(i), CallAddress: address(i)}
}

// withCaps returns a configuration with a usage cap.
func withCaps(t *testing.T, version published.Version) *published.Config {
	c := &published.Config{Version: version, Organisations: []published.Organisation{{Name: "north", Rate: 10}}}
	require.NoError(t, c.Prepare())
	return c
}

// newSizeControl returns a node that knows others.
func newSizeControl(others ...mesh.NodeID) *Control {
	c := New(Options{Self: nodeAnnouncement("self", 1)})
	for i, id := range others {
		c.Step(timeAt(0), AnnouncementRead{Announcement: nodeAnnouncement(id, i+2)})
	}
	return c
}

// Guards against a node that uses a share of a cap before it knows among how many nodes caps are
// divided, and against costs of deployments without caps.
func TestMeshSizeIsKnownOnceTheListIsRead(t *testing.T) {
	c := newSizeControl("b", "c")
	c.Step(timeAt(time.Second), Tick{})
	require.Zero(t, c.published.MeshSize)
	c.Step(timeAt(time.Second), FeedCaughtUp{Feed: MeshFeed})
	c.Step(timeAt(time.Second), Tick{})
	require.Zero(t, c.published.MeshSize, "no caps")
	require.Nil(t, c.published.Unresponsive, "no caps")
	require.Zero(t, c.State(timeAt(time.Second)).MeshSize, "no caps")

	c.Step(timeAt(time.Second), ConfigPublished{Config: withCaps(t, 1)})
	require.Equal(t, 3, c.published.MeshSize)
	require.Equal(t, 3, c.State(timeAt(time.Second)).MeshSize)
}

// Guards against a restarted node that learns too small a number of nodes while the store is
// unreachable and a part of the mesh is cut off, and against one that never uses its share then.
func TestMeshSizeIsLearnedFromPeers(t *testing.T) {
	old := newSizeControl("b", "c", "d")
	old.Step(timeAt(0), FeedCaughtUp{Feed: MeshFeed})
	old.Step(timeAt(0), ConfigPublished{Config: withCaps(t, 1)})
	old.Step(timeAt(0), Tick{})
	// All others expire.
	old.Step(timeAt(2*time.Minute), Tick{})
	require.Equal(t, 4, old.published.MeshSize)

	young := New(Options{Self: nodeAnnouncement("e", 9)})
	young.Step(timeAt(time.Second), ConfigPublished{Config: withCaps(t, 1)})
	require.Zero(t, young.published.MeshSize)
	young.Step(timeAt(time.Second), PeerStateReceived{State: old.State(timeAt(2 * time.Minute))})
	young.Step(timeAt(time.Second), Tick{})
	require.Equal(t, 4, young.published.MeshSize)
	young.Step(timeAt(9*time.Minute), Tick{})
	require.Less(t, young.published.MeshSize, 4, "the number is forgotten ten minutes after it was observed")
}

// Guards against an absurd number of nodes that makes all shares vanish.
func TestAbsurdMeshSizeIsRefused(t *testing.T) {
	c := newSizeControl("b")
	s := newSizeControl().State(timeAt(0))
	s.Announcement = nodeAnnouncement("b", 2)
	s.MeshSize = maxMeshSize + 1
	require.Error(t, s.validate(timeAt(0)))
	s.MeshSize, s.MeshSizeAgeMS = 3, -1
	require.Error(t, s.validate(timeAt(0)))
	c.Step(timeAt(0), PeerStateReceived{State: s})
	require.False(t, c.meshSize.heard)
}
