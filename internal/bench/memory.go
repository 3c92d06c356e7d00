package bench

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/pkg/distribution"
	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/membership"
	"heathercroft.example/heathercroft/pkg/mesh"
	"heathercroft.example/heathercroft/pkg/routing"
)

// MemoryConfig sets up the measurement of the memory of one reducer.
type MemoryConfig struct {
	// Members are the numbers of known members; services grow with them.
	Members []int
	// Copies is how many reducers are built for each size.
	Copies int
	Seed   uint64
}

// Memory measures the heap of a reducer with its routing table, and the CPU time
// of a table build and of a second of ticks, as members, endpoints, services
// and routes grow together.
func Memory(ctx context.Context, c MemoryConfig, out *Output) error {
	t := &Table{
		Name: "memory", Subject: "one reducer with its routing table, several copies in one process", Seed: c.Seed,
		Columns: []string{
			"members", "services", "routes", "heap_mib", "table_build_us", "ticks_us_per_s", "encode_state_bytes",
		},
		Fits: map[string]Fit{},
		Notes: []string{
			"a member is a node with one target; 15 zones; services and routes: 0.18 for each member, as in the plan",
			"heap after garbage collection, without the buffers of the process, its connections and garbage between collections",
			"ticks: the reducer's timers alone, wall time of one thread, no messages; the other members do not answer",
		},
	}
	var x, heaps, builds, ticks []float64
	for _, members := range c.Members {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		m := measureMemory(members, c.Copies, c.Seed)
		t.Add(members, m.services, m.services, m.heap/(1<<20), m.build, m.ticks, m.encoded)
		fmt.Println(t.Rows[len(t.Rows)-1])
		x, heaps = append(x, float64(members)), append(heaps, m.heap/(1<<20))
		builds, ticks = append(builds, m.build), append(ticks, m.ticks)
	}
	t.Fits["heap_mib over members"] = FitLine(x, heaps)
	t.Fits["table_build_us over members"] = FitLine(x, builds)
	t.Fits["ticks_us_per_s over members"] = FitLine(x, ticks)
	if err := out.Table(t); err != nil {
		return err
	}
	return out.Plot("memory", Axes{Title: "Heap of a reducer with its routing table", X: "members", Y: "MiB"},
		Series{Name: "heap", X: x, Y: heaps})
}

type memoryMeasure struct {
	services           int
	heap, build, ticks float64
	encoded            int
}

func measureMemory(members, copies int, seed uint64) memoryMeasure {
	// The simulation is only used for the log and the identities of the nodes.
	perZone := (members + 14) / 15
	shape := &Simulation{byRPC: map[netip.AddrPort]*simNode{}}
	shape.log, shape.services = newSimLog(shape), max(1, members*450/2500)
	shape.configure()
	for z := range 15 {
		for i := range perZone {
			shape.add(z, i)
		}
	}
	shape.nodes = shape.nodes[:min(members, len(shape.nodes))]
	before := heapBytes()
	cores := make([]*core.Core, copies)
	tables := make([]*routing.Table, copies)
	for i := range cores {
		cores[i] = shape.fill(seed + uint64(i))
		tables[i] = routing.Build(cores[i].Routing(), routing.NewTracker(), 0)
	}
	m := memoryMeasure{services: shape.services, heap: float64(heapBytes()-before) / float64(copies)}
	start := time.Now()
	const builds = 5
	for range builds {
		tables[0] = routing.Build(cores[0].Routing(), routing.NewTracker(), 0)
	}
	m.build = float64(time.Since(start).Microseconds()) / builds
	start = time.Now()
	for i := range 10 {
		cores[0].Step(core.Time{Now: time.Second + time.Duration(i)*core.TickInterval}, core.Tick{})
	}
	m.ticks = float64(time.Since(start).Microseconds())
	if data, err := cores[0].State().Encode(); err == nil {
		m.encoded = len(data)
	}
	runtime.KeepAlive(cores)
	runtime.KeepAlive(tables)
	return m
}

// fill returns a reducer that has read the log and heard of all members, each
// with strings of its own as after decoding.
func (s *Simulation) fill(seed uint64) *core.Core {
	self := s.nodes[0].info
	self.Session = "000000000001-00000001"
	c := core.New(core.Config{Self: self, StartUnixMS: 1, Seed: seed, Keys: idempotency.DefaultConfig(self.ID, self.Session)})
	at := core.Time{Now: time.Millisecond, UnixMS: s.unixMS()}
	c.Step(at, core.Started{})
	for _, n := range s.nodes[1:] {
		c.Step(at, core.MembershipReceived{Message: n.aliveMessage()})
	}
	peer := s.nodes[1].info.ID
	c.Step(at, core.PushReceived{Push: distribution.Push{From: peer, Root: peer, Entries: s.log.entries}})
	return c
}

// aliveMessage is what a member says about itself, copied as decoding does.
func (n *simNode) aliveMessage() membership.Message {
	target := n.target()
	info := n.info
	info.ID = mesh.NodeID(append([]byte(nil), info.ID...))
	info.Session = mesh.SessionID(fmt.Sprintf("000000000001-%08x", len(info.ID)))
	info.Zone = mesh.AvailabilityZone(append([]byte(nil), info.Zone...))
	info.Region = mesh.Region(append([]byte(nil), info.Region...))
	target.Service = string(append([]byte(nil), target.Service...))
	return membership.Message{
		From: membership.Header{Node: info.ID, Session: info.Session, Zone: info.Zone, RPCAddress: info.RPCAddress, Incarnation: 1},
		Updates: []membership.Update{{
			Node: info.ID, Session: info.Session, Incarnation: 1, State: membership.Alive,
			Detail: &membership.Detail{Info: info, Target: &target},
		}},
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
