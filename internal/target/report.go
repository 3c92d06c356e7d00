package target

import (
	"context"
	"net/http"
	"sync"
	"time"

	"heathercroft.example/heathercroft/internal/httpjson"
	"heathercroft.example/heathercroft/pkg/mesh"
)

const (
	// sampleInterval is the resolution of lagging reports.
	sampleInterval = 100 * time.Millisecond
	// maxReportLag bounds the samples that are kept.
	maxReportLag = time.Minute
)

// sample is the state of the target at a time.
type sample struct {
	at       time.Time
	inFlight int
	state    mesh.TargetState
}

// history keeps the samples of the last maxReportLag, oldest first.
type history struct {
	mu      sync.Mutex
	samples []sample
}

func (h *history) add(s sample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	drop := 0
	for drop < len(h.samples) && s.at.Sub(h.samples[drop].at) > maxReportLag {
		drop++
	}
	h.samples = append(h.samples[drop:], s)
}

// before returns the newest sample that is not after a time, or else the oldest one.
func (h *history) before(at time.Time) (sample, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(at) || i == 0 {
			return h.samples[i], true
		}
	}
	return sample{}, false
}

// Sample records the state of the target for lagging reports until ctx ends.
func (s *Server) Sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		s.history.add(s.now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) now() sample {
	return sample{at: time.Now(), inFlight: s.gate.load(), state: s.gate.state()}
}

// reported returns the state that the health and load endpoints show.
func (s *Server) reported(c Control) sample {
	current := s.now()
	if c.ReportLagMS == 0 {
		return current
	}
	if old, ok := s.history.before(current.at.Add(-time.Duration(c.ReportLagMS) * time.Millisecond)); ok {
		return old
	}
	return current
}

// Health is the answer of the health endpoint.
type Health struct {
	Status HealthMode `json:"status"`
}

// Load is the answer of the load endpoint.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	s.work(r.Context(), s.settings.ProbeCost.Std())
	control, _ := s.switches.get()
	ok := s.reported(control).state == mesh.TargetServing
	switch control.Health {
	case HealthAlwaysOK:
		ok = true
	case HealthAlwaysBad:
		ok = false
	}
	if !ok {
		httpjson.Write(w, http.StatusServiceUnavailable, Health{HealthAlwaysBad})
		return
	}
	httpjson.Write(w, http.StatusOK, Health{HealthAlwaysOK})
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	s.work(r.Context(), s.settings.ProbeCost.Std())
	control, _ := s.switches.get()
	inFlight := float64(s.reported(control).inFlight) * control.LoadFactor
	httpjson.Write(w, http.StatusOK, Load{InFlight: int(inFlight), Slots: s.settings.Slots})
}

// work spends time on a request and reports whether it was not cancelled.
func (s *Server) work(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
