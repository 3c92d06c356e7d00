package evaluation

import (
	"slices"
	"time"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// Profile is a mesh with its traffic.
type Profile struct {
	Name string
	// Zones hold one worker of each version and NodesPerZone nodes each.
	Zones        []mesh.AvailabilityZone
	NodesPerZone int
	Services     []ServiceLoad
	// Durations from start to deadline that scenarios draw from.
	Durations []time.Duration
}

// ServiceLoad is the traffic of one service.
type ServiceLoad struct {
	Name string
	// Rate is in calls per second over the whole mesh.
	Rate   float64
	Routes []RouteLoad
}

// RouteLoad is one route of a service.
type RouteLoad struct {
	Name string
	// Part of the service's calls, all routes together 1.
	Part float64
	// Median latency of a healthy call.
	Median time.Duration
}

func routes(prefix string, median time.Duration) []RouteLoad {
	return []RouteLoad{
		{prefix + "-read", 0.7, median},
		{prefix + "-list", 0.2, 2 * median},
		{prefix + "-write", 0.1, 3 * median},
	}
}

// Parapluie returns the day traffic of Parapluie Atlas Recovery: three services with
// four workers, some tens of calls per second each.
func Parapluie() Profile {
	return Profile{
		Name:         "parapluie",
		Zones:        []mesh.AvailabilityZone{"casa-a", "casa-b", "rabat-a", "rabat-b"},
		NodesPerZone: 3,
		Services: []ServiceLoad{
			{"finder", 60, routes("finder", 12*time.Millisecond)},
			{"courier", 30, routes("courier", 20*time.Millisecond)},
			{"depot", 20, routes("depot", 30*time.Millisecond)},
		},
		Durations: []time.Duration{10 * time.Minute, 30 * time.Minute, 2 * time.Hour},
	}
}

// DalaNight returns the night traffic of Dala Lessons Collective: a few calls a
// minute per service.
func DalaNight() Profile {
	return Profile{
		Name:         "dala-night",
		Zones:        []mesh.AvailabilityZone{"kz-south-a", "kz-south-b", "kz-south-c", "kz-south-d"},
		NodesPerZone: 3,
		Services: []ServiceLoad{
			{"library", 6.0 / 60, routes("library", 15*time.Millisecond)},
			{"publisher", 3.0 / 60, routes("publisher", 40*time.Millisecond)},
			{"media-desk", 4.0 / 60, routes("media-desk", 60*time.Millisecond)},
		},
		Durations: []time.Duration{30 * time.Minute, 2 * time.Hour, 8 * time.Hour},
	}
}

// Profiles returns all profiles, or only the one with the given name.
func Profiles(only string) []Profile {
	all := []Profile{Parapluie(), DalaNight()}
	if only == "" {
		return all
	}
	return slices.DeleteFunc(all, func(p Profile) bool { return p.Name != only })
}
