package sidecar

import (
	"slices"

	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// reasonRegion is the reason of a refusal if no target in the regions that the request may go to
// is left.
const reasonRegion = "region"

// inAllowedRegions returns the endpoints whose zones are in the regions that both the route and the
// organisation of a request allow. An empty list allows all.
func inAllowedRegions(regions mesh.Regions, endpoints []balance.Endpoint, route, organisation []string) []balance.Endpoint {
	if len(route) == 0 && len(organisation) == 0 {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e balance.Endpoint) bool {
		return !regions.Allows(e.Zone, route, organisation)
	})
}

// outsideZones returns the endpoints that are in none of the zones.
func outsideZones(endpoints []balance.Endpoint, zones []mesh.AvailabilityZone) []balance.Endpoint {
	if len(zones) == 0 {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e balance.Endpoint) bool { return slices.Contains(zones, e.Zone) })
}

// allowedEndpoints returns the endpoints in zones to which the call may be sent.
func (n *Node) allowedEndpoints(c *call, endpoints []balance.Endpoint) []balance.Endpoint {
	return outsideZones(inAllowedRegions(n.settings.Regions, endpoints, c.route.AllowedRegions, c.organisationRegions()), c.evacuated)
}

// organisationRegions returns the regions that the organisation of the call allows.
func (c *call) organisationRegions() []string {
	if c.organisation == nil {
		return nil
	}
	return c.organisation.AllowedRegions
}

// reasonWithoutTarget returns why there is no target for the call.
func (n *Node) reasonWithoutTarget(c *call) string {
	v := n.view.Load()
	if len(v.Evacuated) > 0 && n.onlyEvacuated(c) {
		return reasonZoneEvacuated
	}
	if len(c.route.AllowedRegions)+len(c.organisationRegions()) == 0 {
		return "no-target"
	}
	if s, ok := v.Endpoints[c.service]; ok && len(s.Old)+len(s.New) > 0 {
		return reasonRegion
	}
	return "no-target"
}

// onlyEvacuated reports whether the service has targets and all that the call may use are in
// evacuated zones.
func (n *Node) onlyEvacuated(c *call) bool {
	v := n.view.Load()
	found := false
	for _, a := range v.Announcements {
		if a.Target == nil || a.Target.Service != c.service || !a.Target.Serving ||
			!n.settings.Regions.Allows(a.Zone, c.route.AllowedRegions, c.organisationRegions()) {
			continue
		}
		if !v.IsEvacuated(a.Zone) {
			return false
		}
		found = true
	}
	return found
}

// evacuatedSince returns the Unix time in milliseconds since which each evacuated zone is evacuated.
func (n *Node) evacuatedSince() map[mesh.AvailabilityZone]int64 {
	since := map[mesh.AvailabilityZone]int64{}
	for zone, e := range n.view.Load().Evacuated {
		since[zone] = e.SinceUnixMS
	}
	return since
}
