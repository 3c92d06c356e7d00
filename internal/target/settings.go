package target

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/settings"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// Settings configures one stand-in target.
type Settings struct {
	Name    string                `toml:"name"`
	Zone    mesh.AvailabilityZone `toml:"zone"`
	Service string                `toml:"service"`
	Version string                `toml:"version"`
	// Listen is the TCP address of the HTTP listener.
	Listen string `toml:"listen"`
	// AnnounceURL is the base URL of the node beside the target.
	AnnounceURL string `toml:"announce_url"`
	// OutboundURL is the node's base URL for calls of the target; AnnounceURL if empty.
	OutboundURL string `toml:"outbound_url"`
	// Downstream are the paths that the target calls while it serves a request.
	Downstream  []string    `toml:"downstream"`
	Slots       int         `toml:"slots"`
	Connections int         `toml:"connections"`
	ServiceTime ServiceTime `toml:"service_time"`
	ColdStart   ColdStart   `toml:"cold_start"`
	// ConnectionCost is the work for the first request of a connection.
	ConnectionCost settings.Duration `toml:"connection_cost"`
	// ProbeCost is the work for a request to /healthz or /load.
	ProbeCost  settings.Duration `toml:"probe_cost"`
	DrainLimit settings.Duration `toml:"drain_limit"`
	Report     Report            `toml:"report"`
}

// Report is what the health and load endpoints show at first; POST /control changes it.
type Report struct {
	Health HealthMode `toml:"health"`
	// Lag is the age of the health and load reports.
	Lag settings.Duration `toml:"lag"`
	// LoadFactor multiplies the load that is reported.
	LoadFactor float64 `toml:"load_factor"`
}

// ServiceTime is how long a request takes: Base plus a uniform part of Jitter.
type ServiceTime struct {
	Base   settings.Duration `toml:"base"`
	Jitter settings.Duration `toml:"jitter"`
}

// ColdStart makes the first requests, or the requests of the first time, slower by Extra.
type ColdStart struct {
	Requests int               `toml:"requests"`
	Duration settings.Duration `toml:"duration"`
	Extra    settings.Duration `toml:"extra"`
}

// DefaultSettings returns the settings that hold where the file says nothing.
func DefaultSettings() *Settings {
	return &Settings{
		Listen:         "127.0.0.1:0",
		Slots:          12,
		Connections:    100,
		ServiceTime:    ServiceTime{Base: settings.Duration(5 * time.Millisecond), Jitter: settings.Duration(2 * time.Millisecond)},
		ConnectionCost: settings.Duration(time.Millisecond),
		ProbeCost:      settings.Duration(5 * time.Millisecond),
		DrainLimit:     settings.Duration(5 * time.Minute),
		Report:         Report{Health: HealthTruth, LoadFactor: 1},
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	for key, value := range map[string]string{"name": s.Name, "service": s.Service, "version": s.Version, "listen": s.Listen} {
		if value == "" {
			return errors.Newf("%s is empty", key)
		}
	}
	if _, err := netip.ParseAddrPort(s.Listen); err != nil {
		return errors.Newf("listen %q is no IP address with a port", s.Listen)
	}
	if s.OutboundURL == "" {
		s.OutboundURL = s.AnnounceURL
	}
	if err := checkURL("announce_url", s.AnnounceURL); err != nil {
		return err
	}
	if err := checkURL("outbound_url", s.OutboundURL); err != nil {
		return err
	}
	for _, path := range s.Downstream {
		if !strings.HasPrefix(path, "/") {
			return errors.Newf("downstream path %q does not start with /", path)
		}
	}
	switch {
	case s.Slots < 1:
		return errors.New("slots is under 1")
	case s.Connections < 1:
		return errors.New("connections is under 1")
	case s.ServiceTime.Base < 0 || s.ServiceTime.Jitter < 0:
		return errors.New("service_time is negative")
	case s.ColdStart.Requests < 0 || s.ColdStart.Duration < 0 || s.ColdStart.Extra < 0:
		return errors.New("cold_start is negative")
	case s.ConnectionCost < 0:
		return errors.New("connection_cost is negative")
	case s.ProbeCost < 0:
		return errors.New("probe_cost is negative")
	case s.DrainLimit <= 0:
		return errors.New("drain_limit is not positive")
	}
	control, _ := newSwitchboard(s.Report).get()
	return errors.Wrap(control.Validate(), "report")
}

func checkURL(key, text string) error {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		return errors.Newf("%s %q is no http URL", key, text)
	}
	return nil
}
