package logservice

import (
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/settings"
)

// Settings configures the stand-in of the platform log.
type Settings struct {
	// Listen is the TCP address of the HTTP listener.
	Listen string `toml:"listen"`
	// RetentionRecords is how many records a stream keeps; 0 keeps all.
	RetentionRecords int `toml:"retention_records"`
	// RetentionTime is how long a stream keeps a record; 0 keeps it for ever.
	RetentionTime settings.Duration `toml:"retention_time"`
	// AppendsPerSecond is the append rate over all streams.
	AppendsPerSecond float64 `toml:"appends_per_second"`
	// AppendBurst is how many appends may come at once.
	AppendBurst int `toml:"append_burst"`
}

// DefaultSettings returns the settings that hold where the file says nothing.
func DefaultSettings() *Settings {
	return &Settings{
		Listen:           "127.0.0.1:7400",
		RetentionRecords: 100_000,
		RetentionTime:    settings.Duration(24 * time.Hour),
		AppendsPerSecond: 300,
		AppendBurst:      50,
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	switch {
	case s.Listen == "":
		return errors.New("listen is empty")
	case s.RetentionRecords < 0:
		return errors.New("retention_records is negative")
	case s.RetentionTime < 0:
		return errors.New("retention_time is negative")
	case s.AppendsPerSecond <= 0:
		return errors.New("appends_per_second is not positive")
	case s.AppendBurst < 1:
		return errors.New("append_burst is under 1")
	}
	return nil
}
