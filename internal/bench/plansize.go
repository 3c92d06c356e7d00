package bench

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/internal/logclient"
	"heathercroft.example/heathercroft/internal/rpc"
	"heathercroft.example/heathercroft/internal/testbed"
)

// PlanSizeConfig sets up one node process that is told of many members.
type PlanSizeConfig struct {
	Bin, Dir string
	// Members are the numbers of members it knows, ascending.
	Members []int
	// Settle and Window are the times before and of each measurement.
	Settle, Window time.Duration
}

// PlanSize measures memory and CPU of one node process that has read 450
// services and routes and is told of more and more members. The members do not
// exist, so those of its own zone soon count as dead; they are still remembered.
func PlanSize(ctx context.Context, c PlanSizeConfig, out *Output) error {
	bed := testbed.New(c.Dir, c.Bin)
	bed.Direct = true
	defer bed.Close()
	if err := bed.StartPlatform(""); err != nil {
		return err
	}
	shape := planShape()
	if err := appendSetup(ctx, bed, shape); err != nil {
		return err
	}
	m, err := bed.Start(testbed.MemberOptions{Name: string(shape.nodes[0].info.ID), Zone: string(zoneName(0)), ZoneID: 1})
	if err != nil {
		return err
	}
	if err := m.WaitReady(startLimit); err != nil {
		return err
	}
	t := &Table{
		Name: "plan-size", Subject: "one node process without calls; the members do not exist",
		Columns: []string{"members_told", "members_known", "taken_in_s", "rss_mib", "anonymous_mib", "cpu_percent"},
		Fits:    map[string]Fit{},
		Notes: []string{
			"450 services and 450 routes in the log; members of 14 other zones stay live as unreachable, those of the own zone are dead after seconds",
			"taken in: time to tell the node of the further members one message each, and until it knows them",
			"CPU includes attempts to reach the members, which are refused at once",
		},
	}
	client := rpc.NewClient(&rpc.Counters{}, netip.Addr{})
	defer client.Close()
	var x, rss, cpu []float64
	told := 1
	for _, members := range c.Members {
		start := time.Now()
		for ; told < members; told++ {
			if err := client.Call(ctx, m.RPC(), core.MethodMembership, shape.nodes[told].aliveMessage(), nil); err != nil {
				return errors.Wrap(err, "tell of a member")
			}
		}
		if err := testbed.WaitFor(startLimit, func() error { return knows(m, members) }); err != nil {
			t.Notes = append(t.Notes, err.Error())
		}
		took := time.Since(start)
		time.Sleep(c.Settle)
		known, used, err := sampleWindow(m, c.Window)
		if err != nil {
			return err
		}
		t.Add(members, known, took.Seconds(), float64(used.RSS)/(1<<20), float64(used.Anonymous)/(1<<20),
			100*used.CPU.Seconds()/c.Window.Seconds())
		fmt.Println(t.Rows[len(t.Rows)-1])
		x, rss = append(x, float64(members)), append(rss, float64(used.RSS)/(1<<20))
		cpu = append(cpu, 100*used.CPU.Seconds()/c.Window.Seconds())
	}
	t.Fits["rss_mib over members"] = FitLine(x, rss)
	t.Fits["cpu_percent over members"] = FitLine(x, cpu)
	if err := out.Table(t); err != nil {
		return err
	}
	return out.Plot("plan-size", Axes{Title: "Resident memory of a node process", X: "members known", Y: "MiB"},
		Series{Name: "one process", X: x, Y: rss})
}

// planShape has the identities of the plan's nodes and the records of its
// services. All addresses are loopback ones on which nothing listens.
func planShape() *Simulation {
	s := &Simulation{byRPC: map[netip.AddrPort]*simNode{}, services: 450}
	s.log = newSimLog(s)
	s.configure()
	for z := range 15 {
		for i := range 167 {
			s.add(z, i)
		}
	}
	for i, n := range s.nodes {
		address := netip.AddrFrom4([4]byte{127, 250, byte(i / 167), byte(i % 167)})
		n.info.RPCAddress, n.info.CallAddress = netip.AddrPortFrom(address, 7001), netip.AddrPortFrom(address, 7002)
	}
	return s
}

// appendSetup appends the records of the services below the rate limit.
func appendSetup(ctx context.Context, bed *testbed.Bed, s *Simulation) error {
	client := logclient.New(bed.PlatformURL(), &http.Client{Transport: &http.Transport{}})
	for _, e := range s.log.entries {
		if _, err := client.Append(ctx, "heathercroft", e.Data); err != nil {
			return errors.Wrap(err, "append setup")
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

func sampleWindow(m *testbed.Member, d time.Duration) (known int, used Usage, err error) {
	before, err := ReadUsage(m.Node.PID())
	if err != nil {
		return 0, used, err
	}
	time.Sleep(d)
	after, err := ReadUsage(m.Node.PID())
	if err != nil {
		return 0, used, err
	}
	known, err = knownMembers(m)
	return known, after.since(before), err
}

// knows fails unless a node knows a number of members.
func knows(m *testbed.Member, members int) error {
	known, err := knownMembers(m)
	if err == nil && known < members {
		err = errors.Newf("%d of %d members known", known, members)
	}
	return err
}

func knownMembers(m *testbed.Member) (int, error) {
	var vars struct {
		Distribution struct {
			Members int `json:"members"`
		} `json:"heathercroft_distribution"`
	}
	err := testbed.Get(m.AdminURL()+"/debug/vars", &vars)
	return vars.Distribution.Members, err
}
