package target

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault is one way in which the target misbehaves. The first four fields say which
// requests it concerns; a field that is empty or 0 concerns all of them.
type Fault struct {
	// Version concerns only targets of this version, so that all targets can be sent the same control.
	Version string `json:"version,omitempty"`
	// PathPrefix concerns requests by path.
	PathPrefix string `json:"path_prefix,omitempty"`
	// AboveInFlight concerns requests that find more than this many in flight.
	AboveInFlight int `json:"above_in_flight,omitempty"`
	// StartAfterMS is the delay from the switch to the start of the fault.
	StartAfterMS int64 `json:"start_after_ms,omitempty"`

	// ErrorShare of the requests is executed and answered with status 500.
	ErrorShare float64 `json:"error_share,omitempty"`
	// LatencyMS is added to the service time.
	LatencyMS int64 `json:"latency_ms,omitempty"`
	// TruncateShare of the answers ends in mid body with a closed connection.
	TruncateShare float64 `json:"truncate_share,omitempty"`
	// SilentShare of the requests is read and never answered; neither are later ones on the same connection.
	SilentShare float64 `json:"silent_share,omitempty"`
}

// HealthMode is what the health endpoint reports.
type HealthMode string

// The health modes.
const (
	HealthTruth     HealthMode = "truth"
	HealthAlwaysOK  HealthMode = "ok"
	HealthAlwaysBad HealthMode = "failing"
)

// Control is the part of the behavior that can be switched while the target runs.
type Control struct {
	Faults []Fault `json:"faults"`
	// RateLimit is the number of requests per second that the target names in its responses;
	// null for none. The target itself does not enforce it.
	RateLimit *float64 `json:"rate_limit"`
	// SignalLeaving makes the target say in its responses that it is shutting down, as it
	// does while it drains.
	SignalLeaving bool `json:"signal_leaving"`
	// CrashOnHeader makes a request with the header X-Fault-Crash: 1 end the process.
	CrashOnHeader bool       `json:"crash_on_header"`
	Health        HealthMode `json:"health"`
	// ReportLagMS is the age of what the health and load endpoints report.
	ReportLagMS int64 `json:"report_lag_ms"`
	// LoadFactor multiplies the load that the load endpoint reports.
	LoadFactor float64 `json:"load_factor"`
}

const (
	// maxFaults bounds the work per request.
	maxFaults = 32
	// maxDelayMS bounds every delay of a control.
	maxDelayMS = 600_000
)

// Validate checks the values; the error names the key.
func (c Control) Validate() error {
	switch c.Health {
	case HealthTruth, HealthAlwaysOK, HealthAlwaysBad:
	default:
		return errors.Newf("health %q is none of truth, ok, failing", c.Health)
	}
	if c.ReportLagMS < 0 || c.ReportLagMS > maxReportLag.Milliseconds() {
		return errors.Newf("report_lag_ms is outside 0 to %d", maxReportLag.Milliseconds())
	}
	if c.RateLimit != nil && (*c.RateLimit < 0 || math.IsNaN(*c.RateLimit)) {
		return errors.New("rate_limit is negative or no number")
	}
	if c.LoadFactor < 0 {
		return errors.New("load_factor is negative")
	}
	if len(c.Faults) > maxFaults {
		return errors.Newf("faults has over %d entries", maxFaults)
	}
	for i, f := range c.Faults {
		if err := f.validate(); err != nil {
			return errors.Newf("faults[%d]: %v", i, err)
		}
	}
	return nil
}

func (f Fault) validate() error {
	for key, share := range map[string]float64{
		"error_share": f.ErrorShare, "truncate_share": f.TruncateShare, "silent_share": f.SilentShare,
	} {
		if share < 0 || share > 1 {
			return errors.Newf("%s is outside 0 to 1", key)
		}
	}
	for key, ms := range map[string]int64{"latency_ms": f.LatencyMS, "start_after_ms": f.StartAfterMS} {
		if ms < 0 || ms > maxDelayMS {
			return errors.Newf("%s is outside 0 to %d", key, maxDelayMS)
		}
	}
	if f.AboveInFlight < 0 {
		return errors.New("above_in_flight is negative")
	}
	return nil
}

// effect is what the faults do to one request.
type effect struct {
	fail, truncate, silent bool
	latency                time.Duration
}

// request is what a fault looks at.
type request struct {
	version  string
	path     string
	inFlight int
	// sinceSwitch is the time since the control was set.
	sinceSwitch time.Duration
}

func (f Fault) concerns(r request) bool {
	return (f.Version == "" || f.Version == r.version) &&
		strings.HasPrefix(r.path, f.PathPrefix) &&
		(f.AboveInFlight == 0 || r.inFlight > f.AboveInFlight) &&
		r.sinceSwitch >= time.Duration(f.StartAfterMS)*time.Millisecond
}

// effectOn combines the faults that concern a request.
func (c Control) effectOn(r request) effect {
	var e effect
	for _, f := range c.Faults {
		if !f.concerns(r) {
			continue
		}
		e.fail = e.fail || drawn(f.ErrorShare)
		e.truncate = e.truncate || drawn(f.TruncateShare)
		e.silent = e.silent || drawn(f.SilentShare)
		e.latency += time.Duration(f.LatencyMS) * time.Millisecond
	}
	return e
}

func drawn(share float64) bool { return share > 0 && rand.Float64() < share }
