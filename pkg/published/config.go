package published

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Version is the version of a configuration; later configurations have larger
// versions. Zero means that none is known.
type Version uint64

// Kind determines whether requests of a route may be retried.
type Kind string

// Route kinds.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Upload requests carry large bodies and run at most once.
	Upload Kind = "upload"
	// Download requests have large responses and may run more than once.
	Download Kind = "download"
)

// Repeatable reports whether a request of the kind may be retried after a failure
// after which it may have run.
func (k Kind) Repeatable() bool { return k == Safe || k == Download }

// known reports whether this build knows the kind.
func (k Kind) known() bool {
	switch k {
	case Safe, NonIdempotent, Upload, Download:
		return true
	default:
		return false
	}
}

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route sends requests of a host and path prefix to one or more services.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the maximum time until the final response.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective: a response within this time has its full
	// value.
	Objective time.Duration `json:"objective"`
	// Priority orders the requests that wait for a target; 0 is the most urgent.
	Priority int `json:"priority"`
	// MaxAttempts is the maximum number of targets that one request is sent to.
	MaxAttempts      int               `json:"max_attempts"`
	WeightedServices []WeightedService `json:"parts"`
	// Public is set if requests of the route need no key of an organisation.
	Public bool `json:"public,omitempty"`
	// AllowedRegions holds the regions whose targets may get requests of the route. Empty means all.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
}

// Service holds the settings that all targets of a service share.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// Connections is the number of connections that a target accepts.
	Connections int `json:"connections"`
	// ColdTime is how long a target is cold after its start.
	ColdTime time.Duration `json:"cold_time,omitempty"`
	// ColdRate is the number of requests per second that a cold target takes from all nodes
	// together, 0 if it takes any number.
	ColdRate float64 `json:"cold_rate,omitempty"`
}

// Limits bounds the size and duration of client requests.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Config is a published configuration. It is immutable after Prepare.
type Config struct {
	Version  Version            `json:"version"`
	Routes   []Route            `json:"routes"`
	Services map[string]Service `json:"services"`
	Limits   Limits             `json:"limits"`
	// Organisations holds the organisations whose requests are accepted. If there are any, a
	// request needs a key of one, unless its route is public.
	Organisations []Organisation `json:"organisations,omitempty"`

	routesByHost        map[string][]*Route
	organisationsByKey  map[KeyHash]*Organisation
	organisationsByName map[string]*Organisation
}

// Prepare validates the whole configuration and builds its index.
func (c *Config) Prepare() error {
	if c.Version == 0 {
		return errors.New("configuration without a version")
	}
	type hostPrefix struct{ host, prefix string }
	seen := make(map[hostPrefix]string, len(c.Routes))
	c.routesByHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := c.checkRoute(r); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		key := hostPrefix{strings.ToLower(r.Host), r.Prefix}
		if other, ok := seen[key]; ok {
			return errors.Newf("routes %q and %q have the same host and prefix", other, r.Name)
		}
		seen[key] = r.Name
		c.routesByHost[key.host] = append(c.routesByHost[key.host], r)
	}
	for name, s := range c.Services {
		if s.ColdRate < 0 || s.ColdTime < 0 {
			return errors.Newf("service %q: cold rate %g and cold time %s must not be negative", name, s.ColdRate, s.ColdTime)
		}
	}
	return c.indexOrganisations()
}

func (c *Config) checkRoute(r *Route) error {
	switch {
	case r.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Newf("prefix %q does not begin and end with a slash", r.Prefix)
	case !r.Kind.known():
		return errors.Newf("unknown kind %q", r.Kind)
	case r.Timeout <= 0:
		return errors.Newf("timeout is %s, want more than 0", r.Timeout)
	case len(r.WeightedServices) == 0:
		return errors.New("no service")
	}
	total := 0
	for _, w := range r.WeightedServices {
		if _, ok := c.Services[w.Service]; !ok {
			return errors.Newf("service %q is not part of the configuration", w.Service)
		}
		if w.Weight < 0 {
			return errors.Newf("weight of service %q is %d, want 0 or more", w.Service, w.Weight)
		}
		total += w.Weight
	}
	if total == 0 {
		return errors.New("the weights add up to 0")
	}
	return nil
}

// Lookup returns the route of the host with the longest prefix of the path, or nil
// if no route matches. A port in host is ignored.
func (c *Config) Lookup(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	var best *Route
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// RoutesTo reports whether the route can send requests to the service.
func (r *Route) RoutesTo(service string) bool {
	for _, w := range r.WeightedServices {
		if w.Service == service && w.Weight > 0 {
			return true
		}
	}
	return false
}

// PickService returns the service at position x of the cumulative weights, where
// x is at least 0 and less than 1.
func (r *Route) PickService(x float64) string {
	total := 0
	for _, w := range r.WeightedServices {
		total += w.Weight
	}
	at := x * float64(total)
	for _, w := range r.WeightedServices {
		at -= float64(w.Weight)
		if at < 0 {
			return w.Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
