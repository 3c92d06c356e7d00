package logservice

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"heathercroft.example/heathercroft/internal/httpjson"
	"heathercroft.example/heathercroft/internal/logclient"
)

// counters counts what the log did since its start.
type counters struct {
	appends, appendedBytes, limited, lost atomic.Int64
	reads, readBytes, outOfRange, outage  atomic.Int64
}

// Counters is a copy of the counts since the start.
type Counters struct {
	Appends       int64 `json:"appends"`
	AppendedBytes int64 `json:"appended_bytes"`
	// Limited counts appends refused by the rate limit.
	Limited int64 `json:"limited"`
	// Lost counts appends that took effect and were not answered.
	Lost  int64 `json:"lost"`
	Reads int64 `json:"reads"`
	// ReadBytes counts the bytes of the pages as sent, in JSON.
	ReadBytes  int64 `json:"read_bytes"`
	OutOfRange int64 `json:"out_of_range"`
	// Outage counts the calls that an outage refused.
	Outage int64 `json:"outage"`
}

func (c *counters) snapshot() Counters {
	return Counters{
		Appends: c.appends.Load(), AppendedBytes: c.appendedBytes.Load(),
		Limited: c.limited.Load(), Lost: c.lost.Load(),
		Reads: c.reads.Load(), ReadBytes: c.readBytes.Load(),
		OutOfRange: c.outOfRange.Load(), Outage: c.outage.Load(),
	}
}

// Status is the answer of GET /control and POST /control.
type Status struct {
	Control  Control  `json:"control"`
	Counters Counters `json:"counters"`
	// Held counts the calls that an outage holds now.
	Held int64 `json:"held"`
	// Polling counts the reads that wait now.
	Polling int64 `json:"polling"`
}

// Status returns the control and the counters.
func (s *Server) Status() Status {
	control, _ := s.switches.get()
	return Status{
		Control: control, Counters: s.counters.snapshot(),
		Held: s.held.Load(), Polling: s.polling.Load(),
	}
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, s.Status())
}

// serveControl changes the keys that the body holds and keeps the others.
func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	control, err := s.switches.set(func(c Control) (Control, error) {
		if err := httpjson.ReadStrict(r.Body, &c); err != nil {
			return c, err
		}
		return c, c.Validate()
	})
	if err != nil {
		httpjson.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	s.logger.Info("control changed", "event", "platform_control", "control", control)
	httpjson.Write(w, http.StatusOK, s.Status())
}

// serveRestore loses the newest records of each stream.
func (s *Server) serveRestore(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Records int `json:"records"`
	}
	if err := httpjson.ReadStrict(r.Body, &body); err != nil {
		httpjson.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if body.Records < 0 {
		httpjson.Fail(w, http.StatusBadRequest, "records is negative")
		return
	}
	s.Restore(body.Records)
	httpjson.Write(w, http.StatusOK, s.Status())
}

func (c Control) loses() bool { return c.LostShare > 0 && rand.Float64() < c.LostShare }

func (s *Server) writePage(w http.ResponseWriter, status int, page logclient.Page) {
	body, err := json.Marshal(page)
	if err != nil {
		httpjson.Fail(w, http.StatusInternalServerError, err.Error())
		return
	}
	s.counters.readBytes.Add(int64(len(body)))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
