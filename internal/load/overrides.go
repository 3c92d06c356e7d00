package load

import (
	"time"

	"heathercroft.example/heathercroft/internal/settings"
)

// Overrides are values of the command line. One that is empty or 0 overrides nothing.
type Overrides struct {
	Rate     float64
	Duration time.Duration
	Nodes    []string
	Direct   []string
	Targets  []string
	Paths    []string
}

// LoadSettings reads a settings file, or takes the defaults if path is empty, and
// applies overrides before the check.
func LoadSettings(path string, o Overrides) (*Settings, error) {
	s := DefaultSettings()
	s.overrides = o
	if path == "" {
		return s, s.Validate()
	}
	return s, settings.Load(path, s)
}

func (o Overrides) apply(s *Settings) {
	if o.Rate != 0 {
		s.Rate = o.Rate
	}
	if o.Duration != 0 {
		s.Duration = settings.Duration(o.Duration)
	}
	replace(&s.Nodes, o.Nodes)
	replace(&s.Direct, o.Direct)
	replace(&s.Targets, o.Targets)
	replace(&s.Paths, o.Paths)
}

func replace(list *[]string, with []string) {
	if len(with) > 0 {
		*list = with
	}
}
