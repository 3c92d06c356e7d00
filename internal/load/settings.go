package load

import (
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/settings"
)

// Settings configures one run of the load generator.
type Settings struct {
	// Nodes are the base URLs of nodes that calls go through.
	Nodes []string `toml:"nodes"`
	// Direct are the base URLs of targets that are called without a node, for comparison.
	Direct []string `toml:"direct"`
	// Targets are the base URLs of the targets asked for their execution counts; Direct if empty.
	Targets []string `toml:"targets"`
	// Paths are the paths of the calls, taken in turn.
	Paths []string `toml:"paths"`
	// Rate is the number of calls per second, direct ones included.
	Rate float64 `toml:"rate"`
	// DirectShare of the calls is direct.
	DirectShare float64           `toml:"direct_share"`
	Duration    settings.Duration `toml:"duration"`
	// Deadline is the time that a call may take, retries included.
	Deadline settings.Duration `toml:"deadline"`
	// MaxRetries bounds the retries of a call after not-run.
	MaxRetries int `toml:"max_retries"`
	// MaxInFlight bounds the calls in progress; calls beyond it wait, and the wait counts as latency.
	MaxInFlight int `toml:"max_in_flight"`
	// MaxConnections bounds the connections to each node and target.
	MaxConnections int `toml:"max_connections"`
	// HTTP2 uses cleartext HTTP/2.
	HTTP2 bool `toml:"http2"`
	// Seed makes the schedule repeatable; 0 takes a random one.
	Seed uint64 `toml:"seed"`
	Mix  Mix    `toml:"mix"`

	overrides Overrides
}

// Mix is what the calls are. The shares are relative to their total.
type Mix struct {
	Read   float64 `toml:"read"`
	Keyed  float64 `toml:"keyed"`
	Upload float64 `toml:"upload"`
	// ResponseBytes is the size of the body that follows each answer.
	ResponseBytes int64 `toml:"response_bytes"`
	// KeyedBytes and UploadBytes are the sizes of the request bodies.
	KeyedBytes  int64 `toml:"keyed_bytes"`
	UploadBytes int64 `toml:"upload_bytes"`
	// ConcurrentShare of the keyed calls is sent twice at once, through two nodes.
	ConcurrentShare float64 `toml:"concurrent_share"`
	// RepeatShare of the keyed calls is sent again after its answer, through another node.
	RepeatShare float64 `toml:"repeat_share"`
	// RepeatFailed sends a keyed call that failed again through another node.
	RepeatFailed bool `toml:"repeat_failed"`
}

// DefaultSettings returns the settings that hold where the file says nothing.
func DefaultSettings() *Settings {
	return &Settings{
		Paths:          []string{"/"},
		Rate:           100,
		DirectShare:    0.25,
		Duration:       settings.Duration(10 * time.Second),
		Deadline:       settings.Duration(5 * time.Second),
		MaxRetries:     3,
		MaxInFlight:    2000,
		MaxConnections: 64,
		Mix: Mix{
			Read: 0.8, Keyed: 0.15, Upload: 0.05,
			ResponseBytes: 1 << 10, KeyedBytes: 256, UploadBytes: 1 << 20,
			ConcurrentShare: 0.05, RepeatShare: 0.05, RepeatFailed: true,
		},
	}
}

// maxRate and maxDuration bound a run against a mistyped value.
const (
	maxRate     = 100_000
	maxDuration = 24 * time.Hour
)

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	s.overrides.apply(s)
	if len(s.Nodes) == 0 && len(s.Direct) == 0 {
		return errors.New("nodes and direct are empty")
	}
	for key, list := range map[string][]string{"nodes": s.Nodes, "direct": s.Direct, "targets": s.Targets} {
		for _, text := range list {
			parsed, err := url.Parse(text)
			if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
				return errors.Newf("%s: %q is no http URL", key, text)
			}
		}
	}
	if len(s.Paths) == 0 {
		return errors.New("paths is empty")
	}
	for _, path := range s.Paths {
		if !strings.HasPrefix(path, "/") || strings.Contains(path, "?") {
			return errors.Newf("paths: %q does not start with / or has a query", path)
		}
	}
	switch {
	case !(s.Rate > 0 && s.Rate <= maxRate):
		return errors.Newf("rate is outside 0 to %d", maxRate)
	case !isShare(s.DirectShare):
		return errors.New("direct_share is outside 0 to 1")
	case s.Duration <= 0 || s.Duration.Std() > maxDuration:
		return errors.Newf("duration is outside 0 to %s", maxDuration)
	case s.Deadline.Std() < time.Millisecond:
		return errors.New("deadline is under 1ms")
	case s.MaxRetries < 0:
		return errors.New("max_retries is negative")
	case s.MaxInFlight < 1:
		return errors.New("max_in_flight is under 1")
	case s.MaxConnections < 1:
		return errors.New("max_connections is under 1")
	}
	return errors.Wrap(s.Mix.validate(), "mix")
}

func (m Mix) validate() error {
	switch {
	case m.Read < 0 || m.Keyed < 0 || m.Upload < 0 || m.Read+m.Keyed+m.Upload <= 0:
		return errors.New("read, keyed and upload are negative or all 0")
	case m.ResponseBytes < 0 || m.KeyedBytes < 0 || m.UploadBytes < 0:
		return errors.New("a size is negative")
	case !isShare(m.ConcurrentShare), !isShare(m.RepeatShare), m.ConcurrentShare+m.RepeatShare > 1:
		return errors.New("concurrent_share and repeat_share are outside 0 to 1, or over 1 together")
	}
	return nil
}

func isShare(x float64) bool { return x >= 0 && x <= 1 }
