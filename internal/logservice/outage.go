package logservice

import (
	"context"
	"net/http"
	"time"

	"heathercroft.example/heathercroft/internal/httpjson"
	"heathercroft.example/heathercroft/internal/logclient"
)

// pause waits and reports whether the client is still there.
func (s *Server) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-s.stopping:
		return true
	case <-ctx.Done():
		return false
	}
}

// admit reports whether a call may go on, and answers it during an outage.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	for {
		control, changed := s.switches.get()
		switch control.Outage {
		case OutageNone:
			return true
		case OutageReset:
			s.counters.outage.Add(1)
			panic(http.ErrAbortHandler)
		case OutageHang:
			s.hold(r.Context(), changed)
		case OutageStall:
			// An append that is held goes on even when its client has left.
			s.hold(context.WithoutCancel(r.Context()), changed)
			if !s.stopped() {
				continue
			}
		}
		s.counters.outage.Add(1)
		notRun(w, http.StatusServiceUnavailable, "log is out of service")
		return false
	}
}

// hold waits for a change of the control, the stop, or the end of ctx.
func (s *Server) hold(ctx context.Context, changed <-chan struct{}) {
	s.held.Add(1)
	defer s.held.Add(-1)
	select {
	case <-changed:
	case <-s.stopping:
	case <-ctx.Done():
	}
}

func (s *Server) stopped() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

func notRun(w http.ResponseWriter, status int, message string) {
	w.Header().Set(logclient.OutcomeHeader, logclient.OutcomeNotRun)
	httpjson.Fail(w, status, message)
}
