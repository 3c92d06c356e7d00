package target

import (
	"io"
	"sync"
	"time"

	"heathercroft.example/heathercroft/internal/httpjson"
)

// switchboard holds the current control and the time at which its faults were set.
type switchboard struct {
	mu       sync.Mutex
	control  Control
	switched time.Time
}

func newSwitchboard(r Report) *switchboard {
	return &switchboard{
		control: Control{
			Health: r.Health, ReportLagMS: r.Lag.Std().Milliseconds(), LoadFactor: r.LoadFactor, Faults: []Fault{},
		},
		switched: time.Now(),
	}
}

// get returns the control and the time since its faults were set.
func (s *switchboard) get() (Control, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control, time.Since(s.switched)
}

// merge changes the keys that a JSON body holds and keeps the others. A list of
// faults replaces the whole list and restarts its delays.
func (s *switchboard) merge(body io.Reader) (Control, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.control
	// Decoding into the old list would write into the array that requests in flight read.
	next.Faults = nil
	if next.RateLimit != nil {
		limit := *next.RateLimit
		next.RateLimit = &limit
	}
	if err := httpjson.ReadStrict(body, &next); err != nil {
		return s.control, err
	}
	replaced := next.Faults != nil
	if !replaced {
		next.Faults = s.control.Faults
	}
	if err := next.Validate(); err != nil {
		return s.control, err
	}
	s.control = next
	if replaced {
		s.switched = time.Now()
	}
	return next, nil
}
