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

// serveControl changes the keys that the body holds and keeps the others. A list
// of faults replaces the whole previous list.
func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	control, err := s.switches.set(func(c Control) (Control, error) {
		// Decoding into the old list would write into the array that requests in flight read.
		old := c.Faults
		c.Faults = nil
		if err := httpjson.ReadStrict(r.Body, &c); err != nil {
			return c, err
		}
		if c.Faults == nil {
			c.Faults = old
		}
		return c, c.Validate()
	})
	if err != nil {
		httpjson.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	s.logger.Info("control changed", "event", "target_control", "control", control)
	httpjson.Write(w, http.StatusOK, s.Status())
}
