package query

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/record"
	"heathercroft.example/heathercroft/pkg/state"
)

// show executes a query that doesn't wait.
func show(b Backend, c Command) Reply {
	s := b.State()
	reply := Reply{Status: StatusDone, Revision: s.Revision, Reason: staleness(b.InForce())}
	switch c := c.(type) {
	case ShowInForce:
		return showInForce(b, c, reply)
	case ShowServices:
		reply.Services = serviceRows(s)
	case ShowRoutes:
		reply.Routes = routeRows(s)
	case ShowMoves:
		reply.Moves = moveRows(b, s)
		reply.UnseenZones = unseen(b.InForce())
	case ShowNodes:
		reply.Nodes = nodeRows(b)
		reply.UnseenZones = unseen(b.InForce())
	case ShowZones:
		reply.Zones = zoneRows(b.InForce())
		reply.UnseenZones = unseen(b.InForce())
	case ShowWaiting:
		for _, w := range b.Waiting() {
			reply.Waiting = append(reply.Waiting, WaitingRow(w))
		}
	default:
		panic(fmt.Sprintf("command without a rule: %T", c))
	}
	return reply
}

// staleness returns a warning if the node's state may be out of date.
func staleness(f InForce) string {
	if f.PlatformReachable {
		return ""
	}
	return "this node can't reach the platform; newer changes may exist"
}

func unseen(f InForce) []string {
	var zones []string
	for _, z := range f.Zones {
		if !z.Visible {
			zones = append(zones, z.Zone)
		}
	}
	return zones
}

func showInForce(b Backend, c ShowInForce, reply Reply) Reply {
	s, f := b.State(), b.InForce()
	wanted := newestConfiguration(s, "")
	if c.Service != "" {
		if _, ok := s.Services[c.Service]; !ok {
			return refuse(b, errors.Newf("service %q does not exist", c.Service))
		}
		wanted = newestConfiguration(s, c.Service)
	}
	if c.Zone != "" {
		f.Zones = slices.DeleteFunc(slices.Clone(f.Zones), func(z ZoneReport) bool { return z.Zone != c.Zone })
		if len(f.Zones) == 0 {
			return refuse(b, errors.Newf("zone %q is not known; the known zones are %s", c.Zone, zoneNames(b.InForce())))
		}
	}
	coverage := coverageOf(f, wanted)
	reply.setCoverage(coverage)
	reply.InForce = coverage.rows
	for i := range reply.InForce {
		reply.InForce[i].Service = c.Service
	}
	return reply
}

func zoneNames(f InForce) string {
	names := make([]string, 0, len(f.Zones))
	for _, z := range f.Zones {
		names = append(names, z.Zone)
	}
	return strings.Join(names, ", ")
}

// newestConfiguration returns the latest revision of the services, routes and
// moves, or of those that belong to one service. Deleted objects are not counted,
// since the state keeps no revision for them.
func newestConfiguration(s *state.State, service string) record.Revision {
	newest := record.Revision(0)
	for _, v := range s.Services {
		if service == "" || v.Name == service {
			newest = max(newest, v.Revision)
		}
	}
	for _, v := range s.Routes {
		if service == "" || v.Service == service {
			newest = max(newest, v.Revision)
		}
	}
	for _, v := range s.Rollouts {
		if service == "" || v.Service == service {
			newest = max(newest, v.Revision)
		}
	}
	return newest
}

func serviceRows(s *state.State) []ServiceRow {
	var rows []ServiceRow
	for _, n := range slices.Sorted(maps.Keys(s.Services)) {
		svc := s.Services[n]
		row := ServiceRow{Name: n, Revision: svc.Revision}
		for _, v := range svc.Versions {
			row.Versions = append(row.Versions, VersionRow{Version: v, Weight: svc.Weights[v]})
		}
		rows = append(rows, row)
	}
	return rows
}

func routeRows(s *state.State) []RouteRow {
	var rows []RouteRow
	for _, n := range slices.Sorted(maps.Keys(s.Routes)) {
		rows = append(rows, RouteRow(s.Routes[n]))
	}
	return rows
}

// nodeRows returns the known nodes. Nodes in zones that can't be reached get the
// state "unknown", whatever their last known state.
func nodeRows(b Backend) []NodeReport {
	hidden := unseen(b.InForce())
	rows := slices.Clone(b.Nodes())
	for i := range rows {
		if slices.Contains(hidden, rows[i].Zone) {
			rows[i].State = string(ZoneUnknown)
		}
	}
	return rows
}

func zoneRows(f InForce) []ZoneRow {
	var rows []ZoneRow
	for _, z := range f.Zones {
		row := ZoneRow{Zone: z.Zone, Region: z.Region, Visible: z.Visible, Nodes: z.Nodes, AsOf: z.AsOf}
		row.Lowest, row.Highest = revisionRange(z)
		rows = append(rows, row)
	}
	return rows
}

func showPrice(b Backend, c Change) Reply {
	body, _, err := prepare(b, "price", c)
	if err != nil {
		return refuse(b, err)
	}
	price := b.Price(body, c.Wait)
	return Reply{Status: StatusDone, Revision: b.State().Revision, PriceBefore: &price}
}
