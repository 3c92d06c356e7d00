package membership

import (
	"math"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Guards against a message that names a target which no request can reach, or that no later process
// replaces.
func TestUpdatesWithOddTargetsAreInvalid(t *testing.T) {
	update := func(change func(*Detail)) Update {
		target := mesh.Target{Service: "s", Version: "v1", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 4, State: mesh.TargetServing, StartedUnixMS: 1}
		d := &Detail{Info: mesh.NodeInfo{ID: "n", Session: "s", Zone: "a", RPCAddress: netip.MustParseAddrPort("10.0.0.1:1")}, Target: &target}
		change(d)
		return Update{Node: "n", Session: "s", State: Alive, Detail: d}
	}
	require.True(t, update(func(*Detail) {}).valid())
	for name, change := range map[string]func(*Detail){
		"port of the node": func(d *Detail) { d.Info.RPCAddress = netip.MustParseAddrPort("10.0.0.1:0") },
		"port":             func(d *Detail) { d.Target.Address = netip.MustParseAddrPort("10.0.0.1:0") },
		"slots":            func(d *Detail) { d.Target.Slots = math.MaxInt },
		"slots negative":   func(d *Detail) { d.Target.Slots = -5 },
		"connections":      func(d *Detail) { d.Target.Connections = -1 },
		"started":          func(d *Detail) { d.Target.StartedUnixMS = math.MaxInt64 },
		"state":            func(d *Detail) { d.Target.State = "odd" },
		"service":          func(d *Detail) { d.Target.Service = "" },
	} {
		t.Run(name, func(t *testing.T) { require.False(t, update(change).valid()) })
	}
}
