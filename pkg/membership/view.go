package membership

import (
	"cmp"
	"slices"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// cachedEndpoints is the endpoint list of one generation.
type cachedEndpoints struct {
	generation uint64
	list       []Endpoint
}

// Endpoints returns the targets of all members that are not dead, including the
// local one, ordered by node. The slice is shared until the generation
// changes and must not be modified.
func (m *Machine) Endpoints() []Endpoint {
	if m.endpointCache.generation == m.generation {
		return m.endpointCache.list
	}
	var list []Endpoint
	add := func(k Member) {
		if k.State == Dead || k.Target == nil {
			return
		}
		list = append(list, Endpoint{
			Endpoint: mesh.Endpoint{
				Node: k.Info.ID, Session: k.Info.Session, Zone: k.Info.Zone, CallAddress: k.Info.CallAddress,
				Service: k.Target.Service, Version: k.Target.Version, Slots: k.Target.Slots, StartedUnixMS: k.Target.StartedUnixMS,
			},
			Leaving:     k.Leaving || k.Target.State == mesh.TargetLeaving,
			Suspect:     k.State == Suspect,
			Damped:      k.Damped,
			Unreachable: !m.zones.get(k.Info.Zone).link.Reachable,
		})
	}
	add(m.self())
	for _, id := range m.table.ids {
		add(m.table.members[id].view())
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.Node, b.Node) })
	m.endpointCache = cachedEndpoints{generation: m.generation, list: list}
	return list
}

// Members returns all known members, including the local one and dead ones,
// ordered by zone and node. Detail.Revision and Detail.NACK are the last ones
// received from a member.
func (m *Machine) Members() []Member {
	list := []Member{m.self()}
	for _, id := range m.table.ids {
		list = append(list, m.table.members[id].view())
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Info.Zone, b.Info.Zone), cmp.Compare(a.Info.ID, b.Info.ID))
	})
	return list
}

// Zones returns the known zones in order of their names.
func (m *Machine) Zones() []ZoneStatus {
	var list []ZoneStatus
	m.updateOwnSummary()
	for _, name := range m.knownZones() {
		z := m.zones.get(name)
		status := ZoneStatus{
			Zone: name, Reachable: z.link.Reachable, LastContact: z.lastContact, ContactKnown: z.contactKnown, Summary: z.summary,
		}
		if name == m.cfg.Self.Zone {
			status.LastContact, status.ContactKnown = m.now, true
		}
		if z.summary.Version == 0 {
			status.Summary = m.localSummary(name)
		}
		list = append(list, status)
	}
	return list
}

func (m *Machine) self() Member {
	u := m.selfUpdate()
	return Member{Detail: *u.Detail, Incarnation: u.Incarnation, State: u.State}
}

func (k *member) view() Member {
	return Member{
		Detail: k.detail, Incarnation: k.incarnation, State: k.state, Since: k.since, Damped: k.dampedUntil > 0,
	}
}
