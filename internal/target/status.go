package target

import (
	"net/http"

	"heathercroft.example/heathercroft/internal/httpjson"
	"heathercroft.example/heathercroft/pkg/mesh"
)

// Status is the answer of GET /control and POST /control.
type Status struct {
	Target      string                `json:"target"`
	Zone        mesh.AvailabilityZone `json:"zone"`
	Session     string                `json:"session"`
	State       mesh.TargetState      `json:"state"`
	InFlight    int                   `json:"in_flight"`
	Connections int64                 `json:"connections"`
	// Served counts the requests that got a slot.
	Served  int64   `json:"served"`
	Control Control `json:"control"`
}

// Status returns the control and the counters.
func (s *Server) Status() Status {
	control, _ := s.switches.get()
	return Status{
		Target: s.settings.Name, Zone: s.settings.Zone, Session: s.session(),
		State: s.gate.state(), InFlight: s.gate.load(), Connections: s.open.Load(),
		Served: s.served.Load(), Control: control,
	}
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, s.Status())
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	control, err := s.switches.merge(r.Body)
	if err != nil {
		httpjson.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	s.logger.Info("control changed", "event", "target_control", "control", control)
	httpjson.Write(w, http.StatusOK, s.Status())
}
